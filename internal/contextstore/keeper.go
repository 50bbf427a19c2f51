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
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// LeasePrefix begins the names under which stores are kept.
	LeasePrefix = "store/"

	followWait = time.Second
	// followPause gathers events, so that a busy store is not asked for each one.
	followPause = 60 * time.Millisecond
	failPause   = 300 * time.Millisecond
	keepEvery   = 100 * time.Millisecond
	listAtMost  = 3 * time.Second // between two lists, which stall the store
	// freeTimeout is how long a store may take to carry out that parts are freed; it answers
	// in some ms.
	freeTimeout  = 150 * time.Millisecond
	acquireEvery = time.Second
	backupRanks  = 2
	// deafAfter is how long a store may be silent before nothing is fetched from it: it
	// may be gone, and a dead source costs a request some hundred ms.
	deafAfter = 1600 * time.Millisecond
	maxFree   = 64              // parts in one call
	tellEvery = 2 * time.Second // between two lines of the log on one store
)

// Options of NewKeeper.
type Options struct {
	KV platform.KV
	// Self is this daemon. What it kept before its start, or dropped, nobody reads any more.
	Self   request.DaemonID
	Leases *lease.Manager
	Calls  Calls
	// Stores returns the managed stores of the desired state.
	Stores func() []*routing.Service
	// Rank returns this daemon's place among those that may keep a store, 0 first.
	Rank func(store routing.ServiceID) int
	// Last returns the daemon that kept a store last, as far as is known; nil: none is.
	Last func(store routing.ServiceID) request.DaemonID
	// Kept reports whether some daemon is known to keep a store, and has answered when it
	// was asked last; nil: never.
	Kept func(store routing.ServiceID) bool
	// Epoch returns the newest epoch that is known under which a store is kept; nil: never.
	Epoch func(store routing.ServiceID) uint64
	// TokenBytes returns the size of a token's KV cache; zero if it is not known yet.
	TokenBytes func() int
	Logger     hclog.Logger
	Metrics    tally.Scope
}

// StoreKeeper keeps the stores that fall to this daemon. It implements Keeper.
type StoreKeeper struct {
	o Options

	started time.Time // of this process, or a little later

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
	return &StoreKeeper{o: o, started: time.Now(), stores: map[routing.ServiceID]*kept{}, asked: map[routing.ServiceID]time.Time{}}
}

