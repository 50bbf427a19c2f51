// Package stream assembles the frames of one answer.
//
// Frames of a target may come late, twice, out of order, or belong to another answer;
// a connection may be cut or go silent. An Assembler lets through what belongs to its
// request, in order and once, says when and from where to resume, and ends in the
// whole answer or in an error.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. An Assembler
// is not safe for concurrent use.
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

// Params describes the answer that is expected. Zero values take the defaults above.
type Params struct {
	RequestID request.ID
	Version   request.Version // wanted weight version; empty: any, fixed by the first frame
	// ReorderWindow is how many frames beyond the next one are kept.
	ReorderWindow int
	// GapTimeout is how long a missing frame may be late.
	GapTimeout time.Duration
	// IdleTimeout is the longest time without progress.
	IdleTimeout time.Duration
	// FirstFrameTimeout is the same for the first frame, which waits for the queue and
	// the prefill. Zero: Silence.
	FirstFrameTimeout time.Duration
	// MaxResumes bounds the resumes without progress between them.
	MaxResumes int
	// Deadline is when the whole answer must be there. Zero: none.
	Deadline time.Time
}

// Action is a decision for the caller to carry out: Emit, Resume, Finish or Fail.
// After Finish or Fail there is none.
type Action interface{ isAction() }

// Emit passes the text of one frame on to the caller.
type Emit struct {
	Seq  int
	Text string
}

// Resume asks the target for the frames from a sequence on, over a new connection.
// Report with OnCut if that fails. Frames of the old connection may still come.
type Resume struct {
	From   int
	Reason Reason
}

// Finish ends the whole answer.
type Finish struct {
	Usage engineapi.Usage
}

// Fail ends the answer without it being whole.
type Fail struct {
	Err *request.Error
}

func (Emit) isAction()   {}
func (Resume) isAction() {}
func (Finish) isAction() {}
func (Fail) isAction()   {}

// Reason says why a stream is resumed.
type Reason string

// The reasons of Resume.
const (
	ReasonGap          Reason = "gap"
	ReasonDisconnected Reason = "cut"
	ReasonIdle         Reason = "silent"
)

// Dropped counts frames that were not passed on.
type Dropped struct {
	Foreign      int // of another request
	WrongVersion int // of another weight version, after the first frame
	Duplicate    int // seen before
	BeyondWindow int // too far ahead
	AfterEnd     int // after the end
}

// Assembler puts one answer together.
type Assembler struct {
	params   Params
	version  request.Version
	next     int // sequence that is passed on next
	buffer   map[int]engineapi.Frame
	progress time.Time // last frame passed on, or last resume
	gapSince time.Time // zero: nothing waits in buffer
	resuming bool      // a resume was asked for and nothing came since
	resumes  int       // without progress
	total    int       // resumes in all
	ended    bool
	dropped  Dropped
}

// New returns an assembler for a request that is sent now.
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
	return &Assembler{params: p, version: p.Version, buffer: make(map[int]engineapi.Frame), progress: now}
}

// Started reports whether any frame was passed on. Before that the request may go to
// another target; after it, another target's answer would not continue this one.
func (a *Assembler) Started() bool { return a.next > 0 }

// Next returns the sequence of the frame that is passed on next.
func (a *Assembler) Next() int { return a.next }

// Ended reports whether Finish or Fail was returned.
func (a *Assembler) Ended() bool { return a.ended }

// Resumes returns how many resumes were asked for.
func (a *Assembler) Resumes() int { return a.total }

// Dropped returns the counts of frames that were not passed on.
func (a *Assembler) Dropped() Dropped { return a.dropped }

