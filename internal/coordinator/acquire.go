package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/admission"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// longPollDuration is how long a coordinator holds one Acquire call of a peer before it
	// replies that the request still waits.
	longPollDuration = time.Second
	// longPollMargin is added to longPollDuration for the client's timeout.
	longPollMargin = time.Second
	// maxTimedOutPolls is how many consecutive calls may time out before the coordinator
	// counts as unreachable.
	maxTimedOutPolls = 2
	// releaseTimeout bounds the call that releases a grant. If the call is lost, the grant
	// expires at the coordinator.
	releaseTimeout = 2 * time.Second
)

// maxQueueMoves is how many times a request follows a queue that moves to another daemon.
const maxQueueMoves = 2

// Acquire implements gateway.Coordinators.
func (s *Service) Acquire(ctx context.Context, req gateway.AcquireRequest) (gateway.Grant, *request.Error) {
	grant, refusal := s.acquireOnce(ctx, req)
	for range maxQueueMoves {
		if refusal == nil || refusal.Code != request.CodeNotHolder {
			break
		}
		grant, refusal = s.acquireOnce(ctx, req)
	}
	return grant, refusal
}

// acquireOnce requests a grant from the current coordinator. If the coordinator is
// unreachable, this daemon decides instead, which is safe because the queue is a hashed
// assignment.
func (s *Service) acquireOnce(ctx context.Context, req gateway.AcquireRequest) (gateway.Grant, *request.Error) {
	m := s.coordinatorOf(req.Target)
	if s.isSelf(m) {
		return s.acquireFromSelf(ctx, req)
	}
	grant, refusal, err := s.acquireFromPeer(ctx, m, req)
	if err == nil {
		if refusal == nil {
			s.grants.add(req.Request, grant, m)
		}
		return grant, refusal
	}
	if ctx.Err() != nil {
		return gateway.Grant{}, errCallerGone()
	}
	s.log.Warn("Coordinator is unreachable; this daemon decides instead", "steward", m.Id, "target", req.Target, "error", err)
	return s.acquireFromSelf(ctx, req)
}

func (s *Service) acquireFromSelf(ctx context.Context, req gateway.AcquireRequest) (gateway.Grant, *request.Error) {
	self := s.opts.Members.Self()
	grant, refusal := s.acquireLocal(ctx, req, self.Id)
	if refusal == nil {
		s.grants.add(req.Request, grant, self)
	}
	return grant, refusal
}

func errCallerGone() *request.Error {
	return request.Refuse(request.CodeCancelled, http.StatusServiceUnavailable, 0, "the caller left")
}

// acquireFromPeer sends Acquire calls to a peer until it grants or refuses the request. It
// uses short long-poll calls, since a single long call over a connection that has stopped
// delivering data would block the request until its deadline. Repeating the call is
// idempotent: the coordinator identifies it by its request id.
func (s *Service) acquireFromPeer(ctx context.Context, m *peer.Member, req gateway.AcquireRequest) (gateway.Grant, *request.Error, error) {
	silent := 0
	for {
		resp, err := s.longPollAcquire(ctx, m, req)
		if err == nil && resp.Waiting {
			err = ctx.Err()
		}
		switch {
		case err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) && silent+1 < maxTimedOutPolls:
			silent++
			s.opts.Peers.Reset()
		case err != nil:
			s.cancelAtPeer(m, req)
			return gateway.Grant{}, nil, err
		case resp.Granted:
			grant := gateway.Grant{
				ID: resp.GrantId, Target: req.Target, Incarnation: resp.Incarnation, Priority: int(resp.Priority),
			}
			return grant, nil, nil
		case !resp.Waiting:
			return gateway.Grant{}, refusalOf(resp), nil
		default:
			silent = 0
		}
	}
}

// cancelAtPeer removes a request from a peer's queue. Between two long-poll calls the peer
// can not detect that the caller has disconnected: it would grant the request later, and
// the grant would occupy a slot until it expires.
func (s *Service) cancelAtPeer(m *peer.Member, req gateway.AcquireRequest) {
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, err := s.opts.Peers.Steward(m).Release(ctx, &peer.ReleaseRequest{
			Target: string(req.Target), RequestId: string(req.Request),
		})
		if err != nil {
			s.log.Debug("Cancelling a waiting request at the coordinator failed; the request or its grant will expire", "target", req.Target, "error", err)
		}
	})
}

