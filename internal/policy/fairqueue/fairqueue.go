// Package fairqueue is a bounded weighted fair queue between organisations.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, 1996): the organisation
// with the lowest virtual start time is served next, and serving an item advances
// its organisation's virtual time by cost/weight. Only the head of each
// organisation's list has a start tag, so dropping a waiting item costs its
// organisation nothing.
//
// The package is pure: it has no clock, I/O, goroutine or randomness.
package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Params bounds a queue. Both bounds count items and are raised to at least 1.
type Params struct {
	MaxItems  int // over all organisations
	MaxPerOrg int // of one organisation
}

// Item is a queued request.
type Item struct {
	ID     request.ID
	Org    request.OrgID
	Weight int   // share of a contended target; values below 1 count as 1
	Cost   int64 // tokens; values below 1 count as 1
	// LatestStart is the latest time at which the item can start and still meet its
	// deadline. Zero means no deadline.
	LatestStart time.Time
}

// Reason is the reason why an item was dropped.
type Reason string

const (
	// OrgFull means that the item's organisation has reached MaxPerOrg.
	OrgFull Reason = "org_full"
	// QueueFull means that the queue was full and the item's organisation exceeded
	// its weighted share of the queue by the most.
	QueueFull Reason = "queue_full"
	// TooLate means that the item can no longer meet its deadline.
	TooLate Reason = "too_late"
)

// Dropped is an item that was removed without being served. Its request has to be
// answered immediately.
type Dropped struct {
	Item   Item
	Reason Reason
}

type orgState struct {
	id     request.OrgID
	weight int
	items  []Item
	// start is the virtual start time of the head while items wait; otherwise
	// the virtual finish time of the last item served.
	start  float64
	queued int64  // sum of the costs of items
	turn   uint64 // sequence number of the last service or of becoming active; breaks ties
}

// Queue is a weighted fair queue. Its zero value is not usable; see New.
type Queue struct {
	params    Params
	orgs      map[request.OrgID]*orgState
	order     []*orgState // orgs in the order of their first item, for deterministic iteration
	virtual   float64
	maxFinish float64 // highest virtual finish time served
	count     int
	queued    int64
	seq       uint64
}

// New returns an empty queue.
func New(params Params) *Queue {
	params.MaxItems = max(params.MaxItems, 1)
	params.MaxPerOrg = max(params.MaxPerOrg, 1)
	return &Queue{params: params, orgs: make(map[request.OrgID]*orgState)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.count }

// Cost returns the total cost of the waiting items, in tokens.
func (q *Queue) Cost() int64 { return q.queued }

// OrgLen returns the number of waiting items of one organisation.
func (q *Queue) OrgLen(org request.OrgID) int {
	if o, ok := q.orgs[org]; ok {
		return len(o.items)
	}
	return 0
}

// Push adds an item. It returns the item that was dropped to make space, which is the
// pushed item itself if its organisation is the one over its bound or share.
//
// When the queue is full, the organisation with the most items per weight loses its
// newest item. That organisation always holds at least its weighted share of the
// queue, so a flood by one organisation never evicts items of an organisation that
// stays within its share.
func (q *Queue) Push(item Item) []Dropped {
	item.Weight = max(item.Weight, 1)
	item.Cost = max(item.Cost, 1)
	o := q.orgOrNew(item.Org)
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
	o := q.nextOrg()
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
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.turn, b.turn))
	})
	items := make([]Item, len(waiting))
	for i, o := range waiting {
		items[i] = o.items[0]
	}
	return items
}

// Pop removes and returns the next item in fair order.
func (q *Queue) Pop() (Item, bool) {
	o := q.nextOrg()
	if o == nil {
		return Item{}, false
	}
	return q.pop(o, o.items[0].Cost), true
}

// PopOrg removes and returns the first item of one organisation, even out of fair
// order. The organisation is charged the given cost, which may be more accurate than
// the cost known when the item was pushed.
func (q *Queue) PopOrg(org request.OrgID, cost int64) (Item, bool) {
	o := q.orgs[org]
	if o == nil || len(o.items) == 0 {
		return Item{}, false
	}
	return q.pop(o, max(cost, 1)), true
}

func (q *Queue) pop(o *orgState, cost int64) Item {
	item := o.items[0]
	if o == q.nextOrg() { // an item served out of order must not advance virtual time past waiting organisations
		q.virtual = o.start
	}
	finish := o.start + float64(cost)/float64(item.Weight)
	q.maxFinish = max(q.maxFinish, finish)
	q.removeAt(o, 0)
	o.start = finish
	q.seq++
	o.turn = q.seq
	q.removeIdleOrgs()
	q.endBusyPeriod()
	return item
}

// Remove removes an item, for example when its caller has disconnected.
func (q *Queue) Remove(org request.OrgID, id request.ID) (Item, bool) {
	o, ok := q.orgs[org]
	if !ok {
		return Item{}, false
	}
	for i, item := range o.items {
		if item.ID == id {
			q.removeAt(o, i)
			q.endBusyPeriod()
			return item, true
		}
	}
	return Item{}, false
}

// Drain empties the queue and returns the waiting items in fair order.
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

// orgOrNew returns the state of an organisation, creating it if needed.
func (q *Queue) orgOrNew(id request.OrgID) *orgState {
	if o, ok := q.orgs[id]; ok {
		return o
	}
	o := &orgState{id: id}
	q.orgs[id] = o
	q.order = append(q.order, o)
	return o
}

// removeIdleOrgs removes idle organisations whose virtual time has been reached.
func (q *Queue) removeIdleOrgs() {
	remaining := q.order[:0]
	for _, o := range q.order {
		if len(o.items) == 0 && o.start <= q.virtual {
			delete(q.orgs, o.id)
			continue
		}
		remaining = append(remaining, o)
	}
	clear(q.order[len(remaining):])
	q.order = remaining
}

func (q *Queue) append(o *orgState, item Item) {
	if len(o.items) == 0 {
		o.start = max(o.start, q.virtual)
		q.seq++
		o.turn = q.seq
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

// endBusyPeriod resets all organisations when the queue is empty. An organisation is not
// charged later for service that it received while no other organisation was waiting.
func (q *Queue) endBusyPeriod() {
	if q.count > 0 {
		return
	}
	q.virtual = max(q.virtual, q.maxFinish)
	clear(q.orgs)
	q.order = q.order[:0]
}

// nextOrg returns the organisation to serve next: the one with the lowest virtual start
// time, and among equals the one that was served least recently.
func (q *Queue) nextOrg() *orgState {
	var best *orgState
	for _, o := range q.order {
		if len(o.items) == 0 {
			continue
		}
		if best == nil || o.start < best.start || (o.start == best.start && o.turn < best.turn) {
			best = o
		}
	}
	return best
}

// farthestOverShare returns the organisation with the most items per weight.
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
