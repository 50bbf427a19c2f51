package retention

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Residence estimates how long a target's accelerator memory keeps blocks after their
// last use, from the rate at which blocks enter it.
type Residence struct {
	totalBlocks int
	entered     float64 // blocks, weighted by how recently they entered
	weight      float64 // seconds that were observed, weighted likewise
	last        time.Time
}

const (
	// residenceWindow is the time after which an observation has lost most of its weight.
	residenceWindow = 60 * time.Second
	// longResidence stands for memory that nothing pushes out of.
	longResidence = 24 * time.Hour
)

// NewResidence returns an estimate for a target with room for totalBlocks.
func NewResidence(totalBlocks int) *Residence { return &Residence{totalBlocks: totalBlocks} }

// ObserveInsertions records that blocks entered the cache.
func (r *Residence) ObserveInsertions(blocks int, now time.Time) {
	r.advance(now)
	r.entered += float64(blocks)
}

func (r *Residence) advance(now time.Time) {
	if elapsed := now.Sub(r.last).Seconds(); !r.last.IsZero() && elapsed > 0 {
		fade := math.Exp(-elapsed / residenceWindow.Seconds())
		r.entered *= fade
		r.weight = r.weight*fade + elapsed
	}
	r.last = now
}

// Estimate returns how long blocks stay.
func (r *Residence) Estimate(now time.Time) time.Duration {
	r.advance(now)
	perSecond := r.entered / max(1, r.weight)
	if perSecond*longResidence.Seconds() <= float64(r.totalBlocks) {
		return longResidence
	}
	return time.Duration(float64(r.totalBlocks) / perSecond * float64(time.Second))
}

// AnsweredContext is a context whose answer has just ended.
type AnsweredContext struct {
	Blocks int // resident at the target that answered
	Copies []contextdir.Copy
}

// StoreUsage is what a store VM has left.
type StoreUsage struct {
	Store       request.StoreID
	Down        bool
	MemoryUsed  int64
	MemoryTotal int64
	DiskUsed    int64
	DiskTotal   int64
	LinkQueue   time.Duration // time that present transfers hold the link
}

// ExportOrder says what to export where. Blocks before From are in the store already
// under the copy that the new manifest extends.
type ExportOrder struct {
	Store   request.StoreID
	From    int // first block to write, counted from 0
	To      int // blocks that the manifest will commit
	Extends string
}

// Export decides whether a context is exported after its answer: it is if a store lacks
// enough of it. A live copy is extended in place, so that only new blocks use the link.
// Leaving out contexts that are expected back before eviction was measured to recompute
// more without saving link time, so their gaps are not asked.
func Export(p Params, a AnsweredContext, rooms []StoreUsage, bytesPerBlock int64) (ExportOrder, bool) {
	if a.Blocks < p.MinBlocks {
		return ExportOrder{}, false
	}
	if c, ok := longestOwn(a.Copies, rooms); ok {
		order := ExportOrder{Store: c.Store, From: c.Blocks, To: a.Blocks, Extends: c.Manifest}
		return order, a.Blocks-c.Blocks >= p.MinNewBlocks
	}
	store, ok := pickStore(rooms, int64(a.Blocks)*bytesPerBlock)
	return ExportOrder{Store: store, To: a.Blocks}, ok
}

// longestOwn returns the longest copy in a live store that this context owns.
func longestOwn(copies []contextdir.Copy, rooms []StoreUsage) (contextdir.Copy, bool) {
	best := -1
	for i, c := range copies {
		if c.Shared || !live(rooms, c.Store) {
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

func live(rooms []StoreUsage, store request.StoreID) bool {
	for _, r := range rooms {
		if r.Store == store {
			return !r.Down
		}
	}
	return false
}

// pickStore returns the live store with room that has the largest free share, after
// those whose link is busy.
func pickStore(rooms []StoreUsage, bytes int64) (request.StoreID, bool) {
	best := -1
	for i, r := range rooms {
		if r.Down || r.free() < bytes {
			continue
		}
		if best < 0 || r.before(rooms[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return rooms[best].Store, true
}

// busyLink is the queue from which a link counts as busy for new exports.
const busyLink = 5 * time.Second

func (r StoreUsage) before(other StoreUsage) bool {
	if busy := r.LinkQueue > busyLink; busy != (other.LinkQueue > busyLink) {
		return !busy
	}
	return r.freeShare() > other.freeShare()
}

func (r StoreUsage) free() int64 { return r.MemoryTotal + r.DiskTotal - r.MemoryUsed - r.DiskUsed }

func (r StoreUsage) freeShare() float64 {
	return float64(r.free()) / float64(max(1, r.MemoryTotal+r.DiskTotal))
}
