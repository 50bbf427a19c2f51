package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/monotime"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// outcome is the result of an attempt. It decides whether the request may be retried.
type outcome int

const (
	answered   outcome = iota // the replica's response is ready to be delivered
	notSent                   // no byte of the request reached the replica
	notRun                    // the replica stated that it did not run the request
	mayHaveRun                // it is unknown whether the request ran
	failed                    // the request ran and the replica returned an error
	unpromised                // the replica refused without stating that it did not run the request
	cancelled                 // the caller disconnected or the deadline passed
)

func (o outcome) String() string {
	return [...]string{"answered", "not_sent", "not_run", "may_have_run", "failed", "unpromised", "ended"}[o]
}

// attempt is one transmission of a job to a replica.
type attempt struct {
	placement    *Placement
	peer         *Peer // the daemon to which the request was forwarded; nil: it was sent to a replica
	response     *upstream.Response
	meta         ResponseMeta
	body         []byte   // complete response body if it was buffered, otherwise nil
	memory       *holding // of body
	cancel       context.CancelFunc
	startTimer   *time.Timer // of cancelUnlessStarted, nil without a StartDeadline
	outcome      outcome
	err          error
	sentAt       time.Time
	firstEventAt monotime.Instant // of a stream
	started      atomic.Bool      // the first event or the complete response has arrived
	startOverdue atomic.Bool      // cancelled because it had not started by Placement.StartDeadline
}

// recordFirstEvent records that the replica has computed the prompt.
func (a *attempt) recordFirstEvent() {
	if a.started.Swap(true) {
		return
	}
	a.firstEventAt.Set(time.Now())
	a.placement.Flight.Computed()
	if a.placement.OnFirstEvent != nil {
		a.placement.OnFirstEvent()
	}
}

// cancelUnlessStarted schedules the cancellation of the attempt at its StartDeadline.
func (a *attempt) cancelUnlessStarted() {
	by := a.placement.StartDeadline
	if by.IsZero() {
		return
	}
	a.startTimer = time.AfterFunc(time.Until(by), func() {
		if !a.started.Load() {
			a.startOverdue.Store(true)
			a.cancel()
		}
	})
}

// release returns the connection to its pool and ends the flight and the placement.
func (a *attempt) release(complete bool) {
	if a.response != nil {
		a.response.Done(complete)
	}
	a.cancel()
	a.memory.release()
	if a.startTimer != nil {
		a.startTimer.Stop()
	}
	a.placement.Flight.End()
	if a.placement.OnEnd != nil {
		a.placement.OnEnd(a.outcome != notRun && a.outcome != notSent)
	}
	if a.peer != nil {
		a.peer.End(a.peerUnable())
	}
}

// peerUnable reports whether the daemon to which the request was forwarded could not serve it for a reason of its own.
func (a *attempt) peerUnable() bool {
	if a.outcome != notSent {
		return false
	}
	var refusal *request.Error
	return !errors.As(a.err, &refusal) || isUnable(refusal.Code)
}

// recordFailure records that the response broke off.
func (a *attempt) recordFailure() {
	if a.peer == nil {
		a.placement.Replica.Health.RecordFailure(time.Now())
		a.placement.Replica.Pool.AskAgain()
	}
}

// maxBufferedBody bounds the responses that are buffered before delivery, so that a truncated
// response can still become a retry or a clean error. Longer responses are streamed to the caller.
const maxBufferedBody = 256 << 10

