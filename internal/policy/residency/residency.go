// Package residency estimates which parts of prompts lie in a replica's memory.
//
// A replica drops the parts used least recently when its memory is full. The estimate
// plays that from the requests that were sent to it. It may be wrong either way: a part
// that is gone costs a fetch or a computation, one that is there unknown costs a detour.
//
// The package is pure. A Model is not safe for concurrent use.
package residency

import "container/list"

// Key names a part under a cache salt.
type Key uint64

type part struct {
	key    Key
	tokens int
}

// MemoryEstimate is the estimate for one replica.
type MemoryEstimate struct {
	capacity int // tokens
	used     int
	order    *list.List // of part, the newest first
	byKey    map[Key]*list.Element
}

// New returns an empty model of a memory of some tokens.
func New(capacity int) *MemoryEstimate {
	return &MemoryEstimate{capacity: capacity, order: list.New(), byKey: map[Key]*list.Element{}}
}

// Touch says that a part is read or made now.
func (m *MemoryEstimate) Touch(key Key, tokens int) {
	if e, ok := m.byKey[key]; ok {
		p := e.Value.(*part)
		m.used += tokens - p.tokens
		p.tokens = tokens
		m.order.MoveToFront(e)
	} else {
		m.byKey[key] = m.order.PushFront(&part{key: key, tokens: tokens})
		m.used += tokens
	}
	m.trim()
}

func (m *MemoryEstimate) trim() {
	for m.used > m.capacity && m.order.Len() > 0 {
		last := m.order.Back()
		p := last.Value.(*part)
		m.order.Remove(last)
		delete(m.byKey, p.key)
		m.used -= p.tokens
	}
}

// Contains reports whether a part is thought to be there.
func (m *MemoryEstimate) Contains(key Key) bool {
	_, ok := m.byKey[key]
	return ok
}

// Clear forgets all parts: the replica took other weights.
func (m *MemoryEstimate) Clear() {
	m.order.Init()
	clear(m.byKey)
	m.used = 0
}
