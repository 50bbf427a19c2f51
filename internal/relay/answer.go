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

// deliver passes an answer on. It returns false if the stream broke off and may be
// resumed elsewhere.
func (s *Server) deliver(ctx context.Context, w http.ResponseWriter, j *Job, k *sink, t *try) bool {
	if t.body != nil {
		s.deliverWhole(w, j, t)
		return true
	}
	if !isStream(t.response.Header) {
		s.deliverLong(w, j, t)
		return true
	}
	err := s.pump(ctx, k, t)
	if err == nil {
		s.logEnd(j, t, k, "stream")
		t.done(true)
		return true
	}
	t.err = err
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		t.outcome = callerEnd
		return false
	}
	t.outcome = mayHave
	t.placement.Replica.Health.Unreachable(time.Now())
	return false
}

func (s *Server) deliverWhole(w http.ResponseWriter, j *Job, t *try) {
	s.o.Dialect.Incoming(w.Header(), t.response.Header)
	w.Header().Set("Content-Length", fmt.Sprint(len(t.body)))
	s.closeIfStopping(w)
	w.WriteHeader(t.response.Status)
	_, err := w.Write(t.body)
	s.logEnd(j, t, nil, "whole")
	t.done(true)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// deliverLong passes a long answer on as it comes. Where it breaks off, so does ours: the
// connection ends without the closing chunk.
func (s *Server) deliverLong(w http.ResponseWriter, j *Job, t *try) {
	s.o.Dialect.Incoming(w.Header(), t.response.Header)
	if n := t.response.ContentLength; n >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(n))
	}
	s.closeIfStopping(w)
	w.WriteHeader(t.response.Status)
	_, err := io.Copy(w, t.response.Body)
	s.logEnd(j, t, nil, "long")
	t.done(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// end gives the final answer to a request that no replica answered.
func (s *Server) end(ctx context.Context, w http.ResponseWriter, j *Job, k *sink, mayRun bool, cause error) {
	if k.started {
		s.o.Logger.Info(loglines.StreamBroken, "request", j.ID, "route", j.Route.Name, "events", k.count, "cause", cause, "after_ms", sinceMs(j.Start))
		s.o.Metrics.Counter("streams_broken").Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.refuse(w, j, finalError(ctx, j, mayRun, cause))
}

// finalError says why a request has no answer. "Not run" is told only if no try can have
// run.
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
		return request.Refuse(request.CodeDeadline, http.StatusServiceUnavailable, fullRetry, "no replica took it in time")
	}
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, fullRetry, "no replica took it")
}

// refuse writes an error of our own.
func (s *Server) refuse(w http.ResponseWriter, j *Job, err error) {
	var e *request.Error
	if !errors.As(err, &e) {
		e = &request.Error{Code: request.CodeInternal, Status: http.StatusBadGateway, Message: err.Error(), Ran: request.InDoubt}
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", e.RetryAfter.Seconds()))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.closeIfStopping(w)
	s.o.Metrics.Tagged(map[string]string{"code": string(e.Code)}).Counter("refused").Inc(1)
	s.o.Logger.Info(loglines.Refused, "request", j.ID, "status", e.Status, "code", e.Code, "ran", e.Ran,
		"route", routeName(j), "why", e.Message, "after_ms", sinceMs(j.Start))
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, e.Message+"\n") // the caller may have left; there is nothing to undo
}

func routeName(j *Job) string {
	if j.Route == nil {
		return ""
	}
	return j.Route.Name
}

func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}
