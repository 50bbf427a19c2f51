package contextdir

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// none marks the end of the linked list of entries.
const none int32 = -1

// anchor is an indexed block of a context. Position counts blocks from 1.
type anchor struct {
	hash     block.Hash
	position int32
}

// residency is the number of leading blocks of a context in one target's accelerator memory.
type residency struct {
	target uint32
	blocks int32
}

// entry is one context. Directory holds its entries in a slice and links them by index in
// order of last use.
type entry struct {
	scope    uint32
	length   int32 // blocks
	older    int32
	newer    int32
	lastUse  int64 // Unix nanoseconds
	gaps     Gaps
	anchors  []anchor
	resident []residency // oldest first
	copies   []Copy
}

// blocksAt returns the number of leading blocks resident at a target.
func (e *entry) blocksAt(target uint32) int32 {
	for _, r := range e.resident {
		if r.target == target {
			return r.blocks
		}
	}
	return 0
}

// setBlocksAt replaces the residency at a target and moves it to the newest position.
// Zero blocks remove it.
func (e *entry) setBlocksAt(target uint32, blocks int32, limit int) {
	remaining := e.resident[:0]
	for _, r := range e.resident {
		if r.target != target {
			remaining = append(remaining, r)
		}
	}
	if blocks > 0 {
		if len(remaining) >= limit {
			copy(remaining, remaining[1:])
			remaining = remaining[:len(remaining)-1]
		}
		remaining = append(remaining, residency{target: target, blocks: blocks})
	}
	e.resident = remaining
}

// positionOf returns the position of an anchor, or 0.
func (e *entry) positionOf(h block.Hash) int32 {
	for _, a := range e.anchors {
		if a.hash == h {
			return a.position
		}
	}
	return 0
}

// scopes assigns small numbers to the scopes in use.
type scopes struct {
	ids     map[block.Scope]uint32
	byID    []scopeRecord
	freeIDs []uint32
}

type scopeRecord struct {
	scope    block.Scope
	contexts int
}

// acquire returns the number of a scope and increments its count of contexts.
func (s *scopes) acquire(scope block.Scope) uint32 {
	id, ok := s.ids[scope]
	if !ok {
		id = s.allocate()
		s.ids[scope] = id
		s.byID[id].scope = scope
	}
	s.byID[id].contexts++
	return id
}

func (s *scopes) allocate() uint32 {
	if n := len(s.freeIDs); n > 0 {
		id := s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
		return id
	}
	s.byID = append(s.byID, scopeRecord{})
	return uint32(len(s.byID) - 1)
}

// release decrements a scope's count of contexts and removes a scope without contexts.
func (s *scopes) release(id uint32) {
	r := &s.byID[id]
	r.contexts--
	if r.contexts > 0 {
		return
	}
	delete(s.ids, r.scope)
	*r = scopeRecord{}
	s.freeIDs = append(s.freeIDs, id)
}

// targetState is the state of a target that applies to all its blocks.
type targetState struct {
	id            request.TargetID
	incarnation   uint64
	seq           uint64 // newest applied event
	unconfirmed   bool
	overestimates int // consecutive answers with fewer cached blocks than recorded
}
