package speed

import (
	"slices"
	"time"
)

const (
	windowSize = 15
	// sampleSpacing is the least time between two samples of a window. A window of busy replicas then covers
	// 1.5 s, and a disturbance of half a second can't fill the half of it.
	sampleSpacing = 100 * time.Millisecond
	// sampleTTL is how long a sample counts. A replica that is avoided for its speed is tried again afterwards.
	sampleTTL = 20 * time.Second
	// minSamples is the number of own samples from which a replica's own speed is estimated.
	minSamples = 3
)

// sample is one measured value.
type sample struct {
	at    time.Time
	value time.Duration
}

// window holds the latest samples of one quantity, oldest first.
type window struct {
	samples []sample
}

// add records a sample, unless the latest one is too recent.
func (w *window) add(now time.Time, value time.Duration) {
	if n := len(w.samples); n > 0 && now.Sub(w.samples[n-1].at) < sampleSpacing {
		return
	}
	if len(w.samples) == windowSize {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, sample{at: now, value: value})
}

// values appends the values that count at a time.
func (w *window) values(now time.Time, to []time.Duration) []time.Duration {
	for _, s := range w.samples {
		if now.Sub(s.at) <= sampleTTL {
			to = append(to, s.value)
		}
	}
	return to
}

// expired reports whether no sample counts any more.
func (w *window) expired(now time.Time) bool {
	n := len(w.samples)
	return n == 0 || now.Sub(w.samples[n-1].at) > sampleTTL
}

// median sorts values and returns the median, the lower one of two, or zero if there are none.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
