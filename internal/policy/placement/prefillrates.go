package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// rateSmoothing is the weight of a new measurement in a learned rate.
	rateSmoothing = 0.2
	// maxRateStep bounds the factor by which a single measurement may differ from the
	// learned rate; larger differences are clamped.
	maxRateStep = 4
	// minMeasuredTokens excludes prefills that are too short to measure the rate.
	minMeasuredTokens = 256
)

// PrefillRates learns the prefill rate of each target.
type PrefillRates struct {
	start float64
	rates map[request.TargetID]float64
}

// NewPrefillRates returns rates that start at the given number of tokens per second, or
// at the default if it is zero.
func NewPrefillRates(start float64) *PrefillRates {
	if start <= 0 {
		start = defaultPrefillRate
	}
	return &PrefillRates{start: start, rates: map[request.TargetID]float64{}}
}

// PrefillRate returns a target's rate in tokens per second.
func (c *PrefillRates) PrefillRate(target request.TargetID) float64 {
	if r, ok := c.rates[target]; ok {
		return r
	}
	return c.start
}

// ObservePrefill updates a target's rate from a prefill of tokens that took elapsed,
// queueing excluded.
func (c *PrefillRates) ObservePrefill(target request.TargetID, tokens int, elapsed time.Duration) {
	if tokens < minMeasuredTokens || elapsed <= 0 {
		return
	}
	c.rates[target] = smoothRate(c.PrefillRate(target), float64(tokens)/elapsed.Seconds())
}

// Forget drops the rate of a target that was removed.
func (c *PrefillRates) Forget(target request.TargetID) { delete(c.rates, target) }

// smoothRate moves a rate towards a measurement.
func smoothRate(rate, measured float64) float64 {
	measured = min(max(measured, rate/maxRateStep), rate*maxRateStep)
	return rate + rateSmoothing*(measured-rate)
}
