package rollout

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	simStep       = 100 * time.Millisecond
	loadSteps     = 40 // duration of a load in steps
	maxOrderDelay = 30 // maximum steps until an order takes effect or is lost
	model         = "m"
)

// engine simulates how a target executes orders.
type engine struct {
	state            engineapi.State
	loadEnds         int // step at which the load ends
	unreachableUntil int // step until which the target is unreachable
	fencing          bool
}

func (e *engine) step(step int) {
	if e.state.Loading != "" && step >= e.loadEnds {
		e.state.Version, e.state.Loading = e.state.Loading, ""
	}
}

func (e *engine) order(step int, o engineapi.Order) {
	if e.fencing {
		if o.Epoch < e.state.HighestEpoch {
			return
		}
		e.state.HighestEpoch = o.Epoch
	}
	if e.state.LastOrder == o.OperationID {
		return
	}
	e.state.LastOrder = o.OperationID
	switch o.Kind {
	case engineapi.OrderLoadVersion:
		e.state.Loading, e.loadEnds = o.Version, step+loadSteps
	case engineapi.OrderSetRole:
		e.state.Role = o.Role
	case engineapi.OrderLoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Adapter)
	}
}

type delivery struct {
	at     int
	target int
	order  engineapi.Order
}

// fleet runs consecutive lease holders against engines.
type fleet struct {
	rng            *rand.Rand
	engines        []engine
	wire           []delivery
	holder         *Rollout
	epoch          uint64
	naive          bool
	maxLoad        int
	maxUnavailable int
}

func params(load int, share float64) Params {
	return Params{
		LoadCap: load, MaxUnavailableShare: share, OrderTimeout: (maxOrderDelay + 1) * simStep,
		LoadTimeout: (loadSteps + 2*maxOrderDelay) * simStep,
	}
}

func newFleet(seed int64, n int, p Params) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), engines: make([]engine, n), holder: New(p), epoch: 1}
	for i := range f.engines {
		f.engines[i].state = engineapi.State{Incarnation: 1, Model: model, Version: "v1"}
		f.engines[i].fencing = f.rng.Intn(2) == 0
	}
	return f
}

func simTarget(i int) request.TargetID { return request.TargetID(fmt.Sprintf("t%02d", i)) }

func (f *fleet) observe(step int) []Observed {
	now := epoch.Add(time.Duration(step) * simStep)
	var out []Observed
	for i, e := range f.engines {
		o := Observed{Target: simTarget(i), ReadAt: now, Reachable: step >= e.unreachableUntil}
		if o.Reachable {
			o.State = e.state
		}
		out = append(out, o)
	}
	return out
}

func (f *fleet) step(step int, wanted request.Version, loss float64) {
	now := epoch.Add(time.Duration(step) * simStep)
	var desired []Desired
	for i := range f.engines {
		desired = append(desired, Desired{Target: simTarget(i), Model: model, Version: wanted, Role: "prefill"})
	}
	observed := f.observe(step)
	for _, action := range f.decide(now, desired, observed) {
		o, ok := action.(Order)
		if !ok || f.rng.Float64() < loss {
			continue
		}
		for i := range f.engines {
			if simTarget(i) == o.Target {
				f.wire = append(f.wire, delivery{at: step + 1 + f.rng.Intn(maxOrderDelay-1), target: i, order: o.Order})
			}
		}
	}
	wire := f.wire
	f.wire = nil
	for _, d := range wire {
		if d.at > step {
			f.wire = append(f.wire, d)
			continue
		}
		f.engines[d.target].order(step, d.order)
	}
	loading := 0
	for i := range f.engines {
		f.engines[i].step(step)
		if f.engines[i].state.Loading != "" {
			loading++
		}
	}
	f.maxLoad = max(f.maxLoad, loading)
	f.maxUnavailable = max(f.maxUnavailable, loading)
}

// decide calls the holder, or the naive variant, which orders each load that it finds missing.
func (f *fleet) decide(now time.Time, desired []Desired, observed []Observed) []Action {
	if !f.naive {
		return f.holder.Reconcile(now, f.epoch, desired, observed)
	}
	var out []Action
	for i, o := range observed {
		if o.State.Version != desired[i].Version && o.State.Loading == "" {
			out = append(out, Order{Target: o.Target, Order: engineapi.Order{
				Kind: engineapi.OrderLoadVersion, Version: desired[i].Version, OperationID: now.String(),
			}})
		}
	}
	return out
}

func (f *fleet) done(wanted request.Version) bool {
	for _, e := range f.engines {
		if e.state.Version != wanted || e.state.Loading != "" || e.state.Role != "prefill" {
			return false
		}
	}
	return len(f.wire) == 0
}

