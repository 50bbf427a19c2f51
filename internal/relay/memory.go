package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// DefaultOrgShare applies if Options.Memory sets no share for an organisation.
	DefaultOrgShare = 0.7
	// streamBytes are the buffers of one stream: those of the replica's and of the caller's connection, and an event.
	streamBytes = 2*eventBufferBytes + 16<<10
)

// MemoryState is what the daemon holds in memory for requests, for a state dump.
type MemoryState struct {
	Capacity      int64            `json:"capacity_bytes"` // zero: unlimited
	Held          map[string]int64 `json:"held_bytes"`     // by kind
	Organisations int              `json:"organisations"`  // for which bytes are held
	Refused       int64            `json:"bodies_refused"` // since the start
	Unbuffered    int64            `json:"answers_not_buffered"`
	SlowCallers   int64            `json:"slow_callers_closed"`
}

// budget is the memory that the daemon may hold for requests. It is safe for concurrent use.
type budget struct {
	metrics tally.Scope

	mu          sync.Mutex
	core        *memory.Budget
	refused     int64
	unbuffered  int64
	slowCallers int64
}

func newBudget(p memory.Params, metrics tally.Scope) *budget {
	if p.OrgShare <= 0 || p.OrgShare >= 1 {
		p.OrgShare = DefaultOrgShare
	}
	return &budget{core: memory.New(p), metrics: metrics}
}

// holding is a number of bytes taken from a budget. A nil holding holds nothing.
type holding struct {
	b *budget
	h memory.Hold
}

// release gives the bytes back. It may be called more than once.
func (h *holding) release() {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.core.Release(time.Now(), &h.h)
}

// oversize reports whether the bytes are held beside the capacity.
func (h *holding) oversize() bool {
	if h == nil {
		return false
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.h.Oversize()
}

// takeBody takes bytes for the body of a request and for the buffers of its stream, or returns a refusal.
func (b *budget) takeBody(j *Job, bytes int64) (*holding, *memory.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ask := memory.Ask{Org: j.OrgID(), Priority: j.Priority()}
	if j.Route.Kind == routing.KindStream {
		ask.Stream = streamBytes
	}
	h, refusal := b.core.TakeBody(time.Now(), ask, bytes)
	if refusal != nil {
		b.recordRefusal(refusal)
		return nil, refusal
	}
	return &holding{b: b, h: h}, nil
}

// growBody takes further bytes for a body, or returns a refusal.
func (b *budget) growBody(h *holding, more int64) *memory.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal := b.core.Grow(time.Now(), &h.h, more)
	if refusal != nil {
		b.recordRefusal(refusal)
	}
	return refusal
}

// GrowHead implements ingress.HeadBudget.
func (s *Server) GrowHead(h *memory.Hold, more int64) *memory.Refusal {
	b := s.memory
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal := b.core.GrowHead(time.Now(), h, more)
	if refusal != nil {
		b.metrics.Tagged(map[string]string{"reason": "head"}).Counter("memory_refused").Inc(1)
		refusal.RetryAfter = jittered(refusal.RetryAfter)
	}
	return refusal
}

// ReleaseHead implements ingress.HeadBudget.
func (s *Server) ReleaseHead(h *memory.Hold) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.core.Release(time.Now(), h)
}

func (b *budget) recordRefusal(refusal *memory.Refusal) {
	b.refused++
	b.metrics.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("memory_refused").Inc(1)
}

// takeAnswer takes bytes for a buffered answer. It returns nil if there is no room.
func (b *budget) takeAnswer(org request.OrgID, bytes int64) *holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.core.TakeAnswer(org, bytes)
	if !ok {
		b.recordUnbuffered()
		return nil
	}
	return &holding{b: b, h: h}
}

// growAnswer takes further bytes for a buffered answer. It returns false if there is no room.
func (b *budget) growAnswer(h *holding, more int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.GrowAnswer(&h.h, more) {
		return true
	}
	b.recordUnbuffered()
	return false
}

func (b *budget) recordUnbuffered() {
	b.unbuffered++
	b.metrics.Counter("answers_not_buffered").Inc(1)
}

// recordSlowCaller counts a caller whose connection was closed because it made no progress. phase is
// "body" or "answer".
func (b *budget) recordSlowCaller(phase string) {
	b.metrics.Tagged(map[string]string{"phase": phase}).Counter("slow_callers_closed").Inc(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowCallers++
}

func (b *budget) state() MemoryState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := MemoryState{
		Capacity: b.core.Params().Capacity, Held: map[string]int64{}, Organisations: b.core.Organisations(),
		Refused: b.refused, Unbuffered: b.unbuffered, SlowCallers: b.slowCallers,
	}
	for _, k := range memory.Kinds {
		s.Held[k.String()] = b.core.Held(k)
	}
	return s
}

// end ends a request: it gives its memory back, and counts and logs a caller that did not take its response.
func (s *Server) end(j *Job, out *progressWriter) {
	j.memory.release()
	if !out.stalled {
		return
	}
	s.memory.recordSlowCaller("answer")
	s.o.Logger.Info("A caller reads its response too slowly", "request", j.ID, "route", routeName(j), "after_ms", sinceMs(j.Start))
}

// Memory returns what the daemon holds in memory for requests, and updates the gauges.
func (s *Server) Memory() MemoryState {
	state := s.memory.state()
	for kind, bytes := range state.Held {
		s.o.Metrics.Tagged(map[string]string{"kind": kind}).Gauge("memory_held_bytes").Update(float64(bytes))
	}
	return state
}
