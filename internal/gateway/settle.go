package gateway

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/journal"
)

// quarantineTimeout bounds the write of a finding to the key-value service.
const quarantineTimeout = 3 * time.Second

// settle gives back all that a job still holds. It runs once, after the answer. Each
// part is given back although another panics: a credit that is lost is lost for good.
func (g *Gateway) settle(j *Job) {
	defer g.line.Settled()
	defer g.leaveLimits(j)
	defer g.endFlight(j, false)
	defer g.releaseGrant(j)
	g.settleTicket(j, g.leftOver(j))
}

func (g *Gateway) leaveLimits(j *Job) {
	if j.limited {
		g.opts.Limiter.Done(j.org.ID, j.output)
	}
}

// leftOver is what becomes of a ticket that nobody has settled. A call that was never
// sent frees its key. One that was sent and whose handler then failed in an unforeseen
// way may have run: freeing its key would let the next try run it twice.
func (g *Gateway) leftOver(j *Job) func(context.Context, *journal.Ticket) error {
	if j.sent {
		return g.opts.Journal.MarkInDoubt
	}
	return g.opts.Journal.Abort
}

func (g *Gateway) releaseGrant(j *Job) {
	if j.grant == nil {
		return
	}
	g.opts.Coordinators.Release(*j.grant, Release{PrefillTokens: j.prefilled, TargetFailed: j.failed})
	j.grant = nil
	j.failed = false
}

// endFlight tells the quarantine that the present try is over. If the target died,
// the finding is written before the request can be sent again.
func (g *Gateway) endFlight(j *Job, died bool) {
	if j.inFlight == "" {
		return
	}
	if died {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
		defer cancel()
		g.opts.Quarantine.TargetDied(ctx, j.choice.Target.ID, j.incarnation)
	}
	g.opts.Quarantine.End(j.inFlight)
	j.inFlight = ""
}

func (g *Gateway) learn(j *Job, u engineapi.Usage, first time.Duration) {
	g.opts.Contexts.OnAnswer(j.context, CompletionStats{
		Target:       j.choice.Target.ID,
		CachedTokens: u.CachedTokens,
		PromptTokens: u.PromptTokens,
		FirstToken:   first,
	})
}
