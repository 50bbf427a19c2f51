package placer

import (
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/quota"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// startSenders is the number of senders that a daemon reckons with which does not know the others
// yet. It then sends little to a replica with a bound, as all may that start at the same moment.
const startSenders = 16

// Quotas keeps this daemon to its share of the requests that replicas bear. It is safe for
// concurrent use.
type Quotas struct {
	Self string // this daemon's name
	// Group returns the names of the daemons that use the same replicas of a service, this one
	// among them; empty: they are not known yet.
	Group func(routing.ServiceID) []string
	// Cold returns what one cold replica of a service bears.
	Cold func(routing.ServiceID) quota.Limits

	mu    sync.Mutex
	paces map[*replicas.Replica]*quota.Pace
}

// Ready reports whether a replica may get a request of this daemon now.
func (q *Quotas) Ready(now time.Time, r *replicas.Replica) bool {
	return q.ask(now, r, false)
}

// Take takes leave to send a request to a replica now, and reports whether there is any.
func (q *Quotas) Take(now time.Time, r *replicas.Replica) bool {
	return q.ask(now, r, true)
}

// ask asks this daemon's share of a replica, if a bound holds for that, and takes from it.
func (q *Quotas) ask(now time.Time, r *replicas.Replica, take bool) bool {
	if !q.binds(now, r) {
		return true
	}
	share, sends := q.share(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	pace := q.pace(r)
	if !sends || !pace.Ready(now, share) {
		return false
	}
	if take {
		pace.Sent(now)
	}
	return true
}

// Unsure reports whether a bound holds for a replica while this daemon does not know the others yet,
// so that it had better send elsewhere.
func (q *Quotas) Unsure(now time.Time, r *replicas.Replica) bool {
	return q.binds(now, r) && len(q.Group(r.Info().Service)) == 0
}

// binds reports whether a bound holds for a replica now.
func (q *Quotas) binds(now time.Time, r *replicas.Replica) bool {
	return q != nil && r.Cold(now) && q.Cold(r.Info().Service).Bounded()
}

// share returns this daemon's share of a replica, and whether it sends to it at all.
func (q *Quotas) share(r *replicas.Replica) (share quota.Share, sends bool) {
	service := r.Info().Service
	limits, group := q.Cold(service), q.Group(service)
	if len(group) == 0 {
		return limits.AloneShare(startSenders), true
	}
	senders, share := limits.Shares(len(group))
	return share, quota.IsSender(q.Self, group, r.Hash(), senders)
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

// Forget drops what was sent to replicas that are cold no more.
func (q *Quotas) Forget(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for r := range q.paces {
		if !r.Cold(now) {
			delete(q.paces, r)
		}
	}
}
