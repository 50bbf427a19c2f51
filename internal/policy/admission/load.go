package admission

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// report is the newest load report, evaluated against the grants live at its time.
type report struct {
	takenAt     time.Time // zero: no report
	incarnation uint64
	foreign     int   // requests at the target without a grant of this coordinator
	prefill     int64 // tokens that waited for prefill at takenAt
}

// OnLoad processes a load report of the target. Since reports lag, its counts are
// compared with the grants that were live when the report was taken; later grants are
// added to them.
func (c *Coordinator) OnLoad(now time.Time, load engineapi.Load) []Action {
	actions := c.advance(now)
	taken := now.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	if taken.Before(c.report.takenAt) {
		return actions
	}
	if c.status == statusDown && !taken.After(c.downAt) {
		return actions
	}
	if c.report.incarnation != 0 && load.Incarnation != c.report.incarnation {
		actions = append(actions, c.failTarget(now)...)
	}
	c.report = report{
		takenAt:     taken,
		incarnation: load.Incarnation,
		foreign:     max(0, load.Running+load.Queued-c.liveGrantsAt(taken)),
		prefill:     int64(load.PrefillTokens),
	}
	if load.Leaving {
		return append(actions, c.OnTargetLeaving(now)...)
	}
	c.status = statusUp
	return append(actions, c.pump(now)...)
}

// OnTargetDown handles a target that died or is unreachable. Waiting requests are
// refused immediately.
func (c *Coordinator) OnTargetDown(now time.Time) []Action {
	actions := c.advance(now)
	c.status = statusDown
	c.downAt = now
	actions = append(actions, c.failTarget(now)...)
	return append(actions, c.refuseWaiting(c.refuseUnavailable)...)
}

// OnTargetLeaving handles a target that is shutting down. Waiting requests are refused
// immediately; requests in flight continue.
func (c *Coordinator) OnTargetLeaving(now time.Time) []Action {
	actions := c.advance(now)
	if c.status == statusUp {
		c.status = statusLeaving
	}
	return append(actions, c.refuseWaiting(c.refuseUnavailable)...)
}

// OnTargetUp handles a successful probe of the target. It is meant for targets that
// send no load reports.
func (c *Coordinator) OnTargetUp(now time.Time) []Action {
	actions := c.advance(now)
	c.status = statusUp
	return append(actions, c.pump(now)...)
}

// Resign handles the move of the target to another coordinator. Waiting requests are
// refused with CodeNotHolder, so that their daemons submit them to the new coordinator.
// Existing grants remain valid until they are released here, and the new coordinator
// sees them in the load reports.
func (c *Coordinator) Resign(now time.Time) []Action {
	actions := c.advance(now)
	refuse := func(req Request) Action {
		return Refusal{Request: req, Err: request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable,
			c.params.MinRetryAfter, "another daemon admits to target %s now", c.params.Target)}
	}
	return append(actions, c.refuseWaiting(refuse)...)
}

// failTarget ends all grants and reports their requests in a TargetFailure.
func (c *Coordinator) failTarget(now time.Time) []Action {
	var inFlight []Request
	for len(c.liveGrants) > 0 {
		g := c.liveGrants[0]
		inFlight = append(inFlight, g.req)
		c.endGrant(now, g)
	}
	// Work of the failed incarnation must not count as work of its successor.
	c.endedGrants = nil
	incarnation := c.report.incarnation
	c.report = report{takenAt: c.report.takenAt}
	if len(inFlight) == 0 {
		return nil
	}
	return []Action{TargetFailure{Incarnation: incarnation, InFlight: inFlight}}
}

func (c *Coordinator) refuseWaiting(refuse func(Request) Action) []Action {
	var actions []Action
	for _, item := range c.queue.Drain() {
		actions = append(actions, refuse(c.waiting[item.ID]))
		delete(c.waiting, item.ID)
	}
	for _, w := range c.suspects {
		actions = append(actions, refuse(w.req))
	}
	c.suspects = nil
	return actions
}

func (c *Coordinator) liveGrantsAt(t time.Time) int {
	n := 0
	for _, g := range c.liveGrants {
		if g.liveAt(t) {
			n++
		}
	}
	for _, g := range c.endedGrants {
		if g.liveAt(t) {
			n++
		}
	}
	return n
}

func (c *Coordinator) reportIsFresh(now time.Time) bool {
	return !c.report.takenAt.IsZero() && now.Sub(c.report.takenAt) <= c.params.LoadTTL
}

// running estimates the number of requests at the target: the live grants and the
// foreign requests of the last report.
func (c *Coordinator) running(now time.Time) int {
	n := len(c.liveGrants)
	if c.reportIsFresh(now) {
		n += c.report.foreign
	}
	return n
}

// prefillBacklog estimates the tokens that wait for prefill at the target: those in the
// last report and those granted after it, less those computed since.
func (c *Coordinator) prefillBacklog(now time.Time) float64 {
	var backlog float64
	var at time.Time
	if c.reportIsFresh(now) {
		backlog = float64(c.report.prefill)
		at = c.report.takenAt
	}
	return c.addGrantsToBacklog(now, backlog, at, func(*grant) bool { return true })
}

// withinShareBacklog estimates the backlog of organisations within their share, which
// the target computes first. The estimate uses the grants alone.
func (c *Coordinator) withinShareBacklog(now time.Time) float64 {
	return c.addGrantsToBacklog(now, 0, time.Time{}, func(g *grant) bool { return !g.overShare })
}

// addGrantsToBacklog projects a backlog from time at to now. It adds the grants issued
// since at that counts selects, and subtracts the tokens computed in the meantime.
func (c *Coordinator) addGrantsToBacklog(now time.Time, backlog float64, at time.Time, counts func(*grant) bool) float64 {
	since := at
	for _, g := range c.liveGrants {
		if !g.granted.After(since) || !counts(g) {
			continue
		}
		backlog = c.remainingBacklog(backlog, g.granted.Sub(at))
		backlog += float64(g.req.Tokens)
		at = g.granted
	}
	return c.remainingBacklog(backlog, now.Sub(at))
}

// remainingBacklog returns the backlog that remains after the elapsed time of prefill.
func (c *Coordinator) remainingBacklog(backlog float64, elapsed time.Duration) float64 {
	return max(0, backlog-elapsed.Seconds()*c.params.PrefillRate)
}
