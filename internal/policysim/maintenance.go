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
	// tendEvery is how often room, promotions and prefetches are looked at.
	tendEvery = 4 * time.Second
	// budgetRetry is how soon a refused background transfer asks again.
	budgetRetry = 20 * time.Millisecond
)

// export writes a context's new blocks to a store, if retention wants it.
func (s *sim) export(c *call, chain []block.Hash) {
	ctx := c.visit.ctx
	if s.exporting[ctx] {
		return
	}
	located := s.dir.Lookup(ctx.scope, chain)
	order, ok := retention.Export(s.config.Retention, retention.AnsweredContext{
		Blocks: len(chain),
		Copies: located.Copies,
	}, s.rooms(), s.blockBytes())
	if !ok {
		return
	}
	s.exporting[ctx] = true
	st := s.byStore[order.Store]
	s.enqueue(st, &background{
		class: retention.Exporting,
		bytes: int64(order.To-order.From) * s.blockBytes(),
		alive: func() bool { return c.engine.resident(ctx) >= order.To },
		done:  func(carried int64) { s.commit(st, ctx, order, carried) },
	})
}

// commit records the manifest of what was written.
func (s *sim) commit(st *storeVM, ctx *contextTrace, order retention.ExportOrder, carried int64) {
	delete(s.exporting, ctx)
	blocks := order.From + int(carried/s.blockBytes())
	if blocks == order.From {
		return
	}
	tier := storeapi.TierMemory
	if order.Extends != "" {
		if s.owners[order.Extends] == nil {
			return // freed meanwhile; the new blocks alone are of no use
		}
		tier = s.tier(st, ctx)
	}
	s.names++
	name := fmt.Sprint("manifest-", s.names)
	s.owners[name] = ctx
	st.use(tier, carried)
	replaced := s.dir.OnManifestCommitted(ctx.scope, ctx.chain[:order.To], contextdir.Copy{
		Manifest: name, Generation: uint64(s.names), Store: st.id, Tier: tier,
		Blocks: blocks, Bytes: int64(blocks) * s.blockBytes(),
	})
	for _, a := range replaced {
		delete(s.owners, a.Copy.Manifest)
		if a.Copy.Manifest != order.Extends {
			st.use(a.Copy.Tier, -a.Copy.Bytes)
		}
	}
}

// use adds bytes to a tier.
func (st *storeVM) use(tier storeapi.Tier, bytes int64) {
	if tier == storeapi.TierDisk {
		st.room.DiskUsed += bytes
		return
	}
	st.room.MemoryUsed += bytes
}

// free deletes what the directory no longer wants.
func (s *sim) free(actions []contextdir.Action) {
	for _, a := range actions {
		if a.Kind == contextdir.FreeManifest {
			s.byStore[a.Copy.Store].use(a.Copy.Tier, -a.Copy.Bytes)
			delete(s.owners, a.Copy.Manifest)
		}
	}
}

func (s *sim) rooms() []retention.StoreUsage {
	rooms := make([]retention.StoreUsage, len(s.stores))
	for i, st := range s.stores {
		rooms[i] = st.room
		rooms[i].LinkQueue = time.Duration(float64(st.link.queued()) / st.link.rate * float64(time.Second))
	}
	return rooms
}

// tend moves copies between tiers and starts prefetches.
func (s *sim) tend() {
	s.clock.after(tendEvery, s.tend)
	now := s.clock.time()
	kept := s.kept[:0]
	s.dir.EachStoredContext(func(k contextdir.StoredContext) bool {
		if s.config.Disabled.ReturnTime {
			k.Gaps = contextdir.Gaps{}
		}
		k.Copies = append([]contextdir.Copy(nil), k.Copies...)
		kept = append(kept, k)
		return true
	})
	s.kept = kept
	for _, st := range s.stores {
		s.links.OnQueueReport(st.id, st.link.queued(), now)
		for _, m := range retention.PlanEviction(s.config.Retention, st.room, kept, now) {
			s.move(st, m)
		}
		if s.config.Disabled.Promotion {
			continue
		}
		st.promotions = retention.PlanPromotions(s.config.Retention, st.room, kept, now)
		s.promote(st)
	}
	if !s.config.Disabled.Prefetch {
		for _, k := range kept {
			s.prefetch(k)
		}
	}
}

