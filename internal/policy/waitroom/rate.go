package waitroom

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which older starts lose weight.
	rateWindow = 2 * time.Second
	// minObservation is the time for which something must have waited before the rate counts.
	minObservation = 200 * time.Millisecond
	// minRate is the rate, in tokens a second, below which nothing is known about the wait.
	minRate = 1
)

// rateMeter measures the rate at which waiting work is started, in tokens a second. It only counts the
// time during which something waits that no later request has passed: otherwise demand limits the starts,
// not room.
type rateMeter struct {
	tokens, seconds float64 // decayed
	at              time.Time
}

// advance counts the time until now, during which something waited or not.
func (m *rateMeter) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(m.at).Seconds()
	if !m.at.IsZero() && elapsed <= 0 {
		return
	}
	if !m.at.IsZero() && waiting {
		kept := math.Exp(-elapsed / rateWindow.Seconds())
		m.tokens *= kept
		m.seconds = m.seconds*kept + elapsed
	}
	m.at = now
}

// start counts work that is started.
func (m *rateMeter) start(cost int64) { m.tokens += float64(cost) }

// rate returns the rate in tokens a second, and false if too little has been observed.
func (m *rateMeter) rate() (float64, bool) {
	if m.seconds < minObservation.Seconds() {
		return 0, false
	}
	rate := m.tokens / m.seconds
	return rate, rate >= minRate
}
