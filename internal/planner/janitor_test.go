package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

func (w *world) storeRow() *table.Store { return w.tables.Current().Stores()[0] }

// manifestOf reads the manifest of the longest export that a planner knows.
func (w *world) manifestOf(p *Planner, c gateway.Context) store.Manifest {
	w.t.Helper()
	m, ok := p.readManifest(w.ctx, w.client, p.locate(c).Copies[0].Manifest)
	if !ok {
		w.t.Fatal("the manifest can not be read")
	}
	return m
}

func (w *world) used() int64 {
	w.t.Helper()
	status, err := w.client.Status(w.ctx)
	w.check(err)
	return status.MemoryUsed
}

// exportsLeft returns how many manifests are listed.
func (w *world) exportsLeft() int {
	w.t.Helper()
	listed, err := w.client.List(w.ctx, "", store.ManifestMark, 1000)
	w.check(err)
	return len(listed)
}

// A store VM is nearly full. What has been unused longest goes, whoever exported it,
// and the rest can still be brought back.
func TestJanitorFreesTheLongestUnusedFirst(t *testing.T) {
	const blocks, exports = 10, 4
	w := newWorld(t, standin.Options{MemoryBytes: blocks*exports*blockLength*103/100 + 8<<10})
	former := w.planner()
	var all []gateway.Context
	for i := range exports {
		all = append(all, w.exported(former, text(fmt.Sprintf("context %d", i), blocks)))
		w.await("the next use to be later", func() bool {
			listed, err := w.client.List(w.ctx, "", store.ManifestMark, exports)
			return err == nil && listed[len(listed)-1].IdleMillis > 1
		})
	}
	// The first has been read since, so that the second is unused longest.
	first := w.manifestOf(former, all[0])
	_, err := w.client.GetManifest(w.ctx, first.Scope(), first.Generation, first.Tail())
	w.check(err)

	p := w.planner()
	p.care(w.ctx, w.storeRow())
	if left := w.exportsLeft(); left != exports-1 {
		t.Fatalf("%d exports are left", left)
	}
	for i, c := range all {
		want := blocks
		if i == 1 {
			want = 0
		}
		if n := w.brought(p, c); n != want {
			t.Errorf("context %d: %d blocks were brought, want %d", i, n, want)
		}
	}
}

// Two exports of one context share blocks, because the process that wrote the longer
// one died before it freed the earlier one. The earlier one is unused longest and goes
// when room is made. With all its blocks freed, the longer one is there and brings
// nothing back.
func TestFreedExportLeavesBlocksThatAnotherShares(t *testing.T) {
	for _, naive := range []bool{true, false} {
		t.Run(fmt.Sprintf("naive=%t", naive), func(t *testing.T) {
			w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
			earlier, longer := w.crashBeforeFreeing()
			next := w.planner()
			if naive {
				w.check(w.client.DeleteExport(w.ctx, earlier))
			} else {
				w.check(next.deleteExport(w.ctx, w.client, earlier))
			}
			n := w.brought(next, longer)
			if naive && n != 0 {
				t.Fatalf("the naive freeing was expected to break the longer export; %d blocks came", n)
			}
			if !naive && n != 16 {
				t.Fatalf("%d blocks of 16 were brought", n)
			}
		})
	}
}

// A store VM fills up for good. Exports were freed while callers read them: their
// blocks were pinned and stayed, and without a manifest nothing lists them any more.
func TestPinnedBlocksAreFreedLater(t *testing.T) {
	w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
	p := w.planner()
	for i := 0; ; i++ {
		m := w.manifestOf(p, w.exported(p, text(fmt.Sprintf("context %d", i), 10)))
		w.check(w.client.Pin(w.ctx, m.BlockNames()[4:], 200*time.Millisecond))
		err := p.deleteExport(w.ctx, w.client, m)
		if errors.Is(err, store.ErrPinned) {
			break
		}
		w.check(err) // the machine paused for longer than the pin
	}
	if w.exportsLeft() != 0 {
		t.Fatal("a manifest stayed")
	}
	w.await("the blocks to be freed", func() bool {
		p.care(w.ctx, w.storeRow())
		return w.used() == 0
	})
}
