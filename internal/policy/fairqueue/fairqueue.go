// Package fairqueue is a bounded weighted fair queue between organisations.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, 1996): the organisation
// with the lowest virtual start time goes next, and serving an item moves its
// organisation's virtual time on by cost/weight. Only the head of each
// organisation's list carries a tag, so that dropping a waiting item costs its
// organisation nothing.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Params bounds a queue. Both bounds count items and must be at least 1.
type Params struct {
	MaxItems  int // over all organisations
	MaxPerOrg int // of one organisation
}

// Item waits for its turn.
type Item struct {
	ID     request.ID
	Org    request.OrgID
	Weight int   // share of a contended target; below 1 counts as 1
	Cost   int64 // tokens; below 1 counts as 1
	// LatestStart is the last moment at which starting still meets the item's
	// deadline. Zero: no deadline.
	LatestStart time.Time
}

// Reason says why an item left the queue without being served.
type Reason string

const (
	// OrgFull means that the item's organisation holds its own bound.
	OrgFull Reason = "org_full"
	// QueueFull means that the queue was full and the item's organisation was
	// the farthest over its weighted share of it.
	QueueFull Reason = "queue_full"
	// TooLate means that the item can no longer meet its deadline.
	TooLate Reason = "too_late"
)

// Dropped is an item that left without being served. It needs its answer now.
type Dropped struct {
	Item   Item
	Reason Reason
}

type orgState struct {
	id     request.OrgID
	weight int
	items  []Item
	// start is the virtual start time of the head while items wait; otherwise
	// the virtual finish time of what was served last.
	start  float64
	queued int64  // sum of the costs of items
	since  uint64 // turn at which it was last served or began to wait; breaks ties
}

// Queue is a weighted fair queue. Its zero value is not usable; see New.
type Queue struct {
	params  Params
	orgs    map[request.OrgID]*orgState
	order   []*orgState // orgs in the order of their first item, for a fixed iteration
	virtual float64
	newest  float64 // highest virtual finish time served
	count   int
	queued  int64
	seq     uint64
}

// New returns an empty queue.
func New(params Params) *Queue {
	params.MaxItems = max(params.MaxItems, 1)
	params.MaxPerOrg = max(params.MaxPerOrg, 1)
	return &Queue{params: params, orgs: make(map[request.OrgID]*orgState)}
}

// Len returns the number of items that wait.
func (q *Queue) Len() int { return q.count }

// Cost returns the sum of the costs of the items that wait, in tokens.
func (q *Queue) Cost() int64 { return q.queued }

// OrgLen returns the number of items of one organisation that wait.
func (q *Queue) OrgLen(org request.OrgID) int {
	if o, ok := q.orgs[org]; ok {
		return len(o.items)
	}
	return 0
}

// Push adds an item. It returns the item that had to leave for it, which is the
// pushed item itself if its organisation is the one over its bound or share.
//
// A flood by one organisation shows as a full queue. The organisation with the
// most items for its weight loses its newest, and such an organisation always
// holds at least its weighted share of the queue; so none that stays within its
// share loses an item to others.
func (q *Queue) Push(item Item) []Dropped {
	item.Weight = max(item.Weight, 1)
	item.Cost = max(item.Cost, 1)
	o := q.org(item.Org)
	if len(o.items) >= q.params.MaxPerOrg {
		return []Dropped{{Item: item, Reason: OrgFull}}
	}
	q.append(o, item)
	if q.count <= q.params.MaxItems {
		return nil
	}
	victim := q.farthestOverShare()
	last := len(victim.items) - 1
	dropped := victim.items[last]
	q.removeAt(victim, last)
	return []Dropped{{Item: dropped, Reason: QueueFull}}
}

// Peek returns the item that Pop would return.
func (q *Queue) Peek() (Item, bool) {
	o := q.head()
	if o == nil {
		return Item{}, false
	}
	return o.items[0], true
}

// Heads returns the first item of each organisation, in fair order.
func (q *Queue) Heads() []Item {
	var waiting []*orgState
	for _, o := range q.order {
		if len(o.items) > 0 {
			waiting = append(waiting, o)
		}
	}
	slices.SortFunc(waiting, func(a, b *orgState) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.since, b.since))
	})
	items := make([]Item, len(waiting))
	for i, o := range waiting {
		items[i] = o.items[0]
	}
	return items
}

