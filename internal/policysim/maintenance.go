package policysim

import (
	"fmt"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	// maintenanceInterval is the interval between checks for evictions, promotions and prefetches.
	maintenanceInterval = 4 * time.Second
	// budgetRetryInterval is the delay before a refused background transfer retries.
	budgetRetryInterval = 20 * time.Millisecond
)

// export writes a context's new blocks to a store if the retention policy orders it.
func (s *sim) export(c *call, chain []block.Hash) {
	ctx := c.visit.ctx
	if s.exporting[ctx] {
		return
	}
	located := s.dir.Lookup(ctx.scope, chain)
	order, ok := retention.Export(s.config.Retention, retention.AnsweredContext{
		Blocks: len(chain),
		Copies: located.Copies,
	}, s.storeUsages(), s.blockBytes())
	if !ok {
		return
	}
	s.exporting[ctx] = true
	st := s.byStore[order.Store]
	s.enqueue(st, &background{
		class: retention.Exporting,
		bytes: int64(order.To-order.From) * s.blockBytes(),
		valid: func() bool { return c.engine.resident(ctx) >= order.To },
		done:  func(transferred int64) { s.commit(st, ctx, order, transferred) },
	})
}

// commit records the manifest of the blocks that an export wrote.
func (s *sim) commit(st *storeVM, ctx *contextTrace, order retention.ExportOrder, transferred int64) {
	delete(s.exporting, ctx)
	blocks := order.From + int(transferred/s.blockBytes())
	if blocks == order.From {
		return
	}
	tier := storeapi.TierMemory
	if order.Extends != "" {
		if s.contextByManifest[order.Extends] == nil {
			return // the extended manifest was freed; the new blocks are useless without it
		}
		tier = s.tier(st, ctx)
	}
	s.manifestCount++
	name := fmt.Sprint("manifest-", s.manifestCount)
	s.contextByManifest[name] = ctx
	st.addUsage(tier, transferred)
	replaced := s.dir.OnManifestCommitted(ctx.scope, ctx.chain[:order.To], contextdir.Copy{
		Manifest: name, Generation: uint64(s.manifestCount), Store: st.id, Tier: tier,
		Blocks: blocks, Bytes: int64(blocks) * s.blockBytes(),
	})
	for _, a := range replaced {
		delete(s.contextByManifest, a.Copy.Manifest)
		if a.Copy.Manifest != order.Extends {
			st.addUsage(a.Copy.Tier, -a.Copy.Bytes)
		}
	}
}

// addUsage adds bytes to the used space of a tier.
func (st *storeVM) addUsage(tier storeapi.Tier, bytes int64) {
	if tier == storeapi.TierDisk {
		st.usage.DiskUsed += bytes
		return
	}
	st.usage.MemoryUsed += bytes
}

// freeManifests deletes the manifests that the directory orders to free.
func (s *sim) freeManifests(actions []contextdir.Action) {
	for _, a := range actions {
		if a.Kind == contextdir.FreeManifest {
			s.byStore[a.Copy.Store].addUsage(a.Copy.Tier, -a.Copy.Bytes)
			delete(s.contextByManifest, a.Copy.Manifest)
		}
	}
}

func (s *sim) storeUsages() []retention.StoreUsage {
	usages := make([]retention.StoreUsage, len(s.stores))
	for i, st := range s.stores {
		usages[i] = st.usage
		usages[i].LinkQueue = time.Duration(float64(st.link.queuedBytes()) / st.link.rate * float64(time.Second))
	}
	return usages
}

// maintainStores evicts and promotes copies and starts prefetches, at each
// maintenanceInterval.
func (s *sim) maintainStores() {
	s.clock.after(maintenanceInterval, s.maintainStores)
	now := s.clock.time()
	stored := s.storedContexts[:0]
	s.dir.EachStoredContext(func(k contextdir.StoredContext) bool {
		if s.config.Disabled.ReturnTime {
			k.Gaps = contextdir.Gaps{}
		}
		k.Copies = append([]contextdir.Copy(nil), k.Copies...)
		stored = append(stored, k)
		return true
	})
	s.storedContexts = stored
	for _, st := range s.stores {
		s.links.OnQueueReport(st.id, st.link.queuedBytes(), now)
		for _, m := range retention.PlanEviction(s.config.Retention, st.usage, stored, now) {
			s.applyMove(st, m)
		}
		if s.config.Disabled.Promotion {
			continue
		}
		st.promotions = retention.PlanPromotions(s.config.Retention, st.usage, stored, now)
		s.promoteNext(st)
	}
	if !s.config.Disabled.Prefetch {
		for _, k := range stored {
			s.prefetch(k)
		}
	}
}

