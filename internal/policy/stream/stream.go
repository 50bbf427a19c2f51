// Package stream assembles the frames of one answer.
//
// A target's frames may arrive late, twice, out of order or belong to another answer, and
// its connection may close or become idle. An Assembler emits each frame of its request
// once and in order, decides when and from which frame to resume, and ends with the
// complete answer or an error.
//
// The package is pure: it uses no clock, I/O, goroutines or randomness. An Assembler is
// not safe for concurrent use.
package stream

import (
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Defaults of Params.
const (
	DefaultReorderWindow = 64
	DefaultGapTimeout    = 100 * time.Millisecond
	DefaultIdleTimeout   = 2 * time.Second
	DefaultMaxResumes    = 3
)

// Params describes the expected answer. Zero values select the defaults above.
type Params struct {
	RequestID request.ID
	Version   request.Version // requested weight version; empty: the version of the first frame
	// ReorderWindow is the number of sequence numbers, from the next expected one on, whose
	// frames the Assembler accepts.
	ReorderWindow int
	// GapTimeout is how long the Assembler waits for a missing frame before it resumes.
	GapTimeout time.Duration
	// IdleTimeout is the longest time without progress.
	IdleTimeout time.Duration
	// FirstFrameTimeout replaces IdleTimeout before the first frame, which waits for the
	// queue and the prefill. Zero: IdleTimeout.
	FirstFrameTimeout time.Duration
	// MaxResumes bounds the number of consecutive resumes without progress.
	MaxResumes int
	// Deadline is the time by which the answer must be complete. Zero: none.
	Deadline time.Time
}

// Action is a decision that the user of the Assembler executes: Emit, Resume, Finish or
// Fail. No action follows Finish or Fail.
type Action interface{ isAction() }

// Emit forwards the text of one frame to the caller.
type Emit struct {
	Seq  int
	Text string
}

// Resume requests the frames from a sequence number on from the target, over a new
// connection. If the request fails, the user calls OnDisconnect. Frames of the old
// connection may still arrive.
type Resume struct {
	From   int
	Reason Reason
}

// Finish ends a complete answer.
type Finish struct {
	Usage engineapi.Usage
}

// Fail ends an incomplete answer with an error.
type Fail struct {
	Err *request.Error
}

func (Emit) isAction()   {}
func (Resume) isAction() {}
func (Finish) isAction() {}
func (Fail) isAction()   {}

// Reason is the reason for resuming a stream.
type Reason string

// The reasons of Resume.
const (
	ReasonGap          Reason = "gap"
	ReasonDisconnected Reason = "cut"
	ReasonIdle         Reason = "silent"
)

// Dropped counts frames that the Assembler discarded.
type Dropped struct {
	Foreign      int // frames of another request
	WrongVersion int // frames of another weight version, after the first frame
	Duplicate    int // frames that were already received
	BeyondWindow int // frames beyond the reorder window
	AfterEnd     int // frames after Finish or Fail
}

// Assembler assembles the frames of one answer.
type Assembler struct {
	params       Params
	version      request.Version
	next         int // sequence number of the next frame to emit
	buffer       map[int]engineapi.Frame
	lastProgress time.Time // time of the last frame in order or of the last resume
	gapSince     time.Time // zero: buffer is empty
	resuming     bool      // a resume was requested and no progress made since
	resumes      int       // consecutive resumes without progress
	totalResumes int       // resumes of the whole answer
	ended        bool
	dropped      Dropped
}

// New returns an Assembler for a request that is sent at now.
func New(now time.Time, p Params) *Assembler {
	if p.ReorderWindow <= 0 {
		p.ReorderWindow = DefaultReorderWindow
	}
	if p.GapTimeout <= 0 {
		p.GapTimeout = DefaultGapTimeout
	}
	if p.IdleTimeout <= 0 {
		p.IdleTimeout = DefaultIdleTimeout
	}
	if p.FirstFrameTimeout <= 0 {
		p.FirstFrameTimeout = p.IdleTimeout
	}
	if p.MaxResumes <= 0 {
		p.MaxResumes = DefaultMaxResumes
	}
	return &Assembler{params: p, version: p.Version, buffer: make(map[int]engineapi.Frame), lastProgress: now}
}

// Started reports whether the first frame was accepted in order. Until then the request may
// be retried on another target; afterwards, another target's answer would not continue
// this one.
func (a *Assembler) Started() bool { return a.next > 0 }

// Next returns the sequence number of the next frame to emit.
func (a *Assembler) Next() int { return a.next }

// Ended reports whether the Assembler returned Finish or Fail.
func (a *Assembler) Ended() bool { return a.ended }

// Resumes returns the number of resumes of the answer.
func (a *Assembler) Resumes() int { return a.totalResumes }

// Dropped returns the counts of discarded frames.
func (a *Assembler) Dropped() Dropped { return a.dropped }

// OnFrame handles a frame from any connection of this request.
func (a *Assembler) OnFrame(now time.Time, f engineapi.Frame) []Action {
	if a.ended {
		a.dropped.AfterEnd++
		return nil
	}
	// A target or connection that mixes up answers delivers frames of another request.
	// The Assembler never emits them and does not count them as progress, so a stream
	// that consists only of such frames becomes idle and is resumed.
	if f.RequestID != a.params.RequestID {
		a.dropped.Foreign++
		return nil
	}
	if f.Seq < a.next || a.buffered(f.Seq) {
		a.dropped.Duplicate++
		return nil
	}
	if f.Seq >= a.next+a.params.ReorderWindow {
		a.dropped.BeyondWindow++
		return a.resume(now, ReasonGap)
	}
	// An error before the first frame may come from an engine with another version. The
	// engine's error is more specific than a version mismatch, so it takes precedence.
	if a.version != "" && f.Version != a.version && f.Error == nil {
		return a.rejectVersion(f)
	}
	a.buffer[f.Seq] = f
	return a.flush(now)
}

// OnDisconnect handles a connection that closed before the end of the answer, or a resume
// that failed.
func (a *Assembler) OnDisconnect(now time.Time) []Action {
	if a.ended {
		return nil
	}
	a.resuming = false
	return a.resume(now, ReasonDisconnected)
}

// Tick checks the deadline, the idle timeout and the gap timeout.
func (a *Assembler) Tick(now time.Time) []Action {
	switch {
	case a.ended:
		return nil
	case !a.params.Deadline.IsZero() && !now.Before(a.params.Deadline):
		return a.fail(request.CodeDeadline, http.StatusGatewayTimeout, "the answer was not whole by its deadline")
	case now.Sub(a.lastProgress) >= a.idleTimeout():
		a.resuming = false
		return a.resume(now, ReasonIdle)
	case !a.gapSince.IsZero() && now.Sub(a.gapSince) >= a.params.GapTimeout:
		return a.resume(now, ReasonGap)
	}
	return nil
}

// NextTick returns the time at which Tick next has to run if no event arrives before.
func (a *Assembler) NextTick() time.Time {
	at := a.lastProgress.Add(a.idleTimeout())
	if gap := a.gapSince.Add(a.params.GapTimeout); !a.gapSince.IsZero() && !a.resuming && gap.Before(at) {
		at = gap
	}
	if d := a.params.Deadline; !d.IsZero() && d.Before(at) {
		at = d
	}
	return at
}

func (a *Assembler) idleTimeout() time.Duration {
	if a.next == 0 {
		return a.params.FirstFrameTimeout
	}
	return a.params.IdleTimeout
}

func (a *Assembler) buffered(seq int) bool {
	_, ok := a.buffer[seq]
	return ok
}

// rejectVersion fails an answer of another weight version before its first byte. A run
// keeps its version even if the target swaps weights, so a later frame with another
// version does not belong to this answer and is dropped.
func (a *Assembler) rejectVersion(f engineapi.Frame) []Action {
	if a.next > 0 {
		a.dropped.WrongVersion++
		return nil
	}
	a.ended = true
	return []Action{Fail{Err: &request.Error{
		Code: request.CodeWrongVersion, Status: http.StatusBadGateway, Ran: request.DidRun,
		Message: "target answered with version " + string(f.Version) + ", wanted " + string(a.version),
	}}}
}

// flush emits the buffered frames that are next in order.
func (a *Assembler) flush(now time.Time) []Action {
	var actions []Action
	for {
		f, ok := a.buffer[a.next]
		if !ok {
			break
		}
		delete(a.buffer, a.next)
		a.next++
		a.recordProgress(now)
		if a.version == "" {
			a.version = f.Version
		}
		if f.Error != nil {
			return append(actions, a.failWithEngineError(f.Error))
		}
		if f.Text != "" {
			actions = append(actions, Emit{Seq: f.Seq, Text: f.Text})
		}
		if f.Done {
			return append(actions, a.finish(f))
		}
	}
	switch {
	case len(a.buffer) == 0:
		a.gapSince = time.Time{}
	case a.gapSince.IsZero() || len(actions) > 0:
		a.gapSince = now
	}
	return actions
}

func (a *Assembler) recordProgress(now time.Time) {
	a.lastProgress = now
	a.resuming = false
	a.resumes = 0
}

// resume requests the remaining frames, unless a previous resume is still pending.
func (a *Assembler) resume(now time.Time, reason Reason) []Action {
	if a.resuming {
		return nil
	}
	if a.resumes >= a.params.MaxResumes {
		return a.fail(request.CodeTruncatedStream, http.StatusBadGateway, "the target's stream ended early and could not be resumed")
	}
	a.resuming = true
	a.resumes++
	a.totalResumes++
	a.lastProgress = now
	a.gapSince = time.Time{}
	return []Action{Resume{From: a.next, Reason: reason}}
}

func (a *Assembler) finish(f engineapi.Frame) Action {
	a.ended = true
	var usage engineapi.Usage
	if f.Usage != nil {
		usage = *f.Usage
	}
	return Finish{Usage: usage}
}

// fail ends the answer with an error. Whether the target ran the request is in doubt
// unless the first frame has arrived.
func (a *Assembler) fail(code request.Code, status int, message string) []Action {
	a.ended = true
	ran := request.InDoubt
	if a.next > 0 {
		ran = request.DidRun
	}
	return []Action{Fail{Err: &request.Error{Code: code, Status: status, Message: message, Ran: ran}}}
}

// failWithEngineError ends the answer with the request.Error for an engine's error. It
// reports that the request did not run only if the engine's error is the first frame and
// states that the run had not started.
func (a *Assembler) failWithEngineError(e *engineapi.Error) Action {
	a.ended = true
	err := &request.Error{Code: request.CodeTargetFailed, Status: http.StatusBadGateway, Message: e.Message, Ran: request.DidRun}
	if !e.Started && a.next <= 1 {
		err.Ran = request.NotRun
	}
	switch e.Code {
	case engineapi.CodeWrongVersion:
		err.Code = request.CodeWrongVersion
	case engineapi.CodeBusy:
		err.Code, err.Status = request.CodeOverloaded, http.StatusServiceUnavailable
	case engineapi.CodeLeaving:
		err.Code, err.Status = request.CodeNoTarget, http.StatusServiceUnavailable
	case engineapi.CodeBadRequest:
		err.Code, err.Status = request.CodeBadRequest, http.StatusBadRequest
	}
	return Fail{Err: err}
}
