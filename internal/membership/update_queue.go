package membership

import "slices"

// updateQueue holds the ids of members whose changed records a daemon still broadcasts.
// New ids come first, followed by those sent longest ago.
type updateQueue struct {
	remaining map[string]int // messages that still carry the record
	queue     []string
}

func newUpdateQueue() updateQueue { return updateQueue{remaining: make(map[string]int)} }

// add queues a record for a number of messages.
func (r *updateQueue) add(id string, messages int) {
	if _, queued := r.remaining[id]; !queued {
		r.queue = slices.Insert(r.queue, 0, id)
	}
	r.remaining[id] = messages
}

// remove removes a record; take drops its id from the queue.
func (r *updateQueue) remove(id string) { delete(r.remaining, id) }

// take returns the ids of the records for one message.
func (r *updateQueue) take(limit int) []string {
	var ids, requeued []string
	for len(r.queue) > 0 && len(ids) < limit {
		id := r.queue[0]
		r.queue = r.queue[1:]
		remaining, queued := r.remaining[id]
		if !queued {
			continue
		}
		ids = append(ids, id)
		if remaining > 1 {
			r.remaining[id] = remaining - 1
			requeued = append(requeued, id)
			continue
		}
		delete(r.remaining, id)
	}
	r.queue = append(r.queue, requeued...)
	return ids
}
