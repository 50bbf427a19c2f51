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

func (env *testEnv) storeRow() *table.Store { return env.tables.Current().Stores()[0] }

// manifestOf reads the manifest of the longest export that a planner knows.
func (env *testEnv) manifestOf(p *Planner, c gateway.Context) store.Manifest {
	env.t.Helper()
	m, ok := p.readManifest(env.ctx, env.client, p.locate(c).Copies[0].Manifest)
	if !ok {
		env.t.Fatal("the manifest could not be read")
	}
	return m
}

func (env *testEnv) storeMemoryUsed() int64 {
	env.t.Helper()
	status, err := env.client.Status(env.ctx)
	env.check(err)
	return status.MemoryUsed
}

// exportCount returns the number of listed manifests.
func (env *testEnv) exportCount() int {
	env.t.Helper()
	listed, err := env.client.List(env.ctx, "", store.ManifestMark, 1000)
	env.check(err)
	return len(listed)
}

// In a nearly full store VM the janitor frees the least recently used export, regardless of
// the daemon that wrote it, and all other exports can still be imported.
func TestJanitorFreesLeastRecentlyUsedFirst(t *testing.T) {
	const blocks, exports = 10, 4
	env := newTestEnv(t, standin.Options{MemoryBytes: blocks*exports*blockLength*103/100 + 8<<10})
	previous := env.planner()
	var all []gateway.Context
	for i := range exports {
		all = append(all, env.export(previous, text(fmt.Sprintf("context %d", i), blocks)))
		env.await("the next use to be later", func() bool {
			listed, err := env.client.List(env.ctx, "", store.ManifestMark, exports)
			return err == nil && listed[len(listed)-1].IdleMillis > 1
		})
	}
	// The first export is read again, so that the second is the least recently used.
	first := env.manifestOf(previous, all[0])
	_, err := env.client.GetManifest(env.ctx, first.Scope(), first.Generation, first.Tail())
	env.check(err)

	p := env.planner()
	p.maintainStore(env.ctx, env.storeRow())
	if left := env.exportCount(); left != exports-1 {
		t.Fatalf("%d exports are left", left)
	}
	for i, c := range all {
		want := blocks
		if i == 1 {
			want = 0
		}
		if n := env.importedBlocks(p, c); n != want {
			t.Errorf("context %d: %d blocks were imported, want %d", i, n, want)
		}
	}
}

// Two exports of one context share blocks, because the process that wrote the longer one
// crashed before it freed the earlier one. The earlier one is the least recently used and
// is evicted first. If all its blocks were deleted, no block of the longer one could be
// imported.
func TestDeleteExportRetainsSharedBlocks(t *testing.T) {
	for _, naive := range []bool{true, false} {
		t.Run(fmt.Sprintf("naive=%t", naive), func(t *testing.T) {
			env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
			earlier, longer := env.crashBeforeFreeing()
			next := env.planner()
			if naive {
				env.check(env.client.DeleteExport(env.ctx, earlier))
			} else {
				env.check(next.deleteExport(env.ctx, env.client, earlier))
			}
			n := env.importedBlocks(next, longer)
			if naive && n != 0 {
				t.Fatalf("deleting all blocks did not break the longer export; %d blocks were imported", n)
			}
			if !naive && n != 16 {
				t.Fatalf("%d blocks of 16 were imported", n)
			}
		})
	}
}

// Exports are deleted while callers read them. Their blocks are pinned and remain, and
// without a manifest they are no longer listed. Unless the deletion is retried, the store
// VM fills up permanently.
func TestPinnedBlocksAreFreedAfterPinExpires(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	p := env.planner()
	for i := 0; ; i++ {
		m := env.manifestOf(p, env.export(p, text(fmt.Sprintf("context %d", i), 10)))
		env.check(env.client.Pin(env.ctx, m.BlockNames()[4:], 200*time.Millisecond))
		err := p.deleteExport(env.ctx, env.client, m)
		if errors.Is(err, store.ErrPinned) {
			break
		}
		env.check(err) // the test stalled until the pin expired
	}
	if env.exportCount() != 0 {
		t.Fatal("a manifest was not deleted")
	}
	env.await("the blocks to be freed", func() bool {
		p.maintainStore(env.ctx, env.storeRow())
		return env.storeMemoryUsed() == 0
	})
}
