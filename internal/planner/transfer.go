package planner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// pinSlack is how much longer than an import its blocks stay pinned.
	pinSlack = 5 * time.Second
	// exportTimeout bounds one export.
	exportTimeout = 2 * time.Minute
	// maxExports is how many exports this daemon runs at once. More are dropped: an
	// export that waits long would write blocks that have been evicted.
	maxExports = 4
	// freeTimeout bounds the freeing of one old export.
	freeTimeout = 10 * time.Second
	// growthToExport is the part by which a context must have grown beyond its copy
	// before it is exported again.
	growthToExport = 4
)

// Bring implements gateway.Contexts. The caller waits no longer than the import is
// worth; whatever has not come by then is prefilled by the target.
func (p *Planner) Bring(ctx context.Context, c gateway.Context, choice gateway.Choice) {
	im := choice.Import
	ctx, cancel := context.WithTimeout(ctx, im.Deadline)
	defer cancel()
	bytes := p.bytesOf(c.Scope.Model, im.Blocks)
	id := p.startTransfer(im.Copy, bytes)
	imported, err := p.bring(ctx, c, choice)
	p.endTransfer(im.Copy.Store, id, imported, err, ctx.Err() != nil)
	if err == nil {
		p.imports.Inc(1)
		return
	}
	p.failedImports.Inc(1)
	p.log.Debug("Import failed", "store", im.Copy.Store, "target", choice.Target.ID, "error", err)
	if errors.Is(err, store.ErrMiss) || errors.Is(err, errTorn) {
		p.mu.Lock()
		p.directory.Freed(im.Copy.Manifest)
		p.mu.Unlock()
	}
}

// errTorn reports blocks whose content did not match the manifest.
var errTorn = errors.New("planner: torn blocks")

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
	blocks := leadingOf(manifest, c.Chain, im.Blocks)
	// A pin keeps the blocks from being freed while the engine reads them. If they are
	// freed all the same, the engine meets a missing or foreign block and stops there.
	if err := client.Pin(ctx, manifest.BlockNames()[:len(blocks)], im.Deadline+pinSlack); err != nil {
		return 0, err
	}
	answer, err := p.opts.Targets.Client(choice.Target).Import(ctx, engineapi.ImportRequest{
		StoreAddress: im.Copy.Address,
		Prefix:       store.Prefix(c.Scope, ref.generation),
		CacheSalt:    c.Scope.Salt(),
		Version:      c.Scope.Version,
		Blocks:       blocks,
	})
	if err != nil {
		return 0, err
	}
	if answer.Torn > 0 {
		return answer.Bytes, errTorn
	}
	return answer.Bytes, nil
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
	return p.links.Start(c.Store, c.Tier, bytes, time.Now())
}

// endTransfer teaches the link. Content that is not there or is torn says nothing
// about the link.
func (p *Planner) endTransfer(id request.StoreID, transfer placement.TransferID, carried int64, err error, late bool) {
	outcome := placement.Carried
	switch {
	case err == nil, errors.Is(err, store.ErrMiss), errors.Is(err, errTorn):
	case late:
		outcome = placement.GivenUp
	default:
		outcome = placement.Failed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links.Finish(id, transfer, carried, outcome, time.Now())
}

// keep frees what was forgotten and exports a context after its answer if that is
// worth it. It returns at once.
func (p *Planner) keep(c gateway.Context, on request.TargetID, forgotten []contextdir.Action) {
	select {
	case p.exporting <- struct{}{}:
	default:
		p.droppedExports.Inc(1)
		return
	}
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		defer func() { <-p.exporting }()
		ctx, cancel := context.WithTimeout(p.ctx, exportTimeout)
		defer cancel()
		p.free(forgotten)
		if err := p.export(ctx, c, on); err != nil {
			p.failedExports.Inc(1)
			p.log.Debug("Export failed", "target", on, "error", err)
		}
	}()
}

func (p *Planner) export(ctx context.Context, c gateway.Context, on request.TargetID) error {
	sheet := p.opts.Tables.Current()
	row, ok := sheet.Target(on)
	if !ok || len(c.Chain) == 0 {
		return nil
	}
	order, wanted := p.exportOrder(ctx, sheet, c)
	if !wanted {
		return nil
	}
	address, ok := storeAddress(sheet, order.Store)
	if !ok {
		return nil
	}
	generation := p.nextGeneration(c.Chain)
	answer, err := p.opts.Targets.Client(*row).Export(ctx, engineapi.ExportRequest{
		StoreAddress: address,
		Prefix:       store.Prefix(c.Scope, generation),
		Blocks:       c.Chain[:order.To],
	})
	if err != nil {
		return err
	}
	if len(answer.Written) == 0 {
		return nil
	}
	return p.commit(ctx, c, generation, order.Store, address, answer.Written)
}

