package contextstore

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// fakeStore is a context store in memory.
type fakeStore struct {
	mu     sync.Mutex
	epoch  uint64
	down   bool
	events []Event
	parts  map[storeroom.Key]int
	freed  []storeroom.Key

	listTakes time.Duration // how long a list comes over the store's link
}

// clockAhead is how far the fake store's clock is ahead of this process's, in ms.
const clockAhead = 1_000_000

func newFakeStore() *fakeStore { return &fakeStore{epoch: 1, parts: map[storeroom.Key]int{}} }

func (s *fakeStore) save(salt, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := storeroom.Key{Salt: salt, ID: id}
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

// freedByNow gives the keeper time to free what it may, and returns the number of parts freed.
func (s *fakeStore) freedByNow() int {
	time.Sleep(3 * keepEvery)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.freed)
}

func (s *fakeStore) Events(_ context.Context, _ string, after uint64, _ time.Duration) (Content, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Content{}, errors.New("down")
	}
	c := Content{Epoch: s.epoch, Next: uint64(len(s.events)), ClockMs: time.Now().UnixMilli() + clockAhead}
	if after <= c.Next {
		c.Events = append(c.Events, s.events[after:]...)
	}
	return c, nil
}

func (s *fakeStore) List(ctx context.Context, _ string) (Content, error) {
	if err := pause.For(ctx, s.listTakes); err != nil {
		return Content{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Content{}, errors.New("down")
	}
	c := Content{Epoch: s.epoch, Next: uint64(len(s.events))}
	for key, tokens := range s.parts {
		c.Whole = append(c.Whole, storeroom.Ask{Key: key, Tokens: tokens})
	}
	return c, nil
}

func (s *fakeStore) Free(_ context.Context, _ string, keys []storeroom.Key, epoch uint64, _ int64) error {
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

// keep returns a daemon that keeps one store, and an asker beside it.
func keep(t *testing.T, store *fakeStore, services ...*routing.Service) *Asker {
	t.Helper()
	return keepUnder(t, kv.NewFake(time.Now), 10*time.Second, store, services...)
}

// keepUnder is keep with a key-value service and a lease of its own.
func keepUnder(t *testing.T, fake *kv.Fake, ttl time.Duration, store *fakeStore, services ...*routing.Service) *Asker {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client := fake.Client("a")
	all := func() []*routing.Service { return services }
	leases := lease.NewManager(lease.Options{KV: client, Self: "a", Address: "a:1", TTL: ttl, Margin: ttl / 5})
	keeper := NewKeeper(Options{
		KV: client, Self: "a", Leases: leases, Calls: store, Stores: all, Rank: func(routing.ServiceID) int { return 0 },
		TokenBytes: func() int { return 1000 },
	})
	follower := mirror.New(mirror.Options{KV: client})
	a := NewAsker(AskerOptions{Follower: follower, Self: "a", Own: keeper, Stores: all, Client: http.DefaultClient})
	var runs sync.WaitGroup
	for _, run := range []func(context.Context) error{leases.Run, keeper.Run} {
		runs.Go(func() { _ = run(ctx) }) // ends with ctx
	}
	t.Cleanup(func() {
		cancel()
		runs.Wait()
	})
	for deadline := time.Now().Add(5 * time.Second); len(*a.holders.Load()) < len(services); {
		if time.Now().After(deadline) {
			t.Fatal("nobody keeps the store")
		}
		entries, _, err := client.List(ctx, lease.RecordPrefix+LeasePrefix)
		if err != nil {
			t.Fatal(err)
		}
		a.apply(mirror.Update{Full: true, Entries: entries})
		time.Sleep(5 * time.Millisecond)
	}
	return a
}

// askFor asks for one part, not the last of its prompt, until the answer is as wanted.
func askFor(t *testing.T, a *Asker, id string, fetch, save bool) {
	t.Helper()
	parts := []relay.Part{{ID: id, Tokens: 100}, {ID: "own", Tokens: 10}}
	for deadline := time.Now().Add(8 * time.Second); ; {
		got, _ := a.Claim(context.Background(), "w1", parts, []bool{false, false})
		if got[0].Fetch == fetch && got[0].Save == save {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: fetch %t, save %t", id, got[0].Fetch, got[0].Save)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A part is saved once, may be fetched when the store has it, and not after the store came
// back empty.
func TestPartIsSavedFetchedAndLost(t *testing.T) {
	store := newFakeStore()
	a := keep(t, store, service("s", 100_000, 1000))
	askFor(t, a, "p", false, true)
	askFor(t, a, "p", false, false) // it is being written
	store.save("w1", "p", 100)
	askFor(t, a, "p", true, false)
	got, until := a.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 100}}, []bool{false})
	if got[0].Address != "s:1" || got[0].FailureDomain != "d" {
		t.Errorf("got %+v", got[0])
	}
	left := until - (time.Now().UnixMilli() + clockAhead)
	if left < 1000 || left > storeroom.LeaveFor.Milliseconds() {
		t.Errorf("leave ends in %d ms on the replicas' clock", left)
	}
	store.restart()
	askFor(t, a, "p", false, true)
}

// The key-value service is away for longer than leases last. What the store has is fetched
// all the while, nothing new is written; when the service is back the same daemon goes on
// without the wait that a new keeper needs before it may write.
func TestOutageOfTheServiceLeavesStoresReadable(t *testing.T) {
	store := newFakeStore()
	store.save("w1", "p", 100)
	fake := kv.NewFake(time.Now)
	const ttl = 500 * time.Millisecond
	a := keepUnder(t, fake, ttl, store, service("s", 100_000, 1000))
	askFor(t, a, "p", true, false)
	askFor(t, a, "q", false, true)
	store.save("w1", "q", 100)
	fake.SetDown(true)
	for began := time.Now(); time.Since(began) < 3*ttl; time.Sleep(20 * time.Millisecond) {
		got, _ := a.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 100}, {ID: "own", Tokens: 10}}, []bool{false, false})
		if !got[0].Fetch {
			t.Fatalf("not fetched %s into the outage", time.Since(began))
		}
	}
	askFor(t, a, "new", false, false)
	fake.SetDown(false)
	back := time.Now()
	askFor(t, a, "newer", false, true)
	if took := time.Since(back); took > storeroom.LeaveFor {
		t.Errorf("written again after %s", took)
	}
}

