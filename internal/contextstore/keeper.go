// Package contextstore lets prompts use the managed context stores: one daemon keeps the
// room of each store, under a lease, and all others ask it before a request fetches from
// the store or saves to it.
//
// A keeper that does not answer at once costs the request its stored parts, never a wait:
// the prompt is computed instead.
package contextstore

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// LeasePrefix begins the names under which stores are kept.
	LeasePrefix = "store/"

	followWait = time.Second
	// followPause gathers events, so that a busy store is not asked for each one.
	followPause  = 60 * time.Millisecond
	failPause    = 300 * time.Millisecond
	keepEvery    = 200 * time.Millisecond
	listAtMost   = 3 * time.Second // between two lists, which stall the store
	freeTimeout  = 400 * time.Millisecond
	acquireEvery = time.Second
	backupRanks  = 2
	// deafAfter is how long a store may be silent before nothing is fetched from it: it
	// may be gone, and a dead source costs a request some hundred ms.
	deafAfter = 1600 * time.Millisecond
	maxFree   = 64              // parts in one call
	tellEvery = 2 * time.Second // between two lines of the log on one store
)

// Event is a change of a store's content.
type Event struct {
	Stored bool // or removed
	Key    storeroom.Key
	Tokens int
}

// Content is what a store tells of itself.
type Content struct {
	Epoch   uint64 // changes at each start
	Next    uint64
	Lost    bool // events are missing
	ClockMs int64
	Events  []Event
	Whole   []storeroom.Ask // of a list
	Partial []storeroom.Ask
}

// Calls carries out calls to stores.
type Calls interface {
	// Events waits for changes after a number.
	Events(ctx context.Context, address string, after uint64, wait time.Duration) (Content, error)
	List(ctx context.Context, address string) (Content, error)
	// Free frees parts, unless the store has restarted or its clock is past a time.
	Free(ctx context.Context, address string, keys []storeroom.Key, epoch uint64, until int64) error
}

// kept is a store that this daemon keeps.
type kept struct {
	id      routing.ServiceID
	address string
	tokens  int // room
	lease   *lease.Lease
	calls   Calls
	log     hclog.Logger
	metrics tally.Scope

	mu       sync.Mutex
	room     *storeroom.Room
	epoch    uint64
	next     uint64
	listed   bool
	listedAt time.Time
	heardAt  time.Time
	// clock is the replicas' clock less ours, in ms: a little less than the truth, so
	// that leave ends too early rather than too late.
	clock int64
	// reasons count the answers since the last line of the log.
	reasons map[storeroom.Reason]int
}

// weightsOf returns the version that a salt stands for; zero if it is not one of ours.
func weightsOf(salt string) uint64 {
	digits, _, _ := strings.Cut(strings.TrimPrefix(salt, "w"), ".")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (k *kept) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.tend(ctx)
	for ctx.Err() == nil && k.lease.Valid() {
		if err := k.follow(ctx); err != nil && ctx.Err() == nil {
			k.log.Info("A store does not answer", "store", k.id, "error", err)
			_ = pause.For(ctx, failPause) // the loop asks the context itself
			continue
		}
		_ = pause.For(ctx, followPause) // the loop asks the context itself
	}
	k.log.Info("A store is no longer kept here", "store", k.id)
}

// follow reads the store's changes, or all of it where changes are missing.
func (k *kept) follow(ctx context.Context) error {
	k.mu.Lock()
	must := !k.listed || k.room.Overdue(time.Now()) && time.Since(k.listedAt) > listAtMost
	after := k.next
	k.mu.Unlock()
	if must {
		return k.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, followWait+time.Second)
	defer cancel()
	c, err := k.calls.Events(ctx, k.address, after, followWait)
	if err != nil {
		return err
	}
	k.take(c)
	return nil
}

func (k *kept) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, followWait)
	defer cancel()
	c, err := k.calls.List(ctx, k.address)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.heard(now, c)
	k.listed, k.listedAt, k.next = true, now, c.Next
	k.room.OnList(now, c.Whole, c.Partial)
	return nil
}

func (k *kept) take(c Content) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.heard(now, c)
	k.next = c.Next
	if c.Lost {
		k.listed = false
	}
	for _, e := range c.Events {
		if e.Stored {
			k.room.OnStored(now, e.Key, e.Tokens, weightsOf(e.Key.Salt))
		} else {
			k.room.OnRemoved(e.Key)
		}
	}
}

