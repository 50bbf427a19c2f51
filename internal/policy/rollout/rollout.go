// Package rollout brings targets to the weight version, adapter and role that the
// table wants, under a cap on weight loads at once and while requests go on.
//
// It is run by the holder of a lease, which gives orders under the lease's epoch. Each
// step reads what the targets are now and orders what is missing, so it does not matter
// which order was lost or who gave it.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Rollout is
// not safe for concurrent use.
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
	// LoadCap is the number of replicas that may load weights at once. More would slow
	// each of them.
	LoadCap int
	// MaxUnavailableShare is the share of a model's replicas that may be out at once, because
	// they load or can't be reached; at least one.
	MaxUnavailableShare float64
	// OrderTimeout is the longest time from giving an order to its effect in the
	// target's state. The sender gives up on it well before.
	OrderTimeout time.Duration
	// LoadTimeout is how long a target that can't be read counts as loading.
	LoadTimeout time.Duration
	// TakeoverWait is how long a new holder gives no orders. It must cover the longest
	// time that an order of the holder before may still take effect. A target that does
	// not check epochs would obey such an order; one that does might too, as long as it
	// has seen none of the new epoch. Zero: OrderTimeout.
	TakeoverWait time.Duration
	// DrainTimeout is how long a replica that serves is kept free of new requests before it
	// is ordered to load, unless it has none left before. An order makes it refuse new
	// ones and wait for those that run, so that a replica with long requests is out for
	// seconds; drained first, it is out for the load alone. Zero: not at all.
	DrainTimeout time.Duration
	// PrefillTimeout is how long a replica is drained at most while prompts are being computed
	// there. Zero: as long as DrainFor.
	PrefillTimeout time.Duration
}

// Desired is what the table wants of one target. Empty fields are left as they are.
type Desired struct {
	Target  request.TargetID
	Model   request.Model
	Version request.Version
	Adapter string
	Role    string
}

// Observed is the outcome of reading a target's state.
type Observed struct {
	Target        request.TargetID
	State         engineapi.State // if Reachable
	ReadAt        time.Time       // when the request for it was sent
	Reachable     bool            // the read succeeded
	Leaving       bool
	InFlight      int // requests in flight there; the least busy are brought on first
	PrefillTokens int // prompt tokens that are still to be computed there
	// NoOrderBefore is the time before which it must get no order; zero: any.
	NoOrderBefore time.Time
}

// Action is a decision for the caller to carry out: Order, Drain, Wait or StepDown.
type Action interface{ isAction() }

// Order is to be sent to a target. A lost answer needs no care: the next steps read
// the target's state and send the order again, with the same operation id, if it had
// no effect.
type Order struct {
	Target request.TargetID
	Order  engineapi.Order
	// PrefillDone says that no prompt is being computed there, as far as is known: what runs may
	// go on under other weights without a prompt's KV cache coming from both.
	PrefillDone bool
}

// Wait says why a target is not brought on now.
type Wait struct {
	Target request.TargetID // empty: all
	Reason Reason
	Until  time.Time // zero: until something changes
}

// Drain says that a target is to get no new requests from now on. It is given again until
// the target is ordered to load.
type Drain struct{ Target request.TargetID }

// StepDown says that a target has seen a higher epoch: another daemon holds the lease.
// No order may be given any more.
type StepDown struct{ Epoch uint64 }

func (Order) isAction()    {}
func (Drain) isAction()    {}
func (Wait) isAction()     {}
func (StepDown) isAction() {}

// Reason says why a target waits.
type Reason string

// The reasons of Wait.
const (
	ReasonTakeover       Reason = "takeover"    // orders of the holder before may still act
	ReasonLoadCap        Reason = "load_cap"    // as many load as may
	ReasonMaxUnavailable Reason = "out_share"   // as many replicas are out as may
	ReasonUnreachable    Reason = "unreachable" // its state can't be read
	ReasonPending        Reason = "pending"     // an order has not shown its effect yet
	ReasonLoading        Reason = "loading"     // it loads
)

