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
	// promptTail is the tokens of a prompt after its last whole block.
	promptTail = 32
	// diskPieces is how many pieces a copy on disk is sent in; while one is on the link
	// the next is read.
	diskPieces = 8
)

// call is one prompt on its way.
type call struct {
	visit      visit
	engine     *engine
	cached     int // leading blocks that need no prefill
	prefillEnd time.Duration
	importing  bool
	tail       int // tokens to queue after the import, if the target can't overlap
}

// arrive places a prompt and starts it.
func (s *sim) arrive(v visit) {
	if s.config.Disabled.Restore {
		s.start(v, leastLoaded(s.engines), placement.Plan{})
		return
	}
	s.stopPrefetch(v.ctx)
	now := s.clock.time()
	chain := v.ctx.chain[:v.blocks]
	located := s.dir.Lookup(v.ctx.scope, chain)
	s.free(s.dir.OnUse(v.ctx.scope, chain, now))
	plan := placement.Choose(s.config.Placement, placement.Request{
		Tokens:        v.blocks*block.TokensPerBlock + promptTail,
		BytesPerToken: s.config.BytesPerToken,
		TieBreak:      s.random.Uint64(),
	}, s.candidates(located), s.copies(located))
	if v.at >= s.config.MeasureFrom {
		s.result.PlanKinds[plan.Kind]++
	}
	s.start(v, s.byTarget[plan.Target], plan)
}

// leastLoaded returns the target that is done first; of idle ones, the longest idle.
func leastLoaded(engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines[1:] {
		if e.freeAt < best.freeAt {
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
			QueuedPrefillTokens: e.queued(s.clock.now),
			PrefillRate:         s.costs.PrefillRate(e.id),
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
			p.Link.QueuedBytes += st.disk.queued()
		}
		copies = append(copies, p)
	}
	return copies
}

// start queues the prefill and, at the same time, the import.
func (s *sim) start(v visit, e *engine, plan placement.Plan) {
	c := &call{visit: v, engine: e}
	c.cached = min(e.resident(v.ctx), v.blocks)
	e.touch(v.ctx)
	if plan.ImportBlocks > c.cached && plan.ReuseBlocks <= c.cached {
		s.startImport(c, plan)
	}
	tokens := (v.blocks-c.cached)*block.TokensPerBlock + promptTail
	s.costs.ObservePrefill(e.id, tokens, time.Duration(float64(tokens)/e.rate*float64(time.Second)))
	if c.importing && !s.config.Placement.Overlap {
		c.tail = tokens
		e.promised += tokens
		return
	}
	c.prefillEnd = e.prefill(tokens, s.clock.now)
	if !c.importing {
		s.clock.at(c.prefillEnd, func() { s.answer(c) })
	}
}

// startImport brings blocks from a store. The caller counts on them until the plan's
// deadline; what has not come by then is prefilled.
func (s *sim) startImport(c *call, plan placement.Plan) {
	had := c.cached
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
		s.pump(st)
		if c.tail > 0 {
			c.engine.promised -= c.tail
			c.prefillEnd = max(c.prefillEnd, c.engine.prefill(c.tail, s.clock.now))
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
		c.cached = had
		c.prefillEnd = c.engine.prefill((plan.ImportBlocks-had)*block.TokensPerBlock, s.clock.now)
		settle(placement.TimedOut)
	})
}

// fetch sends a transfer over the link, after the disk if the copy lies there.
func (s *sim) fetch(st *storeVM, ctx *contextTrace, t *transfer) {
	if s.tier(st, ctx) == storeapi.TierMemory {
		st.link.send(t)
		return
	}
	arrived := 0
	for range diskPieces {
		read := &transfer{bytes: t.bytes / diskPieces}
		read.done = func() {
			st.link.send(&transfer{bytes: read.bytes, cancelled: t.cancelled, done: func() {
				arrived++
				if arrived == diskPieces {
					t.done()
				}
			}})
		}
		st.disk.send(read)
	}
}

// tier returns where a context's copy lies.
func (s *sim) tier(st *storeVM, ctx *contextTrace) storeapi.Tier {
	for _, c := range s.dir.Lookup(ctx.scope, ctx.chain).Copies {
		if c.Store == st.id {
			return c.Tier
		}
	}
	return storeapi.TierMemory
}

// answer ends a call: its blocks are in the target's cache now.
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
	s.free(correction.Actions)
	s.residence[c.engine.id].ObserveInsertions(entered, now)
	s.export(c, chain)
}
