// Package waitroom orders the requests that wait in a daemon for room at the replicas of a service, and
// decides which of them can't be served in time.
//
// Invariants: a request is started only after every more urgent one of its service was found to have no
// room; each request ends exactly once, started, dropped or removed; the bounds on requests and bytes
// hold after each call. Within a priority, organisations share by start-time fair queueing, so that the
// burst of one of them does not delay the others.
//
// The package is pure: it has no clock, I/O, goroutine or randomness.
package waitroom

import (
	"container/heap"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// Priorities is the number of priorities; 0 is the most urgent.
	Priorities = 10
	// lateEvery is how often a request that can no longer keep its objective starts while others of its
	// organisation can: every fourth start.
	lateEvery = 4
	// maxPassed is how many requests may be started before an earlier one for which there was no room.
	maxPassed = 8
	// minHold and maxHold bound how long nothing behind such a request is started then, so that room can
	// gather for it. The time is twice what the last such request needed, and grows while none succeeds. Above
	// minHold it is no longer than half of the time in which those behind have to start, unless the request has
	// missed its own objective.
	minHold = 100 * time.Millisecond
	maxHold = time.Second
	// holdPause is the time between the begins of two holds, in lengths of the first, if even the longest
	// brought no room: requests for which there never is room must not stop the others for long.
	holdPause = 5
	// maxCost bounds the cost of one request, so that sums don't overflow.
	maxCost = 1 << 30
)

// Params bounds a Room. Values below 1 count as 1.
type Params struct {
	MaxRequests int
	MaxBytes    int64 // of the requests' bodies
}

// Item is a request that wants to wait.
type Item struct {
	ID       request.ID
	Service  routing.ServiceID
	Org      request.OrgID // empty: all requests without an organisation share one part
	Priority int           // 0 to Priorities-1; other values count as the nearest of these
	Cost     int64         // prompt tokens; clamped to the range from 1 to 2^30
	Bytes    int64         // of the body; negative values count as 0
	// KeepBy is the latest start with which the request may keep its objective; zero: it has none.
	KeepBy time.Time
	// LatestStart is the time until which the request may wait.
	LatestStart time.Time
	// CallerUntil is the end of the caller's time, to which a Retry-After is fitted; zero: unknown.
	CallerUntil time.Time
	// Room is set if a replica seems to have room for the request when it comes: whatever waits before it
	// may wait for something else, so the estimate does not refuse it on arrival.
	Room bool
}

// Entry is a request that waits.
type Entry struct {
	Item
	seq       uint64
	arrived   time.Time
	org       *orgLine
	heap      *entryHeap // nil while the entry is granted, and after its end
	index     int        // in heap
	granted   bool
	ended     bool
	passed    int  // since the last hold
	overtaken bool // a later request has been granted
	heldSince time.Time
	holdUntil time.Time
	// heldLongest is set once nothing behind the entry was started for the longest time. It is not held for again.
	heldLongest bool
}

// Reason is the reason why a request was dropped.
type Reason string

// The reasons for dropping a request.
const (
	Full    Reason = "full"     // the bounds are exceeded, and this request's organisation holds the largest part
	TooLate Reason = "too_late" // it can't start in time
	Closed  Reason = "closed"   // the daemon stops
)

// Dropped is a request that has to be refused at once.
type Dropped struct {
	Entry      *Entry
	Reason     Reason
	RetryAfter time.Duration
}

// Room holds the requests that wait in one daemon.
type Room struct {
	params   Params
	services map[routing.ServiceID]*line
	requests int
	bytes    int64
	seq      uint64
}

// line is what waits for one service.
type line struct {
	levels   [Priorities]*level // nil: nothing has waited
	requests int
	// unpassed counts the requests that no later one has passed. While there are others only, something
	// about these prevents their start, and the rate of starts does not show how much room there is.
	unpassed int
	rate     rateMeter
	returns  returns
	holds    holds
}

// level is what waits for one service with one priority.
type level struct {
	line   *line
	shares *fairqueue.Shares
	orgs   map[request.OrgID]*orgLine
	// overtakenCost is the cost of the requests that a later one has passed. They wait for other room than
	// those behind them, and are not ahead of them.
	overtakenCost int64
}

