package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// settleTimeout limits the write of a call's outcome to the journal. The write is
// independent of the caller's connection, because the outcome must be recorded even if
// the caller has disconnected.
const settleTimeout = 5 * time.Second

// headerReplayed marks an answer that was read from the journal.
const headerReplayed = "Idempotent-Replayed"

// relayCall sends a call to an instance of a plain service and relays its answer.
func (g *Gateway) relayCall(w http.ResponseWriter, j *Job) {
	out := newSink(w, j, g.opts.WriteTimeout)
	g.retryBudgets.onFirstAttempt(j)
	for {
		failure := g.attemptCall(w, j)
		if failure == nil {
			g.stats.answered.Inc(1)
			return
		}
		g.endAttempt(j, failure)
		if !g.retryAttempt(out, j, failure) {
			return
		}
		if j.replay != nil {
			g.writeResult(w, j, *j.replay, true)
			return
		}
	}
}

// attemptCall makes one attempt at a call. A call that is not repeatable is retried only
// if it certainly did not start.
func (g *Gateway) attemptCall(w http.ResponseWriter, j *Job) *attemptError {
	// The call continues after its caller disconnects: a call that must run at most once
	// and was interrupted would stay in doubt permanently.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(j.ctx), j.deadline)
	defer cancel()
	client := g.opts.Targets.Client(j.choice.Target)
	j.maybeSent = true
	answer, err := client.CallService(ctx, target.ServiceCall{
		Method: j.call.method,
		Path:   j.call.path,
		Header: callHeader(j),
		Body:   j.body,
	})
	if err != nil {
		return g.classifyCallError(j, client, err)
	}
	if answer.EndUnknown && g.diedAtEnd(ctx, j, client) {
		g.log.Warn("Target died at the end of an answer without a length", "target", j.choice.Target.ID, "request", j.id)
		return g.callInDoubt(j, true)
	}
	result := journal.Result{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
		EndUnknown:  answer.EndUnknown,
	}
	g.poison.onAnswered(j)
	g.finishTicket(j, result)
	// The target has finished: a caller that reads slowly must not hold a slot there.
	g.endInFlight(j, false)
	g.releaseGrant(j)
	g.writeResult(w, j, result, false)
	return nil
}

// diedAtEnd reports whether a target died at about the time at which its connection ended, so that the kernel may have ended it
// before the end of the answer.
func (g *Gateway) diedAtEnd(ctx context.Context, j *Job, client *target.Client) bool {
	time.Sleep(framing.DeathDelay) // also past the call's deadline: a part of an answer would pass for a whole one
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), framing.MaxEndCheck)
	defer cancel()
	return g.hasNoListener(ctx, j, client)
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

func (g *Gateway) classifyCallError(j *Job, client *target.Client, err error) *attemptError {
	g.log.Warn("Call failed", "target", j.choice.Target.ID, "request", j.id, "error", err)
	if target.NotStarted(err) {
		j.maybeSent = false
		g.settleTicket(j, g.opts.Journal.Abort)
		return &attemptError{
			answer: request.Refuse(request.CodeTargetFailed, http.StatusBadGateway, retryTargetFailed,
				"the service could not be reached"),
			targetFailed: true,
		}
	}
	return g.callInDoubt(j, g.hasDied(j, client))
}

// callInDoubt ends an attempt at a call that may have run.
func (g *Gateway) callInDoubt(j *Job, targetDied bool) *attemptError {
	g.settleTicket(j, g.opts.Journal.MarkInDoubt)
	g.stats.inDoubt.Inc(1)
	answer := &request.Error{Code: request.CodeInDoubt, Status: http.StatusBadGateway, Ran: request.InDoubt,
		Message: "the service did not answer; the call may have run"}
	if j.call.repeatable {
		answer.Code = request.CodeTargetFailed
		answer.RetryAfter = retryTargetFailed
	}
	return &attemptError{
		answer:       answer,
		targetFailed: true,
		targetDied:   targetDied,
	}
}

func (g *Gateway) finishTicket(j *Job, r journal.Result) {
	g.settleTicket(j, func(ctx context.Context, t *journal.Ticket) error {
		return g.opts.Journal.Finish(ctx, t, r)
	})
}

// settleTicket writes the outcome of a call to the journal. If the write fails, the
// intent remains without a result, and a repeated key is answered as in doubt instead
// of being run again.
func (g *Gateway) settleTicket(j *Job, write func(context.Context, *journal.Ticket) error) {
	if j.ticket == nil {
		return
	}
	ticket := j.ticket
	j.ticket = nil
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := write(ctx, ticket); err != nil {
		g.log.Warn("Could not write the outcome of a call to the journal", "request", j.id, "error", err)
	}
}

func (g *Gateway) writeResult(w http.ResponseWriter, j *Job, r journal.Result, replayed bool) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	if replayed {
		w.Header().Set(headerReplayed, "true")
	}
	g.writeCallBody(w, j, r)
}

// writeCallBody writes the status and the body of a call's answer, with a framing that states no more of its end than is known.
func (g *Gateway) writeCallBody(w http.ResponseWriter, j *Job, r journal.Result) {
	var f framing.Framing
	switch {
	case r.EndUnknown:
		f = framing.ByConnection(j.ctx, w.Header())
	case j.call.method != http.MethodHead && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified:
		setLength(w.Header(), r.Body)
	}
	w.WriteHeader(r.Status)
	err := writeWithTimeout(w, r.Body, g.opts.WriteTimeout)
	if err == nil && f.ByConnection {
		err = http.NewResponseController(w).Flush()
	}
	if err == nil {
		f.End()
	}
}

// setLength states the length of a whole body. Without it net/http sends a long one to a caller of HTTP/1.0 up to the end of the
// connection, which the kernel ends in order if this daemon dies.
func setLength(h http.Header, body []byte) {
	h.Set("Content-Length", strconv.Itoa(len(body)))
}

// maxChunk is the maximum number of bytes written to a caller under one deadline.
const maxChunk = 64 << 10

// writeWithTimeout writes a body until the caller stops accepting it. Each write has its own
// deadline, because a caller that stops reading without closing its connection would
// otherwise hold a credit indefinitely. A slow reader of a large body is not disconnected.
func writeWithTimeout(w http.ResponseWriter, body []byte, timeout time.Duration) error {
	control := http.NewResponseController(w)
	for len(body) > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(timeout))
		n := min(len(body), maxChunk)
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
