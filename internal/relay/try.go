package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// outcome says how far a try came, which decides what may follow.
type outcome int

const (
	answered  outcome = iota // the replica's answer is there to be delivered
	notSent                  // nothing of it reached the replica
	notRun                   // the replica surely did not run it
	mayHave                  // nobody can tell whether it ran
	failed                   // it ran, and the replica answered an error of its own
	callerEnd                // the caller left or the time is up
)

func (o outcome) String() string {
	return [...]string{"answered", "not_sent", "not_run", "may_have_run", "failed", "ended"}[o]
}

// try is one sending of a job.
type try struct {
	placement *Placement
	response  *upstream.Response
	answer    Answer
	body      []byte // of an answer that is read whole before it is delivered
	cancel    context.CancelFunc
	timer     *time.Timer // of giveUpUnbegun, nil if there is none
	outcome   outcome
	err       error
	begun     atomic.Bool // the first event came, or the whole answer
	overdue   atomic.Bool // given up since it had not begun by Placement.BeginBy
}

// first notes that the prompt has been computed.
func (t *try) first() {
	if t.begun.Swap(true) {
		return
	}
	t.placement.Flight.Computed()
	if t.placement.First != nil {
		t.placement.First()
	}
}

// giveUpUnbegun ends the try at BeginBy unless it has begun.
func (t *try) giveUpUnbegun() {
	by := t.placement.BeginBy
	if by.IsZero() {
		return
	}
	t.timer = time.AfterFunc(time.Until(by), func() {
		if !t.begun.Load() {
			t.overdue.Store(true)
			t.cancel()
		}
	})
}

// done gives back the connection and the place.
func (t *try) done(complete bool) {
	if t.response != nil {
		t.response.Done(complete)
	}
	t.cancel()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.placement.Flight.End()
	if t.placement.Ended != nil {
		t.placement.Ended(t.outcome != notRun && t.outcome != notSent)
	}
}

// maxWholeBody bounds the answers that are read whole before they are delivered, so that
// one that breaks off can still become a retry or a clean error. Longer ones are passed
// on as they come.
const maxWholeBody = 256 << 10

// send makes one try. The answer of a stream is not read yet.
func (s *Server) send(ctx context.Context, j *Job, p *Placement) *try {
	ctx, cancel := context.WithCancel(ctx)
	t := &try{placement: p, cancel: cancel}
	p.Send.Replica = p.Replica.Info().ID
	p.Send.Org = j.OrgID()
	p.Send.TimeLeft = time.Until(j.Deadline)
	t.giveUpUnbegun()
	p.Replica.Health.BeginAttempt()
	t.response, t.err = p.Replica.Pool.Do(ctx, &upstream.Request{
		Method: j.Method, URI: j.URI, Host: j.Host, Body: j.Body,
		Header: s.o.Dialect.Outgoing(j.Header, p.Send),
		Mine:   func(h http.Header) bool { return s.o.Dialect.Answer(0, h).ID == string(j.ID) },
	})
	if t.err != nil {
		t.outcome = s.unanswered(ctx, p, t.err)
		if t.overdue.Load() && t.outcome == callerEnd {
			t.outcome = mayHave
		}
		return t
	}
	t.answer = s.o.Dialect.Answer(t.response.Status, t.response.Header)
	s.noteSignals(t)
	t.outcome = s.judge(j, t)
	if t.outcome == answered || t.outcome == failed {
		s.readWhole(ctx, j, t)
	}
	s.note(j, t)
	return t
}

// unanswered turns an error of the connection into an outcome.
func (s *Server) unanswered(ctx context.Context, p *Placement, err error) outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil:
		p.Replica.Health.RecordAbandoned()
		return notSent
	case errors.Is(err, upstream.ErrUnreachable):
		p.Replica.RecordUnreachable(time.Now())
		return notSent
	case errors.Is(err, upstream.ErrNotSent):
		p.Replica.Health.RecordFailure(time.Now())
		return notSent
	case ctx.Err() != nil:
		p.Replica.Health.RecordAbandoned()
		return callerEnd
	default:
		p.Replica.Health.RecordFailure(time.Now())
		return mayHave
	}
}

// judge reads the head of an answer. A success that the replica does not vouch for is no
// answer: a faulty replica sends bytes that belong to nobody.
func (s *Server) judge(j *Job, t *try) outcome {
	status := t.response.Status
	switch {
	case t.answer.NotRun:
		return notRun
	case status >= 200 && status < 300 && (!t.answer.Signed || t.response.Header.Get("Content-Encoding") != ""):
		return mayHave
	case status >= 500:
		return failed
	default:
		return answered
	}
}

// readWhole reads a short answer to its end, so that one that breaks off is known before
// a byte of it has gone to the caller.
func (s *Server) readWhole(ctx context.Context, j *Job, t *try) {
	r := t.response
	if t.outcome == answered && isStream(r.Header) || r.ContentLength > maxWholeBody {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWholeBody+1))
	switch {
	case err == nil && len(body) > maxWholeBody:
		r.Body = io.MultiReader(newReader(body), r.Body)
	case err == nil:
		t.body = body
		if t.body == nil {
			t.body = []byte{}
		}
	case ctx.Err() != nil:
		t.outcome, t.err = callerEnd, err
	default:
		t.outcome, t.err = mayHave, err
	}
}

// note tells the replica's health of the outcome.
func (s *Server) note(j *Job, t *try) {
	r := t.placement.Replica
	if j.Model != "" && t.answer.Weights > 0 {
		r.ObserveWeights(j.Model, t.answer.Weights)
	}
	switch t.outcome {
	case answered:
		r.RecordAnswer(time.Now(), false)
	case notRun:
		r.RecordAnswer(time.Now(), false)
		if j.Model != "" {
			r.RecordRefusal(time.Now())
		}
	case failed:
		r.RecordAnswer(time.Now(), true)
	case mayHave:
		r.Health.RecordFailure(time.Now())
	case callerEnd:
		r.Health.RecordAbandoned()
	}
}