// New returns an empty room.
func New(params Params) *Room {
	params.MaxRequests = max(params.MaxRequests, 1)
	params.MaxBytes = max(params.MaxBytes, 1)
	return &Room{params: params, services: make(map[routing.ServiceID]*line)}
}

// Len returns the number of waiting requests.
func (r *Room) Len() int { return r.requests }

// Bytes returns the size of the waiting requests' bodies.
func (r *Room) Bytes() int64 { return r.bytes }

// Waits reports whether a request of the service waits that is at least as urgent as a priority.
func (r *Room) Waits(service routing.ServiceID, priority int) bool {
	l := r.services[service]
	if l == nil || l.requests == 0 {
		return false
	}
	for p := 0; p <= clampPriority(priority); p++ {
		if l.levels[p] != nil && l.levels[p].shares.Len() > 0 {
			return true
		}
	}
	return false
}

// Push adds a request. It returns the requests that have to be refused instead, which may include the
// pushed one.
func (r *Room) Push(now time.Time, item Item) (*Entry, []Dropped) {
	e := r.newEntry(item)
	e.arrived = now
	l := r.line(item.Service)
	l.advance(now)
	if e.Bytes > r.params.MaxBytes {
		e.ended = true
		return e, []Dropped{r.refusal(now, l, e, Full)}
	}
	if !now.Before(e.LatestStart) || !e.Room && !l.inTime(now, e) {
		e.ended = true
		return e, []Dropped{r.refusal(now, l, e, TooLate)}
	}
	r.add(l, e)
	var dropped []Dropped
	for r.requests > r.params.MaxRequests || r.bytes > r.params.MaxBytes {
		victim := r.victim(e)
		r.remove(victim)
		dropped = append(dropped, r.refusal(now, victim.org.level.line, victim, Full))
	}
	return e, dropped
}

// InTime reports whether a request that arrives now can be expected to start in time.
func (r *Room) InTime(now time.Time, item Item) bool {
	l := r.services[item.Service]
	if l == nil {
		return true
	}
	l.advance(now)
	return l.inTime(now, &Entry{Item: normal(item)})
}

// Grant marks a waiting request as having its turn. It keeps its place until Start, Return or Remove.
// It returns false if the request no longer waits or has its turn already. passed are the earlier
// requests for which there was no room.
func (r *Room) Grant(now time.Time, e *Entry, passed []*Entry) bool {
	if e.ended || e.granted {
		return false
	}
	e.leave()
	e.granted = true
	e.org.granted++
	for _, p := range passed {
		if !p.ended { // its caller may have left since it was a candidate
			p.org.level.line.pass(now, p)
		}
	}
	return true
}

// pass counts that a later request was granted before e, for which there was no room.
func (l *line) pass(now time.Time, e *Entry) {
	l.advance(now)
	l.overtake(e)
	l.holds.pass(now, e, func() time.Duration { return l.timeBehind(now, e) })
}

// overtake records that a later request has been granted before e.
func (l *line) overtake(e *Entry) {
	if e.overtaken {
		return
	}
	e.overtaken = true
	e.org.overtakenCost += e.Cost
	e.org.level.overtakenCost += e.Cost
	l.unpassed--
}

// OvertakeBefore records that no request in order before e, which waits without a turn, has use for the room that
// e found. They are not held for. Its cost grows with n log n.
func (r *Room) OvertakeBefore(now time.Time, e *Entry) {
	if e.ended || e.granted {
		return
	}
	l := e.org.level.line
	l.advance(now)
	for _, lv := range l.levels[:e.Priority+1] {
		if lv == nil {
			continue
		}
		for _, other := range lv.inOrder(now) {
			if other == e {
				return
			}
			if !other.granted {
				l.overtake(other)
			}
		}
	}
}

// advance counts the time until now for the rate of starts.
func (l *line) advance(now time.Time) { l.rate.advance(now, l.unpassed > 0) }

