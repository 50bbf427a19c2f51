package rollout

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// view is the state on which one call of Reconcile is based.
type view struct {
	observed     map[request.TargetID]Observed
	loading      int                   // targets that load or may be loading weights
	unavailable  map[request.Model]int // replicas that don't serve
	replicas     map[request.Model]int
	highestEpoch uint64 // highest epoch reported by a target
}

func (r *Rollout) view(now time.Time, desired []Desired, observed []Observed) *view {
	v := &view{
		observed:    make(map[request.TargetID]Observed),
		unavailable: make(map[request.Model]int),
		replicas:    make(map[request.Model]int),
	}
	for _, o := range observed {
		o = r.withLastState(o)
		v.observed[o.Target] = o
		v.highestEpoch = max(v.highestEpoch, o.State.HighestEpoch)
	}
	r.dropSettledOrders(v)
	for _, d := range desired {
		o := v.observedOf(d.Target)
		v.replicas[d.Model]++
		if o.Reachable && o.State.Version == d.Version {
			delete(r.drainingSince, d.Target)
		}
		_, drained := r.drainingSince[d.Target]
		loads := r.mayBeLoading(now, o)
		if loads {
			v.loading++
		}
		if loads || drained || !o.Reachable || o.Leaving || o.State.Version == "" {
			v.unavailable[d.Model]++
		}
	}
	return v
}

// withLastState records a successful read, and completes a failed one with the last known state. A
// failed read does not mean that the state changed: a target that was loading continues to load.
func (r *Rollout) withLastState(o Observed) Observed {
	if o.Reachable {
		r.lastObserved[o.Target] = o
		return o
	}
	last := r.lastObserved[o.Target]
	o.State, o.ReadAt = last.State, last.ReadAt
	return o
}

// dropSettledOrders removes pending orders whose effect was observed. A state that was read before an
// order was sent says nothing about its effect.
func (r *Rollout) dropSettledOrders(v *view) {
	for target, p := range r.pending {
		o, known := v.observed[target]
		if !known {
			delete(r.pending, target)
			continue
		}
		if o.Reachable && o.ReadAt.After(p.sentAt) && p.settled(o.State) {
			delete(r.pending, target)
		}
	}
}

// mayBeLoading reports whether a target may be loading weights. A target with a pending load order and
// an unreachable target may be loading; the latter counts for LoadTimeout only, so that a dead target
// does not block the others forever.
func (r *Rollout) mayBeLoading(now time.Time, o Observed) bool {
	if p, ok := r.pending[o.Target]; ok && p.order.Order.Kind == engineapi.OrderLoadVersion {
		return o.Reachable || now.Sub(p.sentAt) < r.params.LoadTimeout
	}
	settled := r.epochStart.Add(r.params.TakeoverWait)
	if o.Reachable {
		return o.State.Loading != "" || o.ReadAt.Before(settled)
	}
	if o.State.Loading == "" && !o.ReadAt.Before(settled) {
		return false
	}
	from := settled
	if o.ReadAt.After(from) {
		from = o.ReadAt
	}
	return now.Sub(from) < r.params.LoadTimeout
}

// observedOf returns the observation of a target, or one of an unreachable target if there is none.
func (v *view) observedOf(target request.TargetID) Observed {
	if o, ok := v.observed[target]; ok {
		return o
	}
	return Observed{Target: target}
}

// maxUnavailable returns how many replicas of a model may be unavailable at once.
func (v *view) maxUnavailable(model request.Model, share float64) int {
	return max(1, int(float64(v.replicas[model])*share))
}

// byPriority returns the targets in the order in which they are updated: first those without weights,
// since loading them takes no capacity away, then those that may be ordered earliest, then those with
// the fewest requests in flight, which end soonest.
func (r *Rollout) byPriority(v *view, desired []Desired) []Desired {
	out := slices.Clone(desired)
	slices.SortStableFunc(out, func(a, b Desired) int {
		emptyA, emptyB := v.observedOf(a.Target).State.Version == "", v.observedOf(b.Target).State.Version == ""
		if emptyA != emptyB {
			if emptyA {
				return -1
			}
			return 1
		}
		if c := v.observedOf(a.Target).NoOrderBefore.Compare(v.observedOf(b.Target).NoOrderBefore); c != 0 {
			return c
		}
		return cmp.Or(
			cmp.Compare(v.observedOf(a.Target).InFlight, v.observedOf(b.Target).InFlight),
			strings.Compare(string(a.Target), string(b.Target)),
		)
	})
	return out
}
