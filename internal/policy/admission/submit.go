package admission

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Submit enters an ask and returns what follows from it, for this ask or others. An
// ask without an action waits; its answer comes from a later call.
//
// Submit is idempotent by request id: a granted request gets its grant again with a
// new expiry, which is how a grant is renewed, and one that waits goes on waiting.
func (s *Coordinator) Submit(now time.Time, ask Request) []Action {
	actions := s.advance(now)
	ask.Weight = max(ask.Weight, 1)
	ask.Tokens = max(ask.Tokens, 1)
	if g, ok := s.grants[ask.ID]; ok {
		g.expires = now.Add(s.params.GrantTTL)
		actions = append(actions, g.action())
		return append(actions, s.pump(now)...)
	}
	if s.isWaiting(ask.ID) {
		return append(actions, s.pump(now)...)
	}
	if s.status != statusUp {
		return append(actions, s.refuseDown(ask))
	}
	if ask.Suspect {
		return append(actions, s.submitSuspect(now, ask)...)
	}
	wait := s.expectedWait(now, ask)
	if late := s.latestStart(ask); !late.IsZero() && now.Add(wait).After(late) {
		return append(actions, s.refuseLate(now, ask))
	}
	s.waiting[ask.ID] = ask
	dropped := s.queue.Push(fairqueue.Item{
		ID: ask.ID, Org: ask.Org, Weight: ask.Weight, Cost: s.cost(ask), LatestStart: s.latestStart(ask),
	})
	actions = append(actions, s.refuseDropped(now, dropped)...)
	return append(actions, s.pump(now)...)
}

// Cancel forgets a request whose caller has left, whether it waits or is granted.
func (s *Coordinator) Cancel(now time.Time, id request.ID) []Action {
	actions := s.advance(now)
	if ask, ok := s.waiting[id]; ok {
		s.queue.Remove(ask.Org, id)
		delete(s.waiting, id)
	}
	for i, w := range s.suspects {
		if w.ask.ID == id {
			s.suspects = append(s.suspects[:i], s.suspects[i+1:]...)
			break
		}
	}
	if g, ok := s.grants[id]; ok {
		s.end(now, g)
	}
	return append(actions, s.pump(now)...)
}

// Tick drops expired grants and asks that can no longer make their deadline, and
// grants what fits. Call it a few times a second while anything waits or runs.
func (s *Coordinator) Tick(now time.Time) []Action {
	actions := s.advance(now)
	var next int64
	if item, ok := s.queue.Peek(); ok {
		next = s.waiting[item.ID].Tokens
	}
	dropped := s.queue.Expire(now, s.meter.rate, s.untilPlace(now, next))
	actions = append(actions, s.refuseDropped(now, dropped)...)
	return append(actions, s.pump(now)...)
}

// advance brings the steward to the present before an event is handled.
func (s *Coordinator) advance(now time.Time) []Action {
	s.expireGrants(now)
	s.meter.observe(now, s.saturated())
	return s.expireSuspects(now)
}

// pump grants in fair order as long as the next in line fits.
func (s *Coordinator) pump(now time.Time) []Action {
	actions := s.pumpSuspects(now)
	for s.status == statusUp && !s.alone && !s.emptying(now) {
		item, ok := s.nextFitting(now)
		if !ok {
			break
		}
		ask := s.waiting[item.ID]
		s.queue.PopOrg(item.Org, s.cost(ask))
		delete(s.waiting, item.ID)
		actions = append(actions, s.grant(now, ask, false))
	}
	s.meter.observe(now, s.saturated())
	return actions
}

// nextFitting returns the next item in fair order if it fits. One of an organisation
// over its share that does not fit yet is passed by those within theirs, for which
// room is kept; nothing else is passed, so that a large prompt is not kept out by
// small ones.
func (s *Coordinator) nextFitting(now time.Time) (fairqueue.Item, bool) {
	for _, item := range s.queue.Heads() {
		over := s.usage.over(now, item.Org, item.Weight)
		if s.fits(now, s.waiting[item.ID].Tokens, over) {
			return item, true
		}
		if !over {
			break
		}
	}
	return fairqueue.Item{}, false
}

