package relay

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// applySignals applies the leaving, Retry-After and rate limit headers of a response to the replica. A
// replica that neither signed its response nor stated that it did not run the request may be faulty, so
// a response of it without the rate limit header does not lift a limit. A misdirected response comes
// from another replica at the same address and is ignored.
func (s *Server) applySignals(a *attempt) {
	r := a.placement.Replica
	if a.response.Status == http.StatusMisdirectedRequest {
		return
	}
	if a.meta.Invalid != nil {
		s.o.Logger.Warn("The relay ignores an invalid header of a replica", "replica", r.Info().ID, "error", a.meta.Invalid)
	}
	if a.meta.Leaving && r.ObserveLeaving() {
		s.o.Logger.Info("A replica reports that it is leaving", "replica", r.Info().ID)
	}
	if a.meta.RetryAfter > 0 {
		r.BackOff(time.Now().Add(a.meta.RetryAfter))
		s.o.Metrics.Counter("backoffs").Inc(1)
	}
	trusted := a.meta.Invalid == nil && (a.meta.Signed || a.meta.NotRun)
	if a.meta.RateLimit > 0 || trusted {
		s.applyRateLimit(r, a.meta.RateLimit)
	}
	if (a.meta.Brittle > 0 || trusted) && r.ObserveBrittle(time.Now(), a.meta.Brittle) {
		s.o.Logger.Info("The replicas of a service changed whether they are brittle", "service", r.Info().Service, "replica", r.Info().ID,
			"rejections_per_second", a.meta.Brittle)
	}
}

// applyRateLimit records the requests per second that a replica accepts; zero means no limit.
func (s *Server) applyRateLimit(r *replicas.Replica, perSecond float64) {
	before, _ := r.Limit()
	if !r.ObserveLimit(time.Now(), perSecond) {
		return
	}
	switch {
	case before == 0:
		s.o.Logger.Info("A replica set a rate limit", "replica", r.Info().ID, "per_second", perSecond)
	case perSecond == 0:
		s.o.Logger.Info("A replica removed its rate limit", "replica", r.Info().ID)
	default:
		s.o.Logger.Debug("A replica changed its rate limit", "replica", r.Info().ID, "per_second", perSecond)
	}
}
