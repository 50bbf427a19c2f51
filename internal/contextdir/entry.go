package contextdir

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// none marks the end of a list of entries.
const none int32 = -1

// anchor is an indexed block of a context. Position counts blocks from 1.
type anchor struct {
	hash     block.Hash
	position int32
}

// residency is the part of a context in one target's accelerator memory.
type residency struct {
	target uint32
	blocks int32
}

// entry is one context. Entries live in a slice and are linked by their index, the
// most recently used first.
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

// blocksAt returns the leading blocks resident at a target.
func (e *entry) blocksAt(target uint32) int32 {
	for _, r := range e.resident {
		if r.target == target {
			return r.blocks
		}
	}
	return 0
}

// setBlocksAt replaces the residency at a target and makes it the newest. With zero
// blocks it is removed.
func (e *entry) setBlocksAt(target uint32, blocks int32, limit int) {
	kept := e.resident[:0]
	for _, r := range e.resident {
		if r.target != target {
			kept = append(kept, r)
		}
	}
	if blocks > 0 {
		if len(kept) >= limit {
			copy(kept, kept[1:])
			kept = kept[:len(kept)-1]
		}
		kept = append(kept, residency{target: target, blocks: blocks})
	}
	e.resident = kept
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

// scopes gives short numbers to scopes in use.
type scopes struct {
	ids   map[block.Scope]uint32
	byID  []scopeRecord
	spare []uint32
}

type scopeRecord struct {
	scope    block.Scope
	contexts int
}

// take returns the number of a scope and counts one more context in it.
func (s *scopes) take(scope block.Scope) uint32 {
	id, ok := s.ids[scope]
	if !ok {
		id = s.fresh()
		s.ids[scope] = id
		s.byID[id].scope = scope
	}
	s.byID[id].contexts++
	return id
}

func (s *scopes) fresh() uint32 {
	if n := len(s.spare); n > 0 {
		id := s.spare[n-1]
		s.spare = s.spare[:n-1]
		return id
	}
	s.byID = append(s.byID, scopeRecord{})
	return uint32(len(s.byID) - 1)
}

// release uncounts one context and forgets a scope without contexts.
func (s *scopes) release(id uint32) {
	r := &s.byID[id]
	r.contexts--
	if r.contexts > 0 {
		return
	}
	delete(s.ids, r.scope)
	*r = scopeRecord{}
	s.spare = append(s.spare, id)
}

// targetState is what is known about a target's whole part.
type targetState struct {
	id          request.TargetID
	incarnation uint64
	seq         uint64 // newest event applied
	unsure      bool
	wrong       int // answers in a row with fewer cached tokens than remembered
}