func (s *Service) longPollAcquire(ctx context.Context, m *peer.Member, req gateway.AcquireRequest) (*peer.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollDuration+longPollMargin)
	defer cancel()
	resp, err := s.opts.Peers.Steward(m).Acquire(ctx, &peer.AcquireRequest{
		From:         s.opts.Members.Self().Id,
		RequestId:    string(req.Request),
		Target:       string(req.Target),
		Organisation: string(req.Org),
		PromptTokens: req.Tokens,
		DeadlineMs:   max(1, time.Until(req.Deadline).Milliseconds()),
		Suspect:      req.Suspect,
		Fingerprint:  string(req.Fingerprint),
	})
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return resp, err
}

func refusalOf(a *peer.AcquireResponse) *request.Error {
	return request.Refuse(request.Code(a.Refusal), http.StatusServiceUnavailable,
		time.Duration(a.RetryAfterMs)*time.Millisecond, "the target has no room for this request in time")
}

// acquireLocal enters a request into the queue of this daemon's actor and waits for the
// outcome.
func (s *Service) acquireLocal(ctx context.Context, req gateway.AcquireRequest, from string) (gateway.Grant, *request.Error) {
	grant, refusal, _ := s.acquireLocalUntil(ctx, req, from, nil)
	return grant, refusal
}

// acquireLocalUntil is like acquireLocal, but returns with waiting set when pollEnd fires.
func (s *Service) acquireLocalUntil(
	ctx context.Context, req gateway.AcquireRequest, from string, pollEnd <-chan time.Time,
) (g gateway.Grant, refusal *request.Error, waiting bool) {
	row, ok := s.opts.Tables.Current().Target(req.Target)
	if !ok {
		return gateway.Grant{}, errQueueMoved(), false
	}
	a := s.ensureActor(ctx, *row)
	reply := make(replyChan, 1)
	a.send(&submitMsg{req: s.admissionRequest(req, from), reply: reply})
	select {
	case action := <-reply:
		g, refusal = grantOf(action, a)
		return g, refusal, false
	case <-pollEnd:
		return gateway.Grant{}, nil, true
	case <-ctx.Done():
		a.send(&cancelMsg{id: req.Request})
		return gateway.Grant{}, errCallerGone(), false
	case <-a.quit:
		return gateway.Grant{}, errQueueMoved(), false
	}
}

// weightOf returns an organisation's weight in the sharing of a contended target.
func (s *Service) weightOf(id request.OrgID) int {
	if org, ok := s.opts.Tables.Current().Organisation(id); ok {
		return org.Weight
	}
	return 1
}

func (s *Service) admissionRequest(req gateway.AcquireRequest, from string) admission.Request {
	return admission.Request{
		ID:       req.Request,
		From:     request.DaemonID(from),
		Org:      req.Org,
		Weight:   s.weightOf(req.Org),
		Tokens:   req.Tokens,
		Deadline: req.Deadline,
		Suspect:  req.Suspect,

		Fingerprint: string(req.Fingerprint),
	}
}

func grantOf(action admission.Action, a *targetActor) (gateway.Grant, *request.Error) {
	switch action := action.(type) {
	case admission.Grant:
		return gateway.Grant{ID: action.ID, Target: a.row.ID, Incarnation: a.incarnation.Load(), Priority: action.Priority}, nil
	case admission.Refusal:
		return gateway.Grant{}, action.Err
	default:
		return gateway.Grant{}, errQueueMoved()
	}
}

// Release implements gateway.Coordinators. It does not wait for a peer.
//
// It releases the grant at the coordinator that issued it, not at the current one. While
// membership still lists a dead daemon as the coordinator, this daemon decides instead.
// Grants released at the dead daemon would occupy their slots here until they expire, and
// new requests would wait that long.
func (s *Service) Release(g gateway.Grant, r gateway.Release) {
	issuer, ok := s.grants.remove(g.ID)
	if !ok || s.isSelf(issuer) {
		s.releaseLocal(g, r)
		return
	}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, err := s.opts.Peers.Steward(issuer).Release(ctx, &peer.ReleaseRequest{
			GrantId:       g.ID,
			Target:        string(g.Target),
			PrefillTokens: r.PrefillTokens,
			TargetFailed:  r.TargetFailed,
		})
		if err != nil {
			s.log.Debug("Releasing a grant at its coordinator failed; the grant will expire", "target", g.Target, "error", err)
		}
	})
}

// cancelLocal removes a request that waits or holds a grant here.
func (s *Service) cancelLocal(t request.TargetID, id request.ID) {
	a, ok := s.findActor(t)
	if ok {
		a.send(&cancelMsg{id: id})
	}
}

func (s *Service) releaseLocal(g gateway.Grant, r gateway.Release) {
	a, ok := s.findActor(g.Target)
	if ok {
		a.send(&releaseMsg{grant: g.ID, outcome: admission.Outcome{PrefillTokens: r.PrefillTokens}})
	}
}
