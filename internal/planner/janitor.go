package planner

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// maintenanceInterval is the interval between maintenance rounds.
	maintenanceInterval = time.Second
	// maxEvictionCandidates is the number of exports that one round considers for eviction.
	maxEvictionCandidates = 64
	// maintenanceTimeout bounds one round for one store VM.
	maintenanceTimeout = 10 * time.Second
)

// Run tracks the store VMs and manages the space of those that this daemon owns, until ctx
// ends.
func (p *Planner) Run(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, s := range p.opts.Tables.Current().Stores() {
				if p.opts.OwnsStore(s.ID) || p.recentlyUsed(s.ID) || p.hasPendingDeletes(s.ID) {
					p.maintainStore(ctx, s)
				}
			}
		}
	}
}

// recentUseWindow is how long a daemon tracks a store VM after it last considered an import
// from it. In a large fleet a daemon does not track all store VMs.
const recentUseWindow = 10 * time.Second

func (p *Planner) recentlyUsed(id request.StoreID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastConsidered[id]) < recentUseWindow
}

// maintainStore reads a store VM's status and, if this daemon owns the store VM and it is
// nearly full, reclaims space. Ownership is a hashed assignment without a lease: while
// two daemons both act as owner, they free more than needed.
func (p *Planner) maintainStore(ctx context.Context, s *table.Store) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	status, err := p.stores.status(ctx, s)
	if err != nil {
		p.log.Debug("Failed to read the store's status", "store", s.ID, "error", err)
		return
	}
	p.mu.Lock()
	p.links.Configure(s.ID, float64(s.LinkBytesPerSec))
	p.links.OnQueueReport(s.ID, status.LinkQueueBytes, time.Now())
	p.mu.Unlock()
	p.retryPendingDeletes(ctx, p.stores.client(s.ID, s.Address))
	if p.opts.OwnsStore(s.ID) && nearlyFull(status) {
		p.reclaimSpace(ctx, s, status)
	}
	p.promote(ctx, s, status)
}

// promote moves contexts of this daemon that are expected back soon from a store VM's disk
// to its memory, because an import from disk runs at a third of the speed.
func (p *Planner) promote(ctx context.Context, s *table.Store, status storeapi.Status) {
	client := p.stores.client(s.ID, s.Address)
	for _, m := range p.promotions(spaceOf(s.ID, status)) {
		manifest, ok := p.readManifest(ctx, client, m.Copy.Manifest)
		if ok {
			p.applyMove(ctx, client, m, manifest)
		}
	}
}

func (p *Planner) promotions(space retention.StoreUsage) []retention.Move {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []contextdir.StoredContext
	p.directory.EachStoredContext(func(k contextdir.StoredContext) bool {
		candidates = append(candidates, k)
		return true
	})
	return retention.PlanPromotions(retention.DefaultParams(), space, candidates, time.Now())
}

func spaceOf(id request.StoreID, status storeapi.Status) retention.StoreUsage {
	return retention.StoreUsage{
		Store:       id,
		MemoryUsed:  status.MemoryUsed,
		MemoryTotal: status.MemoryTotal,
		DiskUsed:    status.DiskUsed,
		DiskTotal:   status.DiskTotal,
		LinkQueue:   queueTime(status),
	}
}

func nearlyFull(s storeapi.Status) bool {
	high := retention.DefaultParams().HighWater
	return float64(s.MemoryUsed) > high*float64(s.MemoryTotal) || float64(s.DiskUsed) > high*float64(s.DiskTotal)
}

// reclaimSpace moves the least recently used exports from memory to disk and deletes those
// on disk. It uses the store VM's list instead of the directory, so that exports of
// terminated daemons are deleted too.
func (p *Planner) reclaimSpace(ctx context.Context, s *table.Store, status storeapi.Status) {
	client := p.stores.client(s.ID, s.Address)
	listed, err := client.List(ctx, "", store.ManifestMark, maxEvictionCandidates)
	if err != nil {
		p.log.Warn("Failed to list the exports of a nearly full store", "store", s.ID, "error", err)
		return
	}
	manifests := map[string]store.Manifest{}
	var candidates []contextdir.StoredContext
	now := time.Now()
	for _, l := range listed {
		m, ok := p.readManifest(ctx, client, l.Name)
		if !ok {
			continue
		}
		manifests[l.Name] = m
		candidates = append(candidates, contextdir.StoredContext{
			Scope:   m.Scope(),
			Blocks:  len(m.Blocks),
			LastUse: now.Add(-time.Duration(l.IdleMillis) * time.Millisecond),
			Copies:  []contextdir.Copy{{Manifest: l.Name, Store: s.ID, Tier: l.Tier, Blocks: len(m.Blocks), Bytes: m.Bytes()}},
		})
	}
	for _, m := range retention.PlanEviction(evictionParams(), spaceOf(s.ID, status), candidates, now) {
		p.applyMove(ctx, client, m, manifests[m.Copy.Manifest])
	}
}

// evictionParams returns the parameters for exports of which only the time of the last use
// is known. With a default gap, the most recently used export would be expected back last
// and be evicted first. Without one, a context is expected back after as long again as it
// has been idle.
func evictionParams() retention.Params {
	params := retention.DefaultParams()
	params.DefaultGap = 0
	return params
}

func (p *Planner) readManifest(ctx context.Context, client *store.Client, name string) (store.Manifest, bool) {
	ref, err := parseReference(name)
	if err != nil {
		return store.Manifest{}, false
	}
	m, err := client.PeekManifest(ctx, ref.scope, ref.generation, ref.tail)
	if err != nil {
		p.log.Debug("Failed to read a manifest", "name", name, "error", err)
		return store.Manifest{}, false
	}
	return m, true
}

func (p *Planner) applyMove(ctx context.Context, client *store.Client, m retention.Move, manifest store.Manifest) {
	var err error
	switch m.Kind {
	case retention.Free:
		err = p.deleteExport(ctx, client, manifest)
	case retention.Demote:
		err = client.Tier(ctx, append(manifest.BlockNames(), manifest.Name()), storeapi.TierDisk)
	case retention.Promote:
		err = client.Tier(ctx, append(manifest.BlockNames(), manifest.Name()), storeapi.TierMemory)
	}
	if err != nil {
		p.log.Debug("Failed to move or free an export", "store", m.Copy.Store, "kind", m.Kind, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m.Kind {
	case retention.Free:
		p.directory.OnManifestFreed(m.Copy.Manifest)
	case retention.Demote:
		p.directory.OnManifestMoved(m.Copy.Manifest, storeapi.TierDisk)
	case retention.Promote:
		p.directory.OnManifestMoved(m.Copy.Manifest, storeapi.TierMemory)
	}
}
