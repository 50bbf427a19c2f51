package waitroom

import (
	"container/heap"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// orgLine is what waits of one organisation in a level.
type orgLine struct {
	id        request.OrgID
	level     *level
	onTime    entryHeap // those that may keep their objective
	late      entryHeap
	granted   int
	requests  int
	bytes     int64
	sinceLate int      // starts since the last one of late
	newest    []*Entry // in order of arrival; may include ended entries
	// overtakenCost is the organisation's part of level.overtakenCost.
	overtakenCost int64
}

// dropIfEmpty forgets an organisation of which nothing waits.
func (o *orgLine) dropIfEmpty() {
	if o.requests == 0 {
		delete(o.level.orgs, o.id)
	}
}

func (o *orgLine) enqueue(now time.Time, e *Entry) {
	if e.isLate(now) {
		heap.Push(&o.late, e)
		return
	}
	heap.Push(&o.onTime, e)
}

// countStart counts the start of an entry, by which those that are late get their part.
func (o *orgLine) countStart(late bool) {
	if late {
		o.sinceLate = 0
		return
	}
	o.sinceLate++
}

// first returns the entry of the organisation that goes first, nil if all have their turn.
func (o *orgLine) first(now time.Time) *Entry {
	o.moveLate(now)
	onTime, late := o.onTime.first(), o.late.first()
	if onTime == nil || late != nil && o.sinceLate >= lateEvery-1 {
		return late
	}
	return onTime
}

// moveLate moves the entries that can no longer keep their objective.
func (o *orgLine) moveLate(now time.Time) {
	for e := o.onTime.first(); e != nil && e.isLate(now); e = o.onTime.first() {
		heap.Pop(&o.onTime)
		heap.Push(&o.late, e)
	}
}

// addNewest appends an entry to the list by which the newest is dropped first.
func (o *orgLine) addNewest(e *Entry) {
	if len(o.newest) > 2*o.requests+minCompact {
		kept := o.newest[:0]
		for _, old := range o.newest {
			if !old.ended {
				kept = append(kept, old)
			}
		}
		clear(o.newest[len(kept):])
		o.newest = kept
	}
	o.newest = append(o.newest, e)
}

// minCompact is the number of ended entries that a list may hold besides as many as live ones.
const minCompact = 16

// oldest returns the organisation's entry that arrived first, nil if there is none.
func (o *orgLine) oldest() *Entry {
	for _, e := range o.newest {
		if !e.ended {
			return e
		}
	}
	return nil
}

// newestEntry returns the organisation's entry that arrived last of those that do not have their turn.
func (o *orgLine) newestEntry() *Entry {
	for i := len(o.newest) - 1; i >= 0; i-- {
		if e := o.newest[i]; !e.ended && !e.granted {
			return e
		}
	}
	return nil
}
