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

// pinSlack is how much longer than an import its blocks stay pinned.
const pinSlack = 5 * time.Second

// importSpan returns the first block to bring of a copy and the one after the last.
//
// What a plan imports in part, the target computes meanwhile. In a causal model a
// block needs all that come before it, so the target computes the leading blocks and
// the last ones are brought: the target reaches them last. It looks for blocks before
// each piece that it computes, and uses a block only if it has its whole prefix, so
// one that comes too late is computed, and none is ever used under another prefix.
func importSpan(o placement.Option, copied int) (from, to int) {
	if o.Kind != placement.ImportHead || !o.Overlapped {
		return 0, o.ImportBlocks
	}
	to = min(copied, o.PromptBlocks)
	return to - (o.ImportBlocks - o.ReuseBlocks), to
}

// RunImport implements gateway.Contexts. The caller waits no longer than the import is
// worth; whatever has not come by then is prefilled by the target. It does not wait at
// all if the target is to compute the blocks before those that are brought.
func (p *Planner) RunImport(ctx context.Context, c gateway.Context, choice gateway.Choice) {
	if choice.Import.From == 0 {
		p.bringNow(ctx, c, choice)
		return
	}
	p.background.Go(func() { p.bringNow(p.ctx, c, choice) })
}

func (p *Planner) bringNow(ctx context.Context, c gateway.Context, choice gateway.Choice) {
	im := choice.Import
	ctx, cancel := context.WithTimeout(ctx, im.Deadline)
	defer cancel()
	id := p.startTransfer(im.Copy, im.Bytes)
	defer p.done(im.Copy.Store, retention.Caller, im.Bytes)
	imported, err := p.bring(ctx, c, choice)
	// Blocks that the target had count as imported, and did not use the link.
	p.endTransfer(im.Copy.Store, id, min(imported, im.Bytes), err, ctx.Err() != nil)
	if err == nil {
		p.imports.Inc(1)
		return
	}
	p.failedImports.Inc(1)
	p.log.Debug("Import failed", "store", im.Copy.Store, "target", choice.Target.ID, "error", err)
	if errors.Is(err, store.ErrMiss) || errors.Is(err, errTorn) {
		p.mu.Lock()
		p.directory.OnManifestFreed(im.Copy.Manifest)
		p.mu.Unlock()
	}
}

var (
	// errTorn reports blocks whose content did not match the manifest.
	errTorn = errors.New("planner: torn blocks")
	// errNoRoom reports blocks that the target did not take although they are pinned in
	// the store VM: running prompts hold all its memory. The copy is as good as before;
	// were it forgotten, the context would be computed again at each later return.
	errNoRoom = errors.New("planner: target took not all blocks")
)

func (p *Planner) bring(ctx context.Context, c gateway.Context, choice gateway.Choice) (int64, error) {
	im := choice.Import
	ref, err := parseReference(im.Copy.Manifest)
	if err != nil {
		return 0, err
	}
	if ref.scope != c.Scope {
		return 0, errReference
	}
	client := p.stores.client(im.Copy.Store, im.Copy.Address)
	manifest, err := client.GetManifest(ctx, c.Scope, ref.generation, ref.tail)
	if err != nil {
		return 0, err
	}
	n := len(leadingOf(manifest, c.Chain, im.Blocks))
	// A pin keeps the blocks from being freed while the engine reads them. If they are
	// freed all the same, the engine meets a missing or foreign block and stops there.
	if n <= im.From {
		return 0, nil
	}
	if err := client.Pin(ctx, manifest.BlockNames()[im.From:n], im.Deadline+pinSlack); err != nil {
		return 0, err
	}
	return p.importRuns(ctx, c, choice, manifest, n)
}

// importRuns has the target read the first n blocks but those before the import's
// first, one request for each export that wrote some of them. It ends at the first that
// does not bring all of its blocks.
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
			return bytes, errTorn
		}
		if answer.Imported < len(blocks) {
			return bytes, errNoRoom
		}
	}
	return bytes, nil
}

// leadingOf returns the blocks of a manifest that are the chain's, n at most. A
// manifest of another context yields none.
func leadingOf(m store.Manifest, chain []block.Hash, n int) []engineapi.ExportedBlock {
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

// endTransfer teaches the link. Content that is not there or is torn says nothing
// about the link.
func (p *Planner) endTransfer(id request.StoreID, transfer placement.TransferID, carried int64, err error, late bool) {
	outcome := placement.Completed
	switch {
	case err == nil, errors.Is(err, store.ErrMiss), errors.Is(err, errTorn), errors.Is(err, errNoRoom):
	case late:
		outcome = placement.TimedOut
	default:
		outcome = placement.Failed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links.Finish(id, transfer, carried, outcome, time.Now())
}
