package engine

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// codeCancelled is the error code in the last frame of a cancelled stream.
const codeCancelled = "cancelled"

// stream is a request with the frames produced for it. Engine.mu guards it.
type stream struct {
	req          engineapi.CompletionRequest
	digest       promptDigest
	arrival      uint64
	chain        []block.Hash
	promptTokens int

	started      bool         // the request has entered the batch
	position     int          // number of prompt tokens that are computed or reused
	reusedTokens int          // number of prompt tokens that were reused from the cache
	heldBlocks   []block.Hash // cached blocks that the stream references

	frames   []engineapi.Frame
	changed  chan struct{} // closed at the next change of the stream
	done     bool
	finished time.Time
}

func newStream(req engineapi.CompletionRequest, arrival uint64) *stream {
	return &stream{
		req:          req,
		digest:       digestPrompt(req.Prompt),
		arrival:      arrival,
		chain:        block.Chain(req.CacheSalt, []byte(req.Prompt)),
		promptTokens: block.Tokens(len(req.Prompt)),
		changed:      make(chan struct{}),
	}
}

// compare orders streams by priority, then by arrival.
func (s *stream) compare(other *stream) int {
	if s.req.Priority != other.req.Priority {
		return s.req.Priority - other.req.Priority
	}
	return int(int64(s.arrival) - int64(other.arrival))
}

func (s *stream) prefilled() bool { return s.position >= s.promptTokens }

func (s *stream) appendFrame(f engineapi.Frame) {
	f.RequestID = s.req.RequestID
	f.Version = s.req.Version
	f.Seq = len(s.frames)
	s.frames = append(s.frames, f)
	close(s.changed)
	s.changed = make(chan struct{})
}

// emitToken appends the next output token, and the last frame after the last token.
func (s *stream) emitToken(now time.Time) {
	s.appendFrame(engineapi.Frame{Text: s.digest.token(len(s.frames))})
	if len(s.frames) < s.req.MaxTokens {
		return
	}
	s.finish(now, &engineapi.Usage{
		PromptTokens: s.promptTokens,
		CachedTokens: s.reusedTokens,
		OutputTokens: s.req.MaxTokens,
	}, nil)
}

func (s *stream) finish(now time.Time, usage *engineapi.Usage, failure *engineapi.Error) {
	s.done = true
	s.finished = now
	s.appendFrame(engineapi.Frame{Done: true, Usage: usage, Error: failure})
}

func insertSorted(list []*stream, s *stream) []*stream {
	i, _ := slices.BinarySearchFunc(list, s, (*stream).compare)
	return slices.Insert(list, i, s)
}

// acceptLocked queues a request, or returns the existing stream of the same request. A
// retry of a request that failed on this replica runs again.
func (e *Engine) acceptLocked(req engineapi.CompletionRequest) (*stream, *engineapi.Error) {
	if old := e.streams[req.RequestID]; old != nil && !old.failed() {
		if old.req != req {
			return nil, newError(engineapi.CodeBadRequest, "request id is in use for another request")
		}
		return old, nil
	}
	if req.Model != e.state.Model || req.Version != e.state.Version {
		return nil, newError(engineapi.CodeWrongVersion, "loaded is "+string(e.state.Model)+" "+string(e.state.Version))
	}
	if len(e.queue) >= e.opts.MaxQueued {
		return nil, newError(engineapi.CodeBusy, "queue is full")
	}
	e.arrivals++
	s := newStream(req, e.arrivals)
	e.streams[req.RequestID] = s
	e.queue = insertSorted(e.queue, s)
	e.stats.Accepted++
	if e.switches.Status().Leaving {
		e.stats.AcceptedWhileLeaving++
	}
	return s, nil
}

func (s *stream) failed() bool {
	return s.done && s.frames[len(s.frames)-1].Error != nil
}

// cancelLocked cancels a stream. The blocks that the stream computed stay cached.
func (e *Engine) cancelLocked(s *stream) {
	if s.done {
		return
	}
	s.finish(time.Now(), nil, &engineapi.Error{
		Code:    codeCancelled,
		Message: "cancelled by its caller",
		Started: s.started,
	})
	e.removeDoneLocked()
}

// removeDoneLocked removes finished streams from the queue and the batch.
func (e *Engine) removeDoneLocked() {
	done := func(s *stream) bool { return s.done }
	for _, s := range e.running {
		if s.done {
			e.cache.release(s.heldBlocks)
			s.heldBlocks = nil
		}
	}
	e.running = slices.DeleteFunc(e.running, done)
	e.queue = slices.DeleteFunc(e.queue, done)
}

// expireStreamsLocked drops streams that finished more than StreamRetention ago.
func (e *Engine) expireStreamsLocked(now time.Time) {
	for id, s := range e.streams {
		if s.done && now.Sub(s.finished) > e.opts.StreamRetention {
			delete(e.streams, id)
			delete(e.swappedFrames, id)
		}
	}
}

// swapFrameLocked returns the frame to send instead of f on the connection of s. If a swap
// is due, this is the newest frame of another running stream, which later sends f instead
// of its own frame. Both frames retain their request ids, as they would if a real engine
// confused two streams.
func (e *Engine) swapFrameLocked(s *stream, f engineapi.Frame) engineapi.Frame {
	id := s.req.RequestID
	if owed, ok := e.swappedFrames[id]; ok {
		delete(e.swappedFrames, id)
		return owed
	}
	other := e.otherRunningLocked(s)
	if other == nil || !e.switches.TakeSwappedFrame() {
		return f
	}
	e.swappedFrames[other.req.RequestID] = f
	return other.frames[len(other.frames)-1]
}

func (e *Engine) otherRunningLocked(s *stream) *stream {
	for _, other := range e.running {
		if other != s && len(other.frames) > 0 {
			return other
		}
	}
	return nil
}

func newError(code, message string) *engineapi.Error {
	return &engineapi.Error{Code: code, Message: message}
}
