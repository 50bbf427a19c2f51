package admission

import (
	"strconv"
	"time"
)

// grant is a slot at the target, held by one request until released or expired.
type grant struct {
	req       Request
	id        string
	exclusive bool
	cost      int64
	overShare bool // the organisation was over its share when the grant was issued
	granted   time.Time
	expires   time.Time
	ended     time.Time // zero while live
}

func (g *grant) action() Grant {
	out := Grant{Request: g.req, ID: g.id, Expires: g.expires, Exclusive: g.exclusive, Priority: PriorityWithinShare}
	if g.overShare {
		out.Priority = PriorityOverShare
	}
	return out
}

// liveAt reports whether the grant was held at t.
func (g *grant) liveAt(t time.Time) bool {
	if g.granted.After(t) {
		return false
	}
	return g.ended.IsZero() || g.ended.After(t)
}

func (c *Coordinator) issueGrant(now time.Time, req Request, alone bool) Action {
	c.seq++
	g := &grant{
		req:       req,
		id:        c.params.GrantPrefix + "." + strconv.FormatUint(c.seq, 10),
		exclusive: alone,
		cost:      c.cost(req),
		overShare: c.usage.isOverShare(now, req.Org, req.Weight),
		granted:   now,
		expires:   now.Add(c.params.GrantTTL),
	}
	c.usage.add(now, req.Org, req.Weight, g.cost)
	c.grants[req.ID] = g
	c.liveGrants = append(c.liveGrants, g)
	c.exclusive = c.exclusive || alone
	c.counts.granted++
	return g.action()
}

// Release ends a grant. Unknown ids, for example those of an earlier coordinator, are
// ignored.
func (c *Coordinator) Release(now time.Time, grantID string, out Outcome) []Action {
	actions := c.advance(now)
	for _, g := range c.liveGrants {
		if g.id == grantID {
			c.meter.addServed(g.cost)
			c.usage.recordHold(g.req.Org, now.Sub(g.granted))
			c.endGrant(now, g)
			break
		}
	}
	return append(actions, c.pump(now)...)
}

// expireGrants frees the slots of daemons that died. If the request still runs at the
// target, the next load report counts it as foreign.
func (c *Coordinator) expireGrants(now time.Time) {
	for i := 0; i < len(c.liveGrants); {
		g := c.liveGrants[i]
		if g.expires.After(now) {
			i++
			continue
		}
		c.endGrant(now, g)
		c.counts.expired++
	}
	c.pruneEnded(now)
}

func (c *Coordinator) endGrant(now time.Time, g *grant) {
	g.ended = now
	delete(c.grants, g.req.ID)
	for i, other := range c.liveGrants {
		if other == g {
			c.liveGrants = append(c.liveGrants[:i], c.liveGrants[i+1:]...)
			break
		}
	}
	c.endedGrants = append(c.endedGrants, g)
	if g.exclusive {
		c.exclusive = false
		c.exclusiveEnd = now
	}
}

func (c *Coordinator) pruneEnded(now time.Time) {
	old := now.Add(-c.params.LoadTTL)
	i := 0
	for i < len(c.endedGrants) && c.endedGrants[i].ended.Before(old) {
		i++
	}
	c.endedGrants = c.endedGrants[i:]
}

// cost returns the cost of a request in tokens. It is the larger of the prompt tokens
// and the prefill capacity that corresponds to occupying one slot for the organisation's
// expected hold time. With prompt tokens alone, an organisation with short prompts and
// long answers could hold most slots while within its share.
func (c *Coordinator) cost(req Request) int64 {
	hold := c.usage.expectedHold(req.Org).Seconds()
	slotCost := hold * c.params.PrefillRate / float64(c.params.MaxRunning)
	return max(req.Tokens, int64(slotCost))
}

// fits reports whether one more request of the given size may be sent to the target.
// over states that its organisation is over its share.
func (c *Coordinator) fits(now time.Time, tokens int64, over bool) bool {
	slots := c.params.MaxRunning
	if over {
		slots -= c.params.Reserve
	}
	if c.running(now) >= slots {
		return false
	}
	if c.params.MaxPrefillTokens <= 0 {
		return true
	}
	backlog := c.prefillBacklog(now)
	if !over {
		backlog = min(backlog, c.withinShareBacklog(now))
	}
	return backlog < 1 || backlog+float64(tokens) <= float64(c.params.MaxPrefillTokens)
}

// saturated reports whether the target runs at capacity, in which case its throughput
// measures its service rate.
func (c *Coordinator) saturated() bool {
	return len(c.waiting) > 0 || len(c.liveGrants) >= c.params.MaxRunning
}
