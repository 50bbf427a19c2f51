package limit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	simStep     = 10 * time.Millisecond
	simMaxDelay = 5 // steps at most that a message takes
)

// message is a slice request in transit to a coordinator, or its answer in transit back.
type message struct {
	at          int // step of arrival
	daemon      int
	coordinator int
	request     SliceRequest
	slice       *Slice // nil: a slice request
	failed      bool
}

type pendingCall struct {
	tokens int64
	since  int
}

// fleet simulates LocalLimiters and Coordinators for one organisation, with message delays,
// network partitions and changes of the coordinator.
type fleet struct {
	limits        Limits
	rng           *rand.Rand
	limiters      []*LocalLimiter
	coordinators  []*Coordinator
	partitioned   []bool // daemons that cannot reach any coordinator
	coordinatorOf []int  // the coordinator that each daemon uses
	waiting       [][]pendingCall
	inTransit     []message
	running       []running
	admitted      []time.Time
	tokens        []int64 // tokens charged, by admission
	refused       int
	peak          int
	maxTokens     int64 // largest number of tokens in a slice request
}

type running struct {
	daemon int
	ends   int
}

func newFleet(seed int64, daemons int, limits Limits) *fleet {
	f := &fleet{limits: limits, rng: rand.New(rand.NewSource(seed)), partitioned: make([]bool, daemons), coordinatorOf: make([]int, daemons)}
	f.waiting = make([][]pendingCall, daemons)
	for range daemons {
		f.limiters = append(f.limiters, NewLocalLimiter(Params{}, daemons))
		s := NewCoordinator(epoch.Add(-time.Hour), Params{})
		s.OnMembershipChange(epoch.Add(-time.Hour), daemons, daemons)
		f.coordinators = append(f.coordinators, s)
	}
	return f
}

func (f *fleet) now(step int) time.Time { return epoch.Add(time.Duration(step) * simStep) }

func (f *fleet) send(step, daemon int, req *SliceRequest) {
	if req == nil {
		return
	}
	f.maxTokens = max(f.maxTokens, req.Tokens)
	m := message{at: step + 1 + f.rng.Intn(simMaxDelay), daemon: daemon, coordinator: f.coordinatorOf[daemon], request: *req}
	if f.partitioned[daemon] {
		m.failed = true
		m.slice = &Slice{}
	}
	f.inTransit = append(f.inTransit, m)
}

func (f *fleet) deliver(step int) {
	inTransit := f.inTransit
	f.inTransit = nil
	for _, m := range inTransit {
		now := f.now(step)
		switch {
		case m.at > step:
			f.inTransit = append(f.inTransit, m)
		case m.failed:
			f.limiters[m.daemon].OnSliceFailed(now, "a")
			f.retry(step, m.daemon)
		case m.slice == nil:
			from := request.DaemonID(fmt.Sprint(m.daemon))
			slice := f.coordinators[m.coordinator].Slice(now, from, "a", f.limits, m.request)
			m.slice, m.at = &slice, step+1+f.rng.Intn(simMaxDelay)
			f.inTransit = append(f.inTransit, m)
		default:
			f.limiters[m.daemon].OnSlice(now, "a", *m.slice)
			f.retry(step, m.daemon)
		}
	}
}

func (f *fleet) retry(step, daemon int) {
	calls := f.waiting[daemon]
	f.waiting[daemon] = nil
	for _, c := range calls {
		f.call(step, daemon, c)
	}
}

func (f *fleet) call(step, daemon int, c pendingCall) {
	d := f.limiters[daemon].Admit(f.now(step), "a", f.limits, c.tokens)
	f.send(step, daemon, d.SliceRequest)
	switch d.Outcome {
	case Admitted:
		f.admitted = append(f.admitted, f.now(step))
		f.tokens = append(f.tokens, c.tokens)
		f.running = append(f.running, running{daemon: daemon, ends: step + 5 + f.rng.Intn(60)})
		f.peak = max(f.peak, len(f.running))
	case Pending:
		f.waiting[daemon] = append(f.waiting[daemon], c)
	case Refused:
		f.refused++
	}
}

