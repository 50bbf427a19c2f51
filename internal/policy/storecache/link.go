package storecache

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// meanReaderFactor is the mean time on the link of a transfer, relative to a transfer to a reader
	// in the store's failure domain. About half of the readers, slightly fewer, are in other failure
	// domains, and their transfers take twice as long.
	meanReaderFactor = 1.4
	// minQueuedFetch is the shortest fetch that certainly waited in the queue. The first token
	// of an idle replica varies by some ten milliseconds.
	minQueuedFetch = 100 * time.Millisecond
	// measureWindow is the time over which measured speeds are averaged. It covers about ten
	// fetches of a busy store, each measured with an error of some ten milliseconds.
	measureWindow = 400 * time.Millisecond
	// maxMeasureStep bounds how far one measurement may deviate from the average. A replica that
	// first waited for another, dead store reports half a second that this link did not take.
	maxMeasureStep = 2.0
	// idleDecay is the factor applied to the slowness for each fetch that did not wait.
	idleDecay = 0.8
	// overdueTTL is how long an overdue fetch counts as running. A fetch of a hung replica never
	// ends, whereas a slow link causes further reports.
	overdueTTL = 700 * time.Millisecond
	// overdueMergeWindow is the time within which overdue fetches count as one, as they waited in
	// the same queue. recoveryInterval is the time without reports after which the slowness is
	// halved.
	overdueMergeWindow = 300 * time.Millisecond
	recoveryInterval   = time.Second
	// minSlowness is the slowness of a link whose readers are all in its failure domain.
	// maxSlowness still permits enough fetches to measure the link.
	minSlowness = 0.7
	maxSlowness = 16.0
	// grantRetention exceeds the duration of any transfer that is not cancelled.
	grantRetention = 2 * ReadPermitTTL
)

// link estimates the speed of a store's link and the work that is queued on it.
//
// Transfers run one after the other, mostly in the order in which they were granted. Once a
// fetch has ended, only later grants remain. The time between the ends of two fetches that
// both waited is the time that the link took for the grants between them. Without this
// estimate a link that became four times slower was granted more than it could transfer, and
// each replica filled up with prompts that waited two seconds for their contexts.
type link struct {
	tokensPerSec float64 // as the desired state configures it
	slowness     float64 // factor by which transfers take longer than that
	updatedAt    time.Time
	idleAt       time.Time // expected end of all granted transfers
	grants       []grant   // in the order of their claims
	lastEnded    int64     // claim of the latest grant whose fetch has ended
	lastEndedAt  time.Time
	overdue      []overdue
	lastClaim    int64
}

// grant is a transfer that was permitted.
type grant struct {
	claim  int64
	at     time.Time
	tokens int
}

// overdue is a fetch that had not ended at a given time, long after its expected end.
type overdue struct {
	claim int64
	at    time.Time
}

// newLink returns an idle link. Its claims start from the current time, so that they differ
// from those of other owners.
func newLink(now time.Time, perSec float64) *link {
	return &link{tokensPerSec: perSec, slowness: 1, lastClaim: now.UnixNano()}
}

// reset records that the store restarted: its queue is empty.
func (l *link) reset(now time.Time) {
	l.idleAt, l.grants, l.overdue, l.lastEnded = now, nil, nil, 0
}

// queueTime returns how long a transfer that is granted now would wait.
func (l *link) queueTime(now time.Time) time.Duration { return max(0, l.idleAt.Sub(now)) }

// transferTime returns the transfer time to a reader in the store's failure domain.
func (l *link) transferTime(tokens int) time.Duration {
	return time.Duration(l.slowness * float64(tokens) / l.tokensPerSec * float64(time.Second))
}

// occupancy returns how long a transfer occupies the link, averaged over all readers.
func (l *link) occupancy(tokens int) time.Duration {
	return time.Duration(meanReaderFactor * float64(l.transferTime(tokens)))
}

// reserve records a granted transfer and returns its claim.
func (l *link) reserve(now time.Time, tokens int) int64 {
	old := 0
	for old < len(l.grants) && now.Sub(l.grants[old].at) > grantRetention {
		old++
	}
	l.lastClaim++
	l.grants = append(l.grants[old:], grant{claim: l.lastClaim, at: now, tokens: tokens})
	l.idleAt = now.Add(l.queueTime(now) + l.occupancy(tokens))
	return l.lastClaim
}

// cancel removes the grant of a transfer that will not take place, and frees its link time.
func (l *link) cancel(now time.Time, claim int64) {
	i, known := l.find(claim)
	if !known {
		return
	}
	l.clearOverdue(claim)
	l.idleAt = now.Add(max(0, l.queueTime(now)-l.occupancy(l.grants[i].tokens)))
	l.grants = slices.Delete(l.grants, i, i+1)
}