// OnFrame takes a frame from any connection of this request.
func (a *Assembler) OnFrame(now time.Time, f engineapi.Frame) []Action {
	if a.ended {
		a.dropped.AfterEnd++
		return nil
	}
	// A target or a connection that mixes up answers shows as frames of another
	// request. They are never passed on and are no progress, so that a stream of
	// nothing else counts as silent and is resumed.
	if f.RequestID != a.params.RequestID {
		a.dropped.Foreign++
		return nil
	}
	if f.Seq < a.next || a.kept(f.Seq) {
		a.dropped.Duplicate++
		return nil
	}
	if f.Seq >= a.next+a.params.ReorderWindow {
		a.dropped.BeyondWindow++
		return a.resume(now, ReasonGap)
	}
	// A failure before the first frame may come from an engine that has another
	// version; its own error says more than the version does.
	if a.version != "" && f.Version != a.version && f.Error == nil {
		return a.otherVersion(f)
	}
	a.buffer[f.Seq] = f
	return a.flush(now)
}

// OnDisconnect is told that the connection ended before the answer, or that a resume failed.
func (a *Assembler) OnDisconnect(now time.Time) []Action {
	if a.ended {
		return nil
	}
	a.resuming = false
	return a.resume(now, ReasonDisconnected)
}

// Tick checks the deadline, the progress and the oldest gap.
func (a *Assembler) Tick(now time.Time) []Action {
	switch {
	case a.ended:
		return nil
	case !a.params.Deadline.IsZero() && !now.Before(a.params.Deadline):
		return a.fail(request.CodeDeadline, http.StatusGatewayTimeout, "the answer was not whole by its deadline")
	case now.Sub(a.progress) >= a.silence():
		a.resuming = false
		return a.resume(now, ReasonIdle)
	case !a.gapSince.IsZero() && now.Sub(a.gapSince) >= a.params.GapTimeout:
		return a.resume(now, ReasonGap)
	}
	return nil
}

// NextTick returns when Tick has something to do if nothing else happens.
func (a *Assembler) NextTick() time.Time {
	at := a.progress.Add(a.silence())
	if gap := a.gapSince.Add(a.params.GapTimeout); !a.gapSince.IsZero() && !a.resuming && gap.Before(at) {
		at = gap
	}
	if d := a.params.Deadline; !d.IsZero() && d.Before(at) {
		at = d
	}
	return at
}

func (a *Assembler) silence() time.Duration {
	if a.next == 0 {
		return a.params.FirstFrameTimeout
	}
	return a.params.IdleTimeout
}

func (a *Assembler) kept(seq int) bool {
	_, ok := a.buffer[seq]
	return ok
}

// otherVersion refuses an answer by another weight version before its first byte. A
// run that began keeps its version even if the target swaps weights, so a later frame
// with another one is not of this answer.
func (a *Assembler) otherVersion(f engineapi.Frame) []Action {
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

// flush passes on the frames that are next in order.
func (a *Assembler) flush(now time.Time) []Action {
	var actions []Action
	for {
		f, ok := a.buffer[a.next]
		if !ok {
			break
		}
		delete(a.buffer, a.next)
		a.next++
		a.progressed(now)
		if a.version == "" {
			a.version = f.Version
		}
		if f.Error != nil {
			return append(actions, a.failed(f.Error))
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

func (a *Assembler) progressed(now time.Time) {
	a.progress = now
	a.resuming = false
	a.resumes = 0
}

// resume asks for the rest, once until something comes of it.
func (a *Assembler) resume(now time.Time, reason Reason) []Action {
	if a.resuming {
		return nil
	}
	if a.resumes >= a.params.MaxResumes {
		return a.fail(request.CodeTruncatedStream, http.StatusBadGateway, "the target's stream ended early and could not be resumed")
	}
	a.resuming = true
	a.resumes++
	a.total++
	a.progress = now
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

// fail ends the answer. Whether the target ran the request is not known unless some
// of the answer has come.
func (a *Assembler) fail(code request.Code, status int, message string) []Action {
	a.ended = true
	ran := request.InDoubt
	if a.next > 0 {
		ran = request.DidRun
	}
	return []Action{Fail{Err: &request.Error{Code: code, Status: status, Message: message, Ran: ran}}}
}

// failed turns an engine's error into the layer's own. Only the engine's word that it
// did not start, as the first frame, allows to say that the request did not run.
func (a *Assembler) failed(e *engineapi.Error) Action {
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
