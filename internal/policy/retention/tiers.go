package retention

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// MoveKind is the kind of change to a copy.
type MoveKind int

const (
	// Demote moves a copy from a store VM's memory to its disk.
	Demote MoveKind = iota
	// Promote moves a copy from disk to memory.
	Promote
	// Free deletes the manifest and then the blocks.
	Free
)

var moveNames = [...]string{"demote", "promote", "free"}

// String returns the name used in logs and dumps.
func (k MoveKind) String() string { return moveNames[k] }

// Move is one change to a copy.
type Move struct {
	Kind MoveKind
	Copy contextdir.Copy
}

// rankedCopy is a copy with the expected next use of its context.
type rankedCopy struct {
	copy       contextdir.Copy
	nextReturn time.Time
}

// PlanEviction returns the moves that bring each tier of a store VM above the high-water
// mark down to the low-water mark. It demotes copies from memory to disk and frees copies
// on disk, starting with those whose expected next use is latest. If the store VM has no
// disk, it frees copies in memory.
func PlanEviction(p Params, store StoreUsage, contexts []contextdir.StoredContext, now time.Time) []Move {
	toDemote := excess(p, store.MemoryUsed, store.MemoryTotal)
	if toDemote == 0 && excess(p, store.DiskUsed, store.DiskTotal) == 0 {
		return nil
	}
	memory, disk := rankByTier(p, store, contexts, now)
	demoted, bytes := takeBytes(memory, toDemote)
	toFree := excess(p, store.DiskUsed+bytes, store.DiskTotal)
	var moves []Move
	if store.DiskTotal == 0 {
		return appendMoves(moves, Free, demoted)
	}
	freed, _ := takeBytes(disk, toFree)
	moves = appendMoves(moves, Free, freed)
	return appendMoves(moves, Demote, demoted)
}

// excess returns the bytes to evict from a tier.
func excess(p Params, used, total int64) int64 {
	if float64(used) <= p.HighWater*float64(total) {
		return 0
	}
	return used - int64(p.LowWater*float64(total))
}

// rankByTier returns the copies in a store that their contexts own, by tier, with the
// latest expected use first.
func rankByTier(p Params, store StoreUsage, contexts []contextdir.StoredContext, now time.Time) (memory, disk []rankedCopy) {
	for _, k := range contexts {
		for _, c := range k.Copies {
			if c.Store != store.Store || c.Shared {
				continue
			}
			r := rankedCopy{copy: c, nextReturn: NextReturn(p, k.LastUse, k.Gaps, now)}
			if c.Tier == storeapi.TierDisk {
				disk = append(disk, r)
			} else {
				memory = append(memory, r)
			}
		}
	}
	lastFirst := func(a, b rankedCopy) int {
		if c := b.nextReturn.Compare(a.nextReturn); c != 0 {
			return c
		}
		return cmp.Compare(a.copy.Manifest, b.copy.Manifest)
	}
	slices.SortFunc(memory, lastFirst)
	slices.SortFunc(disk, lastFirst)
	return memory, disk
}

// takeBytes returns the shortest prefix of the copies that holds at least bytes, or all
// copies if they hold less, and the bytes that it holds.
func takeBytes(from []rankedCopy, bytes int64) ([]rankedCopy, int64) {
	var sum int64
	n := 0
	for n < len(from) && sum < bytes {
		sum += from[n].copy.Bytes
		n++
	}
	return from[:n], sum
}

func appendMoves(moves []Move, kind MoveKind, copies []rankedCopy) []Move {
	for _, r := range copies {
		moves = append(moves, Move{Kind: kind, Copy: r.copy})
	}
	return moves
}

// PlanPromotions returns promotions of the copies on a store VM's disk whose context is
// due soon, the earliest first, until memory would exceed the high-water mark.
func PlanPromotions(p Params, store StoreUsage, contexts []contextdir.StoredContext, now time.Time) []Move {
	var due []rankedCopy
	for _, k := range contexts {
		for _, c := range k.Copies {
			onDisk := c.Store == store.Store && c.Tier == storeapi.TierDisk && !c.Shared
			if onDisk && dueSoon(p, k.LastUse, k.Gaps, p.PromoteLead, now) {
				due = append(due, rankedCopy{copy: c, nextReturn: NextReturn(p, k.LastUse, k.Gaps, now)})
			}
		}
	}
	slices.SortFunc(due, func(a, b rankedCopy) int {
		if c := a.nextReturn.Compare(b.nextReturn); c != 0 {
			return c
		}
		return cmp.Compare(a.copy.Manifest, b.copy.Manifest)
	})
	available := int64(p.HighWater*float64(store.MemoryTotal)) - store.MemoryUsed
	var moves []Move
	for _, r := range due {
		if r.copy.Bytes > available {
			break
		}
		available -= r.copy.Bytes
		moves = append(moves, Move{Kind: Promote, Copy: r.copy})
	}
	return moves
}

// ShouldPrefetch reports whether to import a context into accelerator memory before its
// caller returns. The return must be due soon, and the gaps must be regular enough that
// the blocks are still resident when the caller returns.
func ShouldPrefetch(p Params, k contextdir.StoredContext, residence time.Duration, now time.Time) bool {
	if k.Gaps.Count() < p.MinHistory {
		return false
	}
	_, spread := expectedGap(p, k.Gaps)
	if float64(spread) > p.MaxSpread*float64(residence) {
		return false
	}
	return dueSoon(p, k.LastUse, k.Gaps, p.PrefetchLead, now)
}
