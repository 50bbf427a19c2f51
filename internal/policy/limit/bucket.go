package limit

import "time"

// bucket is a token bucket. Its level may become negative when it is overdrawn, and
// then refills from below zero.
type bucket struct {
	level    float64
	filledAt time.Time
}

func (b *bucket) fill(now time.Time, rate, size float64) {
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.filledAt = now
	}
	b.level = min(b.level, size)
}

// timeToReach returns the time until the bucket reaches a level, at most one hour.
func (b *bucket) timeToReach(level, rate float64) time.Duration {
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