// heard notes that the store lives, and whether it has restarted.
func (k *kept) heard(now time.Time, c Content) {
	k.heardAt = now
	if c.ClockMs > 0 {
		k.clock = c.ClockMs - now.UnixMilli()
	}
	if k.epoch != 0 && k.epoch != c.Epoch {
		k.log.Warn("A store has restarted", "store", k.id)
		k.room.Reset(now)
		k.listed = false
	}
	k.epoch = c.Epoch
}

// tend frees what the room needs.
func (k *kept) tend(ctx context.Context) {
	told := time.Now()
	for ctx.Err() == nil {
		_ = pause.For(ctx, keepEvery) // the loop asks the context itself
		k.free(ctx)
		if time.Since(told) >= tellEvery {
			told = time.Now()
			k.tell()
		}
	}
}

// tell logs what was answered lately.
func (k *kept) tell() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.reasons) == 0 {
		return
	}
	args := []any{
		"store", k.id, "parts", k.room.Parts(), "tokens", k.room.Taken(), "room", k.tokens,
		"queue_ms", k.room.Queue(time.Now()).Milliseconds(), "slowness", k.room.Slowness(),
	}
	for _, reason := range slices.Sorted(maps.Keys(k.reasons)) {
		args = append(args, string(reason), k.reasons[reason])
	}
	k.log.Info("A store's keeper answered", args...)
	clear(k.reasons)
}

func (k *kept) free(ctx context.Context) {
	k.mu.Lock()
	if !k.ready(time.Now()) || !k.lease.MayAct(freeTimeout) {
		k.mu.Unlock()
		return
	}
	keys := k.room.Free(time.Now())
	epoch := k.epoch
	until := k.replicaClock(time.Now().Add(freeTimeout))
	k.mu.Unlock()
	for len(keys) > 0 {
		n := min(len(keys), maxFree)
		k.freeSome(ctx, keys[:n], epoch, until)
		keys = keys[n:]
	}
}

func (k *kept) freeSome(ctx context.Context, keys []storeroom.Key, epoch uint64, until int64) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	err := k.calls.Free(ctx, k.address, keys, epoch, until)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.log.Info("Parts could not be freed", "store", k.id, "parts", len(keys), "error", err)
		k.room.OnKept(time.Now(), keys)
		return
	}
	for _, key := range keys {
		k.room.OnRemoved(key)
	}
}

// ready reports whether the store's content is known and the store lives.
func (k *kept) ready(now time.Time) bool {
	return k.listed && now.Sub(k.heardAt) < deafAfter && k.lease.Valid()
}

func (k *kept) replicaClock(t time.Time) int64 { return t.UnixMilli() + k.clock }

// claim decides on parts. The second result is false if the store can't be used now.
func (k *kept) claim(salt string, weights uint64, asks []*PartAsk) ([]*PartAnswer, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.ready(now) {
		return nil, 0, false
	}
	answers := make([]*PartAnswer, len(asks))
	for i, a := range asks {
		answer := k.room.Ask(now, storeroom.Ask{
			Key: storeroom.Key{Salt: salt, ID: a.Id}, Tokens: int(a.Tokens), Weights: weights, Resident: a.Resident, Last: a.Last,
		})
		k.reasons[answer.Reason]++
		k.metrics.Tagged(map[string]string{"reason": string(answer.Reason)}).Counter("store_asks").Inc(1)
		answers[i] = &PartAnswer{
			Fetch: answer.Fetch, Save: answer.Save, Full: answer.Full, TakesUs: int32(answer.Takes.Microseconds()),
		}
	}
	return answers, k.replicaClock(now.Add(storeroom.LeaveFor)), true
}

// Options of NewKeeper.
type Options struct {
	Leases *lease.Manager
	Calls  Calls
	// Stores returns the managed stores of the desired state.
	Stores func() []*routing.Service
	// Rank returns this daemon's place among those that may keep a store, 0 first.
	Rank func(store routing.ServiceID) int
	// Deaf reports whether a store's keeper has not answered lately; nil: never.
	Deaf func(store routing.ServiceID) bool
	// TokenBytes returns the size of a token's KV cache; zero if it is not known yet.
	TokenBytes func() int
	Logger     hclog.Logger
	Metrics    tally.Scope
}

// StoreKeeper keeps the stores that fall to this daemon. It implements Keeper.
type StoreKeeper struct {
	o Options

	mu     sync.Mutex
	stores map[routing.ServiceID]*kept
	asked  map[routing.ServiceID]time.Time

	leaving atomic.Bool
}

// NewKeeper returns a keeper that keeps nothing yet.
func NewKeeper(o Options) *StoreKeeper {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("contextstore")
	return &StoreKeeper{o: o, stores: map[routing.ServiceID]*kept{}, asked: map[routing.ServiceID]time.Time{}}
}

