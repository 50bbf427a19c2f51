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

// notNotified models a naive holder, which acts until Done is closed.
func notNotified(l *lease.Lease) bool {
	select {
	case <-l.Done():
		return false
	default:
		return true
	}
}

// A daemon that orders weight loads is paused past its lease, and another daemon takes over. The
// first resumes and, before Done is closed, is about to send its next order. Two daemons would
// then control one target.
func TestPausedHolderDetectsExpiry(t *testing.T) {
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
		t.Error("MayAct does not require that an order ends a margin before the lease")
	}
	c.now = c.now.Add(ttl)
	second, err := b.Acquire(ctx, "duty")
	if err != nil || second.Epoch() <= first.Epoch() {
		t.Fatalf("takeover: %v", err)
	}
	if !notNotified(first) {
		t.Error("Done is closed before the paused holder's next heartbeat")
	}
	if first.Valid() || first.MayAct(0) {
		t.Error("the paused holder may act")
	}
	if second.MayAct(0) || !second.Valid() {
		t.Error("the new holder may act while orders of the first may still be in flight, or its lease is invalid")
	}
	if first.ExpiredHolder() != "" || second.ExpiredHolder() != "a" {
		t.Errorf("expired holders: %q, %q", first.ExpiredHolder(), second.ExpiredHolder())
	}
	c.now = c.now.Add(wait)
	if !second.MayAct(0) {
		t.Error("the new holder may not act after WaitAfterTakeover")
	}
	if err := a.Heartbeat(ctx); err != nil || notNotified(first) {
		t.Errorf("after the next heartbeat: not notified=%v, %v", notNotified(first), err)
	}
	if err := b.Close(ctx); err != nil {
		t.Fatal(err)
	}
	if third, err := a.Acquire(ctx, "duty"); err != nil || third.Epoch() <= second.Epoch() {
		t.Errorf("after Close by the previous holder: %v", err)
	}
}

// The response to a claim is lost and the caller does not retry. The record refers to a session
// that stays alive, so without a repair no process could ever acquire the name.
func TestUnansweredClaimIsFreed(t *testing.T) {
	ctx := context.Background()
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	f := kv.NewFake(c.Now)
	a, b := newManager(f, c, "a"), newManager(f, c, "b")
	if err := a.Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	f.DropWriteResponses(1)
	if _, err := a.Acquire(ctx, "duty"); !errors.Is(err, lease.ErrUnavailable) {
		t.Fatalf("claim without response: %v", err)
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

// A claim of b gets no response. a acquires the name, and b's repair writes the record again,
// unchanged, to prevent its own claim from succeeding late. a's release then finds another
// revision. If a concluded that the record is not its own any more, the record would refer to a
// permanently, and no process could acquire the name while a is alive. Found by seed 1001716 of
// the schedules.
func TestRepairDoesNotAffectOtherHolders(t *testing.T) {
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
			t.Fatalf("claim without response: %v", err)
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

// The number of calls to the key-value service grows with holders, not with names.
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

// If each daemon that once sent an order or held a partition renewed its session forever, the
// key-value service's writes would grow with the fleet. A session without held names must end by
// itself, and a session in use must not.
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
		t.Fatalf("after the idle session ended: %+v, %v", again, err)
	}
}

// In real time, the manager renews its session, and ends its leases when the key-value service
// becomes unreachable.
func TestRunRenewsUntilServiceFails(t *testing.T) {
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
		t.Error("the lease is valid after it ended")
	}
}

// reference is the reference model of one name.
type reference struct {
	epoch uint64
	lease *lease.Lease
	by    int
}

// stateMachine runs three processes with correct clocks against one key-value service.
type stateMachine struct {
	clock      *clock
	fake       *kv.Fake
	managers   []*lease.Manager
	references map[string]*reference
	fault      kv.Fault // of the next write; FaultUnavailable affects reads until then
}

func newStateMachine() *stateMachine {
	m := &stateMachine{clock: &clock{now: time.Unix(1_700_000_000, 0)}, references: map[string]*reference{"x": {}, "y": {}}}
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

func (m *stateMachine) draw(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "process") }

func (m *stateMachine) acquire(t *rapid.T) {
	i := m.draw(t)
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	d := m.references[name]
	l, err := m.managers[i].Acquire(context.Background(), name)
	if err != nil {
		var held *lease.HeldError
		if errors.As(err, &held) && held.Holder.Epoch < d.epoch {
			t.Fatalf("%s: held under outdated epoch %d", name, held.Holder.Epoch)
		}
		return
	}
	if l == d.lease {
		return
	}
	if l.Epoch() <= d.epoch {
		t.Fatalf("%s: epoch %d follows epoch %d", name, l.Epoch(), d.epoch)
	}
	if d.lease != nil && d.lease.Valid() {
		t.Fatalf("%s: held by processes %d and %d", name, d.by, i)
	}
	*d = reference{epoch: l.Epoch(), lease: l, by: i}
}

