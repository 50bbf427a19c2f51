package limit

import (
	"testing"
	"time"
)

// settlingFleet is a coordinator right after a membership change, and one daemon.
type settlingFleet struct {
	limits      Limits
	now         time.Time
	coordinator *Coordinator
	local       *LocalLimiter
	waiting     int // requests that got Pending
	admitted    int
	refused     int
}

func newSettlingFleet(limits Limits) *settlingFleet {
	f := &settlingFleet{limits: limits, now: epoch, coordinator: NewCoordinator(epoch, Params{}), local: NewLocalLimiter(Params{}, 2)}
	f.coordinator.OnMembershipChange(epoch, 2, 2)
	return f
}

// admit lets a request arrive.
func (f *settlingFleet) admit(tokens int64) {
	f.waiting++
	f.retry(tokens)
}

// tick sends the slice requests that are due.
func (f *settlingFleet) tick(tokens int64) {
	due := f.local.Tick(f.now)
	for _, r := range due {
		f.answer(r)
	}
	if len(due) > 0 {
		f.retry(tokens)
	}
}

func (f *settlingFleet) answer(r SliceRequest) {
	f.local.OnSlice(f.now, "a", f.coordinator.Slice(f.now, "d1", "a", f.limits, r))
}

// retry tries all waiting requests, again after each answered slice request.
func (f *settlingFleet) retry(tokens int64) {
	const passes = 20 // more than any test needs
	for range passes {
		waiting, answered := f.waiting, false
		f.waiting = 0
		for range waiting {
			answered = f.try(tokens) || answered
		}
		if !answered || f.waiting == 0 {
			return
		}
	}
}

// try decides on one request, and reports whether a slice request was answered.
func (f *settlingFleet) try(tokens int64) bool {
	d := f.local.Admit(f.now, "a", f.limits, tokens)
	if d.SliceRequest != nil {
		f.answer(*d.SliceRequest)
	}
	switch d.Outcome {
	case Admitted:
		f.admitted++
		f.local.Done(f.now, "a", 0)
	case Refused:
		f.refused++
	case Pending:
		f.waiting++
	}
	return d.SliceRequest != nil
}

// TestSettlingCoordinatorDoesNotCauseRefusals guards against refusals of an organisation far below its limits, at its first prompts after a
// membership change: the coordinator grants what has been refilled since, which the first prompt overdraws.
func TestSettlingCoordinatorDoesNotCauseRefusals(t *testing.T) {
	f := newSettlingFleet(Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrency: 100, TokensPerSecond: 100_000})
	const prompts, tokens, step = 8, 2400, 10 * time.Millisecond
	f.now = f.now.Add(step)
	for range prompts {
		f.admit(tokens)
		f.tick(tokens)
		f.now = f.now.Add(step)
	}
	for deadline := f.now.Add(time.Second); f.waiting > 0 && f.now.Before(deadline); f.now = f.now.Add(step) {
		f.tick(tokens)
	}
	if f.refused > 0 || f.admitted != prompts {
		t.Errorf("%d of %d prompts admitted, %d refused, %d wait", f.admitted, prompts, f.refused, f.waiting)
	}
}

// TestHeldRequestsAreRefusedInTheEnd guards against requests that wait for longer than maxHold, or in numbers without a bound, because their
// organisation is over its limits while a coordinator settles.
func TestHeldRequestsAreRefusedInTheEnd(t *testing.T) {
	f := newSettlingFleet(Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrency: 100, TokensPerSecond: 100_000})
	const tokens, step = 100_000, 10 * time.Millisecond
	f.now = f.now.Add(step)
	began := f.now
	for f.now.Sub(began) < maxHold+2*step {
		f.admit(tokens)
		f.tick(tokens)
		f.now = f.now.Add(step)
	}
	f.tick(tokens)
	if f.waiting > 0 || f.refused == 0 {
		t.Errorf("%d admitted, %d refused, %d wait after %s", f.admitted, f.refused, f.waiting, f.now.Sub(began))
	}
}
