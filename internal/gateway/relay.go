package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	retryTargetFailed = time.Second
	// probeTimeout limits the probe of whether a target is alive.
	probeTimeout = time.Second
	// cancelTimeout limits the request to a target to cancel an abandoned stream.
	cancelTimeout = time.Second
)

// relayCompletion sends the job to its target and relays the answer. A failed attempt is
// retried on another target within the retry budgets, since completions are idempotent.
// The text that the caller has already received is compared byte by byte with the text
// of the next attempt, so a mixture of two answers is never sent.
func (g *Gateway) relayCompletion(out *sink, j *Job) {
	g.retryBudgets.onFirstAttempt(j)
	for {
		failure := g.attemptCompletion(out, j)
		if failure == nil {
			g.stats.answered.Inc(1)
			return
		}
		g.endAttempt(j, failure)
		if !g.retryAttempt(out, j, failure) {
			return
		}
	}
}

// endAttempt releases the resources of the failed attempt.
func (g *Gateway) endAttempt(j *Job, failure *attemptError) {
	j.targetFailed = failure.targetFailed
	j.recordOutcome(failure.answer.Ran)
	g.endInFlight(j, failure.targetDied)
	g.releaseGrant(j)
	if !failure.allowSameTarget {
		j.exclude[j.choice.Target.ID] = true
	}
	j.attempts++
}

// retryAttempt decides whether to retry and, if so, submits the job to the filters again
// from placement on. If it returns false, it has answered the caller.
func (g *Gateway) retryAttempt(out *sink, j *Job, failure *attemptError) bool {
	if final := g.prepareRetry(j, failure); final != nil {
		if !g.serveThroughPeer(out, j, final) {
			g.fail(out, final)
		}
		return false
	}
	out.beginRetry()
	return true
}

// serveThroughPeer forwards a request that reached no target to another daemon, which may reach them: this one may be cut off. It
// reports whether it has answered the caller. A request that another daemon forwarded or refused goes no further.
func (g *Gateway) serveThroughPeer(out *sink, j *Job, final *request.Error) bool {
	if !reachedNoTarget(final) || j.priorOutcome != request.NotRun || j.fromPeer || j.serveLocally || out.sentText.Len() > 0 {
		return false
	}
	j.forwardTo = g.anotherMember(j)
	if j.forwardTo == nil {
		return false
	}
	g.stats.forwarded.Inc(1)
	err := g.attemptHop(out, j)
	if err == nil {
		g.stats.answered.Inc(1)
		return true
	}
	g.log.Warn("Another daemon failed to serve a request that reached no target", "daemon", j.forwardTo.Id, "request", j.id, "error", err)
	var refusal *request.Error
	switch {
	case errors.As(err, &refusal):
		g.fail(out, refusal)
		return true
	case dialFailed(err):
		return false
	}
	j.recordOutcome(request.InDoubt)
	return false
}

// anotherMember returns a live daemon other than this one, which depends on the request; nil if there is none.
func (g *Gateway) anotherMember(j *Job) *peer.Member {
	self := g.opts.Members.Self().Id
	for _, m := range g.opts.Members.Rank(string(j.id), 2) {
		if m.Id != self {
			return m
		}
	}
	return nil
}

// prepareRetry prepares another attempt, or returns the final answer.
func (g *Gateway) prepareRetry(j *Job, failure *attemptError) *request.Error {
	if failure.final || j.ctx.Err() != nil {
		return failure.answer
	}
	switch d := g.retryBudgets.decide(j, failure.answer).(type) {
	case retry.GiveUp:
		return d.Err
	case retry.RetryElsewhere:
		if sleep.For(j.ctx, d.Delay) != nil {
			return cancelled(failure.answer.Ran)
		}
	}
	g.stats.retried.Inc(1)
	g.pipeline.Resubmit(j, filterPlace)
	if err := <-j.decided; err != nil {
		return g.refusalOf(j, err)
	}
	return nil
}

// attemptError describes why one attempt at one target did not produce the complete answer.
type attemptError struct {
	answer          *request.Error // for the caller, if this was the last attempt
	final           bool           // a retry can not succeed
	allowSameTarget bool           // a retry may go to the same target
	targetFailed    bool
	targetDied      bool // new connections to the target fail too
}

