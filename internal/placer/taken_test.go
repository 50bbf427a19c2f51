package placer

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// TestTakenRequestsCountAtOnce guards against many requests to a brittle replica that all take the same place, because those taken before have not
// begun.
func TestTakenRequestsCountAtOnce(t *testing.T) {
	set, now := replicas.NewSet(), time.Now()
	set.Apply(now, replicas.Change{Present: []replicas.Info{{ID: "r", Service: "s", Address: "127.0.0.1:1", Started: 1, Slots: 8}}})
	r := set.Get("r")
	r.ObserveBrittle(now, 6)
	q := &Quotas{Self: "a", Daemons: func(*replicas.Replica) []string { return []string{"a"} }}
	const known, probes = 1, 1 // what the replica is known to accept, and what may be risked beyond
	taken := 0
	for range 30 {
		if q.Take(now, r, func() *replicas.Flight { return r.Load.Begin(0, 0) }) != nil {
			taken++
		}
	}
	if taken != known+probes || r.Load.Own().Requests != taken {
		t.Errorf("%d requests are taken and %d run, want %d", taken, r.Load.Own().Requests, known+probes)
	}
}
