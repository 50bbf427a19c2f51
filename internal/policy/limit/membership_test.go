package limit

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// A daemon somewhere in the fleet is replaced, and for seconds organisations far below
// their limits are told that they are over them: each steward takes every organisation
// for one that has just come to it, and gives out one place at a time. One that had
// this steward before and has it still needs no such care.
func TestChangeElsewhereDoesNotThrottle(t *testing.T) {
	limits := Limits{RequestsPerSecond: 100, Burst: 50, Concurrency: 40}
	want := SliceRequest{Org: "a", Requests: 20, Concurrency: 10}
	granted := func(kept bool) int64 {
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
		s.ConfirmRetained(now, func(request.OrgID) bool { return kept })
		return s.Slice(now, "d2", "a", limits, want).Concurrency
	}
	if got := granted(false); got > 1 {
		t.Fatalf("an organisation that may have moved was given %d places", got)
	}
	if got := granted(true); got < 10 {
		t.Fatalf("an organisation that stayed was given %d places of 10", got)
	}
}

// A fleet has just started, and an organisation sends one prompt after the other, far below
// all its limits; the fourth takes a second, so that its slices lapse. The steward, which
// still gives one place at a time, is asked for the place of the next prompt and for one
// ahead. It gave the first, and "come back later" for the other: the prompts after that
// were refused as over the limit although nothing ran.
func TestPlaceAskedAheadRefusesNobody(t *testing.T) {
	limits := Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrency: 500, TokensPerSecond: 100_000_000}
	now := epoch
	s := NewCoordinator(now, Params{})
	s.OnMembershipChange(now, 2, 2)
	h := NewHome(Params{}, 2)
	admit := func() Decision {
		d := h.Admit(now, "a", limits, 100)
		if d.SliceRequest != nil {
			h.OnSlice(now, "a", s.Slice(now, "d1", "a", limits, *d.SliceRequest))
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
			t.Fatalf("prompt %d is %s, come back in %s", n, d.Outcome, d.RetryAfter)
		}
		now = now.Add(took)
		h.Done(now, "a", 4)
	}
}
