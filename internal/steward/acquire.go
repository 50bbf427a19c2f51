package steward

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
	// acquireLeg is how long a steward holds one question of a peer before it says that
	// the request still waits.
	acquireLeg = time.Second
	// legSlack is how much longer than that a peer's answer is waited for.
	legSlack = time.Second
	// maxSilentLegs is how many questions in a row may stay unanswered.
	maxSilentLegs = 2
	// releaseTimeout bounds the message that ends a grant; a lost one lapses by itself.
	releaseTimeout = 2 * time.Second
)

// maxMoves is how many times an ask follows a queue that moves to another daemon.
const maxMoves = 2

// Acquire implements gateway.Stewards.
func (s *Service) Acquire(ctx context.Context, ask gateway.AcquireRequest) (gateway.Grant, *request.Error) {
	grant, refusal := s.acquireOnce(ctx, ask)
	for range maxMoves {
		if refusal == nil || refusal.Code != request.CodeNotHolder {
			break
		}
		grant, refusal = s.acquireOnce(ctx, ask)
	}
	return grant, refusal
}

// acquireOnce asks the present steward. If it can not be asked, this daemon decides by
// itself: the queue's place is soft.
func (s *Service) acquireOnce(ctx context.Context, ask gateway.AcquireRequest) (gateway.Grant, *request.Error) {
	m := s.steward(ask.Target)
	if s.isSelf(m) {
		return s.acquireSelf(ctx, ask)
	}
	grant, refusal, err := s.acquireAt(ctx, m, ask)
	if err == nil {
		if refusal == nil {
			s.granted.add(ask.Request, grant, m)
		}
		return grant, refusal
	}
	if ctx.Err() != nil {
		return gateway.Grant{}, gaveUp()
	}
	s.log.Warn("Steward was not reached; this daemon decides", "steward", m.Id, "target", ask.Target, "error", err)
	return s.acquireSelf(ctx, ask)
}

func (s *Service) acquireSelf(ctx context.Context, ask gateway.AcquireRequest) (gateway.Grant, *request.Error) {
	self := s.opts.Members.Self()
	grant, refusal := s.acquireHere(ctx, ask, self.Id)
	if refusal == nil {
		s.granted.add(ask.Request, grant, self)
	}
	return grant, refusal
}

func gaveUp() *request.Error {
	return request.Refuse(request.CodeCancelled, http.StatusServiceUnavailable, 0, "the caller left")
}

// acquireAt asks a peer until it grants or refuses. The question is cut into short
// ones: over a connection that has gone silent a long one would hold the request until
// its deadline. Asking again is harmless, since an ask is known by its request.
func (s *Service) acquireAt(ctx context.Context, m *peer.Member, ask gateway.AcquireRequest) (gateway.Grant, *request.Error, error) {
	silent := 0
	for {
		answer, err := s.acquireLegAt(ctx, m, ask)
		if err == nil && answer.Waiting {
			err = ctx.Err()
		}
		switch {
		case err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) && silent+1 < maxSilentLegs:
			silent++
			s.opts.Peers.Reset()
		case err != nil:
			s.withdraw(m, ask)
			return gateway.Grant{}, nil, err
		case answer.Granted:
			grant := gateway.Grant{
				ID: answer.GrantId, Target: ask.Target, Incarnation: answer.Incarnation, Priority: int(answer.Priority),
			}
			return grant, nil, nil
		case !answer.Waiting:
			return gateway.Grant{}, refusalOf(answer), nil
		default:
			silent = 0
		}
	}
}

// withdraw ends an ask at a peer that is no longer wanted. Between two questions nobody
// there sees the caller leave: the ask would be granted later and hold a place until it
// lapses.
func (s *Service) withdraw(m *peer.Member, ask gateway.AcquireRequest) {
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, err := s.opts.Peers.Steward(m).Release(ctx, &peer.ReleaseRequest{
			Target: string(ask.Target), RequestId: string(ask.Request),
		})
		if err != nil {
			s.log.Debug("Ask was not withdrawn; it lapses", "target", ask.Target, "error", err)
		}
	})
}

func (s *Service) acquireLegAt(ctx context.Context, m *peer.Member, ask gateway.AcquireRequest) (*peer.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireLeg+legSlack)
	defer cancel()
	answer, err := s.opts.Peers.Steward(m).Acquire(ctx, &peer.AcquireRequest{
		From:         s.opts.Members.Self().Id,
		RequestId:    string(ask.Request),
		Target:       string(ask.Target),
		Organisation: string(ask.Org),
		PromptTokens: ask.Tokens,
		DeadlineMs:   max(1, time.Until(ask.Deadline).Milliseconds()),
		Suspect:      ask.Suspect,
		Fingerprint:  string(ask.Fingerprint),
	})
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return answer, err
}

