package planner

import (
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// A caller's context is on its way from a store VM when another context is exported
// there. Written in one go, the export's blocks take turns with the caller's on the
// link, and the caller waits for both. In chunks under the budget none is written
// while the import runs. The test counts bytes, not time.
func TestExportStandsBackWhileAnImportRuns(t *testing.T) {
	const blocks = 40
	for _, naive := range []bool{true, false} {
		w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
		p := w.planner()
		c := contextOf(testScope, text("context", blocks))
		w.compute(c, text("context", blocks))
		request := engineapi.ExportRequest{
			StoreAddress: w.store.Address(),
			Prefix:       store.Prefix(c.Scope, p.nextGeneration(c.Chain)),
			Blocks:       c.Chain,
		}
		copied := gateway.Copy{Store: "store-1", Tier: storeapi.TierMemory}
		importing := p.startTransfer(copied, blocks*blockLength)
		if naive {
			_, err := p.writeChunk(w.ctx, w.row(1), "store-1", request, request.Blocks, 0)
			w.check(err)
			if w.used() != blocks*blockLength {
				t.Fatal("the naive export was expected to use the link beside the import")
			}
			continue
		}
		done := make(chan error, 1)
		go func() {
			_, err := p.write(w.ctx, w.row(1), "store-1", request, blockLength)
			done <- err
		}()
		w.await("the export to ask for leave in vain", func() bool {
			deferred := w.metrics.Snapshot().Counters()["export_chunks_deferred+"]
			return deferred != nil && deferred.Value() > 1
		})
		if used := w.used(); used != 0 {
			t.Fatalf("%d bytes were written beside the import", used)
		}
		p.endTransfer("store-1", importing, blocks*blockLength, nil, false)
		p.done("store-1", retention.Caller, blocks*blockLength)
		w.check(<-done)
		if w.used() != blocks*blockLength {
			t.Fatalf("%d bytes were written after the import", w.used())
		}
	}
}
