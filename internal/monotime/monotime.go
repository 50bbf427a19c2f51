// Package monotime holds moments that several goroutines share and that setting the clock does
// not move.
//
// The failure: a moment kept as Unix time. The clock is set back by two seconds, and a replica
// that loads weights for half a second is left alone for two and a half; it is set ahead, and
// requests go to a replica that refuses them. Why the guard holds: a moment is kept as the
// time since the process began, by the clock that only runs forward.
package monotime

import (
	"sync/atomic"
	"time"
)

// began is any moment of this process: times are counted from it.
var began = time.Now()

// Instant is a time that may be set. Zero, it has never been set and lies in the past. It is
// safe for concurrent use.
type Instant struct {
	since atomic.Int64 // nanoseconds after began, never zero once set
}

func sinceBegan(t time.Time) int64 {
	if n := int64(t.Sub(began)); n != 0 {
		return n
	}
	return 1
}

// Set sets the moment. The zero time unsets it.
func (m *Instant) Set(t time.Time) {
	if t.IsZero() {
		m.since.Store(0)
		return
	}
	m.since.Store(sinceBegan(t))
}

// Extend sets the moment unless it is later already.
func (m *Instant) Extend(t time.Time) {
	next := sinceBegan(t)
	for {
		known := m.since.Load()
		if known != 0 && known >= next || m.since.CompareAndSwap(known, next) {
			return
		}
	}
}

// After reports whether the moment has not come yet.
func (m *Instant) After(now time.Time) bool {
	since := m.since.Load()
	return since != 0 && sinceBegan(now) < since
}

// Time returns the moment and whether it was ever set.
func (m *Instant) Time() (time.Time, bool) {
	since := m.since.Load()
	return began.Add(time.Duration(since)), since != 0
}
