// Package fleet carries out the duty on targets: it brings engines to the weight
// version that the table wants, with few loading at once, while requests go on.
//
// The duty is done by the holder of a lease, which gives orders under the lease's
// epoch. Which daemon tries for the lease is a soft place; that no two give
// orders at once is not: engines that check epochs refuse an old one, and for the
// others no order starts unless the lease outlasts it, and a new holder waits until
// the former one's orders have ended. What remains is an order that the network holds
// back for longer than the order timeout: an engine that does not check epochs would
// obey it. The next step reads the engine's state and orders it right again.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/policy/rollout"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	leaseName = "fleet"
	// restFactor is how much less often engines are read when none lacks anything.
	restFactor = 20
	// outShare is the part of a model's replicas that may be out for loading at once.
	outShare = 0.34
)

// Tables gives the operators' table in force.
type Tables interface {
	Current() *table.Snapshot
	Changed() <-chan struct{}
}

// Targets gives the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Options configures a Fleet.
type Options struct {
	Tables  Tables
	Targets Targets
	Leases  *lease.Manager
	// Assigned tells whether the duty has its soft place here.
	Assigned     func() bool
	Leaving      func(t *table.Target) bool
	OrderTimeout time.Duration
	Interval     time.Duration
	Logger       hclog.Logger
	Metrics      tally.Scope
}

// Controller runs the duty if it has its place on this daemon. There is one duty for all
// models, since the cap on loads at once is the deployment's: the weight store slows
// every load once there are more.
type Controller struct {
	opts   Options
	log    hclog.Logger
	orders tally.Counter

	// Owned by Run's goroutine; mu guards them for State.
	mu      sync.Mutex
	rollout *rollout.Rollout
	cap     int
	lease   *lease.Lease
	waits   []rollout.Wait
}

// New returns a fleet.
func New(opts Options) *Controller {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Controller{
		opts:   opts,
		log:    opts.Logger.Named("fleet"),
		orders: opts.Metrics.Counter("orders"),
	}
}

