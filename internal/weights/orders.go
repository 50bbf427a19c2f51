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
	"github.com/bluebellscale/bluebellscale/internal/policy/rollout"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// orderLoads sends the orders that are allowed now, one model after the other: a replica that
// serves several models accepts one order at a time.
func (c *Controller) orderLoads(ctx context.Context, outdated []outdatedReplica) {
	byModel := map[request.Model][]outdatedReplica{}
	for _, r := range outdated {
		if c.mayExist(r.replica) {
			byModel[r.model] = append(byModel[r.model], r)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		if c.lease == nil {
			return
		}
		c.orderModelLoads(ctx, model, byModel[model])
	}
}

// mayExist reports whether a replica counts in the shares of its model. An entry that leads nowhere and whose replica was never
// reached may be of another writer: a rollout that waited for such would never end.
func (c *Controller) mayExist(r *replicas.Replica) bool {
	return r.Proven() || !r.Health.Down()
}

func (c *Controller) orderModelLoads(ctx context.Context, model request.Model, outdated []outdatedReplica) {
	r := c.rollouts[model]
	if r == nil {
		r = rollout.New(rollout.Params{
			LoadCap: c.maxLoading(model), MaxUnavailableShare: maxUnavailableShare, OrderTimeout: orderVisibleTimeout,
			LoadTimeout: 4 * orderVisibleTimeout, DrainTimeout: drainTimeout, PrefillTimeout: prefillTimeout,
			// Effectively none (zero selects the default): Observed.NoOrderBefore delays each replica's
			// order instead.
			TakeoverWait: time.Nanosecond,
		})
		c.rollouts[model] = r
	}
	r.SetMaxUnavailableShare(unavailableShareAt(c.longestOutdated(outdated)))
	desired, observed, reports := c.observe(ctx, outdated)
	var orders []rollout.Order
	for _, a := range r.Reconcile(time.Now(), c.lease.Epoch(), desired, observed) {
		switch a := a.(type) {
		case rollout.Order:
			orders = append(orders, a)
		case rollout.Drain:
			c.drain(outdated, a)
		}
	}
	if len(orders) == 0 {
		return
	}
	if err := c.recordOrders(ctx, orders); err != nil {
		c.o.Logger.Warn("Sent no orders because the order record could not be written", "error", err)
		c.lease = nil // the next acquisition reads the stored order record again
		return
	}
	for _, a := range orders {
		c.startOrder(ctx, outdated, a, reports)
	}
}

// recordOrders adds replicas to the order record before they are ordered to load. It drops those
// whose last order, from this holder or the previous one, can no longer be pending.
func (c *Controller) recordOrders(ctx context.Context, orders []rollout.Order) error {
	now := time.Now()
	for _, a := range orders {
		c.orderedAt[a.Target] = now
	}
	var ids []request.TargetID
	for id, at := range c.orderedAt {
		if now.Sub(at) > 2*c.o.OrderLease {
			delete(c.orderedAt, id)
			continue
		}
		ids = append(ids, id)
	}
	for id, until := range c.inheritedUntil {
		if _, mine := c.orderedAt[id]; !mine && now.Before(until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return c.orderRecord.replaceReplicas(ctx, c.o.KV, ids)
}

// longestOutdated returns the longest time that a replica has served weights that were replaced.
func (c *Controller) longestOutdated(outdated []outdatedReplica) time.Duration {
	var longest time.Duration
	for _, r := range outdated {
		if since, ok := c.o.OutdatedSince(r.model, r.replica.WeightsVersion(r.model)); ok {
			longest = max(longest, time.Since(since))
		}
	}
	return longest
}

// unavailableShareAt returns the share of replicas that may be unavailable. It grows as the old
// weights approach the end of their allowed use, after which a replica that serves them may no
// longer serve requests.
func unavailableShareAt(outdatedFor time.Duration) float64 {
	switch {
	case outdatedFor > veryLateAfter:
		return veryLateUnavailableShare
	case outdatedFor > lateAfter:
		return lateUnavailableShare
	}
	return maxUnavailableShare
}

// drain stops new requests to a replica that loads soon. It renews the announcement to peers before
// the previous one expires.
func (c *Controller) drain(outdated []outdatedReplica, a rollout.Drain) {
	for _, r := range outdated {
		if r.replica.Info().ID == a.Target {
			c.markBusy(r)
			return
		}
	}
}

func (c *Controller) maxLoading(model request.Model) int {
	serving := 0
	for _, r := range c.o.Set.NotLeaving() {
		if _, serves := r.Info().Weights[model]; serves && c.mayExist(r) {
			serving++
		}
	}
	return max(1, int(maxLoadingShare*float64(serving)))
}

// observe returns the desired and observed states of all replicas that serve the model of outdated,
// whose elements must share one model. It reads reports only of replicas with a pending order.
func (c *Controller) observe(ctx context.Context, outdated []outdatedReplica) ([]rollout.Desired, []rollout.Observed, map[request.TargetID]Report) {
	now := time.Now()
	reports := c.readReports(ctx, outdated)
	var desired []rollout.Desired
	var observed []rollout.Observed
	for _, r := range outdated {
		id := r.replica.Info().ID
		desired = append(desired, rollout.Desired{Target: id, Model: r.model, Version: versionOf(r.version)})
		work := r.replica.Load.Total(now)
		o := rollout.Observed{
			Target: id, ReadAt: now, Reachable: !r.replica.Health.BackingOff(now),
			InFlight: work.Requests, PrefillTokens: work.Prefill, NoOrderBefore: c.inheritedUntil[id],
		}
		o.State.Version = versionOf(r.replica.WeightsVersion(r.model))
		if report, reported := reports[id]; reported {
			o.State.Version = versionOf(report.Weights[r.model])
			if report.Busy {
				o.State.Loading = versionOf(r.version)
			}
		} else if _, has := c.pending[id]; has {
			o.Reachable = false
		}
		if other, has := c.pending[id]; has && other.model != r.model {
			// The replica is loading another model and accepts one order at a time. It counts as loading
			// so that no second order is sent.
			o.State.Loading = versionOf(r.version)
		}
		observed = append(observed, o)
	}
	desired, observed = c.addUpToDate(desired, observed, outdated, now)
	return desired, observed, reports
}

// addUpToDate adds the replicas that are up to date, since the shares are shares of all replicas.
func (c *Controller) addUpToDate(desired []rollout.Desired, observed []rollout.Observed, outdated []outdatedReplica, now time.Time) ([]rollout.Desired, []rollout.Observed) {
	model, version := outdated[0].model, outdated[0].version
	for _, r := range c.o.Set.NotLeaving() {
		if _, serves := r.Info().Weights[model]; !serves || r.WeightsVersion(model) < version || !c.mayExist(r) {
			continue
		}
		id := r.Info().ID
		desired = append(desired, rollout.Desired{Target: id, Model: model, Version: versionOf(version)})
		observed = append(observed, rollout.Observed{
			Target: id, ReadAt: now, Reachable: true, State: engineapi.State{Version: versionOf(version)},
		})
	}
	return desired, observed
}

func versionOf(n uint64) request.Version { return request.Version(strconv.FormatUint(n, 10)) }

// readReports concurrently reads the reports of the replicas with a pending order.
func (c *Controller) readReports(ctx context.Context, outdated []outdatedReplica) map[request.TargetID]Report {
	type reply struct {
		outdated outdatedReplica
		report   Report
		err      error
	}
	replies := make(chan reply, len(outdated))
	calls := 0
	for _, r := range outdated {
		if _, has := c.pending[r.replica.Info().ID]; !has {
			continue
		}
		calls++
		go func() {
			report, err := c.report(ctx, r.replica)
			replies <- reply{outdated: r, report: report, err: err}
		}()
	}
	out := map[request.TargetID]Report{}
	for range calls {
		r := <-replies
		id := r.outdated.replica.Info().ID
		if r.err != nil {
			c.o.Logger.Info("Failed to read a replica's state", "replica", id, "error", r.err)
			continue
		}
		out[id] = r.report
		if r.report.Weights[r.outdated.model] >= r.outdated.version {
			r.outdated.replica.ObserveWeights(r.outdated.model, r.report.Weights[r.outdated.model])
		} else {
			c.markBusy(r.outdated)
		}
	}
	return out
}

func (c *Controller) report(ctx context.Context, r *replicas.Replica) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := c.o.Client.Report(ctx, r)
	if err == nil {
		r.RecordReached()
	} else if !r.Proven() && ctx.Err() == nil {
		r.Probe(ctx) // it may not exist
	}
	if err == nil && !c.o.Set.ObserveStart(r, report.Started) {
		return Report{}, errRestarted
	}
	return report, err
}

// errRestarted reports that the replica's process is not the known one.
var errRestarted = errors.New("weights: the replica has restarted")

// markBusy keeps new requests away from a replica that is about to load or is loading, for busyTTL
// from now, and announces it to peers.
func (c *Controller) markBusy(r outdatedReplica) {
	now := time.Now()
	id := r.replica.Info().ID
	r.replica.SetBusy(now.Add(busyTTL))
	if now.Sub(c.announcedAt[id]) > busyTTL/3 {
		c.announcedAt[id] = now
		c.announce(State{Replica: id, BusyFor: busyTTL})
	}
}

func (c *Controller) announce(s State) {
	if c.o.Announce != nil {
		c.o.Announce(s)
	}
}

// startOrder announces a replica as busy, reads how many orders it has accepted, and sends the order.
func (c *Controller) startOrder(ctx context.Context, outdated []outdatedReplica, a rollout.Order, reports map[request.TargetID]Report) {
	i := slices.IndexFunc(outdated, func(r outdatedReplica) bool { return r.replica.Info().ID == a.Target })
	if i < 0 {
		return
	}
	r := outdated[i]
	c.pending[a.Target] = pendingOrder{replica: r.replica, model: r.model, orderedAt: time.Now()}
	c.markBusy(r)
	l := c.lease
	c.sending.Go(func() {
		if sleep.For(ctx, announceLead) != nil {
			return
		}
		report, known := reports[a.Target]
		if !known {
			var err error
			if report, err = c.report(ctx, r.replica); err != nil {
				c.o.Logger.Info("Sent no order to a replica whose state could not be read", "replica", a.Target, "error", err)
				return
			}
		}
		c.sendLoad(ctx, l, r, report, a.PrefillDone)
	})
}

func (c *Controller) sendLoad(ctx context.Context, l *lease.Lease, r outdatedReplica, report Report, keepRunning bool) {
	if l.Remaining() <= callTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := Order{Model: r.model, Version: r.version, Holder: c.o.Self, Epoch: l.Epoch(), ExpectedOrders: report.Orders, KeepRunning: keepRunning}
	c.lastSent.Extend(time.Now())
	err := c.o.Client.Load(ctx, r.replica, o)
	c.lastSent.Extend(time.Now())
	c.o.Logger.Info("Ordered a replica to load weights", "replica", r.replica.Info().ID, "model", r.model,
		"version", r.version, "epoch", o.Epoch, "expected", o.ExpectedOrders, "runs_go_on", o.KeepRunning, "error", err)
}
