package speed

import (
	"slices"
	"time"
)

const (
	historySize = 30 // medians that are remembered
	// historyInterval is the least time between two medians of a history. A disturbance of seconds is in one or two.
	historyInterval = 10 * time.Second
	// minHistory is the number of medians that one disturbance can't outweigh.
	minHistory = 3
)

// history remembers the medians of one quantity of a service over minutes. It is what the service is assumed to
// return to when it has no samples, whatever the last of them were.
type history struct {
	values    []time.Duration // oldest first
	sampled   bool            // a sample was measured since the last median
	updatedAt time.Time
}

// addSample notes a sample. Without new ones a median is not remembered again.
func (h *history) addSample(now time.Time) {
	if h.updatedAt.IsZero() {
		h.updatedAt = now
	}
	h.sampled = true
}

// update remembers a median if the interval since the last one has passed.
func (h *history) update(now time.Time, value time.Duration) {
	if !h.sampled || now.Sub(h.updatedAt) < historyInterval {
		return
	}
	if len(h.values) == historySize {
		h.values = slices.Delete(h.values, 0, 1)
	}
	h.values = append(h.values, value)
	h.sampled, h.updatedAt = false, now
}

// reference returns the median of the remembered medians, zero if they are too few.
func (h *history) reference() time.Duration {
	if len(h.values) < minHistory {
		return 0
	}
	return median(slices.Clone(h.values))
}
