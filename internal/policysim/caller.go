package policysim

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	// promptTailTokens is the number of prompt tokens after the last complete block.
	promptTailTokens = 32
	// diskChunks is the number of chunks in which a copy on disk is sent. The disk reads the
	// next chunk while the link sends the previous one.
	diskChunks = 8
)

// call is a prompt in progress.
type call struct {
	visit          visit
	engine         *engine
	cached         int // leading blocks that need no prefill
	prefillEnd     time.Duration
	importing      bool
	deferredTokens int // tokens to queue after the import if the target can't overlap prefill with imports
}

// arrive places a prompt on a target and starts its call.
func (s *sim) arrive(v visit) {
	if s.config.Disabled.Restore {
		s.start(v, leastLoaded(s.engines), placement.Plan{})
		return
	}
	s.cancelPrefetch(v.ctx)
	now := s.clock.time()
	chain := v.ctx.chain[:v.blocks]
	located := s.dir.Lookup(v.ctx.scope, chain)
	s.freeManifests(s.dir.OnUse(v.ctx.scope, chain, now))
	plan := placement.Choose(s.config.Placement, placement.Request{
		Tokens:        v.blocks*block.TokensPerBlock + promptTailTokens,
		BytesPerToken: s.config.BytesPerToken,
		TieBreak:      s.random.Uint64(),
	}, s.candidates(located), s.copies(located))
	if v.at >= s.config.MeasureFrom {
		s.result.PlanKinds[plan.Kind]++
	}
	s.start(v, s.byTarget[plan.Target], plan)
}

// leastLoaded returns the target whose queue empties first, or the one that has been idle
// longest.
func leastLoaded(engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines[1:] {
		if e.idleAt < best.idleAt {
			best = e
		}
	}
	return best
}

func (s *sim) candidates(located contextdir.LookupResult) []placement.Candidate {
	candidates := make([]placement.Candidate, len(s.engines))
	for i, e := range s.engines {
		candidates[i] = placement.Candidate{
			ID:                  e.id,
			QueuedPrefillTokens: e.queuedTokens(s.clock.now),
			PrefillRate:         s.prefillRates.PrefillRate(e.id),
		}
		for _, r := range located.Resident {
			if r.Target == e.id {
				candidates[i].ResidentBlocks = r.Blocks
				candidates[i].Unconfirmed = r.Unconfirmed
			}
		}
	}
	return candidates
}

func (s *sim) copies(located contextdir.LookupResult) []placement.Copy {
	var copies []placement.Copy
	for _, c := range located.Copies {
		st := s.byStore[c.Store]
		state := s.links.State(c.Store, s.clock.time())
		if s.config.Disabled.Overdue {
			state.BytesPerSec = max(state.BytesPerSec, s.links.LearnedRate(c.Store))
		}
		p := placement.Copy{Store: c.Store, Blocks: c.Blocks, Link: state}
		if c.Tier == storeapi.TierDisk {
			p.TierBytesPerSec = st.disk.rate
			p.Link.QueuedBytes += st.disk.queuedBytes()
		}
		copies = append(copies, p)
	}
	return copies
}

// start queues the prefill and starts the import that the plan contains. Without overlap, the
// prefill is queued when the import ends.
func (s *sim) start(v visit, e *engine, plan placement.Plan) {
	c := &call{visit: v, engine: e}
	c.cached = min(e.resident(v.ctx), v.blocks)
	e.touch(v.ctx)
	if plan.ImportBlocks > c.cached && plan.ReuseBlocks <= c.cached {
		s.startImport(c, plan)
	}
	tokens := (v.blocks-c.cached)*block.TokensPerBlock + promptTailTokens
	s.prefillRates.ObservePrefill(e.id, tokens, time.Duration(float64(tokens)/e.rate*float64(time.Second)))
	if c.importing && !s.config.Placement.Overlap {
		c.deferredTokens = tokens
		e.deferredTokens += tokens
		return
	}
	c.prefillEnd = e.prefill(tokens, s.clock.now)
	if !c.importing {
		s.clock.at(c.prefillEnd, func() { s.answer(c) })
	}
}

