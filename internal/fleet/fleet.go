// Package fleet carries out the duties on targets: it brings a model's engines to the
// weight version that the table wants, with few loading at once, while requests go on.
//
// A model's duty is done by the holder of a lease, which gives orders under the
// lease's epoch. Which daemon tries for the lease is a soft place; that no two give
// orders at once is not: engines that check epochs refuse an old one, and for the
// others no order starts unless the lease outlasts it, and a new holder waits until
// the former one's orders have ended. What remains is an order that the network holds
// back for longer than the order timeout: an engine that does not check epochs would
// obey it. The next step reads the engine's state and orders it right again.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/policy/rollout"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	leasePrefix = "fleet/"
	// restFactor is how much less often engines are read when none lacks anything.
	restFactor = 8
	// outShare is the part of a model's replicas that may be out for loading at once.
	outShare = 0.34
)

// Tables gives the operators' table in force.
type Tables interface {
	Current() *table.Snapshot
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
	// Mine tells whether a model's duty has its soft place here.
	Mine         func(model request.Model) bool
	Leaving      func(t *table.Target) bool
	OrderTimeout time.Duration
	Interval     time.Duration
	Logger       hclog.Logger
	Metrics      tally.Scope
}

// Fleet runs the duties that have their place on this daemon.
type Fleet struct {
	opts   Options
	log    hclog.Logger
	orders tally.Counter

	mu     sync.Mutex
	duties map[request.Model]*duty
}

// duty is the state of one model's duty.
type duty struct {
	model   request.Model
	rollout *rollout.Rollout
	cap     int
	lease   *lease.Lease
	next    time.Time // of the next step
	waits   []rollout.Wait
}

// New returns a fleet.
func New(opts Options) *Fleet {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Fleet{
		opts:   opts,
		log:    opts.Logger.Named("fleet"),
		orders: opts.Metrics.Counter("orders"),
		duties: map[request.Model]*duty{},
	}
}

// Run steps the duties until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(f.opts.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.stepAll(ctx)
		}
	}
}

func (f *Fleet) stepAll(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, m := range f.opts.Tables.Current().Models() {
		d := f.duty(m)
		if !f.opts.Mine(m.ID) {
			f.giveUp(ctx, d)
			continue
		}
		if time.Now().Before(d.next) {
			continue
		}
		tasks.Go(func() { f.step(ctx, d) })
	}
	tasks.Wait()
}

// duty returns a model's duty. A new cap starts it afresh: its state is read from the
// engines anyway.
func (f *Fleet) duty(m *table.ModelRow) *duty {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.duties[m.ID]
	if !ok {
		d = &duty{model: m.ID}
		f.duties[m.ID] = d
	}
	if d.rollout == nil || d.cap != m.LoadCap {
		d.cap = m.LoadCap
		d.rollout = rollout.New(rollout.Params{
			LoadCap:      m.LoadCap,
			MaxOutShare:  outShare,
			OrderTimeout: f.opts.OrderTimeout,
		})
	}
	return d
}

// giveUp releases the lease of a duty whose place has moved.
func (f *Fleet) giveUp(ctx context.Context, d *duty) {
	if d.lease == nil {
		return
	}
	if err := d.lease.Release(ctx); err != nil {
		f.log.Warn("Lease was not released; it lapses", "model", d.model, "error", err)
	}
	f.setLease(d, nil)
}

// setLease and setWaits are called by the goroutine that steps the duty; the lock is
// for State.
func (f *Fleet) setLease(d *duty, l *lease.Lease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.lease = l
}

func (f *Fleet) setWaits(d *duty, waits []rollout.Wait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.waits = waits
}

// step reads the model's engines and, if any lacks something, orders it.
func (f *Fleet) step(ctx context.Context, d *duty) {
	sheet := f.opts.Tables.Current()
	wanted, rows := f.wanted(sheet, d.model)
	observed := f.observe(ctx, rows)
	if asWanted(wanted, observed) {
		d.next = time.Now().Add(restFactor * f.opts.Interval)
		f.setWaits(d, nil)
		f.giveUp(ctx, d)
		return
	}
	if !f.hold(ctx, d) {
		return
	}
	f.carryOut(ctx, d, rows, d.rollout.Step(time.Now(), d.lease.Epoch(), wanted, observed))
}

func (f *Fleet) wanted(sheet *table.Snapshot, model request.Model) ([]rollout.Wanted, []*table.Target) {
	rows := sheet.EnginesFor(model)
	wanted := make([]rollout.Wanted, 0, len(rows))
	for _, t := range rows {
		wanted = append(wanted, rollout.Wanted{Target: t.ID, Model: model, Version: sheet.TargetVersion(t)})
	}
	return wanted, rows
}

// observe reads the state of all engines at once.
func (f *Fleet) observe(ctx context.Context, rows []*table.Target) []rollout.Observed {
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
func asWanted(wanted []rollout.Wanted, observed []rollout.Observed) bool {
	for i, w := range wanted {
		o := observed[i]
		if o.Reachable && !o.Leaving && (o.State.Version != w.Version || o.State.Loading != "") {
			return false
		}
	}
	return true
}

// hold acquires the duty's lease, or finds it still valid.
func (f *Fleet) hold(ctx context.Context, d *duty) bool {
	if d.lease != nil && d.lease.Valid() {
		return true
	}
	l, err := f.opts.Leases.Acquire(ctx, leasePrefix+string(d.model))
	if err != nil {
		f.setLease(d, nil)
		if !errors.Is(err, lease.ErrHeld) {
			f.log.Warn("Duty is not held; no orders are given", "model", d.model, "error", err)
		}
		return false
	}
	f.setLease(d, l)
	return true
}

func (f *Fleet) carryOut(ctx context.Context, d *duty, rows []*table.Target, actions []rollout.Action) {
	var waits []rollout.Wait
	var sends sync.WaitGroup
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Order:
			sends.Go(func() { f.send(ctx, d, rows, a) })
		case rollout.Wait:
			waits = append(waits, a)
		case rollout.StepDown:
			f.log.Warn("A target has seen a higher epoch; the duty is given up", "model", d.model, "epoch", a.Epoch)
			f.giveUp(ctx, d)
		}
	}
	sends.Wait()
	f.setWaits(d, waits)
}

// send gives one order, if the lease outlasts it. A holder that was paused past its
// lease finds that out here, by its own clock. An answer that is lost is settled by
// the next step, which reads the engine's state.
func (f *Fleet) send(ctx context.Context, d *duty, rows []*table.Target, o rollout.Order) {
	if !d.lease.MayAct(f.opts.OrderTimeout) {
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

// DutyState is a duty in the dump of a daemon.
type DutyState struct {
	Model request.Model  `json:"model"`
	Epoch uint64         `json:"epoch"` // 0: no lease is held
	Waits []rollout.Wait `json:"waits,omitempty"`
}

// State returns the duties that have their place here.
func (f *Fleet) State() []DutyState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []DutyState{}
	for _, d := range f.duties {
		if !f.opts.Mine(d.model) {
			continue
		}
		s := DutyState{Model: d.model, Waits: d.waits}
		if d.lease != nil && d.lease.Valid() {
			s.Epoch = d.lease.Epoch()
		}
		out = append(out, s)
	}
	return out
}
