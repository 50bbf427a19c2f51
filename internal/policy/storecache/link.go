package storecache

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// crossShare weighs the link's time for readers in other failure domains, whose
	// transfers take twice as long: about half of all.
	crossShare = 1.4
	// waited is the shortest fetch that surely waited for others: the first token of an idle
	// replica comes some ten ms sooner or later.
	waited = 100 * time.Millisecond
	// measureOver is the time over which measured speeds are averaged: some ten fetches of a
	// busy store, each of which is measured to some ten ms.
	measureOver = 400 * time.Millisecond
	// maxStep bounds what one measured speed may differ from the others: a replica that first
	// waited for another store, which is dead, tells of half a second that this link did not
	// take.
	maxStep = 2.0
	// idleGain is the part of its slowness that a link keeps for each fetch that did not wait.
	idleGain = 0.8
	// overdueFor is how long an overdue fetch counts as under way. One of a replica that hangs
	// never ends; a slow link has others to tell of.
	overdueFor = 700 * time.Millisecond
	// slowOnce is the time in which overdue fetches count as one: they waited in the same
	// queue. slowFor is how long without news makes a link faster again.
	slowOnce = 300 * time.Millisecond
	slowFor  = time.Second
	// minSlowness is that of a link all of whose readers are near, and maxSlowness leaves
	// enough fetches to see it.
	minSlowness = 0.7
	maxSlowness = 16.0
	// grantsFor is longer than any transfer takes that is not given up.
	grantsFor = 2 * ReadPermitTTL
)

// link estimates how fast a store's link is, and what it has still to carry.
//
// Transfers run one after the other, mostly in the order in which they were allowed. So once
// a fetch has ended, only what was allowed after it is left; and the time between the ends of
// two fetches that both waited is what the link took for all that was allowed between them.
// Without this a link that turned four times slower was given more than it carries, and each
// replica filled up with prompts that waited two seconds for their contexts.
type link struct {
	perSec   float64 // tokens, as the desired state says
	slowness float64 // by which transfers take longer than that
	newsAt   time.Time
	free     time.Time // when all that was allowed is thought to be done
	grants   []grant   // in order
	last     int64     // claim of the fetch that ended last, by the order of grants
	lastEnd  time.Time
	overdue  []overdue
	claims   int64
}

// grant is a transfer that was allowed.
type grant struct {
	claim  int64
	at     time.Time
	tokens int
}

// overdue is a fetch that had not ended at a moment, long after it should have.
type overdue struct {
	claim int64
	at    time.Time
}

// newLink returns an idle link. Its claims are no other keeper's: they count from the time.
func newLink(now time.Time, perSec float64) *link {
	return &link{perSec: perSec, slowness: 1, claims: now.UnixNano()}
}

// reset is told that the store came back: what it had to carry is gone.
func (l *link) reset(now time.Time) {
	l.free, l.grants, l.overdue, l.last = now, nil, nil, 0
}

// queue returns how long a transfer waits that is allowed now.
func (l *link) queue(now time.Time) time.Duration { return max(0, l.free.Sub(now)) }

// transfer returns how long some tokens take to a reader in the store's failure domain.
func (l *link) transfer(tokens int) time.Duration {
	return time.Duration(l.slowness * float64(tokens) / l.perSec * float64(time.Second))
}

// busyFor returns how long the link is taken by some tokens, to any reader.
func (l *link) busyFor(tokens int) time.Duration {
	return time.Duration(crossShare * float64(l.transfer(tokens)))
}

// use notes a transfer that is allowed, and returns its claim.
func (l *link) use(now time.Time, tokens int) int64 {
	old := 0
	for old < len(l.grants) && now.Sub(l.grants[old].at) > grantsFor {
		old++
	}
	l.claims++
	l.grants = append(l.grants[old:], grant{claim: l.claims, at: now, tokens: tokens})
	l.free = now.Add(l.queue(now) + l.busyFor(tokens))
	return l.claims
}

