// Package contextstore manages the context stores that hold stored parts of prompts. One daemon
// owns each store, under a lease, and manages its space. The other daemons ask the owner before a
// request fetches from the store or saves to it.
//
// An owner that does not respond promptly costs the request its stored parts but no waiting
// time: the prompt is computed instead.
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
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	// LeasePrefix is the prefix of the names of the store leases.
	LeasePrefix = "store/"

	followWait = time.Second
	// followInterval batches events, so that a busy store is not polled for each one.
	followInterval   = 60 * time.Millisecond
	retryInterval    = 300 * time.Millisecond
	maintainInterval = 100 * time.Millisecond
	minListInterval  = 3 * time.Second // minimum time between two lists of a store, because a list stalls it
	// freeTimeout is how long a store may take to free parts. It responds within a few
	// milliseconds.
	freeTimeout     = 150 * time.Millisecond
	acquireInterval = time.Second
	// idleAcquireCheckInterval is how often a daemon without a store looks for one that has no owner.
	idleAcquireCheckInterval = 250 * time.Millisecond
	backupRanks              = 2
	// silenceTimeout is how long a store may be silent before fetches from it stop. It may be
	// down, and a dead source costs a request some hundred ms.
	silenceTimeout = 1600 * time.Millisecond
	maxFreeBatch   = 64              // parts in one Free call
	logInterval    = 2 * time.Second // time between two log lines of a store
)

// Options configures an Owner.
type Options struct {
	KV platform.KV
	// Self is this daemon. No replica still reads under permits that it granted before its
	// start or for a store that it dropped.
	Self   request.DaemonID
	Leases *lease.Manager
	API    StoreAPI
	// Stores returns the managed stores of the desired state.
	Stores func() []*routing.Service
	// Rank returns this daemon's rank among the candidate owners of a store, starting at 0.
	Rank func(store routing.ServiceID) int
	// LastOwner returns the last known owner of a store. If nil, no last owner is known.
	LastOwner func(store routing.ServiceID) request.DaemonID
	// HasOwner reports whether a store has a known owner that answered its last call. If nil,
	// no store has one.
	HasOwner func(store routing.ServiceID) bool
	// LeaseEpoch returns the newest known epoch of a store's lease. If nil, none is known.
	LeaseEpoch func(store routing.ServiceID) uint64
	// TokenBytes returns the size of a token's KV cache; zero if it is not known yet.
	TokenBytes func() int
	// Able reports whether this daemon reaches stores and replicas, or no daemon does. One that is not able gives its stores
	// up. If nil, it always is.
	Able    func() bool
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Owner owns the stores that are assigned to this daemon. It implements Keeper.
type Owner struct {
	opts Options

	started time.Time // start of this process, or slightly later

	mu           sync.Mutex
	stores       map[routing.ServiceID]*ownedStore
	acquireTried map[routing.ServiceID]time.Time

	leaving atomic.Bool
}

// NewOwner returns an Owner that owns no store yet.
func NewOwner(o Options) *Owner {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("contextstore")
	return &Owner{opts: o, started: time.Now(), stores: map[routing.ServiceID]*ownedStore{}, acquireTried: map[routing.ServiceID]time.Time{}}
}

// Leave releases all stores, so that other daemons can own them.
func (o *Owner) Leave(ctx context.Context) {
	o.leaving.Store(true)
	o.mu.Lock()
	stores := slices.Collect(maps.Values(o.stores))
	clear(o.stores)
	o.mu.Unlock()
	for _, owned := range stores {
		l := owned.retire()
		if owned.mayReleaseLease() { // otherwise it must expire, which tells the next owner that there may be readers
			o.release(ctx, owned, l)
		}
	}
}

func (o *Owner) release(ctx context.Context, owned *ownedStore, l *lease.Lease) {
	if err := l.Release(ctx); err != nil {
		o.opts.Logger.Warn("Failed to release a context store; its lease will expire", "store", owned.id, "error", err)
	}
}

// able reports whether this daemon may own stores. If not, it releases those whose next owner can learn of all readers; the
// others follow once it can.
func (o *Owner) able(ctx context.Context) bool {
	if o.opts.Able == nil || o.opts.Able() {
		return true
	}
	o.mu.Lock()
	stores := slices.Collect(maps.Values(o.stores))
	o.mu.Unlock()
	for _, owned := range stores {
		if !owned.mayReleaseLease() {
			continue
		}
		o.opts.Logger.Info("This daemon reaches no replica and gives a context store up", "store", owned.id)
		o.mu.Lock()
		delete(o.stores, owned.id)
		o.mu.Unlock()
		o.release(ctx, owned, owned.retire())
	}
	return false
}

// Run acquires stores that have no owner until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil && !o.leaving.Load() {
		if o.able(ctx) {
			for _, store := range o.opts.Stores() {
				o.acquireIfDue(ctx, store)
			}
		}
		_ = sleep.For(ctx, o.acquireCheckInterval()) // the loop checks ctx itself
	}
	return nil
}

