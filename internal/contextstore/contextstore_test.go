package contextstore

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// fakeStore is an in-memory context store.
type fakeStore struct {
	mu     sync.Mutex
	epoch  uint64
	down   bool
	events []Event
	parts  map[storecache.Key]int
	freed  []storecache.Key
	moved  string // the only address at which it answers; empty: any

	listTime time.Duration // transfer time of a list over the store's link
}

// clockAhead is how far the fake's replicas' clock is ahead of this process's clock, in ms.
const clockAhead = 1_000_000

func newFakeStore() *fakeStore { return &fakeStore{epoch: 1, parts: map[storecache.Key]int{}} }

func (s *fakeStore) save(salt, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := storecache.Key{Salt: salt, ID: id}
	s.parts[key] = tokens
	s.events = append(s.events, Event{Stored: true, Key: key, Tokens: tokens})
}

func (s *fakeStore) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.events = nil
	clear(s.parts)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// freedAfterMaintenance waits for some maintenance rounds and returns the number of parts freed.
func (s *fakeStore) freedAfterMaintenance() int {
	time.Sleep(3 * maintainInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.freed)
}

// moveTo starts the store anew at another address.
func (s *fakeStore) moveTo(address string) {
	s.restart()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moved = address
}

func (s *fakeStore) answersAt(address string) bool {
	return !s.down && (s.moved == "" || s.moved == address)
}

func (s *fakeStore) Events(_ context.Context, address string, next uint64, _ time.Duration) (Content, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answersAt(address) {
		return Content{}, errors.New("down")
	}
	content := Content{Epoch: s.epoch, Next: uint64(len(s.events)), ClockMs: time.Now().UnixMilli() + clockAhead}
	if next <= content.Next {
		content.Events = append(content.Events, s.events[next:]...)
	}
	return content, nil
}

