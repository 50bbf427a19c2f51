package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	retryTargetFailed = time.Second
	// probeTimeout bounds the question whether a target lives.
	probeTimeout = time.Second
	// cancelTimeout bounds the order to a target to stop a stream nobody reads.
	cancelTimeout = time.Second
)

// relayCompletion sends the job to its target and relays the answer. A try that
// fails is repeated elsewhere within the budgets: completions are idempotent. What
// the caller has already got is compared byte by byte with what the next try yields,
// so a mixture of two answers can never be sent.
func (g *Gateway) relayCompletion(out *sink, j *Job) {
	g.budgets.first(j)
	for {
		failure := g.try(out, j)
		if failure == nil {
			g.stats.answered.Inc(1)
			return
		}
		g.endTry(j, failure)
		if !g.again(out, j, failure) {
			return
		}
	}
}

// endTry gives back what the failed try held.
func (g *Gateway) endTry(j *Job, failure *tryError) {
	j.failed = failure.targetFailed
	j.noteRan(failure.answer.Ran)
	g.endFlight(j, failure.targetDied)
	g.releaseGrant(j)
	if !failure.sameTarget {
		j.exclude[j.choice.Target.ID] = true
	}
	j.tries++
}

// again decides whether to try once more and if so takes the job through the filters
// from placement on. It has answered the caller when it returns false.
func (g *Gateway) again(out *sink, j *Job, failure *tryError) bool {
	if final := g.nextTry(j, failure); final != nil {
		g.fail(out, final)
		return false
	}
	out.restart()
	return true
}

// nextTry prepares another try, or returns the final answer.
func (g *Gateway) nextTry(j *Job, failure *tryError) *request.Error {
	if failure.final || j.ctx.Err() != nil {
		return failure.answer
	}
	switch d := g.budgets.decide(j, failure.answer).(type) {
	case retry.GiveUp:
		return d.Err
	case retry.RetryElsewhere:
		if sleep.For(j.ctx, d.Delay) != nil {
			return cancelled(failure.answer.Ran)
		}
	}
	g.stats.retried.Inc(1)
	g.line.Resubmit(j, filterPlace)
	if err := <-j.decided; err != nil {
		return g.refusalOf(j, err)
	}
	return nil
}

// tryError is how one try at one target ended without the whole answer.
type tryError struct {
	answer       *request.Error // for the caller, if this was the last try
	final        bool           // another try can not help
	sameTarget   bool           // another try may go to the same target
	targetFailed bool
	targetDied   bool // new connections to the target fail too
}

// try sends the job to the chosen target once and relays until the answer is whole.
func (g *Gateway) try(out *sink, j *Job) *tryError {
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
		return g.openFailed(j, client, err)
	}
	failure := newPump(g, j, out, client, attempt, source).run(sent)
	if failure != nil {
		g.stopStream(client, attempt)
		failure.targetFailed = true
		failure.targetDied = g.died(j, client)
	}
	return failure
}

// attemptID names one try of a request. Each try has its own, so that late frames of
// an earlier try at another target can not enter a later one.
func attemptID(j *Job) request.ID {
	return j.work + request.ID("-"+string(rune('a'+j.tries%26)))
}

// openFailed classifies a try whose stream never opened.
func (g *Gateway) openFailed(j *Job, client *target.Client, err error) *tryError {
	if j.ctx.Err() != nil {
		return &tryError{answer: cancelled(request.InDoubt), final: true}
	}
	answer := &request.Error{Code: request.CodeTargetFailed, Status: http.StatusBadGateway, Ran: request.InDoubt,
		Message: "the target did not answer", RetryAfter: retryTargetFailed}
	if target.NotStarted(err) {
		answer.Ran = request.NotRun
	}
	silent := errors.Is(err, target.ErrTimeout) && g.recovered(client)
	var refused *engineapi.Error
	if errors.As(err, &refused) && refused.Code == engineapi.CodeWrongVersion {
		answer.Code = request.CodeWrongVersion
		answer.Message = "the target has another weight version"
	}
	g.log.Warn("Target did not open a stream", "target", j.choice.Target.ID, "request", j.id, "error", err)
	return &tryError{
		answer:       answer,
		sameTarget:   silent,
		targetFailed: refused == nil && !silent,
		targetDied:   refused == nil && !silent && answer.Ran == request.InDoubt && g.died(j, client),
	}
}

// recovered tells whether a target whose connection was silent answers on a new one.
// Its pooled connections are then thrown away: each of them would otherwise cost one
// request the wait for a head that never comes.
func (g *Gateway) recovered(client *target.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return client.ResetIfReachable(ctx) == nil
}

func cancelled(ran request.RunOutcome) *request.Error {
	return &request.Error{Code: request.CodeCancelled, Status: statusClientGone, Message: "the caller left", Ran: ran}
}

// died asks over a fresh connection whether a target that failed has died: nothing
// accepts connections there any more, or another incarnation does. One that accepts
// and does not answer is frozen or overloaded; to blame the requests in flight for
// that would put innocent ones into quarantine.
func (g *Gateway) died(j *Job, client *target.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if j.kind == kindService {
		return errors.Is(client.Probe(ctx), target.ErrUnreachable)
	}
	state, err := client.State(ctx)
	if err != nil {
		return errors.Is(err, target.ErrUnreachable)
	}
	return j.incarnation != 0 && state.Incarnation != j.incarnation
}

func (g *Gateway) stopStream(client *target.Client, id request.ID) {
	g.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := client.Cancel(ctx, id); err != nil {
			g.log.Debug("Cancel was not taken", "request", id, "error", err)
		}
	})
}
