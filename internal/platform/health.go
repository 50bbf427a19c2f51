package platform

import (
	"sort"
	"sync"
	"time"
)

const (
	healthWindow    = 16 // calls looked at
	healthDownAfter = 3  // failed calls in a row
)

// healthTracker judges the service from recent calls. A single failure is not an
// outage and a single late answer is not slowness.
type healthTracker struct {
	slowAfter time.Duration

	mu       sync.Mutex
	recent   []time.Duration // of calls that answered
	failures int             // in a row
}

func (h *healthTracker) observe(took time.Duration, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !answered {
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
