package admission

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// report is the newest load report, read together with the grants of its time.
type report struct {
	taken       time.Time // zero: none
	incarnation uint64
	foreign     int   // requests there that were not granted here
	prefill     int64 // tokens waiting for prefill when taken
}

// OnLoad takes a report by the target. Reports lag: what it says is compared with
// the grants that were live when it was taken, and later grants come on top.
func (s *Coordinator) OnLoad(now time.Time, load engineapi.Load) []Action {
	actions := s.advance(now)
	taken := now.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	if taken.Before(s.report.taken) {
		return actions
	}
	if s.status == statusDown && !taken.After(s.downAt) {
		return actions
	}
	if s.report.incarnation != 0 && load.Incarnation != s.report.incarnation {
		actions = append(actions, s.died(now)...)
	}
	s.report = report{
		taken:       taken,
		incarnation: load.Incarnation,
		foreign:     max(0, load.Running+load.Queued-s.liveAt(taken)),
		prefill:     int64(load.PrefillTokens),
	}
	if load.Leaving {
		return append(actions, s.OnTargetLeaving(now)...)
	}
	s.status = statusUp
	return append(actions, s.pump(now)...)
}

// OnTargetDown is told that the target died or can't be reached. What waits is
// refused at once.
func (s *Coordinator) OnTargetDown(now time.Time) []Action {
	actions := s.advance(now)
	s.status = statusDown
	s.downAt = now
	actions = append(actions, s.died(now)...)
	return append(actions, s.refuseWaiting(s.refuseDown)...)
}

// OnTargetLeaving is told that the target stops. What waits is refused at once;
// what is in flight goes on.
func (s *Coordinator) OnTargetLeaving(now time.Time) []Action {
	actions := s.advance(now)
	if s.status == statusUp {
		s.status = statusLeaving
	}
	return append(actions, s.refuseWaiting(s.refuseDown)...)
}

// OnTargetUp is told that a probe reached the target. It serves targets without
// load reports.
func (s *Coordinator) OnTargetUp(now time.Time) []Action {
	actions := s.advance(now)
	s.status = statusUp
	return append(actions, s.pump(now)...)
}

// Resign is told that another daemon is the steward now. What waits is refused with
// CodeNotHolder, for its daemon to ask the new steward; grants live on until they
// are released here, and the new steward sees them in the load reports.
func (s *Coordinator) Resign(now time.Time) []Action {
	actions := s.advance(now)
	refuse := func(ask Request) Action {
		return Refusal{Request: ask, Err: request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable,
			s.params.MinRetryAfter, "another daemon admits to target %s now", s.params.Target)}
	}
	return append(actions, s.refuseWaiting(refuse)...)
}

// died ends all grants and names their requests.
func (s *Coordinator) died(now time.Time) []Action {
	var inFlight []Request
	for len(s.order) > 0 {
		g := s.order[0]
		inFlight = append(inFlight, g.ask)
		s.end(now, g)
	}
	// Work of the dead incarnation must not be taken for work of the next one.
	s.ended = nil
	incarnation := s.report.incarnation
	s.report = report{taken: s.report.taken}
	if len(inFlight) == 0 {
		return nil
	}
	return []Action{TargetFailure{Incarnation: incarnation, InFlight: inFlight}}
}

func (s *Coordinator) refuseWaiting(refuse func(Request) Action) []Action {
	var actions []Action
	for _, item := range s.queue.Drain() {
		actions = append(actions, refuse(s.waiting[item.ID]))
		delete(s.waiting, item.ID)
	}
	for _, w := range s.suspects {
		actions = append(actions, refuse(w.ask))
	}
	s.suspects = nil
	return actions
}

func (s *Coordinator) liveAt(t time.Time) int {
	n := 0
	for _, g := range s.order {
		if g.liveAt(t) {
			n++
		}
	}
	for _, g := range s.ended {
		if g.liveAt(t) {
			n++
		}
	}
	return n
}

func (s *Coordinator) fresh(now time.Time) bool {
	return !s.report.taken.IsZero() && now.Sub(s.report.taken) <= s.params.LoadTTL
}

// running returns the requests that are taken to be at the target now: the grants
// that live, and what the last report showed beyond them.
func (s *Coordinator) running(now time.Time) int {
	n := len(s.order)
	if s.fresh(now) {
		n += s.report.foreign
	}
	return n
}

// prefillBacklog estimates the tokens that wait for prefill at the target: what the
// last report said and what was granted after it, less what was computed since.
func (s *Coordinator) prefillBacklog(now time.Time) float64 {
	var backlog float64
	var at time.Time
	if s.fresh(now) {
		backlog = float64(s.report.prefill)
		at = s.report.taken
	}
	return s.foldBacklog(now, backlog, at, func(*grant) bool { return true })
}

// withinShareBacklog is the part of the backlog that is computed first. It is known
// from the grants alone.
func (s *Coordinator) withinShareBacklog(now time.Time) float64 {
	return s.foldBacklog(now, 0, time.Time{}, func(g *grant) bool { return !g.over })
}

// foldBacklog adds to a backlog of some time the grants since then.
func (s *Coordinator) foldBacklog(now time.Time, backlog float64, at time.Time, counts func(*grant) bool) float64 {
	since := at
	for _, g := range s.order {
		if !g.granted.After(since) || !counts(g) {
			continue
		}
		backlog = s.computed(backlog, g.granted.Sub(at))
		backlog += float64(g.ask.Tokens)
		at = g.granted
	}
	return s.computed(backlog, now.Sub(at))
}

// computed returns what is left of a backlog after some time of prefill.
func (s *Coordinator) computed(backlog float64, elapsed time.Duration) float64 {
	return max(0, backlog-elapsed.Seconds()*s.params.PrefillRate)
}
