package waitroom

import "time"

// holds decides when a request that others pass holds back what is behind it.
type holds struct {
	length time.Duration // of the next hold; zero: minHold
	next   time.Time     // no hold begins earlier
}

// pass counts that a later request was granted before e, for which there was no room. behind is the time in which
// the first request behind e has to start to keep its objective.
func (h *holds) pass(now time.Time, e *Entry, behind func() time.Duration) {
	e.passed++
	if e.passed < maxPassed || e.heldLongest || now.Before(h.next) {
		return
	}
	wanted := max(minHold, h.length)
	length := wanted // a request that is late anyway is held for the whole time
	if !e.isLate(now) {
		length = max(minHold, min(wanted, behind()/2))
	}
	e.passed = 0
	e.heldSince, e.holdUntil = now, now.Add(length)
	h.next = now.Add(2 * length)
	if wanted == maxHold {
		e.heldLongest = true
		h.next = now.Add(holdPause * length)
	}
	h.length = min(maxHold, 2*wanted)
}

// started adapts the holds to the start of a request that was held for.
func (h *holds) started(now time.Time, e *Entry) {
	if !now.Before(e.holdUntil) {
		return
	}
	h.length = min(maxHold, 2*now.Sub(e.heldSince))
	h.next = now
}

// timeBehind returns the time in which the first of the requests that are at most as urgent as e has to start to
// keep its objective. Those that can't keep it any more do not count.
func (l *line) timeBehind(now time.Time, e *Entry) time.Duration {
	shortest := maxHold * 2
	for _, lv := range l.levels[e.Priority:] {
		if lv == nil {
			continue
		}
		for _, o := range lv.orgs {
			o.moveLate(now)
			for _, other := range o.onTime.firstN(2) {
				if other != e {
					shortest = min(shortest, other.KeepBy.Sub(now))
				}
			}
		}
	}
	return shortest
}
