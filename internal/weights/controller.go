// Package weights rolls out the weight versions that operators request to the model replicas.
//
// One daemon at a time runs the rollout, under a lease with an epoch. The controller decides
// with policy/rollout and reads a replica's state before it sends an order. Each order carries
// the epoch and the number of orders that the replica has accepted: a replica may execute an
// order seconds after its response was lost, and rejects it if that number has changed.
package weights

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/monotime"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/rollout"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	leaseName = "weights"
	// reconcileInterval applies while some replicas serve outdated weights.
	reconcileInterval = 100 * time.Millisecond
	// idleInterval applies while all replicas are up to date.
	idleInterval = 250 * time.Millisecond
	// callTimeout bounds one call to a replica; replicas normally respond within a few ms.
	callTimeout = 600 * time.Millisecond
	// orderVisibleTimeout bounds the time until an order shows in the replica's reported state,
	// which lags by some hundred ms.
	orderVisibleTimeout = time.Second
	// takeoverDelay, multiplied by its rank, is how long a daemon waits while replicas are
	// outdated before it tries to acquire the lease.
	takeoverDelay = 800 * time.Millisecond
	// lastCandidate is the highest rank of a daemon that takes part. A higher rank would wait longer
	// than any rollout may take.
	lastCandidate = 16
	// acquireInterval is the minimum time between two attempts to acquire the lease.
	acquireInterval = 700 * time.Millisecond
	// maxUnavailableShare is the share of a model's replicas that may be unavailable at once.
	// A replica with new weights starts with empty caches and stores, which makes prompts two
	// to five times as expensive and adds load to the other replicas. With a fifth unavailable
	// at once the rollout ends within the allowed time; a faster rollout would cost callers
	// more than responses on the previous weights do.
	maxUnavailableShare = 0.22
	// The larger shares apply to a rollout that is past lateAfter or veryLateAfter, usually
	// because the previous lease holder died.
	lateAfter                = 4500 * time.Millisecond
	lateUnavailableShare     = 0.3
	veryLateAfter            = 6 * time.Second
	veryLateUnavailableShare = 0.5
	// maxLoadingShare is the share of replicas that may load at once. One load takes less than
	// half a second, but concurrent loads slow each other down.
	maxLoadingShare = 0.23
	// drainTimeout is how long a replica receives no new requests before it is ordered to load.
	// Requests that finish within it finish on the weights that they started with. It does not
	// wait for streams, which take 2 s and more: waiting 1.5 s, and then for the last stream,
	// kept a replica unavailable for 3 s and a rollout over 12 replicas running for 9 s, with
	// up to 80 of 300 callers refused within two seconds. With 200 ms the rollout takes 5 s and
	// refuses fewer than ten callers.
	drainTimeout = 200 * time.Millisecond
	// prefillTimeout bounds how long a replica receives no new requests while it still computes
	// prompts: their KV cache must not mix two weight versions.
	prefillTimeout = 1500 * time.Millisecond
	// busyTTL is how long all daemons send no requests to a replica with a pending order, unless
	// the order is seen to complete earlier.
	busyTTL = 700 * time.Millisecond
	// announceLead is the time between the announcement to peers and the order. Requests that
	// peers have already sent arrive within it, and the peers send no more, which the replica
	// would refuse.
	announceLead = 80 * time.Millisecond
	// heldRetryDelay is how long a daemon waits before it retries to acquire a lease that
	// another daemon holds, while no replica is outdated.
	heldRetryDelay = 10 * time.Second
)

// Report is the state that a replica reports about itself.
type Report struct {
	Weights map[request.Model]uint64
	Busy    bool   // the replica is executing an order
	Orders  uint64 // orders accepted since the process started
	Started int64  // identifies the process start, as in replicas.Info; zero: not reported
}

