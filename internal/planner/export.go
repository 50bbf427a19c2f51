package planner

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// exportTimeout bounds one export.
	exportTimeout = 2 * time.Minute
	// maxExports is how many exports this daemon runs at once. Each writes a chunk only
	// when its link is free, so most of them wait. More are dropped: an export that waits
	// long would write blocks that have been evicted.
	maxExports = 32
	// freeTimeout bounds the freeing of one old export.
	freeTimeout = 10 * time.Second
)

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
	earlier := p.earlier(ctx, c, order, address)
	generation := p.nextGeneration(c.Chain)
	written, err := p.write(ctx, *row, order.Store, engineapi.ExportRequest{
		StoreAddress: address,
		Prefix:       store.Prefix(c.Scope, generation),
		Blocks:       c.Chain[len(earlier.Blocks):order.To],
	}, max(1, p.bytesOf(c.Scope.Model, 1)))
	if err != nil || len(written) == 0 {
		return err
	}
	return p.commit(ctx, c, order.Store, address, earlier.Extend(generation, written))
}

// earlier returns the manifest that an export extends, or an empty one if there is none
// or it no longer fits. Only its own blocks need then not be written again.
func (p *Planner) earlier(ctx context.Context, c gateway.Context, order retention.ExportOrder, address string) store.Manifest {
	none := store.Manifest{Org: c.Scope.Org, Model: c.Scope.Model, Version: c.Scope.Version}
	ref, err := parseReference(order.Extends)
	if err != nil || ref.scope != c.Scope {
		return none
	}
	m, err := p.stores.client(order.Store, address).GetManifest(ctx, c.Scope, ref.generation, ref.tail)
	if err != nil || len(leadingOf(m, c.Chain, order.To)) != len(m.Blocks) {
		return none
	}
	return m
}

// commit writes the manifest, after all blocks, and only then tells the directory.
// Before the manifest exists no reader can find the blocks, so an export that stops
// half way leaves garbage but never half a context.
func (p *Planner) commit(ctx context.Context, c gateway.Context, id request.StoreID, address string, m store.Manifest) error {
	if err := m.Check(c.Scope, c.Chain); err != nil {
		return err
	}
	if err := p.stores.client(id, address).PutManifest(ctx, m); err != nil {
		return err
	}
	p.exports.Inc(1)
	p.mu.Lock()
	actions := p.directory.OnManifestCommitted(c.Scope, c.Chain, contextdir.Copy{
		Manifest: m.Name(),
		Store:    id,
		Tier:     storeapi.TierMemory,
		Blocks:   len(m.Blocks),
		Bytes:    m.Bytes(),
	})
	p.mu.Unlock()
	p.free(actions, m)
	return nil
}

// free deletes exports that no context uses any more, but no block that is in kept.
func (p *Planner) free(actions []contextdir.Action, kept ...store.Manifest) {
	for _, a := range actions {
		if a.Kind != contextdir.FreeManifest {
			continue
		}
		address, ok := storeAddress(p.opts.Tables.Current(), a.Copy.Store)
		if !ok {
			continue
		}
		if err := p.freeOne(a.Copy, address, kept); err != nil {
			p.log.Debug("Old export was not freed", "store", a.Copy.Store, "error", err)
		}
	}
}

func (p *Planner) freeOne(c contextdir.Copy, address string, kept []store.Manifest) error {
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
	return p.deleteExport(ctx, client, m, kept...)
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
	return retention.Export(retention.DefaultParams(), retention.AnsweredContext{
		Blocks: len(c.Chain),
		Copies: l.Copies,
	}, rooms, block.TokensPerBlock*model.BytesPerToken)
}

// rooms asks the store VMs what they have left.
func (p *Planner) rooms(ctx context.Context, sheet *table.Snapshot) []retention.StoreUsage {
	var out []retention.StoreUsage
	for _, s := range sheet.Stores() {
		status, err := p.stores.status(ctx, s)
		room := roomOf(s.ID, status)
		room.Down = err != nil
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