// Pop removes and returns the next item in fair order.
func (q *Queue) Pop() (Item, bool) {
	o := q.head()
	if o == nil {
		return Item{}, false
	}
	return q.pop(o, o.items[0].Cost), true
}

// PopOrg removes and returns the first item of one organisation, also out of turn.
// The organisation is charged the given cost, which may be better known by now than
// when the item was pushed.
func (q *Queue) PopOrg(org request.OrgID, cost int64) (Item, bool) {
	o := q.orgs[org]
	if o == nil || len(o.items) == 0 {
		return Item{}, false
	}
	return q.pop(o, max(cost, 1)), true
}

func (q *Queue) pop(o *orgState, cost int64) Item {
	item := o.items[0]
	if o == q.head() { // out of turn, virtual time stays behind those that wait
		q.virtual = o.start
	}
	finish := o.start + float64(cost)/float64(item.Weight)
	q.newest = max(q.newest, finish)
	q.removeAt(o, 0)
	o.start = finish
	q.seq++
	o.since = q.seq
	q.sweep()
	q.settle()
	return item
}

// Remove takes an item out, for example when its caller has left.
func (q *Queue) Remove(org request.OrgID, id request.ID) (Item, bool) {
	o, ok := q.orgs[org]
	if !ok {
		return Item{}, false
	}
	for i, item := range o.items {
		if item.ID == id {
			q.removeAt(o, i)
			q.settle()
			return item, true
		}
	}
	return Item{}, false
}

// Drain empties the queue and returns what waited, in fair order.
func (q *Queue) Drain() []Item {
	var items []Item
	for {
		item, ok := q.Pop()
		if !ok {
			return items
		}
		items = append(items, item)
	}
}

// org returns the state of an organisation, entering it if needed.
func (q *Queue) org(id request.OrgID) *orgState {
	if o, ok := q.orgs[id]; ok {
		return o
	}
	o := &orgState{id: id}
	q.orgs[id] = o
	q.order = append(q.order, o)
	return o
}

// sweep drops the state of idle organisations whose virtual time has been reached.
func (q *Queue) sweep() {
	kept := q.order[:0]
	for _, o := range q.order {
		if len(o.items) == 0 && o.start <= q.virtual {
			delete(q.orgs, o.id)
			continue
		}
		kept = append(kept, o)
	}
	clear(q.order[len(kept):])
	q.order = kept
}

func (q *Queue) append(o *orgState, item Item) {
	if len(o.items) == 0 {
		o.start = max(o.start, q.virtual)
		q.seq++
		o.since = q.seq
	}
	o.weight = item.Weight
	o.items = append(o.items, item)
	o.queued += item.Cost
	q.queued += item.Cost
	q.count++
}

func (q *Queue) removeAt(o *orgState, i int) {
	cost := o.items[i].Cost
	o.items = append(o.items[:i], o.items[i+1:]...)
	o.queued -= cost
	q.queued -= cost
	q.count--
}

// settle ends a busy period: with nothing waiting, nobody owes anything, so that
// an organisation is not made to pay for what it used while alone.
func (q *Queue) settle() {
	if q.count > 0 {
		return
	}
	q.virtual = max(q.virtual, q.newest)
	clear(q.orgs)
	q.order = q.order[:0]
}

// head returns the organisation to serve next: the lowest virtual start time,
// then the one that has waited longest since it was served.
func (q *Queue) head() *orgState {
	var best *orgState
	for _, o := range q.order {
		if len(o.items) == 0 {
			continue
		}
		if best == nil || o.start < best.start || (o.start == best.start && o.since < best.since) {
			best = o
		}
	}
	return best
}

// farthestOverShare returns the organisation with the most items for its weight.
func (q *Queue) farthestOverShare() *orgState {
	var worst *orgState
	for _, o := range q.order {
		if len(o.items) == 0 {
			continue
		}
		if worst == nil || len(o.items)*worst.weight > len(worst.items)*o.weight {
			worst = o
		}
	}
	return worst
}
