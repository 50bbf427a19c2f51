package speed

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
)

const (
	// reportChange is the relative change of a value that is worth a report to peers.
	reportChange = 0.15
	// reportInterval is how often an unchanged speed is reported. It is shorter than the time for which
	// peers use a report, and longer than a disturbance.
	reportInterval    = 10 * time.Second
	minReportInterval = time.Second // of one replica

	// A replica counts as slow or fast from turnFactor, and as normal again within returnFactor, of its
	// service's median.
	turnFactor   = 1.6
	returnFactor = 1.3
	// minTurnInterval bounds how often a change of one replica's pace is told.
	minTurnInterval = 5 * time.Second
)

// Measured is the speed of a replica as this daemon alone measured it.
type Measured struct {
	Key   Key
	Speed pick.Speed
}

// Due returns at most limit speeds that peers should be told now, and assumes that they are. Those that were
// told longest ago come first.
func (p *Profiles) Due(now time.Time, limit int) []Measured {
	var due []Key
	for key, r := range p.replicas {
		if r.reportDue(now) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b Key) int {
		return cmp.Or(p.replicas[a].sentAt.Compare(p.replicas[b].sentAt), cmp.Compare(a, b))
	})
	out := make([]Measured, min(len(due), limit))
	for i, key := range due[:len(out)] {
		r := p.replicas[key]
		r.sent, r.sentAt = r.measured(), now
		out[i] = Measured{Key: key, Speed: r.sent.asSpeed()}
	}
	return out
}

// reportDue reports whether peers should be told the replica's speed.
func (r *profile) reportDue(now time.Time) bool {
	age := now.Sub(r.sentAt)
	if !r.sentAt.IsZero() && age < minReportInterval {
		return false
	}
	r.refresh(now)
	values := r.measured()
	if values == (speeds{}) {
		return false
	}
	if r.sentAt.IsZero() || age >= reportInterval {
		return true
	}
	for q := range quantities {
		if differs(values[q], r.sent[q]) {
			return true
		}
	}
	return false
}

// measured returns what enough own samples show.
func (r *profile) measured() speeds {
	var out speeds
	for q := range quantities {
		if r.counts[partlyFull][q] >= minSamples {
			out[q] = r.own[partlyFull][q]
		}
	}
	return out
}

func differs(a, b time.Duration) bool {
	return float64((a - b).Abs()) > reportChange*float64(max(a, b))
}

// Pace compares a replica with its service.
type Pace int

// The paces of a replica.
const (
	Normal Pace = iota
	Slow
	Fast
)

func (p Pace) String() string { return [...]string{"normal", "slow", "fast"}[p] }

// Turn is a change of a replica's pace.
type Turn struct {
	Key     Key
	Service Service
	Pace    Pace
	Speed   pick.Speed
	Typical pick.Speed // the median of its service
}

// Turned returns the replicas whose pace changed since the last call.
func (p *Profiles) Turned(now time.Time) []Turn {
	var out []Turn
	for key, r := range p.replicas {
		s := p.services[r.service]
		s.refresh(now)
		pace := s.paceOf(r)
		if pace == r.pace || !r.turned.IsZero() && now.Sub(r.turned) < minTurnInterval {
			continue
		}
		r.pace, r.turned = pace, now
		out = append(out, Turn{
			Key: key, Service: r.service, Pace: pace,
			Speed: p.Of(now, key, r.service, 0), Typical: s.medians[partlyFull].asSpeed(),
		})
	}
	slices.SortFunc(out, func(a, b Turn) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// paceOf compares a replica's prefill and steps, whichever differ more, with its service's medians.
func (s *service) paceOf(r *profile) Pace {
	pace := Normal
	for _, q := range []quantity{prefill, step} {
		value, typical := s.measured(r, q, partlyFull), s.medians[partlyFull][q]
		if value == 0 || typical == 0 {
			continue
		}
		ratio := float64(value) / float64(typical)
		switch {
		case ratio > turnFactor || r.pace == Slow && ratio > returnFactor:
			return Slow
		case ratio < 1/turnFactor || r.pace == Fast && ratio < 1/returnFactor:
			pace = Fast
		}
	}
	return pace
}

// PaceOf returns the pace that Turned told last.
func (p *Profiles) PaceOf(key Key) Pace {
	if r := p.replicas[key]; r != nil {
		return r.pace
	}
	return Normal
}

// SlowReplicas returns the number of a service's replicas whose pace is Slow.
func (p *Profiles) SlowReplicas(id Service) int {
	n := 0
	if s := p.services[id]; s != nil {
		for _, r := range s.members {
			if r.pace == Slow {
				n++
			}
		}
	}
	return n
}
