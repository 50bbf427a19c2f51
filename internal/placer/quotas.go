package placer

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/policy/quota"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// startSenders is the number of senders that a daemon reckons with which does not know the
	// others yet. It then sends little to a replica with a bound, as all may that start at the
	// same moment.
	startSenders = 16
	// limitHolds is how long a replica's rate limit is taken to hold after it was told, at least, and twice
	// that at most. Later a daemon may find out with a request whether it still does: those that
	// send there may be gone or cut off, and the others would never hear of its end.
	limitHolds = 10 * time.Second
	// paceKept is how long it is remembered what was sent to a replica without a bound: as long
	// as any window of one that may begin. boundPaceKept is longer than any share's window.
	paceKept      = 5 * time.Second
	boundPaceKept = 10 * time.Minute
)

// Quotas keeps this daemon to its share of the requests that replicas bear. It is safe for
// concurrent use.
type Quotas struct {
	Self string // this daemon's name
	// Users returns the names of the daemons that use a replica; empty: they are not known yet.
	Users func(*replicas.Replica) []string
	// ColdLimits returns what one cold replica of a service bears, Limited what one does that named a
	// rate limit.
	ColdLimits func(routing.ServiceID) quota.Limits
	RateLimits func(perSecond float64) quota.Limits

	mu    sync.Mutex
	paces map[*replicas.Replica]*quota.Pace
}

// bound is what a replica bears, as known now.
type bound struct {
	limits quota.Limits
	stale  bool // it may hold no more
}

// Ready reports whether a replica may get a request of this daemon now.
func (q *Quotas) Ready(now time.Time, r *replicas.Replica) bool {
	if q == nil {
		return true
	}
	shares, sends := q.shares(now, r)
	if !sends || len(shares) == 0 {
		return sends
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.allow(now, r, shares)
}

// Take takes leave to send a request to a replica now, and reports whether there is any.
func (q *Quotas) Take(now time.Time, r *replicas.Replica) bool {
	if q == nil {
		return true
	}
	shares, sends := q.shares(now, r)
	if !sends {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.allow(now, r, shares) {
		return false
	}
	q.pace(r).Sent(now) // without a bound, too: one that begins counts what went before
	return true
}

// allow reports whether this daemon's shares leave room for a request.
func (q *Quotas) allow(now time.Time, r *replicas.Replica, shares []quota.Share) bool {
	for _, share := range shares {
		if !q.pace(r).Ready(now, share) {
			return false
		}
	}
	return true
}

// Unconfirmed reports whether a bound holds for a replica while this daemon does not know the others yet,
// so that it had better send elsewhere.
func (q *Quotas) Unconfirmed(now time.Time, r *replicas.Replica) bool {
	return q != nil && len(q.bounds(now, r)) > 0 && len(q.Users(r)) == 0
}

// bounds returns the bounds that hold for a replica now.
func (q *Quotas) bounds(now time.Time, r *replicas.Replica) []bound {
	var out []bound
	if r.Cold(now) {
		if cold := q.ColdLimits(r.Info().Service); cold.Bounded() {
			out = append(out, bound{limits: cold})
		}
	}
	if perSecond, at := r.Limit(); perSecond > 0 {
		out = append(out, bound{limits: q.RateLimits(perSecond), stale: now.Sub(at) > q.holds(r)})
	}
	return out
}

// holds returns how long this daemon takes a replica's rate limit to hold: not as long as
// others, so that the first one that finds out tells them.
func (q *Quotas) holds(r *replicas.Replica) time.Duration {
	part := float64(xxhash.Sum64String(q.Self)^r.Hash()) / math.MaxUint64
	return limitHolds + time.Duration(part*float64(limitHolds))
}

// shares returns this daemon's share of a replica by each bound that holds, and whether it sends to
// it at all. No lock is held: to know the users may mean to divide the fleet anew.
func (q *Quotas) shares(now time.Time, r *replicas.Replica) (shares []quota.Share, sends bool) {
	bounds := q.bounds(now, r)
	if len(bounds) == 0 {
		return nil, true
	}
	users := q.Users(r)
	for _, b := range bounds {
		share, sends := q.share(r, b, users)
		if !sends {
			return nil, false
		}
		shares = append(shares, share)
	}
	return shares, true
}

// share returns this daemon's share of a replica by one bound, and whether it sends to it at all.
func (q *Quotas) share(r *replicas.Replica, b bound, users []string) (share quota.Share, sends bool) {
	switch {
	case len(users) == 0:
		return b.limits.AloneShare(startSenders), true
	case b.stale:
		return b.limits.AloneShare(len(users)), true
	}
	senders, share := b.limits.Shares(len(users))
	return share, quota.IsSender(q.Self, users, r.Hash(), senders)
}

// pace returns what this daemon sent to a replica.
func (q *Quotas) pace(r *replicas.Replica) *quota.Pace {
	p := q.paces[r]
	if p == nil {
		if q.paces == nil {
			q.paces = map[*replicas.Replica]*quota.Pace{}
		}
		p = &quota.Pace{}
		q.paces[r] = p
	}
	return p
}

// Prune drops what was sent too long ago to matter.
func (q *Quotas) Prune(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for r, p := range q.paces {
		rested := now.Sub(p.Last())
		if rested > boundPaceKept || rested > paceKept && len(q.bounds(now, r)) == 0 {
			delete(q.paces, r)
		}
	}
}
