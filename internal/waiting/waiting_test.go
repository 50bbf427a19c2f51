package waiting

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
	"github.com/bluebellscale/bluebellscale/internal/policy/waitroom"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// slots are the fake replicas: a number of requests that they can run.
type slots struct {
	free  atomic.Int64
	asked atomic.Int64
}

func (s *slots) hasRoom() bool {
	s.asked.Add(1)
	return s.free.Load() > 0
}

// take takes a slot if one is free.
func (s *slots) take() bool {
	for {
		n := s.free.Load()
		if n <= 0 {
			return false
		}
		if s.free.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

type fixture struct {
	t     *testing.T
	room  *Room
	slots *slots
	wg    sync.WaitGroup

	mu      sync.Mutex
	placed  []request.ID
	refused []request.ID
	left    []request.ID
	noRoom  int
}

func newFixture(t *testing.T, o Options) *fixture {
	t.Helper()
	o.MaxRequests = max(o.MaxRequests, 1000)
	o.MaxBytes = 1 << 20
	f := &fixture{t: t, room: New(o), slots: &slots{}}
	t.Cleanup(func() {
		f.room.Close()
		f.wg.Wait()
	})
	return f
}

func (f *fixture) request(id string, priority int, wait time.Duration) *Request {
	latest := time.Now().Add(wait)
	return &Request{
		Item:    waitroom.Item{ID: request.ID(id), Service: "s", Priority: priority, Cost: 100, KeepBy: latest.Add(-wait / 2), LatestStart: latest, CallerUntil: latest},
		HasRoom: f.slots.hasRoom,
	}
}

// enter starts a request that waits until it is placed or refused.
func (f *fixture) enter(ctx context.Context, r *Request) {
	before := f.room.State().Requests
	f.wg.Go(func() {
		ticket, err := f.room.Wait(ctx, r)
		defer ticket.Leave()
		for err == nil && !f.slots.take() {
			f.record(func() { f.noRoom++ })
			err = ticket.NoRoom(ctx)
		}
		var refusal *Refusal
		switch {
		case err == nil:
			ticket.Placed()
			f.record(func() { f.placed = append(f.placed, r.ID) })
		case errors.As(err, &refusal):
			f.record(func() { f.refused = append(f.refused, r.ID) })
		default:
			f.record(func() { f.left = append(f.left, r.ID) })
		}
	})
	f.eventually("the request waits", func() bool { return f.room.State().Requests != before || f.ended() > 0 })
}

func (f *fixture) record(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fixture) ended() (n int) {
	f.record(func() { n = len(f.placed) + len(f.refused) + len(f.left) })
	return n
}

func (f *fixture) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("never: %s", what)
		}
	}
}

// open frees n slots and tells the room of each, as replicas do.
func (f *fixture) open(n int) {
	f.slots.free.Add(int64(n))
	for range n {
		f.room.OnRoom(nil)
	}
}

func (f *fixture) expect(what string, got *[]request.ID, want ...request.ID) {
	f.t.Helper()
	var now []request.ID
	f.eventually(fmt.Sprint(what, " ", want), func() bool {
		f.record(func() { now = slices.Clone(*got) })
		return len(now) >= len(want)
	})
	if !slices.Equal(now, want) {
		f.t.Errorf("%s %v, want %v", what, now, want)
	}
}

const patient = 30 * time.Second

// Guards against a request that is started before a more urgent one, and against room that wakes more
// requests than it has place for.
func TestRoomWakesAsManyAsItHolds(t *testing.T) {
	f := newFixture(t, Options{})
	for i := range 20 {
		f.enter(t.Context(), f.request(fmt.Sprint("p", i), 5, patient))
	}
	f.enter(t.Context(), f.request("u0", 0, patient))
	f.enter(t.Context(), f.request("u1", 0, patient))
	f.open(1)
	f.expect("placed", &f.placed, "u0")
	f.open(2)
	f.expect("placed", &f.placed, "u0", "u1", "p0")
	time.Sleep(3 * tickInterval)
	f.record(func() {
		if len(f.placed) != 3 || f.noRoom != 0 {
			t.Errorf("%d placed and %d turns without room, want 3 and 0", len(f.placed), f.noRoom)
		}
	})
}

