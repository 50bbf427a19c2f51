package limit

import (
	"sort"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// fallback admits by this home's share of the limits while the steward can't be
// reached: limit/daemons for FallbackTTL, then FloorShare of that. If all homes lose
// their stewards at once they admit the limits together, and no more.
type fallback struct {
	since    time.Time
	requests bucket
	tokens   bucket
}

func (h *Home) lose(now time.Time, a *account) {
	a.answered()
	if a.lost != nil {
		return
	}
	share := a.limits.scaled(1 / float64(h.daemons))
	a.lost = &fallback{
		since:    now,
		requests: bucket{level: 1, at: now},
		tokens:   bucket{level: share.tokenBurst(), at: now},
	}
}

// admitLost decides without the steward, and asks it again once in SliceTTL.
func (h *Home) admitLost(now time.Time, org request.OrgID, a *account, tokens int64) Decision {
	var d Decision
	if !a.asking && now.Sub(a.askedAt) >= h.params.SliceTTL {
		d.SliceRequest = h.ask(now, org, a)
	}
	f := a.lost
	share := a.limits.scaled(1 / float64(h.daemons))
	if now.Sub(f.since) >= h.params.FallbackTTL {
		share = share.scaled(h.params.FloorShare)
	}
	f.requests.fill(now, share.RequestsPerSecond, share.burst())
	f.tokens.fill(now, share.TokensPerSecond, share.tokenBurst())
	f.tokens.level -= float64(a.debt)
	a.debt = 0

	var wait time.Duration
	if share.RequestsPerSecond > 0 && f.requests.level < 1 {
		wait = f.requests.until(1, share.RequestsPerSecond)
	}
	if share.TokensPerSecond > 0 && f.tokens.level <= 0 {
		wait = max(wait, f.tokens.until(1, share.TokensPerSecond))
	}
	if share.Concurrency > 0 && a.running >= int64(share.Concurrency) {
		wait = max(wait, h.params.SliceTTL)
	}
	if wait > 0 {
		d.Outcome, d.RetryAfter = Refused, h.params.clamp(wait)
		return d
	}
	f.requests.level--
	f.tokens.level -= float64(tokens)
	a.running++
	d.Outcome = Admitted
	return d
}

// scaled returns a share of the limits, at least one place and one request at once.
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

func sortWants(wants []SliceRequest) {
	sort.Slice(wants, func(i, j int) bool { return wants[i].Org < wants[j].Org })
}