func (s *fakeStore) List(ctx context.Context, address string) (Content, error) {
	if err := sleep.For(ctx, s.listTime); err != nil {
		return Content{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answersAt(address) {
		return Content{}, errors.New("down")
	}
	content := Content{Epoch: s.epoch, Next: uint64(len(s.events))}
	for key, tokens := range s.parts {
		content.Complete = append(content.Complete, storecache.PartRequest{Key: key, Tokens: tokens})
	}
	return content, nil
}

func (s *fakeStore) Free(_ context.Context, _ string, keys []storecache.Key, epoch uint64, _ int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch {
		return errors.New("another epoch")
	}
	for _, key := range keys {
		delete(s.parts, key)
	}
	s.freed = append(s.freed, keys...)
	return nil
}

func service(id string, tokens int, mbps float64) *routing.Service {
	return &routing.Service{ID: routing.ServiceID(id), Store: &routing.ContextStore{
		Address: id + ":1", CapacityTokens: tokens, LinkMbps: mbps, Managed: true, FailureDomain: "d",
	}}
}

// startOwner starts a daemon that owns the services' stores, and returns its Client.
func startOwner(t *testing.T, store *fakeStore, services ...*routing.Service) *Client {
	t.Helper()
	return startOwnerWith(t, kv.NewFake(time.Now), 10*time.Second, store, services...)
}

// startOwnerWith is startOwner with a given key-value service and lease TTL.
func startOwnerWith(t *testing.T, fake *kv.Fake, ttl time.Duration, store *fakeStore, services ...*routing.Service) *Client {
	t.Helper()
	return startOwnerOf(t, fake, ttl, store, func() []*routing.Service { return services })
}

// startOwnerOf is startOwnerWith for services that change.
func startOwnerOf(t *testing.T, fake *kv.Fake, ttl time.Duration, store *fakeStore, all func() []*routing.Service) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client := fake.Client("a")
	leases := lease.NewManager(lease.Options{KV: client, Self: "a", Address: "a:1", TTL: ttl, Margin: ttl / 5})
	owner := NewOwner(Options{
		KV: client, Self: "a", Leases: leases, API: store, Stores: all, Rank: func(routing.ServiceID) int { return 0 },
		TokenBytes: func() int { return 1000 },
	})
	follower := mirror.New(mirror.Options{KV: client})
	c := NewClient(ClientOptions{Follower: follower, Self: "a", Local: owner, Stores: all, Client: http.DefaultClient})
	var runs sync.WaitGroup
	for _, run := range []func(context.Context) error{leases.Run, owner.Run} {
		runs.Go(func() { _ = run(ctx) }) // ends with ctx
	}
	t.Cleanup(func() {
		cancel()
		runs.Wait()
	})
	for deadline := time.Now().Add(5 * time.Second); len(*c.holders.Load()) < len(all()); {
		if time.Now().After(deadline) {
			t.Fatal("a store has no owner")
		}
		entries, _, err := client.List(ctx, lease.RecordPrefix+LeasePrefix)
		if err != nil {
			t.Fatal(err)
		}
		c.apply(mirror.Update{Full: true, Entries: entries})
		time.Sleep(5 * time.Millisecond)
	}
	return c
}

// waitForAnswer asks for one part, not the last of its prompt, until it gets the wanted answer.
func waitForAnswer(t *testing.T, c *Client, id string, fetch, save bool) {
	t.Helper()
	parts := []relay.Part{{ID: id, Tokens: 100}, {ID: "own", Tokens: 10}}
	for deadline := time.Now().Add(8 * time.Second); ; {
		got, _ := c.Claim(context.Background(), "w1", parts, []bool{false, false})
		if got[0].Fetch == fetch && got[0].Save == save {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: fetch %t, save %t", id, got[0].Fetch, got[0].Save)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The owner of a store is cut off from it, though not from the key-value service. Another daemon must become the owner, and
// the first one must not take the store back before it reaches it.
func TestOwnerThatIsCutOffGivesItsStoresUp(t *testing.T) {
	fake, store := kv.NewFake(time.Now), &fakeStore{epoch: 1, parts: map[storecache.Key]int{}}
	services := []*routing.Service{service("s", 1000, 1000)}
	var cut atomic.Bool
	start := func(id request.DaemonID, able func() bool) *Owner {
		ctx, cancel := context.WithCancel(context.Background())
		client := fake.Client(string(id))
		leases := lease.NewManager(lease.Options{KV: client, Self: id, Address: string(id) + ":1", TTL: time.Second, Margin: 200 * time.Millisecond})
		owner := NewOwner(Options{
			KV: client, Self: id, Leases: leases, API: store, Stores: func() []*routing.Service { return services },
			Rank: func(routing.ServiceID) int { return 0 }, TokenBytes: func() int { return 1000 }, Able: able,
		})
		var runs sync.WaitGroup
		for _, run := range []func(context.Context) error{leases.Run, owner.Run} {
			runs.Go(func() { _ = run(ctx) }) // ends with ctx
		}
		t.Cleanup(func() { cancel(); runs.Wait() })
		return owner
	}
	await := func(what string, is func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("timed out waiting until ", what)
			}
		}
	}
	first := start("a", func() bool { return !cut.Load() })
	await("the first daemon owns the store", func() bool { return first.lookup("s") != nil })
	second := start("b", nil)
	cut.Store(true)
	await("the second daemon owns the store", func() bool { return second.lookup("s") != nil })
	if first.lookup("s") != nil {
		t.Error("two daemons own the store")
	}
}

// A part is saved once. It may be fetched once the store has it, and no longer after the store
// restarted empty.
func TestPartIsSavedFetchedAndLost(t *testing.T) {
	store := newFakeStore()
	c := startOwner(t, store, service("s", 100_000, 1000))
	waitForAnswer(t, c, "p", false, true)
	waitForAnswer(t, c, "p", false, false) // the part is being written
	store.save("w1", "p", 100)
	waitForAnswer(t, c, "p", true, false)
	got, until := c.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 100}}, []bool{false})
	if got[0].Address != "s:1" || got[0].FailureDomain != "d" {
		t.Errorf("got %+v", got[0])
	}
	left := until - (time.Now().UnixMilli() + clockAhead)
	if left < 1000 || left > storecache.ReadPermitTTL.Milliseconds() {
		t.Errorf("the permit ends in %d ms on the replicas' clock", left)
	}
	store.restart()
	waitForAnswer(t, c, "p", false, true)
}

