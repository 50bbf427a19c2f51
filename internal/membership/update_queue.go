package membership

import "slices"

// rumours is the news that a daemon still tells: ids of members whose record changed.
// New ones go first, then those told longest ago.
type rumours struct {
	left  map[string]int // messages that still carry the record
	queue []string
}

func newRumours() rumours { return rumours{left: make(map[string]int)} }

// add makes a record news for a number of messages.
func (r *rumours) add(id string, messages int) {
	if _, told := r.left[id]; !told {
		r.queue = slices.Insert(r.queue, 0, id)
	}
	r.left[id] = messages
}

// remove forgets a record; take drops its place in the queue.
func (r *rumours) remove(id string) { delete(r.left, id) }

// take returns the ids for one message.
func (r *rumours) take(limit int) []string {
	var ids, again []string
	for len(r.queue) > 0 && len(ids) < limit {
		id := r.queue[0]
		r.queue = r.queue[1:]
		left, told := r.left[id]
		if !told {
			continue
		}
		ids = append(ids, id)
		if left > 1 {
			r.left[id] = left - 1
			again = append(again, id)
			continue
		}
		delete(r.left, id)
	}
	r.queue = append(r.queue, again...)
	return ids
}
