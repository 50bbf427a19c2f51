package waitroom

import (
	"container/heap"
	"time"
)

// entryHeap is a heap of entries. keepBy orders them by objective, otherwise they are ordered by their
// latest start. Entries with the same time are ordered by arrival.
type entryHeap struct {
	entries []*Entry
	keepBy  bool
}

func (h *entryHeap) key(e *Entry) time.Time {
	if h.keepBy {
		return e.KeepBy
	}
	return e.LatestStart
}

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool { return h.before(h.entries[i], h.entries[j]) }

func (h *entryHeap) before(a, b *Entry) bool {
	if order := h.key(a).Compare(h.key(b)); order != 0 {
		return order < 0
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index, h.entries[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index, e.heap = len(h.entries), h
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.heap = nil
	return e
}

// first returns the first entry, nil if there is none.
func (h *entryHeap) first() *Entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

// leave removes an entry from the heap that it is in, if any.
func (e *Entry) leave() {
	if e.heap != nil {
		heap.Remove(e.heap, e.index)
	}
}
