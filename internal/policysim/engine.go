package policysim

import (
	"container/list"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// engine is a target: a prefill queue and a prefix cache.
type engine struct {
	id        request.TargetID
	rate      float64 // tokens a second
	freeAt    time.Duration
	promised  int // tokens of prompts that join the queue when their import ends
	capacity  int // blocks
	used      int
	recent    *list.List // of *cached, the most recently used first
	cache     map[*contextTrace]*list.Element
	seq       uint64
	lastEvent func(engineapi.CacheEvent)
}

type cached struct {
	ctx    *contextTrace
	blocks int
}

func newEngine(id request.TargetID, rate float64, capacity int) *engine {
	return &engine{id: id, rate: rate, capacity: capacity, recent: list.New(), cache: map[*contextTrace]*list.Element{}}
}

// queued returns the tokens waiting to be prefilled.
func (e *engine) queued(now time.Duration) int {
	return int(max(0, (e.freeAt-now).Seconds())*e.rate) + e.promised
}

// prefill queues tokens and returns when they are done.
func (e *engine) prefill(tokens int, now time.Duration) time.Duration {
	e.freeAt = max(e.freeAt, now) + time.Duration(float64(tokens)/e.rate*float64(time.Second))
	return e.freeAt
}

// resident returns the leading blocks in the cache.
func (e *engine) resident(ctx *contextTrace) int {
	if element, ok := e.cache[ctx]; ok {
		return element.Value.(*cached).blocks
	}
	return 0
}

// touch marks a context as just used.
func (e *engine) touch(ctx *contextTrace) {
	if element, ok := e.cache[ctx]; ok {
		e.recent.MoveToFront(element)
	}
}

// insert puts leading blocks into the cache and evicts what was used longest ago. It
// returns how many blocks are new.
func (e *engine) insert(ctx *contextTrace, blocks int) int {
	had := e.resident(ctx)
	if blocks <= had {
		e.touch(ctx)
		return 0
	}
	if had == 0 {
		e.cache[ctx] = e.recent.PushFront(&cached{ctx: ctx})
	}
	e.touch(ctx)
	e.cache[ctx].Value.(*cached).blocks = blocks
	e.used += blocks - had
	e.report(engineapi.BlocksStored, ctx.chain[had:blocks])
	for e.used > e.capacity {
		e.evict()
	}
	return blocks - had
}

func (e *engine) evict() {
	oldest := e.recent.Back()
	c := e.recent.Remove(oldest).(*cached)
	delete(e.cache, c.ctx)
	e.used -= c.blocks
	e.report(engineapi.BlocksRemoved, c.ctx.chain[:c.blocks])
}

func (e *engine) report(kind engineapi.EventKind, blocks []block.Hash) {
	e.seq++
	if e.lastEvent != nil {
		e.lastEvent(engineapi.CacheEvent{Seq: e.seq, Kind: kind, Blocks: blocks})
	}
}

func (e *engine) snapshot() engineapi.Snapshot {
	s := engineapi.Snapshot{Incarnation: 1, Seq: e.seq}
	for element := e.recent.Back(); element != nil; element = element.Prev() {
		c := element.Value.(*cached)
		s.Blocks = append(s.Blocks, c.ctx.chain[:c.blocks]...)
	}
	return s
}
