package placer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/policy/brittle"
	"github.com/bluebellscale/bluebellscale/internal/policy/quota"
	"github.com/bluebellscale/bluebellscale/internal/policy/subset"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// assumedSenders is the number of senders that a daemon assumes until it knows the other daemons.
	// It then sends little to a replica with a bound, because all daemons may start at the same time.
	assumedSenders = 16
	// minLimitTTL is the shortest time for which a reported rate limit holds; the longest is twice that.
	// After it a daemon may probe with a request whether the limit still holds: the daemons that send to
	// the replica may have stopped or be partitioned, and the others would never learn that it ended.
	minLimitTTL = 10 * time.Second
	// paceRetention is how long requests to a replica without a bound are remembered: as long as the
	// window of any bound that may begin. boundedPaceRetention is longer than the window of any share.
	paceRetention        = 5 * time.Second
	boundedPaceRetention = 10 * time.Minute
)

// Quotas limits this daemon to its share of the requests that bounded replicas accept. It is safe for
// concurrent use.
type Quotas struct {
	Self string // name of this daemon
	// Daemons returns the names of the daemons that use a replica, empty while they are unknown.
	Daemons func(*replicas.Replica) []string
	// ColdLimits returns the limits of a cold replica of a service, and RateLimits those of a replica
	// that reported a rate limit.
	ColdLimits func(routing.ServiceID) quota.Limits
	RateLimits func(perSecond float64) quota.Limits

	mu    sync.Mutex
	paces map[*replicas.Replica]*quota.Pacer
}

// bound is a limit on the requests that a replica accepts.
type bound struct {
	limits quota.Limits
	stale  bool // it may no longer hold
}

// Ready reports whether this daemon may send a request to a replica now.
func (q *Quotas) Ready(now time.Time, r *replicas.Replica) bool {
	if q == nil {
		return true
	}
	if !q.mayRisk(now, r) {
		return false
	}
	shares, sends := q.shares(now, r)
	if !sends || len(shares) == 0 {
		return sends
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.allow(now, r, shares)
}

// mayRisk reports whether this daemon may send a request to a replica that may be brittle.
func (q *Quotas) mayRisk(now time.Time, r *replicas.Replica) bool {
	return !r.IsBrittle() || r.MayRisk(now, q.riskShare(r))
}

// riskShare returns this daemon's share of what may be risked at a brittle replica, the zero Share for another one. It must be
// called without the lock, as shares.
func (q *Quotas) riskShare(r *replicas.Replica) brittle.Share {
	if !r.IsBrittle() {
		return brittle.Share{}
	}
	daemons := q.Daemons(r)
	if !slices.Contains(daemons, q.Self) {
		return brittle.Share{Daemons: assumedSenders, Rank: int(xxhash.Sum64String(q.Self) % assumedSenders)}
	}
	return brittle.Share{Daemons: len(daemons), Rank: subset.Rank(q.Self, daemons, r.Hash())}
}

// Take consumes one request of this daemon's share of a replica and begins its flight; nil: none was available. The flight begins
// before others ask, as its load counts for what a brittle replica may get.
func (q *Quotas) Take(now time.Time, r *replicas.Replica, begin func() *replicas.Flight) *replicas.Flight {
	if q == nil {
		return begin()
	}
	shares, sends := q.shares(now, r)
	if !sends {
		return nil
	}
	risk := q.riskShare(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.allow(now, r, shares) || r.IsBrittle() && !r.MayRisk(now, risk) {
		return nil
	}
	r.RecordRisk(now)
	q.pace(r).RecordSent(now) // even without a bound: one that begins counts earlier requests
	return begin()
}

// allow reports whether this daemon's shares permit another request.
func (q *Quotas) allow(now time.Time, r *replicas.Replica, shares []quota.Share) bool {
	for _, share := range shares {
		if !q.pace(r).Ready(now, share) {
			return false
		}
	}
	return true
}

// Unconfirmed reports whether a bound holds for a replica while this daemon does not know the other
// daemons yet, so that it should prefer other replicas.
func (q *Quotas) Unconfirmed(now time.Time, r *replicas.Replica) bool {
	return q != nil && len(q.bounds(now, r)) > 0 && len(q.Daemons(r)) == 0
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
		out = append(out, bound{limits: q.RateLimits(perSecond), stale: now.Sub(at) > q.limitTTL(r)})
	}
	return out
}

// limitTTL returns for how long this daemon assumes that a replica's rate limit holds. The time differs
// between daemons, so that the first one to probe can inform the others.
func (q *Quotas) limitTTL(r *replicas.Replica) time.Duration {
	fraction := float64(xxhash.Sum64String(q.Self)^r.Hash()) / math.MaxUint64
	return minLimitTTL + time.Duration(fraction*float64(minLimitTTL))
}

// shares returns this daemon's share of a replica under each bound that holds, and whether this daemon
// sends to the replica at all. It must be called without the lock: Daemons may reassign the fleet.
func (q *Quotas) shares(now time.Time, r *replicas.Replica) (shares []quota.Share, sends bool) {
	bounds := q.bounds(now, r)
	if len(bounds) == 0 {
		return nil, true
	}
	daemons := q.Daemons(r)
	for _, b := range bounds {
		share, sends := q.share(r, b, daemons)
		if !sends {
			return nil, false
		}
		shares = append(shares, share)
	}
	return shares, true
}

// share returns this daemon's share of a replica under one bound, and whether it sends to it at all.
func (q *Quotas) share(r *replicas.Replica, b bound, daemons []string) (share quota.Share, sends bool) {
	switch {
	case len(daemons) == 0:
		return b.limits.IsolatedShare(assumedSenders), true
	case b.stale:
		return b.limits.IsolatedShare(len(daemons)), true
	}
	senders, share := b.limits.Shares(len(daemons))
	return share, quota.IsSender(q.Self, daemons, r.Hash(), senders)
}

// pace returns the record of the requests that this daemon sent to a replica.
func (q *Quotas) pace(r *replicas.Replica) *quota.Pacer {
	p := q.paces[r]
	if p == nil {
		if q.paces == nil {
			q.paces = map[*replicas.Replica]*quota.Pacer{}
		}
		p = &quota.Pacer{}
		q.paces[r] = p
	}
	return p
}

// Prune drops records that no bound needs any more.
func (q *Quotas) Prune(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for r, p := range q.paces {
		idle := now.Sub(p.LastSent())
		if idle > boundedPaceRetention || idle > paceRetention && len(q.bounds(now, r)) == 0 {
			delete(q.paces, r)
		}
	}
}
