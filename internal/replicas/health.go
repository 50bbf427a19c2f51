package replicas

import (
	"math"
	"sync"
	"time"
)

const (
	// failureWeight is the weight of the newest answer in the moving error rate. About the last eight
	// answers count.
	failureWeight = 0.12
	// minBackoff is how long an unreachable replica is avoided at first; each consecutive failure doubles
	// the time. A restart takes seconds, a brief connection loss less than one.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// backoffThreshold is the number of consecutive failures after which a replica backs off. A single
	// failure may be a connection that the replica had closed.
	backoffThreshold = 2
)

// Health is the recent health of a replica. It is safe for concurrent use.
type Health struct {
	mu           sync.Mutex
	rate         float64 // moving share of failed requests
	samples      int
	failures     int // consecutive failures to connect or to get an answer
	backoffUntil time.Time
	trial        bool // the single request after a backoff is in flight
	down         bool // it accepts no connections; only a successful probe or an answer clears this
	confirmed    bool // down was observed by this daemon, not only reported by a peer
	probing      bool // a probe is in flight
}

// RecordAnswer records an answer of the replica; failed is set if it was the replica's own error.
func (h *Health) RecordAnswer(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures, h.trial, h.backoffUntil, h.down, h.confirmed = 0, false, time.Time{}, false, false
	h.record(failed)
}

// RecordFailure records that the replica could not be reached, or broke off its answer.
func (h *Health) RecordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	h.trial = false
	h.record(true)
	if h.failures >= backoffThreshold {
		h.backOff(now)
	}
}

// RecordDown records that the replica accepts no connections, and reports whether the state changed. The
// replica gets no requests until a probe succeeds. Otherwise each daemon would use callers' requests to
// find out, again and again, that the replica is still down.
func (h *Health) RecordDown(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(true)
	h.trial, h.confirmed = false, true
	if h.down {
		return false
	}
	h.down, h.failures = true, backoffThreshold
	h.backoffUntil = now.Add(minBackoff)
	return true
}

// Suspect records a peer's report that the replica accepts no connections. The replica gets no requests
// until this daemon's own probe succeeds. Suspect reports whether the caller must start that probe.
func (h *Health) Suspect() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return false
	}
	h.down, h.probing, h.failures = true, true, max(h.failures, backoffThreshold)
	return true
}

// ProbeDue reports whether a probe is due, and if so marks it as started.
func (h *Health) ProbeDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down || h.probing || now.Before(h.backoffUntil) {
		return false
	}
	h.probing = true
	return true
}

// RetryNow ends the backoff. If pathWasLost, the replica no longer counts as confirmed down: the connections to it failed for
// a reason that lies with this daemon.
func (h *Health) RetryNow(pathWasLost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backoffUntil, h.confirmed = time.Time{}, h.confirmed && !pathWasLost
}

// Down reports whether the replica is known or suspected to accept no connections.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// ConfirmedDown reports whether this daemon itself found that the replica accepts no connections, and has
// not connected since.
func (h *Health) ConfirmedDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// RecordProbe records the result of a probe.
func (h *Health) RecordProbe(now time.Time, connected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
	if connected {
		h.down, h.confirmed, h.failures, h.backoffUntil = false, false, 0, time.Time{}
		return
	}
	if !h.down {
		return // the replica has answered since the probe began
	}
	h.confirmed = true
	h.failures++
	h.backOff(now)
}

// backOff avoids the replica for a time that doubles with each consecutive failure.
func (h *Health) backOff(now time.Time) {
	backoff := minBackoff << min(h.failures-backoffThreshold, 8)
	h.backoffUntil = now.Add(min(backoff, maxBackoff))
}

// RecordAbandoned records that a request was cancelled before the replica sent anything.
func (h *Health) RecordAbandoned() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trial = false
}

func (h *Health) record(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	h.samples++
	h.rate += max(failureWeight, 1/float64(h.samples)) * (value - h.rate)
}

// BackingOff reports whether the replica gets no requests now. After the backoff one request at a time is
// sent to it until one is answered. A replica that accepted no connection is probed first.
func (h *Health) BackingOff(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return true
	}
	if h.failures < backoffThreshold {
		return false
	}
	return now.Before(h.backoffUntil) || h.trial
}

// BeginAttempt records that a request is about to be sent.
func (h *Health) BeginAttempt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trial = h.failures >= backoffThreshold
}

// ErrorRate returns the moving share of failures. With few samples it is scaled towards zero.
func (h *Health) ErrorRate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	const minSamples = 6 // samples from which the rate is not scaled
	return h.rate * math.Min(1, float64(h.samples)/minSamples)
}
