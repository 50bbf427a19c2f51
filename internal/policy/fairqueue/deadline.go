package fairqueue

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Ahead estimates the tokens that would be served before an item of the given
// organisation and weight pushed now. See Shares.Ahead for its accuracy.
func (q *Queue) Ahead(org request.OrgID, weight int) int64 {
	var own int64
	if o, ok := q.shares.orgs[org]; ok {
		own = o.queued
	}
	return q.shares.Ahead(org, weight, own)
}

// Expire removes the items that can no longer start in time. It removes an item as
// soon as the item's estimated wait exceeds its latest start, rather than at its
// deadline, so that the caller can still retry at another target in time.
//
// rate is the service rate of the queue in tokens a second, and busy is the time
// until the next item may start.
func (q *Queue) Expire(now time.Time, rate float64, busy time.Duration) []Dropped {
	var dropped []Dropped
	for _, o := range slices.Clone(q.shares.order) {
		var before int64
		for i := 0; i < len(q.items[o.id]); {
			item := q.items[o.id][i]
			start := o.start + float64(before)/float64(item.Weight)
			ahead := before + q.shares.othersAhead(o.id, start)
			wait := busy + Duration(float64(ahead), rate)
			if !item.LatestStart.IsZero() && now.Add(wait).After(item.LatestStart) {
				dropped = append(dropped, Dropped{Item: q.removeAt(o.id, i), Reason: TooLate})
				continue
			}
			before += item.Cost
			i++
		}
	}
	return dropped
}

// maxDuration caps estimates, which would overflow at very low rates.
const maxDuration = 24 * time.Hour

// Duration returns the time to serve an amount at a rate per second, at most one
// day.
func Duration(amount, rate float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 || amount/rate >= maxDuration.Seconds() {
		return maxDuration
	}
	return time.Duration(amount / rate * float64(time.Second))
}
