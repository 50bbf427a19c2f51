package policysim

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs events in order of time, and in order of creation at equal
// times.
type clock struct {
	now    time.Duration
	events eventHeap
	count  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// at schedules f for time t, or for the current time if t is in the past.
func (c *clock) at(t time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{at: max(t, c.now), order: c.count, run: f})
}

func (c *clock) after(d time.Duration, f func()) { c.at(c.now+d, f) }

// run executes the events up to and including the given time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// time returns the current virtual time in the form that the policies use.
func (c *clock) time() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
