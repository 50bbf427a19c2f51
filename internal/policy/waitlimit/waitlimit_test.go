package waitlimit

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// recordMixed records requests: two with a short objective for each with a long one.
func recordMixed(w *Limiter, now time.Time, n int) {
	for range n {
		w.MaxWait(now, 800*time.Millisecond, false)
		w.MaxWait(now, 400*time.Millisecond, false)
		w.MaxWait(now, 400*time.Millisecond, false)
	}
}

// Each second 47 prompts of 12,000 tokens with an objective of 800 ms and 70 prompts of 800
// and 2,400 tokens with 400 ms reach nine replicas that compute 440,000 tokens per second and
// have nothing cached. Queues grow until prompts are refused. A long prompt may not wait longer
// than the short ones queued behind it; with separate limits they waited 640 and 320 ms.
func TestLongPromptsWaitNoLongerThanShortOnes(t *testing.T) {
	w := New()
	recordMixed(w, start, 20)
	long, short := w.MaxWait(start, 800*time.Millisecond, false), w.MaxWait(start, 400*time.Millisecond, false)
	if long != short || short != 320*time.Millisecond {
		t.Errorf("long prompts may wait %s, short ones %s", long, short)
	}
	if urgent := w.MaxWait(start, 400*time.Millisecond, true); urgent <= short {
		t.Errorf("the most urgent prompts may wait %s", urgent)
	}
}

// With a single objective, or too few requests, each objective applies by itself.
func TestOwnObjectiveAppliesWithoutOthers(t *testing.T) {
	w := New()
	if got := w.MaxWait(start, time.Second, false); got != 800*time.Millisecond {
		t.Errorf("the first request may wait %s", got)
	}
	w.MaxWait(start, 100*time.Millisecond, false)
	if got := w.MaxWait(start, time.Second, false); got != 800*time.Millisecond {
		t.Errorf("the third request may wait %s", got)
	}
}

// A single caller uses a route with an objective of 10 ms. The other requests of the service
// must not be refused because of it.
func TestRareObjectiveAppliesToItselfOnly(t *testing.T) {
	w := New()
	for n := range 200 {
		w.MaxWait(start, 400*time.Millisecond, false)
		if n%50 == 0 {
			w.MaxWait(start, 10*time.Millisecond, false)
		}
	}
	if got := w.MaxWait(start, 400*time.Millisecond, false); got != 320*time.Millisecond {
		t.Errorf("the other requests may wait %s", got)
	}
	if got := w.MaxWait(start, 10*time.Millisecond, false); got != 8*time.Millisecond {
		t.Errorf("the rare request may wait %s", got)
	}
}

// The desired state moves the route with the short objective to another service.
func TestObsoleteObjectiveIsForgotten(t *testing.T) {
	w := New()
	recordMixed(w, start, 50)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		for range 5 {
			w.MaxWait(now, 800*time.Millisecond, false)
		}
	}
	if got := w.MaxWait(now, 800*time.Millisecond, false); got != 640*time.Millisecond {
		t.Errorf("the request may wait %s", got)
	}
	if len(w.counts) != 1 {
		t.Errorf("the limiter tracks %d objectives, want 1", len(w.counts))
	}
}
