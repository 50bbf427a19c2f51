package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/brittle"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Replicas of a service become brittle together. A daemon that has had an answer of one of them must not overload another, and
// a restarted replica starts without what was learned of its former process.
func TestReplicasOfAServiceAreBrittleTogether(t *testing.T) {
	s, now := NewSet(), time.Now()
	var present []Info
	for i := range 3 {
		present = append(present, Info{ID: request.TargetID(fmt.Sprint("r", i)), Service: "s", Address: "127.0.0.1:1", Started: 1, Slots: 4})
	}
	present = append(present, Info{ID: "other", Service: "t", Address: "127.0.0.1:1", Started: 1})
	s.Apply(now, Change{Present: present})
	if !s.Get("r0").ObserveBrittle(now, 7) {
		t.Error("a limit begins unnoticed")
	}
	for id, want := range map[request.TargetID]float64{"r0": 7, "r1": 7, "r2": 7, "other": 0} {
		if got := s.Get(id).Brittle(); got != want {
			t.Errorf("%s withstands %v rejections, want %v", id, got, want)
		}
	}
	if s.Brittle() != 3 {
		t.Errorf("%d brittle replicas", s.Brittle())
	}
	share := brittle.Share{Daemons: 1}
	r := s.Get("r1")
	r.Load.Begin(0, 0)
	r.RecordRefusal(now)
	if r.MayRisk(now, share) {
		t.Error("a replica that has rejected a request gets another one at once")
	}
	present[1].Started = 2
	s.Apply(now, Change{Present: present[1:2]})
	if s.Get("r1").Brittle() != 0 {
		t.Error("a restarted replica counts as brittle before it says so")
	}
	later := now.Add(2 * time.Second)
	s.Get("r0").ObserveBrittle(later, 0)
	if s.Brittle() != 0 {
		t.Errorf("%d brittle replicas after answers that do not say so", s.Brittle())
	}
}