// pending is an order whose effect has not been seen.
type pending struct {
	order  Order
	sentAt time.Time
}

// Rollout is the state of one holder of the duty.
type Rollout struct {
	params  Params
	epoch   uint64
	since   time.Time // start of the epoch here
	pending map[request.TargetID]pending
	last    map[request.TargetID]Observed  // by the last read that succeeded
	drained map[request.TargetID]time.Time // since when a target gets no new requests
	seq     uint64
}

// New returns a rollout that has not taken the duty yet.
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
		params:  p,
		pending: make(map[request.TargetID]pending),
		last:    make(map[request.TargetID]Observed),
		drained: make(map[request.TargetID]time.Time),
	}
}

// Forget drops what is known of a target's order and state: it is gone, or has started again
// and knows nothing of the order.
func (r *Rollout) Forget(target request.TargetID) {
	delete(r.pending, target)
	delete(r.last, target)
	delete(r.drained, target)
}

// SetMaxUnavailableShare changes the share of a model's replicas that may be out at once.
func (r *Rollout) SetMaxUnavailableShare(share float64) { r.params.MaxUnavailableShare = share }

// Reconcile returns what to do now under an epoch. wanted and observed must cover all the
// targets that share the cap. The caller makes sure that the lease lasts longer than
// an order may take.
func (r *Rollout) Reconcile(now time.Time, epoch uint64, wanted []Desired, observed []Observed) []Action {
	if epoch != r.epoch {
		r.epoch, r.since = epoch, now
		clear(r.pending)
	}
	v := r.view(now, wanted, observed)
	if v.highest > epoch {
		return []Action{StepDown{Epoch: v.highest}}
	}
	if until := r.since.Add(r.params.TakeoverWait); now.Before(until) {
		return append(r.drainAhead(now, v, wanted), Wait{Reason: ReasonTakeover, Until: until})
	}
	var actions []Action
	for _, w := range r.sorted(v, wanted) {
		if action := r.stepTarget(now, w, v); action != nil {
			actions = append(actions, action)
		}
	}
	return actions
}

// stepTarget returns what to do about one target, or nil if it is as wanted.
func (r *Rollout) stepTarget(now time.Time, w Desired, v *view) Action {
	o := v.of(w.Target)
	if o.Leaving {
		return nil
	}
	if !o.Reachable {
		return Wait{Target: w.Target, Reason: ReasonUnreachable}
	}
	if p, ok := r.pending[w.Target]; ok {
		return r.stepPending(now, p, w, o)
	}
	if o.ReadAt.Before(r.since.Add(r.params.TakeoverWait)) {
		// Read before an order of the holder before could take effect.
		return Wait{Target: w.Target, Reason: ReasonTakeover}
	}
	if o.State.Loading != "" {
		return Wait{Target: w.Target, Reason: ReasonLoading}
	}
	if w.Version != "" && o.State.Version != w.Version {
		return r.load(now, w, o, v)
	}
	if w.Adapter != "" && !slices.Contains(o.State.Adapters, w.Adapter) {
		adapter := engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: w.Model, Adapter: w.Adapter}
		return r.order(now, Order{Target: w.Target, Order: adapter})
	}
	if w.Role != "" && o.State.Role != w.Role {
		role := engineapi.Order{Kind: engineapi.OrderSetRole, Model: w.Model, Role: w.Role}
		return r.order(now, Order{Target: w.Target, Order: role})
	}
	return nil
}