// Run steps the duty until ctx ends: often while an engine lacks something or the
// table has changed, else rarely.
func (f *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.opts.Tables.Changed()
		pause := f.opts.Interval
		if f.opts.Assigned() {
			pause = f.step(ctx)
		} else {
			f.giveUp(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// limit follows the lowest cap of the table's models. A new one starts the rollout's
// state afresh: it is read from the engines anyway.
func (f *Controller) limit(models []*table.ModelRow) {
	lowest := 0
	for _, m := range models {
		if lowest == 0 || m.LoadCap < lowest {
			lowest = m.LoadCap
		}
	}
	if f.rollout != nil && lowest == f.cap {
		return
	}
	f.cap = lowest
	f.rollout = rollout.New(rollout.Params{
		LoadCap:             lowest,
		MaxUnavailableShare: outShare,
		OrderTimeout:        f.opts.OrderTimeout,
	})
}

// giveUp releases the lease of the duty.
func (f *Controller) giveUp(ctx context.Context) {
	if f.lease == nil {
		return
	}
	if err := f.lease.Release(ctx); err != nil {
		f.log.Warn("Lease was not released; it lapses", "error", err)
	}
	f.set(nil, nil)
}

// set changes what State reads.
func (f *Controller) set(l *lease.Lease, waits []rollout.Wait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease = l
	f.waits = waits
}

// step reads the engines and, if any lacks something, orders it. It returns the pause
// until the next step.
func (f *Controller) step(ctx context.Context) time.Duration {
	sheet := f.opts.Tables.Current()
	f.limit(sheet.Models())
	wanted, rows := f.wanted(sheet)
	observed := f.observe(ctx, rows)
	if asWanted(wanted, observed) {
		f.giveUp(ctx)
		return restFactor * f.opts.Interval
	}
	if f.hold(ctx) {
		f.carryOut(ctx, rows, f.rollout.Reconcile(time.Now(), f.lease.Epoch(), wanted, observed))
	}
	return f.opts.Interval
}

func (f *Controller) wanted(sheet *table.Snapshot) ([]rollout.Desired, []*table.Target) {
	var rows []*table.Target
	var wanted []rollout.Desired
	for _, t := range sheet.Targets() {
		if t.Kind != table.KindEngine {
			continue
		}
		rows = append(rows, t)
		wanted = append(wanted, rollout.Desired{
			Target: t.ID, Model: t.Model, Version: sheet.TargetVersion(t), Adapter: t.Adapter, Role: t.Role,
		})
	}
	return wanted, rows
}

// observe reads the state of all engines at once.
func (f *Controller) observe(ctx context.Context, rows []*table.Target) []rollout.Observed {
	ctx, cancel := context.WithTimeout(ctx, f.opts.OrderTimeout)
	defer cancel()
	out := make([]rollout.Observed, len(rows))
	var reads sync.WaitGroup
	for i, t := range rows {
		reads.Go(func() {
			asked := time.Now()
			state, err := f.opts.Targets.Client(*t).State(ctx)
			out[i] = rollout.Observed{
				Target:    t.ID,
				State:     state,
				ReadAt:    asked,
				Reachable: err == nil,
				Leaving:   f.opts.Leaving(t),
			}
		})
	}
	reads.Wait()
	return out
}

// asWanted tells whether no engine that can be reached lacks anything. No lease is
// needed then, so duties cost the key-value service nothing most of the time.
func asWanted(wanted []rollout.Desired, observed []rollout.Observed) bool {
	for i, w := range wanted {
		o := observed[i]
		if o.Reachable && !o.Leaving && lacks(o.State, w) {
			return false
		}
	}
	return true
}

func lacks(s engineapi.State, w rollout.Desired) bool {
	return s.Version != w.Version ||
		s.Loading != "" ||
		w.Role != "" && s.Role != w.Role ||
		w.Adapter != "" && !slices.Contains(s.Adapters, w.Adapter)
}

// hold acquires the duty's lease, or finds it still valid.
func (f *Controller) hold(ctx context.Context) bool {
	if f.lease != nil && f.lease.Valid() {
		return true
	}
	l, err := f.opts.Leases.Acquire(ctx, leaseName)
	f.set(l, nil)
	if err != nil && !errors.Is(err, lease.ErrHeld) {
		f.log.Warn("Duty is not held; no orders are given", "error", err)
	}
	return err == nil
}

func (f *Controller) carryOut(ctx context.Context, rows []*table.Target, actions []rollout.Action) {
	var waits []rollout.Wait
	var sends sync.WaitGroup
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Order:
			sends.Go(func() { f.send(ctx, rows, a) })
		case rollout.Wait:
			waits = append(waits, a)
		case rollout.StepDown:
			f.log.Warn("A target has seen a higher epoch; the duty is given up", "epoch", a.Epoch)
			f.giveUp(ctx)
			return
		}
	}
	sends.Wait()
	f.set(f.lease, waits)
}

// send gives one order, if the lease outlasts it. A holder that was paused past its
// lease finds that out here, by its own clock. An answer that is lost is settled by
// the next step, which reads the engine's state.
func (f *Controller) send(ctx context.Context, rows []*table.Target, o rollout.Order) {
	if !f.lease.MayAct(f.opts.OrderTimeout) {
		f.log.Warn("Order was put off; the lease does not outlast it", "target", o.Target, "epoch", o.Order.Epoch)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.OrderTimeout)
	defer cancel()
	for _, t := range rows {
		if t.ID != o.Target {
			continue
		}
		f.orders.Inc(1)
		f.log.Info("Order is given", "target", t.ID, "kind", o.Order.Kind, "version", o.Order.Version, "epoch", o.Order.Epoch)
		if _, err := f.opts.Targets.Client(*t).Order(ctx, o.Order); err != nil {
			f.log.Warn("Order was not acknowledged", "target", t.ID, "error", err)
		}
	}
}

// State is the duty in the dump of a daemon.
type State struct {
	Assigned bool           `json:"here"`  // the duty has its place on this daemon
	Epoch    uint64         `json:"epoch"` // 0: no lease is held
	Waits    []rollout.Wait `json:"waits,omitempty"`
}

// State returns the dump.
func (f *Controller) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Assigned: f.opts.Assigned(), Waits: f.waits}
	if f.lease != nil && f.lease.Valid() {
		s.Epoch = f.lease.Epoch()
	}
	return s
}
