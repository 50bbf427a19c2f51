package retention

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
)

// expectedGap returns the expected gap between uses and the spread of the gaps.
func expectedGap(p Params, g contextdir.Gaps) (gap, spread time.Duration) {
	gap, spread, ok := g.Expected()
	if !ok {
		return p.DefaultGap, p.DefaultGap
	}
	return gap, spread
}

// NextReturn estimates the next use of a context. It expects an overdue context after
// another period as long as the time since its last use, so overdue contexts rank behind
// those that are on time.
func NextReturn(p Params, lastUse time.Time, g contextdir.Gaps, now time.Time) time.Time {
	gap, spread := expectedGap(p, g)
	due := lastUse.Add(gap)
	if now.Before(due.Add(spread)) {
		return due
	}
	return now.Add(now.Sub(lastUse))
}

// dueSoon reports whether the earliest likely return is at most lead ahead and the
// latest likely return has not passed.
func dueSoon(p Params, lastUse time.Time, g contextdir.Gaps, lead time.Duration, now time.Time) bool {
	if g.Count() < p.MinHistory {
		return false
	}
	gap, spread := expectedGap(p, g)
	earliest := lastUse.Add(gap - spread/2 - lead)
	latest := lastUse.Add(gap + spread)
	return !now.Before(earliest) && now.Before(latest)
}
