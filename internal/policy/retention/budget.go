package retention

import "time"

// Class orders the users of a link.
type Class int

const (
	// Caller is a transfer that a caller waits for.
	Caller Class = iota
	// Prefetch is an import before an expected return.
	Prefetch
	// Exporting is a write of blocks to a store.
	Exporting
	classes
)

var classNames = [...]string{"caller", "prefetch", "export"}

// String returns the name used in logs and dumps.
func (c Class) String() string { return classNames[c] }

// askedRecently is how long a refused prefetch keeps exports off the link.
const askedRecently = 100 * time.Millisecond

// Budget shares one store VM's link between classes. Callers are always granted; their
// placement sizes their imports by the link's queue. The others get one short chunk at
// a time and only while no caller is on the link, so a caller that comes finds at most
// one chunk before it. A floor for exports under lasting load was measured to give
// nothing: the limit of patience on imports leaves pauses in which exports go on.
type Budget struct {
	params         Params
	rate           float64 // bytes a second
	outstanding    [classes]int64
	prefetchWaited time.Time
}

// NewBudget returns the budget of a link of rate bytes a second.
func NewBudget(p Params, rate float64) *Budget { return &Budget{params: p, rate: rate} }

// SetRate follows the learned rate of the link.
func (b *Budget) SetRate(rate float64) { b.rate = rate }

// Chunk returns the most bytes that a background transfer may carry at once.
func (b *Budget) Chunk() int64 { return int64(b.rate * b.params.ChunkTime.Seconds()) }

// Outstanding returns the bytes granted to a class and not yet done.
func (b *Budget) Outstanding(c Class) int64 { return b.outstanding[c] }

// Acquire returns how many of the wanted bytes may be sent now. A caller gets all; the
// others get a chunk at most, or zero: ask again when a transfer is done. The unit is
// the smallest piece that can be sent, a block; one is granted even if it is larger
// than a chunk.
func (b *Budget) Acquire(c Class, bytes, unit int64, now time.Time) int64 {
	if c == Caller {
		b.outstanding[Caller] += bytes
		return bytes
	}
	granted := min(bytes, max(unit, b.Chunk()/max(1, unit)*unit))
	if !b.allowed(c, now) {
		if c == Prefetch {
			b.prefetchWaited = now
		}
		return 0
	}
	b.outstanding[c] += granted
	return granted
}

// Release records that granted bytes were carried or given up.
func (b *Budget) Release(c Class, bytes int64) {
	b.outstanding[c] = max(0, b.outstanding[c]-bytes)
}

func (b *Budget) allowed(c Class, now time.Time) bool {
	for _, bytes := range b.outstanding {
		if bytes > 0 {
			return false
		}
	}
	return c == Prefetch || now.Sub(b.prefetchWaited) > askedRecently
}
