package placer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Eligibility says which replicas may get a request, whatever it would cost.
//
// A replica that leaves, that told this daemon to stay away, in an evacuated failure domain, or outside
// the homes of a request, gets none at all: with nothing else left the request is refused. One that is
// left alone for another reason is tried rather than none. One with a bound gets a request only by
// leave of Quotas.
type Eligibility struct {
	Set *replicas.Set
	// Region returns the region of a failure domain, empty if it is not known: then it is no home.
	Region func(failureDomain string) routing.Region
	Quotas *Quotas // nil: none are kept to
}

// of returns the replicas that may be tried, in random order so that equal ones share the work:
// of those that this daemon uses, or of all if none of them may be used.
func (e *Eligibility) of(j *relay.Job, mine []*replicas.Replica, tried []request.TargetID) []*replicas.Replica {
	now := time.Now()
	if fit := e.among(now, j, mine, tried); len(fit) > 0 {
		return fit
	}
	all := e.Set.OfService(j.Service.ID)
	if len(all) == len(mine) || e.anyAllowed(j, mine) {
		return nil
	}
	return e.among(now, j, all, tried)
}

func (e *Eligibility) among(now time.Time, j *relay.Job, of []*replicas.Replica, tried []request.TargetID) []*replicas.Replica {
	var fit, resting []*replicas.Replica
	for _, r := range of {
		switch {
		case slices.Contains(tried, r.Info().ID) || !e.allowed(j, r) || !e.mayNow(now, r):
		case r.Health.BackingOff(now) || r.Busy(now) || e.Quotas.Unconfirmed(now, r):
			resting = append(resting, r)
		default:
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 && len(tried) == 0 {
		fit = resting
	}
	rand.Shuffle(len(fit), func(i, k int) { fit[i], fit[k] = fit[k], fit[i] })
	return fit
}

// mayNow reports whether a replica may get a request at this moment.
func (e *Eligibility) mayNow(now time.Time, r *replicas.Replica) bool {
	return r.BackoffLeft(now) == 0 && e.Quotas.Ready(now, r)
}

// anyAllowed reports whether a request may go to one of some replicas, now or later.
func (e *Eligibility) anyAllowed(j *relay.Job, of []*replicas.Replica) bool {
	return slices.ContainsFunc(of, func(r *replicas.Replica) bool { return e.allowed(j, r) })
}

// allowed reports whether a request may go to a replica at all.
func (e *Eligibility) allowed(j *relay.Job, r *replicas.Replica) bool {
	return !r.Leaving() && !e.Set.Evacuated(r.Info().FailureDomain) && e.isHome(j, r.Info().FailureDomain)
}

// isHome reports whether a request may go to a failure domain.
func (e *Eligibility) isHome(j *relay.Job, domain string) bool {
	if !j.HasHomes() {
		return true
	}
	region := e.Region(domain)
	return region != "" && j.AllowedIn(region)
}
