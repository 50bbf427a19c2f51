package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/stream"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// frameRing is how many frames may wait between the connection and the caller.
const frameRing = 32

// pump moves the frames of one try from the target to the caller. A goroutine reads
// the connection; the pump's own asks the assembler what to do, so that silence and
// gaps are noticed while the connection blocks.
type pump struct {
	g        *Gateway
	j        *Job
	out      *sink
	client   *target.Client
	attempt  request.ID
	assemble *stream.Assembler
	reading  *reading
	wrote    bool
}

// reading is one connection being read.
type reading struct {
	source *target.Stream
	frames chan engineapi.Frame
	err    error // set before frames is closed
	cancel context.CancelFunc
}

func newPump(g *Gateway, j *Job, out *sink, client *target.Client, attempt request.ID, source *target.Stream) *pump {
	p := &pump{
		g:       g,
		j:       j,
		out:     out,
		client:  client,
		attempt: attempt,
		assemble: stream.New(time.Now(), stream.Params{
			RequestID:         attempt,
			Version:           j.context.Scope.Version,
			IdleTimeout:       g.opts.StreamIdleTimeout,
			FirstFrameTimeout: g.opts.FirstFrameTimeout,
			MaxResumes:        g.opts.MaxResumes,
		}),
	}
	p.read(source)
	return p
}

// read starts reading a connection in place of the former one.
func (p *pump) read(source *target.Stream) {
	ctx, cancel := context.WithCancel(p.j.ctx)
	r := &reading{source: source, frames: make(chan engineapi.Frame, frameRing), cancel: cancel}
	p.reading = r
	go func() {
		defer close(r.frames)
		for {
			f, err := source.Next(ctx)
			if err != nil {
				r.err = err
				return
			}
			select {
			case r.frames <- f:
			case <-ctx.Done():
				r.err = ctx.Err()
				return
			}
		}
	}()
}

// stopReading ends the present connection and waits for its goroutine.
func (p *pump) stopReading() {
	if p.reading == nil {
		return
	}
	p.reading.cancel()
	if p.reading.source != nil {
		p.reading.source.Close()
	}
	for range p.reading.frames {
		continue
	}
	p.reading = nil
}

// run relays until the answer is whole (nil) or the try has failed.
func (p *pump) run(sent time.Time) *tryError {
	defer p.stopReading()
	for {
		actions := p.next()
		if p.j.ctx.Err() != nil {
			return &tryError{answer: cancelled(request.DidRun), final: true}
		}
		done, failure := p.apply(actions, sent)
		if done || failure != nil {
			return failure
		}
	}
}

// next waits for a frame, the end of the connection, or the assembler's next deadline.
func (p *pump) next() []stream.Action {
	timer := time.NewTimer(time.Until(p.assemble.NextTick()))
	defer timer.Stop()
	var frames chan engineapi.Frame
	if p.reading != nil {
		frames = p.reading.frames
	}
	select {
	case f, ok := <-frames:
		if !ok {
			return p.connectionEnded()
		}
		return p.assemble.OnFrame(time.Now(), f)
	case <-timer.C:
		return p.assemble.Tick(time.Now())
	case <-p.j.ctx.Done():
		return nil
	}
}

func (p *pump) connectionEnded() []stream.Action {
	err := p.reading.err
	p.stopReading()
	// A connection that something in between has lost track of stays open and silent
	// for ever, while new ones work. It shows as a stream without frames. All pooled
	// connections to the target are as old and are thrown away with it; the stream goes
	// on over a fresh one, so a caller sees a pause and no loss.
	if errors.Is(err, target.ErrSilent) {
		p.client.ResetConnections()
	}
	return p.assemble.OnDisconnect(time.Now())
}

func (p *pump) apply(actions []stream.Action, sent time.Time) (done bool, failure *tryError) {
	for _, a := range actions {
		switch a := a.(type) {
		case stream.Emit:
			if failure := p.emit(a); failure != nil {
				return false, failure
			}
		case stream.Resume:
			p.resume(a)
		case stream.Finish:
			p.finish(a.Usage, sent)
			return true, nil
		case stream.Fail:
			return false, p.failed(a.Err)
		}
	}
	return false, nil
}

func (p *pump) emit(e stream.Emit) *tryError {
	if !p.wrote {
		p.wrote = true
		p.g.stats.firstToken.RecordDuration(time.Since(p.j.arrived))
	}
	err := p.out.text(e.Text, p.j.context.Scope.Version)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDiverged):
		failure := p.failed(&request.Error{Code: request.CodeTruncatedStream, Status: http.StatusBadGateway, Ran: request.DidRun,
			Message: "the answer could not be completed", RetryAfter: retryTargetFailed})
		failure.final = true
		return failure
	default:
		return &tryError{answer: cancelled(request.DidRun), final: true}
	}
}

// resume asks the target for the rest over a new connection. A failure shows as a
// connection that has ended.
func (p *pump) resume(r stream.Resume) {
	p.g.stats.resumed.Inc(1)
	if r.Reason == stream.ReasonIdle {
		p.client.ResetConnections()
	}
	p.stopReading()
	source, err := p.client.Resume(p.j.ctx, p.attempt, r.From)
	if err != nil {
		p.g.log.Debug("Stream was not resumed", "request", p.j.id, "error", err)
		p.reading = endedReading(err)
		return
	}
	p.read(source)
}

// endedReading stands for a connection that never came about.
func endedReading(err error) *reading {
	r := &reading{frames: make(chan engineapi.Frame), err: err, cancel: func() {}}
	close(r.frames)
	return r
}

// finish ends a whole answer.
func (p *pump) finish(u engineapi.Usage, sent time.Time) {
	p.j.output = int64(u.OutputTokens)
	p.j.prefilled = int64(u.PromptTokens - u.CachedTokens)
	p.g.stats.cached.Inc(int64(u.CachedTokens))
	p.g.stats.prompt.Inc(int64(u.PromptTokens))
	p.out.done(u)
	p.g.learn(p.j, u, p.out.firstAt.Sub(sent))
}

func (p *pump) failed(e *request.Error) *tryError {
	p.g.log.Warn("Stream failed", "target", p.j.choice.Target.ID, "request", p.j.id, "error", e)
	if e.RetryAfter == 0 {
		e.RetryAfter = retryTargetFailed
	}
	return &tryError{answer: e}
}
