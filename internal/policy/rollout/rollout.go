// Package rollout brings targets to the weight version, adapter and role of the desired state. It
// bounds the number of concurrent weight loads and keeps the service available.
//
// A lease holder runs the rollout and issues orders under the lease's epoch. Each call of Reconcile
// compares the targets' current state with the desired state and orders the difference. Lost orders
// and orders of previous holders therefore need no special handling.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Rollout is not safe for
// concurrent use.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Defaults of Params.
const (
	DefaultLoadCap             = 2
	DefaultMaxUnavailableShare = 0.34
	DefaultOrderTimeout        = 5 * time.Second
	DefaultLoadTimeout         = 5 * time.Minute
)

// Params bounds a rollout. Zero values take the defaults above.
type Params struct {
	// LoadCap is the number of replicas that may load weights at once. More concurrent loads would
	// slow each other down.
	LoadCap int
	// MaxUnavailableShare is the share of a model's replicas that may be unavailable at once, because
	// they are draining, loading weights, leaving or unreachable, or have no weights. At least one
	// replica may be unavailable.
	MaxUnavailableShare float64
	// OrderTimeout is the longest time from issuing an order to its effect in the target's state. The
	// sender's own timeout is considerably shorter.
	OrderTimeout time.Duration
	// LoadTimeout is how long an unreachable target counts as loading.
	LoadTimeout time.Duration
	// TakeoverWait is how long a new holder issues no orders. It must cover the longest time for which
	// an order of the previous holder may still take effect. A target that does not check epochs would
	// execute such an order, and so would one that checks them but has not seen the new epoch yet.
	// Zero: OrderTimeout.
	TakeoverWait time.Duration
	// DrainTimeout is how long a serving replica receives no new requests before it is ordered to load.
	// The order is sent earlier if the replica has no requests left. A replica with a load order refuses
	// new requests and waits for running ones, so that without draining, long requests make it
	// unavailable for seconds in addition to the load. Zero: replicas are not drained.
	DrainTimeout time.Duration
	// PrefillTimeout is the longest time for which a replica is drained while it computes prompts.
	// Zero: only DrainTimeout applies.
	PrefillTimeout time.Duration
}

// Desired is the desired state of a target. Empty fields are not changed.
type Desired struct {
	Target  request.TargetID
	Model   request.Model
	Version request.Version
	Adapter string
	Role    string
}

// Observed is the result of reading a target's state.
type Observed struct {
	Target        request.TargetID
	State         engineapi.State // set if Reachable
	ReadAt        time.Time       // when the read request was sent
	Reachable     bool            // the read succeeded
	Leaving       bool
	InFlight      int // requests in flight; targets with the fewest are updated first
	PrefillTokens int // prompt tokens that are not computed yet
	// NoOrderBefore is the earliest time for an order to the target; zero: any time.
	NoOrderBefore time.Time
}

// Action is a step for the caller to carry out: Order, Drain, Wait or StepDown.
type Action interface{ isAction() }

// Order is to be sent to a target. A lost response needs no handling: later calls of Reconcile read the
// target's state and return the order again, with the same operation id, if it had no effect.
type Order struct {
	Target request.TargetID
	Order  engineapi.Order
	// PrefillDone is set if the target is presumably computing no prompt. Running streams may then
	// continue on the new weights; a prompt in prefill would get its KV cache from both versions.
	PrefillDone bool
}

// Wait gives the reason why a target is not updated now.
type Wait struct {
	Target request.TargetID // empty: all targets
	Reason Reason
	Until  time.Time // zero: until the observed state changes
}

// Drain requests that a target receives no new requests from now on. It is returned on each call until
// the target is ordered to load.
type Drain struct{ Target request.TargetID }

// StepDown reports that a target has seen a higher epoch: another daemon holds the lease. The caller must
// not send any more orders.
type StepDown struct{ Epoch uint64 }

func (Order) isAction()    {}
func (Drain) isAction()    {}
func (Wait) isAction()     {}
func (StepDown) isAction() {}

// Reason is the reason why a target waits.
type Reason string

// The reasons of Wait.
const (
	ReasonTakeover       Reason = "takeover"    // orders of the previous holder may still take effect
	ReasonLoadCap        Reason = "load_cap"    // LoadCap is reached
	ReasonMaxUnavailable Reason = "out_share"   // MaxUnavailableShare is reached
	ReasonUnreachable    Reason = "unreachable" // the target's state can't be read
	ReasonPending        Reason = "pending"     // the effect of an order was not observed yet
	ReasonLoading        Reason = "loading"     // the target is loading weights
)

// pending is an order whose effect was not observed yet.
type pending struct {
	order  Order
	sentAt time.Time
}

