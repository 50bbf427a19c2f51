package planner

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

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
	// maxExports is the number of exports that this daemon runs at once. Most of them wait,
	// because each writes a chunk only when its link is free. Further exports are dropped:
	// after a long wait, the target would have evicted the blocks.
	maxExports = 32
	// maxSpaceAttempts bounds the attempts to find a store VM that reports its status, one each statusMaxAge. Blocks stay in a target's
	// memory for some seconds at least.
	maxSpaceAttempts = 5
	// freeTimeout bounds the deletion of one superseded export.
	freeTimeout = 10 * time.Second
)

var errSilentStores = errors.New("planner: no store VM reports its status")

// exportInBackground frees the exports that the directory dropped and, if the retention
// policy asks for it, exports a context after its answer. It returns immediately.
func (p *Planner) exportInBackground(c gateway.Context, on request.TargetID, actions []contextdir.Action) {
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
		p.freeExports(actions)
		if err := p.export(ctx, c, on); err != nil {
			p.failedExports.Inc(1)
			p.log.Debug("Export failed", "target", on, "error", err)
		}
	}()
}

func (p *Planner) export(ctx context.Context, c gateway.Context, on request.TargetID) error {
	snapshot := p.opts.Tables.Current()
	row, ok := snapshot.Target(on)
	if !ok || retention.DefaultParams().IsShort(len(c.Chain)) {
		return nil
	}
	spaces, err := p.awaitStoreSpace(ctx, snapshot)
	if err != nil {
		return err
	}
	order, worthwhile := p.exportOrder(snapshot, c, spaces)
	if !worthwhile {
		return nil
	}
	address, ok := storeAddress(snapshot, order.Store)
	if !ok {
		return nil
	}
	base := p.baseManifest(ctx, c, order, address)
	generation := p.nextGeneration(c.Chain)
	written, err := p.writeChunks(ctx, *row, order.Store, engineapi.ExportRequest{
		StoreAddress: address,
		Prefix:       store.Prefix(c.Scope, generation),
		Blocks:       c.Chain[len(base.Blocks):order.To],
	}, max(1, p.bytesOf(c.Scope.Model, 1)))
	if err != nil || len(written) == 0 {
		return err
	}
	return p.commit(ctx, c, order.Store, address, base.Extend(generation, written))
}

// baseManifest returns the manifest that an export extends, or an empty one if there is
// none or if it no longer matches the context. Blocks of the base manifest are not written
// again.
func (p *Planner) baseManifest(ctx context.Context, c gateway.Context, order retention.ExportOrder, address string) store.Manifest {
	empty := store.Manifest{Org: c.Scope.Org, Model: c.Scope.Model, Version: c.Scope.Version}
	ref, err := parseReference(order.Extends)
	if err != nil || ref.scope != c.Scope {
		return empty
	}
	m, err := p.stores.client(order.Store, address).GetManifest(ctx, c.Scope, ref.generation, ref.tail)
	if err != nil || len(matchingBlocks(m, c.Chain, order.To)) != len(m.Blocks) {
		return empty
	}
	return m
}

// commit writes the manifest after all blocks and then updates the directory. Readers find
// blocks only through the manifest, so that an interrupted export leaves garbage but never
// a partial context.
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
	p.freeExports(actions, m)
	return nil
}

// freeExports deletes exports that no context uses any longer, except for blocks that are
// listed in retained.
func (p *Planner) freeExports(actions []contextdir.Action, retained ...store.Manifest) {
	for _, a := range actions {
		if a.Kind != contextdir.FreeManifest {
			continue
		}
		address, ok := storeAddress(p.opts.Tables.Current(), a.Copy.Store)
		if !ok {
			continue
		}
		if err := p.freeExport(a.Copy, address, retained); err != nil {
			p.log.Debug("Failed to free an unused export", "store", a.Copy.Store, "error", err)
		}
	}
}

func (p *Planner) freeExport(c contextdir.Copy, address string, retained []store.Manifest) error {
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
	return p.deleteExport(ctx, client, m, retained...)
}

// awaitStoreSpace is storeSpace, but asks again later if no store VM reports its status: otherwise one missed answer of the only store VM
// would keep a context from being exported at all.
func (p *Planner) awaitStoreSpace(ctx context.Context, snapshot *table.Snapshot) ([]retention.StoreUsage, error) {
	read := func() ([]retention.StoreUsage, error) {
		spaces := p.storeSpace(ctx, snapshot)
		if len(spaces) > 0 && !slices.ContainsFunc(spaces, func(s retention.StoreUsage) bool { return !s.Down }) {
			return nil, errSilentStores
		}
		return spaces, nil
	}
	return backoff.Retry(ctx, read, backoff.WithBackOff(backoff.NewConstantBackOff(statusMaxAge)), backoff.WithMaxTries(maxSpaceAttempts))
}

func (p *Planner) exportOrder(snapshot *table.Snapshot, c gateway.Context, spaces []retention.StoreUsage) (retention.ExportOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.directory.Lookup(c.Scope, c.Chain)
	model, ok := snapshot.Model(c.Scope.Model)
	if !ok {
		return retention.ExportOrder{}, false
	}
	return retention.Export(retention.DefaultParams(), retention.AnsweredContext{
		Blocks: len(c.Chain),
		Copies: l.Copies,
	}, spaces, block.TokensPerBlock*model.BytesPerToken)
}

// storeSpace reads the used and total space of all store VMs.
func (p *Planner) storeSpace(ctx context.Context, snapshot *table.Snapshot) []retention.StoreUsage {
	var out []retention.StoreUsage
	for _, s := range snapshot.Stores() {
		status, err := p.stores.status(ctx, s)
		space := spaceOf(s.ID, status)
		space.Down = err != nil
		out = append(out, space)
	}
	return out
}

func queueTime(s storeapi.Status) time.Duration {
	if s.LinkBytesPerSec <= 0 {
		return 0
	}
	return time.Duration(float64(s.LinkQueueBytes) / float64(s.LinkBytesPerSec) * float64(time.Second))
}

func storeAddress(snapshot *table.Snapshot, id request.StoreID) (string, bool) {
	for _, s := range snapshot.Stores() {
		if s.ID == id {
			return s.Address, true
		}
	}
	return "", false
}