// TestStoreAtNewAddressIsFollowedThere guards against an owner that goes on with the old address of a store, and takes for whole there what a
// store at the new one does not hold.
func TestStoreAtNewAddressIsFollowedThere(t *testing.T) {
	store := newFakeStore()
	var known atomic.Pointer[routing.Service]
	known.Store(service("a", 1000, 1000))
	c := startOwnerOf(t, kv.NewFake(time.Now), 10*time.Second, store, func() []*routing.Service { return []*routing.Service{known.Load()} })
	waitForAnswer(t, c, "p", false, true)
	store.save("w1", "p", 100)
	waitForAnswer(t, c, "p", true, false)
	moved := service("a", 1000, 1000)
	moved.Store.Address = "b:1"
	store.moveTo(moved.Store.Address)
	known.Store(moved)
	got, _ := c.Claim(t.Context(), "w1", []relay.Part{{ID: "p", Tokens: 100}, {ID: "own", Tokens: 10}}, []bool{false, false})
	if got[0].Fetch {
		t.Error("a part of the store at the old address is fetched from the new one")
	}
	waitForAnswer(t, c, "p", false, true)
	store.save("w1", "p", 100)
	waitForAnswer(t, c, "p", true, false)
}

// The key-value service is down for longer than the lease TTL. Parts in the store stay
// fetchable throughout, and nothing new is written. After the outage the same daemon continues
// without the wait that a new owner needs before it may write.
func TestStoresStayReadableDuringKeyValueOutage(t *testing.T) {
	store := newFakeStore()
	store.save("w1", "p", 100)
	fake := kv.NewFake(time.Now)
	const ttl = 500 * time.Millisecond
	c := startOwnerWith(t, fake, ttl, store, service("s", 100_000, 1000))
	waitForAnswer(t, c, "p", true, false)
	waitForAnswer(t, c, "q", false, true)
	store.save("w1", "q", 100)
	fake.SetDown(true)
	for began := time.Now(); time.Since(began) < 3*ttl; time.Sleep(20 * time.Millisecond) {
		got, _ := c.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 100}, {ID: "own", Tokens: 10}}, []bool{false, false})
		if !got[0].Fetch {
			t.Fatalf("part not fetchable %s into the outage", time.Since(began))
		}
	}
	waitForAnswer(t, c, "new", false, false)
	fake.SetDown(false)
	back := time.Now()
	waitForAnswer(t, c, "newer", false, true)
	if took := time.Since(back); took > storecache.ReadPermitTTL {
		t.Errorf("saves are permitted again after %s", took)
	}
}

// The owner's VM is suspended. The clock of its leases stopped, so they look valid after the VM
// resumes, although another daemon may have freed and written parts since. A permit based on the
// old state would let a prompt run on half a part.
func TestSuspendedOwnerDropsItsStores(t *testing.T) {
	store := newFakeStore()
	store.save("w1", "p", 100)
	c := startOwner(t, store, service("s", 100_000, 1000))
	waitForAnswer(t, c, "p", true, false)
	c.opts.Local.HandleStall(minUnsafeStall - time.Millisecond)
	waitForAnswer(t, c, "p", true, false)
	store.mu.Lock()
	delete(store.parts, storecache.Key{Salt: "w1", ID: "p"}) // freed by another owner; no event reports it
	store.mu.Unlock()
	c.opts.Local.HandleStall(minUnsafeStall)
	for range 50 {
		if got, _ := c.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 100}, {ID: "own"}}, []bool{false, false}); got[0].Fetch {
			t.Fatal("permit to fetch a part that was freed")
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitForAnswer(t, c, "p", false, true)
}

// All daemons lose power and restart under the same names. The owner of a full store mistook
// its own earlier lease for that of another owner that might still grant permits. It freed
// nothing for eleven seconds, and the prompts computed in that time could not be saved.
func TestRestartedOwnerFreesSoon(t *testing.T) {
	fake := kv.NewFake(time.Now)
	const ttl = 300 * time.Millisecond
	before := lease.NewManager(lease.Options{KV: fake.Client("a"), Self: "a", Address: "a:1", TTL: ttl, WaitAfterTakeover: time.Millisecond})
	if _, err := before.Acquire(context.Background(), LeasePrefix+"s"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(ttl) // the process died, and its lease expired
	store := newFakeStore()
	for i := range 10 {
		store.save("w1", fmt.Sprint("old", i), 100)
	}
	c := startOwnerWith(t, fake, time.Second, store, service("s", 1000, 1000))
	waitForAnswer(t, c, "old1", true, false)
	for deadline := time.Now().Add(storecache.ReadOnlyGrace); ; time.Sleep(50 * time.Millisecond) {
		// With new weights, parts of the old ones may be freed.
		_, _ = c.Claim(context.Background(), "w2", []relay.Part{{ID: "n", Tokens: 100}, {ID: "own"}}, []bool{false, false})
		store.mu.Lock()
		freed := len(store.freed)
		store.mu.Unlock()
		if freed > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no part is freed")
		}
	}
}

