package admission

import "time"

const (
	meterWindow   = time.Second            // length of one measurement
	meterShortest = 200 * time.Millisecond // shortest one that counts
	meterGain     = 0.3                    // weight of a new measurement
	meterFloor    = 0.01                   // lowest rate, as a share of the start
)

// meter measures the tokens a second that a saturated target serves. An idle one
// would show its demand instead of its speed.
type meter struct {
	rate     float64
	meanCost float64 // tokens of one request
	floor    float64
	since    time.Time // start of the measurement; zero: none
	tokens   int64
}

func newMeter(start float64) meter {
	return meter{rate: start, floor: start * meterFloor}
}

// observe is told whether the target is saturated from now on.
func (m *meter) observe(now time.Time, saturated bool) {
	if m.since.IsZero() {
		if saturated {
			m.since, m.tokens = now, 0
		}
		return
	}
	elapsed := now.Sub(m.since)
	if saturated && elapsed < meterWindow {
		return
	}
	if elapsed >= meterShortest {
		measured := float64(m.tokens) / elapsed.Seconds()
		m.rate = max(m.floor, m.rate+meterGain*(measured-m.rate))
	}
	m.since, m.tokens = time.Time{}, 0
	if saturated {
		m.since = now
	}
}

func (m *meter) served(tokens int64) {
	if !m.since.IsZero() {
		m.tokens += tokens
	}
	if m.meanCost == 0 {
		m.meanCost = float64(tokens)
		return
	}
	m.meanCost += meterGain * (float64(tokens) - m.meanCost)
}