// acquireCheckInterval returns the time until this daemon looks for stores to acquire again. One that owns
// none looks less often, since in a large fleet most own none.
func (o *Owner) acquireCheckInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.stores) == 0 {
		return idleAcquireCheckInterval
	}
	return maintainInterval
}

// acquireIfDue acquires a store that is free and assigned to this daemon. It also reacquires a
// store whose lease expired here.
func (o *Owner) acquireIfDue(ctx context.Context, store *routing.Service) {
	prev := o.current(store.ID)
	if prev != nil && prev.address != store.Store.Address {
		o.opts.Logger.Info("The address of a context store has changed", "store", store.ID, "address", store.Store.Address, "before", prev.address)
		o.drop(store.ID) // what lies at the old address is of no use
		prev = nil
	}
	if prev != nil && prev.holdsLease() {
		return
	}
	o.mu.Lock()
	due := time.Since(o.acquireTried[store.ID]) > acquireInterval
	o.mu.Unlock()
	bytes := o.opts.TokenBytes()
	if !due || bytes == 0 || !store.Store.Managed || prev == nil && !o.mayAcquire(store.ID) {
		return
	}
	o.mu.Lock()
	o.acquireTried[store.ID] = time.Now()
	o.mu.Unlock()
	l, err := o.opts.Leases.Acquire(ctx, LeasePrefix+string(store.ID))
	switch {
	case errors.Is(err, lease.ErrHeld):
		o.drop(store.ID)
	case err != nil:
		o.opts.Logger.Warn("Failed to acquire a context store", "store", store.ID, "error", err)
	case prev != nil && prev.resume(l):
		o.opts.Logger.Info("Reacquired a context store", "store", store.ID, "epoch", l.Epoch())
	default:
		o.drop(store.ID)
		o.startOwning(ctx, store, l, bytes)
	}
}

// current returns the state of a store owned here. It returns nil if the store is not owned here,
// can't grant permits any more, or is known to have another owner; in the last two cases it drops
// the store.
func (o *Owner) current(store routing.ServiceID) *ownedStore {
	owned := o.lookup(store)
	if owned == nil {
		return nil
	}
	if !owned.mayGrant(time.Now()) || o.opts.LeaseEpoch != nil && o.opts.LeaseEpoch(store) > owned.leaseEpoch() {
		o.drop(store)
		return nil
	}
	return owned
}

// minUnsafeStall is the shortest process stall in which a lease may have expired and been
// acquired elsewhere. It leaves out the time between two renewals.
const minUnsafeStall = time.Second

// HandleStall drops all stores after a long process stall. The clock of the leases may have
// stopped as well, so that expired leases look valid. Another daemon may have owned the stores
// since, which invalidates the state held here.
func (o *Owner) HandleStall(gap time.Duration) {
	if gap < minUnsafeStall {
		return
	}
	o.mu.Lock()
	stores := slices.Collect(maps.Keys(o.stores))
	o.mu.Unlock()
	for _, store := range stores {
		o.drop(store)
	}
}

func (o *Owner) drop(store routing.ServiceID) {
	o.mu.Lock()
	owned := o.stores[store]
	delete(o.stores, store)
	o.mu.Unlock()
	if owned != nil {
		owned.retire()
	}
}

