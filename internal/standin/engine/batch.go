package engine

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// step is what one pass over the batch does: one piece of one prompt, and a token for
// each request whose prompt is in place.
type step struct {
	prefill  *stream
	computed []block.Hash // whole blocks of the piece
	tokens   int          // of the piece
	decode   []*stream
}

func (p step) empty() bool { return p.prefill == nil && len(p.decode) == 0 }

// nominalTime returns the time of the step without scale.
func (p step) nominalTime() time.Duration {
	d := time.Duration(p.tokens) * time.Second / PrefillTokensPerSec
	if len(p.decode) > 0 {
		d += DecodeStep
	}
	return d
}

// runBatches is the duty that runs the batch step by step.
func (e *Engine) runBatches() {
	defer e.work.Done()
	lastStepEnd := time.Now() // when the last step ended, were timers exact
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
		// Small delays of timers are made up for by the next steps; long ones are not.
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

// planStep admits requests to the batch and returns the next step; or the prompt of a
// request that is to crash the replica.
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

// reuseCachedLocked advances over cached blocks. It is asked before every piece, so that
// blocks imported while earlier ones are computed are not computed again.
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

// nextChunkLocked returns the next piece to compute: up to the next cached block, the end
// of the prompt, or PrefillPiece tokens.
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

// completeStep applies a step. A prompt that is in place gives its first token with its
// last piece.
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

// refreshLoadReport is the duty that renews the load report, which is why it lags.
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