// Order tells a replica to load weights.
type Order struct {
	Model          request.Model
	Version        uint64
	Holder         request.DaemonID
	Epoch          uint64
	ExpectedOrders uint64 // the replica rejects this order if it has accepted any other number
	// KeepRunning lets running requests continue under the new weights. Otherwise the replica
	// refuses new requests, waits until the running ones have ended, and then loads.
	KeepRunning bool
}

// State is a replica's state as announced to peers. A zero BusyFor ends an earlier busy period.
type State struct {
	Replica        request.TargetID
	BusyFor        time.Duration // the replica accepts no requests for this long
	Model          request.Model
	WeightsVersion uint64 // version that the replica serves; zero: not announced
}

// ReplicaClient calls replicas.
type ReplicaClient interface {
	Report(ctx context.Context, r *replicas.Replica) (Report, error)
	// Load sends an order. After an error the replica may or may not execute it.
	Load(ctx context.Context, r *replicas.Replica, o Order) error
}

// Options configures a Controller.
type Options struct {
	KV     platform.KV
	Leases *lease.Manager
	Self   request.DaemonID
	Set    *replicas.Set
	Client ReplicaClient
	// OrderLease is the time within which a replica must not receive orders from two daemons.
	OrderLease time.Duration
	// RequestedVersions returns the latest versions that operators requested.
	RequestedVersions func() map[request.Model]uint64
	// Rank returns this daemon's position among the candidates for the lease, 0 first.
	Rank func() int
	// Able reports whether this daemon reaches replicas, or no daemon does. One that is not able gives the lease up. Nil: it
	// always is.
	Able func() bool
	// OutdatedSince reports whether a newer version was requested, and since when.
	OutdatedSince func(m request.Model, version uint64) (since time.Time, outdated bool)
	// Announce sends a replica's state to peers; may be nil.
	Announce func(State)
	Logger   hclog.Logger
}

// Controller rolls out weights while its daemon holds the lease.
type Controller struct {
	o             Options
	rollouts      map[request.Model]*rollout.Rollout
	lease         *lease.Lease
	acquireAfter  time.Time // earliest next attempt to acquire the lease
	heldUntil     time.Time // until when the lease is left to its holder while no replica is outdated
	outdatedSince time.Time // since when some replica is outdated; zero: none is
	pending       map[request.TargetID]pendingOrder
	orderedAt     map[request.TargetID]time.Time // when a replica was last ordered to load
	announcedAt   map[request.TargetID]time.Time // when a replica was last announced as busy

	orderRecord    *orderRecord                   // set while the lease is held
	inheritedUntil map[request.TargetID]time.Time // until when orders of the previous holder may be pending

	leading  atomic.Bool // it held the lease in the last iteration
	stopping atomic.Bool
	stopped  chan struct{}    // closed once the lease is released
	lastSent monotime.Instant // when the last order was sent, or its call ended
	sending  sync.WaitGroup   // orders that are being sent
}

// pendingOrder is an order that is not yet known to be complete.
type pendingOrder struct {
	replica   *replicas.Replica
	model     request.Model
	orderedAt time.Time
}

// New returns a controller that does not hold the lease.
func New(o Options) *Controller {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("weights")
	return &Controller{o: o, pending: map[request.TargetID]pendingOrder{}, announcedAt: map[request.TargetID]time.Time{}, orderedAt: map[request.TargetID]time.Time{}, stopped: make(chan struct{})}
}

// Run acquires the lease when it is this daemon's turn and rolls out weights, until ctx ends or
// Shutdown is called.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	for ctx.Err() == nil {
		if c.stopping.Load() {
			c.releaseLease(ctx)
			return nil
		}
		next := idleInterval
		if c.reconcile(ctx) {
			next = reconcileInterval
		}
		c.leading.Store(c.holdsLease())
		_ = sleep.For(ctx, next) // the loop condition checks ctx
	}
	return nil
}