func (s *sim) move(st *storeVM, m retention.Move) {
	if s.owners[m.Copy.Manifest] == nil {
		return
	}
	st.use(m.Copy.Tier, -m.Copy.Bytes)
	if m.Kind == retention.Free {
		s.dir.OnManifestFreed(m.Copy.Manifest)
		delete(s.owners, m.Copy.Manifest)
		return
	}
	st.use(storeapi.TierDisk, m.Copy.Bytes)
	s.dir.OnManifestMoved(m.Copy.Manifest, storeapi.TierDisk)
}

// promote reads the next copy from disk, if nothing else is being read.
func (s *sim) promote(st *storeVM) {
	if st.disk.busy || len(st.promotions) == 0 {
		return
	}
	c := st.promotions[0].Copy
	st.promotions = st.promotions[1:]
	st.disk.send(&transfer{bytes: c.Bytes, done: func() {
		if s.owners[c.Manifest] != nil {
			st.use(storeapi.TierDisk, -c.Bytes)
			st.use(storeapi.TierMemory, c.Bytes)
			s.dir.OnManifestMoved(c.Manifest, storeapi.TierMemory)
		}
		s.promote(st)
	}})
}

// prefetch imports a context that is expected soon into the least loaded target. It
// does so once for each return: what was evicted before the caller came is not worth
// the link a second time.
func (s *sim) prefetch(k contextdir.StoredContext) {
	now := s.clock.time()
	ctx := s.owners[k.Copies[0].Manifest]
	if ctx == nil || k.Resident || s.fetched[ctx].Equal(k.LastUse) || k.Copies[0].Tier == storeapi.TierDisk {
		return
	}
	e := leastLoaded(s.engines)
	if !retention.ShouldPrefetch(s.config.Retention, k, s.residence[e.id].Estimate(now), now) {
		return
	}
	s.fetched[ctx] = k.LastUse
	st := s.byStore[k.Copies[0].Store]
	s.enqueue(st, &background{
		class: retention.Prefetch,
		ctx:   ctx,
		bytes: int64(k.Copies[0].Blocks) * s.blockBytes(),
		alive: func() bool { return true },
		done: func(carried int64) {
			if blocks := int(carried / s.blockBytes()); blocks > 0 {
				s.residence[e.id].ObserveInsertions(e.insert(ctx, blocks), s.clock.time())
				s.dir.OnImport(e.id, ctx.scope, ctx.chain, blocks)
			}
		},
	})
}

// stopPrefetch ends a prefetch whose caller has come; what has arrived stays.
func (s *sim) stopPrefetch(ctx *contextTrace) {
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

// enqueue starts a background transfer.
func (s *sim) enqueue(st *storeVM, b *background) {
	if s.config.Disabled.Budget {
		st.link.send(&transfer{bytes: b.bytes, done: func() { b.done(b.bytes) }})
		return
	}
	class := b.class - retention.Prefetch
	st.waiting[class] = append(st.waiting[class], b)
	s.pump(st)
}

// pump sends the next chunk that the budget allows.
func (s *sim) pump(st *storeVM) {
	for class := range st.waiting {
		for len(st.waiting[class]) > 0 {
			b := st.waiting[class][0]
			if b.sent == b.bytes || !b.alive() {
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
		s.pumpLater(st)
		return
	}
	st.link.send(&transfer{bytes: granted, done: func() {
		b.sent += granted
		if s.clock.now >= s.config.MeasureFrom {
			s.result.BackgroundBytes[b.class-retention.Prefetch] += granted
		}
		st.budget.Release(b.class, granted)
		s.pump(st)
	}})
}

// pumpLater asks the budget again, also if no transfer ends meanwhile.
func (s *sim) pumpLater(st *storeVM) {
	if st.retrying {
		return
	}
	st.retrying = true
	s.clock.after(budgetRetry, func() {
		st.retrying = false
		s.pump(st)
	})
}