// send makes one attempt. It leaves the body of a stream unread.
func (s *Server) send(ctx context.Context, j *Job, p *Placement) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{placement: p, cancel: cancel, sentAt: time.Now()}
	if j.firstSentAt.IsZero() {
		j.firstSentAt = a.sentAt
	}
	p.Meta.Replica = p.Replica.Info().ID
	p.Meta.Org = j.OrgID()
	p.Meta.TimeLeft = time.Until(j.Deadline)
	a.cancelUnlessStarted()
	p.Replica.Health.BeginAttempt()
	if p.Stream != nil {
		p.Stream.Sent(time.Now())
	}
	a.response, a.err = p.Replica.Pool.Do(ctx, &upstream.Request{
		Method: j.Method, URI: j.URI, Host: j.Host, Body: j.Body,
		Header:  s.o.Dialect.AttemptHeader(j.Header, p.Meta),
		Matches: func(h http.Header) bool { return s.o.Dialect.ParseResponse(0, h).ID == string(j.ID) },
		Confirm: j.confirmation(p.Replica),
	})
	if a.err != nil {
		a.outcome = s.classifyError(ctx, p, a.err)
		if a.startOverdue.Load() && a.outcome == cancelled {
			a.outcome = mayHaveRun
		}
		return a
	}
	a.meta = s.o.Dialect.ParseResponse(a.response.Status, a.response.Header)
	s.applySignals(a)
	a.outcome = s.classifyResponse(j, a)
	if a.outcome == answered || a.outcome == failed || a.outcome == unpromised {
		s.bufferBody(ctx, j, a)
	}
	s.updateReplica(j, a)
	return a
}

// classifyError maps a connection error to an outcome.
func (s *Server) classifyError(ctx context.Context, p *Placement, err error) outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil:
		p.Replica.Health.RecordAbandoned()
		return notSent
	case errors.Is(err, upstream.ErrUnconfirmed):
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
		return cancelled
	default:
		p.Replica.Health.RecordFailure(time.Now())
		return mayHaveRun
	}
}

// classifyResponse maps the status and headers of a response to an outcome. A success without the
// replica's signature is not accepted: a faulty replica may send bytes that belong to no request.
func (s *Server) classifyResponse(j *Job, a *attempt) outcome {
	status := a.response.Status
	switch {
	case a.meta.NotRun:
		return notRun
	case promisesNotRun(status) && !j.Route.Repeatable():
		return unpromised
	case status >= 200 && status < 300 && (!a.meta.Signed || a.response.Header.Get("Content-Encoding") != ""):
		return mayHaveRun
	case status >= 500:
		return failed
	default:
		return answered
	}
}

// errNotStream means that a replica answered a request that resumes a stream with something else.
var errNotStream = errors.New("relay: the answer to a resumed stream is no stream")

// rejectUnlessStream turns an answer that can't continue a stream which the caller already receives into a failure.
func (a *attempt) rejectUnlessStream() {
	continues := a.outcome == answered && a.response.Status == http.StatusOK && isStream(a.response.Header)
	if continues || a.outcome != answered && a.outcome != failed {
		return
	}
	a.outcome, a.err = failed, errors.Wrapf(errNotStream, "status %d", a.response.Status)
}

// promisesNotRun reports whether callers take the status as a promise that the request did not run. A replica that
// uses it without stating so has made no such promise: passed on, it would let a call run twice.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// updateReplica records what the attempt revealed about the replica: its weight version, its health
// and refusals.
func (s *Server) updateReplica(j *Job, a *attempt) {
	r := a.placement.Replica
	if j.Model != "" && a.meta.WeightsVersion > 0 {
		r.ObserveWeights(j.Model, a.meta.WeightsVersion)
	}
	switch a.outcome {
	case answered:
		r.RecordAnswer(time.Now(), false)
	case notRun:
		r.RecordNotRun(time.Now())
		if j.Model != "" || r.IsBrittle() && a.response.Status != http.StatusMisdirectedRequest {
			r.RecordRefusal(time.Now())
		}
	case failed:
		r.RecordAnswer(time.Now(), true)
	case unpromised:
		r.RecordAnswer(time.Now(), a.response.Status >= 500)
	case mayHaveRun:
		r.Health.RecordFailure(time.Now())
	case cancelled:
		r.Health.RecordAbandoned()
	}
}