// The keeper's VM is suspended. Its leases' clock stood still, so they look held when it goes
// on, and another daemon may have freed parts and written others since. Leave that it gave
// by what it knew would let a prompt run on half a part.
func TestSuspendedKeeperForgetsItsStores(t *testing.T) {
	store := newFakeStore()
	store.save("w1", "p", 100)
	a := keep(t, store, service("s", 100_000, 1000))
	askFor(t, a, "p", true, false)
	a.o.Own.Stalled(distrustAfter - time.Millisecond)
	askFor(t, a, "p", true, false)
	store.mu.Lock()
	delete(store.parts, storeroom.Key{Salt: "w1", ID: "p"}) // by the keeper meanwhile, and no event tells it
	store.mu.Unlock()
	a.o.Own.Stalled(distrustAfter)
	for range 50 {
		if got, _ := a.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 100}, {ID: "own"}}, []bool{false, false}); got[0].Fetch {
			t.Fatal("leave to fetch what is gone")
		}
		time.Sleep(10 * time.Millisecond)
	}
	askFor(t, a, "p", false, true)
}

// All daemons lose power and start again, each with the name it had. The keeper of a full
// store took its own lease from before for that of another one, which might read on, and freed
// nothing for eleven seconds: prompts were computed and could not be saved.
func TestKeeperThatStartsAgainFreesSoon(t *testing.T) {
	fake := kv.NewFake(time.Now)
	const ttl = 300 * time.Millisecond
	before := lease.NewManager(lease.Options{KV: fake.Client("a"), Self: "a", Address: "a:1", TTL: ttl, WaitAfterTakeover: time.Millisecond})
	if _, err := before.Acquire(context.Background(), LeasePrefix+"s"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(ttl) // it died, and its lease ran out
	store := newFakeStore()
	for i := range 10 {
		store.save("w1", fmt.Sprint("old", i), 100)
	}
	a := keepUnder(t, fake, time.Second, store, service("s", 1000, 1000))
	askFor(t, a, "old1", true, false)
	for deadline := time.Now().Add(storeroom.ReadOnFor); ; time.Sleep(50 * time.Millisecond) {
		// New weights: what is of the old ones may go.
		_, _ = a.Claim(context.Background(), "w2", []relay.Part{{ID: "n", Tokens: 100}, {ID: "own"}}, []bool{false, false})
		store.mu.Lock()
		freed := len(store.freed)
		store.mu.Unlock()
		if freed > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("nothing is freed")
		}
	}
}

