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

// fakeReplicas executes orders immediately.
type fakeReplicas struct {
	mu          sync.Mutex
	versions    map[request.TargetID]uint64
	orders      map[request.TargetID]uint64
	received    []Order
	receivers   []request.TargetID
	started     map[request.TargetID]int64
	lastOrderAt time.Time // when the last order arrived
	loseOrders  int       // how many of the next orders are lost
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
	f.lastOrderAt = time.Now()
	f.received, f.receivers = append(f.received, o), append(f.receivers, id)
	if f.loseOrders > 0 {
		f.loseOrders--
		return errors.New("no answer")
	}
	if o.ExpectedOrders != f.orders[id] {
		return errors.New("another number of orders")
	}
	f.orders[id]++
	f.versions[id] = o.Version
	return nil
}

func (f *fakeReplicas) countAt(version uint64) int {
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

// count returns the number of replicas. It locks, since orders may be in flight.
func (f *fakeReplicas) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.versions)
}

type testFleet struct {
	calls     *fakeReplicas
	set       *replicas.Set
	fake      *kv.Fake
	requested uint64
	since     time.Time
}

func newTestFleet(n int) *testFleet {
	fleet := &testFleet{
		calls: &fakeReplicas{versions: map[request.TargetID]uint64{}, orders: map[request.TargetID]uint64{}},
		set:   replicas.NewSet(), fake: kv.NewFake(time.Now), since: time.Now(),
	}
	var present []replicas.Info
	for i := range n {
		id := request.TargetID(fmt.Sprint("r", i))
		fleet.calls.versions[id] = 1
		present = append(present, replicas.Info{ID: id, Service: "s", Address: "127.0.0.1:1", Weights: map[request.Model]uint64{model: 1}})
	}
	fleet.set.Apply(time.Now(), replicas.Change{Full: true, Present: present})
	return fleet
}

func (f *testFleet) newController(id request.DaemonID) *Controller {
	store := f.fake.Client(string(id))
	return New(Options{
		KV: store, Self: id, Set: f.set, Client: f.calls, OrderLease: 300 * time.Millisecond,
		Leases:            lease.NewManager(lease.Options{KV: store, Self: id, TTL: 2 * time.Second, Margin: 100 * time.Millisecond}),
		RequestedVersions: func() map[request.Model]uint64 { return map[request.Model]uint64{model: f.requested} },
		OutdatedSince:     func(_ request.Model, v uint64) (time.Time, bool) { return f.since, v < f.requested },
		Rank:              func() int { return 0 },
	})
}

// reconcileUntil runs iterations of a controller until all replicas serve a version.
func reconcileUntil(t *testing.T, f *testFleet, d *Controller, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	all := f.calls.count()
	for f.calls.countAt(version) < all {
		if ctx.Err() != nil {
			t.Fatalf("%d of %d replicas serve version %d", f.calls.countAt(version), all, version)
		}
		d.reconcile(ctx)
		time.Sleep(5 * time.Millisecond)
	}
}

// All replicas reach the requested version, with one order each.
func TestAllReplicasReachRequestedVersion(t *testing.T) {
	fleet := newTestFleet(6)
	fleet.requested = 2
	reconcileUntil(t, fleet, fleet.newController("d1"), 2)
	if n := len(fleet.calls.received); n != 6 {
		t.Errorf("%d orders for 6 replicas", n)
	}
	for _, o := range fleet.calls.received {
		if o.Holder != "d1" || o.Epoch == 0 {
			t.Errorf("order %+v", o)
		}
	}
}

// An order and its response are lost. The replica's state does not change, and the controller
// sends the order again with the same number of accepted orders: if the first order arrives late,
// the replica executes only one of the two.
func TestLostOrderIsRetried(t *testing.T) {
	fleet := newTestFleet(2)
	fleet.requested = 2
	fleet.calls.loseOrders = 1
	reconcileUntil(t, fleet, fleet.newController("d1"), 2)
	if n := len(fleet.calls.received); n != 3 {
		t.Errorf("%d orders", n)
	}
	for _, o := range fleet.calls.received {
		if o.ExpectedOrders != 0 {
			t.Errorf("order %+v", o)
		}
	}
}

