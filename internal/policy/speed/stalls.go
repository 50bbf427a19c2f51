package speed

import "time"

const (
	// BeatInterval is the interval at which Stalls.Beat is called.
	BeatInterval = 100 * time.Millisecond
	// maxBeatGap is the time between two beats from which the process counts as paused. Timers of a busy
	// VM are late by some ten milliseconds.
	maxBeatGap = 250 * time.Millisecond
	maxPauses  = 8 // remembered
)

// Stalls remembers when this process did not run. Measurements during such a time say nothing about replicas.
type Stalls struct {
	lastBeat time.Time
	recent   []pause
}

type pause struct{ from, to time.Time }

// Beat records that the process runs.
func (p *Stalls) Beat(now time.Time) {
	if !p.lastBeat.IsZero() && now.Sub(p.lastBeat) > maxBeatGap {
		if len(p.recent) == maxPauses {
			p.recent = p.recent[1:]
		}
		p.recent = append(p.recent, pause{from: p.lastBeat, to: now})
	}
	p.lastBeat = now
}

// Overlap reports whether the process was paused between two times. The second may be later than the last
// beat: after a pause, other work may run before the beat.
func (p *Stalls) Overlap(from, to time.Time) bool {
	if !p.lastBeat.IsZero() && to.Sub(p.lastBeat) > maxBeatGap {
		return true
	}
	for _, o := range p.recent {
		if from.Before(o.to) && to.After(o.from) {
			return true
		}
	}
	return false
}
