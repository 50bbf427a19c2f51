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
	// careInterval is how often store VMs are looked at.
	careInterval = time.Second
	// maxCared is how many exports are weighed in one round of making room.
	maxCared = 64
	// careTimeout bounds one round for one store VM.
	careTimeout = 10 * time.Second
)

// Run follows the store VMs and makes room in those whose care has its place here,
// until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	tick := time.NewTicker(careInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, s := range p.opts.Tables.Current().Stores() {
				if p.opts.OwnsStore(s.ID) || p.inUse(s.ID) || p.hasUnfreed(s.ID) {
					p.care(ctx, s)
				}
			}
		}
	}
}

// usedLately is how long a store VM is followed after this daemon last weighed it for
// an import. A daemon need not follow all of a large fleet's store VMs.
const usedLately = 10 * time.Second

func (p *Planner) inUse(id request.StoreID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.weighed[id]) < usedLately
}

// care reads a store VM's status and, if it is this daemon's to care for and nearly
// full, makes room. The place is soft: two daemons at once free more than needed.
func (p *Planner) care(ctx context.Context, s *table.Store) {
	ctx, cancel := context.WithTimeout(ctx, careTimeout)
	defer cancel()
	status, err := p.stores.status(ctx, s)
	if err != nil {
		p.log.Debug("Store does not answer", "store", s.ID, "error", err)
		return
	}
	p.mu.Lock()
	p.links.Configure(s.ID, float64(s.LinkBytesPerSec))
	p.links.Reported(s.ID, status.LinkQueueBytes, time.Now())
	p.mu.Unlock()
	p.freeAgain(ctx, p.stores.client(s.ID, s.Address))
	if p.opts.OwnsStore(s.ID) && nearlyFull(status) {
		p.makeRoom(ctx, s, status)
	}
	p.promote(ctx, s, status)
}

// promote brings contexts of this daemon that are expected back soon from a store VM's
// disk to its memory: from disk they would come at a third of the speed.
func (p *Planner) promote(ctx context.Context, s *table.Store, status storeapi.Status) {
	client := p.stores.client(s.ID, s.Address)
	for _, m := range p.promotions(roomOf(s.ID, status)) {
		manifest, ok := p.readManifest(ctx, client, m.Copy.Manifest)
		if ok {
			p.move(ctx, client, m, manifest)
		}
	}
}

func (p *Planner) promotions(room retention.Room) []retention.Move {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []contextdir.Kept
	p.directory.EachKept(func(k contextdir.Kept) bool {
		kept = append(kept, k)
		return true
	})
	return retention.Promotions(retention.DefaultParams(), room, kept, time.Now())
}

func roomOf(id request.StoreID, status storeapi.Status) retention.Room {
	return retention.Room{
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

// makeRoom moves the longest unused exports from memory to disk and frees those on
// disk. It goes by what the store VM lists, not by the directory: exports of daemons
// that are gone would otherwise stay for ever.
func (p *Planner) makeRoom(ctx context.Context, s *table.Store, status storeapi.Status) {
	client := p.stores.client(s.ID, s.Address)
	listed, err := client.List(ctx, "", store.ManifestMark, maxCared)
	if err != nil {
		p.log.Warn("Exports of a nearly full store were not listed", "store", s.ID, "error", err)
		return
	}
	manifests := map[string]store.Manifest{}
	var kept []contextdir.Kept
	now := time.Now()
	for _, l := range listed {
		m, ok := p.readManifest(ctx, client, l.Name)
		if !ok {
			continue
		}
		manifests[l.Name] = m
		kept = append(kept, contextdir.Kept{
			Scope:   m.Scope(),
			Blocks:  len(m.Blocks),
			LastUse: now.Add(-time.Duration(l.IdleMillis) * time.Millisecond),
			Copies:  []contextdir.Copy{{Manifest: l.Name, Store: s.ID, Tier: l.Tier, Blocks: len(m.Blocks), Bytes: m.Bytes()}},
		})
	}
	for _, m := range retention.MakeRoom(withoutHistory(), roomOf(s.ID, status), kept, now) {
		p.move(ctx, client, m, manifests[m.Copy.Manifest])
	}
}

// withoutHistory returns the settings for exports of which only the last use is known.
// With an expected gap, what was used last would be expected back last and go first;
// without one, a context is expected after as long again as it has been away.
func withoutHistory() retention.Params {
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
		p.log.Debug("Manifest was not read", "name", name, "error", err)
		return store.Manifest{}, false
	}
	return m, true
}

func (p *Planner) move(ctx context.Context, client *store.Client, m retention.Move, manifest store.Manifest) {
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
		p.log.Debug("Export was not moved", "store", m.Copy.Store, "kind", m.Kind, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m.Kind {
	case retention.Free:
		p.directory.Freed(m.Copy.Manifest)
	case retention.Demote:
		p.directory.Moved(m.Copy.Manifest, storeapi.TierDisk)
	case retention.Promote:
		p.directory.Moved(m.Copy.Manifest, storeapi.TierMemory)
	}
}
