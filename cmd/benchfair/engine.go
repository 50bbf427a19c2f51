package main

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// call is one simulated request.
type call struct {
	id           int
	loud         bool
	org          string
	promptTokens int
	outputTokens int
	arrivedAt    time.Time
	firstTokenAt time.Time
	priority     int

	remainingPrefill int // prompt tokens that are not yet computed
	endsAt           time.Time
	grant            string
}

// engine is a simulated target. It runs a limited number of requests concurrently, queues
// the others in order of arrival, computes prefill in chunks, and takes a constant time for
// each output token.
type engine struct {
	slots       int
	prefillRate float64 // prompt tokens per second
	chunkTokens int
	tokenTime   time.Duration
	running     []*call
	queued      []*call
	current     *call // the call whose chunk is being computed
	budget      float64
	chunkDone   int // computed tokens of the current chunk
	reports     []engineapi.Load
}

func (e *engine) enqueue(c *call) {
	c.remainingPrefill = c.promptTokens
	e.queued = append(e.queued, c)
}

// step advances the simulation by dt and returns the calls that ended.
func (e *engine) step(now time.Time, dt time.Duration) []*call {
	var ended []*call
	stillRunning := e.running[:0]
	for _, c := range e.running {
		if c.remainingPrefill == 0 && !c.endsAt.After(now) {
			ended = append(ended, c)
			continue
		}
		stillRunning = append(stillRunning, c)
	}
	e.running = stillRunning
	for len(e.running) < e.slots && len(e.queued) > 0 {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	e.prefill(now, e.prefillRate*dt.Seconds())
	return ended
}

func (e *engine) prefill(now time.Time, tokens float64) {
	e.budget += tokens
	for e.budget >= 1 {
		if e.current == nil || e.current.remainingPrefill == 0 || e.chunkDone >= e.chunkTokens {
			e.current, e.chunkDone = e.next(), 0
		}
		if e.current == nil {
			e.budget = 0
			return
		}
		n := min(int(e.budget), e.current.remainingPrefill, e.chunkTokens-e.chunkDone)
		e.budget -= float64(n)
		e.chunkDone += n
		e.current.remainingPrefill -= n
		if e.current.remainingPrefill == 0 {
			e.current.firstTokenAt = now
			e.current.endsAt = now.Add(time.Duration(e.current.outputTokens) * e.tokenTime)
		}
	}
}

// next returns the call whose chunk is computed next: the one with the lowest priority
// number, and the earliest among equals.
func (e *engine) next() *call {
	var best *call
	for _, c := range e.running {
		if c.remainingPrefill > 0 && (best == nil || c.priority < best.priority) {
			best = c
		}
	}
	return best
}

func (e *engine) load() engineapi.Load {
	waiting := 0
	for _, c := range e.running {
		waiting += c.remainingPrefill
	}
	for _, c := range e.queued {
		waiting += c.remainingPrefill
	}
	return engineapi.Load{Incarnation: 1, Running: len(e.running), Queued: len(e.queued), PrefillTokens: waiting}
}
