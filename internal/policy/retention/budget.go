package retention

import "time"

// Class is the priority class of a transfer on a link.
type Class int

const (
	// Caller is the class of transfers that a caller waits for.
	Caller Class = iota
	// Prefetch is the class of imports before an expected return.
	Prefetch
	// Exporting is the class of writes of blocks to a store.
	Exporting
	classCount
)

var classNames = [...]string{"caller", "prefetch", "export"}

// String returns the name used in logs and dumps.
func (c Class) String() string { return classNames[c] }

// prefetchPriority is how long a refused prefetch blocks exports on the link.
const prefetchPriority = 100 * time.Millisecond

// Budget shares one store VM's link between classes. It always grants transfers of
// callers, because placement sizes their imports by the link's queue. It grants the other
// classes one short chunk at a time, and only while the link is idle, so a new transfer of
// a caller waits for at most one chunk. Exports need no guaranteed share under sustained
// load: the time limit on imports leaves idle periods in which exports proceed.
type Budget struct {
	params            Params
	rate              float64 // bytes a second
	outstanding       [classCount]int64
	prefetchRefusedAt time.Time
}

// NewBudget returns the budget of a link of rate bytes a second.
func NewBudget(p Params, rate float64) *Budget { return &Budget{params: p, rate: rate} }

// SetRate sets the learned rate of the link.
func (b *Budget) SetRate(rate float64) { b.rate = rate }

// Chunk returns the maximum bytes of one background transfer, which Acquire rounds to
// units.
func (b *Budget) Chunk() int64 { return int64(b.rate * b.params.ChunkTime.Seconds()) }

// Outstanding returns the bytes granted to a class and not yet released.
func (b *Budget) Outstanding(c Class) int64 { return b.outstanding[c] }

// Acquire returns how many of the requested bytes may be sent now. A caller gets all of
// them. The other classes get at most a chunk, or zero, after which they retry when a
// transfer ends. The unit is the smallest amount that can be sent, one block; Acquire
// grants one unit even if it exceeds a chunk.
func (b *Budget) Acquire(c Class, bytes, unit int64, now time.Time) int64 {
	if c == Caller {
		b.outstanding[Caller] += bytes
		return bytes
	}
	granted := min(bytes, max(unit, b.Chunk()/max(1, unit)*unit))
	if !b.allowed(c, now) {
		if c == Prefetch {
			b.prefetchRefusedAt = now
		}
		return 0
	}
	b.outstanding[c] += granted
	return granted
}

// Release returns granted bytes after their transfer completed or was cancelled.
func (b *Budget) Release(c Class, bytes int64) {
	b.outstanding[c] = max(0, b.outstanding[c]-bytes)
}

func (b *Budget) allowed(c Class, now time.Time) bool {
	for _, bytes := range b.outstanding {
		if bytes > 0 {
			return false
		}
	}
	return c == Prefetch || now.Sub(b.prefetchRefusedAt) > prefetchPriority
}
