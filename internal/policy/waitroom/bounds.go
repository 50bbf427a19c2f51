package waitroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
)

// recheckTolerance is how much longer than its remaining time the estimated wait of a waiting request
// must be for it to be refused. Estimates vary with each start.
const recheckTolerance = 1.25

// inTime reports whether a request that arrives now can be expected to start in time.
func (r *Room) inTime(now time.Time, l *line, e *Entry) bool {
	if !now.Before(e.LatestStart) {
		return false
	}
	rate, known := l.rate.rate()
	if !known {
		return true
	}
	wait := fairqueue.Duration(float64(l.ahead(now, e)), rate)
	return !now.Add(wait).After(e.LatestStart)
}

// ahead estimates the cost that is started before a request that arrives now.
func (l *line) ahead(now time.Time, e *Entry) int64 {
	var ahead int64
	for p := range e.Priority {
		if lv := l.levels[p]; lv != nil {
			ahead += lv.shares.Cost()
		}
	}
	lv := l.levels[e.Priority]
	if lv == nil {
		return ahead
	}
	var own int64
	if o := lv.orgs[e.Org]; o != nil {
		own = o.costBefore(now, e)
	}
	return ahead + lv.shares.Ahead(e.Org, 1, own)
}

// costBefore returns the cost of the organisation's entries that go before e. It counts the granted
// ones as well.
func (o *orgLine) costBefore(now time.Time, e *Entry) int64 {
	var cost int64
	for _, other := range o.newest {
		if !other.ended && (other.granted || !other.isLate(now) && !e.KeepBy.Before(other.KeepBy)) {
			cost += other.Cost
		}
	}
	return cost
}

// victim returns the entry that has to leave because the bounds are exceeded: of the least urgent
// priority, the newest of the organisation that holds the largest part. added is the entry that
// exceeds the bounds; it loses against organisations with the same part.
func (r *Room) victim(added *Entry) *Entry {
	worst, worstPriority := added.org, added.Priority
	for _, id := range r.Services() {
		for p, lv := range r.services[id].levels {
			if lv == nil || p < worstPriority {
				continue
			}
			for _, o := range lv.orgs {
				if o.requests > o.granted && (p > worstPriority || r.loses(o, worst, added.org)) {
					worst, worstPriority = o, p
				}
			}
		}
	}
	if worst == added.org {
		return added
	}
	return worst.newestEntry()
}

// loses reports whether an organisation has to leave before another one of the same priority.
func (r *Room) loses(o, other, added *orgLine) bool {
	part, otherPart := r.part(o), r.part(other)
	switch {
	case part != otherPart:
		return part > otherPart
	case o == added || other == added:
		return o == added
	default:
		return o.id > other.id
	}
}

// part returns the part of the room that an organisation holds, by requests or by bytes.
func (r *Room) part(o *orgLine) float64 {
	return max(float64(o.requests)/float64(r.params.MaxRequests), float64(o.bytes)/float64(r.params.MaxBytes))
}

// refusal returns the refusal of an entry, with the time after which its caller should return.
func (r *Room) refusal(now time.Time, l *line, e *Entry, reason Reason) Dropped {
	rate, known := l.rate.rate()
	if !known {
		rate = 0
	}
	var backlog int64
	for p := range e.Priority + 1 {
		if lv := l.levels[p]; lv != nil {
			backlog += lv.shares.Cost()
		}
	}
	return Dropped{Entry: e, Reason: reason, RetryAfter: l.returns.next(now, e, backlog, rate)}
}

// Expire drops the requests that can't start in time any more. Its cost grows with n log n.
func (r *Room) Expire(now time.Time) []Dropped {
	var dropped []Dropped
	for _, l := range r.services {
		if l.requests == 0 {
			continue
		}
		l.advance(now)
		dropped = append(dropped, r.expireLine(now, l)...)
	}
	return byArrival(dropped)
}

// byArrival sorts dropped requests by their arrival.
func byArrival(dropped []Dropped) []Dropped {
	slices.SortFunc(dropped, func(a, b Dropped) int { return cmp.Compare(a.Entry.seq, b.Entry.seq) })
	return dropped
}

func (r *Room) expireLine(now time.Time, l *line) []Dropped {
	rate, known := l.rate.rate()
	var dropped []Dropped
	var ahead int64
	for _, lv := range l.levels {
		if lv == nil {
			continue
		}
		for _, e := range lv.inOrder(now) {
			left := float64(e.LatestStart.Sub(now)) * recheckTolerance
			late := !now.Before(e.LatestStart) || known && float64(fairqueue.Duration(float64(ahead), rate)) > left
			if late && !e.granted {
				r.remove(e)
				dropped = append(dropped, r.refusal(now, l, e, TooLate))
				continue
			}
			ahead += e.Cost
		}
	}
	return dropped
}

// Close drops all requests that have no turn.
func (r *Room) Close(now time.Time) []Dropped {
	var dropped []Dropped
	for _, l := range r.services {
		for _, lv := range l.levels {
			if lv != nil {
				dropped = append(dropped, r.closeLevel(now, lv)...)
			}
		}
	}
	return byArrival(dropped)
}

func (r *Room) closeLevel(now time.Time, lv *level) []Dropped {
	var dropped []Dropped
	for _, e := range lv.inOrder(now) {
		if e.granted {
			continue
		}
		r.remove(e)
		dropped = append(dropped, r.refusal(now, lv.line, e, Closed))
	}
	return dropped
}

// Limit shortens the time until which a request may wait.
func (r *Room) Limit(now time.Time, e *Entry, latestStart time.Time) {
	if e.ended || !latestStart.Before(e.LatestStart) {
		return
	}
	waits := e.heap != nil
	e.leave()
	e.LatestStart = latestStart
	if e.KeepBy.After(latestStart) {
		e.KeepBy = latestStart
	}
	if waits {
		e.org.enqueue(now, e)
	}
}
