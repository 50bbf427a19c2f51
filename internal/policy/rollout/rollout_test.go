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
	simStep = 100 * time.Millisecond
	loadFor = 40 // steps
	orderIn = 30 // steps at most until an order takes effect or is lost
	model   = "m"
)

// engine is a target as far as orders go.
type engine struct {
	state  engineapi.State
	until  int // step at which the load ends
	down   int // step until which it can't be reached
	checks bool
}

func (e *engine) step(step int) {
	if e.state.Loading != "" && step >= e.until {
		e.state.Version, e.state.Loading = e.state.Loading, ""
	}
}

func (e *engine) order(step int, o engineapi.Order) {
	if e.checks {
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
		e.state.Loading, e.until = o.Version, step+loadFor
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

// fleet runs one or more holders, one after the other, against engines.
type fleet struct {
	rng     *rand.Rand
	engines []engine
	wire    []delivery
	holder  *Rollout
	epoch   uint64
	naive   bool
	maxLoad int
	maxOut  int
}

func params(load int, share float64) Params {
	return Params{
		LoadCap: load, MaxUnavailableShare: share, OrderTimeout: (orderIn + 1) * simStep,
		LoadTimeout: (loadFor + 2*orderIn) * simStep,
	}
}

func newFleet(seed int64, n int, p Params) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), engines: make([]engine, n), holder: New(p), epoch: 1}
	for i := range f.engines {
		f.engines[i].state = engineapi.State{Incarnation: 1, Model: model, Version: "v1"}
		f.engines[i].checks = f.rng.Intn(2) == 0
	}
	return f
}

func simTarget(i int) request.TargetID { return request.TargetID(fmt.Sprintf("t%02d", i)) }

func (f *fleet) observe(step int) []Observed {
	now := epoch.Add(time.Duration(step) * simStep)
	var out []Observed
	for i, e := range f.engines {
		o := Observed{Target: simTarget(i), ReadAt: now, Reachable: step >= e.down}
		if o.Reachable {
			o.State = e.state
		}
		out = append(out, o)
	}
	return out
}

