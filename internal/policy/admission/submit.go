package admission

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Submit adds a request and returns the resulting actions, for this request or others.
// A request without an action waits in the queue; a later call returns its answer.
//
// Submit is idempotent by request id. A granted request receives its grant again with a
// new expiry, which renews the grant. A waiting request continues to wait.
func (c *Coordinator) Submit(now time.Time, req Request) []Action {
	actions := c.advance(now)
	req.Weight = max(req.Weight, 1)
	req.Tokens = max(req.Tokens, 1)
	if g, ok := c.grants[req.ID]; ok {
		g.expires = now.Add(c.params.GrantTTL)
		actions = append(actions, g.action())
		return append(actions, c.pump(now)...)
	}
	if c.isWaiting(req.ID) {
		return append(actions, c.pump(now)...)
	}
	if c.status != statusUp {
		return append(actions, c.refuseUnavailable(req))
	}
	if req.Suspect {
		return append(actions, c.submitSuspect(now, req)...)
	}
	wait := c.expectedGrantWait(now, req)
	if latest := c.latestStart(req); !latest.IsZero() && now.Add(wait).After(latest) {
		return append(actions, c.refuseDeadline(now, req))
	}
	c.waiting[req.ID] = req
	dropped := c.queue.Push(fairqueue.Item{
		ID: req.ID, Org: req.Org, Weight: req.Weight, Cost: c.cost(req), LatestStart: c.latestStart(req),
	})
	actions = append(actions, c.refuseDropped(now, dropped)...)
	return append(actions, c.pump(now)...)
}

// Cancel removes a request whose caller has disconnected, whether waiting or granted.
func (c *Coordinator) Cancel(now time.Time, id request.ID) []Action {
	actions := c.advance(now)
	if req, ok := c.waiting[id]; ok {
		c.queue.Remove(req.Org, id)
		delete(c.waiting, id)
	}
	for i, w := range c.suspects {
		if w.req.ID == id {
			c.suspects = append(c.suspects[:i], c.suspects[i+1:]...)
			break
		}
	}
	if g, ok := c.grants[id]; ok {
		c.endGrant(now, g)
	}
	return append(actions, c.pump(now)...)
}

// Tick removes expired grants, refuses requests that can no longer meet their deadline
// and grants the requests that fit. Call it a few times a second while requests wait or
// run.
func (c *Coordinator) Tick(now time.Time) []Action {
	actions := c.advance(now)
	var next int64
	if item, ok := c.queue.Peek(); ok {
		next = c.waiting[item.ID].Tokens
	}
	dropped := c.queue.Expire(now, c.meter.rate, c.timeUntilSlot(now, next))
	actions = append(actions, c.refuseDropped(now, dropped)...)
	return append(actions, c.pump(now)...)
}

// advance applies the passage of time before an event is handled.
func (c *Coordinator) advance(now time.Time) []Action {
	c.expireGrants(now)
	c.meter.observe(now, c.saturated())
	return c.expireSuspects(now)
}

// pump issues grants in fair order while the next request fits.
func (c *Coordinator) pump(now time.Time) []Action {
	actions := c.pumpSuspects(now)
	for c.status == statusUp && !c.exclusive && !c.draining(now) {
		item, ok := c.nextFitting(now)
		if !ok {
			break
		}
		req := c.waiting[item.ID]
		c.queue.PopOrg(item.Org, c.cost(req))
		delete(c.waiting, item.ID)
		actions = append(actions, c.issueGrant(now, req, false))
	}
	c.meter.observe(now, c.saturated())
	return actions
}

// nextFitting returns the next item in fair order if it fits. If it does not fit and its
// organisation is over its share, items of organisations within their share may overtake
// it, since capacity is reserved for them. No other item is overtaken, so that small
// prompts do not starve a large one.
func (c *Coordinator) nextFitting(now time.Time) (fairqueue.Item, bool) {
	for _, item := range c.queue.Heads() {
		over := c.usage.isOverShare(now, item.Org, item.Weight)
		if c.fits(now, c.waiting[item.ID].Tokens, over) {
			return item, true
		}
		if !over {
			break
		}
	}
	return fairqueue.Item{}, false
}