func (f *fleet) step(step int, callsPerStep float64) {
	f.deliver(step)
	remaining := f.running[:0]
	for _, r := range f.running {
		if r.ends > step {
			remaining = append(remaining, r)
			continue
		}
		f.limiters[r.daemon].Done(f.now(step), "a", 0)
	}
	f.running = remaining
	for n := callsPerStep; f.rng.Float64() < n; n-- {
		daemon := f.rng.Intn(len(f.limiters))
		f.call(step, daemon, pendingCall{tokens: 1 + f.rng.Int63n(2000), since: step})
	}
	for i, l := range f.limiters {
		for _, req := range l.Tick(f.now(step)) {
			f.send(step, i, &req)
		}
		f.coordinators[i].Tick(f.now(step))
	}
}

// overrun returns the maximum by which the amount in any time window exceeds rate x length.
func overrun(at []time.Time, amount func(i int) float64, rate float64) float64 {
	// The largest increase of (sum - rate x time) above its lowest earlier value.
	var sum, worst float64
	lowest := 0.0
	for i, t := range at {
		level := sum - rate*t.Sub(epoch).Seconds()
		if i == 0 || level < lowest {
			lowest = level
		}
		sum += amount(i)
		worst = max(worst, sum-rate*t.Sub(epoch).Seconds()-lowest)
	}
	return worst
}

func one(int) float64 { return 1 }

// Checks the error bounds stated in docs/design/limits.md over any time window, while
// daemons are partitioned and reconnected and the coordinator changes.
func TestLimitsHoldWithinStatedError(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 8).Draw(rt, "homes")
		limits := Limits{
			RequestsPerSecond: float64(rapid.IntRange(1, 40).Draw(rt, "rate")),
			Burst:             rapid.IntRange(1, 20).Draw(rt, "burst"),
			Concurrency:       rapid.IntRange(1, 30).Draw(rt, "concurrency"),
			TokensPerSecond:   float64(rapid.IntRange(100, 20000).Draw(rt, "tokens")),
		}
		f := newFleet(rapid.Int64().Draw(rt, "seed"), daemons, limits)
		calls := rapid.Float64Range(0.01, 3).Draw(rt, "calls")
		partitioning := rapid.Bool().Draw(rt, "cuts")
		changing := rapid.Bool().Draw(rt, "changes")
		partitions, changes, changedAt := 0, 0, -1
		const steps, settle = 800, 100
		for i := range steps {
			if partitioning && i%100 == 50 {
				daemon := f.rng.Intn(daemons)
				if f.partitioned[daemon] = !f.partitioned[daemon]; f.partitioned[daemon] {
					partitions++
				}
			}
			if changing && i%400 == 200 && daemons > 1 {
				changedAt = i
				changes++
				for s := range f.coordinators {
					f.coordinators[s].OnAssignmentsChanged(f.now(i))
				}
			}
			if changedAt >= 0 && i-changedAt <= settle { // the daemons detect the change one after another
				for h := range f.coordinatorOf {
					if i-changedAt >= settle*h/daemons {
						f.coordinatorOf[h] = changes % daemons
					}
				}
			}
			f.step(i, calls)
		}
		p := Params{}
		p.setDefaults()
		n := float64(daemons)
		// Slice requests in transit when a daemon detects the change still reach the previous
		// coordinator.
		ttl, split := p.SliceTTL.Seconds(), (settle+simMaxDelay)*simStep.Seconds()
		total := float64(steps) * simStep.Seconds()

		bound := limits.burst() + limits.RequestsPerSecond*ttl
		bound += float64(changes) * (1 + limits.RequestsPerSecond*(split+ttl))
		bound += float64(partitions) * (2 + limits.burst()/n + limits.RequestsPerSecond/n*total)
		if got := overrun(f.admitted, one, limits.RequestsPerSecond); got > bound+1e-6 {
			rt.Fatalf("requests: %.1f above the rate, bound %.1f", got, bound)
		}
		bound = limits.tokenBurst() + limits.TokensPerSecond*ttl + float64(f.maxTokens)
		bound += float64(changes) * (1 + limits.TokensPerSecond*(split+ttl) + float64(f.maxTokens))
		bound += float64(partitions) * (limits.tokenBurst()/n + limits.TokensPerSecond/n*total + float64(f.maxTokens))
		tokens := func(i int) float64 { return float64(f.tokens[i]) }
		if got := overrun(f.admitted, tokens, limits.TokensPerSecond); got > bound+1e-6 {
			rt.Fatalf("tokens: %.1f above the rate, bound %.1f", got, bound)
		}
		if partitions+changes == 0 && f.peak > limits.Concurrency {
			rt.Fatalf("%d at once, limit %d", f.peak, limits.Concurrency)
		}
		if len(f.admitted) == 0 && calls > 0.2 {
			rt.Fatalf("nothing admitted")
		}
	})
}

