package weights

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

const model = request.Model("m")

// fakeReplicas takes orders at once.
type fakeReplicas struct {
	mu       sync.Mutex
	versions map[request.TargetID]uint64
	orders   map[request.TargetID]uint64
	given    []Order
	givenTo  []request.TargetID
	started  map[request.TargetID]int64
	sentAt   time.Time // when the last order came
	lose     int       // answers of the next orders that are lost, the orders with them
}

func (f *fakeReplicas) Report(_ context.Context, r *replicas.Replica) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Info().ID
	return Report{Weights: map[request.Model]uint64{model: f.versions[id]}, Orders: f.orders[id], Started: f.started[id]}, nil
}

func (f *fakeReplicas) Load(_ context.Context, r *replicas.Replica, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Info().ID
	f.sentAt = time.Now()
	f.given, f.givenTo = append(f.given, o), append(f.givenTo, id)
	if f.lose > 0 {
		f.lose--
		return errors.New("no answer")
	}
	if o.ExpectedOrders != f.orders[id] {
		return errors.New("another number of orders")
	}
	f.orders[id]++
	f.versions[id] = o.Version
	return nil
}

func (f *fakeReplicas) at(version uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, v := range f.versions {
		if v == version {
			n++
		}
	}
	return n
}

// count returns how many replicas there are; orders may be on their way.
func (f *fakeReplicas) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.versions)
}

type bench struct {
	calls *fakeReplicas
	set   *replicas.Set
	fake  *kv.Fake
	named uint64
	since time.Time
}

func newBench(n int) *bench {
	b := &bench{
		calls: &fakeReplicas{versions: map[request.TargetID]uint64{}, orders: map[request.TargetID]uint64{}},
		set:   replicas.NewSet(), fake: kv.NewFake(time.Now), since: time.Now(),
	}
	var present []replicas.Info
	for i := range n {
		id := request.TargetID(fmt.Sprint("r", i))
		b.calls.versions[id] = 1
		present = append(present, replicas.Info{ID: id, Service: "s", Address: "127.0.0.1:1", Weights: map[request.Model]uint64{model: 1}})
	}
	b.set.Apply(time.Now(), replicas.Change{Full: true, Present: present})
	return b
}

func (b *bench) duty(id request.DaemonID) *Controller {
	store := b.fake.Client(string(id))
	return New(Options{
		KV: store, Self: id, Set: b.set, Client: b.calls, OrderLease: 300 * time.Millisecond,
		Leases:            lease.NewManager(lease.Options{KV: store, Self: id, TTL: 2 * time.Second, Margin: 100 * time.Millisecond}),
		RequestedVersions: func() map[request.Model]uint64 { return map[request.Model]uint64{model: b.named} },
		OutdatedSince:     func(_ request.Model, v uint64) (time.Time, bool) { return b.since, v < b.named },
		Rank:              func() int { return 0 },
	})
}

// runUntil steps a duty until all replicas serve a version.
func runUntil(t *testing.T, b *bench, d *Controller, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	all := b.calls.count()
	for b.calls.at(version) < all {
		if ctx.Err() != nil {
			t.Fatalf("%d of %d replicas serve version %d", b.calls.at(version), all, version)
		}
		d.step(ctx)
		time.Sleep(5 * time.Millisecond)
	}
}

// All replicas come to the named version, with one order each.
func TestAllReplicasAreBroughtOn(t *testing.T) {
	b := newBench(6)
	b.named = 2
	runUntil(t, b, b.duty("d1"), 2)
	if n := len(b.calls.given); n != 6 {
		t.Errorf("%d orders for 6 replicas", n)
	}
	for _, o := range b.calls.given {
		if o.Holder != "d1" || o.Epoch == 0 {
			t.Errorf("order %+v", o)
		}
	}
}

// An order is lost with its answer. The replica shows nothing of it and is ordered again,
// with the number of orders that it has taken: were the first carried out late, the
// second would be void, or the first.
func TestLostOrderIsGivenAgain(t *testing.T) {
	b := newBench(2)
	b.named = 2
	b.calls.lose = 1
	runUntil(t, b, b.duty("d1"), 2)
	if n := len(b.calls.given); n != 3 {
		t.Errorf("%d orders", n)
	}
	for _, o := range b.calls.given {
		if o.ExpectedOrders != 0 {
			t.Errorf("order %+v", o)
		}
	}
}