// Rollout is the rollout state of one lease holder.
type Rollout struct {
	params        Params
	epoch         uint64
	epochStart    time.Time // when this holder first saw the epoch
	pending       map[request.TargetID]pending
	lastObserved  map[request.TargetID]Observed  // last successful reads
	drainingSince map[request.TargetID]time.Time // when draining of the target began
	seq           uint64
}

// New returns a rollout that holds no lease epoch yet.
func New(p Params) *Rollout {
	if p.LoadCap <= 0 {
		p.LoadCap = DefaultLoadCap
	}
	if p.MaxUnavailableShare <= 0 {
		p.MaxUnavailableShare = DefaultMaxUnavailableShare
	}
	if p.OrderTimeout <= 0 {
		p.OrderTimeout = DefaultOrderTimeout
	}
	if p.LoadTimeout <= 0 {
		p.LoadTimeout = DefaultLoadTimeout
	}
	if p.TakeoverWait <= 0 {
		p.TakeoverWait = p.OrderTimeout
	}
	return &Rollout{
		params:        p,
		pending:       make(map[request.TargetID]pending),
		lastObserved:  make(map[request.TargetID]Observed),
		drainingSince: make(map[request.TargetID]time.Time),
	}
}

// Forget removes the orders and state of a target that was removed, or that restarted and lost its
// orders.
func (r *Rollout) Forget(target request.TargetID) {
	delete(r.pending, target)
	delete(r.lastObserved, target)
	delete(r.drainingSince, target)
}

// SetMaxUnavailableShare changes the share of a model's replicas that may be unavailable at once.
func (r *Rollout) SetMaxUnavailableShare(share float64) { r.params.MaxUnavailableShare = share }

// Reconcile returns the actions to take now under an epoch. desired and observed must cover all targets
// that share the cap. The caller must ensure that the lease outlasts the sending of an order.
func (r *Rollout) Reconcile(now time.Time, epoch uint64, desired []Desired, observed []Observed) []Action {
	if epoch != r.epoch {
		r.epoch, r.epochStart = epoch, now
		clear(r.pending)
	}
	v := r.view(now, desired, observed)
	if v.highestEpoch > epoch {
		return []Action{StepDown{Epoch: v.highestEpoch}}
	}
	if until := r.epochStart.Add(r.params.TakeoverWait); now.Before(until) {
		return append(r.drainDuringTakeover(now, v, desired), Wait{Reason: ReasonTakeover, Until: until})
	}
	var actions []Action
	for _, d := range r.byPriority(v, desired) {
		if action := r.reconcileTarget(now, d, v); action != nil {
			actions = append(actions, action)
		}
	}
	return actions
}

// reconcileTarget returns the action for one target, or nil if it is in the desired state.
func (r *Rollout) reconcileTarget(now time.Time, d Desired, v *view) Action {
	o := v.observedOf(d.Target)
	if o.Leaving {
		return nil
	}
	if !o.Reachable {
		return Wait{Target: d.Target, Reason: ReasonUnreachable}
	}
	if p, ok := r.pending[d.Target]; ok {
		return r.reconcilePending(now, p, d, o)
	}
	if o.ReadAt.Before(r.epochStart.Add(r.params.TakeoverWait)) {
		// The state was read when an order of the previous holder could still take effect.
		return Wait{Target: d.Target, Reason: ReasonTakeover}
	}
	if o.State.Loading != "" {
		return Wait{Target: d.Target, Reason: ReasonLoading}
	}
	if d.Version != "" && o.State.Version != d.Version {
		return r.reconcileVersion(now, d, o, v)
	}
	if d.Adapter != "" && !slices.Contains(o.State.Adapters, d.Adapter) {
		adapter := engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: d.Model, Adapter: d.Adapter}
		return r.issueOrder(now, Order{Target: d.Target, Order: adapter})
	}
	if d.Role != "" && o.State.Role != d.Role {
		role := engineapi.Order{Kind: engineapi.OrderSetRole, Model: d.Model, Role: d.Role}
		return r.issueOrder(now, Order{Target: d.Target, Order: role})
	}
	return nil
}

// reconcileVersion orders a weight load if LoadCap and MaxUnavailableShare allow it. With a DrainTimeout,
// a serving replica is drained first.
func (r *Rollout) reconcileVersion(now time.Time, d Desired, o Observed, v *view) Action {
	serving := o.State.Version != ""
	if serving && r.params.DrainTimeout > 0 {
		if action := r.drain(now, d, o, v); action != nil {
			return action
		}
		if v.loading >= r.params.LoadCap || now.Before(o.NoOrderBefore) {
			return Drain{Target: d.Target}
		}
		delete(r.drainingSince, d.Target)
		v.loading++
		return r.orderLoad(now, d, o.PrefillTokens == 0)
	}
	if v.loading >= r.params.LoadCap {
		return Wait{Target: d.Target, Reason: ReasonLoadCap}
	}
	if serving && v.unavailable[d.Model] >= v.maxUnavailable(d.Model, r.params.MaxUnavailableShare) {
		return Wait{Target: d.Target, Reason: ReasonMaxUnavailable}
	}
	v.loading++
	if serving {
		v.unavailable[d.Model]++
	}
	return r.orderLoad(now, d, false) // not drained: prompts may be running
}

