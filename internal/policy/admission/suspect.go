package admission

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// waitingSuspect waits to have the target for itself.
type waitingSuspect struct {
	ask   Request
	since time.Time
}

// A suspect runs alone, so that a crash takes nobody else's request with it and
// proves what caused it. It takes an idle target at once. On a busy one it waits;
// after SuspectPatience the target is emptied for it, since it may be innocent and
// is owed its answer. One suspect after another can't keep the target empty:
// patience starts anew when a suspect ends.

func (s *Coordinator) submitSuspect(now time.Time, ask Request) []Action {
	if len(s.suspects) >= s.params.MaxSuspects {
		return []Action{s.refuseSuspect(ask)}
	}
	s.suspects = append(s.suspects, waitingSuspect{ask: ask, since: now})
	return s.pump(now)
}

// emptying reports whether the target takes nothing new because a suspect has
// waited long enough.
func (s *Coordinator) emptying(now time.Time) bool {
	if len(s.suspects) == 0 {
		return false
	}
	since := s.suspects[0].since
	if s.aloneEnd.After(since) {
		since = s.aloneEnd
	}
	return now.Sub(since) >= s.params.SuspectDrainDelay
}

func (s *Coordinator) pumpSuspects(now time.Time) []Action {
	if s.status != statusUp || len(s.suspects) == 0 || s.running(now) > 0 {
		return nil
	}
	if s.queue.Len() > 0 && !s.emptying(now) {
		return nil
	}
	ask := s.suspects[0].ask
	s.suspects = s.suspects[1:]
	return []Action{s.grant(now, ask, true)}
}

func (s *Coordinator) expireSuspects(now time.Time) []Action {
	var actions []Action
	kept := s.suspects[:0]
	for _, w := range s.suspects {
		late := s.latestStart(w.ask)
		if now.Sub(w.since) < s.params.SuspectMaxWait && (late.IsZero() || !now.After(late)) {
			kept = append(kept, w)
			continue
		}
		actions = append(actions, s.refuseSuspect(w.ask))
	}
	s.suspects = kept
	return actions
}

func (s *Coordinator) refuseSuspect(ask Request) Action {
	s.count.refused++
	err := request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, s.params.SuspectMaxWait,
		"no target could be kept free for this request")
	return Refusal{Request: ask, Err: err}
}