// Shutdown releases the lease, which lets another daemon continue at once. It returns when the
// lease is released or ctx ends. The lease is released no earlier than OrderLease after the last
// order, since the next holder must not send orders before that.
func (c *Controller) Shutdown(ctx context.Context) {
	c.stopping.Store(true)
	select {
	case <-c.stopped:
	case <-ctx.Done():
	}
}

func (c *Controller) releaseLease(ctx context.Context) {
	if c.lease == nil || !c.lease.Valid() {
		return
	}
	if c.awaitOrders(ctx) == nil {
		c.recordWaits(ctx)
	}
	if err := c.lease.Release(ctx); err != nil {
		c.o.Logger.Warn("Failed to release the weights lease; it will expire", "error", err)
		return
	}
	c.o.Logger.Info("Released the weights lease", "epoch", c.lease.Epoch())
}

// awaitOrders returns when no order of this holder can be pending any more: OrderLease after the end of the last one's call. Its error means
// that ctx ended before.
func (c *Controller) awaitOrders(ctx context.Context) error {
	c.sending.Wait() // each call is bounded
	sent, any := c.lastSent.Time()
	if !any {
		return ctx.Err()
	}
	return sleep.For(ctx, time.Until(sent.Add(c.o.OrderLease)))
}

// recordWaits reduces the order record to the replicas whose orders from an earlier holder may be pending, so that the waits of
// holders that stop soon don't add up. If that fails, the next holder waits longer than it has to.
func (c *Controller) recordWaits(ctx context.Context) {
	if c.orderRecord == nil {
		return
	}
	now := time.Now()
	var ids []request.TargetID
	waitMs := map[request.TargetID]int64{}
	for id, until := range c.inheritedUntil {
		if left := until.Sub(now); left > 0 {
			ids = append(ids, id)
			waitMs[id] = left.Milliseconds() + 1
		}
	}
	if len(ids)+len(c.orderRecord.Ordered) == 0 {
		return
	}
	slices.Sort(ids)
	if err := c.orderRecord.replace(ctx, c.o.KV, ids, waitMs); err != nil {
		c.o.Logger.Info("Failed to reduce the order record", "error", err)
	}
}

// yield gives the lease to a daemon that reaches the replicas. Orders sent by this one may still be pending, which the next
// holder reads from the order record.
func (c *Controller) yield(ctx context.Context) {
	c.outdatedSince = time.Time{}
	if !c.holdsLease() {
		return
	}
	c.o.Logger.Info("This daemon reaches no replica and gives the weights lease up", "epoch", c.lease.Epoch())
	c.releaseLease(ctx)
	c.lease = nil
}

// outdatedReplica is a replica that serves an older version than the requested one.
type outdatedReplica struct {
	replica *replicas.Replica
	model   request.Model
	version uint64
}

// reconcile runs one iteration of the rollout and reports whether replicas are outdated.
func (c *Controller) reconcile(ctx context.Context) bool {
	now := time.Now()
	if c.o.Able != nil && !c.o.Able() {
		c.yield(ctx)
		return false
	}
	if !c.holdsLease() && c.o.Rank() > lastCandidate {
		c.outdatedSince = time.Time{}
		return false // without a look at all replicas
	}
	outdated := c.outdatedReplicas()
	c.completeOrders(outdated)
	if len(outdated) == 0 {
		c.outdatedSince = time.Time{}
	} else if c.outdatedSince.IsZero() {
		c.outdatedSince = now
	}
	if held := c.ensureLease(ctx, now, len(outdated) > 0); !held {
		return len(outdated) > 0
	}
	if len(outdated) > 0 {
		c.orderLoads(ctx, outdated)
	}
	return len(outdated) > 0
}

