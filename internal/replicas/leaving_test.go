package replicas

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// A replica announces that it is leaving. Its entry, which says that it is ready, is written again, then
// expires in an outage and reappears from an older copy: this incarnation is still leaving. The
// next one under the same id is not.
func TestLeavingIsPermanentForAStart(t *testing.T) {
	i := info("a")
	i.Started = 7
	s, now := NewSet(), time.Now()
	s.Apply(now, Change{Present: []Info{i}})
	if s.Get("a").Leaving() {
		t.Fatal("a new replica is leaving")
	}
	if !s.Get("a").ObserveLeaving() || s.Get("a").ObserveLeaving() {
		t.Error("want exactly one change")
	}
	s.Apply(now, Change{Present: []Info{i}})
	if !s.Get("a").Leaving() {
		t.Error("an entry ended the leaving state")
	}
	s.Apply(now, Change{Removed: []request.TargetID{"a"}})
	s.Tick(now.Add(departureRetention - time.Second))
	s.Apply(now, Change{Present: []Info{i}})
	if !s.Get("a").Leaving() {
		t.Error("a reappearing entry ended the leaving state")
	}
	i.Started = 8
	s.Apply(now, Change{Present: []Info{i}})
	if s.Get("a").Leaving() {
		t.Error("the next start is leaving")
	}
}

// TestReplicaWithoutStartComesBack guards against a replica that gets no requests for minutes after it left and started again under its
// id, because its entry doesn't say that it is another process.
func TestReplicaWithoutStartComesBack(t *testing.T) {
	s, now := NewSet(), time.Now()
	s.Apply(now, Change{Present: []Info{info("a")}})
	s.Get("a").ObserveLeaving()
	s.Apply(now, Change{Removed: []request.TargetID{"a"}})
	s.Tick(now.Add(unnamedDepartureRetention - time.Second))
	s.Apply(now, Change{Present: []Info{info("a")}})
	if !s.Get("a").Leaving() {
		t.Error("an entry that reappears within seconds ended the leaving state")
	}
	s.Apply(now, Change{Removed: []request.TargetID{"a"}})
	s.Tick(now.Add(unnamedDepartureRetention + time.Second))
	s.Apply(now, Change{Present: []Info{info("a")}})
	if s.Get("a").Leaving() {
		t.Error("the process that started later is leaving")
	}
}

// Replicas come and go every day. Departures must not be remembered forever.
func TestDeparturesArePruned(t *testing.T) {
	s, now := NewSet(), time.Now()
	i := info("a")
	i.Started = 7
	s.Apply(now, Change{Present: []Info{i}})
	s.Get("a").ObserveLeaving()
	s.Apply(now, Change{Removed: []request.TargetID{"a"}})
	s.Tick(now.Add(departureRetention - time.Second))
	if len(s.departures) == 0 {
		t.Error("the departure is forgotten too early")
	}
	s.Tick(now.Add(departureRetention + time.Second))
	if len(s.departures) != 0 {
		t.Error("the departure is still remembered")
	}
}
