package waitlimit

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// mixed shows requests of a service: one with a long objective for each two with a short one.
func mixed(w *Limiter, now time.Time, n int) {
	for range n {
		w.MaxWait(now, 800*time.Millisecond, false)
		w.MaxWait(now, 400*time.Millisecond, false)
		w.MaxWait(now, 400*time.Millisecond, false)
	}
}

// The load: 47 prompts of 12,000 tokens a second that may take 800 ms, and 70 of 800 and 2,400
// that may take 400, on nine replicas that compute 440,000 tokens a second, with nothing in
// their memories. Queues grow until prompts are refused. A long prompt may not wait longer
// than the short ones that stand behind it; each goes at its own limit gave 640 and 320 ms.
func TestLongPromptsDoNotOutwaitShortOnes(t *testing.T) {
	w := New()
	mixed(w, start, 20)
	long, short := w.MaxWait(start, 800*time.Millisecond, false), w.MaxWait(start, 400*time.Millisecond, false)
	if long != short || short != 320*time.Millisecond {
		t.Errorf("long prompts wait %s, short ones %s", long, short)
	}
	if urgent := w.MaxWait(start, 400*time.Millisecond, true); urgent <= short {
		t.Errorf("the most urgent wait %s", urgent)
	}
}

// A service with one objective, and one of which too little was seen: each by its own.
func TestOwnObjectiveHoldsWithoutOthers(t *testing.T) {
	w := New()
	if got := w.MaxWait(start, time.Second, false); got != 800*time.Millisecond {
		t.Errorf("the first waits %s", got)
	}
	w.MaxWait(start, 100*time.Millisecond, false)
	if got := w.MaxWait(start, time.Second, false); got != 800*time.Millisecond {
		t.Errorf("the third waits %s", got)
	}
}

// A single caller with a route of its own wants answers in 10 ms: all others of the service
// must not be refused for it.
func TestRareObjectiveCountsForItselfOnly(t *testing.T) {
	w := New()
	for n := range 200 {
		w.MaxWait(start, 400*time.Millisecond, false)
		if n%50 == 0 {
			w.MaxWait(start, 10*time.Millisecond, false)
		}
	}
	if got := w.MaxWait(start, 400*time.Millisecond, false); got != 320*time.Millisecond {
		t.Errorf("the others wait %s", got)
	}
	if got := w.MaxWait(start, 10*time.Millisecond, false); got != 8*time.Millisecond {
		t.Errorf("it waits %s itself", got)
	}
}

// The desired state moves the short route to another service.
func TestObjectiveThatIsGoneIsForgotten(t *testing.T) {
	w := New()
	mixed(w, start, 50)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		for range 5 {
			w.MaxWait(now, 800*time.Millisecond, false)
		}
	}
	if got := w.MaxWait(now, 800*time.Millisecond, false); got != 640*time.Millisecond {
		t.Errorf("still waits %s", got)
	}
	if len(w.seen) != 1 {
		t.Errorf("%d objectives are remembered", len(w.seen))
	}
}
