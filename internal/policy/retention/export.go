package retention

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Residence estimates how long blocks stay in a target's accelerator memory after their
// last use, from the rate at which new blocks are inserted.
type Residence struct {
	totalBlocks int
	inserted    float64 // blocks, with exponentially decaying weight
	weight      float64 // observed seconds, decaying likewise
	last        time.Time
}

const (
	// residenceWindow is the time constant of the decay of observations.
	residenceWindow = 60 * time.Second
	// maxResidence is the estimate for memory from which blocks are practically never evicted.
	maxResidence = 24 * time.Hour
)

// NewResidence returns an estimate for a target with capacity for totalBlocks.
func NewResidence(totalBlocks int) *Residence { return &Residence{totalBlocks: totalBlocks} }

// ObserveInsertions records that blocks were inserted into the cache.
func (r *Residence) ObserveInsertions(blocks int, now time.Time) {
	r.advance(now)
	r.inserted += float64(blocks)
}

func (r *Residence) advance(now time.Time) {
	if elapsed := now.Sub(r.last).Seconds(); !r.last.IsZero() && elapsed > 0 {
		decay := math.Exp(-elapsed / residenceWindow.Seconds())
		r.inserted *= decay
		r.weight = r.weight*decay + elapsed
	}
	r.last = now
}

// Estimate returns how long blocks stay resident.
func (r *Residence) Estimate(now time.Time) time.Duration {
	r.advance(now)
	perSecond := r.inserted / max(1, r.weight)
	if perSecond*maxResidence.Seconds() <= float64(r.totalBlocks) {
		return maxResidence
	}
	return time.Duration(float64(r.totalBlocks) / perSecond * float64(time.Second))
}

// AnsweredContext is a context whose answer has just ended.
type AnsweredContext struct {
	Blocks int // resident at the target that answered
	Copies []contextdir.Copy
}

// StoreUsage is the state and the usage of a store VM.
type StoreUsage struct {
	Store       request.StoreID
	Down        bool
	MemoryUsed  int64
	MemoryTotal int64
	DiskUsed    int64
	DiskTotal   int64
	LinkQueue   time.Duration // time that current transfers occupy the link
}

// ExportOrder is the export of a range of blocks to a store. The copy that the new
// manifest extends already holds the blocks before From.
type ExportOrder struct {
	Store   request.StoreID
	From    int    // first block to write, counted from 0
	To      int    // blocks that the manifest will commit
	Extends string // manifest of the extended copy; empty: none
}

// Export decides whether to export a context after its answer, which it does if the
// context's longest copy lacks enough blocks. It extends a live copy in place, so only new
// blocks use the link. It ignores the expected return: skipping contexts that are due
// before their eviction increases recomputation without saving link time.
func Export(p Params, a AnsweredContext, stores []StoreUsage, bytesPerBlock int64) (ExportOrder, bool) {
	if p.IsShort(a.Blocks) {
		return ExportOrder{}, false
	}
	if c, ok := longestOwned(a.Copies, stores); ok {
		order := ExportOrder{Store: c.Store, From: c.Blocks, To: a.Blocks, Extends: c.Manifest}
		return order, a.Blocks-c.Blocks >= p.MinNewBlocks
	}
	store, ok := pickStore(stores, int64(a.Blocks)*bytesPerBlock)
	return ExportOrder{Store: store, To: a.Blocks}, ok
}

// longestOwned returns the longest copy in a live store that the context owns.
func longestOwned(copies []contextdir.Copy, stores []StoreUsage) (contextdir.Copy, bool) {
	best := -1
	for i, c := range copies {
		if c.Shared || !isLive(stores, c.Store) {
			continue
		}
		if best < 0 || c.Blocks > copies[best].Blocks {
			best = i
		}
	}
	if best < 0 {
		return contextdir.Copy{}, false
	}
	return copies[best], true
}

func isLive(stores []StoreUsage, store request.StoreID) bool {
	for _, r := range stores {
		if r.Store == store {
			return !r.Down
		}
	}
	return false
}

// pickStore returns the live store with enough free space that has the largest free
// share. Stores with a busy link rank behind all others.
func pickStore(stores []StoreUsage, bytes int64) (request.StoreID, bool) {
	best := -1
	for i, r := range stores {
		if r.Down || r.free() < bytes {
			continue
		}
		if best < 0 || r.preferredOver(stores[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return stores[best].Store, true
}

// busyLinkQueue is the queue above which a link counts as busy for new exports.
const busyLinkQueue = 5 * time.Second

func (r StoreUsage) preferredOver(other StoreUsage) bool {
	if busy := r.LinkQueue > busyLinkQueue; busy != (other.LinkQueue > busyLinkQueue) {
		return !busy
	}
	return r.freeShare() > other.freeShare()
}

func (r StoreUsage) free() int64 { return r.MemoryTotal + r.DiskTotal - r.MemoryUsed - r.DiskUsed }

func (r StoreUsage) freeShare() float64 {
	return float64(r.free()) / float64(max(1, r.MemoryTotal+r.DiskTotal))
}
