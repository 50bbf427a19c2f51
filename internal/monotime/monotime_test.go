package monotime

import (
	"testing"
	"time"
)

// Guards against durations that change when the wall clock of a VM is set, for example back by
// 2.4 s and later ahead. Go cannot construct times that share a monotonic reading but differ in
// wall time, so the test checks that the wall clock is not used.
func TestInstantFollowsMonotonicClock(t *testing.T) {
	var m Instant
	now := time.Now()
	if m.After(now) {
		t.Error("an unset instant is in the future")
	}
	m.Set(now.Add(500 * time.Millisecond))
	if !m.After(now.Add(499*time.Millisecond)) || m.After(now.Add(500*time.Millisecond)) {
		t.Error("the instant does not become past 500 ms after now")
	}
	if at, set := m.Time(); !set || at.Sub(now) != 500*time.Millisecond {
		t.Errorf("the instant is %s after now, want 500ms", at.Sub(now))
	}
	if at, _ := m.Time(); at.Round(0).Equal(at) && at.String() == at.Round(0).String() {
		t.Error("the returned time has no monotonic clock reading")
	}
	m.Set(time.Time{})
	if m.After(now) {
		t.Error("the instant is in the future after it was unset")
	}
}

func TestExtendNeverShortens(t *testing.T) {
	var m Instant
	now := time.Now()
	m.Extend(now.Add(time.Second))
	m.Extend(now.Add(time.Millisecond))
	if !m.After(now.Add(900 * time.Millisecond)) {
		t.Error("Extend with an earlier time shortened the instant")
	}
}