func (m *stateMachine) release(t *rapid.T) {
	d := m.references[rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")]
	if d.lease != nil {
		_ = d.lease.Release(context.Background())
	}
}

func (m *stateMachine) renew(t *rapid.T) { _ = m.managers[m.draw(t)].Heartbeat(context.Background()) }

func (m *stateMachine) close(t *rapid.T) { _ = m.managers[m.draw(t)].Close(context.Background()) }

func (m *stateMachine) advanceClock(t *rapid.T) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) failNextWrite(t *rapid.T) {
	m.fault = rapid.SampledFrom([]kv.Fault{kv.FaultUnavailable, kv.FaultDroppedResponse, kv.FaultDelayed}).Draw(t, "fault")
}

func (m *stateMachine) deliver(*rapid.T) { m.fake.Deliver(0) }

// checkNotStuck checks that a process can acquire every name within one TTL if there are no
// faults and the other processes are inactive.
func (m *stateMachine) checkNotStuck(t *rapid.T) {
	m.fault = kv.FaultNone
	for m.fake.Deliver(0) {
	}
	ctx := context.Background()
	i := m.draw(t)
	m.clock.now = m.clock.now.Add(ttl)
	if err := m.managers[i].Heartbeat(ctx); err != nil {
		t.Fatal(err)
	}
	for name, d := range m.references {
		l, err := m.managers[i].Acquire(ctx, name)
		if err != nil || !l.Valid() || l.Epoch() < d.epoch {
			t.Fatalf("%s: not acquired: %v", name, err)
		}
		*d = reference{epoch: l.Epoch(), lease: l, by: i}
	}
}

// checkHandover checks that a name that no process holds can be acquired while the sessions of
// all processes stay alive. It waits until sessions whose revocation failed have expired.
func (m *stateMachine) checkHandover(t *rapid.T) {
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
	i := m.draw(t)
	for _, name := range []string{"x", "y"} {
		if held[name] {
			continue
		}
		l, err := m.managers[i].Acquire(ctx, name)
		if err != nil || l.Epoch() <= m.references[name].epoch {
			t.Fatalf("%s: free but not acquired: %v", name, err)
		}
		*m.references[name] = reference{epoch: l.Epoch(), lease: l, by: i}
	}
}

// The managers of three processes are compared with a reference model while writes are lost, delayed and
// fail: at most one process may hold a name, and the epochs of a name must rise.
func TestLeaseAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.acquire, "acquire2": m.acquire, "acquire3": m.acquire, "release": m.release,
			"beat": m.renew, "beat2": m.renew, "close": m.close, "pass": m.advanceClock, "pass2": m.advanceClock,
			"break": m.failNextWrite, "deliver": m.deliver, "free": m.checkNotStuck,
			"handover": m.checkHandover,
		})
	})
}

// All daemons lose power while their leases are valid. A daemon that restarts at its previous
// address can conclude that its earlier process has ended, and must not wait seconds for that
// lease to expire. Other processes must not draw this conclusion.
func TestRestartedProcessReclaimsItsLeases(t *testing.T) {
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
			t.Errorf("another process acquired the name: %v", err)
		}
	}
	again, err := process("a", "a:1").Acquire(ctx, "duty")
	if err != nil {
		t.Fatal(err)
	}
	if again.Epoch() != first.Epoch()+1 || again.ExpiredHolder() != "a" || again.MayAct(time.Millisecond) {
		t.Errorf("epoch %d after %d, expired holder %q; an order of the earlier process may still take effect", again.Epoch(), first.Epoch(), again.ExpiredHolder())
	}
}

// The first in rank asks for a lease that another process holds, again and again. If it started and ended a
// session each time, these writes would end the watches of all daemons.
func TestAcquiringHeldNameStartsNoSession(t *testing.T) {
	fake := kv.NewFake(time.Now)
	holder := lease.NewManager(lease.Options{KV: fake.Client("a"), Self: "a"})
	if _, err := holder.Acquire(t.Context(), "n"); err != nil {
		t.Fatal(err)
	}
	other := lease.NewManager(lease.Options{KV: fake.Client("b"), Self: "b"})
	_, before, _ := fake.Client("b").List(t.Context(), "") // the fake has no faults
	for range 3 {
		if _, err := other.Acquire(t.Context(), "n"); !errors.Is(err, lease.ErrHeld) {
			t.Fatalf("got %v", err)
		}
	}
	if _, after, _ := fake.Client("b").List(t.Context(), ""); after != before {
		t.Errorf("the attempts wrote %d times", after-before)
	}
}
