package limit

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Guards against refusals of organisations far below their limits for seconds after a
// daemon elsewhere in the fleet was replaced. They occur when a coordinator treats every
// organisation as newly assigned and leases one slot at a time. An organisation that keeps
// its coordinator must not be restricted.
func TestMembershipChangeDoesNotThrottleRetainedOrganisations(t *testing.T) {
	limits := Limits{RequestsPerSecond: 100, Burst: 50, Concurrency: 40}
	want := SliceRequest{Org: "a", Requests: 20, Concurrency: 10}
	granted := func(retained bool) int64 {
		now := time.Unix(1_700_000_000, 0)
		s := NewCoordinator(now, Params{})
		s.OnMembershipChange(now, 8, 8)
		now = now.Add(time.Minute)
		s.Slice(now, "d1", "a", limits, want)
		now = now.Add(time.Minute)
		s.Tick(now.Add(-time.Second))
		s.Slice(now, "d1", "a", limits, want)
		now = now.Add(10 * time.Millisecond)
		s.OnMembershipChange(now, 7, 8)
		s.OnAssignmentsChanged(now)
		s.ConfirmRetained(now, func(request.OrgID) bool { return retained })
		return s.Slice(now, "d2", "a", limits, want).Concurrency
	}
	if got := granted(false); got > 1 {
		t.Fatalf("an organisation that may have moved was leased %d slots", got)
	}
	if got := granted(true); got < 10 {
		t.Fatalf("a retained organisation was leased %d slots of 10", got)
	}
}

// Guards against refusals caused by a slot that was requested ahead. The fleet has just
// started, an organisation sends prompts one at a time, far below its limits, and the fourth
// takes a second, so that its slices expire. The coordinator still leases one slot at a time;
// the LocalLimiter requests a slot for the next prompt and one ahead. The coordinator leased
// the first and answered with a retry time for the second, and the LocalLimiter then refused
// further prompts as over the limit although nothing was running.
func TestSlotRequestedAheadDoesNotCauseRefusals(t *testing.T) {
	limits := Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrency: 500, TokensPerSecond: 100_000_000}
	now := epoch
	s := NewCoordinator(now, Params{})
	s.OnMembershipChange(now, 2, 2)
	l := NewLocalLimiter(Params{}, 2)
	admit := func() Decision {
		d := l.Admit(now, "a", limits, 100)
		if d.SliceRequest != nil {
			l.OnSlice(now, "a", s.Slice(now, "d1", "a", limits, *d.SliceRequest))
		}
		return d
	}
	const quick, slow = 5 * time.Millisecond, 1100 * time.Millisecond
	for n, took := range []time.Duration{quick, quick, quick, slow, quick, quick, quick, quick} {
		d := admit()
		for d.Outcome == Pending {
			d = admit()
		}
		if d.Outcome != Admitted {
			t.Fatalf("prompt %d is %s, retry after %s", n, d.Outcome, d.RetryAfter)
		}
		now = now.Add(took)
		l.Done(now, "a", 4)
	}
}
