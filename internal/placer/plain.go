// Package placer chooses a replica for each try of a relayed request: by load and health
// for plain services, and for model replicas by where the parts of the prompt lie.
package placer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// noReplicaRetry is when to come back if no replica is known or all rest: one that
// crashed is back after seconds, a new one is listed within one.
const noReplicaRetry = 400 * time.Millisecond

// plainCosts weigh plain services: their calls are short and their bytes few, so load
// and health decide, and the failure domain among equals.
var plainCosts = pick.Costs{
	PerRequest:  5 * time.Millisecond, // a call takes 30 ms; one of six places makes a sixth of that
	Replica:     300 * time.Millisecond,
	Error:       400 * time.Millisecond,
	CrossDomain: 3 * time.Millisecond,
}

// Plain places calls of plain services.
type Plain struct {
	Set    *replicas.Set
	Domain string // of this daemon
}

// Place implements relay.Placer.
func (p *Plain) Place(_ context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	usable := usable(p.Set.Of(j.Service.ID), tried)
	if len(usable) == 0 {
		return nil, noReplica()
	}
	now := time.Now()
	candidates := make([]pick.Candidate, len(usable))
	for i, r := range usable {
		info := r.Info()
		candidates[i] = pick.Candidate{
			Running: r.Load.Total(now).Requests, Slots: info.Slots,
			SameDomain: info.FailureDomain == p.Domain, ErrorRate: r.Health.ErrorRate(),
		}
	}
	r := usable[pick.Best(plainCosts, pick.Request{}, candidates)]
	return &relay.Placement{Replica: r, Flight: r.Load.Begin(0, 0), Reason: "load"}, nil
}

// usable returns the replicas that may be tried, in random order so that
// equal ones share the work. Where all were tried or rest, those that rest are tried
// rather than none.
func usable(all []*replicas.Replica, tried []request.TargetID) []*replicas.Replica {
	now := time.Now()
	var fit, resting []*replicas.Replica
	for _, r := range all {
		switch {
		case slices.Contains(tried, r.Info().ID):
		case r.Health.Resting(now) || r.Busy(now):
			resting = append(resting, r)
		default:
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 && len(tried) == 0 {
		fit = resting
	}
	rand.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	return fit
}

func noReplica() error {
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, noReplicaRetry, "no replica can be reached")
}
