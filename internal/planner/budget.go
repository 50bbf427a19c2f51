package planner

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// chunkRetryInterval is how long an export waits before it tries again to reserve link
// capacity.
const chunkRetryInterval = 20 * time.Millisecond

// budget returns the budget of a store VM's link, updated to the link's current rate.
// The caller holds p.mu.
func (p *Planner) budget(id request.StoreID) *retention.Budget {
	rate := p.links.State(id, time.Now()).BytesPerSec
	b, ok := p.budgets[id]
	if !ok {
		b = retention.NewBudget(retention.DefaultParams(), rate)
		p.budgets[id] = b
	}
	b.SetRate(rate)
	return b
}

// reserveBytes reserves link capacity for an export and returns the number of bytes that
// it may transfer now; zero defers the export. Transfers of other daemons are visible only
// in the store VM's queue. If the queue is longer than a chunk, a caller is probably
// waiting for an import, and the export yields to it.
func (p *Planner) reserveBytes(id request.StoreID, bytes, unit int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := p.budget(id)
	if p.links.State(id, now).QueuedBytes > b.Chunk()+unit {
		return 0
	}
	return b.Acquire(retention.Exporting, bytes, unit, now)
}

func (p *Planner) releaseBytes(id request.StoreID, class retention.Class, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(id).Release(class, bytes)
}

// writeChunks makes a target write blocks to a store VM, one chunk at a time. As a single
// transfer, the export of a long context would occupy the link for most of a second and
// delay callers whose contexts are being imported.
func (p *Planner) writeChunks(
	ctx context.Context, row table.Target, id request.StoreID, r engineapi.ExportRequest, unit int64,
) ([]engineapi.ExportedBlock, error) {
	var written []engineapi.ExportedBlock
	remaining := r.Blocks
	for len(remaining) > 0 {
		granted := p.reserveBytes(id, int64(len(remaining))*unit, unit)
		if granted == 0 {
			p.deferredChunks.Inc(1)
			if sleep.For(ctx, chunkRetryInterval) != nil {
				return nil, ctx.Err()
			}
			continue
		}
		n := min(len(remaining), max(1, int(granted/unit)))
		chunk, err := p.writeChunk(ctx, row, id, r, remaining[:n], granted)
		if err != nil {
			return nil, err
		}
		written = append(written, chunk...)
		if len(chunk) < n {
			return written, nil
		}
		remaining = remaining[n:]
	}
	return written, nil
}

func (p *Planner) writeChunk(
	ctx context.Context, row table.Target, id request.StoreID, r engineapi.ExportRequest, blocks []block.Hash, granted int64,
) ([]engineapi.ExportedBlock, error) {
	defer p.releaseBytes(id, retention.Exporting, granted)
	r.Blocks = blocks
	answer, err := p.opts.Targets.Client(row).Export(ctx, r)
	if err != nil {
		return nil, err
	}
	return answer.Written, nil
}
