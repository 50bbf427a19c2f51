// Package weights brings the model replicas to the weight versions that operators name.
//
// One daemon at a time holds the duty, under a lease with an epoch. It decides with
// policy/rollout, gives orders that carry the epoch, and reads a replica's state before
// each: an order whose answer is lost may be carried out seconds later, and the number of
// orders that the replica has taken, sent along, then makes it void.
package weights

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/rollout"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/steady"
)

const (
	leaseName = "weights"
	// stepEvery is how often the duty looks while replicas are behind.
	stepEvery = 100 * time.Millisecond
	// restEvery is how often it looks while none is.
	restEvery = 250 * time.Millisecond
	// callTimeout bounds one call to a replica; they answer in a few ms.
	callTimeout = 600 * time.Millisecond
	// effectAfter is how long an order may take to show in the replica's state, which
	// lags by some hundred ms.
	effectAfter = time.Second
	// backupAfter is how long work must have waited before the daemon of the next rank
	// asks for the duty.
	backupAfter = 800 * time.Millisecond
	// acquireEvery is how often a daemon asks for the duty, at most.
	acquireEvery = 700 * time.Millisecond
	// outShare is the part of a model's replicas that may be out at once. New weights find
	// empty memories and stores, so that prompts cost two to five times as much, and the
	// others have to bear that. With a fifth out at once all are done within the time
	// allowed; being sooner costs callers more than answers on the weights before.
	outShare = 0.22
	// hastenShare and hurryShare hold where a rollout is late, mostly since its holder died.
	hastenAfter = 4500 * time.Millisecond
	hastenShare = 0.3
	hurryAfter  = 6 * time.Second
	hurryShare  = 0.5
	// loadShare is the part that may load at once: each load takes under half a second,
	// but some at once slow each other.
	loadShare = 0.23
	// drainFor is how long a replica is kept free of new requests before it is ordered to
	// load: those that end within it end on the weights that they began with. Streams take
	// 2 s and more. Waiting 1.5 s for them, and then for the last of them, kept a replica out
	// for 3 s and a rollout over 12 replicas running for 9 s, with up to 80 of 300 callers
	// refused in two seconds; now it takes 5 s and refuses less than ten.
	drainFor = 200 * time.Millisecond
	// computeFor is how long it is kept free of them at most while prompts are being
	// computed there: their KV cache must not come from two versions.
	computeFor = 1500 * time.Millisecond
	// busyFor is how long a replica with an order is left alone by all daemons, unless it
	// is seen to be done before.
	busyFor = 700 * time.Millisecond
	// hearFirst is how long before an order peers are told, so that what they have sent
	// has arrived and nothing more comes: the replica would refuse it.
	hearFirst = 80 * time.Millisecond
	// heldPause is how long a daemon without work for it leaves a duty alone that another
	// holds.
	heldPause = 2 * time.Second
)

// Report is a replica's own word on its state.
type Report struct {
	Weights map[request.Model]uint64
	Busy    bool   // it carries out an order
	Orders  uint64 // accepted since its start
	Started int64  // names its start, as replicas.Info does; zero: not told
}

// Order tells a replica to load weights.
type Order struct {
	Model          request.Model
	Version        uint64
	Holder         request.DaemonID
	Epoch          uint64
	ExpectedOrders uint64 // orders that the replica has accepted; any other number voids this one
	// KeepRunning lets what runs go on under the new weights. Else the replica refuses new
	// requests until all that run have ended, and then loads.
	KeepRunning bool
}

// State is what peers are told of a replica. Zero times end what was told before.
type State struct {
	Replica request.TargetID
	BusyFor time.Duration // it takes no requests for so long
	Model   request.Model
	Weights uint64 // that it serves; zero: not told
}

// ReplicaClient carries out calls to replicas.
type ReplicaClient interface {
	Report(ctx context.Context, r *replicas.Replica) (Report, error)
	// Load gives an order. An error says nothing about whether it is carried out.
	Load(ctx context.Context, r *replicas.Replica, o Order) error
}

// Options of New.
type Options struct {
	KV     platform.KV
	Leases *lease.Manager
	Self   request.DaemonID
	Set    *replicas.Set
	Client ReplicaClient
	// OrderLease is the time within which two daemons must not both give orders.
	OrderLease time.Duration
	// RequestedVersions returns the versions that operators named last.
	RequestedVersions func() map[request.Model]uint64
	// Rank returns this daemon's place among those that may take the duty, 0 first.
	Rank func() int
	// OutdatedSince returns since when a version is not the newest.
	OutdatedSince func(m request.Model, version uint64) (since time.Time, outdated bool)
	// Announce tells peers of a replica's state; nil: nobody.
	Announce func(State)
	Logger   hclog.Logger
}

// Controller is one daemon's part in the rollout of weights.
type Controller struct {
	o        Options
	rollouts map[request.Model]*rollout.Rollout
	lease    *lease.Lease
	askAt    time.Time // not before
	since    time.Time // since when replicas are behind; zero: none is
	ordered  map[request.TargetID]ordered
	recent   map[request.TargetID]time.Time // when a replica was ordered last
	told     map[request.TargetID]time.Time // when peers were told last that it is busy

	plan    *plan                          // while the duty is held
	foreign map[request.TargetID]time.Time // until when the holder before may count as a replica's

	leaving  atomic.Bool
	left     chan struct{} // closed once the duty is given back
	lastSent steady.Moment // when the last order was sent
}

// ordered is an order under way.
type ordered struct {
	replica *replicas.Replica
	model   request.Model
	at      time.Time
}

