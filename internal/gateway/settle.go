package gateway

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// quarantineTimeout bounds the write of a finding to the key-value service.
const quarantineTimeout = 3 * time.Second

// settle gives back all that a job still holds. It runs once, after the answer.
func (g *Gateway) settle(j *Job) {
	g.settleTicket(j, g.opts.Journal.Abort)
	g.releaseGrant(j)
	g.leaveQuarantine(j, false)
	if j.limited {
		g.opts.Limiter.Done(j.org.ID, j.output)
	}
	g.line.Settled()
}

func (g *Gateway) releaseGrant(j *Job) {
	if j.grant == nil {
		return
	}
	g.opts.Stewards.Release(*j.grant, Release{PrefillTokens: j.prefilled, TargetFailed: j.failed})
	j.grant = nil
	j.failed = false
}

func (g *Gateway) leaveQuarantine(j *Job, died bool) {
	if !j.entered {
		return
	}
	j.entered = false
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	g.opts.Quarantine.Leave(ctx, j.fingerprint, j.choice.Target.ID, died)
}

func (g *Gateway) learn(j *Job, u engineapi.Usage, first time.Duration) {
	g.opts.Contexts.Learn(j.context, Answered{
		Target:       j.choice.Target.ID,
		CachedTokens: u.CachedTokens,
		PromptTokens: u.PromptTokens,
		FirstToken:   first,
	})
}
