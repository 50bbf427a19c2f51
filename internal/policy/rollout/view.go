package rollout

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// view is what one step goes by.
type view struct {
	observed map[request.TargetID]Observed
	loading  int                   // targets that load, or may
	out      map[request.Model]int // replicas that don't serve
	replicas map[request.Model]int
	highest  uint64 // epoch that any target has seen
}

func (r *Rollout) view(now time.Time, wanted []Desired, observed []Observed) *view {
	v := &view{
		observed: make(map[request.TargetID]Observed),
		out:      make(map[request.Model]int),
		replicas: make(map[request.Model]int),
	}
	for _, o := range observed {
		o = r.remember(o)
		v.observed[o.Target] = o
		v.highest = max(v.highest, o.State.HighestEpoch)
	}
	r.settle(v)
	for _, w := range wanted {
		o := v.of(w.Target)
		v.replicas[w.Model]++
		if o.Reachable && o.State.Version == w.Version {
			delete(r.drained, w.Target)
		}
		_, drained := r.drained[w.Target]
		loads := r.mayLoad(now, o)
		if loads {
			v.loading++
		}
		if loads || drained || !o.Reachable || o.Leaving || o.State.Version == "" {
			v.out[w.Model]++
		}
	}
	return v
}

// remember keeps what was read last. A target that can't be read now counts as it was
// then: a failed read says nothing, and one that loads goes on loading.
func (r *Rollout) remember(o Observed) Observed {
	if o.Reachable {
		r.last[o.Target] = o
		return o
	}
	last := r.last[o.Target]
	o.State, o.ReadAt = last.State, last.ReadAt
	return o
}

// settle forgets the orders whose effect shows. A state that was read before the order
// was sent shows nothing about it.
func (r *Rollout) settle(v *view) {
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

// mayLoad reports whether a target loads weights as far as can be known. One that was
// ordered to, and one that can't be read, might be loading; the latter for LoadTimeout,
// so that a dead target does not hold up the others for ever.
func (r *Rollout) mayLoad(now time.Time, o Observed) bool {
	if p, ok := r.pending[o.Target]; ok && p.order.Order.Kind == engineapi.OrderLoadVersion {
		return o.Reachable || now.Sub(p.sentAt) < r.params.LoadTimeout
	}
	settled := r.since.Add(r.params.TakeoverWait)
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

// of returns what was observed of a target, or that it was never read.
func (v *view) of(target request.TargetID) Observed {
	if o, ok := v.observed[target]; ok {
		return o
	}
	return Observed{Target: target}
}

// mayBeOut returns how many replicas of a model may be out at once.
func (v *view) mayBeOut(model request.Model, share float64) int {
	return max(1, int(float64(v.replicas[model])*share))
}

// sorted returns the targets in the order in which they are brought on: those that
// serve nothing first, since loading them takes nothing away, then those that may be
// ordered at once, then those with the least work, whose requests end soonest.
func (r *Rollout) sorted(v *view, wanted []Desired) []Desired {
	out := slices.Clone(wanted)
	slices.SortStableFunc(out, func(a, b Desired) int {
		emptyA, emptyB := v.of(a.Target).State.Version == "", v.of(b.Target).State.Version == ""
		if emptyA != emptyB {
			if emptyA {
				return -1
			}
			return 1
		}
		if c := v.of(a.Target).NoOrderBefore.Compare(v.of(b.Target).NoOrderBefore); c != 0 {
			return c
		}
		return cmp.Or(
			cmp.Compare(v.of(a.Target).InFlight, v.of(b.Target).InFlight),
			strings.Compare(string(a.Target), string(b.Target)),
		)
	})
	return out
}
