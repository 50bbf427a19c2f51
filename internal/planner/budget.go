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

// chunkPause is how long an export that may not use the link now waits before it asks
// again.
const chunkPause = 20 * time.Millisecond

// budget returns the budget of a store VM's link, at its present rate. The caller
// holds p.mu.
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

// allow asks for leave to carry some of an export's bytes now. Transfers of other
// daemons show only in the store VM's queue; while it is longer than a chunk, a caller
// somewhere is likely to be waiting for it.
func (p *Planner) allow(id request.StoreID, bytes, unit int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := p.budget(id)
	if p.links.State(id, now).QueuedBytes > b.Chunk()+unit {
		return 0
	}
	return b.Acquire(retention.Exporting, bytes, unit, now)
}

func (p *Planner) done(id request.StoreID, class retention.Class, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(id).Release(class, bytes)
}

// write has a target write blocks to a store VM, a chunk at a time. Written in one go,
// an export of a long context holds the link for most of a second, and a caller whose
// context is being brought back waits behind it.
func (p *Planner) write(
	ctx context.Context, row table.Target, id request.StoreID, r engineapi.ExportRequest, unit int64,
) ([]engineapi.ExportedBlock, error) {
	var written []engineapi.ExportedBlock
	left := r.Blocks
	for len(left) > 0 {
		granted := p.allow(id, int64(len(left))*unit, unit)
		if granted == 0 {
			p.deferredChunks.Inc(1)
			if sleep.For(ctx, chunkPause) != nil {
				return nil, ctx.Err()
			}
			continue
		}
		n := min(len(left), max(1, int(granted/unit)))
		done, err := p.writeChunk(ctx, row, id, r, left[:n], granted)
		if err != nil {
			return nil, err
		}
		written = append(written, done...)
		if len(done) < n {
			return written, nil
		}
		left = left[n:]
	}
	return written, nil
}

func (p *Planner) writeChunk(
	ctx context.Context, row table.Target, id request.StoreID, r engineapi.ExportRequest, blocks []block.Hash, granted int64,
) ([]engineapi.ExportedBlock, error) {
	defer p.done(id, retention.Exporting, granted)
	r.Blocks = blocks
	answer, err := p.opts.Targets.Client(row).Export(ctx, r)
	if err != nil {
		return nil, err
	}
	return answer.Written, nil
}
