package coordinator

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// maxResidentBlocks bounds the number of blocks recorded for one target.
const maxResidentBlocks = 1 << 20

// residency is the set of blocks that are resident in a target's cache according to its
// events. It is a hint: events arrive late and with gaps, and only the target itself is
// authoritative.
type residency struct {
	incarnation uint64
	lastSeq     uint64 // sequence number of the newest event applied
	unconfirmed bool   // a gap was detected and no snapshot has been applied since
	blocks      map[block.Hash]struct{}
}

func newResidency() *residency {
	return &residency{unconfirmed: true, blocks: map[block.Hash]struct{}{}}
}

// clear empties the set, after the target died or restarted.
func (r *residency) clear() {
	r.unconfirmed = true
	r.lastSeq = 0
	r.blocks = map[block.Hash]struct{}{}
}

// onEvents applies a page of events. A gap in the sequence numbers means that events were
// lost: the set may contain blocks that the target has evicted, so it is unconfirmed until
// a snapshot has been applied.
func (r *residency) onEvents(page engineapi.EventPage) {
	if page.Incarnation != r.incarnation {
		r.clear()
		r.incarnation = page.Incarnation
	}
	for _, e := range page.Events {
		if e.Seq <= r.lastSeq {
			continue
		}
		if e.Seq != r.lastSeq+1 {
			r.unconfirmed = true
		}
		r.lastSeq = e.Seq
		r.apply(e)
	}
	if page.Next > r.lastSeq {
		r.unconfirmed = true
		r.lastSeq = page.Next
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
	if len(r.blocks) >= maxResidentBlocks {
		r.unconfirmed = true
		return
	}
	r.blocks[h] = struct{}{}
}

// onSnapshot replaces the set, unless events newer than the snapshot have been applied.
func (r *residency) onSnapshot(s engineapi.Snapshot) {
	if s.Incarnation == r.incarnation && s.Seq < r.lastSeq {
		return
	}
	r.clear()
	r.incarnation = s.Incarnation
	r.lastSeq = s.Seq
	for _, h := range s.Blocks {
		r.add(h)
	}
	r.unconfirmed = false
}

// probe is a sample of a chain of blocks, in order of position.
type probe struct {
	positions []int // number of leading blocks that the hash at the same index covers
	hashes    []block.Hash
}

// leading returns the number of leading blocks of the probed chain that are resident.
// Engines evict a chain from its end, so the first missing position is an upper bound.
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

// maxProbePositions is the maximum number of positions of a chain sent to a coordinator.
const maxProbePositions = 24

// newProbe samples a chain at its full length and at evenly spaced positions, so that
// a partially resident chain is measured with the same accuracy wherever it ends.
func newProbe(chain []block.Hash) probe {
	var p probe
	step := max(1, (len(chain)+maxProbePositions-1)/maxProbePositions)
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