// Leave gives all stores back, so that other daemons keep them.
func (s *StoreKeeper) Leave(ctx context.Context) {
	s.leaving.Store(true)
	s.mu.Lock()
	stores := slices.Collect(maps.Values(s.stores))
	clear(s.stores)
	s.mu.Unlock()
	for _, k := range stores {
		if err := k.lease.Release(ctx); err != nil {
			s.o.Logger.Warn("A store could not be given back; its lease lapses", "store", k.id, "error", err)
		}
	}
}

// Run takes stores that nobody keeps until ctx ends.
func (s *StoreKeeper) Run(ctx context.Context) error {
	for ctx.Err() == nil && !s.leaving.Load() {
		for _, store := range s.o.Stores() {
			s.consider(ctx, store)
		}
		_ = pause.For(ctx, keepEvery) // the loop asks the context itself
	}
	return nil
}

// consider takes a store if it falls to this daemon and is free.
func (s *StoreKeeper) consider(ctx context.Context, store *routing.Service) {
	s.mu.Lock()
	if k := s.stores[store.ID]; k != nil && !k.lease.Valid() {
		delete(s.stores, store.ID)
	}
	mine := s.stores[store.ID] != nil
	due := time.Since(s.asked[store.ID]) > acquireEvery
	s.mu.Unlock()
	bytes := s.o.TokenBytes()
	if mine || !due || bytes == 0 || !store.Store.Managed || !s.mayTake(store.ID) {
		return
	}
	s.mu.Lock()
	s.asked[store.ID] = time.Now()
	s.mu.Unlock()
	l, err := s.o.Leases.Acquire(ctx, LeasePrefix+string(store.ID))
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			s.o.Logger.Warn("A store could not be taken", "store", store.ID, "error", err)
		}
		return
	}
	s.keep(ctx, store, l, bytes)
}

// mayTake reports whether it is this daemon's turn to ask for a store. Where its keeper
// does not answer, the next ones in rank ask, too: the first is mostly that keeper, and is
// listed for some time after it died.
func (s *StoreKeeper) mayTake(store routing.ServiceID) bool {
	rank := s.o.Rank(store)
	if rank == 0 {
		return true
	}
	return rank <= backupRanks && s.o.Deaf != nil && s.o.Deaf(store)
}

const bitsPerMegabit = 1e6

func (s *StoreKeeper) keep(ctx context.Context, store *routing.Service, l *lease.Lease, tokenBytes int) {
	const bitsPerByte = 8
	k := &kept{
		id: store.ID, address: store.Store.Address, tokens: store.Store.Tokens, lease: l, calls: s.o.Calls, log: s.o.Logger, metrics: s.o.Metrics, reasons: map[storeroom.Reason]int{},
		room: storeroom.New(time.Now(), storeroom.Params{
			Tokens: store.Store.Tokens, FirstByte: store.Store.FirstByte,
			TokensPerSec: store.Store.LinkMbps * bitsPerMegabit / bitsPerByte / float64(tokenBytes),
		}),
	}
	s.mu.Lock()
	s.stores[store.ID] = k
	s.mu.Unlock()
	s.o.Logger.Info("A store is kept here", "store", store.ID, "epoch", l.Epoch())
	go k.run(ctx)
}

func (s *StoreKeeper) noteSlow(stores []string) {
	for _, store := range stores {
		s.mu.Lock()
		k := s.stores[routing.ServiceID(store)]
		s.mu.Unlock()
		if k == nil {
			continue
		}
		k.mu.Lock()
		k.room.OnSlow(time.Now())
		k.mu.Unlock()
	}
}

// Claim implements Keeper.
func (s *StoreKeeper) Claim(_ context.Context, r *ClaimRequest) (*ClaimResponse, error) {
	s.noteSlow(r.SlowStores)
	out := &ClaimResponse{Parts: make([]*PartAnswer, len(r.Parts))}
	byStore := map[string][]int{}
	for i, p := range r.Parts {
		out.Parts[i] = &PartAnswer{}
		byStore[p.Store] = append(byStore[p.Store], i)
	}
	for store, at := range byStore {
		s.mu.Lock()
		k := s.stores[routing.ServiceID(store)]
		s.mu.Unlock()
		if k == nil {
			continue
		}
		asks := make([]*PartAsk, len(at))
		for i, n := range at {
			asks[i] = r.Parts[n]
		}
		answers, until, ok := k.claim(r.Salt, r.Weights, asks)
		if !ok {
			continue
		}
		for i, n := range at {
			out.Parts[n] = answers[i]
		}
		if out.LeaveUntilMs == 0 || until < out.LeaveUntilMs {
			out.LeaveUntilMs = until
		}
	}
	return out, nil
}
