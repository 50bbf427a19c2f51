package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// settleTimeout bounds the write of a call's outcome to the journal. It does not end
// with the caller's connection: the outcome must be kept although the caller left.
const settleTimeout = 5 * time.Second

// headerReplayed marks a stored answer.
const headerReplayed = "Idempotent-Replayed"

// relayCall sends a call to an instance of a plain service.
func (g *Gateway) relayCall(w http.ResponseWriter, j *Job) {
	out := newSink(w, j, g.opts.WriteTimeout)
	g.budgets.first(j)
	for {
		failure := g.callOnce(w, j)
		if failure == nil {
			g.stats.answered.Inc(1)
			return
		}
		g.endTry(j, failure)
		if !g.again(out, j, failure) {
			return
		}
		if j.replay != nil {
			g.writeResult(w, *j.replay, true)
			return
		}
	}
}

// callOnce makes one try. A call that is not repeatable is tried again only if it
// surely did not start.
func (g *Gateway) callOnce(w http.ResponseWriter, j *Job) *tryError {
	// The call goes on when its caller leaves: a call that must run at most once and
	// was cut in the middle would be in doubt for ever.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(j.ctx), j.deadline)
	defer cancel()
	client := g.opts.Targets.Client(j.choice.Target)
	j.sent = true
	answer, err := client.CallService(ctx, target.ServiceCall{
		Method: j.call.method,
		Path:   j.call.path,
		Header: callHeader(j),
		Body:   j.body,
	})
	if err != nil {
		return g.callFailed(j, client, err)
	}
	result := journal.Result{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
	}
	g.finishTicket(j, result)
	// The target is done: a caller that reads slowly must not hold its place there.
	g.endFlight(j, false)
	g.releaseGrant(j)
	g.writeResult(w, result, false)
	return nil
}

func callHeader(j *Job) http.Header {
	h := http.Header{}
	if j.call.contentType != "" {
		h.Set("Content-Type", j.call.contentType)
	}
	if j.call.key != "" {
		h.Set(HeaderIdempotencyKey, j.call.key)
	}
	h.Set(HeaderRequestID, string(j.id))
	return h
}

func (g *Gateway) callFailed(j *Job, client *target.Client, err error) *tryError {
	g.log.Warn("Call failed", "target", j.choice.Target.ID, "request", j.id, "error", err)
	if target.NotStarted(err) {
		j.sent = false
		g.settleTicket(j, g.opts.Journal.Abort)
		return &tryError{
			answer: request.Refuse(request.CodeTargetFailed, http.StatusBadGateway, retryTargetFailed,
				"the service could not be reached"),
			targetFailed: true,
		}
	}
	g.settleTicket(j, g.opts.Journal.MarkInDoubt)
	g.stats.inDoubt.Inc(1)
	answer := &request.Error{Code: request.CodeInDoubt, Status: http.StatusBadGateway, Ran: request.InDoubt,
		Message: "the service did not answer; the call may have run"}
	if j.call.repeatable {
		answer.Code = request.CodeTargetFailed
		answer.RetryAfter = retryTargetFailed
	}
	return &tryError{
		answer:       answer,
		targetFailed: true,
		targetDied:   g.died(j, client),
	}
}

func (g *Gateway) finishTicket(j *Job, r journal.Result) {
	g.settleTicket(j, func(ctx context.Context, t *journal.Ticket) error {
		return g.opts.Journal.Finish(ctx, t, r)
	})
}

// settleTicket writes the outcome of a call. If that fails, the intent stays without
// a result and a repeat of the key is answered "in doubt": never run again.
func (g *Gateway) settleTicket(j *Job, write func(context.Context, *journal.Ticket) error) {
	if j.ticket == nil {
		return
	}
	ticket := j.ticket
	j.ticket = nil
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := write(ctx, ticket); err != nil {
		g.log.Warn("Outcome of a call was not kept", "request", j.id, "error", err)
	}
}

func (g *Gateway) writeResult(w http.ResponseWriter, r journal.Result, replayed bool) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	if replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.WriteHeader(r.Status)
	writeBounded(w, r.Body, g.opts.WriteTimeout)
}

// maxWrite is how much is written to a caller under one deadline.
const maxWrite = 64 << 10

// writeBounded writes a body as far as the caller takes it. A caller that stops reading
// without closing its connection would hold a credit for ever; the deadline of each
// write ends it, and a slow reader of a large body is not cut.
func writeBounded(w http.ResponseWriter, body []byte, timeout time.Duration) {
	control := http.NewResponseController(w)
	for len(body) > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(timeout))
		n := min(len(body), maxWrite)
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
