package replicas

import (
	"testing"
	"time"
)

// A peer's word on a limit arrives after a newer answer of the replica: the older one changes nothing.
func TestLateWordOfALimitIsNotTaken(t *testing.T) {
	s := NewSet()
	s.Apply(time.Now(), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Now()
	if r.SawLimit(now, 0) {
		t.Error("a replica that never named a limit has ended one")
	}
	if !r.SawLimit(now.Add(2*time.Second), 4.5) {
		t.Error("a limit is no news")
	}
	if r.SawLimit(now.Add(time.Second), 0) {
		t.Error("an older word is taken for news")
	}
	if got, at := r.Limit(); got != 4.5 || !at.Equal(now.Add(2*time.Second)) {
		t.Errorf("limit %v, said at %v", got, at)
	}
	if r.SawLimit(now.Add(3*time.Second), 4.5) {
		t.Error("the same limit is news again")
	}
	if !r.SawLimit(now.Add(4*time.Second), 0) {
		t.Error("its end is no news")
	}
}
