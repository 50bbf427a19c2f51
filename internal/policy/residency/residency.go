// Package residency estimates which prompt parts are cached in a replica's memory.
//
// A replica evicts the least recently used parts when its memory is full. The estimate simulates this
// from the requests that were sent to the replica. It may be wrong in both directions: a part that was
// evicted costs a fetch or a recomputation, and a cached part that is not known costs a detour.
//
// Invariant: an estimate has at most maxParts parts, however few tokens callers say that theirs have.
//
// The package is pure. A MemoryEstimate is not safe for concurrent use.
package residency

import "container/list"

// maxParts bounds the parts of an estimate, some 100 bytes each. A replica's memory has room for fewer ordinary ones.
const maxParts = 4096

// Key identifies a part under a cache salt.
type Key uint64

type part struct {
	key    Key
	tokens int
	usedAt int // MemoryEstimate.touched at the last use
}

// MemoryEstimate is the estimated content of one replica's memory.
type MemoryEstimate struct {
	capacity   int // tokens
	usedTokens int
	touched    int        // tokens read or computed so far
	lru        *list.List // of *part, most recently used first
	byKey      map[Key]*list.Element
}

// New returns an empty estimate for a memory of capacity tokens.
func New(capacity int) *MemoryEstimate {
	return &MemoryEstimate{capacity: capacity, lru: list.New(), byKey: map[Key]*list.Element{}}
}

// Touch records that the replica reads or computes a part now.
func (m *MemoryEstimate) Touch(key Key, tokens int) {
	m.touched += tokens
	if e, ok := m.byKey[key]; ok {
		p := e.Value.(*part)
		p.usedAt = m.touched
		m.usedTokens += tokens - p.tokens
		p.tokens = tokens
		m.lru.MoveToFront(e)
	} else {
		m.byKey[key] = m.lru.PushFront(&part{key: key, tokens: tokens, usedAt: m.touched})
		m.usedTokens += tokens
	}
	m.evict()
}

func (m *MemoryEstimate) evict() {
	for (m.usedTokens > m.capacity || m.lru.Len() > maxParts) && m.lru.Len() > 0 {
		last := m.lru.Back()
		p := last.Value.(*part)
		m.lru.Remove(last)
		delete(m.byKey, p.key)
		m.usedTokens -= p.tokens
	}
}

// Contains reports whether a part is presumably cached.
func (m *MemoryEstimate) Contains(key Key) bool {
	_, ok := m.byKey[key]
	return ok
}

// ContainsRecent reports whether a part is presumably cached, and the replica has read or computed no more than a share of its capacity since the
// last use.
func (m *MemoryEstimate) ContainsRecent(key Key, share float64) bool {
	e, ok := m.byKey[key]
	return ok && float64(m.touched-e.Value.(*part).usedAt) <= share*float64(m.capacity)
}

// Clear removes all parts, for example because the replica loaded other weights.
func (m *MemoryEstimate) Clear() {
	m.lru.Init()
	clear(m.byKey)
	m.usedTokens = 0
}
