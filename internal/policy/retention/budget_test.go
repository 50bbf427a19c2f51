package retention

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

const (
	linkRate = 1e9
	unit     = 1 << 20
)

// TestBudget checks that a new transfer of a caller waits for at most one chunk of
// background transfers, and that neither a prefetch nor an export starts while a caller's
// transfer is on the link.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(DefaultParams(), linkRate)
		now := epoch
		open := map[Class][]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			class := Class(rapid.IntRange(0, int(classCount)-1).Draw(t, "class"))
			if len(open[class]) > 0 && rapid.Bool().Draw(t, "done") {
				b.Release(class, open[class][0])
				open[class] = open[class][1:]
				continue
			}
			bytes := rapid.Int64Range(1, 1<<32).Draw(t, "bytes")
			granted := b.Acquire(class, bytes, unit, now)
			if granted > bytes {
				t.Fatalf("granted %d of %d", granted, bytes)
			}
			if class == Caller && granted != bytes {
				t.Fatalf("a caller was granted %d of %d", granted, bytes)
			}
			if class != Caller && granted > 0 && len(open[Caller]) > 0 {
				t.Fatalf("a transfer of class %s was granted during a caller's transfer", class)
			}
			if granted > 0 {
				open[class] = append(open[class], granted)
			}
			background := b.Outstanding(Prefetch) + b.Outstanding(Exporting)
			if background > max(b.Chunk(), unit) {
				t.Fatalf("%d bytes of background transfers are ahead of the next caller", background)
			}
		}
	})
}

// TestCallerWaitsForOneChunk starts 200 exports of 2.5 GB each just before a caller's
// import. On a link without classes, all exports run before the import, and the caller
// waits minutes for its first token. With a Budget it waits for one chunk.
func TestCallerWaitsForOneChunk(t *testing.T) {
	const exports, size = 200, 2_500_000_000
	naiveWait := time.Duration(exports * size / linkRate * float64(time.Second))
	if naiveWait < time.Minute {
		t.Fatalf("the naive link should delay the caller by at least a minute, delayed it by %v", naiveWait)
	}
	b := NewBudget(DefaultParams(), linkRate)
	for range exports {
		b.Acquire(Exporting, size, unit, epoch)
	}
	b.Acquire(Caller, size, unit, epoch)
	wait := time.Duration(float64(b.Outstanding(Exporting)) / linkRate * float64(time.Second))
	if wait > DefaultParams().ChunkTime {
		t.Fatalf("the caller waits %v for exports, more than one chunk", wait)
	}
}
