package gateway

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// statusClientClosedRequest is the status for a caller that closed its connection. It is
// only logged, since no client receives it.
const statusClientClosedRequest = 499

// errorBody is the body of the answer to a request that failed.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         request.Code       `json:"code"`
	Message      string             `json:"message"`
	Field        string             `json:"field,omitempty"`
	Ran          request.RunOutcome `json:"ran"`
	RetryAfterMs int64              `json:"retry_after_ms,omitempty"`
}

func detailOf(e *request.Error) errorDetail {
	return errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Field:        e.Field,
		Ran:          e.Ran,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func (g *Gateway) writeError(w http.ResponseWriter, e *request.Error) {
	g.stats.refused(e.Code).Inc(1)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	if err := json.NewEncoder(w).Encode(errorBody{Error: detailOf(e)}); err != nil {
		g.log.Debug("Caller disconnected before its refusal was written", "error", err)
	}
}

// retryAfterSeconds rounds up, since the header allows only whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

// refusalOf converts an error of the filters to the answer for the caller. An error that
// no filter classified is answered as in doubt if a target may have received the request.
func (g *Gateway) refusalOf(j *Job, err error) *request.Error {
	var refusal *request.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	ran := request.NotRun
	if j.ticket != nil {
		ran = request.InDoubt
	}
	if errors.Is(err, context.Canceled) {
		return &request.Error{Code: request.CodeCancelled, Status: statusClientClosedRequest, Message: "the caller left", Ran: ran}
	}
	g.log.Error("Filter failed", "request", j.id, "error", err)
	return &request.Error{Code: request.CodeInternal, Status: http.StatusInternalServerError, Message: "internal error", Ran: ran, RetryAfter: retryWhenFull}
}

// fail ends an answer with an HTTP status if nothing has been written, otherwise with an
// error event.
//
// The refusal of a retry must not report "not run" if an earlier attempt may have run, so
// the outcome of the earlier attempts takes precedence.
func (g *Gateway) fail(out *sink, e *request.Error) {
	if e.Ran == request.NotRun && out.j.priorOutcome != "" && out.j.priorOutcome != request.NotRun {
		copied := *e
		copied.Ran = out.j.priorOutcome
		e = &copied
	}
	if !out.headerWritten {
		g.writeError(out.w, e)
		return
	}
	g.stats.refused(e.Code).Inc(1)
	out.fail(e)
}