func (s *sim) applyMove(st *storeVM, m retention.Move) {
	if s.contextByManifest[m.Copy.Manifest] == nil {
		return
	}
	st.addUsage(m.Copy.Tier, -m.Copy.Bytes)
	if m.Kind == retention.Free {
		s.dir.OnManifestFreed(m.Copy.Manifest)
		delete(s.contextByManifest, m.Copy.Manifest)
		return
	}
	st.addUsage(storeapi.TierDisk, m.Copy.Bytes)
	s.dir.OnManifestMoved(m.Copy.Manifest, storeapi.TierDisk)
}

// promoteNext reads the next copy to promote from disk if the disk is idle.
func (s *sim) promoteNext(st *storeVM) {
	if st.disk.busy || len(st.promotions) == 0 {
		return
	}
	c := st.promotions[0].Copy
	st.promotions = st.promotions[1:]
	st.disk.send(&transfer{bytes: c.Bytes, done: func() {
		if s.contextByManifest[c.Manifest] != nil {
			st.addUsage(storeapi.TierDisk, -c.Bytes)
			st.addUsage(storeapi.TierMemory, c.Bytes)
			s.dir.OnManifestMoved(c.Manifest, storeapi.TierMemory)
		}
		s.promoteNext(st)
	}})
}

// prefetch imports a context that is expected to return soon into the least loaded target. It
// does so once per return: a context that was evicted before its caller returned is not worth
// the link bandwidth a second time.
func (s *sim) prefetch(k contextdir.StoredContext) {
	now := s.clock.time()
	ctx := s.contextByManifest[k.Copies[0].Manifest]
	if ctx == nil || k.Resident || s.prefetchedAfter[ctx].Equal(k.LastUse) || k.Copies[0].Tier == storeapi.TierDisk {
		return
	}
	e := leastLoaded(s.engines)
	if !retention.ShouldPrefetch(s.config.Retention, k, s.residence[e.id].Estimate(now), now) {
		return
	}
	s.prefetchedAfter[ctx] = k.LastUse
	st := s.byStore[k.Copies[0].Store]
	s.enqueue(st, &background{
		class: retention.Prefetch,
		ctx:   ctx,
		bytes: int64(k.Copies[0].Blocks) * s.blockBytes(),
		valid: func() bool { return true },
		done: func(transferred int64) {
			if blocks := int(transferred / s.blockBytes()); blocks > 0 {
				s.residence[e.id].ObserveInsertions(e.insert(ctx, blocks), s.clock.time())
				s.dir.OnImport(e.id, ctx.scope, ctx.chain, blocks)
			}
		},
	})
}

// cancelPrefetch ends the prefetch of a context whose caller has returned. Blocks that have
// arrived stay cached.
func (s *sim) cancelPrefetch(ctx *contextTrace) {
	for _, st := range s.stores {
		for i, b := range st.waiting[0] {
			if b.ctx == ctx {
				st.waiting[0] = append(st.waiting[0][:i], st.waiting[0][i+1:]...)
				b.done(b.sent)
				return
			}
		}
	}
}

// enqueue queues a background transfer, or sends it immediately if the budget is disabled.
func (s *sim) enqueue(st *storeVM, b *background) {
	if s.config.Disabled.Budget {
		st.link.send(&transfer{bytes: b.bytes, done: func() { b.done(b.bytes) }})
		return
	}
	class := b.class - retention.Prefetch
	st.waiting[class] = append(st.waiting[class], b)
	s.sendAllowedChunks(st)
}

// sendAllowedChunks sends the next chunk of each class if the budget allows it.
func (s *sim) sendAllowedChunks(st *storeVM) {
	for class := range st.waiting {
		for len(st.waiting[class]) > 0 {
			b := st.waiting[class][0]
			if b.sent == b.bytes || !b.valid() {
				st.waiting[class] = st.waiting[class][1:]
				b.done(b.sent)
				continue
			}
			s.sendChunk(st, b)
			break
		}
	}
}

func (s *sim) sendChunk(st *storeVM, b *background) {
	granted := st.budget.Acquire(b.class, b.bytes-b.sent, s.blockBytes(), s.clock.time())
	if granted == 0 {
		s.scheduleBudgetRetry(st)
		return
	}
	st.link.send(&transfer{bytes: granted, done: func() {
		b.sent += granted
		if s.clock.now >= s.config.MeasureFrom {
			s.result.BackgroundBytes[b.class-retention.Prefetch] += granted
		}
		st.budget.Release(b.class, granted)
		s.sendAllowedChunks(st)
	}})
}

// scheduleBudgetRetry schedules another budget request, which is made even if no transfer ends
// before it.
func (s *sim) scheduleBudgetRetry(st *storeVM) {
	if st.retryScheduled {
		return
	}
	st.retryScheduled = true
	s.clock.after(budgetRetryInterval, func() {
		st.retryScheduled = false
		s.sendAllowedChunks(st)
	})
}