// The lease holder dies just after it recorded two replicas and may have ordered them.
// The next holder must wait before it orders these two, since a replica must not receive orders
// from two holders. It must order all others at once, or the rollout would be late.
func TestNextHolderDelaysOrdersOfPreviousHolder(t *testing.T) {
	fleet := newTestFleet(4)
	fleet.requested = 2
	first := fleet.newController("d1")
	ctx := context.Background()
	if !first.ensureLease(ctx, time.Now(), true) {
		t.Fatal("the first controller did not acquire the lease")
	}
	if err := first.orderRecord.replaceReplicas(ctx, first.o.KV, []request.TargetID{"r0", "r1"}); err != nil {
		t.Fatal(err)
	}
	if err := first.lease.Release(ctx); err != nil { // stands in for its expiry
		t.Fatal(err)
	}
	second := fleet.newController("d2")
	if !second.ensureLease(ctx, time.Now(), true) {
		t.Fatal("the second controller did not acquire the lease")
	}
	taken := time.Now()
	for fleet.calls.countAt(2) < 2 && time.Since(taken) < 250*time.Millisecond {
		second.reconcile(ctx)
		time.Sleep(2 * time.Millisecond)
	}
	fleet.calls.mu.Lock()
	early := slices.Clone(fleet.calls.receivers)
	fleet.calls.mu.Unlock()
	if slices.Contains(early, "r0") || slices.Contains(early, "r1") || len(early) == 0 {
		t.Errorf("ordered at once: %v", early)
	}
	reconcileUntil(t, fleet, second, 2)

	// The previous holder resumes. Its write must fail, which keeps it from sending orders.
	if err := first.orderRecord.replaceReplicas(ctx, first.o.KV, []request.TargetID{"r3"}); !errors.Is(err, errRecordTakenOver) {
		t.Errorf("the previous holder wrote the order record: %v", err)
	}
}

// A daemon that shuts down releases the lease only after the order lease of its last order, since
// a replica must not receive orders from two holders within it.
func TestLeaseIsReleasedAfterLastOrder(t *testing.T) {
	fleet := newTestFleet(1)
	fleet.requested = 2
	d := fleet.newController("d1")
	reconcileUntil(t, fleet, d, 2)
	sent := fleet.calls.lastOrderAt
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	d.Shutdown(ctx)
	if took := time.Since(sent); took < d.o.OrderLease {
		t.Errorf("lease released %s after an order", took)
	}
	if !fleet.newController("d2").ensureLease(ctx, time.Now(), false) {
		t.Error("another daemon can't acquire the lease")
	}
}

// TestPlannedStopLeavesNoWait guards against a rollout that stands still after each planned stop of the daemon that runs it: it releases the
// lease when its orders can no longer be pending, so that the next holder has nothing to wait for.
func TestPlannedStopLeavesNoWait(t *testing.T) {
	fleet := newTestFleet(2)
	fleet.requested = 2
	first := fleet.newController("d1")
	reconcileUntil(t, fleet, first, 2)
	stop(t, first)
	second := fleet.newController("d2")
	if !second.ensureLease(t.Context(), time.Now(), true) {
		t.Fatal("the second controller did not acquire the lease")
	}
	now := time.Now()
	for id, until := range second.inheritedUntil {
		if now.Before(until) {
			t.Errorf("%s gets no order for %s", id, until.Sub(now))
		}
	}
}

// TestWaitsOfShortTermsDoNotAddUp guards against a rollout without an end under rolling restarts, in which each holder stops before its wait
// for the orders of an earlier one is over.
func TestWaitsOfShortTermsDoNotAddUp(t *testing.T) {
	fleet := newTestFleet(2)
	fleet.requested = 2
	crashed := fleet.newController("d0")
	if !crashed.ensureLease(t.Context(), time.Now(), true) {
		t.Fatal("the first controller did not acquire the lease")
	}
	if err := crashed.orderRecord.replaceReplicas(t.Context(), crashed.o.KV, []request.TargetID{"r0", "r1"}); err != nil {
		t.Fatal(err)
	}
	if err := crashed.lease.Release(t.Context()); err != nil { // stands in for its expiry
		t.Fatal(err)
	}
	crashedAt := time.Now()
	for n := 1; fleet.calls.countAt(2) < 2; n++ {
		d := fleet.newController(request.DaemonID(fmt.Sprint("d", n)))
		term := time.Now().Add(d.o.OrderLease / 2)
		for time.Now().Before(term) && fleet.calls.countAt(2) < 2 {
			d.reconcile(t.Context())
			time.Sleep(2 * time.Millisecond)
		}
		if n > 4 {
			t.Fatalf("no replica was ordered in %d terms, %s after the crash", n, time.Since(crashedAt))
		}
		stop(t, d)
	}
	if early := fleet.calls.lastOrderAt.Sub(crashedAt); early < crashed.o.OrderLease {
		t.Errorf("ordered %s after another holder may have ordered", early)
	}
}

