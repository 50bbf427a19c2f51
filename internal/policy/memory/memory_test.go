package memory

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const mib = 1 << 20

func testBudget() *Budget { return New(Params{Capacity: 40 * mib, Ceiling: 80 * mib, OrgShare: 0.7}) }

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// A burst of large bodies of patient requests came beside small urgent calls, and the VM ran out of
// memory. The large ones must be refused before the small urgent ones are.
func TestBurstOfLargeBodiesLeavesRoomForSmallUrgentOnes(t *testing.T) {
	b := testBudget()
	refused := 0
	for n := range 200 {
		ask := Ask{Org: request.OrgID(fmt.Sprint("patient", n%20)), Priority: 3}
		if _, refusal := b.TakeBody(at(n), ask, 2*mib); refusal != nil {
			refused++
		}
		if _, refusal := b.TakeBody(at(n), Ask{Org: "urgent"}, 4<<10); refusal != nil {
			t.Fatalf("a small urgent body is refused after %d large ones: %v", n, refusal)
		}
	}
	if refused == 0 {
		t.Error("no large body was refused")
	}
	for n := range 100 { // held at the same time
		if _, refusal := b.TakeBody(at(200), Ask{Org: request.OrgID(fmt.Sprint("urgent", n%50))}, 32<<10); refusal != nil {
			t.Fatalf("small urgent body %d after the burst: %v", n, refusal)
		}
	}
	if held := b.Held(Body); held > b.Params().Capacity {
		t.Errorf("%d bytes are held, capacity %d", held, b.Params().Capacity)
	}
}

// One organisation sent nine tenths of the load and filled the memory. Others must still be accepted.
func TestOrganisationCannotTakeTheWholeBudget(t *testing.T) {
	b := testBudget()
	for n := range 10_000 {
		b.TakeBody(at(n), Ask{Org: "loud"}, 32<<10)
	}
	if share := float64(b.HeldByOrg("loud")) / float64(b.Params().Capacity); share > 0.7 || share < 0.65 {
		t.Errorf("one organisation alone holds %.2f of the budget, want 0.7", share)
	}
	for _, org := range []request.OrgID{"a", "b", ""} {
		if _, refusal := b.TakeBody(at(0), Ask{Org: org}, mib); refusal != nil {
			t.Errorf("organisation %q: %v", org, refusal)
		}
	}
}

// The desired state allows a body that is larger than the budget of a small VM. It must not be refused for
// ever, and not be held twice at once.
func TestBodyLargerThanTheBudgetIsAcceptedAlone(t *testing.T) {
	b := testBudget()
	big, refusal := b.TakeBody(at(0), Ask{Org: "a", Priority: 9}, 39*mib)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if _, refusal := b.TakeBody(at(0), Ask{Org: "b"}, 39*mib); refusal == nil || refusal.Reason != ReasonSize || refusal.RetryAfter <= 0 {
		t.Errorf("a second one: %v", refusal)
	}
	if _, refusal := b.TakeBody(at(0), Ask{Org: "b"}, mib); refusal != nil {
		t.Errorf("a usual one beside it: %v", refusal)
	}
	b.Release(at(1), &big)
	if _, refusal := b.TakeBody(at(1), Ask{Org: "b"}, 39*mib); refusal != nil {
		t.Errorf("the next one: %v", refusal)
	}
	for _, size := range []int64{41 * mib, math.MaxInt64} {
		if _, refusal := testBudget().TakeBody(at(0), Ask{}, size); refusal == nil {
			t.Errorf("%d bytes are accepted", size)
		}
	}
}

// A chunked body grows beyond its part of the budget while it is read.
func TestGrowingBodyIsRefusedAndKeepsWhatItHeld(t *testing.T) {
	b := testBudget()
	h, _ := b.TakeBody(at(0), Ask{Org: "a"}, 8<<10)
	var refusal *Refusal
	for refusal == nil {
		refusal = b.Grow(at(0), &h, h.Bytes())
	}
	if h.Bytes() != b.Held(Body) || h.Bytes() > 40*mib {
		t.Errorf("holds %d of %d", h.Bytes(), b.Held(Body))
	}
	b.Release(at(1), &h)
	b.Release(at(1), &h)
	if b.Held(Body) != 0 || b.Organisations() != 0 || b.total() != 0 {
		t.Errorf("after the release: %+v", b)
	}
}

// Refused callers came back all at the same fixed time. Retry-After must follow the rate at which bytes
// become free.
func TestRetryAfterFollowsTheRateOfRelease(t *testing.T) {
	wait := func(holdMs int) time.Duration {
		b := testBudget()
		now := 0
		for ; now < 10_000; now += holdMs {
			h, _ := b.TakeBody(at(now), Ask{Org: "a"}, mib)
			b.Release(at(now), &h)
		}
		for n := 0; ; n++ {
			if _, refusal := b.TakeBody(at(now), Ask{Org: request.OrgID(fmt.Sprint(n))}, mib); refusal != nil {
				return refusal.RetryAfter
			}
		}
	}
	if fast, slow := wait(10), wait(1000); fast >= slow {
		t.Errorf("Retry-After is %s at a fast release and %s at a slow one", fast, slow)
	}
}

