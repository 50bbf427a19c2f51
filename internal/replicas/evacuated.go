package replicas

import (
	"maps"
	"time"
)

// evacuationGrace is how long an evacuation continues that the key-value service may have lost. Operators
// write it again or withdraw it within seconds.
const evacuationGrace = 5 * time.Second

// EvacuationChange is an update of the failure domains whose replicas must get no new requests.
type EvacuationChange struct {
	Begun []string
	Ended []string // withdrawn by an operator
	Full  bool     // Begun is the complete list
	// MayBeLost is set if a missing evacuation may have been lost rather than withdrawn.
	MayBeLost bool
}

// ApplyEvacuations applies an update. It returns the failure domains whose evacuation begins or ends
// with it.
func (s *Set) ApplyEvacuations(now time.Time, c EvacuationChange) (begun, ended []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.evacuated.Load())
	present := map[string]bool{}
	for _, domain := range c.Begun {
		present[domain] = true
		if !next[domain] {
			begun = append(begun, domain)
		}
		next[domain] = true
		delete(s.evacuationExpiry, domain)
	}
	for _, domain := range c.Ended {
		delete(next, domain)
	}
	if c.Full {
		for domain := range next {
			s.handleMissingEvacuation(now, next, present, domain, c.MayBeLost)
		}
	}
	return begun, s.setEvacuated(now, next)
}

// handleMissingEvacuation ends an evacuation that is missing from a complete list, immediately or after
// evacuationGrace.
func (s *Set) handleMissingEvacuation(now time.Time, next, present map[string]bool, domain string, mayBeLost bool) {
	switch _, pending := s.evacuationExpiry[domain]; {
	case present[domain]:
	case !mayBeLost:
		delete(next, domain)
	case !pending:
		s.evacuationExpiry[domain] = now.Add(evacuationGrace)
	}
}

// expireEvacuations ends evacuations that were not written again in time.
func (s *Set) expireEvacuations(now time.Time) {
	next := maps.Clone(*s.evacuated.Load())
	for domain, deadline := range s.evacuationExpiry {
		if now.After(deadline) {
			delete(next, domain)
		}
	}
	s.setEvacuated(now, next)
}

// setEvacuated sets the evacuated failure domains, and returns those whose evacuation has ended. Their
// replicas may have restarted meanwhile, and count as cold.
func (s *Set) setEvacuated(now time.Time, next map[string]bool) (ended []string) {
	before := *s.evacuated.Load()
	if maps.Equal(before, next) {
		return nil
	}
	for domain := range before {
		if !next[domain] {
			ended = append(ended, domain)
			delete(s.evacuationExpiry, domain)
		}
	}
	for _, r := range s.byID {
		if domain := r.Info().FailureDomain; before[domain] && !next[domain] {
			r.AssumeCold(now)
		}
	}
	s.evacuated.Store(&next)
	return ended
}

// Evacuated reports whether the replicas of a failure domain must get no new requests.
func (s *Set) Evacuated(domain string) bool { return (*s.evacuated.Load())[domain] }

// EvacuatedDomains returns the number of evacuated failure domains.
func (s *Set) EvacuatedDomains() int { return len(*s.evacuated.Load()) }