// Guards against work that grows with what waits: a burst of reports of room asks a bounded number of
// waiting requests.
func TestFewAreAskedWhileThereIsNoRoom(t *testing.T) {
	f := newFixture(t, Options{})
	for i := range 300 {
		f.enter(t.Context(), f.request(fmt.Sprint(i), 5, patient))
	}
	f.slots.asked.Store(0)
	begin := time.Now()
	for range 1000 {
		f.room.OnRoom(nil)
	}
	time.Sleep(50 * time.Millisecond)
	took := time.Since(begin)
	limit := int64(took/roundInterval+2)*roundSize + int64(took/deepInterval+1)*deepRoundSize
	if asked := f.slots.asked.Load(); asked > limit {
		t.Errorf("asked %d times in %s", asked, time.Since(begin))
	}
}

// Guards against spending the processor on looking for room: many wait, and replicas report room that none of
// them can use. Requests of one class are asked for by the first of them.
func TestReportsOfRoomInVainCostLittle(t *testing.T) {
	for _, classes := range []int{1, 4} {
		f := newFixture(t, Options{})
		const waiting = 300
		for i := range waiting {
			r := f.request(fmt.Sprint(i), 5, patient)
			r.Class, r.Need = i%classes, int64(100+i)
			f.enter(t.Context(), r)
		}
		f.slots.asked.Store(0)
		begin := time.Now()
		for range 500 {
			f.room.OnRoom(nil)
			time.Sleep(2 * time.Millisecond)
		}
		took := time.Since(begin)
		// For each class 5 % of 0.12 of a processor, at 60 us each.
		const perSecond = 100
		limit := int64((took.Seconds() + 0.1) * float64(perSecond*classes))
		if asked := f.slots.asked.Load(); asked > limit {
			t.Errorf("%d classes: asked %d times in %s, want %d at most", classes, asked, took, limit)
		}
	}
}

// Guards against a place that stays free because rounds in vain are far apart.
func TestFreePlaceIsOfferedSoon(t *testing.T) {
	f := newFixture(t, Options{})
	const n = 20
	for i := range 2 * n {
		f.enter(t.Context(), f.request(fmt.Sprint(i), 5, patient))
	}
	var waits []time.Duration
	for i := range n {
		for range 10 {
			f.room.OnRoom(nil) // in vain
			time.Sleep(time.Millisecond)
		}
		begin := time.Now()
		f.open(1)
		f.eventually("the place is taken", func() bool { return f.ended() == i+1 })
		waits = append(waits, time.Since(begin))
	}
	slices.Sort(waits)
	const scheduling = 5 * time.Millisecond
	if median := waits[n/2]; median > 10*time.Millisecond+scheduling {
		t.Errorf("a free place is offered after %s, want within 10 ms", median)
	}
}

// Guards against more requests without room than are tried at once: those behind them, for which replicas are
// idle, never started.
func TestManyWithoutRoomDoNotStopOthers(t *testing.T) {
	f := newFixture(t, Options{})
	for i := range 3 * deepRoundSize {
		r := f.request(fmt.Sprint("blocked", i), i%5, patient)
		r.Cost = 10_000
		r.HasRoom = func() bool { return false }
		f.enter(t.Context(), r)
	}
	begin := time.Now()
	f.slots.free.Store(1)
	f.enter(t.Context(), f.request("a", 5, patient))
	f.expect("placed", &f.placed, "a")
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("started after %s", took)
	}
	for range 50 { // some 100,000 tokens a second
		f.room.Started("s", 1000)
		time.Sleep(10 * time.Millisecond)
	}
	late := f.request("b", 5, 1500*time.Millisecond)
	late.Cost = 1
	f.enter(t.Context(), late)
	f.slots.free.Store(1)
	f.expect("placed", &f.placed, "a", "b")
}

