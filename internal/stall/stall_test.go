package stall

import (
	"context"
	"testing"
	"time"
)

// TestStallIsPendingUntilItIsNoticed guards against work that is done by outdated state right after a stall, before it is noticed.
func TestStallIsPendingUntilItIsNoticed(t *testing.T) {
	var m Monitor
	at := time.Now()
	if m.pendingAt(at.Add(time.Hour)) {
		t.Error("a stall is pending before the first check")
	}
	m.recordCheck(at)
	suspended := at.Round(0).Add(2 * minStall) // without a monotonic reading
	for _, c := range []struct {
		name string
		at   time.Time
		want bool
	}{
		{"late check", at.Add(minStall), false},
		{"frozen", at.Add(minStall + time.Millisecond), true},
		{"suspended", suspended, true},
		{"clock set back", at.Round(0).Add(-time.Hour), false},
	} {
		if got := m.pendingAt(c.at); got != c.want {
			t.Errorf("%s: pending %t, want %t", c.name, got, c.want)
		}
	}
	m.recordCheck(suspended)
	if m.pendingAt(suspended.Add(checkInterval)) {
		t.Error("a stall is pending after it was noticed")
	}
}

// TestWatchChecksUntilItsEnd guards against a stall that stays pending although the process runs.
func TestWatchChecksUntilItsEnd(t *testing.T) {
	var m Monitor
	ctx, cancel := context.WithTimeout(context.Background(), 3*checkInterval)
	defer cancel()
	if err := m.Watch(ctx, func(time.Duration) {}); err != nil {
		t.Fatal(err)
	}
	if m.checked.Load() == nil {
		t.Error("no check")
	}
}
