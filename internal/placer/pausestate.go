package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/pause"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// pauseReportInterval is how often the gauges of pauses are updated.
const pauseReportInterval = time.Second

// PauseState is the learned share of a service's streams, from 0 to 1, that pause for longer than their route
// allows beside the prompts that the replicas of this daemon compute now.
type PauseState struct {
	Service       routing.ServiceID `json:"service"`
	AllowedMillis int64             `json:"allowed_ms"` // shortest of the bounds of its routes
	TooLong       float64           `json:"too_long"`   // mean over the replicas
	WorstTooLong  float64           `json:"worst_too_long"`
	WorstReplica  request.TargetID  `json:"worst_replica,omitempty"` // empty if no share is above zero
}

// Pauses returns the states of those of the given services whose routes bound pauses, sorted by service.
func (pp *PromptPlacer) Pauses(now time.Time, services map[routing.ServiceID]*routing.Service) []PauseState {
	var out []PauseState
	for _, service := range services {
		if service.Engine != nil && service.MaxEventGap > 0 {
			out = append(out, pp.pauseState(now, service))
		}
	}
	slices.SortFunc(out, func(a, b PauseState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (pp *PromptPlacer) pauseState(now time.Time, service *routing.Service) PauseState {
	s := PauseState{Service: service.ID, AllowedMillis: service.MaxEventGap.Milliseconds()}
	curve, assigned := pp.pauseCurve(service), pp.Assigned(service.ID)
	for _, r := range assigned {
		share := curve.TooLong(pp.prefillTime(service, r, now))
		s.TooLong += share / float64(len(assigned))
		if share > s.WorstTooLong {
			s.WorstTooLong, s.WorstReplica = share, r.Info().ID
		}
	}
	return s
}

// pauseGauges are the services whose gauges do not stand at zero, and when they were updated. ReportPauses alone
// uses them.
type pauseGauges struct {
	shown   map[routing.ServiceID]bool
	updated time.Time
}

// ReportPauses updates the gauges for the given services, which are all that there are, once a pauseReportInterval.
// It must not be called concurrently.
func (pp *PromptPlacer) ReportPauses(now time.Time, services map[routing.ServiceID]*routing.Service) {
	g := &pp.pauseGauges
	if pp.Metrics == nil || now.Sub(g.updated) < pauseReportInterval {
		return
	}
	before := g.shown
	g.shown, g.updated = map[routing.ServiceID]bool{}, now
	for _, s := range pp.Pauses(now, services) {
		g.shown[s.Service] = true
		pp.setPauseGauges(s)
	}
	for service := range before {
		if !g.shown[service] {
			pp.setPauseGauges(PauseState{Service: service})
		}
	}
}

func (pp *PromptPlacer) setPauseGauges(s PauseState) {
	scope := pp.pauseScope(s.Service)
	scope.Gauge("too_long_share").Update(s.TooLong)
	scope.Gauge("worst_share").Update(s.WorstTooLong)
}

// countPause counts a stream by its longest pause.
func (pp *PromptPlacer) countPause(service routing.ServiceID, longest, allowed time.Duration) {
	if pp.Metrics == nil {
		return
	}
	scope := pp.pauseScope(service)
	scope.Counter("streams").Inc(1)
	if pause.TooLong(longest, allowed) {
		scope.Counter("too_long").Inc(1)
	}
}

func (pp *PromptPlacer) pauseScope(service routing.ServiceID) tally.Scope {
	return pp.Metrics.SubScope("pauses").Tagged(map[string]string{"service": string(service)})
}