// load orders a weight version if the cap and the share of replicas out allow it. With
// DrainFor a replica that serves is drained first.
func (r *Rollout) load(now time.Time, w Desired, o Observed, v *view) Action {
	serving := o.State.Version != ""
	if serving && r.params.DrainTimeout > 0 {
		if action := r.drain(now, w, o, v); action != nil {
			return action
		}
		if v.loading >= r.params.LoadCap || now.Before(o.NoOrderBefore) {
			return Drain{Target: w.Target}
		}
		delete(r.drained, w.Target)
		v.loading++
		return r.orderLoad(now, w, o.PrefillTokens == 0)
	}
	if v.loading >= r.params.LoadCap {
		return Wait{Target: w.Target, Reason: ReasonLoadCap}
	}
	if serving && v.out[w.Model] >= v.mayBeOut(w.Model, r.params.MaxUnavailableShare) {
		return Wait{Target: w.Target, Reason: ReasonMaxUnavailable}
	}
	v.loading++
	if serving {
		v.out[w.Model]++
	}
	return r.orderLoad(now, w, false)
}

func (r *Rollout) orderLoad(now time.Time, w Desired, computed bool) Order {
	load := engineapi.Order{Kind: engineapi.OrderLoadVersion, Model: w.Model, Version: w.Version}
	return r.order(now, Order{Target: w.Target, Order: load, PrefillDone: computed})
}

// drain returns what a target still waits for before it may load; nil once it is drained.
func (r *Rollout) drain(now time.Time, w Desired, o Observed, v *view) Action {
	since, draining := r.drained[w.Target]
	if !draining {
		if v.out[w.Model] >= v.mayBeOut(w.Model, r.params.MaxUnavailableShare) {
			return Wait{Target: w.Target, Reason: ReasonMaxUnavailable}
		}
		v.out[w.Model]++
		since = now
		r.drained[w.Target] = now
	}
	drained := now.Sub(since)
	if o.InFlight > 0 && drained < r.params.DrainTimeout || o.PrefillTokens > 0 && drained < r.params.PrefillTimeout {
		return Drain{Target: w.Target}
	}
	return nil
}

// drainAhead drains the targets that come first while no order may be given yet.
func (r *Rollout) drainAhead(now time.Time, v *view, wanted []Desired) []Action {
	if r.params.DrainTimeout <= 0 {
		return nil
	}
	var actions []Action
	for _, w := range r.sorted(v, wanted) {
		o := v.of(w.Target)
		if !o.Reachable || o.Leaving || w.Version == "" || o.State.Version == w.Version {
			continue
		}
		if action := r.drain(now, w, o, v); action != nil {
			actions = append(actions, action)
			continue
		}
		actions = append(actions, Drain{Target: w.Target}) // it is free and waits for its order
	}
	return actions
}

// stepPending waits for the effect of an order. If the state that was read after it
// should have taken effect shows nothing of it, it is sent again, or forgotten if the
// table wants something else by now. One that was out of reach for so long that it no
// longer counted as loading has lost its place under the cap and is ordered anew.
func (r *Rollout) stepPending(now time.Time, p pending, w Desired, o Observed) Action {
	until := p.sentAt.Add(r.params.OrderTimeout)
	if o.ReadAt.Before(until) {
		return Wait{Target: o.Target, Reason: ReasonPending, Until: until}
	}
	if !p.wanted(w) || now.Sub(p.sentAt) >= r.params.LoadTimeout {
		delete(r.pending, w.Target)
		return Wait{Target: o.Target, Reason: ReasonPending, Until: now}
	}
	p.sentAt = now
	r.pending[w.Target] = p
	return p.order
}

// wanted reports whether the table still wants what was ordered.
func (p pending) wanted(w Desired) bool {
	order := p.order.Order
	switch order.Kind {
	case engineapi.OrderLoadVersion:
		return order.Version == w.Version
	case engineapi.OrderLoadAdapter:
		return order.Adapter == w.Adapter
	case engineapi.OrderSetRole:
		return order.Role == w.Role
	}
	return false
}

// order gives an order its epoch and id, and notes it as sent.
func (r *Rollout) order(now time.Time, o Order) Order {
	r.seq++
	o.Order.Epoch = r.epoch
	o.Order.OperationID = fmt.Sprintf("%s/%d.%d", o.Target, r.epoch, r.seq)
	r.pending[o.Target] = pending{order: o, sentAt: now}
	return o
}

// settled reports whether a state shows the effect of an order, or of a newer one.
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
