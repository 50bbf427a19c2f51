package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	ttl    = 10 * time.Second
	margin = 2 * time.Second
	wait   = 5 * time.Second
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newManager(f *kv.Fake, c *clock, id string) *lease.Manager {
	return lease.NewManager(lease.Options{
		KV: f.Client(id), Self: request.DaemonID(id), Address: id + ":1",
		TTL: ttl, Margin: margin, WaitAfterTakeover: wait, Now: c.Now,
	})
}

// told is a naive holder: it acts until it is told that its lease has ended.
func told(l *lease.Lease) bool {
	select {
	case <-l.Done():
		return false
	default:
		return true
	}
}

// Story: a daemon that orders weight loads is frozen past its lease. Another takes the
// duty over. The first wakes and, before it reads any message, is about to send the
// next order; two daemons would drive one target. Done has not been closed yet.
func TestFrozenHolderFindsOut(t *testing.T) {
	ctx := context.Background()
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	f := kv.NewFake(c.Now)
	a, b := newManager(f, c, "a"), newManager(f, c, "b")
	first, err := a.Acquire(ctx, "duty")
	if err != nil {
		t.Fatal(err)
	}
	var held *lease.HeldError
	if _, err := b.Acquire(ctx, "duty"); !errors.As(err, &held) || held.Holder.ID != "a" || held.Holder.Address != "a:1" {
		t.Fatalf("second holder: %v", err)
	}
	if !first.MayAct(7*time.Second) || first.MayAct(8*time.Second) {
		t.Error("an order must end a margin before the lease does")
	}
	c.now = c.now.Add(ttl)
	second, err := b.Acquire(ctx, "duty")
	if err != nil || second.Epoch() <= first.Epoch() {
		t.Fatalf("takeover: %v", err)
	}
	if !told(first) {
		t.Error("the naive holder should still believe that it holds the duty")
	}
	if first.Valid() || first.MayAct(0) {
		t.Error("the frozen holder may act")
	}
	if second.MayAct(0) || !second.Valid() {
		t.Error("orders of the first holder may still be on their way")
	}
	if first.ExpiredHolder() != "" || second.ExpiredHolder() != "a" {
		t.Errorf("lapsed before: %q, %q", first.ExpiredHolder(), second.ExpiredHolder())
	}
	c.now = c.now.Add(wait)
	if !second.MayAct(0) {
		t.Error("the new holder may not act after the wait")
	}
	if err := a.Heartbeat(ctx); err != nil || told(first) {
		t.Errorf("after the next beat: told=%v, %v", told(first), err)
	}
	if err := b.Close(ctx); err != nil {
		t.Fatal(err)
	}
	if third, err := a.Acquire(ctx, "duty"); err != nil || third.Epoch() <= second.Epoch() {
		t.Errorf("after a planned stop: %v", err)
	}
}

// Story: a claim's answer is lost and its caller loses interest. The record names a
// session that stays alive, so without repair nobody could ever take the name.
func TestLostClaimIsFreed(t *testing.T) {
	ctx := context.Background()
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	f := kv.NewFake(c.Now)
	a, b := newManager(f, c, "a"), newManager(f, c, "b")
	if err := a.Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	f.LoseWrites(1)
	if _, err := a.Acquire(ctx, "duty"); !errors.Is(err, lease.ErrUnavailable) {
		t.Fatalf("lost claim: %v", err)
	}
	if _, err := b.Acquire(ctx, "duty"); !errors.Is(err, lease.ErrHeld) {
		t.Fatalf("before the repair: %v", err)
	}
	if err := a.Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Acquire(ctx, "duty"); err != nil {
		t.Errorf("after the repair: %v", err)
	}
}

