// Package monotime provides points in time that goroutines can share and that adjustments of
// the wall clock do not move.
//
// An Instant is stored as the monotonic time since the start of the process. If it were stored
// as Unix time and the clock were set back by two seconds, a replica that loads weights for half
// a second would get no requests for two and a half; if the clock were set ahead, requests would
// be sent to a replica that still refuses them.
package monotime

import (
	"sync/atomic"
	"time"
)

// processStart is the reference point from which instants are counted.
var processStart = time.Now()

// Instant is a settable point in time. The zero value is unset and counts as past. It is safe
// for concurrent use.
type Instant struct {
	offset atomic.Int64 // nanoseconds after processStart; zero only while unset
}

func sinceStart(t time.Time) int64 {
	if n := int64(t.Sub(processStart)); n != 0 {
		return n
	}
	return 1
}

// Set sets the instant to t. The zero time unsets it.
func (m *Instant) Set(t time.Time) {
	if t.IsZero() {
		m.offset.Store(0)
		return
	}
	m.offset.Store(sinceStart(t))
}

// Extend sets the instant to t unless it is later than t already.
func (m *Instant) Extend(t time.Time) {
	next := sinceStart(t)
	for {
		current := m.offset.Load()
		if current != 0 && current >= next || m.offset.CompareAndSwap(current, next) {
			return
		}
	}
}

// After reports whether the instant is set and later than now.
func (m *Instant) After(now time.Time) bool {
	offset := m.offset.Load()
	return offset != 0 && sinceStart(now) < offset
}

// Time returns the instant and whether it is set.
func (m *Instant) Time() (time.Time, bool) {
	offset := m.offset.Load()
	return processStart.Add(time.Duration(offset)), offset != 0
}
