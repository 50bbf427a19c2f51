package relay

import (
	"testing"
	"time"
)

// Callers come back a few times only. In an outage of seconds they are told to come back when it may
// be over, and not all at once.
func TestCallersAreToldToComeBackAfterTheOutage(t *testing.T) {
	s := New(Options{OutageDuration: func() time.Duration { return 1400 * time.Millisecond }})
	seen := map[time.Duration]bool{}
	for range 50 {
		back := s.notReadyBack()
		if back < 1600*time.Millisecond || back > 2600*time.Millisecond {
			t.Fatalf("back in %s", back)
		}
		seen[back] = true
	}
	if len(seen) < 10 {
		t.Error("all at once")
	}
	if back := New(Options{}).notReadyBack(); back > time.Second {
		t.Errorf("back in %s with no outage known", back)
	}
}
