package engine

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// codeCancelled is the code of a stream's last frame after a cancel.
const codeCancelled = "cancelled"

// stream is one request with its frames so far. Engine.mu guards it.
type stream struct {
	req          engineapi.CompletionRequest
	digest       promptDigest
	arrival      uint64
	chain        []block.Hash
	promptTokens int // of the prompt

	started      bool         // has entered the batch
	position     int          // prompt tokens in place
	reusedTokens int          // of those, not computed here
	heldBlocks   []block.Hash // cached blocks in use

	frames   []engineapi.Frame
	changed  chan struct{} // closed at the next change
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

// compare orders streams by priority, then arrival.
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

// emitToken adds the next output token, and the last frame after the last token.
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

// acceptLocked queues a request, or returns the stream that an equal request has. A
// repeat of a request that failed here runs anew.
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

// cancelLocked ends a stream. What it computed stays in the cache.
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

// removeDoneLocked takes finished streams out of queue and batch.
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

// expireStreamsLocked drops streams that finished long ago.
func (e *Engine) expireStreamsLocked(now time.Time) {
	for id, s := range e.streams {
		if s.done && now.Sub(s.finished) > e.opts.StreamRetention {
			delete(e.streams, id)
			delete(e.swappedFrames, id)
		}
	}
}

// swapFrameLocked returns the frame to send in place of f on s's connection: while a swap
// is ordered, the newest frame of another open stream, which later gets f instead of
// one of its own. Both keep their own request id, as a mix-up in a real engine would.
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
