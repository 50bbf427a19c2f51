package retention

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	linkRate = 1e9
	unit     = 1 << 20
)

// A caller that comes must find at most one chunk of background work before it, a
// prefetch never starts while a caller is on the link, and exports get no more than
// their floor while callers are.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultParams()
		b := NewBudget(p, linkRate)
		now := epoch
		var busySince time.Time
		var exported int64
		open := map[Class][]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			class := Class(rapid.IntRange(0, int(classes)-1).Draw(t, "class"))
			if len(open[class]) > 0 && rapid.Bool().Draw(t, "done") {
				b.Done(class, open[class][0], now)
				open[class] = open[class][1:]
				if len(open[Caller]) == 0 {
					busySince, exported = time.Time{}, 0
				}
				continue
			}
			bytes := rapid.Int64Range(1, 1<<32).Draw(t, "bytes")
			granted := b.Ask(class, bytes, unit, now)
			if granted > bytes {
				t.Fatalf("granted %d of %d", granted, bytes)
			}
			if granted > 0 {
				open[class] = append(open[class], granted)
			}
			switch class {
			case Caller:
				if granted != bytes {
					t.Fatalf("a caller was granted %d of %d", granted, bytes)
				}
				if busySince.IsZero() {
					busySince = now
				}
			case Prefetch:
				if granted > 0 && len(open[Caller]) > 0 {
					t.Fatal("a prefetch was let in before a caller")
				}
			case Exporting:
				if busySince.IsZero() {
					break
				}
				exported += granted
				busy := now.Sub(busySince)
				floor := p.ExportFloor * linkRate * (busy + p.StarvedCredit).Seconds()
				if float64(exported) > floor+float64(b.Chunk()) {
					t.Fatalf("exports carried %d bytes in %v while callers waited", exported, busy)
				}
			}
			background := b.Outstanding(Prefetch) + b.Outstanding(Exporting)
			if background > max(b.Chunk(), unit) {
				t.Fatalf("%d bytes of background work lie before the next caller", background)
			}
		}
	})
}

// Callers load a link without a pause for an hour. The naive budget, "exports only
// while the link is idle", never lets one through: no new context reaches a store, and
// every later return has to be prefilled. Ours gives exports a small floor.
func TestExportsAreNotStarvedForEver(t *testing.T) {
	naive := DefaultParams()
	naive.ExportFloor = 0
	if carried := carriedUnderLoad(naive); carried != 0 {
		t.Fatalf("the naive budget was expected to starve exports, carried %d", carried)
	}
	p := DefaultParams()
	share := float64(carriedUnderLoad(p)) / (linkRate * time.Hour.Seconds())
	if share < 0.8*p.ExportFloor || share > 1.05*p.ExportFloor {
		t.Fatalf("exports got %.4f of the link, floor %.2f", share, p.ExportFloor)
	}
}

func carriedUnderLoad(p Params) int64 {
	b := NewBudget(p, linkRate)
	b.Ask(Caller, 1<<40, unit, epoch)
	var carried int64
	for ms := 0; ms < int(time.Hour/time.Millisecond); ms += 50 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		granted := b.Ask(Exporting, 1<<40, unit, now)
		b.Done(Exporting, granted, now)
		carried += granted
	}
	return carried
}