// The holder dies just after it wrote down two replicas and may have ordered them. The
// next one must leave these alone for a while, since two holders would take turns at a
// replica, and may order all others at once: they would be late otherwise.
func TestNextHolderSparesWhatTheOneBeforeMayHaveOrdered(t *testing.T) {
	b := newBench(4)
	b.named = 2
	first := b.duty("d1")
	ctx := context.Background()
	if !first.hold(ctx, time.Now(), true) {
		t.Fatal("the duty was not taken")
	}
	if err := first.plan.set(ctx, first.o.KV, []request.TargetID{"r0", "r1"}); err != nil {
		t.Fatal(err)
	}
	if err := first.lease.Release(ctx); err != nil { // as if it had lapsed
		t.Fatal(err)
	}
	second := b.duty("d2")
	if !second.hold(ctx, time.Now(), true) {
		t.Fatal("the duty was not taken over")
	}
	taken := time.Now()
	for b.calls.at(2) < 2 && time.Since(taken) < 250*time.Millisecond {
		second.step(ctx)
		time.Sleep(2 * time.Millisecond)
	}
	b.calls.mu.Lock()
	early := slices.Clone(b.calls.givenTo)
	b.calls.mu.Unlock()
	if slices.Contains(early, "r0") || slices.Contains(early, "r1") || len(early) == 0 {
		t.Errorf("ordered at once: %v", early)
	}
	runUntil(t, b, second, 2)

	// The one before wakes up and must not write, so that it gives no order.
	if err := first.plan.set(ctx, first.o.KV, []request.TargetID{"r3"}); !errors.Is(err, errPlanLost) {
		t.Errorf("the holder before wrote the plan: %v", err)
	}
}

// A daemon that is stopped gives the duty back once nobody could take its orders for a
// second holder's.
func TestDutyIsGivenBackAfterTheLastOrder(t *testing.T) {
	b := newBench(1)
	b.named = 2
	d := b.duty("d1")
	runUntil(t, b, d, 2)
	sent := b.calls.sentAt
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	d.Shutdown(ctx)
	if took := time.Since(sent); took < d.o.OrderLease {
		t.Errorf("given back %s after an order", took)
	}
	if !b.duty("d2").hold(ctx, time.Now(), false) {
		t.Error("nobody can take the duty")
	}
}

// A rollout that is late takes more replicas out at once.
func TestLateRolloutHurries(t *testing.T) {
	if !(outShareAt(0) < outShareAt(hastenAfter+1) && outShareAt(hastenAfter+1) < outShareAt(hurryAfter+1)) {
		t.Error("the shares do not grow")
	}
}

// A replica takes an order and crashes before it has loaded; it is back under its id with the
// weights that it had, and counts its orders anew. The holder of the rollout must not wait
// for the order of the dead process, nor send the next with its count.
func TestOrderOfAnEarlierStartIsForgotten(t *testing.T) {
	b := newBench(3)
	b.named = 2
	d := b.duty("d1")
	ctx := context.Background()
	for len(d.ordered) == 0 {
		d.step(ctx)
		time.Sleep(5 * time.Millisecond)
	}
	var id request.TargetID
	for b.calls.at(2) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.calls.mu.Lock()
	id = b.calls.givenTo[0]
	b.calls.versions[id], b.calls.orders[id] = 1, 0
	b.calls.started = map[request.TargetID]int64{id: 7}
	b.calls.mu.Unlock()
	before := b.set.Get(id)
	runUntil(t, b, d, 2)
	if b.set.Get(id) == before {
		t.Error("the replica's own word that it started again is not taken")
	}
	b.calls.mu.Lock()
	defer b.calls.mu.Unlock()
	last := slices.Index(b.calls.givenTo[1:], id) + 1
	if last == 0 || b.calls.given[last].ExpectedOrders != 0 {
		t.Errorf("orders %+v to %v", b.calls.given, b.calls.givenTo)
	}
}
