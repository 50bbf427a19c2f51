package limit

import (
	"sort"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// fallback is the state of a daemon that admits requests by its own share of the limits
// while the coordinator is unreachable. The share is limit/daemons for FallbackTTL, then
// FloorShare of that. If all daemons lose their coordinators at the same time, they
// together admit at most the limits.
type fallback struct {
	startedAt time.Time
	requests  bucket
	tokens    bucket
}

func (l *LocalLimiter) enterFallback(now time.Time, a *account) {
	a.endRequest()
	if a.fallback != nil {
		return
	}
	share := a.limits.scaled(1 / float64(l.daemons))
	a.fallback = &fallback{
		startedAt: now,
		requests:  bucket{level: 1, filledAt: now},
		tokens:    bucket{level: share.tokenBurst(), filledAt: now},
	}
}

// admitInFallback decides without the coordinator, and retries the coordinator once per
// SliceTTL.
func (l *LocalLimiter) admitInFallback(now time.Time, org request.OrgID, a *account, tokens int64) Decision {
	var d Decision
	if !a.requesting && now.Sub(a.requestedAt) >= l.params.SliceTTL {
		d.SliceRequest = l.requestSlice(now, org, a)
	}
	f := a.fallback
	share := a.limits.scaled(1 / float64(l.daemons))
	if now.Sub(f.startedAt) >= l.params.FallbackTTL {
		share = share.scaled(l.params.FloorShare)
	}
	f.requests.fill(now, share.RequestsPerSecond, share.burst())
	f.tokens.fill(now, share.TokensPerSecond, share.tokenBurst())
	f.tokens.level -= float64(a.uncoveredTokens)
	a.uncoveredTokens = 0

	var wait time.Duration
	if share.RequestsPerSecond > 0 && f.requests.level < 1 {
		wait = f.requests.timeToReach(1, share.RequestsPerSecond)
	}
	if share.TokensPerSecond > 0 && f.tokens.level <= 0 {
		wait = max(wait, f.tokens.timeToReach(1, share.TokensPerSecond))
	}
	if share.Concurrency > 0 && a.running >= int64(share.Concurrency) {
		wait = max(wait, l.params.SliceTTL)
	}
	if wait > 0 {
		d.Outcome, d.RetryAfter = Refused, l.params.clamp(wait)
		return d
	}
	f.requests.level--
	f.tokens.level -= float64(tokens)
	a.running++
	d.Outcome = Admitted
	return d
}

// scaled returns a share of the limits, with a burst and a concurrency of at least 1.
func (l Limits) scaled(share float64) Limits {
	l.RequestsPerSecond *= share
	l.TokensPerSecond *= share
	if l.Burst > 0 {
		l.Burst = max(1, int(float64(l.Burst)*share))
	}
	if l.Concurrency > 0 {
		l.Concurrency = max(1, int(float64(l.Concurrency)*share))
	}
	return l
}

func sortSliceRequests(requests []SliceRequest) {
	sort.Slice(requests, func(i, j int) bool { return requests[i].Org < requests[j].Org })
}