// startImport imports blocks from a store. An import that has not ended by the plan's deadline
// is cancelled, and its blocks are prefilled instead.
func (s *sim) startImport(c *call, plan placement.Plan) {
	cachedBefore := c.cached
	c.cached = plan.ImportBlocks
	c.importing = true
	bytes := int64(plan.ImportBlocks-plan.ReuseBlocks) * s.blockBytes()
	st := s.byStore[plan.Store]
	id := s.links.Start(plan.Store, s.tier(st, c.visit.ctx), bytes, s.clock.time())
	st.budget.Acquire(retention.Caller, bytes, s.blockBytes(), s.clock.time())
	t := &transfer{bytes: bytes}
	settle := func(outcome placement.Outcome) {
		c.importing = false
		s.links.Finish(plan.Store, id, bytes, outcome, s.clock.time())
		st.budget.Release(retention.Caller, bytes)
		s.sendAllowedChunks(st)
		if c.deferredTokens > 0 {
			c.engine.deferredTokens -= c.deferredTokens
			c.prefillEnd = max(c.prefillEnd, c.engine.prefill(c.deferredTokens, s.clock.now))
		}
		s.clock.at(c.prefillEnd, func() { s.answer(c) })
	}
	t.done = func() {
		if c.importing {
			settle(placement.Completed)
		}
	}
	s.clock.after(s.config.Placement.ImportLatency, func() { s.fetch(st, c.visit.ctx, t) })
	if s.config.Disabled.ImportDeadline {
		return
	}
	s.clock.after(plan.ImportDeadline, func() {
		if !c.importing {
			return
		}
		st.link.cancel(t)
		s.result.TimedOutImports++
		c.cached = cachedBefore
		c.prefillEnd = c.engine.prefill((plan.ImportBlocks-cachedBefore)*block.TokensPerBlock, s.clock.now)
		settle(placement.TimedOut)
	})
}

// fetch sends a transfer over the link. If the copy is on disk, the disk reads it first.
func (s *sim) fetch(st *storeVM, ctx *contextTrace, t *transfer) {
	if s.tier(st, ctx) == storeapi.TierMemory {
		st.link.send(t)
		return
	}
	arrived := 0
	for range diskChunks {
		read := &transfer{bytes: t.bytes / diskChunks}
		read.done = func() {
			st.link.send(&transfer{bytes: read.bytes, cancelled: t.cancelled, done: func() {
				arrived++
				if arrived == diskChunks {
					t.done()
				}
			}})
		}
		st.disk.send(read)
	}
}

// tier returns the tier that holds a context's copy.
func (s *sim) tier(st *storeVM, ctx *contextTrace) storeapi.Tier {
	for _, c := range s.dir.Lookup(ctx.scope, ctx.chain).Copies {
		if c.Store == st.id {
			return c.Tier
		}
	}
	return storeapi.TierMemory
}

// answer ends a call and enters its blocks into the target's cache.
func (s *sim) answer(c *call) {
	v := c.visit
	entered := c.engine.insert(v.ctx, v.blocks)
	if v.at >= s.config.MeasureFrom && v.before > 0 {
		s.result.TTFT = append(s.result.TTFT, s.clock.now-v.at)
		s.result.EarlierTokens += int64(v.before * block.TokensPerBlock)
		s.result.Recomputed += int64(max(0, v.before-c.cached) * block.TokensPerBlock)
	}
	if s.config.Disabled.Restore {
		return
	}
	now := s.clock.time()
	chain := v.ctx.chain[:v.blocks]
	correction := s.dir.OnAnswer(c.engine.id, v.ctx.scope, chain, c.cached*block.TokensPerBlock, now)
	if correction.Actual < correction.Assumed {
		s.result.ResidenceMismatches++
	}
	s.freeManifests(correction.Actions)
	s.residence[c.engine.id].ObserveInsertions(entered, now)
	s.export(c, chain)
}
