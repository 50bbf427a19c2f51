package store

import (
	"testing"
	"time"
)

func TestLinkIsFirstInFirstOut(t *testing.T) {
	l := newLink(1000)
	now := time.Unix(1, 0)
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond} {
		n := []int64{1000, 1000, 500}[i]
		if got := l.reserve(now, n, 1).Sub(now); got != want {
			t.Fatalf("transfer %d ends after %v, want %v", i, got, want)
		}
	}
	if got := l.queuedBytes(now, 1); got != 2500 {
		t.Fatalf("queued %d bytes", got)
	}
	if got := l.reserve(now, 100, 10).Sub(now); got != 3500*time.Millisecond {
		t.Fatalf("slowed transfer ends after %v", got)
	}
	later := now.Add(time.Minute)
	if got := l.reserve(later, 1000, 1).Sub(later); got != time.Second {
		t.Fatalf("transfer on an idle link ends after %v", got)
	}
}
