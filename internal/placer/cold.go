package placer

import (
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/coldstart"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// startSenders is the number of senders that a daemon reckons with which does not know the others
// yet. It then sends little to a cold replica, as all may that start at the same moment.
const startSenders = 16

// Cold keeps this daemon to its share of the requests that cold replicas bear. It is safe for
// concurrent use.
type Cold struct {
	Self string // this daemon's name
	// Group returns the names of the daemons that use the same replicas of a service, this one
	// among them; empty: they are not known yet.
	Group func(routing.ServiceID) []string
	// Limits returns what one cold replica of a service bears.
	Limits func(routing.ServiceID) coldstart.Limits

	mu    sync.Mutex
	paces map[*replicas.Replica]*coldstart.Pace
}

// Ready reports whether a replica may get a request of this daemon now.
func (c *Cold) Ready(now time.Time, r *replicas.Replica) bool {
	return c.ask(now, r, func(p *coldstart.Pace, _ time.Duration) bool { return p.Ready(now) })
}

// Take takes leave to send a request to a replica now, and reports whether there is any.
func (c *Cold) Take(now time.Time, r *replicas.Replica) bool {
	return c.ask(now, r, func(p *coldstart.Pace, gap time.Duration) bool { return p.Take(now, gap) })
}

// ask asks this daemon's share of a replica, if a bound holds for that.
func (c *Cold) ask(now time.Time, r *replicas.Replica, share func(p *coldstart.Pace, gap time.Duration) bool) bool {
	if !c.binds(now, r) {
		return true
	}
	gap, sends := c.share(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	return sends && share(c.pace(r), gap)
}

// Unsure reports whether a replica is cold while this daemon does not know the others yet, so that
// it had better send elsewhere.
func (c *Cold) Unsure(now time.Time, r *replicas.Replica) bool {
	return c.binds(now, r) && len(c.Group(r.Info().Service)) == 0
}

// binds reports whether a bound holds for a replica now.
func (c *Cold) binds(now time.Time, r *replicas.Replica) bool {
	return c != nil && r.Cold(now) && c.Limits(r.Info().Service).Bounded()
}

// share returns the least time between two requests of this daemon to a replica, and whether it
// sends to it at all.
func (c *Cold) share(r *replicas.Replica) (gap time.Duration, sends bool) {
	service := r.Info().Service
	limits, group := c.Limits(service), c.Group(service)
	if len(group) == 0 {
		return limits.AloneGap(startSenders), true
	}
	senders, gap := limits.Shares(len(group))
	return gap, coldstart.IsSender(c.Self, group, r.Hash(), senders)
}

// pace returns this daemon's share of a replica.
func (c *Cold) pace(r *replicas.Replica) *coldstart.Pace {
	p := c.paces[r]
	if p == nil {
		if c.paces == nil {
			c.paces = map[*replicas.Replica]*coldstart.Pace{}
		}
		p = &coldstart.Pace{}
		c.paces[r] = p
	}
	return p
}

// Forget drops what is known of replicas that are cold no more.
func (c *Cold) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r := range c.paces {
		if !r.Cold(now) {
			delete(c.paces, r)
		}
	}
}
