package relay

import (
	"testing"
	"time"
)

// Callers retry only a few times. During an outage of seconds, Retry-After must extend beyond its
// expected end and must be jittered, so that the callers do not return at the same time.
func TestRetryAfterGrowsWithOutageAndIsJittered(t *testing.T) {
	s := New(Options{OutageDuration: func() time.Duration { return 1400 * time.Millisecond }})
	seen := map[time.Duration]bool{}
	for range 50 {
		back := s.notReadyRetryAfter()
		if back < 1600*time.Millisecond || back > 2600*time.Millisecond {
			t.Fatalf("Retry-After is %s, want 1.6 s to 2.6 s", back)
		}
		seen[back] = true
	}
	if len(seen) < 10 {
		t.Error("fewer than 10 distinct Retry-After values in 50 refusals")
	}
	if back := New(Options{}).notReadyRetryAfter(); back > time.Second {
		t.Errorf("Retry-After is %s without an outage, want at most 1 s", back)
	}
}
