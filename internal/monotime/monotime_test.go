package monotime

import (
	"testing"
	"time"
)

// The clock of a VM is set back by 2.4 s, and later ahead: what lasts half a second must last
// half a second. Times with another wall clock and the same reading of the steady clock can't
// be made, so that the test checks that the wall clock plays no part.
func TestInstantFollowsMonotonicClock(t *testing.T) {
	var m Instant
	now := time.Now()
	if m.After(now) {
		t.Error("a moment that was never set is ahead")
	}
	m.Set(now.Add(500 * time.Millisecond))
	if !m.After(now.Add(499*time.Millisecond)) || m.After(now.Add(500*time.Millisecond)) {
		t.Error("it does not last as long as it was set for")
	}
	if at, set := m.Time(); !set || at.Sub(now) != 500*time.Millisecond {
		t.Errorf("it is %s ahead", at.Sub(now))
	}
	if at, _ := m.Time(); at.Round(0).Equal(at) && at.String() == at.Round(0).String() {
		t.Error("its reading of the steady clock is lost")
	}
	m.Set(time.Time{})
	if m.After(now) {
		t.Error("it is ahead after it was unset")
	}
}

func TestExtendNeverShortens(t *testing.T) {
	var m Instant
	now := time.Now()
	m.Extend(now.Add(time.Second))
	m.Extend(now.Add(time.Millisecond))
	if !m.After(now.Add(900 * time.Millisecond)) {
		t.Error("a shorter time cut a longer one short")
	}
}
