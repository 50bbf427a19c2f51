package relay

import (
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
)

func sinceMs(t time.Time) int64 { return time.Since(t).Milliseconds() }

// logFailedAttempt logs an attempt that gave the caller no response.
func (s *Server) logFailedAttempt(j *Job, a *attempt, number int) {
	status := 0
	if a.response != nil {
		status = a.response.Status
	}
	s.o.Metrics.Tagged(map[string]string{"outcome": a.outcome.String()}).Counter("tries").Inc(1)
	s.o.Logger.Info(loglines.AttemptFailed, "request", j.ID, "try", number, "replica", a.placement.Meta.Replica,
		"outcome", a.outcome.String(), "status", status, "weights", a.placement.Meta.WeightsVersion,
		"why", a.placement.Reason, "error", a.err, "retry_after_ms", a.meta.RetryAfter.Milliseconds(), "after_ms", sinceMs(j.Start), "software", a.software(), "resumed_after", a.resumedAfter(j), "resumes", j.Resumes)
}

// software returns the version of the software of the attempt's replica, empty if another daemon chose the replica.
func (a *attempt) software() string {
	if a.placement.Replica == nil {
		return ""
	}
	return a.placement.Replica.Info().Software
}

// resumedAfter returns the event after which the attempt resumed a stream, empty for a new stream.
func (a *attempt) resumedAfter(j *Job) string {
	if a.placement.Meta.LastEventID != "" {
		return a.placement.Meta.LastEventID
	}
	return j.LastEventID
}

// countResume counts an attempt that resumes a stream.
func (s *Server) countResume(j *Job, a *attempt) {
	by := ""
	switch {
	case j.ResponseStarted:
		by = "daemon"
	case j.LastEventID != "":
		by = "caller"
	default:
		return
	}
	s.o.Metrics.Tagged(map[string]string{"by": by}).Counter("streams_resumed").Inc(1)
}

// logAnswered records the latency of a delivered response and logs it. delivery is "stream" for a stream
// of events, "whole" for a buffered response, and "long" for a response that was not buffered.
func (s *Server) logAnswered(j *Job, a *attempt, out *sink, delivery string) {
	s.o.Metrics.Counter("answered").Inc(1)
	took := time.Since(j.Start)
	first := took
	if out != nil && !out.firstAt.IsZero() {
		first = out.firstAt.Sub(j.Start)
	}
	s.timeToFirst[j.Route.Kind].RecordDuration(first)
	s.timeToComplete[j.Route.Kind].RecordDuration(took)
	if !s.o.Logger.IsInfo() {
		return
	}
	args := []any{"request", j.ID, "route", j.Route.Name, "how", delivery, "framed", a.response.Framing(), "status", a.response.Status, "replica", a.placement.Meta.Replica,
		"why", a.placement.Reason, "after_ms", sinceMs(j.Start)}
	if cause := lateCause(j, a, out, first); cause != "" {
		args = append(args, "late", cause)
	}
	if out != nil {
		args = append(args, "software", a.software(), "first_ms", out.firstAt.Sub(j.Start).Milliseconds(), "events", out.events,
			"pause_ms", out.longestGap.Milliseconds())
	}
	if after := a.resumedAfter(j); after != "" {
		args = append(args, "resumed_after", after, "resumes", j.Resumes)
	}
	s.o.Logger.Info(loglines.Answered, append(args, j.wait.fields()...)...)
}

// lateCause names the objective of its route that a response missed, or returns "". For a missed
// first event it adds how the parts of the prompt were obtained, the first word of the placer's reason.
func lateCause(j *Job, a *attempt, out *sink, first time.Duration) string {
	switch {
	case j.Route.Objective > 0 && first > j.Route.Objective:
		way, _, _ := strings.Cut(a.placement.Reason, " ")
		return "first words, " + way
	case out != nil && j.Route.MaxEventGap > 0 && out.longestGap > j.Route.MaxEventGap:
		return "a pause"
	}
	return ""
}