// attemptCompletion sends the job to the chosen target once and relays frames until the
// answer is complete.
func (g *Gateway) attemptCompletion(out *sink, j *Job) *attemptError {
	client := g.opts.Targets.Client(j.choice.Target)
	attempt := attemptID(j)
	sent := time.Now()
	source, err := client.Complete(j.ctx, engineapi.CompletionRequest{
		RequestID: attempt,
		Model:     j.model,
		Version:   j.context.Scope.Version,
		CacheSalt: j.context.Scope.Salt(),
		Prompt:    j.completion.Prompt,
		MaxTokens: j.completion.maxTokens(),
		Priority:  j.priority,
	})
	if err != nil {
		return g.classifyOpenError(j, client, err)
	}
	failure := newPump(g, j, out, client, attempt, source).run(sent)
	if failure != nil {
		g.cancelStream(client, attempt)
		failure.targetFailed = true
		failure.targetDied = g.hasDied(j, client)
	}
	return failure
}

// attemptID returns the id of the current attempt. Each attempt has its own id, so that
// delayed frames of an earlier attempt at another target can not enter a later one.
func attemptID(j *Job) request.ID {
	return j.localID + request.ID("-"+string(rune('a'+j.attempts%26)))
}

// classifyOpenError classifies an attempt whose stream could not be opened.
func (g *Gateway) classifyOpenError(j *Job, client *target.Client, err error) *attemptError {
	if j.ctx.Err() != nil {
		return &attemptError{answer: cancelled(request.InDoubt), final: true}
	}
	answer := &request.Error{Code: request.CodeTargetFailed, Status: http.StatusBadGateway, Ran: request.InDoubt,
		Message: "the target did not answer", RetryAfter: retryTargetFailed}
	if target.NotStarted(err) {
		answer.Ran = request.NotRun
	}
	silent := errors.Is(err, target.ErrTimeout) && g.recoverSilentTarget(client)
	var refused *engineapi.Error
	if errors.As(err, &refused) && refused.Code == engineapi.CodeWrongVersion {
		answer.Code = request.CodeWrongVersion
		answer.Message = "the target has another weight version"
	}
	g.log.Warn("Target did not open a stream", "target", j.choice.Target.ID, "request", j.id, "error", err)
	return &attemptError{
		answer:          answer,
		allowSameTarget: silent,
		targetFailed:    refused == nil && !silent,
		targetDied:      refused == nil && !silent && answer.Ran == request.InDoubt && g.hasDied(j, client),
	}
}

// recoverSilentTarget reports whether a target whose connection was silent responds on a
// new connection. If so, its pooled connections are closed: on each of them one request
// would otherwise wait in vain for a response header.
func (g *Gateway) recoverSilentTarget(client *target.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return client.ResetIfReachable(ctx) == nil
}

func cancelled(ran request.RunOutcome) *request.Error {
	return &request.Error{Code: request.CodeCancelled, Status: statusClientClosedRequest, Message: "the caller left", Ran: ran}
}

// hasDied probes a failed target over a new connection and reports whether it has died:
// either nothing accepts connections at its address, or another incarnation does. A target
// that accepts connections but does not answer is frozen or overloaded. Attributing that
// to the requests in flight would quarantine requests that did not cause it.
func (g *Gateway) hasDied(j *Job, client *target.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if j.kind == kindService {
		return g.hasNoListener(ctx, j, client)
	}
	state, err := client.State(ctx)
	if err != nil {
		return errors.Is(err, target.ErrUnreachable) && g.reachesOthers(ctx, j.choice.Target.ID)
	}
	return j.incarnation != 0 && state.Incarnation != j.incarnation
}

// hasNoListener reports whether nothing accepts connections at the address of a target, although this daemon reaches others.
func (g *Gateway) hasNoListener(ctx context.Context, j *Job, client *target.Client) bool {
	return errors.Is(client.Connect(ctx), target.ErrUnreachable) && g.reachesOthers(ctx, j.choice.Target.ID)
}

// reachesOthers reports whether this daemon reaches another target than one that it does not reach.
func (g *Gateway) reachesOthers(ctx context.Context, unreached request.TargetID) bool {
	var others []*target.Client
	for _, t := range g.opts.Tables.Current().SampleTargets(unreached, target.MaxWitnesses, rand.IntN) {
		others = append(others, g.opts.Targets.Client(*t))
	}
	return target.PathIsSound(ctx, others)
}

func (g *Gateway) cancelStream(client *target.Client, id request.ID) {
	g.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := client.Cancel(ctx, id); err != nil {
			g.log.Debug("Target did not accept the cancellation of a stream", "request", id, "error", err)
		}
	})
}
