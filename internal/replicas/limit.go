package replicas

import (
	"sync"
	"time"
)

// limitEndRepeat is how long after a replica last reported a rate limit its answers are still sent to
// peers. Datagrams may be lost, and a peer that missed the end of the limit would avoid the replica.
const limitEndRepeat = 2 * time.Second

// rateLimit is the last reported rate limit of a replica. The zero value means that none was reported.
type rateLimit struct {
	mu         sync.Mutex
	perSecond  float64   // requests from all daemons together; zero: unlimited
	reportedAt time.Time // time of the report
	limitedAt  time.Time // time of the last report of a nonzero limit
}

// ObserveLimit records the rate limit that an answer of the replica reports, in requests a second from
// all daemons together, zero if it is unlimited. It notifies the listener, and reports whether the
// limit changed.
func (r *Replica) ObserveLimit(now time.Time, perSecond float64) (changed bool) {
	changed = r.UpdateLimit(now, perSecond)
	if now.Sub(r.limit.lastLimitedAt()) < limitEndRepeat {
		r.listeners.limit(r)
	}
	return changed
}

// UpdateLimit records a rate limit that was reported at the given time, to this daemon or to a peer. It
// ignores reports that are older than the last one, and reports whether the limit changed.
func (r *Replica) UpdateLimit(at time.Time, perSecond float64) (changed bool) {
	l := &r.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportedAt.After(at) {
		return false
	}
	changed = l.perSecond != perSecond
	l.perSecond, l.reportedAt = perSecond, at
	if perSecond > 0 {
		l.limitedAt = at
		r.tracked.limited.add(r)
	}
	return changed
}

// Limit returns how many requests a second the replica accepts from all daemons together, zero if it is
// unlimited, and when it reported that.
func (r *Replica) Limit() (perSecond float64, at time.Time) {
	r.limit.mu.Lock()
	defer r.limit.mu.Unlock()
	return r.limit.perSecond, r.limit.reportedAt
}

func (l *rateLimit) lastLimitedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limitedAt
}

// OnLimit registers a function that is called when an answer to this daemon reports a replica's rate limit
// or its end. It must be called before the first Apply.
func (s *Set) OnLimit(f func(*Replica)) { s.listeners.limit = f }

// Limited returns the number of replicas with a rate limit.
func (s *Set) Limited() int {
	limited := 0
	for _, r := range s.tracked.limited.list() {
		holds := s.tracked.limited.retainIf(r, func() bool {
			perSecond, _ := r.Limit()
			return s.Get(r.id) == r && perSecond > 0
		})
		if holds && !r.Info().Leaving {
			limited++
		}
	}
	return limited
}