// One organisation's streams filled the memory. They must be bounded like bodies, and a ready answer without room is passed on unbuffered.
func TestAnswersAndStreamsWithoutRoom(t *testing.T) {
	b := testBudget()
	var answers []Hold
	for {
		h, ok := b.TakeAnswer("slow", 256<<10)
		if !ok {
			break
		}
		answers = append(answers, h)
	}
	if b.Held(Answer) > 28*mib {
		t.Errorf("one organisation's unread answers hold %d bytes", b.Held(Answer))
	}
	if _, ok := b.TakeAnswer("other", 256<<10); !ok {
		t.Error("another organisation's answer is not buffered")
	}
	for n := range 5000 {
		b.TakeBody(at(n), Ask{Org: "slow", Stream: 16 << 10}, 0)
	}
	if _, refusal := b.TakeBody(at(5000), Ask{Org: "third", Stream: 16 << 10}, 100); refusal != nil {
		t.Errorf("a stream of another organisation: %v", refusal)
	}
	if b.total() > b.Params().Capacity {
		t.Errorf("%d bytes are held, capacity %d", b.total(), b.Params().Capacity)
	}
	for i := range answers {
		b.Release(at(0), &answers[i])
	}
}

// A stream whose request has a small body must not be refused as a large body, whatever its buffers.
func TestBuffersOfAStreamDoNotMakeItsBodyLarge(t *testing.T) {
	b := testBudget()
	for n := 0; ; n++ { // until large bodies of priority 0 are refused
		if _, refusal := b.TakeBody(at(n), Ask{Org: request.OrgID(fmt.Sprint(n))}, mib); refusal != nil {
			break
		}
	}
	if _, refusal := b.TakeBody(at(0), Ask{Org: "a", Stream: 2 * smallBytes}, 100); refusal != nil {
		t.Error(refusal)
	}
}

// TestHeadsLeaveRoom guards against heads that take the room of bodies, and against large ones that take that of small ones.
func TestHeadsLeaveRoom(t *testing.T) {
	b := testBudget()
	large := func() *Refusal {
		var h Hold
		return b.GrowHead(at(0), &h, mib)
	}
	for large() == nil {
	}
	if held := b.Held(Head); held > 20*mib || held < 19*mib {
		t.Errorf("large heads hold %d bytes", held)
	}
	if refusal := large(); refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > maxRetryAfter {
		t.Errorf("Retry-After is %s", refusal.RetryAfter)
	}
	var last Hold
	for { // until small ones are refused too
		var h Hold
		if b.GrowHead(at(0), &h, 10<<10) != nil {
			break
		}
		last = h
	}
	body, refusal := b.TakeBody(at(0), Ask{Org: "urgent"}, 32<<10)
	if refusal != nil {
		t.Errorf("a small body: %v", refusal)
	}
	b.Release(at(1), &body)
	b.Release(at(1), &last)
	if refusal := b.GrowHead(at(1), &last, 1<<10); refusal != nil {
		t.Errorf("a small head after one has ended: %v", refusal)
	}
	if n := b.Organisations(); n != 0 {
		t.Errorf("heads count for %d organisations", n)
	}
}

// Any sequence of takes, growth and releases keeps the bounds, and an empty budget accepts any body that the
// VM can hold.
func TestBudgetHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Capacity: rapid.Int64Range(1, 64*mib).Draw(t, "capacity"),
			OrgShare: rapid.Float64Range(0.05, 0.95).Draw(t, "share"),
		}
		p.Ceiling = p.Capacity + rapid.Int64Range(0, 64*mib).Draw(t, "spare")
		b := New(p)
		var holds []*Hold
		size := rapid.OneOf(rapid.Int64Range(0, 8<<10), rapid.Int64Range(0, 8*mib), rapid.Int64())
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := at(step * 7)
			stream := rapid.SampledFrom([]int64{0, 0, 32 << 10, mib, -1, math.MaxInt64}).Draw(t, "stream")
			ask := Ask{Stream: stream, Org: rapid.SampledFrom([]request.OrgID{"", "a", "b", "c"}).Draw(t, "org"), Priority: rapid.IntRange(-1, 12).Draw(t, "priority")}
			bytes := size.Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				h, refusal := b.TakeBody(now, ask, bytes)
				if refusal == nil {
					holds = append(holds, &h)
				} else if refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > maxRetryAfter {
					t.Fatalf("Retry-After %s", refusal.RetryAfter)
				}
			case 1:
				if h, ok := b.TakeAnswer(ask.Org, bytes); ok {
					holds = append(holds, &h)
				}
			case 2:
				if len(holds) > 0 && holds[0].kind == Body {
					b.Grow(now, holds[0], bytes)
				}
			case 3:
				if len(holds) > 0 {
					b.Release(now, holds[0])
					holds = holds[1:]
				}
			}
			if b.used > p.Capacity || b.total() > p.Ceiling || b.used < 0 {
				t.Fatalf("%d bytes in use, %d in all, bounds %+v", b.used, b.total(), p)
			}
			if sum := b.Held(Body) + b.Held(Answer) + b.Held(Stream); sum != b.total() {
				t.Fatalf("%d bytes by kind, %d in all", sum, b.total())
			}
		}
		for _, h := range holds {
			b.Release(at(0), h)
		}
		if b.total() != 0 || b.Organisations() != 0 {
			t.Fatalf("%d bytes remain after all were given back", b.total())
		}
		if _, refusal := b.TakeBody(at(0), Ask{Priority: 9}, p.Ceiling-p.Capacity); refusal != nil {
			t.Fatalf("an empty budget refuses what the VM can hold: %v", refusal)
		}
	})
}

func BenchmarkBody(b *testing.B) {
	budget := testBudget()
	now := at(0)
	b.ReportAllocs()
	for b.Loop() {
		h, _ := budget.TakeBody(now, Ask{Org: "a"}, 4<<10)
		budget.Release(now, &h)
	}
}
