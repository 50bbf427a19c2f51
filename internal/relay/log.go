package relay

import (
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
)

func sinceMs(t time.Time) int64 { return time.Since(t).Milliseconds() }

// logTry says how a try ended that gave the caller no answer.
func (s *Server) logTry(j *Job, t *try, sends int) {
	status := 0
	if t.response != nil {
		status = t.response.Status
	}
	s.o.Metrics.Tagged(map[string]string{"outcome": t.outcome.String()}).Counter("tries").Inc(1)
	s.o.Logger.Info(loglines.AttemptFailed, "request", j.ID, "try", sends, "replica", t.placement.Send.Replica,
		"outcome", t.outcome.String(), "status", status, "weights", t.placement.Send.Weights,
		"why", t.placement.Reason, "error", t.err, "retry_after_ms", t.answer.RetryAfter.Milliseconds(), "after_ms", sinceMs(j.Start))
}

// logEnd says what was delivered.
func (s *Server) logEnd(j *Job, t *try, k *sink, how string) {
	s.o.Metrics.Counter("answered").Inc(1)
	took := time.Since(j.Start)
	first := took
	if k != nil && !k.firstAt.IsZero() {
		first = k.firstAt.Sub(j.Start)
	}
	s.first[j.Route.Kind].RecordDuration(first)
	s.whole[j.Route.Kind].RecordDuration(took)
	if !s.o.Logger.IsInfo() {
		return
	}
	args := []any{"request", j.ID, "route", j.Route.Name, "how", how, "status", t.response.Status, "replica", t.placement.Send.Replica,
		"why", t.placement.Reason, "after_ms", sinceMs(j.Start)}
	if late := lateness(j, t, k, first); late != "" {
		args = append(args, "late", late)
	}
	if k != nil {
		args = append(args, "first_ms", k.firstAt.Sub(j.Start).Milliseconds(), "events", k.count,
			"pause_ms", k.pause.Milliseconds())
	}
	s.o.Logger.Info(loglines.Answered, args...)
}

// lateness says what made an answer late by its route's objectives; empty if it is not. The
// way by which the parts of the prompt came goes with it, as the placer tells it.
func lateness(j *Job, t *try, k *sink, first time.Duration) string {
	switch {
	case j.Route.Objective > 0 && first > j.Route.Objective:
		way, _, _ := strings.Cut(t.placement.Reason, " ")
		return "first words, " + way
	case k != nil && j.Route.MaxPause > 0 && k.pause > j.Route.MaxPause:
		return "a pause"
	}
	return ""
}