// Guards against room that comes while a request is placed in vain, and that counts as tried until the next
// look for room.
func TestRoomDuringAPlacementIsTried(t *testing.T) {
	f := newFixture(t, Options{})
	r := f.request("a", 5, patient)
	r.HasRoom = func() bool { return true }
	ticket, err := f.room.Wait(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer ticket.Leave()
	const turns = 10
	begin := time.Now()
	for range turns {
		f.room.OnRoom(nil) // during the placement
		if err := ticket.NoRoom(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begin); took > turns*tickInterval/2 {
		t.Errorf("%d turns took %s", turns, took)
	}
}

// Guards against requests whose replicas are all down and that stop all others: many of one organisation
// come first, and no room is ever reported for them.
func TestRequestsWithoutReplicasDoNotStopOthers(t *testing.T) {
	f := newFixture(t, Options{})
	const blocked, others = 20, 100
	for i := range blocked {
		r := f.request(fmt.Sprint("blocked", i), 0, patient)
		r.HasRoom = func() bool { return false }
		f.enter(t.Context(), r)
	}
	f.slots.free.Store(others)
	begin := time.Now()
	for i := range others {
		f.enter(t.Context(), f.request(fmt.Sprint(i), 5, patient))
	}
	f.eventually("the others are placed", func() bool { return f.ended() == others })
	const holds = 2 * time.Second // those of the blocked requests, in this time
	if took := time.Since(begin); took > holds+time.Second {
		t.Errorf("placing %d requests took %s", others, took)
	}
}

// Guards against refusing requests, for which there is room, by an estimate that counts large prompts for
// which there is none.
func TestLargePromptsWithoutRoomDoNotRefuseOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		blocked := func(id string, priority int, cost int64) {
			r := f.request(id, priority, patient)
			r.Cost, r.HasRoom = cost, func() bool { return false }
			f.enter(t.Context(), r)
		}
		blocked("last", 9, 1)
		for range 50 { // some 100,000 tokens a second
			f.room.Started("s", 1000)
			time.Sleep(10 * time.Millisecond)
		}
		for i := range 6 {
			blocked(fmt.Sprint("large", i), 4, 40_000)
		}
		const others = 50
		f.slots.free.Store(others)
		for i := range others {
			f.enter(t.Context(), f.request(fmt.Sprint(i), 5, 1500*time.Millisecond))
		}
		f.eventually("the others end", func() bool { return f.ended() == others })
		f.record(func() {
			if len(f.refused) > 0 {
				t.Errorf("%d of %d are refused", len(f.refused), others)
			}
		})
	})
}

// Guards against a place that is lost when the chosen replica has no room after all.
func TestTurnWithoutRoomKeepsThePlace(t *testing.T) {
	f := newFixture(t, Options{})
	only := f.request("first", 5, patient)
	only.HasRoom = func() bool { return true } // says so in vain until a slot is free
	f.enter(t.Context(), only)
	for i := range 5 {
		f.enter(t.Context(), f.request(fmt.Sprint(i), 5, patient))
	}
	f.eventually("turns without room", func() bool {
		n := 0
		f.record(func() { n = f.noRoom })
		return n >= 3
	})
	f.open(1)
	f.expect("placed", &f.placed, "first")
}

// TestUnreportedRoomGoesToTheFirst guards against room that a request gets past the one before it, whose turn found none just before the room came.
func TestUnreportedRoomGoesToTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		var asked atomic.Bool
		first := f.request("first", 5, patient)
		first.HasRoom = asked.Load
		var ticket *Ticket
		f.wg.Go(func() {
			ticket, _ = f.room.Wait(t.Context(), first)
			f.slots.free.Store(1) // after the turn found none
			if err := ticket.NoRoom(t.Context()); err == nil && f.slots.take() {
				ticket.Placed()
				f.record(func() { f.placed = append(f.placed, "first") })
			}
			ticket.Leave()
		})
		synctest.Wait()
		f.enter(t.Context(), f.request("behind", 5, patient))
		synctest.Wait()
		asked.Store(true)
		f.room.OnRoom(nil)
		time.Sleep(roundInterval)
		synctest.Wait()
		if got := f.placed; !slices.Equal(got, []request.ID{"first"}) {
			t.Errorf("placed %v", got)
		}
		f.open(1)
		f.expect("placed", &f.placed, "first", "behind")
	})
}

// TestWrongHasRoomKeepsNoRoomFromOthers guards against a request that is given turn after turn in vain while those behind it find room.
func TestWrongHasRoomKeepsNoRoomFromOthers(t *testing.T) {
	f := newFixture(t, Options{})
	f.wg.Go(func() {
		wrong := f.request("wrong", 5, patient)
		wrong.HasRoom = func() bool { return true }
		ticket, err := f.room.Wait(t.Context(), wrong)
		for err == nil && f.ended() == 0 {
			err = ticket.NoRoom(t.Context())
		}
		ticket.Leave()
	})
	f.eventually("it waits", func() bool { return f.room.State().Requests == 1 })
	f.enter(t.Context(), f.request("behind", 5, patient))
	f.slots.free.Store(1)
	f.expect("placed", &f.placed, "behind")
}

