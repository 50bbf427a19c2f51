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

// Queue is a weighted fair queue. Its zero value is not usable; see New.
type Queue struct {
	params Params
	shares *Shares
	items  map[request.OrgID][]Item // in order of arrival
}

// New returns an empty queue.
func New(params Params) *Queue {
	params.MaxItems = max(params.MaxItems, 1)
	params.MaxPerOrg = max(params.MaxPerOrg, 1)
	return &Queue{params: params, shares: NewShares(), items: make(map[request.OrgID][]Item)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.shares.Len() }

// Cost returns the total cost of the waiting items, in tokens.
func (q *Queue) Cost() int64 { return q.shares.Cost() }

// OrgLen returns the number of waiting items of one organisation.
func (q *Queue) OrgLen(org request.OrgID) int { return len(q.items[org]) }

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
	if len(q.items[item.Org]) >= q.params.MaxPerOrg {
		return []Dropped{{Item: item, Reason: OrgFull}}
	}
	q.shares.Add(item.Org, item.Weight, item.Cost)
	q.items[item.Org] = append(q.items[item.Org], item)
	if q.Len() <= q.params.MaxItems {
		return nil
	}
	victim := q.farthestOverShare()
	dropped := q.removeAt(victim.id, len(q.items[victim.id])-1)
	return []Dropped{{Item: dropped, Reason: QueueFull}}
}

// Peek returns the item that Pop would return.
func (q *Queue) Peek() (Item, bool) {
	o := q.shares.next()
	if o == nil {
		return Item{}, false
	}
	return q.items[o.id][0], true
}

// Heads returns the first item of each organisation, in fair order.
func (q *Queue) Heads() []Item {
	waiting := q.shares.inOrder()
	items := make([]Item, len(waiting))
	for i, o := range waiting {
		items[i] = q.items[o.id][0]
	}
	return items
}

// Pop removes and returns the next item in fair order.
func (q *Queue) Pop() (Item, bool) {
	o := q.shares.next()
	if o == nil {
		return Item{}, false
	}
	return q.pop(o.id, q.items[o.id][0].Cost), true
}

// PopOrg removes and returns the first item of one organisation, even out of fair
// order. The organisation is charged the given cost, which may be more accurate than
// the cost known when the item was pushed.
func (q *Queue) PopOrg(org request.OrgID, cost int64) (Item, bool) {
	if len(q.items[org]) == 0 {
		return Item{}, false
	}
	return q.pop(org, max(cost, 1)), true
}

func (q *Queue) pop(org request.OrgID, cost int64) Item {
	item := q.take(org, 0)
	q.shares.Serve(org, item.Cost, cost)
	return item
}

// Remove removes an item, for example when its caller has disconnected.
func (q *Queue) Remove(org request.OrgID, id request.ID) (Item, bool) {
	for i, item := range q.items[org] {
		if item.ID == id {
			return q.removeAt(org, i), true
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

// removeAt removes an item that is not served.
func (q *Queue) removeAt(org request.OrgID, i int) Item {
	item := q.take(org, i)
	q.shares.Remove(org, item.Cost)
	return item
}

// take removes an item from its organisation's list.
func (q *Queue) take(org request.OrgID, i int) Item {
	items := q.items[org]
	item := items[i]
	items = append(items[:i], items[i+1:]...)
	if len(items) == 0 {
		delete(q.items, org)
	} else {
		q.items[org] = items
	}
	return item
}

// farthestOverShare returns the organisation with the most items per weight.
func (q *Queue) farthestOverShare() *share {
	var worst *share
	for _, o := range q.shares.order {
		if o.count > 0 && (worst == nil || o.count*worst.weight > worst.count*o.weight) {
			worst = o
		}
	}
	return worst
}
