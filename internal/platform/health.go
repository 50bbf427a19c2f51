package platform

import (
	"sort"
	"sync"
	"time"
)

const (
	healthWindow    = 16 // recent calls taken into account
	healthDownAfter = 3  // consecutive failed calls
)

// healthTracker derives the health of the key-value service from recent calls. A single
// failure does not count as an outage and a single late response does not count as slowness.
type healthTracker struct {
	slowAfter time.Duration

	mu       sync.Mutex
	recent   []time.Duration // durations of successful calls
	failures int             // consecutive
}

func (h *healthTracker) observe(took time.Duration, responded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !responded {
		h.failures++
		return
	}
	h.failures = 0
	h.recent = append(h.recent, took)
	if len(h.recent) > healthWindow {
		h.recent = h.recent[1:]
	}
}

func (h *healthTracker) health() Health {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures >= healthDownAfter {
		return HealthDown
	}
	if len(h.recent) == 0 {
		return HealthFine
	}
	sorted := append([]time.Duration(nil), h.recent...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	if sorted[len(sorted)/2] > h.slowAfter {
		return HealthSlow
	}
	return HealthFine
}
