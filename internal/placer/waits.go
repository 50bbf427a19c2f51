package placer

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/policy/waitlimit"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// recordAndLimitWait records a request and returns how long it may wait at its replica.
func (pp *PromptPlacer) recordAndLimitWait(j *relay.Job) time.Duration {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return pp.waitLimiter(j.Service.ID).MaxWait(time.Now(), waitObjective(j.Route), j.Priority() == 0)
}

// waitLimit is recordAndLimitWait for a request that may have been recorded already.
func (pp *PromptPlacer) waitLimit(j *relay.Job) time.Duration {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return pp.waitLimiter(j.Service.ID).Limit(waitObjective(j.Route), j.Priority() == 0)
}

// waitObjective returns the objective by which a route's requests may wait: its timeout if it has none. With zero they, and
// others of the service, could never wait.
func waitObjective(r *routing.Route) time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Timeout
}

// waitLimiter returns the limiter of a service. The mutex must be held.
func (pp *PromptPlacer) waitLimiter(service routing.ServiceID) *waitlimit.Limiter {
	w := pp.waitLimits[service]
	if w == nil {
		if pp.waitLimits == nil {
			pp.waitLimits = map[routing.ServiceID]*waitlimit.Limiter{}
		}
		w = waitlimit.New()
		pp.waitLimits[service] = w
	}
	return w
}

// startsInTime reports whether a request waits no longer than it may at a replica. A replica whose queue is
// longer meets no objective at all: each waiting request holds memory, and all requests take longer.
func startsInTime(r pick.Request, c *pick.Candidate, maxWait time.Duration) bool {
	return pick.DefaultCosts.ExpectedWait(r, c) <= maxWait
}

// inTime returns the indexes of the candidates at which a request starts in time.
func inTime(r pick.Request, candidates []pick.Candidate, maxWait time.Duration) []int {
	var kept []int
	for i := range candidates {
		if startsInTime(r, &candidates[i], maxWait) {
			kept = append(kept, i)
		}
	}
	return kept
}

// shortestWait returns the wait at the candidate with the shortest one. There must be a candidate.
func shortestWait(r pick.Request, candidates []pick.Candidate) time.Duration {
	shortest := pick.DefaultCosts.ExpectedWait(r, &candidates[0])
	for i := range candidates[1:] {
		shortest = min(shortest, pick.DefaultCosts.ExpectedWait(r, &candidates[i+1]))
	}
	return shortest
}

// selectIndexes returns the elements at some indexes.
func selectIndexes[T any](from []T, indexes []int) []T {
	out := make([]T, len(indexes))
	for n, i := range indexes {
		out[n] = from[i]
	}
	return out
}
