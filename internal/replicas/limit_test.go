package replicas

import (
	"testing"
	"time"
)

// A peer's report of a rate limit arrives after a newer answer of the replica. It must be ignored.
func TestOutdatedLimitUpdateIsIgnored(t *testing.T) {
	s := NewSet()
	s.Apply(time.Now(), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Now()
	if r.UpdateLimit(now, 0) {
		t.Error("the end of a limit that was never reported is a change")
	}
	if !r.UpdateLimit(now.Add(2*time.Second), 4.5) {
		t.Error("a new limit is no change")
	}
	if r.UpdateLimit(now.Add(time.Second), 0) {
		t.Error("an older report is a change")
	}
	if got, at := r.Limit(); got != 4.5 || !at.Equal(now.Add(2*time.Second)) {
		t.Errorf("limit %v, reported at %v", got, at)
	}
	if r.UpdateLimit(now.Add(3*time.Second), 4.5) {
		t.Error("the same limit is a change")
	}
	if !r.UpdateLimit(now.Add(4*time.Second), 0) {
		t.Error("the end of the limit is no change")
	}
}

// The end of a rate limit is reported repeatedly, because a peer that missed the datagram would avoid the
// replica. Nothing is reported about replicas without a limit.
func TestEndOfLimitIsRepeated(t *testing.T) {
	s, reports := NewSet(), 0
	s.OnLimit(func(*Replica) { reports++ })
	s.Apply(time.Now(), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Now()
	steps := []struct {
		at        time.Duration
		perSecond float64
		reports   int
	}{
		{0, 0, 0}, {time.Second, 3, 1}, {2 * time.Second, 3, 2}, {3 * time.Second, 0, 3}, {3500 * time.Millisecond, 0, 4}, {5 * time.Second, 0, 4},
	}
	for _, step := range steps {
		r.ObserveLimit(now.Add(step.at), step.perSecond)
		if reports != step.reports {
			t.Errorf("after %s: %d reports, want %d", step.at, reports, step.reports)
		}
	}
}