// A store falls silent. Each request told to fetch from it would lose some hundred ms, so
// nothing is within two seconds.
func TestSilentStoreIsLeftAlone(t *testing.T) {
	store := newFakeStore()
	store.save("w1", "p", 100)
	a := keep(t, store, service("s", 100_000, 1000))
	askFor(t, a, "p", true, false)
	store.setDown(true)
	began := time.Now()
	askFor(t, a, "p", false, false)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("left alone after %s", took)
	}
	store.setDown(false)
	askFor(t, a, "p", true, false)
}

// A store holds some ten thousand parts, and its list takes the small link of its keeper longer
// than a second. The keeper must learn what the store holds all the same: cut as a whole, the
// list was asked for again and again, and prompts were computed that lay in the store.
func TestLongListOfAStoreIsReadToItsEnd(t *testing.T) {
	store := newFakeStore()
	store.listTakes = 1500 * time.Millisecond
	store.save("w1", "p", 100)
	askFor(t, keep(t, store, service("s", 100_000, 1000)), "p", true, false)
}

// A keeper that is dead or cut off costs a request its stored parts, not a wait.
func TestDeadKeeperIsNoWait(t *testing.T) {
	a := NewAsker(AskerOptions{
		Follower: mirror.New(mirror.Options{KV: kv.NewFake(time.Now).Client("a")}), Self: "a", Client: http.DefaultClient,
		Stores: func() []*routing.Service { return []*routing.Service{service("s", 1000, 1000)} },
	})
	// An address of the loopback net that nobody listens on.
	a.holders.Store(&map[string]lease.Holder{"s": {ID: "b", Address: "127.0.0.1:1"}})
	for range 20 {
		began := time.Now()
		got, _ := a.Claim(context.Background(), "w1", []relay.Part{{ID: "p", Tokens: 10}}, []bool{false})
		if got[0].Fetch || time.Since(began) > 3*askTimeout {
			t.Fatalf("%+v after %s", got[0], time.Since(began))
		}
	}
}

// Small parts go to fast stores, large ones to those with room, and each to the same
// store for all daemons.
func TestPartsAreSpreadByTheirSize(t *testing.T) {
	var stores []*routing.Service
	for i := range 3 {
		stores = append(stores, service(fmt.Sprint("fast", i), 140_000, 1300), service(fmt.Sprint("big", i), 1_600_000, 380))
	}
	counts := map[string]int{}
	for i := range 300 {
		small := choose(stores, relay.Part{ID: fmt.Sprint(i), Tokens: 500}, nil)
		large := choose(stores, relay.Part{ID: fmt.Sprint(i), Tokens: 5000}, nil)
		counts[string(small.ID)]++
		counts[string(large.ID)]++
		if small.Store.LinkMbps != 1300 || large.Store.LinkMbps != 380 {
			t.Fatalf("a small part goes to %s, a large one to %s", small.ID, large.ID)
		}
		if second := choose(stores, relay.Part{ID: fmt.Sprint(i), Tokens: 500}, small); second.Store.LinkMbps != 380 {
			t.Fatalf("the overflow goes to %s", second.ID)
		}
	}
	for id, n := range counts {
		if n < 50 {
			t.Errorf("%s has %d of 300 parts", id, n)
		}
	}
	if choose(nil, relay.Part{ID: "x", Tokens: 1}, nil) != nil {
		t.Error("a store out of none")
	}
}

