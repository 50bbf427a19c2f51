package main

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// call is one request on its way through the simulation.
type call struct {
	id       int
	loud     bool
	org      string
	tokens   int // of the prompt
	output   int // tokens
	arrived  time.Time
	first    time.Time // first token
	priority int

	left  int // prompt tokens to compute
	ends  time.Time
	grant string
}

// engine is a simulated target: places for requests at once, a queue in order of
// arrival before them, prefill in pieces, and a constant time for each output token.
type engine struct {
	places  int
	rate    float64 // prompt tokens a second
	piece   int
	token   time.Duration
	running []*call
	queued  []*call
	current *call // its piece is being computed
	budget  float64
	done    int // tokens of the present piece
	reports []engineapi.Load
}

func (e *engine) send(c *call) {
	c.left = c.tokens
	e.queued = append(e.queued, c)
}

// step advances the engine and returns the calls that ended.
func (e *engine) step(now time.Time, dt time.Duration) []*call {
	var ended []*call
	kept := e.running[:0]
	for _, c := range e.running {
		if c.left == 0 && !c.ends.After(now) {
			ended = append(ended, c)
			continue
		}
		kept = append(kept, c)
	}
	e.running = kept
	for len(e.running) < e.places && len(e.queued) > 0 {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	e.prefill(now, e.rate*dt.Seconds())
	return ended
}

func (e *engine) prefill(now time.Time, tokens float64) {
	e.budget += tokens
	for e.budget >= 1 {
		if e.current == nil || e.current.left == 0 || e.done >= e.piece {
			e.current, e.done = e.next(), 0
		}
		if e.current == nil {
			e.budget = 0
			return
		}
		n := min(int(e.budget), e.current.left, e.piece-e.done)
		e.budget -= float64(n)
		e.done += n
		e.current.left -= n
		if e.current.left == 0 {
			e.current.first = now
			e.current.ends = now.Add(time.Duration(e.current.output) * e.token)
		}
	}
}

// next returns the call whose piece comes next: the lowest priority number, then the
// earliest.
func (e *engine) next() *call {
	var best *call
	for _, c := range e.running {
		if c.left > 0 && (best == nil || c.priority < best.priority) {
			best = c
		}
	}
	return best
}

func (e *engine) load() engineapi.Load {
	waiting := 0
	for _, c := range e.running {
		waiting += c.left
	}
	for _, c := range e.queued {
		waiting += c.left
	}
	return engineapi.Load{Incarnation: 1, Running: len(e.running), Queued: len(e.queued), PrefillTokens: waiting}
}
