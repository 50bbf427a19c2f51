package replicas

import (
	"maps"
	"time"
)

// evacuationGrace is how long an evacuation goes on that a key-value service lacks which may have
// lost it: operators write it again within seconds, or take it back.
const evacuationGrace = 5 * time.Second

// EvacuationChange is an update of the failure domains whose replicas are to get nothing new.
type EvacuationChange struct {
	Begun []string
	Ended []string // taken back by an operator
	Full  bool     // Begun are all there are
	// MayBeLost is set if a missing evacuation may have been lost and not taken back.
	MayBeLost bool
}

// ApplyEvacuations takes an update, and returns which failure domains are evacuated now and were
// not before, and the other way round.
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
		delete(s.evacuationEnds, domain)
	}
	for _, domain := range c.Ended {
		delete(next, domain)
	}
	if c.Full {
		for domain := range next {
			s.missEvacuation(now, next, present, domain, c.MayBeLost)
		}
	}
	return begun, s.setEvacuated(now, next)
}

// missEvacuation ends an evacuation that a full list lacks, at once or after a while.
func (s *Set) missEvacuation(now time.Time, next, present map[string]bool, domain string, lapsing bool) {
	switch _, waits := s.evacuationEnds[domain]; {
	case present[domain]:
	case !lapsing:
		delete(next, domain)
	case !waits:
		s.evacuationEnds[domain] = now.Add(evacuationGrace)
	}
}

// tickEvacuations ends evacuations that nobody named again.
func (s *Set) tickEvacuations(now time.Time) {
	next := maps.Clone(*s.evacuated.Load())
	for domain, at := range s.evacuationEnds {
		if now.After(at) {
			delete(next, domain)
		}
	}
	s.setEvacuated(now, next)
}

// setEvacuated notes which failure domains are evacuated, and returns those that are no more.
// Their replicas may have started anew meanwhile, and count as cold.
func (s *Set) setEvacuated(now time.Time, next map[string]bool) (ended []string) {
	before := *s.evacuated.Load()
	if maps.Equal(before, next) {
		return nil
	}
	for domain := range before {
		if !next[domain] {
			ended = append(ended, domain)
			delete(s.evacuationEnds, domain)
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

// Evacuated reports whether the replicas of a failure domain are to get nothing new.
func (s *Set) Evacuated(domain string) bool { return (*s.evacuated.Load())[domain] }

// EvacuatedDomains returns the number of failure domains that are evacuated.
func (s *Set) EvacuatedDomains() int { return len(*s.evacuated.Load()) }