// Orders and their responses are lost or delayed, holders are replaced while their orders are in transit,
// the desired state changes, and targets restart; some targets do not check epochs. LoadCap and
// MaxUnavailableShare must always hold, and after the faults all targets must reach the desired state.
func TestRolloutConvergesWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "targets")
		loadCap := rapid.IntRange(1, 4).Draw(rt, "cap")
		share := rapid.Float64Range(0.1, 0.6).Draw(rt, "share")
		p := params(loadCap, share)
		f := newFleet(rapid.Int64().Draw(rt, "seed"), n, p)
		faulty := rapid.IntRange(0, 600).Draw(rt, "faulty steps")
		wanted := request.Version("v2")
		for i := range 6000 {
			loss := 0.0
			if i < faulty {
				loss = 0.3
				switch f.rng.Intn(100) {
				case 0: // another daemon acquires the lease; the previous holder is dead or stalled
					f.epoch++
					f.holder = New(p)
				case 1:
					wanted = request.Version(fmt.Sprintf("v%d", 2+f.rng.Intn(3)))
				case 2:
					e := &f.engines[f.rng.Intn(n)]
					e.state.Incarnation++
					e.state.Loading = ""
				case 3:
					f.engines[f.rng.Intn(n)].unreachableUntil = i + f.rng.Intn(200)
				}
			}
			f.step(i, wanted, loss)
			if i > faulty && f.done(wanted) {
				break
			}
		}
		if f.maxLoad > loadCap {
			rt.Fatalf("%d targets load at once, cap %d", f.maxLoad, loadCap)
		}
		if bound := max(1, int(float64(n)*share)); f.maxUnavailable > bound {
			rt.Fatalf("%d of %d targets unavailable at once, bound %d", f.maxUnavailable, n, bound)
		}
		if !f.done(wanted) {
			rt.Fatalf("not all targets reached %s", wanted)
		}
	})
}

// An operator changes a model's version. If all replicas reload at once, callers wait for minutes and
// each load is slow. The naive variant orders each target that does not have the desired version.
func TestNaiveRolloutExceedsLoadCap(t *testing.T) {
	naive, bounded := newFleet(1, 12, params(3, 0.34)), newFleet(1, 12, params(3, 0.34))
	naive.naive = true
	for i := range 2000 {
		naive.step(i, "v2", 0)
		bounded.step(i, "v2", 0)
	}
	if naive.maxLoad <= 3 {
		t.Fatalf("the naive variant loaded only %d at once, so the test proves nothing", naive.maxLoad)
	}
	if bounded.maxLoad != 3 || !bounded.done("v2") {
		t.Errorf("%d targets loaded at once, want 3; done %t", bounded.maxLoad, bounded.done("v2"))
	}
	t.Logf("concurrent loads: %d, naive variant %d", bounded.maxLoad, naive.maxLoad)
}

// A daemon stalled, its lease expired, and another daemon issues orders. When the first daemon resumes,
// a target reports the higher epoch, and the daemon must step down.
func TestStepsDownOnHigherEpoch(t *testing.T) {
	r := New(Params{})
	observed := []Observed{{Target: "t1", Reachable: true, ReadAt: epoch, State: engineapi.State{Version: "v1", HighestEpoch: 8}}}
	actions := r.Reconcile(epoch.Add(time.Hour), 7, []Desired{{Target: "t1", Model: model, Version: "v2"}}, observed)
	if len(actions) != 1 || actions[0] != (StepDown{Epoch: 8}) {
		t.Errorf("got %v, want StepDown", actions)
	}
}

// More replicas than LoadCap load weights if the slot of a loading target is given away while the target
// is unreachable for a short time, or if an order to an unreachable target is sent again after its slot
// was given away.
func TestUnreachableTargetCountsAsLoadingUntilTimeout(t *testing.T) {
	p := Params{LoadCap: 1, MaxUnavailableShare: 1, OrderTimeout: time.Second, LoadTimeout: time.Minute}
	desired := []Desired{{Target: "t1", Model: model, Version: "v2"}, {Target: "t2", Model: model, Version: "v2"}}
	idle, loads := engineapi.State{Version: "v1"}, engineapi.State{Version: "v1", Loading: "v2"}
	for _, accepted := range []bool{true, false} {
		r := New(p)
		check := func(second int, reachable bool, first, other engineapi.State, want ...request.TargetID) {
			t.Helper()
			now := epoch.Add(time.Duration(second) * time.Second)
			observed := []Observed{
				{Target: "t1", ReadAt: now, Reachable: reachable, State: first},
				{Target: "t2", ReadAt: now, Reachable: true, State: other},
			}
			var ordered []request.TargetID
			for _, action := range r.Reconcile(now, 1, desired, observed) {
				if o, ok := action.(Order); ok {
					ordered = append(ordered, o.Target)
				}
			}
			if !slices.Equal(ordered, want) {
				t.Errorf("accepted %t, at %d s: ordered %v, want %v", accepted, second, ordered, want)
			}
		}
		check(0, true, idle, idle)
		check(1, true, idle, idle, "t1")
		if accepted {
			state := loads
			state.LastOrder = "t1/1.1"
			check(2, true, state, idle)
		}
		check(30, false, engineapi.State{}, idle)
		check(63, false, engineapi.State{}, idle, "t2")
		check(64, true, idle, loads)
		check(65, true, idle, loads)
	}
}

