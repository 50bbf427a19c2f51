package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// deliver passes the replica's response to the caller. It returns false if the stream broke and
// may be resumed on another replica.
func (s *Server) deliver(ctx context.Context, w http.ResponseWriter, j *Job, out *sink, a *attempt) bool {
	if a.body != nil || !isStream(a.response.Header) {
		s.deliverComplete(ctx, w, j, a)
		return true
	}
	err := s.copyEvents(ctx, j, out, a)
	if err == nil {
		if a.placement.Stream != nil {
			a.placement.Stream.Completed(time.Now())
		}
		s.logAnswered(j, a, out, "stream")
		a.release(true)
		return true
	}
	a.err = err
	defer s.verifyOrigin(context.WithoutCancel(ctx), j, out, a)
	if errors.Is(err, errCallerDisconnected) || ctx.Err() != nil {
		a.outcome = cancelled
		return false
	}
	a.outcome = mayHaveRun
	a.recordFailure()
	return false
}

// deliverComplete passes on a response that is no stream, buffered or not.
func (s *Server) deliverComplete(ctx context.Context, w http.ResponseWriter, j *Job, a *attempt) {
	if a.body != nil {
		s.deliverBuffered(ctx, w, j, a)
		return
	}
	s.deliverUnbuffered(ctx, w, j, a)
}

func (s *Server) deliverBuffered(ctx context.Context, w http.ResponseWriter, j *Job, a *attempt) {
	s.copyHeader(w.Header(), a)
	if !a.response.EndsWithConnection() {
		setLength(w.Header(), j, a.response, len(a.body))
	}
	f := s.frame(ctx, w, j, a)
	s.closeIfDraining(w)
	w.WriteHeader(a.response.Status)
	_, err := w.Write(a.body)
	if err == nil && f.ByConnection {
		err = http.NewResponseController(w).Flush()
	}
	s.logAnswered(j, a, nil, "whole")
	a.release(true)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.End()
}

// deliverUnbuffered streams a long response to the caller. If the replica's connection breaks, the
// caller's connection is closed without the final chunk or reset, so that the response is visibly truncated.
func (s *Server) deliverUnbuffered(ctx context.Context, w http.ResponseWriter, j *Job, a *attempt) {
	s.copyHeader(w.Header(), a)
	if n := a.response.ContentLength; n >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(n))
	}
	f := s.frame(ctx, w, j, a)
	s.closeIfDraining(w)
	w.WriteHeader(a.response.Status)
	_, err := io.Copy(w, a.response.Body)
	if err == nil {
		err = http.NewResponseController(w).Flush() // renews the deadline, under which net/http writes the end
	}
	if err == nil {
		err = s.confirmEnd(ctx, j, a, f)
	}
	s.logAnswered(j, a, nil, "long")
	a.release(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.End()
}

// finishUnanswered ends a request that no replica answered completely.
func (s *Server) finishUnanswered(ctx context.Context, w http.ResponseWriter, j *Job, out *sink, mayRun bool, cause error) {
	if out.started {
		s.o.Logger.Info(loglines.StreamBroken, "request", j.ID, "route", j.Route.Name, "events", out.events, "cause", cause, "after_ms", sinceMs(j.Start))
		s.o.Metrics.Counter("streams_broken").Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.writeError(w, j, finalError(ctx, j, mayRun, cause))
}

// finalError returns the error for a request without a response. It states "not run" only if no
// attempt can have run.
func finalError(ctx context.Context, j *Job, mayRun bool, cause error) error {
	late := !time.Now().Before(j.Deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	if mayRun && late {
		return &request.Error{Code: request.CodeDeadline, Status: http.StatusGatewayTimeout, Message: "no answer in time", Ran: request.InDoubt}
	}
	if mayRun {
		return &request.Error{Code: request.CodeTargetFailed, Status: http.StatusBadGateway, Message: "the replica failed", Ran: request.InDoubt}
	}
	var e *request.Error
	if errors.As(cause, &e) {
		return e
	}
	if late {
		return request.Refuse(request.CodeDeadline, http.StatusServiceUnavailable, noCapacityRetry, "no replica took it in time")
	}
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, noCapacityRetry, "no replica took it")
}

// writeError sends an error that this daemon generated.
func (s *Server) writeError(w http.ResponseWriter, j *Job, err error) {
	var e *request.Error
	if !errors.As(err, &e) {
		e = &request.Error{Code: request.CodeInternal, Status: http.StatusBadGateway, Message: err.Error(), Ran: request.InDoubt}
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", e.RetryAfter.Seconds()))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if j.received != nil {
		setRefusalHeader(w.Header(), e)
	}
	s.closeIfDraining(w)
	s.o.Metrics.Tagged(map[string]string{"code": string(e.Code)}).Counter("refused").Inc(1)
	args := []any{"request", j.ID, "status", e.Status, "code", e.Code, "ran", e.Ran,
		"route", routeName(j), "why", e.Message, "after_ms", sinceMs(j.Start)}
	s.o.Logger.Info(loglines.Refused, append(args, j.wait.fields()...)...)
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, e.Message+"\n") // fails only if the caller has disconnected
}

func routeName(j *Job) string {
	if j.Route == nil {
		return ""
	}
	return j.Route.Name
}

func (s *Server) closeIfDraining(w http.ResponseWriter) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}
