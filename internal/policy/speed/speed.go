// Package speed learns how fast each replica computes prompts and generates tokens, from the streams that
// a daemon passes on and from what its peers measured.
//
// An estimate is the median of a window of samples, so that a disturbance of a replica, of a link or of this
// process moves it little. A replica without samples is assumed to be as fast as the median of its service.
// All values outside a plausible range are dropped, whoever measured them.
//
// The package is pure: it uses no clock, I/O, goroutine or randomness. Its types are not safe for concurrent
// use.
package speed

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
)

// Key identifies one incarnation of a replica.
type Key uint64

// Service identifies the service of a replica.
type Service string

// quantity is what is measured of a replica.
type quantity int

const (
	prefill    quantity = iota // computing one prompt token
	step                       // between two events of a stream
	firstEvent                 // until the first event, besides queueing and computing the prompt
	quantities
)

// plausible are the bounds of each quantity. A value outside can't be a measurement of an engine.
var plausible = [quantities]struct{ least, most time.Duration }{
	prefill:    {2 * time.Microsecond, 5 * time.Millisecond}, // current engines take 20 µs
	step:       {100 * time.Microsecond, 2 * time.Second},
	firstEvent: {50 * time.Microsecond, 2 * time.Second},
}

func (q quantity) accepts(value time.Duration) bool {
	return value >= plausible[q].least && value <= plausible[q].most
}

func (q quantity) clamp(value time.Duration) time.Duration {
	return min(max(value, plausible[q].least), plausible[q].most)
}

// fill is how full the batch of a replica is. Some replicas slow down when their batch is nearly full.
type fill int

const (
	partlyFull fill = iota
	nearlyFull
	fills
)

// nearlyFullShare is the share of used batch slots from which a replica counts as nearly full.
const nearlyFullShare = 0.75

func fillOf(share float64) fill {
	if share >= nearlyFullShare {
		return nearlyFull
	}
	return partlyFull
}

// speeds is one value for each quantity; zero: not known.
type speeds [quantities]time.Duration

func (s speeds) asSpeed() pick.Speed {
	return pick.Speed{PrefillPerToken: s[prefill], Step: s[step], FirstEvent: s[firstEvent]}
}

func valuesOf(s pick.Speed) speeds {
	return speeds{prefill: s.PrefillPerToken, step: s.Step, firstEvent: s.FirstEvent}
}

const (
	// maxProfiles and maxServices bound of what anything is remembered.
	maxProfiles = 1024
	maxServices = 256
	// serviceTTL is how long the medians of a service are remembered without a sample, so that the first
	// requests after a quiet time are not placed by the default rate.
	serviceTTL = 10 * time.Minute
	// maxFactor bounds how far what mostly peers measured, or the ratio between two fills, may move an estimate
	// from the median of the service.
	maxFactor = 4
	// cacheTTL is how long estimates and medians of services are reused.
	cacheTTL = 100 * time.Millisecond
)

// Profiles holds what is known of the replicas' speeds.
type Profiles struct {
	replicas map[Key]*profile
	services map[Service]*service
}

// service holds the replicas of one service and their medians.
type service struct {
	members    map[Key]*profile
	medians    [fills]speeds // the last known ones
	line       line
	intercept  time.Duration // of line
	computedAt time.Time
	usedAt     time.Time // when it had a replica last
}

// NewProfiles returns Profiles that know nothing.
func NewProfiles() *Profiles {
	return &Profiles{replicas: map[Key]*profile{}, services: map[Service]*service{}}
}

// Of returns the estimated speed of a replica whose batch is filled to a share of its slots.
func (p *Profiles) Of(now time.Time, key Key, id Service, filled float64) pick.Speed {
	s := p.services[id]
	if s == nil {
		return pick.Speed{}
	}
	s.refresh(now)
	r := s.members[key]
	if r != nil {
		r.refresh(now)
	}
	var out speeds
	for q := range quantities {
		out[q] = s.estimate(r, q, fillOf(filled))
	}
	return out.asSpeed()
}

