package fairqueue

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Ahead estimates the tokens that would be served before an item of the given
// organisation and weight pushed now. It counts the items that start earlier in
// virtual time, so the estimate may be short by one item per other organisation.
func (q *Queue) Ahead(org request.OrgID, weight int) int64 {
	var own int64
	start := q.virtual
	if o, ok := q.orgs[org]; ok {
		own = o.queued
		start = max(start, o.start)
	}
	start += float64(own) / float64(max(weight, 1))
	return own + q.othersAhead(org, start)
}

// othersAhead estimates the tokens served to other organisations before virtual time
// reaches start. The estimate for each organisation is capped at its queued tokens.
func (q *Queue) othersAhead(org request.OrgID, start float64) int64 {
	var ahead int64
	for _, o := range q.order {
		if o.id == org || len(o.items) == 0 {
			continue
		}
		share := int64(max(start-o.start, 0) * float64(o.weight))
		ahead += min(o.queued, share)
	}
	return ahead
}

// Expire removes the items that can no longer start in time. It removes an item as
// soon as the item's estimated wait exceeds its latest start, rather than at its
// deadline, so that the caller can still retry at another target in time.
//
// rate is the service rate of the queue in tokens a second, and busy is the time
// until the next item may start.
func (q *Queue) Expire(now time.Time, rate float64, busy time.Duration) []Dropped {
	var dropped []Dropped
	for _, o := range append([]*orgState(nil), q.order...) {
		var before int64
		for i := 0; i < len(o.items); {
			item := o.items[i]
			start := o.start + float64(before)/float64(item.Weight)
			ahead := before + q.othersAhead(o.id, start)
			wait := busy + Duration(float64(ahead), rate)
			if !item.LatestStart.IsZero() && now.Add(wait).After(item.LatestStart) {
				dropped = append(dropped, Dropped{Item: item, Reason: TooLate})
				q.removeAt(o, i)
				continue
			}
			before += item.Cost
			i++
		}
	}
	q.endBusyPeriod()
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
