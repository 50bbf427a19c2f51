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

// Eligibility decides which replicas may get a request, independent of cost.
//
// A replica gets no requests if it is leaving, if its Retry-After to this daemon has not passed, if its
// failure domain is evacuated, or if it is outside the home regions of the request. It does not resume a
// stream that another version of its software began. If no other replica is left, the request is
// refused. A replica that is avoided for another reason still gets requests if no better one is
// available. A replica with a bound gets a request only if Quotas permits it.
type Eligibility struct {
	Set *replicas.Set
	// Region returns the region of a failure domain, empty if it is unknown. An unknown region is never a home.
	Region func(failureDomain string) routing.Region
	Quotas *Quotas // nil: no quotas apply
	// PreferredSoftware returns the versions of a service's software at which streams that may be resumed should begin; nil: any.
	PreferredSoftware func(routing.ServiceID) map[string]bool
}

// availability tells whether a replica may get a request.
type availability int

const (
	never   availability = iota // not this request
	later                       // not at this moment
	avoided                     // only if there is no better replica
	ready
)

// availability returns whether a replica may get a request now, later or not at all.
func (e *Eligibility) availability(now time.Time, j *relay.Job, r *replicas.Replica, tried []request.TargetID) availability {
	switch {
	case slices.Contains(tried, r.Info().ID) || !e.allowed(j, r):
		return never
	case !e.acceptsNow(now, r):
		return later
	case r.Health.BackingOff(now):
		if len(tried) > 0 {
			return never
		}
		return avoided
	case r.Busy(now) || e.Quotas.Unconfirmed(now, r):
		if len(tried) > 0 || r.IsBrittle() {
			return later
		}
		return avoided
	default:
		return ready
	}
}

// eligible returns the replicas that may be tried, in random order so that equal replicas share the
// load.
func (e *Eligibility) eligible(j *relay.Job, assigned []*replicas.Replica, tried []request.TargetID) []*replicas.Replica {
	now := time.Now()
	var fit, worse []*replicas.Replica
	for _, r := range e.pool(j, assigned) {
		switch e.availability(now, j, r, tried) {
		case ready:
			fit = append(fit, r)
		case avoided:
			worse = append(worse, r)
		}
	}
	if len(fit) == 0 {
		fit = worse
	}
	rand.Shuffle(len(fit), func(i, k int) { fit[i], fit[k] = fit[k], fit[i] })
	return fit
}

// preferred returns the replicas at which a request should begin: a stream that may be resumed, at a preferred version. It returns all if there
// is none.
func (e *Eligibility) preferred(j *relay.Job, usable []*replicas.Replica) []*replicas.Replica {
	if e.PreferredSoftware == nil || j.Software.Bound || !j.Route.HasResumableStreams() {
		return usable
	}
	versions := e.PreferredSoftware(j.Service.ID)
	if len(versions) == 0 {
		return usable
	}
	var out []*replicas.Replica
	for _, r := range usable {
		if versions[r.Info().Software] {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return usable
	}
	return out
}

// pool returns the assigned replicas, and all replicas if no assigned one is allowed.
func (e *Eligibility) pool(j *relay.Job, assigned []*replicas.Replica) []*replicas.Replica {
	if e.anyAllowed(j, assigned) {
		return assigned
	}
	return e.Set.ByService(j.Service.ID)
}

// untilAvailable returns how long a replica that may get a request later does not accept it. Nothing is
// known about the end of a quota.
func (e *Eligibility) untilAvailable(now time.Time, r *replicas.Replica) time.Duration {
	left := max(r.BackoffLeft(now), r.BusyLeft(now))
	if left == 0 && !e.Quotas.Ready(now, r) {
		return noReplicaRetryAfter
	}
	return left
}

// acceptsNow reports whether a replica may get a request at this moment.
func (e *Eligibility) acceptsNow(now time.Time, r *replicas.Replica) bool {
	return r.BackoffLeft(now) == 0 && e.Quotas.Ready(now, r)
}

// anyAllowed reports whether a request may go to any of the given replicas, now or later.
func (e *Eligibility) anyAllowed(j *relay.Job, from []*replicas.Replica) bool {
	return slices.ContainsFunc(from, func(r *replicas.Replica) bool { return e.allowed(j, r) })
}

// allowed reports whether a request may go to a replica at all.
func (e *Eligibility) allowed(j *relay.Job, r *replicas.Replica) bool {
	return !r.Leaving() && j.Software.AllowsReplica(r) && !e.Set.Evacuated(r.Info().FailureDomain) && e.isHome(j, r.Info().FailureDomain)
}

// isHome reports whether a failure domain is in a home region of a request.
func (e *Eligibility) isHome(j *relay.Job, domain string) bool {
	if !j.HasHomes() {
		return true
	}
	region := e.Region(domain)
	return region != "" && j.AllowedIn(region)
}
