package relay

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// noteSignals notes what a replica says of itself in the head of an answer. One that does not vouch
// for its answer, and did not turn the request away either, may be faulty: what it leaves out ends
// nothing. An answer that another replica gives at the same address says nothing of this one.
func (s *Server) noteSignals(t *try) {
	r := t.placement.Replica
	if t.response.Status == http.StatusMisdirectedRequest {
		return
	}
	if t.answer.Invalid != nil {
		s.o.Logger.Warn("A header of a replica can not be read", "replica", r.Info().ID, "error", t.answer.Invalid)
	}
	if t.answer.Leaving && r.ObserveLeaving() {
		s.o.Logger.Info("A replica says that it leaves", "replica", r.Info().ID)
	}
	if t.answer.RetryAfter > 0 {
		r.BackOff(time.Now().Add(t.answer.RetryAfter))
		s.o.Metrics.Counter("backoffs").Inc(1)
	}
	whole := t.answer.Invalid == nil && (t.answer.Signed || t.answer.NotRun)
	if t.answer.RateLimit > 0 || whole {
		s.noteLimit(r, t.answer.RateLimit)
	}
}

// noteLimit notes how many requests a second a replica takes, zero for as many as come.
func (s *Server) noteLimit(r *replicas.Replica, perSecond float64) {
	before, _ := r.Limit()
	if !r.ObserveLimit(time.Now(), perSecond) {
		return
	}
	switch {
	case before == 0:
		s.o.Logger.Info("A replica names a limit", "replica", r.Info().ID, "per_second", perSecond)
	case perSecond == 0:
		s.o.Logger.Info("A replica names no limit any more", "replica", r.Info().ID)
	default:
		s.o.Logger.Debug("A replica names another limit", "replica", r.Info().ID, "per_second", perSecond)
	}
}