// mayAcquire reports whether this daemon may try to acquire a store. If the owner of a store
// does not respond, the daemons next in rank also try. The first in rank is mostly that owner
// itself and stays listed for some time after its death.
//
// A restarted daemon reacquires its previous stores. When all daemons lose power and restart
// after 1.5 s, their leases remain valid for some hundred ms and no daemon knows its rank yet.
// Without an owner to grant permits for 1.2 s, the prompts of all returning contexts were
// computed, and callers were refused because no replica was available.
func (o *Owner) mayAcquire(store routing.ServiceID) bool {
	if o.opts.LastOwner != nil && o.opts.LastOwner(store) == o.opts.Self {
		return true
	}
	if o.opts.HasOwner != nil && o.opts.HasOwner(store) {
		return false
	}
	return o.opts.Rank(store) <= backupRanks
}

const bitsPerMegabit = 1e6

func (o *Owner) startOwning(ctx context.Context, store *routing.Service, l *lease.Lease, tokenBytes int) {
	const bitsPerByte = 8
	owned := &ownedStore{
		id: store.ID, address: store.Store.Address, capacityTokens: store.Store.CapacityTokens, lease: l, leaseValidAt: time.Now(), api: o.opts.API, log: o.opts.Logger, metrics: o.opts.Metrics, records: recordStore{kv: o.opts.KV}, reasons: map[storecache.Reason]int{},
		cache: storecache.New(time.Now(), storecache.Params{
			CapacityTokens: store.Store.CapacityTokens, FirstByte: store.Store.FirstByte,
			TokensPerSec:         store.Store.LinkMbps * bitsPerMegabit / bitsPerByte / float64(tokenBytes),
			PreviousLeaseExpired: l.ExpiredHolder() != "" && l.ExpiredHolder() != o.opts.Self,
		}),
	}
	if l.ExpiredHolder() == o.opts.Self {
		owned.permitFrom = o.started.Add(freeTimeout)
	}
	o.mu.Lock()
	o.stores[store.ID] = owned
	o.mu.Unlock()
	o.opts.Logger.Info("Acquired a context store", "store", store.ID, "epoch", l.Epoch())
	go owned.run(ctx)
}

// Claim implements Keeper.
func (o *Owner) Claim(_ context.Context, r *ClaimRequest) (*ClaimResponse, error) {
	out := &ClaimResponse{Parts: make([]*PartAnswer, len(r.Parts))}
	byStore := map[string][]int{}
	for i, p := range r.Parts {
		out.Parts[i] = &PartAnswer{}
		byStore[p.Store] = append(byStore[p.Store], i)
	}
	for store, positions := range byStore {
		owned := o.lookup(routing.ServiceID(store))
		if owned == nil {
			for _, n := range positions {
				out.Parts[n].NotKept = true
			}
			continue
		}
		asks := make([]*PartAsk, len(positions))
		for i, n := range positions {
			asks[i] = r.Parts[n]
		}
		if slices.ContainsFunc(asks, owned.isElsewhere) {
			continue // one of the two daemons does not know the store's address yet
		}
		answers, permitUntil, ok := owned.claim(r.Salt, r.Weights, asks)
		if !ok {
			continue
		}
		for i, n := range positions {
			out.Parts[n] = answers[i]
		}
		if out.LeaveUntilMs == 0 || permitUntil < out.LeaveUntilMs {
			out.LeaveUntilMs = permitUntil
		}
	}
	return out, nil
}

// Release implements Keeper.
func (o *Owner) Release(_ context.Context, r *ReleaseRequest) (*ReleaseResponse, error) {
	for _, p := range r.Parts {
		if owned := o.lookup(routing.ServiceID(p.Store)); owned != nil {
			owned.release(storecache.Key{Salt: r.Salt, ID: p.Id}, p.Claim)
		}
	}
	return &ReleaseResponse{}, nil
}

// Fetched implements Keeper.
func (o *Owner) Fetched(_ context.Context, r *FetchedRequest) (*FetchedResponse, error) {
	if owned := o.lookup(routing.ServiceID(r.Store)); owned != nil {
		took := time.Duration(r.TookUs) * time.Microsecond
		owned.recordFetch(storecache.FetchResult{Claim: r.Claim, Took: took, Overdue: r.Overdue, Busy: r.Busy})
	}
	return &FetchedResponse{}, nil
}

// lookup returns the state of a store owned here, even if it can't grant permits; nil if the
// store is not owned here.
func (o *Owner) lookup(store routing.ServiceID) *ownedStore {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stores[store]
}