// commit writes the manifest, after all blocks, and only then tells the directory.
// Before the manifest exists no reader can find the blocks, so an export that stops
// half way leaves garbage but never half a context.
func (p *Planner) commit(
	ctx context.Context, c gateway.Context, g store.Generation, id request.StoreID, address string, written []engineapi.ExportedBlock,
) error {
	m := store.Manifest{Org: c.Scope.Org, Model: c.Scope.Model, Version: c.Scope.Version, Generation: g, Blocks: written}
	if err := p.stores.client(id, address).PutManifest(ctx, m); err != nil {
		return err
	}
	p.exports.Inc(1)
	p.mu.Lock()
	actions := p.directory.Stored(c.Scope, c.Chain, contextdir.Copy{
		Manifest: reference{scope: c.Scope, generation: g, tail: m.Tail()}.String(),
		Store:    id,
		Tier:     storeapi.TierMemory,
		Blocks:   len(written),
		Bytes:    m.Bytes(),
	})
	p.mu.Unlock()
	p.free(actions)
	return nil
}

// free deletes exports that no context uses any more.
func (p *Planner) free(actions []contextdir.Action) {
	for _, a := range actions {
		if a.Kind != contextdir.FreeManifest {
			continue
		}
		address, ok := storeAddress(p.opts.Tables.Current(), a.Copy.Store)
		if !ok {
			continue
		}
		if err := p.freeOne(a.Copy, address); err != nil {
			p.log.Debug("Old export was not freed", "store", a.Copy.Store, "error", err)
		}
	}
}

func (p *Planner) freeOne(c contextdir.Copy, address string) error {
	ctx, cancel := context.WithTimeout(p.ctx, freeTimeout)
	defer cancel()
	ref, err := parseReference(c.Manifest)
	if err != nil {
		return err
	}
	client := p.stores.client(c.Store, address)
	m, err := client.GetManifest(ctx, ref.scope, ref.generation, ref.tail)
	if err != nil {
		return err
	}
	return client.DeleteExport(ctx, m)
}

func (p *Planner) exportOrder(ctx context.Context, sheet *table.Snapshot, c gateway.Context) (retention.ExportOrder, bool) {
	rooms := p.rooms(ctx, sheet)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.directory.Lookup(c.Scope, c.Chain)
	model, ok := sheet.Model(c.Scope.Model)
	if !ok {
		return retention.ExportOrder{}, false
	}
	order, wanted := retention.Export(retention.DefaultParams(), retention.Answered{
		Blocks: len(c.Chain),
		Gaps:   l.Gaps,
		Copies: l.Copies,
	}, rooms, block.TokensPerBlock*model.BytesPerToken)
	if order.From > 0 && order.To-order.From < order.From/growthToExport {
		return retention.ExportOrder{}, false
	}
	return order, wanted
}

// rooms asks the store VMs what they have left.
func (p *Planner) rooms(ctx context.Context, sheet *table.Snapshot) []retention.Room {
	var out []retention.Room
	for _, s := range sheet.Stores() {
		status, err := p.stores.status(ctx, s)
		room := retention.Room{Store: s.ID, Down: err != nil}
		if err == nil {
			room.MemoryUsed, room.MemoryTotal = status.MemoryUsed, status.MemoryTotal
			room.DiskUsed, room.DiskTotal = status.DiskUsed, status.DiskTotal
			room.LinkQueue = queueTime(status)
		}
		out = append(out, room)
	}
	return out
}

func queueTime(s storeapi.Status) time.Duration {
	if s.LinkBytesPerSec <= 0 {
		return 0
	}
	return time.Duration(float64(s.LinkQueueBytes) / float64(s.LinkBytesPerSec) * float64(time.Second))
}

func storeAddress(sheet *table.Snapshot, id request.StoreID) (string, bool) {
	for _, s := range sheet.Stores() {
		if s.ID == id {
			return s.Address, true
		}
	}
	return "", false
}
