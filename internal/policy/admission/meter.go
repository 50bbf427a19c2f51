package admission

import "time"

const (
	meterWindow     = time.Second            // length of one measurement
	meterMinWindow  = 200 * time.Millisecond // shorter measurements are discarded
	meterGain       = 0.3                    // weight of a new measurement
	meterFloorShare = 0.01                   // lowest rate, as a share of the initial rate
)

// meter measures the tokens a second that a saturated target serves. An unsaturated
// target would show the demand instead of its service rate.
type meter struct {
	rate     float64
	meanCost float64 // mean tokens per request
	floor    float64
	since    time.Time // start of the measurement; zero if none
	tokens   int64
}

func newMeter(start float64) meter {
	return meter{rate: start, floor: start * meterFloorShare}
}

// observe records whether the target is saturated from now on, and starts and ends
// measurements accordingly.
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
	if elapsed >= meterMinWindow {
		measured := float64(m.tokens) / elapsed.Seconds()
		m.rate = max(m.floor, m.rate+meterGain*(measured-m.rate))
	}
	m.since, m.tokens = time.Time{}, 0
	if saturated {
		m.since = now
	}
}

func (m *meter) addServed(tokens int64) {
	if !m.since.IsZero() {
		m.tokens += tokens
	}
	if m.meanCost == 0 {
		m.meanCost = float64(tokens)
		return
	}
	m.meanCost += meterGain * (float64(tokens) - m.meanCost)
}
