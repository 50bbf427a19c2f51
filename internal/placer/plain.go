// Package placer chooses a replica for each attempt of a relayed request. It places calls to plain
// services, those that are not model services, by load and health, and prompts on model replicas also
// by where their parts are cached.
package placer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// noReplicaRetryAfter is the Retry-After if no replica is known or all are backing off: a crashed
// replica is back within seconds, and a new one is listed within one.
const noReplicaRetryAfter = 400 * time.Millisecond

// plainCosts are the costs for plain services. Their calls are short and transfer little, so load and
// health decide, and the failure domain only between otherwise equal replicas.
var plainCosts = pick.Costs{
	PerRunningRequest: 5 * time.Millisecond, // a call takes 30 ms, and uses one of six slots for that time
	Shortage:          300 * time.Millisecond,
	ErrorRate:         400 * time.Millisecond,
	CrossDomain:       3 * time.Millisecond,
}

// PlainPlacer places calls of plain services. It implements relay.Placer.
type PlainPlacer struct {
	Eligibility
	Domain string // failure domain of this daemon
}

// HasRoom implements relay.Placer.
func (p *PlainPlacer) HasRoom(*relay.Job, []request.TargetID) bool { return true }

// Place implements relay.Placer.
func (p *PlainPlacer) Place(_ context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	for {
		usable := p.eligible(j, p.Set.ByService(j.Service.ID), tried)
		if len(usable) == 0 {
			return nil, noReplica()
		}
		r := p.cheapest(p.preferredWithRoom(j, usable))
		begin := func() *replicas.Flight { return r.Load.Begin(0, 0) }
		if flight := p.Quotas.Take(time.Now(), r, begin); flight != nil {
			return &relay.Placement{Replica: r, Flight: flight, Reason: "load"}, nil
		}
	}
}

// preferredWithRoom returns the preferred replicas that have a free slot, and all if none has, or if there is no preference.
func (p *PlainPlacer) preferredWithRoom(j *relay.Job, usable []*replicas.Replica) []*replicas.Replica {
	preferred := p.preferred(j, usable)
	if len(preferred) == len(usable) {
		return usable
	}
	now := time.Now()
	preferred = slices.DeleteFunc(preferred, func(r *replicas.Replica) bool {
		slots := r.Info().Slots
		return slots > 0 && r.Load.Total(now).Requests >= slots
	})
	if len(preferred) == 0 {
		return usable
	}
	return preferred
}

func (p *PlainPlacer) cheapest(usable []*replicas.Replica) *replicas.Replica {
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
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, noReplicaRetryAfter, "no replica takes requests now")
}
