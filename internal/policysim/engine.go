package policysim

import (
	"container/list"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// engine simulates a target: a prefill queue and a prefix cache.
type engine struct {
	id             request.TargetID
	rate           float64 // tokens per second
	idleAt         time.Duration
	deferredTokens int // tokens of prompts that join the queue when their import ends
	capacity       int // blocks
	used           int
	lru            *list.List // of *cached, the most recently used first
	cache          map[*contextTrace]*list.Element
	seq            uint64
	onEvent        func(engineapi.CacheEvent)
}

type cached struct {
	ctx    *contextTrace
	blocks int
}

func newEngine(id request.TargetID, rate float64, capacity int) *engine {
	return &engine{id: id, rate: rate, capacity: capacity, lru: list.New(), cache: map[*contextTrace]*list.Element{}}
}

// queuedTokens returns the number of tokens that wait for prefill.
func (e *engine) queuedTokens(now time.Duration) int {
	return int(max(0, (e.idleAt-now).Seconds())*e.rate) + e.deferredTokens
}

// prefill queues tokens and returns the time at which their prefill ends.
func (e *engine) prefill(tokens int, now time.Duration) time.Duration {
	e.idleAt = max(e.idleAt, now) + time.Duration(float64(tokens)/e.rate*float64(time.Second))
	return e.idleAt
}

// resident returns the number of leading blocks of a context in the cache.
func (e *engine) resident(ctx *contextTrace) int {
	if element, ok := e.cache[ctx]; ok {
		return element.Value.(*cached).blocks
	}
	return 0
}

// touch marks a context as the most recently used.
func (e *engine) touch(ctx *contextTrace) {
	if element, ok := e.cache[ctx]; ok {
		e.lru.MoveToFront(element)
	}
}

// insert adds leading blocks of a context to the cache, evicts the least recently used contexts
// beyond the capacity, and returns the number of new blocks.
func (e *engine) insert(ctx *contextTrace, blocks int) int {
	residentBefore := e.resident(ctx)
	if blocks <= residentBefore {
		e.touch(ctx)
		return 0
	}
	if residentBefore == 0 {
		e.cache[ctx] = e.lru.PushFront(&cached{ctx: ctx})
	}
	e.touch(ctx)
	e.cache[ctx].Value.(*cached).blocks = blocks
	e.used += blocks - residentBefore
	e.emitEvent(engineapi.BlocksStored, ctx.chain[residentBefore:blocks])
	for e.used > e.capacity {
		e.evict()
	}
	return blocks - residentBefore
}

func (e *engine) evict() {
	oldest := e.lru.Back()
	c := e.lru.Remove(oldest).(*cached)
	delete(e.cache, c.ctx)
	e.used -= c.blocks
	e.emitEvent(engineapi.BlocksRemoved, c.ctx.chain[:c.blocks])
}

func (e *engine) emitEvent(kind engineapi.EventKind, blocks []block.Hash) {
	e.seq++
	if e.onEvent != nil {
		e.onEvent(engineapi.CacheEvent{Seq: e.seq, Kind: kind, Blocks: blocks})
	}
}

func (e *engine) snapshot() engineapi.Snapshot {
	s := engineapi.Snapshot{Incarnation: 1, Seq: e.seq}
	for element := e.lru.Back(); element != nil; element = element.Prev() {
		c := element.Value.(*cached)
		s.Blocks = append(s.Blocks, c.ctx.chain[:c.blocks]...)
	}
	return s
}