func (f *fleet) step(step int, wanted request.Version, loss float64) {
	now := epoch.Add(time.Duration(step) * simStep)
	var wants []Desired
	for i := range f.engines {
		wants = append(wants, Desired{Target: simTarget(i), Model: model, Version: wanted, Role: "prefill"})
	}
	observed := f.observe(step)
	for _, action := range f.decide(now, wants, observed) {
		o, ok := action.(Order)
		if !ok || f.rng.Float64() < loss {
			continue
		}
		for i := range f.engines {
			if simTarget(i) == o.Target {
				f.wire = append(f.wire, delivery{at: step + 1 + f.rng.Intn(orderIn-1), target: i, order: o.Order})
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
	f.maxOut = max(f.maxOut, loading)
}

// decide asks the holder, or the naive twin, which orders what it sees missing.
func (f *fleet) decide(now time.Time, wanted []Desired, observed []Observed) []Action {
	if !f.naive {
		return f.holder.Reconcile(now, f.epoch, wanted, observed)
	}
	var out []Action
	for i, o := range observed {
		if o.State.Version != wanted[i].Version && o.State.Loading == "" {
			out = append(out, Order{Target: o.Target, Order: engineapi.Order{
				Kind: engineapi.OrderLoadVersion, Version: wanted[i].Version, OperationID: now.String(),
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

// Orders and their answers are lost or late, holders are replaced while their orders
// are under way, the table changes its mind, and targets restart; some obey anybody.
// The cap of weight loads and the share of replicas out always hold, and once faults
// end all targets come to what is wanted.
func TestRollout(t *testing.T) {
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
				case 0: // another daemon takes the lease; the holder before is dead or paused
					f.epoch++
					f.holder = New(p)
				case 1:
					wanted = request.Version(fmt.Sprintf("v%d", 2+f.rng.Intn(3)))
				case 2:
					e := &f.engines[f.rng.Intn(n)]
					e.state.Incarnation++
					e.state.Loading = ""
				case 3:
					f.engines[f.rng.Intn(n)].down = i + f.rng.Intn(200)
				}
			}
			f.step(i, wanted, loss)
			if i > faulty && f.done(wanted) {
				break
			}
		}
		if f.maxLoad > loadCap {
			rt.Fatalf("%d load at once, cap %d", f.maxLoad, loadCap)
		}
		if bound := max(1, int(float64(n)*share)); f.maxOut > bound {
			rt.Fatalf("%d of %d out at once, bound %d", f.maxOut, n, bound)
		}
		if !f.done(wanted) {
			rt.Fatalf("not all targets came to %s", wanted)
		}
	})
}

// An operator changes a model's version and all its replicas reload at once: callers
// wait for minutes, and each load is slow. The naive twin orders each target that does
// not have the wanted version.
func TestNaiveRolloutTakesAllOut(t *testing.T) {
	naive, ours := newFleet(1, 12, params(3, 0.34)), newFleet(1, 12, params(3, 0.34))
	naive.naive = true
	for i := range 2000 {
		naive.step(i, "v2", 0)
		ours.step(i, "v2", 0)
	}
	if naive.maxLoad <= 3 {
		t.Fatalf("the naive twin kept to %d; the test shows nothing", naive.maxLoad)
	}
	if ours.maxLoad != 3 || !ours.done("v2") {
		t.Errorf("%d loaded at once, want 3; done %t", ours.maxLoad, ours.done("v2"))
	}
	t.Logf("at once: %d, naive %d", ours.maxLoad, naive.maxLoad)
}

// A daemon was paused and its lease lapsed; another one gives orders now. When the
// first wakes, a target shows it the higher epoch, and it stops.
func TestStepsDownBeforeAHigherEpoch(t *testing.T) {
	r := New(Params{})
	observed := []Observed{{Target: "t1", Reachable: true, ReadAt: epoch, State: engineapi.State{Version: "v1", HighestEpoch: 8}}}
	actions := r.Reconcile(epoch.Add(time.Hour), 7, []Desired{{Target: "t1", Model: model, Version: "v2"}}, observed)
	if len(actions) != 1 || actions[0] != (StepDown{Epoch: 8}) {
		t.Errorf("got %v, want to step down", actions)
	}
}

// Weight loads get slow: more replicas load than may. One that loads can't be reached
// for a while, and its place is given to another; or an order to one that was out of
// reach is sent again when it is back, after its place was given away.
func TestUnreachableTargetKeepsItsPlaceForATime(t *testing.T) {
	p := Params{LoadCap: 1, MaxUnavailableShare: 1, OrderTimeout: time.Second, LoadTimeout: time.Minute}
	wanted := []Desired{{Target: "t1", Model: model, Version: "v2"}, {Target: "t2", Model: model, Version: "v2"}}
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
			for _, action := range r.Reconcile(now, 1, wanted, observed) {
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

// drained is a model's replicas with some work each, brought on with DrainFor.
func drainedFleet(n int) ([]Desired, []Observed) {
	var wanted []Desired
	var observed []Observed
	for i := range n {
		id := request.TargetID(fmt.Sprintf("t%02d", i))
		wanted = append(wanted, Desired{Target: id, Model: "m", Version: "2"})
		o := Observed{Target: id, Reachable: true, InFlight: i}
		o.State.Version = "1"
		observed = append(observed, o)
	}
	return wanted, observed
}

func stepAt(r *Rollout, now time.Time, wanted []Desired, observed []Observed) (orders, drains []request.TargetID) {
	for i := range observed {
		observed[i].ReadAt = now
	}
	for _, a := range r.Reconcile(now, 1, wanted, observed) {
		switch a := a.(type) {
		case Order:
			orders = append(orders, a.Target)
		case Drain:
			drains = append(drains, a.Target)
		}
	}
	return orders, drains
}

// Replicas with requests of several seconds are ordered to load: each refuses new ones and
// waits for the old, so that a fifth of the fleet is out for seconds without a load. With
// DrainFor a replica is ordered once it has nothing left, or after a time.
func TestReplicasAreDrainedBeforeTheyLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Params{LoadCap: 5, MaxUnavailableShare: 0.2, DrainTimeout: time.Second, TakeoverWait: time.Nanosecond})
	wanted, observed := drainedFleet(10)
	stepAt(r, now, wanted, observed)
	now = now.Add(10 * time.Millisecond)
	orders, drains := stepAt(r, now, wanted, observed)
	if len(orders) > 1 || len(orders)+len(drains) != 2 {
		t.Fatalf("orders %v, drains %v", orders, drains)
	}
	if !slices.Contains(append(orders, drains...), "t00") {
		t.Errorf("the idle replica is not first: %v %v", orders, drains)
	}
	orders, drains = stepAt(r, now.Add(1100*time.Millisecond), wanted, observed)
	if len(orders) != 1 || orders[0] != "t01" || len(drains) != 0 {
		t.Errorf("after DrainFor: orders %v, drains %v", orders, drains)
	}
}

// Two daemons order one replica within the time in which only one may: the holder before
// may have done so just before it died. Such a replica is drained and ordered later.
func TestReplicaIsNotOrderedBeforeItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Params{LoadCap: 5, MaxUnavailableShare: 1, DrainTimeout: time.Second, TakeoverWait: time.Nanosecond})
	wanted, observed := drainedFleet(2)
	observed[0].InFlight, observed[1].InFlight = 0, 0
	observed[0].NoOrderBefore = now.Add(3 * time.Second)
	stepAt(r, now, wanted, observed)
	orders, drains := stepAt(r, now.Add(time.Millisecond), wanted, observed)
	if slices.Contains(orders, "t00") || !slices.Contains(drains, "t00") {
		t.Errorf("orders %v, drains %v", orders, drains)
	}
	orders, _ = stepAt(r, now.Add(3*time.Second), wanted, observed)
	if !slices.Contains(orders, "t00") {
		t.Errorf("orders %v after its time", orders)
	}
}

// The load: streams of 2 to 3 s on all of 12 replicas, and prompts that are computed in some
// 100 ms. Waiting for the streams took a replica out for 3 s and made the rollout last for 9.
// They may go on under the new weights, but for prompts in the midst of being computed: their
// KV cache would come from both. A replica is drained until those are done, up to a time.
func TestReplicaLoadsWithStreamsRunningButNoPromptBeingComputed(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Params{LoadCap: 2, MaxUnavailableShare: 1, DrainTimeout: 200 * time.Millisecond, PrefillTimeout: time.Second, TakeoverWait: time.Nanosecond})
	wanted, observed := drainedFleet(3)
	observed[0].InFlight, observed[1].InFlight, observed[2].InFlight = 9, 9, 9
	observed[1].PrefillTokens, observed[2].PrefillTokens = 5000, 5000
	step := func() map[request.TargetID]bool {
		computed := map[request.TargetID]bool{}
		for i := range observed {
			observed[i].ReadAt = now
		}
		for _, a := range r.Reconcile(now, 1, wanted, observed) {
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
		t.Fatalf("ordered before DrainFor: %v", got)
	}
	now = now.Add(150 * time.Millisecond)
	if got := step(); len(got) != 1 || !got["t00"] {
		t.Fatalf("after DrainFor: %v", got)
	}
	observed[1].PrefillTokens = 0
	now = now.Add(100 * time.Millisecond)
	if got := step(); len(got) != 1 || !got["t01"] {
		t.Fatalf("once its prompts were computed: %v", got)
	}
	observed[0].State.Version, observed[1].State.Version = "2", "2"
	now = now.Add(time.Second)
	if got, has := step()["t02"]; got || !has {
		t.Error("want an order that waits for what runs, after ComputeFor")
	}
}
