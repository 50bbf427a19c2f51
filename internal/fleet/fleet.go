// Package fleet rolls out weight versions. Its controller orders engines to load the version
// that the table requests, few at a time, while requests continue to be served.
//
// The controller holds a lease and sends orders under the lease's epoch. A hashed assignment
// determines which daemon tries to acquire the lease. The lease ensures that two daemons
// never send orders at the same time: engines that check epochs reject orders of an earlier
// epoch. For all other engines, a holder sends an order only if the lease outlasts the order
// timeout, and a new holder waits until the orders of the previous one have ended. One case
// remains: if the network delays an order beyond the order timeout, an engine that does not
// check epochs executes it. The next reconciliation reads the engine's state and orders the
// requested version again.
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
	// idleIntervalFactor is the factor by which Options.Interval is extended while no engine
	// differs from the desired state.
	idleIntervalFactor = 20
	// maxUnavailableShare is the share of a model's replicas that may be unavailable for loading
	// at once.
	maxUnavailableShare = 0.34
)

// Tables provides the current snapshot of the table that operators edit.
type Tables interface {
	Current() *table.Snapshot
	Changed() <-chan struct{}
}

// Targets provides the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Options configures a Controller.
type Options struct {
	Tables  Tables
	Targets Targets
	Leases  *lease.Manager
	// Assigned reports whether the rollout is assigned to this daemon.
	Assigned     func() bool
	Leaving      func(t *table.Target) bool
	OrderTimeout time.Duration
	Interval     time.Duration
	Logger       hclog.Logger
	Metrics      tally.Scope
}

// Controller rolls out versions if it is assigned to this daemon. One controller serves all
// models, since the cap on concurrent loads applies to the deployment: beyond it the weight
// store slows every load down.
type Controller struct {
	opts   Options
	log    hclog.Logger
	orders tally.Counter

	// The fields below are owned by Run's goroutine; mu guards them for State.
	mu      sync.Mutex
	rollout *rollout.Rollout
	loadCap int
	lease   *lease.Lease
	waits   []rollout.Wait
}

// New returns a controller.
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

// Run reconciles the engines until ctx ends: at Options.Interval while an engine differs from
// the desired state, immediately after a change of the table, and rarely otherwise.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.opts.Tables.Changed()
		interval := c.opts.Interval
		if c.opts.Assigned() {
			interval = c.reconcile(ctx)
		} else {
			c.releaseLease(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(interval):
		}
	}
}

// updateLoadCap applies the lowest load cap of the table's models. A change of the cap resets
// the rollout's state, which is read from the engines anyway.
func (c *Controller) updateLoadCap(models []*table.ModelRow) {
	lowest := 0
	for _, m := range models {
		if lowest == 0 || m.LoadCap < lowest {
			lowest = m.LoadCap
		}
	}
	if c.rollout != nil && lowest == c.loadCap {
		return
	}
	c.loadCap = lowest
	c.rollout = rollout.New(rollout.Params{
		LoadCap:             lowest,
		MaxUnavailableShare: maxUnavailableShare,
		OrderTimeout:        c.opts.OrderTimeout,
	})
}

// releaseLease releases the rollout lease.
func (c *Controller) releaseLease(ctx context.Context) {
	if c.lease == nil {
		return
	}
	if err := c.lease.Release(ctx); err != nil {
		c.log.Warn("Failed to release the rollout lease; it will expire", "error", err)
	}
	c.setState(nil, nil)
}

// setState updates the fields that State reads.
func (c *Controller) setState(l *lease.Lease, waits []rollout.Wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = l
	c.waits = waits
}

// reconcile reads the states of the engines and sends orders to those that differ from the
// desired state. It returns the interval until the next call.
func (c *Controller) reconcile(ctx context.Context) time.Duration {
	sheet := c.opts.Tables.Current()
	c.updateLoadCap(sheet.Models())
	desired, rows := c.desired(sheet)
	observed := c.observe(ctx, rows)
	if converged(desired, observed) {
		c.releaseLease(ctx)
		return idleIntervalFactor * c.opts.Interval
	}
	if c.ensureLease(ctx) {
		c.execute(ctx, rows, c.rollout.Reconcile(time.Now(), c.lease.Epoch(), desired, observed))
	}
	return c.opts.Interval
}