// completeOrders returns the replicas that have reached their version to service.
func (c *Controller) completeOrders(outdated []outdatedReplica) {
	type modelReplica struct {
		id    request.TargetID
		model request.Model
	}
	unfinished := make(map[modelReplica]bool, len(outdated))
	for _, r := range outdated {
		unfinished[modelReplica{r.replica.Info().ID, r.model}] = true
	}
	for id, o := range c.pending {
		r := c.o.Set.Get(id)
		if r == o.replica && unfinished[modelReplica{id, o.model}] {
			continue
		}
		delete(c.pending, id)
		delete(c.announcedAt, id)
		if r != o.replica {
			c.forgetOrders(id)
			continue
		}
		r.SetBusy(time.Time{})
		c.announce(State{Replica: id, Model: o.model, WeightsVersion: r.WeightsVersion(o.model)})
		c.o.Logger.Info("Replica serves new weights", "replica", id, "model", o.model,
			"version", r.WeightsVersion(o.model), "after_ms", time.Since(o.orderedAt).Milliseconds())
	}
}

// forgetOrders drops the order to a replica that was removed or has restarted: the new process
// counts orders from zero and does not know this one.
func (c *Controller) forgetOrders(id request.TargetID) {
	for _, r := range c.rollouts {
		r.Forget(id)
	}
}

func (c *Controller) outdatedReplicas() []outdatedReplica {
	var outdated []outdatedReplica
	for model, version := range c.o.RequestedVersions() {
		for _, r := range c.o.Set.NotLeaving() {
			if _, serves := r.Info().Weights[model]; serves && r.WeightsVersion(model) < version {
				outdated = append(outdated, outdatedReplica{replica: r, model: model, version: version})
			}
		}
	}
	return outdated
}

// HoldsLease reports whether this daemon runs the rollout.
func (c *Controller) HoldsLease() bool { return c.leading.Load() }

func (c *Controller) holdsLease() bool { return c.lease != nil && c.lease.Valid() }

// ensureLease reports whether this daemon holds the lease, and tries to acquire it if it is this
// daemon's turn.
func (c *Controller) ensureLease(ctx context.Context, now time.Time, hasWork bool) bool {
	if c.holdsLease() {
		return true
	}
	c.lease = nil
	clear(c.pending)
	rank := c.o.Rank()
	eligible := rank == 0 || hasWork && now.Sub(c.outdatedSince) > time.Duration(rank)*takeoverDelay
	if !eligible || now.Before(c.acquireAfter) || !hasWork && now.Before(c.heldUntil) {
		return false
	}
	c.acquireAfter = now.Add(acquireInterval)
	l, err := c.o.Leases.Acquire(ctx, leaseName)
	if err != nil {
		switch {
		case !errors.Is(err, lease.ErrHeld):
			c.o.Logger.Warn("Failed to acquire the weights lease", "error", err)
		case !hasWork:
			c.heldUntil = now.Add(heldRetryDelay)
		}
		return false
	}
	return c.startTerm(ctx, now, l)
}

// startTerm takes over the order record and initializes the state of a new term as lease holder.
func (c *Controller) startTerm(ctx context.Context, now time.Time, l *lease.Lease) bool {
	p, err := takeOverRecord(ctx, c.o.KV, l.Epoch())
	if err != nil {
		c.o.Logger.Warn("Failed to take over the order record of the previous lease holder", "error", err)
		return false
	}
	c.lease, c.orderRecord, c.rollouts = l, p, map[request.Model]*rollout.Rollout{}
	c.inheritedUntil = map[request.TargetID]time.Time{}
	for _, id := range p.Ordered {
		c.inheritedUntil[id] = now.Add(p.wait(id, c.o.OrderLease))
	}
	if p.lost {
		c.o.Logger.Warn("The order record is of another writer: all replicas wait for the order lease")
	}
	if p.lost || l.ExpiredHolder() == lease.UnknownHolder {
		// The order record of the previous holder may be lost: any replica may have a pending order.
		for _, r := range c.o.Set.NotLeaving() {
			c.inheritedUntil[r.Info().ID] = now.Add(c.o.OrderLease)
		}
	}
	c.o.Logger.Info("Acquired the weights lease", "epoch", l.Epoch(), "ordered_before", len(p.Ordered))
	return true
}