// drainedFleet returns replicas of a model with different numbers of requests in flight.
func drainedFleet(n int) ([]Desired, []Observed) {
	var desired []Desired
	var observed []Observed
	for i := range n {
		id := request.TargetID(fmt.Sprintf("t%02d", i))
		desired = append(desired, Desired{Target: id, Model: "m", Version: "2"})
		o := Observed{Target: id, Reachable: true, InFlight: i}
		o.State.Version = "1"
		observed = append(observed, o)
	}
	return desired, observed
}

func stepAt(r *Rollout, now time.Time, desired []Desired, observed []Observed) (orders, drains []request.TargetID) {
	for i := range observed {
		observed[i].ReadAt = now
	}
	for _, a := range r.Reconcile(now, 1, desired, observed) {
		switch a := a.(type) {
		case Order:
			orders = append(orders, a.Target)
		case Drain:
			drains = append(drains, a.Target)
		}
	}
	return orders, drains
}

// Replicas with requests of several seconds that are ordered to load refuse new requests and wait for the
// running ones, so that a fifth of the fleet is unavailable for seconds without loading. With a
// DrainTimeout, a replica is ordered once it has no requests left, or after the timeout.
func TestReplicasDrainBeforeLoading(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Params{LoadCap: 5, MaxUnavailableShare: 0.2, DrainTimeout: time.Second, TakeoverWait: time.Nanosecond})
	desired, observed := drainedFleet(10)
	stepAt(r, now, desired, observed)
	now = now.Add(10 * time.Millisecond)
	orders, drains := stepAt(r, now, desired, observed)
	if len(orders) > 1 || len(orders)+len(drains) != 2 {
		t.Fatalf("orders %v, drains %v", orders, drains)
	}
	if !slices.Contains(append(orders, drains...), "t00") {
		t.Errorf("the idle replica is not first: orders %v, drains %v", orders, drains)
	}
	orders, drains = stepAt(r, now.Add(1100*time.Millisecond), desired, observed)
	if len(orders) != 1 || orders[0] != "t01" || len(drains) != 0 {
		t.Errorf("after DrainTimeout: orders %v, drains %v", orders, drains)
	}
}

// The previous holder may have sent an order to a replica just before it died, so that two daemons would
// order the replica within the time that allows only one order. Such a replica is drained and ordered
// later.
func TestNoOrderBeforeIsRespected(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Params{LoadCap: 5, MaxUnavailableShare: 1, DrainTimeout: time.Second, TakeoverWait: time.Nanosecond})
	desired, observed := drainedFleet(2)
	observed[0].InFlight, observed[1].InFlight = 0, 0
	observed[0].NoOrderBefore = now.Add(3 * time.Second)
	stepAt(r, now, desired, observed)
	orders, drains := stepAt(r, now.Add(time.Millisecond), desired, observed)
	if slices.Contains(orders, "t00") || !slices.Contains(drains, "t00") {
		t.Errorf("orders %v, drains %v", orders, drains)
	}
	orders, _ = stepAt(r, now.Add(3*time.Second), desired, observed)
	if !slices.Contains(orders, "t00") {
		t.Errorf("orders %v after NoOrderBefore", orders)
	}
}

// Streams of 2 to 3 s run on all of 12 replicas, and prompts take some 100 ms to compute. Waiting for the
// streams made each replica unavailable for 3 s and the rollout last for 9 s. Streams may continue on the
// new weights, but a prompt in prefill would get its KV cache from both versions. A replica is therefore
// drained until its prompts are computed, at most for PrefillTimeout.
func TestReplicaLoadsWithStreamsRunningButNoPrefill(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Params{LoadCap: 2, MaxUnavailableShare: 1, DrainTimeout: 200 * time.Millisecond, PrefillTimeout: time.Second, TakeoverWait: time.Nanosecond})
	desired, observed := drainedFleet(3)
	observed[0].InFlight, observed[1].InFlight, observed[2].InFlight = 9, 9, 9
	observed[1].PrefillTokens, observed[2].PrefillTokens = 5000, 5000
	step := func() map[request.TargetID]bool {
		computed := map[request.TargetID]bool{}
		for i := range observed {
			observed[i].ReadAt = now
		}
		for _, a := range r.Reconcile(now, 1, desired, observed) {
			if o, is := a.(Order); is {
				computed[o.Target] = o.PrefillDone
			}
		}
		return computed
	}
	step() // the takeover
	now = now.Add(10 * time.Millisecond)
	step()
	now = now.Add(100 * time.Millisecond)
	if got := step(); len(got) != 0 {
		t.Fatalf("ordered before DrainTimeout: %v", got)
	}
	now = now.Add(150 * time.Millisecond)
	if got := step(); len(got) != 1 || !got["t00"] {
		t.Fatalf("after DrainTimeout: %v", got)
	}
	observed[1].PrefillTokens = 0
	now = now.Add(100 * time.Millisecond)
	if got := step(); len(got) != 1 || !got["t01"] {
		t.Fatalf("after its prompts were computed: %v", got)
	}
	observed[0].State.Version, observed[1].State.Version = "2", "2"
	now = now.Add(time.Second)
	if got, has := step()["t02"]; got || !has {
		t.Error("want an order that waits for running prompts after PrefillTimeout")
	}
}