func (c *Controller) desired(sheet *table.Snapshot) ([]rollout.Desired, []*table.Target) {
	var rows []*table.Target
	var desired []rollout.Desired
	for _, t := range sheet.Targets() {
		if t.Kind != table.KindEngine {
			continue
		}
		rows = append(rows, t)
		desired = append(desired, rollout.Desired{
			Target: t.ID, Model: t.Model, Version: sheet.TargetVersion(t), Adapter: t.Adapter, Role: t.Role,
		})
	}
	return desired, rows
}

// observe reads the states of all engines concurrently.
func (c *Controller) observe(ctx context.Context, rows []*table.Target) []rollout.Observed {
	ctx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	defer cancel()
	out := make([]rollout.Observed, len(rows))
	var reads sync.WaitGroup
	for i, t := range rows {
		reads.Go(func() {
			readAt := time.Now()
			state, err := c.opts.Targets.Client(*t).State(ctx)
			out[i] = rollout.Observed{
				Target:    t.ID,
				State:     state,
				ReadAt:    readAt,
				Reachable: err == nil,
				Leaving:   c.opts.Leaving(t),
			}
		})
	}
	reads.Wait()
	return out
}

// converged reports whether every reachable engine has the desired state. No lease is held
// then, so that rollouts put no load on the key-value service most of the time.
func converged(desired []rollout.Desired, observed []rollout.Observed) bool {
	for i, want := range desired {
		o := observed[i]
		if o.Reachable && !o.Leaving && differs(o.State, want) {
			return false
		}
	}
	return true
}

func differs(s engineapi.State, want rollout.Desired) bool {
	return s.Version != want.Version ||
		s.Loading != "" ||
		want.Role != "" && s.Role != want.Role ||
		want.Adapter != "" && !slices.Contains(s.Adapters, want.Adapter)
}

// ensureLease acquires the rollout lease unless it is still valid.
func (c *Controller) ensureLease(ctx context.Context) bool {
	if c.lease != nil && c.lease.Valid() {
		return true
	}
	l, err := c.opts.Leases.Acquire(ctx, leaseName)
	c.setState(l, nil)
	if err != nil && !errors.Is(err, lease.ErrHeld) {
		c.log.Warn("Failed to acquire the rollout lease; no orders are sent", "error", err)
	}
	return err == nil
}

func (c *Controller) execute(ctx context.Context, rows []*table.Target, actions []rollout.Action) {
	var waits []rollout.Wait
	var sends sync.WaitGroup
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Order:
			sends.Go(func() { c.sendOrder(ctx, rows, a) })
		case rollout.Wait:
			waits = append(waits, a)
		case rollout.StepDown:
			c.log.Warn("A target reported a higher epoch; releasing the rollout lease", "epoch", a.Epoch)
			c.releaseLease(ctx)
			return
		}
	}
	sends.Wait()
	c.setState(c.lease, waits)
}

// sendOrder sends one order if the lease outlasts the order timeout. A holder that was
// stalled past its lease detects this here by its own clock. If the answer is lost, the next
// reconciliation reads the engine's state and settles the outcome.
func (c *Controller) sendOrder(ctx context.Context, rows []*table.Target, o rollout.Order) {
	if !c.lease.MayAct(c.opts.OrderTimeout) {
		c.log.Warn("Order deferred because the lease would expire before the order timeout", "target", o.Target, "epoch", o.Order.Epoch)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	defer cancel()
	for _, t := range rows {
		if t.ID != o.Target {
			continue
		}
		c.orders.Inc(1)
		c.log.Info("Sending order", "target", t.ID, "kind", o.Order.Kind, "version", o.Order.Version, "epoch", o.Order.Epoch)
		if _, err := c.opts.Targets.Client(*t).Order(ctx, o.Order); err != nil {
			c.log.Warn("Order was not acknowledged", "target", t.ID, "error", err)
		}
	}
}

// State is the state of the rollout in the debug dump of a daemon.
type State struct {
	Assigned bool           `json:"here"`  // the controller is assigned to this daemon
	Epoch    uint64         `json:"epoch"` // 0: no lease is held
	Waits    []rollout.Wait `json:"waits,omitempty"`
}

// State returns the controller's state.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Assigned: c.opts.Assigned(), Waits: c.waits}
	if c.lease != nil && c.lease.Valid() {
		s.Epoch = c.lease.Epoch()
	}
	return s
}
