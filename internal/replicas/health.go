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
}

// Answered notes an answer of the replica; failed says that it was an error of its own.
func (h *Health) Answered(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row, h.trial, h.until = 0, false, time.Time{}
	h.note(failed)
}

// Unreachable notes that the replica could not be reached, or broke off.
func (h *Health) Unreachable(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row++
	h.trial = false
	h.note(true)
	if h.row >= restAfter {
		rest := firstRest << min(h.row-restAfter, 8)
		h.until = now.Add(min(rest, maxRest))
	}
}

// Abandoned says that a request was given up before the replica showed anything.
func (h *Health) Abandoned() {
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

// Resting reports whether the replica is left alone now. After its rest one request at a
// time tries it until one is answered.
func (h *Health) Resting(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.row < restAfter {
		return false
	}
	return now.Before(h.until) || h.trial
}

// Try says that a request is about to be sent.
func (h *Health) Try() {
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