func refusalOf(a *peer.AcquireResponse) *request.Error {
	return request.Refuse(request.Code(a.Refusal), http.StatusServiceUnavailable,
		time.Duration(a.RetryAfterMs)*time.Millisecond, "the target has no room for this request in time")
}

// acquireHere enters an ask into the queue of this daemon's keeper and waits.
func (s *Service) acquireHere(ctx context.Context, ask gateway.AcquireRequest, from string) (gateway.Grant, *request.Error) {
	grant, refusal, _ := s.acquireWithin(ctx, ask, from, nil)
	return grant, refusal
}

// acquireWithin is acquireHere, but says that the ask still waits when leg fires.
func (s *Service) acquireWithin(
	ctx context.Context, ask gateway.AcquireRequest, from string, leg <-chan time.Time,
) (g gateway.Grant, refusal *request.Error, waiting bool) {
	row, ok := s.opts.Tables.Current().Target(ask.Target)
	if !ok {
		return gateway.Grant{}, errMoved(), false
	}
	k := s.keeper(ctx, *row)
	answer := make(answerTo, 1)
	k.send(&submitMsg{ask: s.coreAsk(ask, from), answer: answer})
	select {
	case a := <-answer:
		g, refusal = grantOf(a, k)
		return g, refusal, false
	case <-leg:
		return gateway.Grant{}, nil, true
	case <-ctx.Done():
		k.send(&cancelMsg{id: ask.Request})
		return gateway.Grant{}, gaveUp(), false
	case <-k.quit:
		return gateway.Grant{}, errMoved(), false
	}
}

// weightOf returns an organisation's share of a contended target.
func (s *Service) weightOf(id request.OrgID) int {
	if org, ok := s.opts.Tables.Current().Organisation(id); ok {
		return org.Weight
	}
	return 1
}

func (s *Service) coreAsk(ask gateway.AcquireRequest, from string) admission.Request {
	return admission.Request{
		ID:       ask.Request,
		From:     request.DaemonID(from),
		Org:      ask.Org,
		Weight:   s.weightOf(ask.Org),
		Tokens:   ask.Tokens,
		Deadline: ask.Deadline,
		Suspect:  ask.Suspect,

		Fingerprint: string(ask.Fingerprint),
	}
}

func grantOf(a admission.Action, k *keeper) (gateway.Grant, *request.Error) {
	switch a := a.(type) {
	case admission.Grant:
		return gateway.Grant{ID: a.ID, Target: k.row.ID, Incarnation: k.incarnation.Load(), Priority: a.Priority}, nil
	case admission.Refusal:
		return gateway.Grant{}, a.Err
	default:
		return gateway.Grant{}, errMoved()
	}
}

// Release implements gateway.Stewards. It does not wait for a peer.
//
// The grant goes back to the steward that gave it, not to the one that has the place
// now. While a dead daemon is still taken for the steward, this daemon decides in its
// stead: grants given back to the dead one would keep their places here until they
// lapse, and new requests would wait that long.
func (s *Service) Release(g gateway.Grant, r gateway.Release) {
	giver, ok := s.granted.remove(g.ID)
	if !ok || s.isSelf(giver) {
		s.releaseHere(g, r)
		return
	}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, err := s.opts.Peers.Steward(giver).Release(ctx, &peer.ReleaseRequest{
			GrantId:       g.ID,
			Target:        string(g.Target),
			PrefillTokens: r.PrefillTokens,
			TargetFailed:  r.TargetFailed,
		})
		if err != nil {
			s.log.Debug("Release was not taken; the grant lapses", "target", g.Target, "error", err)
		}
	})
}

// cancelHere forgets a request that waits or is granted here.
func (s *Service) cancelHere(t request.TargetID, id request.ID) {
	k, ok := s.existing(t)
	if ok {
		k.send(&cancelMsg{id: id})
	}
}

func (s *Service) releaseHere(g gateway.Grant, r gateway.Release) {
	k, ok := s.existing(g.Target)
	if ok {
		k.send(&releaseMsg{grant: g.ID, outcome: admission.Outcome{PrefillTokens: r.PrefillTokens}})
	}
}
