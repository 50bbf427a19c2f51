package gateway

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/journal"
)

// quarantineTimeout limits the write of a crash record to the key-value service.
const quarantineTimeout = 3 * time.Second

// settle releases all resources that a job still holds. It runs once, after the answer.
// Each resource is released even if the release of another panics, since a leaked credit
// is never recovered.
func (g *Gateway) settle(j *Job) {
	defer g.pipeline.ReleaseCredit()
	defer g.releaseLimits(j)
	defer g.endInFlight(j, false)
	defer g.releaseGrant(j)
	g.settleTicket(j, g.ticketFallback(j))
}

func (g *Gateway) releaseLimits(j *Job) {
	if j.admitted {
		g.opts.Limiter.Done(j.org.ID, j.outputTokens)
	}
}

// ticketFallback returns the function that settles a ticket which no earlier step has
// settled. If the call was never sent, its key becomes free. If the call was sent and its
// handler then failed unexpectedly, the call may have run: freeing its key would let the
// next attempt run it a second time.
func (g *Gateway) ticketFallback(j *Job) func(context.Context, *journal.Ticket) error {
	if j.maybeSent {
		return g.opts.Journal.MarkInDoubt
	}
	return g.opts.Journal.Abort
}

func (g *Gateway) releaseGrant(j *Job) {
	if j.grant == nil {
		return
	}
	g.opts.Coordinators.Release(*j.grant, Release{PrefillTokens: j.prefillTokens, TargetFailed: j.targetFailed})
	j.grant = nil
	j.targetFailed = false
}

// endInFlight reports the end of the current attempt to the quarantine. If the target died,
// the crash record is written before the request can be sent again.
func (g *Gateway) endInFlight(j *Job, died bool) {
	if j.inFlightAttempt == "" {
		return
	}
	if died {
		g.poison.onDeath(j)
		ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
		defer cancel()
		g.opts.Quarantine.TargetDied(ctx, j.choice.Target.ID, j.incarnation)
	}
	g.opts.Quarantine.End(j.inFlightAttempt)
	j.inFlightAttempt = ""
}

func (g *Gateway) reportAnswer(j *Job, u engineapi.Usage, firstToken time.Duration) {
	g.poison.onAnswered(j)
	g.opts.Contexts.OnAnswer(j.context, CompletionStats{
		Target:       j.choice.Target.ID,
		CachedTokens: u.CachedTokens,
		PromptTokens: u.PromptTokens,
		FirstToken:   firstToken,
	})
}