// A store stops responding. Each request sent to fetch from it would lose some hundred ms, so
// no permit may be granted after two seconds.
func TestSilentStoreIsNotUsed(t *testing.T) {
	store := newFakeStore()
	store.save("w1", "p", 100)
	c := startOwner(t, store, service("s", 100_000, 1000))
	waitForAnswer(t, c, "p", true, false)
	store.setDown(true)
	began := time.Now()
	waitForAnswer(t, c, "p", false, false)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("fetches stopped after %s", took)
	}
	store.setDown(false)
	waitForAnswer(t, c, "p", true, false)
}

// A store holds some ten thousand parts, and its list takes over a second on the owner's slow
// link. With a limit on the total time the owner requested the list again and again, and prompts
// were computed although their parts were stored.
func TestSlowListIsReadCompletely(t *testing.T) {
	store := newFakeStore()
	store.listTime = 1500 * time.Millisecond
	store.save("w1", "p", 100)
	waitForAnswer(t, startOwner(t, store, service("s", 100_000, 1000)), "p", true, false)
}

// An owner that is down or partitioned costs a request its stored parts, but no waiting time.
func TestDeadOwnerDoesNotDelayRequests(t *testing.T) {
	c := NewClient(ClientOptions{
		Follower: mirror.New(mirror.Options{KV: kv.NewFake(time.Now).Client("a")}), Self: "a", Client: http.DefaultClient,
		Stores: func() []*routing.Service { return []*routing.Service{service("s", 1000, 1000)} },
	})
	// A loopback address without a listener.
	c.holders.Store(&map[string]lease.Holder{"s": {ID: "b", Address: "127.0.0.1:1"}})
	for range 20 {
		began := time.Now()
		got, _ := c.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 10}}, []bool{false})
		if got[0].Fetch || time.Since(began) > 3*claimTimeout {
			t.Fatalf("%+v after %s", got[0], time.Since(began))
		}
	}
}

// Small parts are assigned to fast stores, large ones to stores with much capacity. All daemons
// assign a part to the same store.
func TestPartsAreDistributedBySize(t *testing.T) {
	var stores []*routing.Service
	for i := range 3 {
		stores = append(stores, service(fmt.Sprint("fast", i), 140_000, 1300), service(fmt.Sprint("big", i), 1_600_000, 380))
	}
	counts := map[string]int{}
	for i := range 300 {
		small := chooseStore(stores, relay.Part{ID: fmt.Sprint(i), Tokens: 500}, nil)
		large := chooseStore(stores, relay.Part{ID: fmt.Sprint(i), Tokens: 5000}, nil)
		counts[string(small.ID)]++
		counts[string(large.ID)]++
		if small.Store.LinkMbps != 1300 || large.Store.LinkMbps != 380 {
			t.Fatalf("a small part is assigned to %s, a large one to %s", small.ID, large.ID)
		}
		if second := chooseStore(stores, relay.Part{ID: fmt.Sprint(i), Tokens: 500}, small); second.Store.LinkMbps != 380 {
			t.Fatalf("the overflow is assigned to %s", second.ID)
		}
	}
	for id, n := range counts {
		if n < 50 {
			t.Errorf("%s has %d of 300 parts, want at least 50", id, n)
		}
	}
	if chooseStore(nil, relay.Part{ID: "x", Tokens: 1}, nil) != nil {
		t.Error("chose a store from an empty list")
	}
}

