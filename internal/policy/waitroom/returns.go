package waitroom

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
)

const (
	// MinRetryAfter is the shortest time after which a refused caller is told to return, unless its own
	// time is shorter.
	MinRetryAfter = 50 * time.Millisecond
	// shortestRetryAfter applies to callers with no time left. Zero would mean that there is no advice.
	shortestRetryAfter = time.Millisecond
	// callerDivisor: a caller follows a Retry-After of up to 1/callerDivisor of its remaining time.
	callerDivisor = 3
	// unknownRetryAfter is the longest Retry-After while the rate of starts is unknown.
	unknownRetryAfter = 600 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of callers that stated no timeout.
	maxRetryAfter = 10 * time.Second
	// goldenRatio spreads successive values evenly over an interval without randomness.
	goldenRatio = 0.6180339887498949
)

// returns holds when refused callers of each priority were told to return.
type returns struct {
	until  [Priorities]time.Time // room up to this time is taken by callers of this priority or a more urgent one
	last   [Priorities]time.Time // when the last caller of this priority was told to return
	spread float64               // in [0, 1), moves by the golden ratio
}

// next returns when a refused caller should return. backlog is the cost that waits and is at least as
// urgent; rate is in tokens a second, zero if it is unknown.
func (r *returns) next(now time.Time, e *Entry, backlog int64, rate float64) time.Duration {
	limit := maxRetryAfter
	if !e.CallerUntil.IsZero() {
		limit = max(shortestRetryAfter, min(limit, e.CallerUntil.Sub(now)/callerDivisor))
	}
	if rate <= 0 {
		return r.within(min(limit, unknownRetryAfter))
	}
	at := now.Add(fairqueue.Duration(float64(backlog), rate))
	if r.until[e.Priority].After(at) {
		at = r.until[e.Priority]
	}
	if at.Sub(now) > limit {
		return r.within(limit)
	}
	part := fairqueue.Duration(float64(e.Cost), rate)
	if r.promisedLess(e.Priority, at) {
		part *= 2
	}
	r.last[e.Priority] = at
	r.take(now, e.Priority, at.Add(part), part)
	return max(min(MinRetryAfter, limit), at.Sub(now))
}

// promisedLess reports whether callers of less urgent priorities were told to return at a time or later.
// More urgent ones then return at half the rate, so that not twice as many come as there is room for.
func (r *returns) promisedLess(priority int, at time.Time) bool {
	for p := priority + 1; p < Priorities; p++ {
		if !r.last[p].Before(at) {
			return true
		}
	}
	return false
}

// take records that a caller of a priority returns and needs room until the given time. It delays the
// callers of less urgent priorities that are told to return after it by its part of the room.
func (r *returns) take(now time.Time, priority int, until time.Time, part time.Duration) {
	latest := now.Add(maxRetryAfter)
	r.until[priority] = earlier(until, latest)
	for p := priority + 1; p < Priorities; p++ {
		next := until
		if !r.until[p].Before(until) {
			next = r.until[p].Add(part)
		}
		r.until[p] = earlier(next, latest)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// within spreads callers over the second half of an interval.
func (r *returns) within(limit time.Duration) time.Duration {
	_, r.spread = math.Modf(r.spread + goldenRatio)
	return max(shortestRetryAfter, time.Duration(float64(limit)*(1+r.spread)/2))
}
