package retention

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// MoveKind says what happens to a copy.
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

// ranked is a copy with the time at which it is expected to be needed.
type ranked struct {
	copy contextdir.Copy
	next time.Time
}

// PlanEviction clears the tiers of a store VM that are above the high-water mark down to
// the low-water mark: memory by demotion to disk, disk by freeing. What is needed last
// goes first. Without room on disk, memory is cleared by freeing.
func PlanEviction(p Params, room StoreUsage, kept []contextdir.StoredContext, now time.Time) []Move {
	toDemote := excess(p, room.MemoryUsed, room.MemoryTotal)
	if toDemote == 0 && excess(p, room.DiskUsed, room.DiskTotal) == 0 {
		return nil
	}
	memory, disk := split(p, room, kept, now)
	demoted, bytes := take(memory, toDemote)
	toFree := excess(p, room.DiskUsed+bytes, room.DiskTotal)
	var moves []Move
	if room.DiskTotal == 0 {
		return appendMoves(moves, Free, demoted)
	}
	freed, _ := take(disk, toFree)
	moves = appendMoves(moves, Free, freed)
	return appendMoves(moves, Demote, demoted)
}

// excess returns the bytes to clear from a tier.
func excess(p Params, used, total int64) int64 {
	if float64(used) <= p.HighWater*float64(total) {
		return 0
	}
	return used - int64(p.LowWater*float64(total))
}

// split returns a store's own copies by tier, those needed last first.
func split(p Params, room StoreUsage, kept []contextdir.StoredContext, now time.Time) (memory, disk []ranked) {
	for _, k := range kept {
		for _, c := range k.Copies {
			if c.Store != room.Store || c.Shared {
				continue
			}
			r := ranked{copy: c, next: NextReturn(p, k.LastUse, k.Gaps, now)}
			if c.Tier == storeapi.TierDisk {
				disk = append(disk, r)
			} else {
				memory = append(memory, r)
			}
		}
	}
	lastFirst := func(a, b ranked) int {
		if c := b.next.Compare(a.next); c != 0 {
			return c
		}
		return cmp.Compare(a.copy.Manifest, b.copy.Manifest)
	}
	slices.SortFunc(memory, lastFirst)
	slices.SortFunc(disk, lastFirst)
	return memory, disk
}

// take returns the first copies that together hold at least bytes.
func take(from []ranked, bytes int64) ([]ranked, int64) {
	var sum int64
	n := 0
	for n < len(from) && sum < bytes {
		sum += from[n].copy.Bytes
		n++
	}
	return from[:n], sum
}

func appendMoves(moves []Move, kind MoveKind, copies []ranked) []Move {
	for _, r := range copies {
		moves = append(moves, Move{Kind: kind, Copy: r.copy})
	}
	return moves
}

// PlanPromotions returns the copies on a store VM's disk whose context is expected back
// soon, the soonest first, as far as memory has room below the high-water mark.
func PlanPromotions(p Params, room StoreUsage, kept []contextdir.StoredContext, now time.Time) []Move {
	var due []ranked
	for _, k := range kept {
		for _, c := range k.Copies {
			onDisk := c.Store == room.Store && c.Tier == storeapi.TierDisk && !c.Shared
			if onDisk && dueSoon(p, k.LastUse, k.Gaps, p.PromoteLead, now) {
				due = append(due, ranked{copy: c, next: NextReturn(p, k.LastUse, k.Gaps, now)})
			}
		}
	}
	slices.SortFunc(due, func(a, b ranked) int {
		if c := a.next.Compare(b.next); c != 0 {
			return c
		}
		return cmp.Compare(a.copy.Manifest, b.copy.Manifest)
	})
	left := int64(p.HighWater*float64(room.MemoryTotal)) - room.MemoryUsed
	var moves []Move
	for _, r := range due {
		if r.copy.Bytes > left {
			break
		}
		left -= r.copy.Bytes
		moves = append(moves, Move{Kind: Promote, Copy: r.copy})
	}
	return moves
}

// ShouldPrefetch tells whether a context is to be imported into accelerator memory
// before its caller returns: its returns are regular enough that the blocks will still
// be there, and the return is near.
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