// All daemons lose power and restart after 1.5 s; 260 prompts of 10,000 tokens arrive in the
// next second. No daemon knows the others yet, so each ranks last. A daemon must reacquire the
// store that it owned at once, and must not acquire a store that another daemon owned.
func TestRestartedDaemonTakesItsStoresBeforeItKnowsItsRank(t *testing.T) {
	fake, store := kv.NewFake(time.Now), newFakeStore()
	start := func(id string, services ...*routing.Service) (*Owner, *lease.Manager) {
		leases := lease.NewManager(lease.Options{
			KV: fake.Client(id), Self: request.DaemonID(id), Address: id + ":1", OwnsAddress: true, TTL: time.Minute, Margin: time.Second,
		})
		return NewOwner(Options{
			KV: fake.Client(id), Self: request.DaemonID(id), Leases: leases, API: store, TokenBytes: func() int { return 1000 },
			Stores:    func() []*routing.Service { return services },
			LastOwner: func(routing.ServiceID) request.DaemonID { return "a" },
			Rank:      func(routing.ServiceID) int { return backupRanks + 1 },
		}), leases
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	svc := service("shelf", 10_000, 1000)
	_, before := start("a")
	if _, err := before.Acquire(ctx, LeasePrefix+"shelf"); err != nil {
		t.Fatal(err)
	}
	other, _ := start("b", svc)
	other.acquireIfDue(ctx, svc)
	restarted, _ := start("a", svc)
	restarted.acquireIfDue(ctx, svc)
	if other.current("shelf") != nil || restarted.current("shelf") == nil {
		t.Errorf("owned by the other daemon: %t, by the last owner: %t", other.current("shelf") != nil, restarted.current("shelf") != nil)
	}
}

// A daemon takes over a store that is nearly full and lists its content. The list names salts but
// not weight versions. When listed parts counted as made by older weights, all contexts that
// callers return to were freed first and computed again at their return.
func TestListedPartsAreNotTakenForOldWeights(t *testing.T) {
	store := newFakeStore()
	for i := range 10 {
		store.save("w1", fmt.Sprint("context", i), 96)
	}
	c := startOwner(t, store, service("shelf", 1000, 1000))
	waitForAnswer(t, c, "context0", true, false)
	const untilFreed = storecache.ReadPermitTTL + time.Second // permits may be valid until then
	time.Sleep(untilFreed)
	waitForAnswer(t, c, "context1", true, false)
	if n := store.freedAfterMaintenance(); n > 0 {
		t.Errorf("%d parts of the newest weights were freed", n)
	}
}

// A daemon's clock is seconds ahead of the replicas' clock, which a list does not report. If
// permits ended by the daemon's clock, a replica could fetch for seconds after the part was freed.
// No permit may be granted before the replicas' clock is known, or end by the daemon's clock.
func TestPermitEndsOnReplicasClock(t *testing.T) {
	c := startOwner(t, newFakeStore(), service("shelf", 10_000, 1000))
	parts := []relay.Part{{ID: "x", Tokens: 100}, {ID: "own", Tokens: 10}}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		_, until := c.Claim(context.Background(), "w1", parts, []bool{false, false})
		if until == 0 {
			continue // the clock is not known yet
		}
		left := time.Duration(until-time.Now().UnixMilli()-clockAhead) * time.Millisecond
		if left > storecache.ReadPermitTTL || left < storecache.ReadPermitTTL-time.Second {
			t.Errorf("the permit lasts %s on the replicas' clock", left)
		}
		return
	}
	t.Fatal("no permit is granted")
}

// writeRecord writes a record of previous owners of a store.
func writeRecord(t *testing.T, fake *kv.Fake, store string, rec record) {
	t.Helper()
	if err := (recordStore{kv: fake.Client("before")}).write(context.Background(), routing.ServiceID(store), rec, 0); err != nil {
		t.Fatal(err)
	}
}

// All daemons, each of which owns a store, are stopped in turn. For 2.8 s after each stop nothing
// was saved, since the store might have restarted empty while permits of the previous owner were
// valid. Contexts computed in that time were computed again at their return, an eighth of all
// computation. If the store's process is known to be the same, saves need not wait.
func TestNewOwnerSavesAtOnceIfStoreHasNotRestarted(t *testing.T) {
	now := time.Now().UnixMilli() + clockAhead
	took := func(rec record) time.Duration {
		fake := kv.NewFake(time.Now)
		writeRecord(t, fake, "shelf", rec)
		began := time.Now()
		c := startOwnerWith(t, fake, 10*time.Second, newFakeStore(), service("shelf", 10_000, 1000))
		waitForAnswer(t, c, "x", false, true)
		return time.Since(began)
	}
	const wait = storecache.ReadPermitTTL
	if got := took(record{StoreEpoch: 1, Seen: now - 60_000}); got > wait/2 {
		t.Errorf("same process for a minute: first save after %s", got)
	}
	if got := took(record{StoreEpoch: 7, Seen: now - 60_000}); got < wait {
		t.Errorf("another process: first save after %s", got)
	}
	if got := took(record{StoreEpoch: 1, Seen: now - 1000}); got < wait {
		t.Errorf("same process for a second: first save after %s", got)
	}
}