// The load: 260 prompts of 10,000 tokens come in the first second after all daemons lost
// power and are back, 1.5 s later. None knows yet who the others are, so that each ranks
// last. The store that a daemon kept must be read again at once, and a store that another
// one kept be left to that one.
func TestDaemonKeepsAgainWhatItKeptBeforeItKnowsItsRank(t *testing.T) {
	fake, store := kv.NewFake(time.Now), newFakeStore()
	start := func(id string, services ...*routing.Service) (*StoreKeeper, *lease.Manager) {
		leases := lease.NewManager(lease.Options{
			KV: fake.Client(id), Self: request.DaemonID(id), Address: id + ":1", OwnsAddress: true, TTL: time.Minute, Margin: time.Second,
		})
		return NewKeeper(Options{
			KV: fake.Client(id), Self: request.DaemonID(id), Leases: leases, Calls: store, TokenBytes: func() int { return 1000 },
			Stores: func() []*routing.Service { return services },
			Last:   func(routing.ServiceID) request.DaemonID { return "a" },
			Rank:   func(routing.ServiceID) int { return backupRanks + 1 },
		}), leases
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	shelf := service("shelf", 10_000, 1000)
	_, before := start("a")
	if _, err := before.Acquire(ctx, LeasePrefix+"shelf"); err != nil {
		t.Fatal(err)
	}
	other, _ := start("b", shelf)
	other.consider(ctx, shelf)
	again, _ := start("a", shelf)
	again.consider(ctx, shelf)
	if other.current("shelf") != nil || again.current("shelf") == nil {
		t.Errorf("kept by the other: %t, by the one that kept it: %t", other.current("shelf") != nil, again.current("shelf") != nil)
	}
}

// A daemon takes a store over that is nearly full, and learns what it holds from a list. The
// list does not name the weights that made a part, its salt does: taken for older ones, all
// the contexts that callers return to were freed first, and computed again at their return.
func TestWhatANewKeeperListsIsNotTakenForOld(t *testing.T) {
	store := newFakeStore()
	for i := range 10 {
		store.save("w1", fmt.Sprint("context", i), 96)
	}
	a := keep(t, store, service("shelf", 1000, 1000))
	askFor(t, a, "context0", true, false)
	const untilFreed = storeroom.LeaveFor + time.Second // nothing is freed while leave may last
	time.Sleep(untilFreed)
	askFor(t, a, "context1", true, false)
	if n := store.freedByNow(); n > 0 {
		t.Errorf("%d parts of the newest weights were freed", n)
	}
}

// A daemon's clock is seconds ahead of the replicas', and a list does not tell theirs. Leave
// that ended by the daemon's clock would let a replica fetch for seconds after the part was
// freed: none may be given before the store's clock is known, nor end by the daemon's.
func TestLeaveEndsOnTheStoresClock(t *testing.T) {
	a := keep(t, newFakeStore(), service("shelf", 10_000, 1000))
	parts := []relay.Part{{ID: "x", Tokens: 100}, {ID: "own", Tokens: 10}}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		_, until := a.Claim(context.Background(), "w1", parts, []bool{false, false})
		if until == 0 {
			continue // nothing is known yet
		}
		left := time.Duration(until-time.Now().UnixMilli()-clockAhead) * time.Millisecond
		if left > storeroom.LeaveFor || left < storeroom.LeaveFor-time.Second {
			t.Errorf("leave lasts %s on the store's clock", left)
		}
		return
	}
	t.Fatal("no leave is given")
}

// writeRecord writes what keepers before knew of a store.
func writeRecord(t *testing.T, fake *kv.Fake, store string, known record) {
	t.Helper()
	if err := (records{kv: fake.Client("before")}).write(context.Background(), routing.ServiceID(store), known, 0); err != nil {
		t.Fatal(err)
	}
}

// The load: all daemons are stopped in turn, and each keeps a store. For 2.8 s after each stop
// nothing was saved there, since the store could have come back empty under leave of the
// keeper before; contexts that were computed then were computed again at their return, an
// eighth of all that was. A store whose process is known to be the same is no such store.
func TestNewKeeperSavesAtOnceToAStoreThatHasNotRestarted(t *testing.T) {
	now := time.Now().UnixMilli() + clockAhead
	took := func(known record) time.Duration {
		fake := kv.NewFake(time.Now)
		writeRecord(t, fake, "shelf", known)
		began := time.Now()
		a := keepUnder(t, fake, 10*time.Second, newFakeStore(), service("shelf", 10_000, 1000))
		askFor(t, a, "x", false, true)
		return time.Since(began)
	}
	const wait = storeroom.LeaveFor
	if got := took(record{Epoch: 1, Seen: now - 60_000}); got > wait/2 {
		t.Errorf("the same process for a minute: saves after %s", got)
	}
	if got := took(record{Epoch: 7, Seen: now - 60_000}); got < wait {
		t.Errorf("another process: saves after %s", got)
	}
	if got := took(record{Epoch: 1, Seen: now - 1000}); got < wait {
		t.Errorf("the same process for a second: saves after %s", got)
	}
}