// find returns the index of a claim's grant, or its insertion point, and whether it exists.
func (l *link) find(claim int64) (int, bool) {
	return slices.BinarySearchFunc(l.grants, claim, func(g grant, claim int64) int { return cmp.Compare(g.claim, claim) })
}

// tokensAfter returns the number of tokens granted after a claim.
func (l *link) tokensAfter(claim int64) int {
	i, known := l.find(claim)
	if known {
		i++
	}
	tokens := 0
	for _, g := range l.grants[i:] {
		tokens += g.tokens
	}
	return tokens
}

// overtakesOverdue records that a fetch has ended and reports whether a fetch granted earlier
// is still running. In that case the ended one did not use this link: the replica had the
// part already, or computed it rather than wait. Counting it as a completed transfer would
// make a congested link look idle and congest it further.
func (l *link) overtakesOverdue(now time.Time, claim int64) bool {
	l.clearOverdue(claim)
	return slices.ContainsFunc(l.overdue, func(o overdue) bool {
		return o.claim < claim && now.Sub(o.at) < overdueTTL
	})
}

// clearOverdue records that a fetch is no longer running.
func (l *link) clearOverdue(claim int64) {
	l.overdue = slices.DeleteFunc(l.overdue, func(o overdue) bool { return o.claim == claim })
}

// onEnded records that a fetch has ended, and its duration.
func (l *link) onEnded(now time.Time, claim int64, took time.Duration) {
	i, known := l.find(claim)
	if l.overtakesOverdue(now, claim) || !known {
		return
	}
	granted, left := l.grants[i].at, l.tokensAfter(claim)
	end := granted.Add(took) // the first token comes later, after more computation
	switch {
	case took < minQueuedFetch:
		l.slowness = max(min(1, l.slowness), idleDecay*l.slowness)
		l.updatedAt = now
	case claim > l.lastEnded && granted.Before(l.lastEndedAt):
		l.measure(now, end.Sub(l.lastEndedAt), l.tokensAfter(l.lastEnded)-left)
	}
	if claim > l.lastEnded {
		l.lastEnded, l.lastEndedAt = claim, end
	}
	l.idleAt = end.Add(l.occupancy(left))
}

// onEndedBusy records that a fetch of a loaded replica has ended, possibly some time ago.
// Such a report can only shorten the estimated queue.
func (l *link) onEndedBusy(now time.Time, claim int64) {
	_, known := l.find(claim)
	if l.overtakesOverdue(now, claim) || !known {
		return
	}
	if free := now.Add(l.occupancy(l.tokensAfter(claim))); free.Before(l.idleAt) {
		l.idleAt = free
	}
}

// measure updates the slowness with the time that the link took for some tokens.
func (l *link) measure(now time.Time, took time.Duration, tokens int) {
	nominal := meanReaderFactor * float64(tokens) / l.tokensPerSec
	if took <= 0 || nominal <= 0 {
		return
	}
	weight := 1 - math.Exp(-took.Seconds()/measureWindow.Seconds())
	measured := min(max(took.Seconds()/nominal, l.slowness/maxMeasureStep), l.slowness*maxMeasureStep)
	l.slowness += weight * (measured - l.slowness)
	l.slowness = min(max(l.slowness, minSlowness), maxSlowness)
	l.updatedAt = now
}

// onOverdue records that a fetch runs much longer than predicted. The link is then assumed
// to be twice as slow and to have all later grants still queued.
func (l *link) onOverdue(now time.Time, claim int64) {
	if _, known := l.find(claim); !known {
		return
	}
	l.overdue = slices.DeleteFunc(l.overdue, func(o overdue) bool { return now.Sub(o.at) >= overdueTTL })
	l.overdue = append(l.overdue, overdue{claim: claim, at: now})
	if now.Sub(l.updatedAt) >= overdueMergeWindow {
		l.slowness = min(maxSlowness, 2*l.slowness)
		l.updatedAt = now
	}
	if free := now.Add(l.occupancy(l.tokensAfter(claim))); free.After(l.idleAt) {
		l.idleAt = free
	}
}

// decaySlowness reduces the slowness after a time without reports.
func (l *link) decaySlowness(now time.Time) {
	for l.slowness > 1 && now.Sub(l.updatedAt) > recoveryInterval {
		l.slowness = max(1, l.slowness/2)
		l.updatedAt = l.updatedAt.Add(recoveryInterval)
	}
}