// Guards against a request for whose turn nothing is reported: rate limits end by time alone.
func TestRoomWithoutReportIsFound(t *testing.T) {
	f := newFixture(t, Options{})
	f.enter(t.Context(), f.request("a", 5, patient))
	f.slots.free.Store(1)
	f.expect("placed", &f.placed, "a")
}

// Guards against a request that is held past its time: it is refused as soon as it is over.
func TestRequestIsRefusedInTime(t *testing.T) {
	f := newFixture(t, Options{})
	begin := time.Now()
	f.enter(t.Context(), f.request("a", 5, 150*time.Millisecond))
	f.expect("refused", &f.refused, "a")
	if took := time.Since(begin); took < 150*time.Millisecond || took > 2*time.Second {
		t.Errorf("refused after %s", took)
	}
	if s := f.room.State(); s.Requests != 0 || s.Bytes != 0 {
		t.Errorf("state %+v", s)
	}
}

// Guards against the place of a caller that has left: the next request gets its room at once.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	f := newFixture(t, Options{})
	ctx, leave := context.WithCancel(t.Context())
	f.enter(ctx, f.request("a", 0, patient))
	f.enter(t.Context(), f.request("b", 5, patient))
	leave()
	f.expect("left", &f.left, "a")
	if !f.room.MayEnter("s", 4) || f.room.MayEnter("s", 5) {
		t.Errorf("the place of the caller is not free: %+v", f.room.State())
	}
	f.open(1)
	f.expect("placed", &f.placed, "b")
}

// Guards against a caller that leaves during its turn, before it is placed.
func TestCallerThatLeavesDuringItsTurn(t *testing.T) {
	f := newFixture(t, Options{})
	f.slots.free.Store(1)
	ticket, err := f.room.Wait(t.Context(), f.request("a", 0, patient))
	if err != nil {
		t.Fatal(err)
	}
	f.enter(t.Context(), f.request("b", 5, patient))
	ticket.Leave()
	ticket.Leave()
	ticket.Placed()
	f.expect("placed", &f.placed, "b")
}

// Guards against placements that take long, as when the owner of a context store does not answer: they do
// not stop the others, and their number is bounded.
func TestSlowPlacementsDoNotStopOthers(t *testing.T) {
	f := newFixture(t, Options{})
	f.slots.free.Store(1)
	begin := time.Now()
	for i := range maxTurns - 1 {
		slow, err := f.room.Wait(t.Context(), f.request(fmt.Sprint("slow", i), 0, patient))
		if err != nil {
			t.Fatal(err)
		}
		defer slow.Leave()
	}
	f.enter(t.Context(), f.request("b", 5, patient))
	f.expect("placed", &f.placed, "b")
	if took := time.Since(begin); took < (maxTurns-1)*DefaultTurnTime {
		t.Errorf("%d turns within %s, want one each %s", maxTurns, took, DefaultTurnTime)
	}
}

// Guards against streams that wait in a draining daemon longer than it accepts them; other requests go on.
func TestDrainBoundsTheWaitOfStreams(t *testing.T) {
	f := newFixture(t, Options{})
	stream := f.request("stream", 5, patient)
	stream.Stream = true
	f.enter(t.Context(), stream)
	f.enter(t.Context(), f.request("call", 5, patient))
	f.room.Drain(time.Now().Add(100 * time.Millisecond))
	f.expect("refused", &f.refused, "stream")
	late := f.request("late", 5, patient)
	late.Stream = true
	if _, err := f.room.Wait(t.Context(), late); err == nil {
		t.Error("a stream waits in a daemon that accepts none")
	}
	f.open(1)
	f.expect("placed", &f.placed, "call")
}