// New returns a duty that holds nothing.
func New(o Options) *Controller {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("weights")
	return &Controller{o: o, ordered: map[request.TargetID]ordered{}, told: map[request.TargetID]time.Time{}, recent: map[request.TargetID]time.Time{}, left: make(chan struct{})}
}

// Run does the duty while this daemon holds it, until ctx ends.
func (d *Controller) Run(ctx context.Context) error {
	defer close(d.left)
	for ctx.Err() == nil {
		if d.leaving.Load() {
			d.giveBack(ctx)
			return nil
		}
		next := restEvery
		if d.step(ctx) {
			next = stepEvery
		}
		_ = pause.For(ctx, next) // the loop asks the context itself
	}
	return nil
}

// Shutdown gives the duty back, so that another daemon goes on at once. It returns when that
// is done: the next holder must not give orders within OrderLease of this one's last.
func (d *Controller) Shutdown(ctx context.Context) {
	d.leaving.Store(true)
	select {
	case <-d.left:
	case <-ctx.Done():
	}
}

func (d *Controller) giveBack(ctx context.Context) {
	if d.lease == nil || !d.lease.Valid() {
		return
	}
	if sent, any := d.lastSent.Time(); any {
		_ = pause.For(ctx, time.Until(sent.Add(d.o.OrderLease))) // released in any case
	}
	if err := d.lease.Release(ctx); err != nil {
		d.o.Logger.Warn("The duty could not be given back; it lapses", "error", err)
		return
	}
	d.o.Logger.Info("The duty is given back", "epoch", d.lease.Epoch())
}

// behind is a replica that serves other weights than were named.
type behind struct {
	replica *replicas.Replica
	model   request.Model
	version uint64
}

// step does what is to be done now and reports whether replicas are behind.
func (d *Controller) step(ctx context.Context) bool {
	now := time.Now()
	late := d.behind()
	d.settle(late)
	if len(late) == 0 {
		d.since = time.Time{}
	} else if d.since.IsZero() {
		d.since = now
	}
	if held := d.hold(ctx, now, len(late) > 0); !held {
		return len(late) > 0
	}
	if len(late) > 0 {
		d.act(ctx, late)
	}
	return len(late) > 0
}

// settle takes the replicas back into use that have reached their version.
func (d *Controller) settle(late []behind) {
	type place struct {
		id    request.TargetID
		model request.Model
	}
	still := make(map[place]bool, len(late))
	for _, b := range late {
		still[place{b.replica.Info().ID, b.model}] = true
	}
	for id, o := range d.ordered {
		r := d.o.Set.Get(id)
		if r == o.replica && still[place{id, o.model}] {
			continue
		}
		delete(d.ordered, id)
		delete(d.told, id)
		if r != o.replica {
			d.forget(id)
			continue
		}
		r.SetBusy(time.Time{})
		d.announce(State{Replica: id, Model: o.model, Weights: r.Weights(o.model)})
		d.o.Logger.Info("A replica serves new weights", "replica", id, "model", o.model,
			"version", r.Weights(o.model), "after_ms", time.Since(o.at).Milliseconds())
	}
}

// forget drops the order to a replica that is gone or has started again: its new start
// counts orders anew and knows nothing of this one.
func (d *Controller) forget(id request.TargetID) {
	for _, r := range d.rollouts {
		r.Forget(id)
	}
}

func (d *Controller) behind() []behind {
	var late []behind
	for model, version := range d.o.RequestedVersions() {
		for _, r := range d.o.Set.All() {
			if _, serves := r.Info().Weights[model]; serves && r.Weights(model) < version {
				late = append(late, behind{replica: r, model: model, version: version})
			}
		}
	}
	return late
}

// hold reports whether this daemon holds the duty, and asks for it if it is its turn.
func (d *Controller) hold(ctx context.Context, now time.Time, work bool) bool {
	if d.lease != nil && d.lease.Valid() {
		return true
	}
	d.lease = nil
	clear(d.ordered)
	rank := d.o.Rank()
	turn := rank == 0 || work && now.Sub(d.since) > time.Duration(rank)*backupAfter
	if !turn || now.Before(d.askAt) {
		return false
	}
	d.askAt = now.Add(acquireEvery)
	l, err := d.o.Leases.Acquire(ctx, leaseName)
	if err != nil {
		switch {
		case !errors.Is(err, lease.ErrHeld):
			d.o.Logger.Warn("The duty could not be taken", "error", err)
		case !work:
			d.askAt = now.Add(heldPause)
		}
		return false
	}
	return d.take(ctx, now, l)
}

// take begins a term as the holder.
func (d *Controller) take(ctx context.Context, now time.Time, l *lease.Lease) bool {
	p, err := takePlan(ctx, d.o.KV, l.Epoch())
	if err != nil {
		d.o.Logger.Warn("The plan of the holder before could not be taken over", "error", err)
		return false
	}
	d.lease, d.plan, d.rollouts = l, p, map[request.Model]*rollout.Rollout{}
	d.foreign = map[request.TargetID]time.Time{}
	for _, id := range p.Ordered {
		d.foreign[id] = now.Add(d.o.OrderLease)
	}
	if l.Lapsed() == lease.UnknownHolder {
		// What its holder before wrote down may be lost: any replica may have its orders.
		for _, r := range d.o.Set.All() {
			d.foreign[r.Info().ID] = now.Add(d.o.OrderLease)
		}
	}
	d.o.Logger.Info("This daemon rolls out weights", "epoch", l.Epoch(), "ordered_before", len(p.Ordered))
	return true
}