// TestWaitsWithoutRecordOutliveShortTerm guards against orders within another holder's order lease after the record was lost with a restored
// backup: who took over first waits for all replicas, and must pass that on if it stops before.
func TestWaitsWithoutRecordOutliveShortTerm(t *testing.T) {
	fleet := newTestFleet(1)
	first := fleet.newController("d1")
	if !first.ensureLease(t.Context(), time.Now(), true) {
		t.Fatal("the first controller did not acquire the lease")
	}
	until := time.Now().Add(first.o.OrderLease)
	first.inheritedUntil["r0"] = until
	stop(t, first)
	second := fleet.newController("d2")
	if !second.ensureLease(t.Context(), time.Now(), true) {
		t.Fatal("the second controller did not acquire the lease")
	}
	if second.inheritedUntil["r0"].Before(until) {
		t.Error("the second controller does not wait")
	}
}

// TestReleasedLeaseIsTakenAtOnce guards against a rollout without a holder while daemons start and stop one after the other: each one waits for
// daemons before it in rank, which have stopped as well, and stops before its turn.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	fleet := newTestFleet(1)
	fleet.requested = 2
	first := fleet.newController("d1")
	if !first.ensureLease(t.Context(), time.Now(), true) {
		t.Fatal("the first controller did not acquire the lease")
	}
	stop(t, first)
	second := fleet.newController("d2")
	second.o.Rank = func() int { return 1 }
	for began := time.Now(); !second.holdsLease(); time.Sleep(2 * time.Millisecond) {
		second.reconcile(t.Context())
		if time.Since(began) > takeoverDelay/2 {
			t.Fatal("nobody holds a lease that was released")
		}
	}
}

// stop stops a controller as a planned stop of its daemon does.
func stop(t *testing.T, d *Controller) {
	t.Helper()
	go func() { _ = d.Run(t.Context()) }()
	d.Shutdown(t.Context())
}

// A late rollout makes more replicas unavailable at once: the old weights may soon no longer be used, and
// from then on a replica that serves them is useless.
func TestLateRolloutRaisesUnavailableShare(t *testing.T) {
	if !(unavailableShareAt(0) < unavailableShareAt(lateAfter+1) && unavailableShareAt(lateAfter+1) < unavailableShareAt(veryLateAfter+1)) {
		t.Error("the shares do not grow")
	}
}

// A replica accepts an order, crashes before it has loaded, and restarts under the same id with its
// old weights and an order count of zero. The lease holder must neither wait for the order of the
// dead process nor send the next order with that process's count.
func TestRestartDropsOrderOfPreviousProcess(t *testing.T) {
	fleet := newTestFleet(3)
	fleet.requested = 2
	d := fleet.newController("d1")
	ctx := context.Background()
	for len(d.pending) == 0 {
		d.reconcile(ctx)
		time.Sleep(5 * time.Millisecond)
	}
	var id request.TargetID
	for fleet.calls.countAt(2) == 0 {
		time.Sleep(time.Millisecond)
	}
	fleet.calls.mu.Lock()
	id = fleet.calls.receivers[0]
	fleet.calls.versions[id], fleet.calls.orders[id] = 1, 0
	fleet.calls.started = map[request.TargetID]int64{id: 7}
	fleet.calls.mu.Unlock()
	before := fleet.set.Get(id)
	reconcileUntil(t, fleet, d, 2)
	if fleet.set.Get(id) == before {
		t.Error("the restart that the replica reported was ignored")
	}
	fleet.calls.mu.Lock()
	defer fleet.calls.mu.Unlock()
	last := slices.Index(fleet.calls.receivers[1:], id) + 1
	if last == 0 || fleet.calls.received[last].ExpectedOrders != 0 {
		t.Errorf("orders %+v to %v", fleet.calls.received, fleet.calls.receivers)
	}
}

// Each daemon of a large fleet compares the weights of all replicas several times a second, although only
// the first few may ever give orders.
func TestOnlyCandidatesLookAtAllReplicas(t *testing.T) {
	fleet := newTestFleet(6)
	fleet.requested = 2
	for rank, candidate := range map[int]bool{1: true, lastCandidate: true, lastCandidate + 1: false, 1500: false} {
		looked := false
		d := fleet.newController("d1")
		d.o.Rank = func() int { return rank }
		d.o.RequestedVersions = func() map[request.Model]uint64 {
			looked = true
			return map[request.Model]uint64{model: fleet.requested}
		}
		if busy := d.reconcile(t.Context()); looked != candidate || busy != candidate {
			t.Errorf("rank %d: looked at the replicas: %t, want %t", rank, looked, candidate)
		}
	}
}