// Keeper A is cut off and goes on to give leave for 8 s. B takes the store over, knows that,
// and is stopped as planned; C finds the store given back. It freed parts after 2.8 s, under
// the readers that A had let in.
func TestKeeperAfterNextWaitsForReadersOfTheFirst(t *testing.T) {
	fake, store := kv.NewFake(time.Now), newFakeStore()
	for i := range 10 {
		store.save("w1", fmt.Sprint(i), 96)
	}
	now := time.Now().UnixMilli() + clockAhead
	writeRecord(t, fake, "shelf", record{Epoch: 1, Seen: now - 60_000, Readers: now + 8000})
	a := keepUnder(t, fake, 10*time.Second, store, service("shelf", 1000, 1000))
	parts := []relay.Part{{ID: "new", Tokens: 16}, {ID: "own", Tokens: 16}}
	a.Claim(context.Background(), "w2", parts, []bool{false, false}) // all others are of old weights
	time.Sleep(storeroom.LeaveFor + time.Second)
	a.Claim(context.Background(), "w2", parts, []bool{false, false})
	if n := store.freedByNow(); n > 0 {
		t.Errorf("%d parts were freed while a keeper may give leave for them", n)
	}
}

// A daemon is killed just as it asks a store to free parts, is back within 50 ms and keeps the
// store at once. The call may still arrive: leave given before that, for a part that the list
// shows, would be broken.
func TestKeeperThatStartsAgainWaitsForItsOwnLastCall(t *testing.T) {
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
	shelf := service("shelf", 10_000, 1000)
	began := time.Now()
	keeper := NewKeeper(Options{
		KV: fake.Client("a"), Self: "a", Leases: manager(), Calls: store, TokenBytes: func() int { return 1000 },
		Stores: func() []*routing.Service { return []*routing.Service{shelf} }, Rank: func(routing.ServiceID) int { return 0 },
	})
	keeper.consider(ctx, shelf)
	ask := &ClaimRequest{Salt: "w1", Weights: 1, Parts: []*PartAsk{{Store: "shelf", Id: "x", Tokens: 96}}}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		answer, err := keeper.Claim(ctx, ask)
		if err != nil {
			t.Fatal(err)
		}
		if !answer.Parts[0].Fetch {
			continue
		}
		if took := time.Since(began); took < freeTimeout {
			t.Errorf("leave is given after %s", took)
		}
		return
	}
	t.Fatal("no leave is given")
}

// A store is full, so that its parts are asked for at a second one too, and both allow a save.
// The request makes one of them. The other store counted the part as being written, gave it
// room and a place in its link's queue, and for eight seconds nobody could save it there.
func TestOnlyOneOfTwoStoresWaitsForASave(t *testing.T) {
	const fast, roomy = "fast", "roomy"
	a := keep(t, newFakeStore(), service(fast, 100_000, 2000), service(roomy, 200_000, 1000))
	taken := func(store string) int {
		k := a.o.Own.current(routing.ServiceID(store))
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.room.Taken()
	}
	askFor(t, a, "warm", false, true) // both stores are known by now, and saves are allowed
	before := taken(fast) + taken(roomy)
	a.mu.Lock()
	a.full[fast] = time.Now()
	a.mu.Unlock()
	const tokens = 160
	parts := []relay.Part{{ID: "p", Tokens: tokens}, {ID: "last", Tokens: 16}}
	got, _ := a.Claim(context.Background(), "w1", parts, []bool{false, false})
	if !got[0].Save {
		t.Fatalf("got %+v", got[0])
	}
	for deadline := time.Now().Add(2 * time.Second); taken(fast)+taken(roomy) != before+tokens; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d tokens are promised in %s and %d in %s", taken(fast), fast, taken(roomy), roomy)
		}
	}
}
