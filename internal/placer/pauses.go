package placer

import (
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pause"
	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// pauseCurve returns what is known of the pauses of a service's streams.
func (pp *PromptPlacer) pauseCurve(service *routing.Service) pause.Curve {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return pp.pauseModel(service.ID).Curve(service.MaxEventGap)
}

// pauseModel returns the model of a service's pauses. The mutex must be held.
func (pp *PromptPlacer) pauseModel(service routing.ServiceID) *pause.Model {
	m := pp.pauses[service]
	if m == nil {
		if pp.pauses == nil {
			pp.pauses = map[routing.ServiceID]*pause.Model{}
		}
		m = pause.New()
		pp.pauses[service] = m
	}
	return m
}

// watchPauses observes the longest pause of a stream. The attempt calls onLongestGap whenever the pause grows,
// and observe at its end. Streams without a pause, or on a route without a bound, are not observed.
func (pp *PromptPlacer) watchPauses(j *relay.Job, r *replicas.Replica) (onLongestGap func(time.Duration), observe func()) {
	if j.Route.MaxEventGap <= 0 {
		return nil, func() {}
	}
	var mu sync.Mutex
	var longest, prefill time.Duration
	onLongestGap = func(gap time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		longest, prefill = gap, pp.prefillTime(j.Service, r, time.Now())
	}
	observe = func() {
		mu.Lock()
		defer mu.Unlock()
		if longest > 0 {
			pp.recordPause(j, longest, prefill)
		}
	}
	return onLongestGap, observe
}

func (pp *PromptPlacer) recordPause(j *relay.Job, longest, prefill time.Duration) {
	pp.countPause(j.Service.ID, longest, j.Route.MaxEventGap)
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.pauseModel(j.Service.ID).Observe(time.Now(), longest, j.Route.MaxEventGap, prefill)
}

// prefillTime returns how long the queued and the recent prefill work of a replica occupies it.
func (pp *PromptPlacer) prefillTime(service *routing.Service, r *replicas.Replica, now time.Time) time.Duration {
	load := r.Load.Total(now)
	costs := pick.DefaultCosts.At(&pick.Candidate{Speed: pp.Speeds.Of(now, r, load, service.Engine)})
	return time.Duration(load.Prefill+r.Load.RecentPrefill(now)) * costs.PrefillPerToken
}
