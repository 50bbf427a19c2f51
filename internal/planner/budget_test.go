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

// Tests an export to a store VM during an import from it. If the export is a single
// transfer, its blocks alternate with those of the import on the link, and the caller waits
// for both. An export that writes chunks under the budget writes none while the import
// runs. The test counts bytes, not time.
func TestExportYieldsToRunningImport(t *testing.T) {
	const blocks = 40
	for _, naive := range []bool{true, false} {
		env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
		p := env.planner()
		c := contextOf(testOrg, text("context", blocks))
		env.compute(c, text("context", blocks))
		request := engineapi.ExportRequest{
			StoreAddress: env.store.Address(),
			Prefix:       store.Prefix(c.Scope, p.nextGeneration(c.Chain)),
			Blocks:       c.Chain,
		}
		copied := gateway.Copy{Store: "store-1", Tier: storeapi.TierMemory}
		importing := p.startTransfer(copied, blocks*blockLength)
		if naive {
			_, err := p.writeChunk(env.ctx, env.row(1), "store-1", request, request.Blocks, 0)
			env.check(err)
			if env.storeMemoryUsed() != blocks*blockLength {
				t.Fatal("the export without a budget did not use the link during the import")
			}
			continue
		}
		done := make(chan error, 1)
		go func() {
			_, err := p.writeChunks(env.ctx, env.row(1), "store-1", request, blockLength)
			done <- err
		}()
		env.await("the export to be deferred", func() bool {
			deferred := env.metrics.Snapshot().Counters()["export_chunks_deferred+"]
			return deferred != nil && deferred.Value() > 1
		})
		if used := env.storeMemoryUsed(); used != 0 {
			t.Fatalf("%d bytes were written during the import", used)
		}
		p.endTransfer("store-1", importing, blocks*blockLength, nil, false)
		p.releaseBytes("store-1", retention.Caller, blocks*blockLength)
		env.check(<-done)
		if env.storeMemoryUsed() != blocks*blockLength {
			t.Fatalf("%d bytes were written after the import", env.storeMemoryUsed())
		}
	}
}
