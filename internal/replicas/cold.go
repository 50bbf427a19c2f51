package replicas

import (
	"maps"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Cold reports whether the replica is cold: for some time after its start, actual or assumed, a replica
// accepts few requests.
func (r *Replica) Cold(now time.Time) bool { return r.coldUntil.After(now) }

// AssumeCold records that the replica may have just started. The registry shows a start only seconds
// later, so that its current entry does not contradict this.
func (r *Replica) AssumeCold(now time.Time) {
	if r.coldFor == nil {
		return
	}
	if d := r.coldFor(r.Info().Service); d > 0 {
		r.coldUntil.Extend(now.Add(d))
	}
}

// SetColdStarts sets how long the replicas of each service are cold after a start. Replicas of services
// that are not listed are never cold.
func (s *Set) SetColdStarts(durations map[routing.ServiceID]time.Duration) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.coldDuration = maps.Clone(durations)
}

func (s *Set) coldFor(service routing.ServiceID) time.Duration {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	return s.coldDuration[service]
}