func (s *Coordinator) isWaiting(id request.ID) bool {
	if _, ok := s.waiting[id]; ok {
		return true
	}
	for _, w := range s.suspects {
		if w.ask.ID == id {
			return true
		}
	}
	return false
}

// latestStart returns the last moment at which the ask can start and still have its
// first token by its deadline.
func (s *Coordinator) latestStart(ask Request) time.Time {
	if ask.Deadline.IsZero() {
		return time.Time{}
	}
	return ask.Deadline.Add(-fairqueue.Duration(float64(ask.Tokens), s.params.PrefillRate))
}

// expectedWait estimates how long a new ask would wait for its grant.
func (s *Coordinator) expectedWait(now time.Time, ask Request) time.Duration {
	ahead := s.queue.Ahead(ask.Org, ask.Weight)
	over := s.usage.over(now, ask.Org, ask.Weight)
	if ahead == 0 && !s.alone && s.fits(now, ask.Tokens, over) {
		return 0
	}
	return s.untilPlace(now, ask.Tokens) + fairqueue.Duration(float64(ahead), s.meter.rate)
}

// ExpectedWait estimates how long after now the target would begin to compute an ask
// that is submitted now: its wait for a grant and for the prefill that comes first at
// the target. It serves the choice between targets. The two waits overlap: while the
// backlog is computed, places and room in the prefill bound come free.
func (s *Coordinator) ExpectedWait(now time.Time, ask Request) time.Duration {
	backlog := s.prefillBacklog(now)
	if !s.usage.over(now, ask.Org, max(ask.Weight, 1)) {
		backlog = min(backlog, s.withinShareBacklog(now))
	}
	return max(s.expectedWait(now, ask), fairqueue.Duration(backlog, s.params.PrefillRate))
}

// untilPlace estimates when the next in line may start, if it has the given tokens.
func (s *Coordinator) untilPlace(now time.Time, tokens int64) time.Duration {
	if s.running(now) >= s.params.MaxRunning || s.alone {
		return fairqueue.Duration(s.meter.meanCost, s.meter.rate)
	}
	if s.params.MaxPrefillTokens <= 0 {
		return 0
	}
	room := float64(s.params.MaxPrefillTokens - min(tokens, s.params.MaxPrefillTokens))
	return fairqueue.Duration(s.prefillBacklog(now)-room, s.params.PrefillRate)
}

func (s *Coordinator) refuseDropped(now time.Time, dropped []fairqueue.Dropped) []Action {
	var actions []Action
	for _, d := range dropped {
		ask := s.waiting[d.Item.ID]
		delete(s.waiting, d.Item.ID)
		switch d.Reason {
		case fairqueue.TooLate:
			actions = append(actions, s.refuseLate(now, ask))
		case fairqueue.OrgFull:
			actions = append(actions, s.refuseFull(now, ask, http.StatusTooManyRequests, "the organisation's queue is full"))
		case fairqueue.QueueFull:
			actions = append(actions, s.refuseFull(now, ask, http.StatusServiceUnavailable, "the target's queue is full"))
		}
	}
	return actions
}

func (s *Coordinator) refuseFull(now time.Time, ask Request, status int, message string) Action {
	s.count.refused++
	return Refusal{Request: ask, Err: request.Refuse(request.CodeOverloaded, status, s.retryAfter(now, ask), "%s", message)}
}

func (s *Coordinator) refuseLate(now time.Time, ask Request) Action {
	s.count.refused++
	err := request.Refuse(request.CodeDeadline, http.StatusServiceUnavailable, s.retryAfter(now, ask),
		"the first token would come after the deadline")
	return Refusal{Request: ask, Err: err}
}

func (s *Coordinator) refuseDown(ask Request) Action {
	s.count.refused++
	err := request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, s.params.MinRetryAfter,
		"target %s is %s", s.params.Target, s.status)
	return Refusal{Request: ask, Err: err}
}

// retryAfter returns when the work that is ahead of the ask now will be done, from
// the measured rate.
func (s *Coordinator) retryAfter(now time.Time, ask Request) time.Duration {
	after := s.expectedWait(now, ask)
	return min(max(after, s.params.MinRetryAfter), s.params.MaxRetryAfter)
}