// Typical returns the median speed of a service's replicas whose batches are not nearly full.
func (p *Profiles) Typical(now time.Time, id Service) pick.Speed {
	s := p.services[id]
	if s == nil {
		return pick.Speed{}
	}
	s.refresh(now)
	return s.medians[partlyFull].asSpeed()
}

// estimate returns the best estimate of one quantity; r is nil if nothing is known of the replica.
func (s *service) estimate(r *profile, q quantity, at fill) time.Duration {
	if value := s.measured(r, q, at); value > 0 {
		return value
	}
	other := nearlyFull - at
	typical, otherTypical := s.medians[at][q], s.medians[other][q]
	value := s.measured(r, q, other)
	switch {
	case value > 0 && typical > 0 && otherTypical > 0:
		ratio := float64(typical) / float64(otherTypical)
		return q.clamp(time.Duration(float64(value) * min(max(ratio, 1.0/maxFactor), maxFactor)))
	case value > 0:
		return value
	case typical > 0:
		return typical
	case otherTypical == 0 && q == firstEvent:
		return s.intercept
	}
	return otherTypical
}

// measured returns what was measured of a replica at a fill, zero if that is too little.
func (s *service) measured(r *profile, q quantity, at fill) time.Duration {
	if r == nil {
		return 0
	}
	value, typical := r.combined[at][q], s.medians[at][q]
	if value == 0 || typical == 0 || r.counts[at][q] >= minSamples {
		return value
	}
	return min(max(value, typical/maxFactor), typical*maxFactor) // peers' values decide
}

// refresh computes the medians over the replicas with own samples or, if there are none, over those that
// peers measured.
func (s *service) refresh(now time.Time) {
	if !s.computedAt.IsZero() && now.Sub(s.computedAt) < cacheTTL {
		return
	}
	s.computedAt = now
	if len(s.members) > 0 {
		s.usedAt = now
	}
	for _, r := range s.members {
		r.refresh(now)
	}
	s.intercept = 0
	if value := s.line.intercept(); firstEvent.accepts(value) {
		s.intercept = value
	}
	for at := range fills {
		for q := range quantities {
			if value := s.median(q, at); value > 0 {
				s.medians[at][q] = value
			}
		}
	}
}

// median returns the median of one quantity, or zero if there are too few samples: a single one may belong to a
// prompt that was cached after all.
func (s *service) median(q quantity, at fill) time.Duration {
	var own, combined []time.Duration
	samples := 0
	for _, r := range s.members {
		samples += r.counts[at][q]
		if value := r.own[at][q]; value > 0 {
			own = append(own, value)
		}
		if value := r.combined[at][q]; value > 0 {
			combined = append(combined, value)
		}
	}
	if samples >= minSamples {
		return median(own)
	}
	return median(combined)
}

// profileOf returns the profile of a replica and creates it if needed. It returns nil if there are too many.
func (p *Profiles) profileOf(key Key, id Service) *profile {
	if r := p.replicas[key]; r != nil {
		return r
	}
	if len(p.replicas) >= maxProfiles {
		return nil
	}
	s := p.services[id]
	if s == nil {
		if len(p.services) >= maxServices {
			return nil
		}
		s = &service{members: map[Key]*profile{}}
		p.services[id] = s
	}
	r := &profile{service: id}
	p.replicas[key], s.members[key] = r, r
	return r
}

// Prune drops the replicas that keep rejects and those without a sample that still counts, and services that
// have had none for long.
func (p *Profiles) Prune(now time.Time, keep func(Key) bool) {
	for key, r := range p.replicas {
		if keep(key) && !r.expired(now) {
			continue
		}
		delete(p.replicas, key)
		delete(p.services[r.service].members, key)
	}
	for id, s := range p.services {
		s.refresh(now)
		if len(s.members) == 0 && now.Sub(s.usedAt) > serviceTTL {
			delete(p.services, id)
		}
	}
}

// Services returns the services of which something is known, in order.
func (p *Profiles) Services() []Service {
	out := make([]Service, 0, len(p.services))
	for id := range p.services {
		out = append(out, id)
	}
	slices.SortFunc(out, cmp.Compare[Service])
	return out
}
