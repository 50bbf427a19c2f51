package replicas

import (
	"sync"
	"time"
)

// limitEndTold is for how long after a replica last named a rate limit what it says is told to peers: a
// datagram is lost at times, and one that missed the end would leave the replica alone.
const limitEndTold = 2 * time.Second

// rateLimit is what was said last of how many requests a replica takes. The zero rateLimit: nothing.
type rateLimit struct {
	mu        sync.Mutex
	perSecond float64   // from all daemons together; zero: as many as come
	at        time.Time // when it was said
	named     time.Time // when a limit was named last
}

// ObserveLimit notes how many requests a second an answer of the replica says that it takes from all
// daemons together, zero for as many as come, and has peers told. It reports whether that is news.
func (r *Replica) ObserveLimit(now time.Time, perSecond float64) (changed bool) {
	changed = r.UpdateLimit(now, perSecond)
	if now.Sub(r.limit.lastNamed()) < limitEndTold {
		r.on.limit(r)
	}
	return changed
}

// UpdateLimit notes a rate limit that was told at a time, here or to a peer. It reports whether
// that is news; what is older than what is known is not.
func (r *Replica) UpdateLimit(at time.Time, perSecond float64) (changed bool) {
	l := &r.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.After(at) {
		return false
	}
	changed = l.perSecond != perSecond
	l.perSecond, l.at = perSecond, at
	if perSecond > 0 {
		l.named = at
	}
	return changed
}

// Limit returns how many requests a second the replica takes from all daemons together, and when
// that was said. Zero: as many as come.
func (r *Replica) Limit() (perSecond float64, at time.Time) {
	r.limit.mu.Lock()
	defer r.limit.mu.Unlock()
	return r.limit.perSecond, r.limit.at
}

func (l *rateLimit) lastNamed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named
}

// OnLimit has a function called when an answer to this daemon names a replica's limit, or the end
// of one. It must be set before the first Apply.
func (s *Set) OnLimit(f func(*Replica)) { s.on.limit = f }

// Limited returns the number of replicas that name a limit.
func (s *Set) Limited() int {
	limited := 0
	for _, r := range s.All() {
		if perSecond, _ := r.Limit(); perSecond > 0 {
			limited++
		}
	}
	return limited
}
