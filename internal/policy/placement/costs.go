package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// newShare is the weight of a new measurement in a learned rate.
	newShare = 0.2
	// maxStep bounds how far one measurement can pull a rate, up or down.
	maxStep = 4
	// minMeasuredTokens keeps out prefills too short to tell the rate.
	minMeasuredTokens = 256
)

// PrefillRates learns how fast targets prefill.
type PrefillRates struct {
	start float64
	rates map[request.TargetID]float64
}

// NewPrefillRates returns Costs that start with a rate in tokens a second; zero: the default.
func NewPrefillRates(start float64) *PrefillRates {
	if start <= 0 {
		start = defaultPrefillRate
	}
	return &PrefillRates{start: start, rates: map[request.TargetID]float64{}}
}

// PrefillRate returns a target's rate in tokens a second.
func (c *PrefillRates) PrefillRate(target request.TargetID) float64 {
	if r, ok := c.rates[target]; ok {
		return r
	}
	return c.start
}

// ObservePrefill learns from a prefill of tokens that took elapsed, queueing excluded.
func (c *PrefillRates) ObservePrefill(target request.TargetID, tokens int, elapsed time.Duration) {
	if tokens < minMeasuredTokens || elapsed <= 0 {
		return
	}
	c.rates[target] = learn(c.PrefillRate(target), float64(tokens)/elapsed.Seconds())
}

// Forget drops what was learned about a target that left.
func (c *PrefillRates) Forget(target request.TargetID) { delete(c.rates, target) }

// learn moves a rate towards a measurement.
func learn(rate, measured float64) float64 {
	measured = min(max(measured, rate/maxStep), rate*maxStep)
	return rate + newShare*(measured-rate)
}