// Leave gives all stores back, so that other daemons keep them.
func (s *StoreKeeper) Leave(ctx context.Context) {
	s.leaving.Store(true)
	s.mu.Lock()
	stores := slices.Collect(maps.Values(s.stores))
	clear(s.stores)
	s.mu.Unlock()
	for _, k := range stores {
		l := k.retire()
		if !k.mayRelease() {
			continue // the next keeper must know that there may be a reader: the lease lapses
		}
		if err := l.Release(ctx); err != nil {
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

// consider takes a store if it falls to this daemon and is free, or takes it again if its
// lease ran out here.
func (s *StoreKeeper) consider(ctx context.Context, store *routing.Service) {
	before := s.current(store.ID)
	if before != nil && before.holds() {
		return
	}
	s.mu.Lock()
	due := time.Since(s.asked[store.ID]) > acquireEvery
	s.mu.Unlock()
	bytes := s.o.TokenBytes()
	if !due || bytes == 0 || !store.Store.Managed || before == nil && !s.mayTake(store.ID) {
		return
	}
	s.mu.Lock()
	s.asked[store.ID] = time.Now()
	s.mu.Unlock()
	l, err := s.o.Leases.Acquire(ctx, LeasePrefix+string(store.ID))
	switch {
	case errors.Is(err, lease.ErrHeld):
		s.drop(store.ID)
	case err != nil:
		s.o.Logger.Warn("A store could not be taken", "store", store.ID, "error", err)
	case before != nil && before.resume(l):
		s.o.Logger.Info("A store is kept here again", "store", store.ID, "epoch", l.Epoch())
	default:
		s.drop(store.ID)
		s.keep(ctx, store, l, bytes)
	}
}

// current returns what is kept here of a store; nil if nothing is, or another daemon is
// known to keep it.
func (s *StoreKeeper) current(store routing.ServiceID) *kept {
	k := s.keptStore(store)
	if k == nil {
		return nil
	}
	if !k.serves(time.Now()) || s.o.Epoch != nil && s.o.Epoch(store) > k.epochOfLease() {
		s.drop(store)
		return nil
	}
	return k
}

// distrustAfter is the shortest standstill in which a lease may have run out and been taken:
// the time from one renewal to the next is left out of it.
const distrustAfter = time.Second

// Stalled is told that the process stood still. The clock of the leases may have stood still
// with it, so that they look held, and another daemon may have kept the stores since: what is
// known of them counts for nothing any more.
func (s *StoreKeeper) Stalled(gap time.Duration) {
	if gap < distrustAfter {
		return
	}
	s.mu.Lock()
	stores := slices.Collect(maps.Keys(s.stores))
	s.mu.Unlock()
	for _, store := range stores {
		s.drop(store)
	}
}

func (s *StoreKeeper) drop(store routing.ServiceID) {
	s.mu.Lock()
	k := s.stores[store]
	delete(s.stores, store)
	s.mu.Unlock()
	if k != nil {
		k.retire()
	}
}

// mayTake reports whether it is this daemon's turn to ask for a store. Where its keeper
// does not answer, the next ones in rank ask, too: the first is mostly that keeper, and is
// listed for some time after it died.
//
// A daemon that starts again goes on with what it kept before. When all daemons lose power
// and are back after 1.5 s, their leases last for some hundred ms more, and none knows its
// rank yet: with nobody to give leave for 1.2 s all contexts that return were computed, and
// callers refused for want of replicas.
func (s *StoreKeeper) mayTake(store routing.ServiceID) bool {
	if s.o.Last != nil && s.o.Last(store) == s.o.Self {
		return true
	}
	if s.o.Kept != nil && s.o.Kept(store) {
		return false
	}
	return s.o.Rank(store) <= backupRanks
}

const bitsPerMegabit = 1e6

func (s *StoreKeeper) keep(ctx context.Context, store *routing.Service, l *lease.Lease, tokenBytes int) {
	const bitsPerByte = 8
	k := &kept{
		id: store.ID, address: store.Store.Address, tokens: store.Store.CapacityTokens, lease: l, heldAt: time.Now(), calls: s.o.Calls, log: s.o.Logger, metrics: s.o.Metrics, records: records{kv: s.o.KV}, reasons: map[storeroom.Reason]int{},
		room: storeroom.New(time.Now(), storeroom.Params{
			Tokens: store.Store.CapacityTokens, FirstByte: store.Store.FirstByte,
			TokensPerSec: store.Store.LinkMbps * bitsPerMegabit / bitsPerByte / float64(tokenBytes),
			Lapsed:       l.Lapsed() != "" && l.Lapsed() != s.o.Self,
		}),
	}
	if l.Lapsed() == s.o.Self {
		k.readFrom = s.started.Add(freeTimeout)
	}
	s.mu.Lock()
	s.stores[store.ID] = k
	s.mu.Unlock()
	s.o.Logger.Info("A store is kept here", "store", store.ID, "epoch", l.Epoch())
	go k.run(ctx)
}

// Claim implements Keeper.
func (s *StoreKeeper) Claim(_ context.Context, r *ClaimRequest) (*ClaimResponse, error) {
	out := &ClaimResponse{Parts: make([]*PartAnswer, len(r.Parts))}
	byStore := map[string][]int{}
	for i, p := range r.Parts {
		out.Parts[i] = &PartAnswer{}
		byStore[p.Store] = append(byStore[p.Store], i)
	}
	for store, at := range byStore {
		k := s.keptStore(routing.ServiceID(store))
		if k == nil {
			for _, n := range at {
				out.Parts[n].NotKept = true
			}
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

// Release implements Keeper.
func (s *StoreKeeper) Release(_ context.Context, r *ReleaseRequest) (*ReleaseResponse, error) {
	for _, p := range r.Parts {
		if k := s.keptStore(routing.ServiceID(p.Store)); k != nil {
			k.release(storeroom.Key{Salt: r.Salt, ID: p.Id}, p.Claim)
		}
	}
	return &ReleaseResponse{}, nil
}

// Fetched implements Keeper.
func (s *StoreKeeper) Fetched(_ context.Context, r *FetchedRequest) (*FetchedResponse, error) {
	if k := s.keptStore(routing.ServiceID(r.Store)); k != nil {
		took := time.Duration(r.TookUs) * time.Microsecond
		k.fetched(storeroom.Fetched{Claim: r.Claim, Took: took, Overdue: r.Overdue, Busy: r.Busy})
	}
	return &FetchedResponse{}, nil
}

// keptStore returns what is kept here of a store, whether it serves or not; nil if nothing is.
func (s *StoreKeeper) keptStore(store routing.ServiceID) *kept {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stores[store]
}
