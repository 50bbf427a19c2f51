package engine

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// step is one pass over the batch: it prefills one chunk of one prompt and produces a
// token for each request whose prompt is complete.
type step struct {
	prefill  *stream
	computed []block.Hash // complete blocks of the chunk
	tokens   int          // prompt tokens of the chunk
	decode   []*stream
}

func (p step) empty() bool { return p.prefill == nil && len(p.decode) == 0 }

// nominalTime returns the unscaled duration of the step.
func (p step) nominalTime() time.Duration {
	d := time.Duration(p.tokens) * time.Second / PrefillTokensPerSec
	if len(p.decode) > 0 {
		d += DecodeStep
	}
	return d
}

// runBatches executes batch steps until the replica stops.
func (e *Engine) runBatches() {
	defer e.work.Done()
	lastStepEnd := time.Now() // end of the last step, assuming exact timers
	for {
		if e.switches.WaitUnfrozen(e.ctx) != nil {
			return
		}
		next, crash := e.planStep()
		if crash != "" {
			if e.switches.CrashOnMarker(crash) {
				return
			}
			continue
		}
		if next.empty() {
			if !e.waitForWork() {
				return
			}
			lastStepEnd = time.Now()
			continue
		}
		lastStepEnd = lastStepEnd.Add(e.scaleTime(next.nominalTime()))
		if !e.sleep(e.ctx, time.Until(lastStepEnd)) {
			return
		}
		// The next steps compensate for short timer delays, but not for delays of more than
		// one decode step.
		if limit := time.Now().Add(-e.scaleTime(DecodeStep)); lastStepEnd.Before(limit) {
			lastStepEnd = limit
		}
		e.completeStep(next)
	}
}

func (e *Engine) waitForWork() bool {
	select {
	case <-e.wake:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// planStep admits requests to the batch and returns the next step. While a crash marker is
// set, it returns the prompt of each admitted request instead, for the caller to check.
func (e *Engine) planStep() (next step, crash string) {
	marked := e.switches.Status().CrashMarker != ""
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.running) < e.opts.MaxRunning {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.started = true
		e.running = insertSorted(e.running, s)
		if marked {
			return step{}, s.req.Prompt
		}
	}
	for _, s := range e.running {
		if !s.prefilled() {
			e.reuseCachedLocked(s)
		}
		switch {
		case s.prefilled():
			next.decode = append(next.decode, s)
		case next.prefill == nil:
			next.prefill = s
			next.computed, next.tokens = e.nextChunkLocked(s)
		}
	}
	return next, ""
}

// reuseCachedLocked advances a stream over cached blocks. It runs before every chunk, so
// that blocks that were imported during the computation of earlier ones are not
// recomputed.
func (e *Engine) reuseCachedLocked(s *stream) {
	for {
		i := s.position / block.TokensPerBlock
		if i >= len(s.chain) || !e.cache.acquire(s.chain[i]) {
			return
		}
		s.heldBlocks = append(s.heldBlocks, s.chain[i])
		s.position += block.TokensPerBlock
		s.reusedTokens += block.TokensPerBlock
	}
}

// nextChunkLocked returns the complete blocks and the number of tokens of the next chunk
// to compute. The chunk ends at the next cached block, at the end of the prompt, or after
// PrefillChunk tokens.
func (e *Engine) nextChunkLocked(s *stream) ([]block.Hash, int) {
	first := s.position / block.TokensPerBlock
	end := first
	for end < len(s.chain) && (end-first+1)*block.TokensPerBlock <= PrefillChunk && !e.cache.has(s.chain[end]) {
		end++
	}
	tokens := (end - first) * block.TokensPerBlock
	if end == len(s.chain) && s.promptTokens-s.position <= PrefillChunk {
		tokens = s.promptTokens - s.position
	}
	return s.chain[first:end], tokens
}

// completeStep applies the results of a step. The last chunk of a prompt also produces
// the first output token.
func (e *Engine) completeStep(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if s := done.prefill; s != nil && !s.done {
		e.stats.PrefilledTokens += int64(done.tokens)
		s.position += done.tokens
		for _, h := range e.insertLocked(done.computed) {
			e.cache.acquire(h)
			s.heldBlocks = append(s.heldBlocks, h)
		}
		if s.prefilled() {
			e.emitTokenLocked(s, now)
		}
	}
	for _, s := range done.decode {
		if !s.done {
			e.emitTokenLocked(s, now)
		}
	}
	e.removeDoneLocked()
	e.expireStreamsLocked(now)
}

func (e *Engine) emitTokenLocked(s *stream, now time.Time) {
	if len(s.frames) == 0 {
		e.stats.ReusedTokens += int64(s.reusedTokens)
	}
	s.emitToken(now)
}

// refreshLoadReport renews the load report periodically, so the report lags behind the
// actual load.
func (e *Engine) refreshLoadReport() {
	defer e.work.Done()
	for e.sleep(e.ctx, max(e.scaleTime(e.opts.LoadReportLag), time.Millisecond)) {
		if e.switches.WaitUnfrozen(e.ctx) != nil {
			return
		}
		e.updateLoadReport()
	}
}

func (e *Engine) updateLoadReport() {
	leaving := e.switches.Status().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadAt = time.Now()
	e.load.Incarnation = e.opts.Incarnation
	e.load.Model = e.state.Model
	e.load.Version = e.state.Version
	e.load.Running = len(e.running)
	e.load.Queued = len(e.queue)
	e.load.PrefillTokens = 0
	for _, s := range e.running {
		e.load.PrefillTokens += max(0, s.promptTokens-s.position)
	}
	for _, s := range e.queue {
		e.load.PrefillTokens += s.promptTokens
	}
	e.load.UsedBlocks = e.cache.used()
	e.load.TotalBlocks = e.opts.TotalBlocks
	e.load.Leaving = leaving
}