// Story: a claim of b gets no answer. a takes the name, and b's repair writes the record
// again, as it was, to stop its own claim from landing late. a's release then meets
// another revision. Taken as "not mine any more", the record names a for good, and as a
// goes on living, nobody can ever take the name. Seed 1001716 of the schedules found it.
func TestRepairLeavesOtherHoldersAlone(t *testing.T) {
	ctx := context.Background()
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	f := kv.NewFake(c.Now)
	a, b := newManager(f, c, "a"), newManager(f, c, "b")
	if err := b.Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	for _, late := range []kv.Fault{kv.FaultDelayed, kv.FaultUnavailable} {
		lost := map[string]bool{}
		f.SetHook(func(client string, write bool, key string) kv.Fault {
			if client == "b" && write && key == "lease/duty" && !lost[key] {
				lost[key] = true
				return late
			}
			return kv.FaultNone
		})
		if _, err := b.Acquire(ctx, "duty"); !errors.Is(err, lease.ErrUnavailable) {
			t.Fatalf("claim without answer: %v", err)
		}
		held, err := a.Acquire(ctx, "duty")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.CombineErrors(b.Heartbeat(ctx), held.Release(ctx)); err != nil {
			t.Fatal(err)
		}
		f.Deliver(0)
		next, err := b.Acquire(ctx, "duty")
		if err != nil {
			t.Fatalf("after the release: %v", err)
		}
		if err := next.Release(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// Calls grow with holders, not with names.
func TestCallsDoNotGrowWithNames(t *testing.T) {
	ctx := context.Background()
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	f := kv.NewFake(c.Now)
	a := newManager(f, c, "a")
	for i := range 100 {
		if _, err := a.Acquire(ctx, fmt.Sprint("n", i)); err != nil {
			t.Fatal(err)
		}
	}
	before := f.Counts()
	if err := a.Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	holders, err := a.Holders(ctx, "n")
	if err != nil || len(holders) != 100 {
		t.Fatalf("%d holders, %v", len(holders), err)
	}
	after := f.Counts()
	if after.Writes-before.Writes != 1 || after.Reads-before.Reads != 2 {
		t.Errorf("%d writes, %d reads", after.Writes-before.Writes, after.Reads-before.Reads)
	}
}

// Story: each daemon that gave an order or held a partition once renews its session
// for ever, and the service's writes grow with the fleet. A session under which nothing
// is held must end by itself, and one that is in use must not.
func TestIdleSessionEnds(t *testing.T) {
	f := kv.NewFake(time.Now)
	m := lease.NewManager(lease.Options{
		KV: f.Client("d1"), Self: "d1", TTL: 600 * time.Millisecond, Margin: 50 * time.Millisecond,
	})
	ctx, stop := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	runs.Go(func() { _ = m.Run(ctx) })
	defer runs.Wait()
	defer stop()
	l, err := m.Acquire(ctx, "fleet")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Release(ctx); err != nil {
		t.Fatal(err)
	}
	for m.State().(lease.State).Session != "" {
		time.Sleep(time.Millisecond)
	}
	again, err := m.Acquire(ctx, "fleet")
	if err != nil || again.Epoch() <= l.Epoch() {
		t.Fatalf("after the rest: %+v, %v", again, err)
	}
}

// In real time the manager keeps its session, and ends its leases when the service
// goes away.
func TestRunKeepsAndLoses(t *testing.T) {
	f := kv.NewFake(nil)
	m := lease.NewManager(lease.Options{KV: f.Client("a"), Self: "a", TTL: 600 * time.Millisecond, Margin: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	l, err := m.Acquire(ctx, "duty")
	if err != nil {
		t.Fatal(err)
	}
	before := f.Counts().Writes
	for f.Counts().Writes < before+3 { // three renewals
		time.Sleep(time.Millisecond)
	}
	f.SetDown(true)
	<-l.Done()
	if l.Valid() {
		t.Error("valid after it ended")
	}
}

// duty is the naive reference of one name: a plain variable.
type duty struct {
	epoch uint64
	lease *lease.Lease
	by    int
}

// leaseMachine drives three processes with true clocks over one service.
type leaseMachine struct {
	clock    *clock
	fake     *kv.Fake
	managers []*lease.Manager
	duties   map[string]*duty
	fault    kv.Fault // of the next write
}

func newLeaseMachine() *leaseMachine {
	m := &leaseMachine{clock: &clock{now: time.Unix(1_700_000_000, 0)}, duties: map[string]*duty{"x": {}, "y": {}}}
	m.fake = kv.NewFake(m.clock.Now)
	m.fake.SetHook(func(_ string, write bool, _ string) kv.Fault {
		fault := m.fault
		if write {
			m.fault = kv.FaultNone
		}
		if !write && fault != kv.FaultUnavailable {
			return kv.FaultNone
		}
		return fault
	})
	for i := range 3 {
		m.managers = append(m.managers, newManager(m.fake, m.clock, fmt.Sprint(i)))
	}
	return m
}

func (m *leaseMachine) who(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "process") }

func (m *leaseMachine) acquire(t *rapid.T) {
	i := m.who(t)
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	d := m.duties[name]
	l, err := m.managers[i].Acquire(context.Background(), name)
	if err != nil {
		var held *lease.HeldError
		if errors.As(err, &held) && held.Holder.Epoch < d.epoch {
			t.Fatalf("%s: held under old epoch %d", name, held.Holder.Epoch)
		}
		return
	}
	if l == d.lease {
		return
	}
	if l.Epoch() <= d.epoch {
		t.Fatalf("%s: epoch %d after %d", name, l.Epoch(), d.epoch)
	}
	if d.lease != nil && d.lease.Valid() {
		t.Fatalf("%s: held by %d and %d", name, d.by, i)
	}
	*d = duty{epoch: l.Epoch(), lease: l, by: i}
}

func (m *leaseMachine) release(t *rapid.T) {
	d := m.duties[rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")]
	if d.lease != nil {
		_ = d.lease.Release(context.Background())
	}
}

func (m *leaseMachine) beat(t *rapid.T) { _ = m.managers[m.who(t)].Heartbeat(context.Background()) }

func (m *leaseMachine) close(t *rapid.T) { _ = m.managers[m.who(t)].Close(context.Background()) }

func (m *leaseMachine) pass(t *rapid.T) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (m *leaseMachine) breakNext(t *rapid.T) {
	m.fault = rapid.SampledFrom([]kv.Fault{kv.FaultUnavailable, kv.FaultLostAnswer, kv.FaultDelayed}).Draw(t, "fault")
}

func (m *leaseMachine) deliver(*rapid.T) { m.fake.Deliver(0) }

// free checks that nothing is stuck: without faults and with the others gone, every
// process gets every name within a lease time.
func (m *leaseMachine) free(t *rapid.T) {
	m.fault = kv.FaultNone
	for m.fake.Deliver(0) {
	}
	ctx := context.Background()
	i := m.who(t)
	m.clock.now = m.clock.now.Add(ttl)
	if err := m.managers[i].Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	for name, d := range m.duties {
		l, err := m.managers[i].Acquire(ctx, name)
		if err != nil || !l.Valid() || l.Epoch() < d.epoch {
			t.Fatalf("%s: not acquired: %v", name, err)
		}
		*d = duty{epoch: l.Epoch(), lease: l, by: i}
	}
}

// handover checks that a name that no process holds can be taken while the sessions of
// all processes live on; a session whose end could not be told needs its time to lapse.
func (m *leaseMachine) handover(t *rapid.T) {
	m.fault = kv.FaultNone
	for m.fake.Deliver(0) {
	}
	ctx := context.Background()
	held := map[string]bool{}
	for range 5 {
		m.clock.now = m.clock.now.Add(ttl / 4)
		for _, manager := range m.managers {
			if err := manager.Heartbeat(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, manager := range m.managers {
		for _, l := range manager.State().(lease.State).Held {
			held[l.Name] = true
		}
	}
	i := m.who(t)
	for _, name := range []string{"x", "y"} {
		if held[name] {
			continue
		}
		l, err := m.managers[i].Acquire(ctx, name)
		if err != nil || l.Epoch() <= m.duties[name].epoch {
			t.Fatalf("%s: held by nobody, not acquired: %v", name, err)
		}
		*m.duties[name] = duty{epoch: l.Epoch(), lease: l, by: i}
	}
}

// One holder at a time under rising epochs, with lost, delayed and failed writes.
func TestLeaseAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseMachine()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.acquire, "acquire2": m.acquire, "acquire3": m.acquire, "release": m.release,
			"beat": m.beat, "beat2": m.beat, "close": m.close, "pass": m.pass, "pass2": m.pass,
			"break": m.breakNext, "deliver": m.deliver, "free": m.free,
			"handover": m.handover,
		})
	})
}

// All daemons lose power with their leases still to run. One that is back, at the address
// that it listened at before, knows that its own earlier process has ended: waiting for
// that lease to lapse would leave its work undone for seconds. Nobody else may know.
func TestProcessTakesBackWhatItsEarlierOneHeld(t *testing.T) {
	ctx := context.Background()
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	f := kv.NewFake(c.Now)
	process := func(id, address string) *lease.Manager {
		return lease.NewManager(lease.Options{
			KV: f.Client(id), Self: request.DaemonID(id), Address: address, OwnsAddress: true,
			TTL: ttl, Margin: margin, WaitAfterTakeover: wait, Now: c.Now,
		})
	}
	first, err := process("a", "a:1").Acquire(ctx, "duty")
	if err != nil {
		t.Fatal(err)
	}
	for _, other := range []*lease.Manager{process("b", "b:1"), process("a", "a:2"), process("b", "a:1")} {
		if _, err := other.Acquire(ctx, "duty"); !errors.Is(err, lease.ErrHeld) {
			t.Errorf("another process took it: %v", err)
		}
	}
	again, err := process("a", "a:1").Acquire(ctx, "duty")
	if err != nil {
		t.Fatal(err)
	}
	if again.Epoch() != first.Epoch()+1 || again.ExpiredHolder() != "a" || again.MayAct(time.Millisecond) {
		t.Errorf("epoch %d after %d, lapsed %q; an order of the earlier process may still act", again.Epoch(), first.Epoch(), again.ExpiredHolder())
	}
}
