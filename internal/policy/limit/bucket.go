package limit

import "time"

// bucket fills at a rate up to a size. It may be overdrawn, and then fills from
// below zero.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) fill(now time.Time, rate, size float64) {
	if b.at.IsZero() {
		b.at = now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, size)
}

// until returns how long the bucket takes to reach a level.
func (b *bucket) until(level, rate float64) time.Duration {
	missing := level - b.level
	if missing <= 0 {
		return 0
	}
	seconds := missing / rate
	if seconds > time.Hour.Seconds() {
		return time.Hour
	}
	return time.Duration(seconds * float64(time.Second))
}
