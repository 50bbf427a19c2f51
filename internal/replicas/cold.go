package replicas

import (
	"maps"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Cold reports whether the replica bears few requests only: it has just started, or may have.
func (r *Replica) Cold(now time.Time) bool { return r.cold.After(now) }

// AssumeCold says that the replica may have started just now. The registry tells of that some
// seconds later; what it told before is no reason to believe otherwise.
func (r *Replica) AssumeCold(now time.Time) {
	if r.coldFor == nil {
		return
	}
	if d := r.coldFor(r.Info().Service); d > 0 {
		r.cold.Extend(now.Add(d))
	}
}

// SetColdStarts tells how long the replicas of each service are cold after a start; those of
// services that are not named never are.
func (s *Set) SetColdStarts(after map[routing.ServiceID]time.Duration) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.coldAfter = maps.Clone(after)
}

func (s *Set) coldFor(service routing.ServiceID) time.Duration {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	return s.coldAfter[service]
}