// countStart counts a start for the rate of starts.
func (l *line) countStart(now time.Time, cost int64) {
	l.advance(now)
	if l.unpassed > 0 {
		l.rate.start(cost)
	}
}

// Return ends the turn of a request that found no room. It waits at the place that it had.
func (r *Room) Return(now time.Time, e *Entry) {
	if e.ended || !e.granted {
		return
	}
	e.granted = false
	e.org.granted--
	e.org.enqueue(now, e)
}

// Start ends the wait of a request that is placed. Its organisation is charged for it.
func (r *Room) Start(now time.Time, e *Entry) {
	if e.ended {
		return
	}
	l := e.org.level.line
	l.countStart(now, e.Cost)
	l.holds.started(now, e)
	e.org.countStart(e.isLate(now))
	r.end(e)
	e.org.level.shares.Serve(e.Org, e.Cost, e.Cost)
	e.org.dropIfEmpty()
}

// Started counts work of a service that started without waiting.
func (r *Room) Started(now time.Time, service routing.ServiceID, cost int64) {
	if l := r.services[service]; l != nil && l.requests > 0 {
		l.countStart(now, clampCost(cost))
	}
}

// Remove ends the wait of a request whose caller left. It reports whether the request waited.
func (r *Room) Remove(now time.Time, e *Entry) bool {
	if e.ended {
		return false
	}
	e.org.level.line.advance(now)
	r.remove(e)
	return true
}

func (r *Room) newEntry(item Item) *Entry {
	r.seq++
	return &Entry{Item: normal(item), seq: r.seq}
}

// normal returns an item with its values in their ranges.
func normal(item Item) Item {
	item.Priority = clampPriority(item.Priority)
	item.Cost = clampCost(item.Cost)
	item.Bytes = max(item.Bytes, 0)
	if item.KeepBy.IsZero() || item.KeepBy.After(item.LatestStart) {
		item.KeepBy = item.LatestStart
	}
	return item
}

func clampPriority(p int) int { return min(max(p, 0), Priorities-1) }

func clampCost(cost int64) int64 { return min(max(cost, 1), maxCost) }

func (r *Room) line(service routing.ServiceID) *line {
	l, ok := r.services[service]
	if !ok {
		l = &line{}
		r.services[service] = l
	}
	return l
}

func (l *line) level(priority int) *level {
	if l.levels[priority] == nil {
		l.levels[priority] = &level{line: l, shares: fairqueue.NewShares(), orgs: make(map[request.OrgID]*orgLine)}
	}
	return l.levels[priority]
}

func (lv *level) org(id request.OrgID) *orgLine {
	o, ok := lv.orgs[id]
	if !ok {
		o = &orgLine{id: id, level: lv, onTime: entryHeap{keepBy: true}}
		lv.orgs[id] = o
	}
	return o
}

// add makes an entry wait.
func (r *Room) add(l *line, e *Entry) {
	lv := l.level(e.Priority)
	o := lv.org(e.Org)
	e.org = o
	lv.shares.Add(e.Org, 1, e.Cost)
	heap.Push(&o.onTime, e)
	o.addNewest(e)
	o.requests++
	o.bytes += e.Bytes
	l.requests++
	l.unpassed++
	r.requests++
	r.bytes += e.Bytes
}

// remove ends the wait of an entry that is not started.
func (r *Room) remove(e *Entry) {
	r.end(e)
	e.org.level.shares.Remove(e.Org, e.Cost)
	e.org.dropIfEmpty()
}

// end takes an entry off all counts but those of its level's shares.
func (r *Room) end(e *Entry) {
	e.leave()
	e.ended = true
	if e.granted {
		e.granted = false
		e.org.granted--
	}
	e.org.requests--
	e.org.bytes -= e.Bytes
	e.org.level.line.requests--
	if e.overtaken {
		e.org.overtakenCost -= e.Cost
		e.org.level.overtakenCost -= e.Cost
	} else {
		e.org.level.line.unpassed--
	}
	r.requests--
	r.bytes -= e.Bytes
}

// isLate reports whether an entry can no longer keep its objective.
func (e *Entry) isLate(now time.Time) bool { return now.After(e.KeepBy) }