func (r *Rollout) orderLoad(now time.Time, d Desired, prefillDone bool) Order {
	load := engineapi.Order{Kind: engineapi.OrderLoadVersion, Model: d.Model, Version: d.Version}
	return r.issueOrder(now, Order{Target: d.Target, Order: load, PrefillDone: prefillDone})
}

// drain returns the action of a target that must not load yet, or nil once it is drained.
func (r *Rollout) drain(now time.Time, d Desired, o Observed, v *view) Action {
	since, draining := r.drainingSince[d.Target]
	if !draining {
		if v.unavailable[d.Model] >= v.maxUnavailable(d.Model, r.params.MaxUnavailableShare) {
			return Wait{Target: d.Target, Reason: ReasonMaxUnavailable}
		}
		v.unavailable[d.Model]++
		since = now
		r.drainingSince[d.Target] = now
	}
	drainedFor := now.Sub(since)
	if o.InFlight > 0 && drainedFor < r.params.DrainTimeout || o.PrefillTokens > 0 && drainedFor < r.params.PrefillTimeout {
		return Drain{Target: d.Target}
	}
	return nil
}

// drainDuringTakeover drains the first targets by priority while no order may be issued yet.
func (r *Rollout) drainDuringTakeover(now time.Time, v *view, desired []Desired) []Action {
	if r.params.DrainTimeout <= 0 {
		return nil
	}
	var actions []Action
	for _, d := range r.byPriority(v, desired) {
		o := v.observedOf(d.Target)
		if !o.Reachable || o.Leaving || d.Version == "" || o.State.Version == d.Version {
			continue
		}
		if action := r.drain(now, d, o, v); action != nil {
			actions = append(actions, action)
			continue
		}
		actions = append(actions, Drain{Target: d.Target}) // drained, waits for its order
	}
	return actions
}

// reconcilePending waits for the effect of an order. If a state that was read after OrderTimeout does not
// show the effect, the order is sent again, or dropped if the desired state has changed. An order that
// was last sent LoadTimeout ago or earlier, because its target was unreachable and no longer counts
// against LoadCap, is dropped; a later call issues a new one.
func (r *Rollout) reconcilePending(now time.Time, p pending, d Desired, o Observed) Action {
	until := p.sentAt.Add(r.params.OrderTimeout)
	if o.ReadAt.Before(until) {
		return Wait{Target: o.Target, Reason: ReasonPending, Until: until}
	}
	if !p.stillDesired(d) || now.Sub(p.sentAt) >= r.params.LoadTimeout {
		delete(r.pending, d.Target)
		return Wait{Target: o.Target, Reason: ReasonPending, Until: now}
	}
	p.sentAt = now
	r.pending[d.Target] = p
	return p.order
}

// stillDesired reports whether the desired state still contains what was ordered.
func (p pending) stillDesired(d Desired) bool {
	order := p.order.Order
	switch order.Kind {
	case engineapi.OrderLoadVersion:
		return order.Version == d.Version
	case engineapi.OrderLoadAdapter:
		return order.Adapter == d.Adapter
	case engineapi.OrderSetRole:
		return order.Role == d.Role
	}
	return false
}

// issueOrder assigns the epoch and operation id of an order and records it as pending.
func (r *Rollout) issueOrder(now time.Time, o Order) Order {
	r.seq++
	o.Order.Epoch = r.epoch
	o.Order.OperationID = fmt.Sprintf("%s/%d.%d", o.Target, r.epoch, r.seq)
	r.pending[o.Target] = pending{order: o, sentAt: now}
	return o
}

// settled reports whether the order took effect: the state names it as its last order, or already shows
// what it requested.
func (p pending) settled(s engineapi.State) bool {
	order := p.order.Order
	if s.LastOrder == order.OperationID {
		return true
	}
	switch order.Kind {
	case engineapi.OrderLoadVersion:
		return s.Loading == order.Version || (s.Version == order.Version && s.Loading == "")
	case engineapi.OrderLoadAdapter:
		return slices.Contains(s.Adapters, order.Adapter)
	case engineapi.OrderSetRole:
		return s.Role == order.Role
	}
	return false
}
