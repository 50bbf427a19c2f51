package planner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
)

// pinSlack is how long the blocks of an import stay pinned after its deadline.
const pinSlack = 5 * time.Second

// importRange returns the first block of a copy to import and the one after the last.
//
// In an overlapped plan the target computes some blocks while others are imported. A block
// of a causal model depends on all blocks before it, so the target computes the leading
// blocks, and the last ones, which it reaches last, are imported. Before each piece of
// prefill the target looks up cached blocks, and it uses a block only if the complete
// prefix of the block is present. A block that arrives too late is therefore computed, and
// no block is used under another prefix.
func importRange(o placement.Option, copyBlocks int) (from, to int) {
	if o.Kind != placement.ImportHead || !o.Overlapped {
		return 0, o.ImportBlocks
	}
	to = min(copyBlocks, o.PromptBlocks)
	return to - (o.ImportBlocks - o.ReuseBlocks), to
}

// RunImport implements gateway.Contexts. It waits for the import until choice.Import.Timeout,
// beyond which waiting costs more than prefilling; the target prefills the blocks that have
// not arrived by then. If the target is to compute the blocks before the imported ones,
// RunImport returns immediately.
func (p *Planner) RunImport(ctx context.Context, c gateway.Context, choice gateway.Choice) {
	if choice.Import.From == 0 {
		p.runImport(ctx, c, choice)
		return
	}
	p.background.Go(func() { p.runImport(p.ctx, c, choice) })
}

func (p *Planner) runImport(ctx context.Context, c gateway.Context, choice gateway.Choice) {
	im := choice.Import
	ctx, cancel := context.WithTimeout(ctx, im.Timeout)
	defer cancel()
	id := p.startTransfer(im.Copy, im.Bytes)
	defer p.releaseBytes(im.Copy.Store, retention.Caller, im.Bytes)
	imported, err := p.importCopy(ctx, c, choice)
	// Blocks that the target already had count as imported but did not use the link.
	p.endTransfer(im.Copy.Store, id, min(imported, im.Bytes), err, ctx.Err() != nil)
	if err == nil {
		p.imports.Inc(1)
		return
	}
	p.failedImports.Inc(1)
	p.log.Debug("Import failed", "store", im.Copy.Store, "target", choice.Target.ID, "error", err)
	if errors.Is(err, store.ErrMiss) || errors.Is(err, errCorrupt) {
		p.mu.Lock()
		p.directory.OnManifestFreed(im.Copy.Manifest)
		p.mu.Unlock()
	}
}

var (
	// errCorrupt reports blocks whose content does not match the manifest.
	errCorrupt = errors.New("planner: content of blocks does not match the manifest")
	// errTargetFull reports blocks that are pinned in the store VM but were not imported,
	// because running prompts occupy the target's memory. The copy remains valid. If the
	// directory dropped it, the context would be recomputed on each later return.
	errTargetFull = errors.New("planner: target did not import all blocks")
)

func (p *Planner) importCopy(ctx context.Context, c gateway.Context, choice gateway.Choice) (int64, error) {
	im := choice.Import
	ref, err := parseReference(im.Copy.Manifest)
	if err != nil {
		return 0, err
	}
	if ref.scope != c.Scope {
		return 0, errNotManifestName
	}
	client := p.stores.client(im.Copy.Store, im.Copy.Address)
	manifest, err := client.GetManifest(ctx, c.Scope, ref.generation, ref.tail)
	if err != nil {
		return 0, err
	}
	n := len(matchingBlocks(manifest, c.Chain, im.To))
	// Pinned blocks are not deleted while the engine reads them. If they are deleted
	// nevertheless, the engine stops at the first missing or foreign block.
	if n <= im.From {
		return 0, nil
	}
	if err := client.Pin(ctx, manifest.BlockNames()[im.From:n], im.Timeout+pinSlack); err != nil {
		return 0, err
	}
	return p.importRuns(ctx, c, choice, manifest, n)
}

// importRuns makes the target read the blocks from choice.Import.From up to n, with one
// request for each export that wrote some of them. It returns the number of imported bytes
// and stops at the first request that does not import all of its blocks.
func (p *Planner) importRuns(ctx context.Context, c gateway.Context, choice gateway.Choice, m store.Manifest, n int) (int64, error) {
	var bytes int64
	skip := choice.Import.From
	for _, r := range m.Runs() {
		blocks := r.Blocks[:min(n, len(r.Blocks))]
		n -= len(blocks)
		skipped := min(skip, len(blocks))
		skip -= skipped
		blocks = blocks[skipped:]
		if len(blocks) == 0 {
			continue
		}
		answer, err := p.opts.Targets.Client(choice.Target).Import(ctx, engineapi.ImportRequest{
			StoreAddress: choice.Import.Copy.Address,
			Prefix:       store.Prefix(c.Scope, r.Generation),
			CacheSalt:    c.Scope.Salt(),
			Version:      c.Scope.Version,
			Blocks:       blocks,
		})
		bytes += answer.Bytes
		if err != nil {
			return bytes, err
		}
		if answer.Corrupt > 0 {
			return bytes, errCorrupt
		}
		if answer.Imported < len(blocks) {
			return bytes, errTargetFull
		}
	}
	return bytes, nil
}

// matchingBlocks returns the leading blocks of a manifest, n at most, whose hashes are
// those of the chain. For a manifest of another context it returns none.
func matchingBlocks(m store.Manifest, chain []block.Hash, n int) []engineapi.ExportedBlock {
	n = min(n, len(m.Blocks), len(chain))
	for i := range n {
		if m.Blocks[i].Hash != chain[i] {
			return m.Blocks[:i]
		}
	}
	return m.Blocks[:n]
}

func (p *Planner) bytesOf(model request.Model, blocks int) int64 {
	row, ok := p.opts.Tables.Current().Model(model)
	if !ok {
		return 0
	}
	return int64(blocks) * block.TokensPerBlock * row.BytesPerToken
}

func (p *Planner) startTransfer(c gateway.Copy, bytes int64) placement.TransferID {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.budget(c.Store).Acquire(retention.Caller, bytes, bytes, now)
	return p.links.Start(c.Store, c.Tier, bytes, now)
}

// endTransfer updates the estimate of the link. Missing or corrupt content and a full
// target do not count as failures of the link.
func (p *Planner) endTransfer(id request.StoreID, transfer placement.TransferID, transferred int64, err error, timedOut bool) {
	outcome := placement.Completed
	switch {
	case err == nil, errors.Is(err, store.ErrMiss), errors.Is(err, errCorrupt), errors.Is(err, errTargetFull):
	case timedOut:
		outcome = placement.TimedOut
	default:
		outcome = placement.Failed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links.Finish(id, transfer, transferred, outcome, time.Now())
}
