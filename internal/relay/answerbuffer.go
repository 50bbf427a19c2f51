package relay

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/framing"
)

// errNoMemory means that an answer is not buffered for want of memory.
var errNoMemory = errors.New("relay: no memory to buffer an answer")

// keepBody keeps a body that was read to its end, unless the end may not be that of the response.
func (s *Server) keepBody(ctx context.Context, j *Job, a *attempt, body []byte) {
	if err := s.confirmEnd(ctx, j, a, framing.Framing{ByConnection: true}); err != nil {
		a.outcome, a.err = mayHaveRun, err
		return
	}
	a.body = body
}

// bufferBody reads a short response completely, so that truncation is detected before any byte
// has been sent to the caller. A response for which there is no memory is passed on unbuffered.
func (s *Server) bufferBody(ctx context.Context, j *Job, a *attempt) {
	r := a.response
	if a.outcome == answered && isStream(r.Header) || r.ContentLength > maxBufferedBody {
		return
	}
	size := r.ContentLength
	if size < 0 {
		size = firstChunkBytes
	}
	held := s.memory.takeAnswer(j.OrgID(), size)
	if held == nil {
		return
	}
	a.memory = held
	body, err := readAll(r.Body, max(size, 1), maxBufferedBody, func(more int64) error {
		if !s.memory.growAnswer(held, more) {
			return errNoMemory
		}
		return nil
	})
	switch {
	case err == nil:
		s.keepBody(ctx, j, a, body)
	case errors.Is(err, errNoMemory), errors.Is(err, errLimitReached):
		r.Body = io.MultiReader(bytes.NewReader(body), r.Body)
	case ctx.Err() != nil:
		a.outcome, a.err = cancelled, err
	default:
		a.outcome, a.err = mayHaveRun, err
	}
}
