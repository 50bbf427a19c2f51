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

// statusClientGone is logged for a caller that closed its connection; nobody reads it.
const statusClientGone = 499

// errorBody is the answer to a request that did not succeed.
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
		g.log.Debug("Caller left before its refusal", "error", err)
	}
}

// retryAfterSeconds rounds up, since the header knows whole seconds only.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

// refusalOf turns an error of the filters into the answer for the caller. An error
// that no filter classified is answered as in doubt if a target may have been asked.
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
		return &request.Error{Code: request.CodeCancelled, Status: statusClientGone, Message: "the caller left", Ran: ran}
	}
	g.log.Error("Filter failed", "request", j.id, "error", err)
	return &request.Error{Code: request.CodeInternal, Status: http.StatusInternalServerError, Message: "internal error", Ran: ran, RetryAfter: retryWhenFull}
}

// fail ends an answer: with a status if nothing has been written, else with an event.
//
// A refusal of a later try must not say "not run" of a request whose earlier try may
// have run: what is known of those goes first.
func (g *Gateway) fail(out *sink, e *request.Error) {
	if e.Ran == request.NotRun && out.j.ran != "" && out.j.ran != request.NotRun {
		copied := *e
		copied.Ran = out.j.ran
		e = &copied
	}
	if !out.started {
		g.writeError(out.w, e)
		return
	}
	g.stats.refused(e.Code).Inc(1)
	out.fail(e)
}
