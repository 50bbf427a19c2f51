package admission

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// waitingSuspect is a suspect that waits for exclusive use of the target.
type waitingSuspect struct {
	req   Request
	since time.Time
}

// A suspect runs exclusively, so that a crash affects no other request and proves which
// request caused it. On an idle target it starts immediately. On a busy target it waits
// for SuspectDrainDelay; the coordinator then drains the target, because the suspect may
// be harmless and is entitled to an answer. The delay restarts when a suspect ends, so
// that a series of suspects cannot keep the target drained.

func (c *Coordinator) submitSuspect(now time.Time, req Request) []Action {
	if len(c.suspects) >= c.params.MaxSuspects {
		return []Action{c.refuseSuspect(req)}
	}
	c.suspects = append(c.suspects, waitingSuspect{req: req, since: now})
	return c.pump(now)
}

// draining reports whether the coordinator issues no ordinary grants because a suspect
// has waited for SuspectDrainDelay.
func (c *Coordinator) draining(now time.Time) bool {
	if len(c.suspects) == 0 {
		return false
	}
	since := c.suspects[0].since
	if c.exclusiveEnd.After(since) {
		since = c.exclusiveEnd
	}
	return now.Sub(since) >= c.params.SuspectDrainDelay
}

func (c *Coordinator) pumpSuspects(now time.Time) []Action {
	if c.status != statusUp || len(c.suspects) == 0 || c.running(now) > 0 {
		return nil
	}
	if c.queue.Len() > 0 && !c.draining(now) {
		return nil
	}
	req := c.suspects[0].req
	c.suspects = c.suspects[1:]
	return []Action{c.issueGrant(now, req, true)}
}

func (c *Coordinator) expireSuspects(now time.Time) []Action {
	var actions []Action
	remaining := c.suspects[:0]
	for _, w := range c.suspects {
		latest := c.latestStart(w.req)
		if now.Sub(w.since) < c.params.SuspectMaxWait && (latest.IsZero() || !now.After(latest)) {
			remaining = append(remaining, w)
			continue
		}
		actions = append(actions, c.refuseSuspect(w.req))
	}
	c.suspects = remaining
	return actions
}

func (c *Coordinator) refuseSuspect(req Request) Action {
	c.counts.refused++
	err := request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, c.params.SuspectMaxWait,
		"no target could be kept free for this request")
	return Refusal{Request: req, Err: err}
}