// drop takes back a transfer that is not made.
func (l *link) drop(now time.Time, claim int64) {
	i, known := l.find(claim)
	if !known {
		return
	}
	l.forget(claim)
	l.free = now.Add(max(0, l.queue(now)-l.busyFor(l.grants[i].tokens)))
	l.grants = slices.Delete(l.grants, i, i+1)
}

// find returns the index of a claim's grant, or where it would be, and whether it is known.
func (l *link) find(claim int64) (int, bool) {
	return slices.BinarySearchFunc(l.grants, claim, func(g grant, claim int64) int { return cmp.Compare(g.claim, claim) })
}

// after returns the tokens that were allowed after a claim.
func (l *link) after(claim int64) int {
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

// overtakes notes that a fetch has ended, and reports whether one that was allowed before it is
// still under way. Then it did not come over this link: the replica had the part, or found the
// wait too long and computed it. Taken for an end it would make a link look idle that has more
// to carry than anybody waits for, and so make it fuller still.
func (l *link) overtakes(now time.Time, claim int64) bool {
	l.forget(claim)
	return slices.ContainsFunc(l.overdue, func(o overdue) bool {
		return o.claim < claim && now.Sub(o.at) < overdueFor
	})
}

// forget notes that a fetch is not under way any more.
func (l *link) forget(claim int64) {
	l.overdue = slices.DeleteFunc(l.overdue, func(o overdue) bool { return o.claim == claim })
}

// onEnded is told that a fetch has ended, and how long it took.
func (l *link) onEnded(now time.Time, claim int64, took time.Duration) {
	i, known := l.find(claim)
	if l.overtakes(now, claim) || !known {
		return
	}
	granted, left := l.grants[i].at, l.after(claim)
	end := granted.Add(took) // the first token comes later: more has been computed
	switch {
	case took < waited:
		l.slowness = max(min(1, l.slowness), idleGain*l.slowness)
		l.newsAt = now
	case claim > l.last && granted.Before(l.lastEnd):
		l.measure(now, end.Sub(l.lastEnd), l.after(l.last)-left)
	}
	if claim > l.last {
		l.last, l.lastEnd = claim, end
	}
	l.free = end.Add(l.busyFor(left))
}

// onEndedLate is told that a fetch has ended, maybe some time ago: its replica had much else to
// do. That can only mean that less is left than thought.
func (l *link) onEndedLate(now time.Time, claim int64) {
	_, known := l.find(claim)
	if l.overtakes(now, claim) || !known {
		return
	}
	if free := now.Add(l.busyFor(l.after(claim))); free.Before(l.free) {
		l.free = free
	}
}

// measure takes in how long the link took for some tokens.
func (l *link) measure(now time.Time, took time.Duration, tokens int) {
	nominal := crossShare * float64(tokens) / l.perSec
	if took <= 0 || nominal <= 0 {
		return
	}
	weight := 1 - math.Exp(-took.Seconds()/measureOver.Seconds())
	measured := min(max(took.Seconds()/nominal, l.slowness/maxStep), l.slowness*maxStep)
	l.slowness += weight * (measured - l.slowness)
	l.slowness = min(max(l.slowness, minSlowness), maxSlowness)
	l.newsAt = now
}

// onOverdue is told that a fetch takes much longer than told and has not ended. The link is
// then taken to be twice as slow, and to have all before it whose transfer was allowed later.
func (l *link) onOverdue(now time.Time, claim int64) {
	if _, known := l.find(claim); !known {
		return
	}
	l.overdue = slices.DeleteFunc(l.overdue, func(o overdue) bool { return now.Sub(o.at) >= overdueFor })
	l.overdue = append(l.overdue, overdue{claim: claim, at: now})
	if now.Sub(l.newsAt) >= slowOnce {
		l.slowness = min(maxSlowness, 2*l.slowness)
		l.newsAt = now
	}
	if free := now.Add(l.busyFor(l.after(claim))); free.After(l.free) {
		l.free = free
	}
}

// recover takes a link for faster again after a time without news.
func (l *link) recover(now time.Time) {
	for l.slowness > 1 && now.Sub(l.newsAt) > slowFor {
		l.slowness = max(1, l.slowness/2)
		l.newsAt = l.newsAt.Add(slowFor)
	}
}