// Guards against a limit that multiplies with the number of daemons. If each of eight
// daemons enforces the full limit locally and callers spread over all of them, an
// organisation limited to 10 requests a second gets 80, at the expense of others. The naive
// baseline is such a set of local buckets.
func TestOneLimitOverAllDaemons(t *testing.T) {
	const daemons, steps = 8, 2000
	limits := Limits{RequestsPerSecond: 10, Burst: 10}
	f := newFleet(1, daemons, limits)
	naive := 0
	local := make([]bucket, daemons)
	for i := range steps {
		f.step(i, 2)
		for range 2 {
			b := &local[f.rng.Intn(daemons)]
			b.fill(f.now(i), limits.RequestsPerSecond, limits.burst())
			if b.level >= 1 {
				b.level--
				naive++
			}
		}
	}
	seconds := steps * simStep.Seconds()
	allowed := int(limits.burst() + limits.RequestsPerSecond*(seconds+DefaultSliceTTL.Seconds()))
	if naive <= 2*allowed {
		t.Errorf("local buckets admitted %d; the test proves nothing", naive)
	}
	if len(f.admitted) > allowed || len(f.admitted) < allowed*8/10 {
		t.Errorf("admitted %d, want nearly %d", len(f.admitted), allowed)
	}
	t.Logf("admitted %d of %d allowed, local buckets %d", len(f.admitted), allowed, naive)
}

// One daemon is partitioned from the others for half a minute. It still serves its callers
// at its share of the limit, so that the organisation in total gets no more than its limit
// plus that share. Failing closed would refuse all requests, failing open would admit all.
func TestPartitionedDaemonAdmitsItsShare(t *testing.T) {
	limits := Limits{RequestsPerSecond: 80, Burst: 8, Concurrency: 800}
	l := NewLocalLimiter(Params{}, 8)
	admitted := map[bool]int{}
	for i := range 6000 {
		now := epoch.Add(time.Duration(i) * simStep)
		d := l.Admit(now, "a", limits, 1)
		if d.SliceRequest != nil {
			l.OnSliceFailed(now, "a")
		}
		if d.Outcome == Admitted {
			admitted[now.Sub(epoch) < DefaultFallbackTTL]++
			l.Done(now, "a", 0)
		}
		if d.Outcome == Refused && d.RetryAfter <= 0 {
			t.Fatal("refused without a retry time")
		}
	}
	if got := admitted[true]; got < 290 || got > 302 {
		t.Errorf("admitted %d in the first 30 s, want 10 a second", got)
	}
	if got := admitted[false]; got < 28 || got > 32 {
		t.Errorf("admitted %d in the next 30 s, want 1 a second", got)
	}
}

// During a network partition each side has its own coordinator. Together the sides admit the
// limit, since each coordinator grants live/known of it.
func TestPartitionSidesShareTheLimit(t *testing.T) {
	limits := Limits{RequestsPerSecond: 100, Burst: 10}
	total := int64(0)
	for _, live := range []int{3, 5} {
		s := NewCoordinator(epoch, Params{})
		s.OnMembershipChange(epoch, live, 8)
		for i := range 1000 {
			total += s.Slice(epoch.Add(time.Duration(i)*simStep), "d", "a", limits, SliceRequest{Requests: 5}).Requests
		}
	}
	if total < 980 || total > 1000+2*10 {
		t.Errorf("both sides granted %d in 10 s, want 1000 and at most two bursts of 10", total)
	}
}
