package coordinator

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// maxResident bounds the blocks remembered of one target.
const maxResident = 1 << 20

// residency is the set of blocks that a target's cache events have shown. It is a
// hint: events come late and with gaps, and the target's answer is the truth.
type residency struct {
	incarnation uint64
	next        uint64 // sequence of the newest event applied
	unsure      bool   // a gap was seen and no snapshot has come since
	blocks      map[block.Hash]struct{}
}

func newResidency() *residency {
	return &residency{unsure: true, blocks: map[block.Hash]struct{}{}}
}

// clear forgets all, after the target died.
func (r *residency) clear() {
	r.unsure = true
	r.next = 0
	r.blocks = map[block.Hash]struct{}{}
}

// onEvents applies a page. A sequence that skips a number means that events were
// lost: blocks may be gone that are still remembered, so the set is unsure until a
// snapshot has been read.
func (r *residency) onEvents(page engineapi.EventPage) {
	if page.Incarnation != r.incarnation {
		r.clear()
		r.incarnation = page.Incarnation
	}
	for _, e := range page.Events {
		if e.Seq <= r.next {
			continue
		}
		if e.Seq != r.next+1 {
			r.unsure = true
		}
		r.next = e.Seq
		r.apply(e)
	}
	if page.Next > r.next {
		r.unsure = true
		r.next = page.Next
	}
}

func (r *residency) apply(e engineapi.CacheEvent) {
	switch e.Kind {
	case engineapi.BlocksStored:
		for _, h := range e.Blocks {
			r.add(h)
		}
	case engineapi.BlocksRemoved:
		for _, h := range e.Blocks {
			delete(r.blocks, h)
		}
	case engineapi.BlocksCleared:
		r.blocks = map[block.Hash]struct{}{}
	}
}

func (r *residency) add(h block.Hash) {
	if len(r.blocks) >= maxResident {
		r.unsure = true
		return
	}
	r.blocks[h] = struct{}{}
}

// onSnapshot replaces the set, unless newer events have been applied.
func (r *residency) onSnapshot(s engineapi.Snapshot) {
	if s.Incarnation == r.incarnation && s.Seq < r.next {
		return
	}
	r.clear()
	r.incarnation = s.Incarnation
	r.next = s.Seq
	for _, h := range s.Blocks {
		r.add(h)
	}
	r.unsure = false
}

// probe is a chain of blocks seen at a few positions, from the first block on.
type probe struct {
	positions []int // leading blocks that the hash of the same index stands for
	hashes    []block.Hash
}

// leading returns how many leading blocks of the probed chain are resident. Engines
// evict a chain from its end, so the first missing position bounds it.
func (r *residency) leading(p probe) int {
	found := 0
	for i, h := range p.hashes {
		if _, ok := r.blocks[h]; !ok {
			break
		}
		found = p.positions[i]
	}
	return found
}

// maxProbe is the most positions of a chain that are sent to a steward.
const maxProbe = 24

// probeOf samples a chain: its whole length, and points that halve the rest, so a
// cut near the end is found as exactly as one near the start.
func probeOf(chain []block.Hash) probe {
	var p probe
	step := max(1, (len(chain)+maxProbe-1)/maxProbe)
	for n := 1; n < len(chain); n += step {
		p.positions = append(p.positions, n)
		p.hashes = append(p.hashes, chain[n-1])
	}
	if len(chain) > 0 {
		p.positions = append(p.positions, len(chain))
		p.hashes = append(p.hashes, chain[len(chain)-1])
	}
	return p
}
