package weights

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/policy/rollout"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// act orders what may be ordered now, one model after the other: a replica that serves several
// takes one order at a time.
func (d *Controller) act(ctx context.Context, late []behind) {
	byModel := map[request.Model][]behind{}
	for _, b := range late {
		byModel[b.model] = append(byModel[b.model], b)
	}
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		if d.lease == nil {
			return
		}
		d.actOn(ctx, model, byModel[model])
	}
}

func (d *Controller) actOn(ctx context.Context, model request.Model, late []behind) {
	r := d.rollouts[model]
	if r == nil {
		r = rollout.New(rollout.Params{
			LoadCap: d.loadCap(model), MaxOutShare: outShare, OrderTimeout: effectAfter,
			LoadTimeout: 4 * effectAfter, DrainFor: drainFor, ComputeFor: computeFor,
			TakeoverWait: time.Nanosecond, // OrderAfter says it for each replica
		})
		d.rollouts[model] = r
	}
	r.SetMaxOutShare(outShareAt(d.lateFor(late)))
	wanted, observed, reports := d.view(ctx, late)
	var orders []rollout.Order
	for _, a := range r.Step(time.Now(), d.lease.Epoch(), wanted, observed) {
		switch a := a.(type) {
		case rollout.Order:
			orders = append(orders, a)
		case rollout.Drain:
			d.drain(late, a)
		}
	}
	if len(orders) == 0 {
		return
	}
	if err := d.writeDown(ctx, orders); err != nil {
		d.o.Logger.Warn("No order is given, the plan could not be written", "error", err)
		d.lease = nil // asks anew, and learns what the record says
		return
	}
	for _, a := range orders {
		d.order(ctx, late, a, reports)
	}
}

