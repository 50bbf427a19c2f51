package replicas

import (
	"math"
	"sync"
	"time"
)

const (
	// failureWeight is the part of the newest answer in the moving error rate: about the
	// last eight answers count.
	failureWeight = 0.12
	// firstRest is how long a replica that can't be reached is left alone; each failure
	// in a row doubles it. A restart takes seconds, a flap under one.
	firstRest = 300 * time.Millisecond
	maxRest   = 3 * time.Second
	// restAfter is how many failures in a row make a replica rest. One may be a
	// connection that its peer closed.
	restAfter = 2
)

// Health is how a replica answered lately. It is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	rate    float64 // moving share of failed requests
	samples int
	row     int // failures in a row to reach it or hear from it
	until   time.Time
	trial   bool // the one request after a rest is under way
	down    bool // it accepts no connection; only a probe that gets one ends that
	found   bool // of down: this daemon found it itself, and has not only a peer's word
	probing bool // a probe is under way
}

// RecordAnswer notes an answer of the replica; failed says that it was an error of its own.
func (h *Health) RecordAnswer(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row, h.trial, h.until, h.down, h.found = 0, false, time.Time{}, false, false
	h.note(failed)
}

// RecordFailure notes that the replica could not be reached, or broke off.
func (h *Health) RecordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row++
	h.trial = false
	h.note(true)
	if h.row >= restAfter {
		h.rest(now)
	}
}

// RecordDown notes that the replica accepts no connection, and reports whether that is news. It
// gets no requests until a probe got a connection: else each daemon would find out with a
// caller's request again and again that a replica is still dark.
func (h *Health) RecordDown(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(true)
	h.trial, h.found = false, true
	if h.down {
		return false
	}
	h.down, h.row = true, restAfter
	h.until = now.Add(firstRest)
	return true
}

// Suspect notes a peer's word that the replica accepts no connection: it gets no requests
// until a probe of our own got one. It reports whether that probe is to be made.
func (h *Health) Suspect() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return false
	}
	h.down, h.probing, h.row = true, true, max(h.row, restAfter)
	return true
}

// ProbeDue reports whether a probe is to be made now, and takes it for made.
func (h *Health) ProbeDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down || h.probing || now.Before(h.until) {
		return false
	}
	h.probing = true
	return true
}

// ConfirmedDown reports whether this daemon itself found that the replica accepts no connection, and
// has got none since.
func (h *Health) ConfirmedDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.found
}

// RecordProbe notes the outcome of a probe.
func (h *Health) RecordProbe(now time.Time, connected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
	if connected {
		h.down, h.found, h.row, h.until = false, false, 0, time.Time{}
		return
	}
	h.found = true
	h.row++
	h.rest(now)
}

// rest leaves the replica alone for a time that doubles with each failure in a row.
func (h *Health) rest(now time.Time) {
	rest := firstRest << min(h.row-restAfter, 8)
	h.until = now.Add(min(rest, maxRest))
}

// RecordAbandoned says that a request was given up before the replica showed anything.
func (h *Health) RecordAbandoned() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trial = false
}

func (h *Health) note(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	h.samples++
	h.rate += max(failureWeight, 1/float64(h.samples)) * (value - h.rate)
}

// BackingOff reports whether the replica is left alone now. After its rest one request at a
// time tries it until one is answered; one that accepted no connection is probed first.
func (h *Health) BackingOff(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return true
	}
	if h.row < restAfter {
		return false
	}
	return now.Before(h.until) || h.trial
}

// BeginAttempt says that a request is about to be sent.
func (h *Health) BeginAttempt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trial = h.row >= restAfter
}

// ErrorRate returns the moving share of failures, pulled towards zero while few answers
// are known.
func (h *Health) ErrorRate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	const sure = 6 // answers from which the rate is taken as it is
	return h.rate * math.Min(1, float64(h.samples)/sure)
}
