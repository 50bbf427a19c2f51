// Package placer chooses a replica for each try of a relayed request: by load and health
// for plain services, and for model replicas by where the parts of the prompt lie.
package placer

import (
	"context"
	"net/http"
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
	Eligibility
	Domain string // of this daemon
}

// Place implements relay.Placer.
func (p *Plain) Place(_ context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	for {
		usable := p.of(j, p.Set.OfService(j.Service.ID), tried)
		if len(usable) == 0 {
			return nil, noReplica()
		}
		r := p.cheapest(usable)
		if p.Quotas.Take(time.Now(), r) {
			return &relay.Placement{Replica: r, Flight: r.Load.Begin(0, 0), Reason: "load"}, nil
		}
	}
}

func (p *Plain) cheapest(usable []*replicas.Replica) *replicas.Replica {
	now := time.Now()
	candidates := make([]pick.Candidate, len(usable))
	for i, r := range usable {
		info := r.Info()
		candidates[i] = pick.Candidate{
			Running: r.Load.Total(now).Requests, Slots: info.Slots,
			SameDomain: info.FailureDomain == p.Domain, ErrorRate: r.Health.ErrorRate(),
		}
	}
	return usable[pick.Best(plainCosts, pick.Request{}, candidates)]
}

func noReplica() error {
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, noReplicaRetry, "no replica takes requests now")
}
