package replicas

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// A replica said that it leaves. Its entry, by which it is ready, is written again, lapses in an
// outage and is back from an older copy: it still leaves. Another start under its id does not.
func TestReplicaThatLeavesStaysSo(t *testing.T) {
	i := info("a")
	i.Started = 7
	s, now := NewSet(), time.Now()
	s.Apply(now, Change{Present: []Info{i}})
	if s.Get("a").Leaving() {
		t.Fatal("leaves from the start")
	}
	if !s.Get("a").ObserveLeaving() || s.Get("a").ObserveLeaving() {
		t.Error("not news once")
	}
	s.Apply(now, Change{Present: []Info{i}})
	if !s.Get("a").Leaving() {
		t.Error("ready since the registry says so")
	}
	s.Apply(now, Change{Removed: []request.TargetID{"a"}})
	s.Tick(now.Add(leftKept - time.Second))
	s.Apply(now, Change{Present: []Info{i}})
	if !s.Get("a").Leaving() {
		t.Error("ready when its entry is back")
	}
	i.Started = 8
	s.Apply(now, Change{Present: []Info{i}})
	if s.Get("a").Leaving() {
		t.Error("another start leaves")
	}
}

// Replicas come and go every day: those that left are not remembered for ever.
func TestReplicasThatLeftAreForgotten(t *testing.T) {
	s, now := NewSet(), time.Now()
	s.Apply(now, Change{Present: []Info{info("a")}})
	s.Get("a").ObserveLeaving()
	s.Apply(now, Change{Removed: []request.TargetID{"a"}})
	s.Tick(now.Add(leftKept + time.Second))
	if len(s.left) != 0 {
		t.Error("still remembered")
	}
}
