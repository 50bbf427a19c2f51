package replicas

import (
	"testing"
	"time"
)

// A peer's news of a rate limit arrive after a newer answer of the replica: the older one changes nothing.
func TestLateNewsOfALimitAreNotTaken(t *testing.T) {
	s := NewSet()
	s.Apply(time.Now(), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Now()
	if r.UpdateLimit(now, 0) {
		t.Error("a replica that never named a limit has ended one")
	}
	if !r.UpdateLimit(now.Add(2*time.Second), 4.5) {
		t.Error("a limit is no news")
	}
	if r.UpdateLimit(now.Add(time.Second), 0) {
		t.Error("an older limit is taken for news")
	}
	if got, at := r.Limit(); got != 4.5 || !at.Equal(now.Add(2*time.Second)) {
		t.Errorf("limit %v, said at %v", got, at)
	}
	if r.UpdateLimit(now.Add(3*time.Second), 4.5) {
		t.Error("the same limit is news again")
	}
	if !r.UpdateLimit(now.Add(4*time.Second), 0) {
		t.Error("its end is no news")
	}
}

// The end of a limit is told for a while: a peer that missed the datagram would leave the replica
// alone. Of replicas that named none nothing is told.
func TestEndOfALimitIsToldAgain(t *testing.T) {
	s, told := NewSet(), 0
	s.OnLimit(func(*Replica) { told++ })
	s.Apply(time.Now(), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Now()
	steps := []struct {
		at        time.Duration
		perSecond float64
		told      int
	}{
		{0, 0, 0}, {time.Second, 3, 1}, {2 * time.Second, 3, 2}, {3 * time.Second, 0, 3}, {3500 * time.Millisecond, 0, 4}, {5 * time.Second, 0, 4},
	}
	for _, step := range steps {
		r.ObserveLimit(now.Add(step.at), step.perSecond)
		if told != step.told {
			t.Errorf("after %s told %d times, want %d", step.at, told, step.told)
		}
	}
}
