package fairqueue

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Ahead estimates the tokens that will be served before an item of the given
// organisation and weight that would be pushed now. It counts what starts earlier
// in virtual time, and so may be short by one item of each other organisation.
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

// othersAhead estimates what other organisations are served before virtual time
// reaches start. None is served more than it has waiting.
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

// Expire removes the items that can no longer start in time. An item leaves as
// soon as the estimate of its wait passes its latest start, and not only at its
// deadline, so that its caller can go elsewhere while that still helps.
//
// rate is the tokens a second at which the queue is served, and busy the time
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
	q.settle()
	return dropped
}

// maxDuration keeps estimates at very low rates from overflowing.
const maxDuration = 24 * time.Hour

// Duration returns how long serving an amount takes at a rate a second, at most
// one day.
func Duration(amount, rate float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 || amount/rate >= maxDuration.Seconds() {
		return maxDuration
	}
	return time.Duration(amount / rate * float64(time.Second))
}