// writeDown adds replicas to the plan before they are ordered, and drops those whose last
// order, of this holder or the one before, is long past.
func (d *Controller) writeDown(ctx context.Context, orders []rollout.Order) error {
	now := time.Now()
	for _, a := range orders {
		d.recent[a.Target] = now
	}
	var ids []request.TargetID
	for id, at := range d.recent {
		if now.Sub(at) > 2*d.o.OrderLease {
			delete(d.recent, id)
			continue
		}
		ids = append(ids, id)
	}
	for id, until := range d.foreign {
		if _, mine := d.recent[id]; !mine && now.Before(until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return d.plan.set(ctx, d.o.KV, ids)
}

// lateFor returns for how long some replica has served weights that were replaced.
func (d *Controller) lateFor(late []behind) time.Duration {
	var longest time.Duration
	for _, b := range late {
		if since, outdated := d.o.OutdatedSince(b.model, b.replica.Weights(b.model)); outdated {
			longest = max(longest, time.Since(since))
		}
	}
	return longest
}

// outShareAt returns the share of replicas that may be out. It grows while the time runs
// out in which the old weights may be used at all: replicas on them are then of no use.
func outShareAt(late time.Duration) float64 {
	switch {
	case late > hurryAfter:
		return hurryShare
	case late > hastenAfter:
		return hastenShare
	}
	return outShare
}

// drain keeps new requests from a replica that loads soon. Peers are told anew before
// they forget it.
func (d *Controller) drain(late []behind, a rollout.Drain) {
	for _, b := range late {
		if b.replica.Info().ID == a.Target {
			d.keepBusy(b)
			return
		}
	}
}

func (d *Controller) loadCap(model request.Model) int {
	all := 0
	for _, r := range d.o.Set.All() {
		if _, serves := r.Info().Weights[model]; serves {
			all++
		}
	}
	return max(1, int(loadShare*float64(all)))
}

// view returns what is wanted of all replicas of the model of late, and what is known of
// them. Replicas with an order are asked.
func (d *Controller) view(ctx context.Context, late []behind) ([]rollout.Wanted, []rollout.Observed, map[request.TargetID]Report) {
	now := time.Now()
	reports := d.ask(ctx, late)
	var wanted []rollout.Wanted
	var observed []rollout.Observed
	for _, b := range late {
		id := b.replica.Info().ID
		wanted = append(wanted, rollout.Wanted{Target: id, Model: b.model, Version: versionOf(b.version)})
		work := b.replica.Load.Total(now)
		o := rollout.Observed{
			Target: id, ReadAt: now, Reachable: !b.replica.Health.Resting(now),
			Work: work.Requests, Computing: work.Prefill, OrderAfter: d.foreign[id],
		}
		o.State.Version = versionOf(b.replica.Weights(b.model))
		if report, asked := reports[id]; asked {
			o.State.Version = versionOf(report.Weights[b.model])
			if report.Busy {
				o.State.Loading = versionOf(b.version)
			}
		} else if _, has := d.ordered[id]; has {
			o.Reachable = false
		}
		if other, has := d.ordered[id]; has && other.model != b.model {
			o.State.Loading = versionOf(b.version) // it takes the order for this model later
		}
		observed = append(observed, o)
	}
	wanted, observed = d.addDone(wanted, observed, late, now)
	return wanted, observed, reports
}

// addDone adds the replicas that are not behind: the shares count them.
func (d *Controller) addDone(wanted []rollout.Wanted, observed []rollout.Observed, late []behind, now time.Time) ([]rollout.Wanted, []rollout.Observed) {
	model, version := late[0].model, late[0].version
	for _, r := range d.o.Set.All() {
		if _, serves := r.Info().Weights[model]; !serves || r.Weights(model) < version {
			continue
		}
		id := r.Info().ID
		wanted = append(wanted, rollout.Wanted{Target: id, Model: model, Version: versionOf(version)})
		observed = append(observed, rollout.Observed{
			Target: id, ReadAt: now, Reachable: true, State: engineapi.State{Version: versionOf(version)},
		})
	}
	return wanted, observed
}

func versionOf(n uint64) request.Version { return request.Version(strconv.FormatUint(n, 10)) }

// ask reads the state of the replicas that have an order, at once.
func (d *Controller) ask(ctx context.Context, late []behind) map[request.TargetID]Report {
	type reply struct {
		b      behind
		report Report
		err    error
	}
	replies := make(chan reply, len(late))
	asked := 0
	for _, b := range late {
		if _, has := d.ordered[b.replica.Info().ID]; !has {
			continue
		}
		asked++
		go func() {
			report, err := d.report(ctx, b.replica)
			replies <- reply{b: b, report: report, err: err}
		}()
	}
	out := map[request.TargetID]Report{}
	for range asked {
		r := <-replies
		id := r.b.replica.Info().ID
		if r.err != nil {
			d.o.Logger.Info("A replica does not tell its state", "replica", id, "error", r.err)
			continue
		}
		out[id] = r.report
		if r.report.Weights[r.b.model] >= r.b.version {
			r.b.replica.SawWeights(r.b.model, r.report.Weights[r.b.model])
		} else {
			d.keepBusy(r.b)
		}
	}
	return out
}

func (d *Controller) report(ctx context.Context, r *replicas.Replica) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := d.o.Client.Report(ctx, r)
	if err == nil && !d.o.Set.SawStart(r, report.Started) {
		return Report{}, errStartedAgain
	}
	return report, err
}

// errStartedAgain is the outcome of asking a replica whose process is another one by now.
var errStartedAgain = errors.New("weights: the replica has started again")

// keepBusy says again that a replica takes no requests while its order is under way.
func (d *Controller) keepBusy(b behind) {
	now := time.Now()
	id := b.replica.Info().ID
	b.replica.SetBusy(now.Add(busyFor))
	if now.Sub(d.told[id]) > busyFor/3 {
		d.told[id] = now
		d.announce(State{Replica: id, BusyFor: busyFor})
	}
}

func (d *Controller) announce(s State) {
	if d.o.Announce != nil {
		d.o.Announce(s)
	}
}

// order gives an order, after reading how many the replica has accepted.
func (d *Controller) order(ctx context.Context, late []behind, a rollout.Order, reports map[request.TargetID]Report) {
	i := slices.IndexFunc(late, func(b behind) bool { return b.replica.Info().ID == a.Target })
	if i < 0 {
		return
	}
	b := late[i]
	d.ordered[a.Target] = ordered{replica: b.replica, model: b.model, at: time.Now()}
	d.keepBusy(b)
	l := d.lease
	go func() {
		if pause.For(ctx, hearFirst) != nil {
			return
		}
		report, known := reports[a.Target]
		if !known {
			var err error
			if report, err = d.report(ctx, b.replica); err != nil {
				d.o.Logger.Info("A replica gets no order, its state is not known", "replica", a.Target, "error", err)
				return
			}
		}
		d.send(ctx, l, b, report, a.Computed)
	}()
}

func (d *Controller) send(ctx context.Context, l *lease.Lease, b behind, report Report, runsGoOn bool) {
	if l.Left() <= callTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := Order{Model: b.model, Version: b.version, Holder: d.o.Self, Epoch: l.Epoch(), ExpectedOrders: report.Orders, KeepRunning: runsGoOn}
	d.lastSent.Set(time.Now())
	err := d.o.Client.Load(ctx, b.replica, o)
	d.o.Logger.Info("A replica is ordered to load weights", "replica", b.replica.Info().ID, "model", b.model,
		"version", b.version, "epoch", o.Epoch, "expected", o.ExpectedOrders, "runs_go_on", o.KeepRunning, "error", err)
}
