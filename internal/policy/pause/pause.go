// Package pause learns how often streams of a service pause for longer than their route allows, by the
// prefill work of their replica.
//
// A replica computes prompts in chunks between the tokens of its streams. How many chunks lengthen one
// pause, and how long a chunk takes, differs between engines and is not announced. The model therefore
// learns from the longest pause of each stream, together with the prefill work that its replica had at
// the time. A prompt is then charged for the streams that it is likely to make late.
//
// The package is pure: it uses no clock, I/O, goroutine or randomness. A Model is not safe for
// concurrent use.
package pause

import (
	"math"
	"time"
)

const (
	// bucketWidth is the resolution of the prefill work, as a share of the longest allowed pause.
	bucketWidth = 0.125
	buckets     = 16
	// priorWeight is the number of streams that the assumption counts for in each bucket.
	priorWeight = 4.0
	// assumedSafe and assumedBroken are the prefill work, as shares of the longest allowed pause, up to
	// which no pause and from which each pause is assumed to be too long.
	assumedSafe   = 0.9
	assumedBroken = 1.6
	// halfLife is the half-life of observations. New weights or other engines take effect within a minute.
	halfLife = 20 * time.Second
)

// Model is the learned share of streams that pause for too long.
type Model struct {
	seen, broken [buckets]float64 // decayed numbers of streams
	decayedAt    time.Time
}

// New returns a Model without observations.
func New() *Model { return &Model{} }

// Observe records the longest pause of a stream that ended: the longest allowed pause, and the time for
// which the prefill work of its replica occupied the replica around the pause.
func (m *Model) Observe(now time.Time, longest, allowed, prefill time.Duration) {
	if allowed <= 0 || longest < 0 || prefill < 0 {
		return
	}
	m.decay(now)
	n := bucketOf(prefill, allowed)
	m.seen[n]++
	if longest > allowed {
		m.broken[n]++
	}
}

func (m *Model) decay(now time.Time) {
	elapsed := now.Sub(m.decayedAt)
	if elapsed <= 0 {
		return
	}
	if !m.decayedAt.IsZero() {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		for n := range m.seen {
			m.seen[n] *= factor
			m.broken[n] *= factor
		}
	}
	m.decayedAt = now
}

// Curve returns the learned shares for a longest allowed pause.
func (m *Model) Curve(allowed time.Duration) Curve {
	c := Curve{allowed: allowed}
	weights := [buckets]float64{}
	for n := range c.share {
		assumed := assumedShare((float64(n) + 0.5) * bucketWidth)
		weights[n] = m.seen[n] + priorWeight
		c.share[n] = (m.broken[n] + priorWeight*assumed) / weights[n]
	}
	makeMonotonic(c.share[:], weights[:])
	return c
}

// makeMonotonic replaces values by the non-decreasing ones that are closest to them by weighted squares
// (pool adjacent violators): more prefill work never shortens a pause, so that streams that bear much work
// also tell of less work that no stream was seen beside.
func makeMonotonic(values, weights []float64) {
	type pool struct {
		value, weight float64
		size          int
	}
	var pools []pool
	for n := range values {
		last := pool{values[n], weights[n], 1}
		for len(pools) > 0 && pools[len(pools)-1].value > last.value {
			before := pools[len(pools)-1]
			pools = pools[:len(pools)-1]
			weight := before.weight + last.weight
			last = pool{(before.value*before.weight + last.value*last.weight) / weight, weight, before.size + last.size}
		}
		pools = append(pools, last)
	}
	n := 0
	for _, p := range pools {
		for range p.size {
			values[n] = p.value
			n++
		}
	}
}

// assumedShare returns the share that is assumed without observations, by the prefill work as a share of the
// longest allowed pause.
func assumedShare(work float64) float64 {
	return min(1, max(0, (work-assumedSafe)/(assumedBroken-assumedSafe)))
}

// Curve gives the share of streams that pause for too long by the prefill work of their replica. The zero
// value is that of a service without a longest allowed pause.
type Curve struct {
	allowed time.Duration
	share   [buckets]float64
}

// TooLong returns the share of streams, from 0 to 1, that pause for too long beside prefill work that
// occupies their replica for the given time. It does not decrease with the work.
func (c *Curve) TooLong(prefill time.Duration) float64 {
	if c.allowed <= 0 {
		return 0
	}
	at := max(0, float64(prefill)/float64(c.allowed)/bucketWidth-0.5) // shares hold at the middles of buckets
	n := int(at)
	if n >= buckets-1 {
		return c.share[buckets-1]
	}
	return c.share[n] + (at-float64(n))*(c.share[n+1]-c.share[n])
}

// bucketOf returns the bucket of prefill work.
func bucketOf(prefill, allowed time.Duration) int {
	return int(min(buckets-1, float64(prefill)/float64(allowed)/bucketWidth))
}