// Guards against a stop that leaves a request without an answer: each is refused, also one that has its
// turn and finds no room, and one that comes later.
func TestCloseRefusesAll(t *testing.T) {
	f := newFixture(t, Options{})
	f.slots.free.Store(1)
	turn, err := f.room.Wait(t.Context(), f.request("turn", 0, patient))
	if err != nil {
		t.Fatal(err)
	}
	f.slots.free.Store(0)
	f.enter(t.Context(), f.request("a", 5, patient))
	f.room.Close()
	f.room.Close()
	f.expect("refused", &f.refused, "a")
	var refusal *Refusal
	if err := turn.NoRoom(t.Context()); !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal", err)
	}
	if _, err := f.room.Wait(t.Context(), f.request("later", 5, patient)); !errors.As(err, &refusal) {
		t.Errorf("got %v, want a refusal", err)
	}
	if n := f.room.State().Requests; n != 0 {
		t.Errorf("%d still wait", n)
	}
}

// Guards against lost or double answers when many come, leave and find room at the same time.
func TestManyAtOnce(t *testing.T) {
	f := newFixture(t, Options{})
	const n = 400
	for i := range n {
		f.wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*100*time.Millisecond)
			defer cancel()
			r := f.request(fmt.Sprint(i), i%10, time.Duration(1+i%5)*150*time.Millisecond)
			r.Org = request.OrgID(fmt.Sprint(i % 3))
			ticket, err := f.room.Wait(ctx, r)
			defer ticket.Leave()
			for err == nil && !f.slots.take() {
				err = ticket.NoRoom(ctx)
			}
			if err == nil {
				ticket.Placed()
				time.Sleep(time.Millisecond)
				f.open(1)
			}
			f.record(func() { f.placed = append(f.placed, r.ID) })
		})
	}
	f.open(3)
	f.wg.Wait()
	if s := f.room.State(); s.Requests != 0 || s.Bytes != 0 || len(s.Services) != 0 {
		t.Errorf("state at the end: %+v", s)
	}
	if f.ended() != n {
		t.Errorf("%d ended, want %d", f.ended(), n)
	}
}

// An operator sees what waits in the state dump and, once a second, in the log.
func TestStateAndLog(t *testing.T) {
	var log lockedBuilder
	f := newFixture(t, Options{Logger: hclog.New(&hclog.LoggerOptions{Output: &log})})
	r := f.request("a", 3, patient)
	r.Org, r.Bytes = "acme", 7
	f.enter(t.Context(), r)
	f.enter(t.Context(), f.request("b", 4, patient))
	s := f.room.State()
	if s.Requests != 2 || s.Bytes != 7 || len(s.Waiting) != 2 || s.Waiting[0].Org != "acme" || s.Waiting[0].Priority != 3 {
		t.Errorf("state %+v", s)
	}
	want := []waitroom.Backlog{{Priority: 3, Requests: 1, Tokens: 100}, {Priority: 4, Requests: 1, Tokens: 100}}
	if got := f.room.Backlog("s"); !slices.Equal(got, want) {
		t.Errorf("backlog %v, want %v", got, want)
	}
	f.eventually("a line about what waits", func() bool { return strings.Contains(log.String(), loglines.Waiting) })
}

type lockedBuilder struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuilder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuilder) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// BenchmarkNoWait measures a request that needs not wait, while nothing or less urgent work waits.
func BenchmarkNoWait(b *testing.B) {
	for _, waiting := range []int{0, 10, 1000, 10_000} {
		for _, orgs := range []int{1, 1000} {
			b.Run(fmt.Sprintf("waiting=%d/orgs=%d", waiting, orgs), func(b *testing.B) { benchmarkNoWait(b, waiting, orgs) })
		}
	}
}

func benchmarkNoWait(b *testing.B, waiting, orgs int) {
	r := New(Options{MaxRequests: waiting + 1, MaxBytes: 1 << 20})
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(b.Context())
	defer wg.Wait()
	defer r.Close()
	defer cancel()
	latest := time.Now().Add(time.Hour)
	for i := range waiting {
		wg.Go(func() {
			t, _ := r.Wait(ctx, &Request{
				Item:    waitroom.Item{Service: "s", Org: request.OrgID(fmt.Sprint(i % orgs)), Priority: 5, LatestStart: latest},
				HasRoom: func() bool { return false },
			})
			t.Leave()
		})
	}
	for r.State().Requests < waiting {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if r.MayEnter("s", 0) {
			r.Started("s", 1000)
		}
	}
}