func (c *Coordinator) isWaiting(id request.ID) bool {
	if _, ok := c.waiting[id]; ok {
		return true
	}
	for _, w := range c.suspects {
		if w.req.ID == id {
			return true
		}
	}
	return false
}

// latestStart returns the latest time at which the request can start and still deliver
// its first token by its deadline.
func (c *Coordinator) latestStart(req Request) time.Time {
	if req.Deadline.IsZero() {
		return time.Time{}
	}
	return req.Deadline.Add(-fairqueue.Duration(float64(req.Tokens), c.params.PrefillRate))
}

// expectedGrantWait estimates how long a new request would wait for its grant.
func (c *Coordinator) expectedGrantWait(now time.Time, req Request) time.Duration {
	ahead := c.queue.Ahead(req.Org, req.Weight)
	over := c.usage.isOverShare(now, req.Org, req.Weight)
	if ahead == 0 && !c.exclusive && c.fits(now, req.Tokens, over) {
		return 0
	}
	return c.timeUntilSlot(now, req.Tokens) + fairqueue.Duration(float64(ahead), c.meter.rate)
}

// ExpectedWait estimates how long the target would take to start computing a request
// that is submitted now. Placement uses it to choose between targets. The estimate is
// the longer of the wait for a grant and the wait for earlier prefill at the target. The
// two overlap, because slots and prefill capacity become free while the target computes
// its backlog.
func (c *Coordinator) ExpectedWait(now time.Time, req Request) time.Duration {
	backlog := c.prefillBacklog(now)
	if !c.usage.isOverShare(now, req.Org, max(req.Weight, 1)) {
		backlog = min(backlog, c.withinShareBacklog(now))
	}
	return max(c.expectedGrantWait(now, req), fairqueue.Duration(backlog, c.params.PrefillRate))
}

// timeUntilSlot estimates the time until the next request in fair order may start, given
// its prompt tokens.
func (c *Coordinator) timeUntilSlot(now time.Time, tokens int64) time.Duration {
	if c.running(now) >= c.params.MaxRunning || c.exclusive {
		return fairqueue.Duration(c.meter.meanCost, c.meter.rate)
	}
	if c.params.MaxPrefillTokens <= 0 {
		return 0
	}
	available := float64(c.params.MaxPrefillTokens - min(tokens, c.params.MaxPrefillTokens))
	return fairqueue.Duration(c.prefillBacklog(now)-available, c.params.PrefillRate)
}

func (c *Coordinator) refuseDropped(now time.Time, dropped []fairqueue.Dropped) []Action {
	var actions []Action
	for _, d := range dropped {
		req := c.waiting[d.Item.ID]
		delete(c.waiting, d.Item.ID)
		switch d.Reason {
		case fairqueue.TooLate:
			actions = append(actions, c.refuseDeadline(now, req))
		case fairqueue.OrgFull:
			actions = append(actions, c.refuseFull(now, req, http.StatusTooManyRequests, "the organisation's queue is full"))
		case fairqueue.QueueFull:
			actions = append(actions, c.refuseFull(now, req, http.StatusServiceUnavailable, "the target's queue is full"))
		}
	}
	return actions
}

func (c *Coordinator) refuseFull(now time.Time, req Request, status int, message string) Action {
	c.counts.refused++
	return Refusal{Request: req, Err: request.Refuse(request.CodeOverloaded, status, c.retryAfter(now, req), "%s", message)}
}

func (c *Coordinator) refuseDeadline(now time.Time, req Request) Action {
	c.counts.refused++
	err := request.Refuse(request.CodeDeadline, http.StatusServiceUnavailable, c.retryAfter(now, req),
		"the first token would come after the deadline")
	return Refusal{Request: req, Err: err}
}

func (c *Coordinator) refuseUnavailable(req Request) Action {
	c.counts.refused++
	err := request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, c.params.MinRetryAfter,
		"target %s is %s", c.params.Target, c.status)
	return Refusal{Request: req, Err: err}
}

// retryAfter estimates, from the measured rate, the time until the work ahead of the
// request is done.
func (c *Coordinator) retryAfter(now time.Time, req Request) time.Duration {
	after := c.expectedGrantWait(now, req)
	return min(max(after, c.params.MinRetryAfter), c.params.MaxRetryAfter)
}
