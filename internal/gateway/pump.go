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

// frameBuffer is the number of frames that are buffered between the connection and the
// caller.
const frameBuffer = 32

// pump relays the frames of one attempt from the target to the caller. A separate
// goroutine reads the connection, while the pump's goroutine passes frames and timeouts
// to the assembler, so that idle streams and missing frames are detected while the
// connection blocks.
type pump struct {
	g         *Gateway
	j         *Job
	out       *sink
	client    *target.Client
	attempt   request.ID
	assembler *stream.Assembler
	reader    *streamReader
	wrote     bool
}

// streamReader holds the state of a connection that is being read.
type streamReader struct {
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
		assembler: stream.New(time.Now(), stream.Params{
			RequestID:         attempt,
			Version:           j.context.Scope.Version,
			IdleTimeout:       g.opts.StreamIdleTimeout,
			FirstFrameTimeout: g.opts.FirstFrameTimeout,
			MaxResumes:        g.opts.MaxResumes,
		}),
	}
	p.startReading(source)
	return p
}

// startReading starts a goroutine that reads source in place of the previous connection.
func (p *pump) startReading(source *target.Stream) {
	ctx, cancel := context.WithCancel(p.j.ctx)
	r := &streamReader{source: source, frames: make(chan engineapi.Frame, frameBuffer), cancel: cancel}
	p.reader = r
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

// stopReading closes the current connection and waits for its goroutine.
func (p *pump) stopReading() {
	if p.reader == nil {
		return
	}
	p.reader.cancel()
	if p.reader.source != nil {
		p.reader.source.Close()
	}
	for range p.reader.frames {
		continue
	}
	p.reader = nil
}

// run relays frames until the answer is complete (nil) or the attempt has failed.
func (p *pump) run(sent time.Time) *attemptError {
	defer p.stopReading()
	for {
		actions := p.next()
		if p.j.ctx.Err() != nil {
			return &attemptError{answer: cancelled(request.DidRun), final: true}
		}
		done, failure := p.apply(actions, sent)
		if done || failure != nil {
			return failure
		}
	}
}

// next waits for a frame, the end of the connection, or the assembler's next deadline.
func (p *pump) next() []stream.Action {
	timer := time.NewTimer(time.Until(p.assembler.NextTick()))
	defer timer.Stop()
	var frames chan engineapi.Frame
	if p.reader != nil {
		frames = p.reader.frames
	}
	select {
	case f, ok := <-frames:
		if !ok {
			return p.onConnectionEnd()
		}
		return p.assembler.OnFrame(time.Now(), f)
	case <-timer.C:
		return p.assembler.Tick(time.Now())
	case <-p.j.ctx.Done():
		return nil
	}
}

func (p *pump) onConnectionEnd() []stream.Action {
	err := p.reader.err
	p.stopReading()
	// If a middlebox has dropped the state of a connection, the connection stays open but
	// delivers nothing, while new connections work. The symptom is a stream without
	// frames. The other pooled connections to the target are as old and are closed, too.
	// The stream is resumed over a new connection, so the caller sees a pause and no loss.
	if errors.Is(err, target.ErrTimeout) {
		p.client.ResetConnections()
	}
	return p.assembler.OnDisconnect(time.Now())
}

func (p *pump) apply(actions []stream.Action, sent time.Time) (done bool, failure *attemptError) {
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
			return false, p.fail(a.Err)
		}
	}
	return false, nil
}

func (p *pump) emit(e stream.Emit) *attemptError {
	if !p.wrote {
		p.wrote = true
		p.g.stats.firstToken.RecordDuration(time.Since(p.j.arrived))
	}
	err := p.out.writeText(e.Text, p.j.context.Scope.Version)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDiverged):
		failure := p.fail(&request.Error{Code: request.CodeTruncatedStream, Status: http.StatusBadGateway, Ran: request.DidRun,
			Message: "the answer could not be completed", RetryAfter: retryTargetFailed})
		failure.final = true
		return failure
	default:
		return &attemptError{answer: cancelled(request.DidRun), final: true}
	}
}

// resume requests the remaining frames from the target over a new connection. If that
// fails, the pump gets a reader whose connection has already ended.
func (p *pump) resume(r stream.Resume) {
	p.g.stats.resumed.Inc(1)
	if r.Reason == stream.ReasonIdle {
		p.client.ResetConnections()
	}
	p.stopReading()
	source, err := p.client.Resume(p.j.ctx, p.attempt, r.From)
	if err != nil {
		p.g.log.Debug("Could not resume a stream", "request", p.j.id, "error", err)
		p.reader = failedReader(err)
		return
	}
	p.startReading(source)
}

// failedReader returns a reader for a connection that could not be established.
func failedReader(err error) *streamReader {
	r := &streamReader{frames: make(chan engineapi.Frame), err: err, cancel: func() {}}
	close(r.frames)
	return r
}

// finish completes an answer and reports its usage.
func (p *pump) finish(u engineapi.Usage, sent time.Time) {
	p.j.outputTokens = int64(u.OutputTokens)
	p.j.prefillTokens = int64(u.PromptTokens - u.CachedTokens)
	p.g.stats.cached.Inc(int64(u.CachedTokens))
	p.g.stats.prompt.Inc(int64(u.PromptTokens))
	p.out.finish(u)
	p.g.reportAnswer(p.j, u, p.out.firstTextAt.Sub(sent))
}

func (p *pump) fail(e *request.Error) *attemptError {
	p.g.log.Warn("Stream failed", "target", p.j.choice.Target.ID, "request", p.j.id, "error", e)
	if e.RetryAfter == 0 {
		e.RetryAfter = retryTargetFailed
	}
	return &attemptError{answer: e}
}