// Owner A is partitioned and grants permits for 8 s more. B takes the store over, knows about A
// and is stopped as planned; C finds the lease released. C freed parts after 2.8 s, while
// replicas still read under permits of A.
func TestThirdOwnerWaitsForPermitsOfFirst(t *testing.T) {
	fake, store := kv.NewFake(time.Now), newFakeStore()
	for i := range 10 {
		store.save("w1", fmt.Sprint(i), 96)
	}
	now := time.Now().UnixMilli() + clockAhead
	writeRecord(t, fake, "shelf", record{StoreEpoch: 1, Seen: now - 60_000, OtherOwnerUntil: now + 8000})
	c := startOwnerWith(t, fake, 10*time.Second, store, service("shelf", 1000, 1000))
	parts := []relay.Part{{ID: "new", Tokens: 16}, {ID: "own", Tokens: 16}}
	c.Claim(context.Background(), "w2", parts, []bool{false, false}) // all other parts are of old weights
	time.Sleep(storecache.ReadPermitTTL + time.Second)
	c.Claim(context.Background(), "w2", parts, []bool{false, false})
	if n := store.freedAfterMaintenance(); n > 0 {
		t.Errorf("%d parts were freed while another owner may grant permits for them", n)
	}
}

// A daemon is killed just after it asked a store to free parts, restarts within 50 ms and
// reacquires the store at once. The free call may still arrive. It would break a permit granted
// before that for a part that the list still contains.
func TestRestartedOwnerWaitsForItsLastFreeCall(t *testing.T) {
	fake, store := kv.NewFake(time.Now), newFakeStore()
	store.save("w1", "x", 96)
	manager := func() *lease.Manager {
		return lease.NewManager(lease.Options{
			KV: fake.Client("a"), Self: "a", Address: "a:1", OwnsAddress: true, TTL: time.Minute, Margin: time.Second,
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := manager().Acquire(ctx, LeasePrefix+"shelf"); err != nil {
		t.Fatal(err)
	}
	svc := service("shelf", 10_000, 1000)
	began := time.Now()
	owner := NewOwner(Options{
		KV: fake.Client("a"), Self: "a", Leases: manager(), API: store, TokenBytes: func() int { return 1000 },
		Stores: func() []*routing.Service { return []*routing.Service{svc} }, Rank: func(routing.ServiceID) int { return 0 },
	})
	owner.acquireIfDue(ctx, svc)
	ask := &ClaimRequest{Salt: "w1", Weights: 1, Parts: []*PartAsk{{Store: "shelf", Id: "x", Tokens: 96}}}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		answer, err := owner.Claim(ctx, ask)
		if err != nil {
			t.Fatal(err)
		}
		if !answer.Parts[0].Fetch {
			continue
		}
		if took := time.Since(began); took < freeTimeout {
			t.Errorf("a permit is granted after %s", took)
		}
		return
	}
	t.Fatal("no permit is granted")
}

// A store is full, so its parts are also requested from a second store, and both permit a save.
// The request makes one of them. The other store counted the part as being written, reserved
// space and link time for it, and permitted no save of it for eight seconds.
func TestUnusedSaveAtSecondStoreIsReleased(t *testing.T) {
	const fast, roomy = "fast", "roomy"
	c := startOwner(t, newFakeStore(), service(fast, 100_000, 2000), service(roomy, 200_000, 1000))
	used := func(store string) int {
		owned := c.opts.Local.current(routing.ServiceID(store))
		owned.mu.Lock()
		defer owned.mu.Unlock()
		return owned.cache.UsedTokens()
	}
	waitForAnswer(t, c, "warm", false, true) // both stores are ready and permit saves
	before := used(fast) + used(roomy)
	c.mu.Lock()
	c.fullReportedAt[fast] = time.Now()
	c.mu.Unlock()
	const tokens = 160
	parts := []relay.Part{{ID: "p", Tokens: tokens}, {ID: "last", Tokens: 16}}
	got, _ := c.Claim(context.Background(), "w1", parts, []bool{false, false})
	if !got[0].Save {
		t.Fatalf("no save is permitted: %+v", got[0])
	}
	for deadline := time.Now().Add(2 * time.Second); used(fast)+used(roomy) != before+tokens; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d tokens are reserved in %s and %d in %s", used(fast), fast, used(roomy), roomy)
		}
	}
}
