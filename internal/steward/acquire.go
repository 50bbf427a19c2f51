package steward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/admission"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// stewardSlack is how much longer than the deadline a peer's answer is waited for.
	stewardSlack = time.Second
	// releaseTimeout bounds the message that ends a grant; a lost one lapses by itself.
	releaseTimeout = 2 * time.Second
)

// Acquire implements gateway.Stewards. If the steward can not be asked, this daemon
// decides by itself: the queue's place is soft.
func (s *Service) Acquire(ctx context.Context, ask gateway.Ask) (gateway.Grant, *request.Error) {
	m := s.steward(ask.Target)
	grant, refusal := s.acquireFrom(ctx, m, ask)
	if refusal == nil {
		s.granted.add(ask.Request, grant)
	}
	return grant, refusal
}

func (s *Service) acquireFrom(ctx context.Context, m *peer.Member, ask gateway.Ask) (gateway.Grant, *request.Error) {
	self := s.opts.Members.Self().Id
	if s.isSelf(m) {
		return s.acquireHere(ctx, ask, self)
	}
	grant, refusal, err := s.acquireAt(ctx, m, ask)
	if err == nil {
		return grant, refusal
	}
	if ctx.Err() != nil {
		return gateway.Grant{}, gaveUp()
	}
	s.log.Warn("Steward was not reached. This daemon decides.", "steward", m.Id, "target", ask.Target, "error", err)
	return s.acquireHere(ctx, ask, self)
}

func gaveUp() *request.Error {
	return request.Refuse(request.CodeCancelled, http.StatusServiceUnavailable, 0, "the caller left")
}

func (s *Service) acquireAt(ctx context.Context, m *peer.Member, ask gateway.Ask) (gateway.Grant, *request.Error, error) {
	ctx, cancel := context.WithDeadline(ctx, ask.Deadline.Add(stewardSlack))
	defer cancel()
	answer, err := s.opts.Peers.Steward(m).Acquire(ctx, &peer.AcquireRequest{
		From:         s.opts.Members.Self().Id,
		RequestId:    string(ask.Request),
		Target:       string(ask.Target),
		Organisation: string(ask.Org),
		PromptTokens: ask.Tokens,
		DeadlineMs:   max(1, time.Until(ask.Deadline).Milliseconds()),
		Suspect:      ask.Suspect,
	})
	if err != nil {
		return gateway.Grant{}, nil, err
	}
	if !answer.Granted {
		return gateway.Grant{}, refusalOf(answer), nil
	}
	return gateway.Grant{ID: answer.GrantId, Target: ask.Target}, nil, nil
}

func refusalOf(a *peer.AcquireResponse) *request.Error {
	return request.Refuse(request.Code(a.Refusal), http.StatusServiceUnavailable,
		time.Duration(a.RetryAfterMs)*time.Millisecond, "the target has no room for this request in time")
}

// acquireHere enters an ask into the queue of this daemon's keeper and waits.
func (s *Service) acquireHere(ctx context.Context, ask gateway.Ask, from string) (gateway.Grant, *request.Error) {
	row, ok := s.opts.Tables.Current().Target(ask.Target)
	if !ok {
		return gateway.Grant{}, errMoved()
	}
	k := s.keeper(ctx, *row)
	answer := make(answerTo, 1)
	k.send(&submitMsg{ask: s.coreAsk(ask, from), answer: answer})
	select {
	case a := <-answer:
		return grantOf(a, ask.Target)
	case <-ctx.Done():
		k.send(&cancelMsg{id: ask.Request})
		return gateway.Grant{}, gaveUp()
	case <-k.quit:
		return gateway.Grant{}, errMoved()
	}
}

func (s *Service) coreAsk(ask gateway.Ask, from string) admission.Ask {
	weight := 1
	if org, ok := s.opts.Tables.Current().Organisation(ask.Org); ok {
		weight = org.Weight
	}
	return admission.Ask{
		ID:       ask.Request,
		From:     request.DaemonID(from),
		Org:      ask.Org,
		Weight:   weight,
		Tokens:   ask.Tokens,
		Deadline: ask.Deadline,
		Suspect:  ask.Suspect,
	}
}

func grantOf(a admission.Action, id request.TargetID) (gateway.Grant, *request.Error) {
	switch a := a.(type) {
	case admission.Grant:
		return gateway.Grant{ID: a.ID, Target: id}, nil
	case admission.Refuse:
		return gateway.Grant{}, a.Err
	default:
		return gateway.Grant{}, errMoved()
	}
}

// Release implements gateway.Stewards. It does not wait for a peer.
func (s *Service) Release(g gateway.Grant, r gateway.Release) {
	s.granted.remove(g.ID)
	m := s.steward(g.Target)
	if s.isSelf(m) {
		s.releaseHere(g, r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, err := s.opts.Peers.Steward(m).Release(ctx, &peer.ReleaseRequest{
			GrantId:       g.ID,
			Target:        string(g.Target),
			PrefillTokens: r.PrefillTokens,
			TargetFailed:  r.TargetFailed,
		})
		if err != nil {
			s.log.Debug("Release was not taken. The grant lapses.", "target", g.Target, "error", err)
		}
	}()
}

func (s *Service) releaseHere(g gateway.Grant, r gateway.Release) {
	s.mu.Lock()
	k, ok := s.keepers[g.Target]
	s.mu.Unlock()
	if ok {
		k.send(&releaseMsg{grant: g.ID, outcome: admission.Outcome{PrefillTokens: r.PrefillTokens}, failed: r.TargetFailed})
	}
}

// grantBook remembers the grants that peers gave to this daemon, for renewal.
type grantBook struct {
	mu     sync.Mutex
	grants map[string]bookedGrant
}

type bookedGrant struct {
	request request.ID
	target  request.TargetID
	renewed time.Time
}

func newGrantBook() *grantBook { return &grantBook{grants: map[string]bookedGrant{}} }

func (b *grantBook) add(id request.ID, g gateway.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants[g.ID] = bookedGrant{request: id, target: g.Target, renewed: time.Now()}
}

func (b *grantBook) remove(grant string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.grants, grant)
}

// due returns the requests whose grants should be renewed now, by target.
func (b *grantBook) due(now time.Time) map[request.TargetID][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[request.TargetID][]string{}
	for id, g := range b.grants {
		if now.Sub(g.renewed) < grantTTL/3 {
			continue
		}
		g.renewed = now
		b.grants[id] = g
		out[g.target] = append(out[g.target], string(g.request))
	}
	return out
}

func (s *Service) renewHere(id request.TargetID, requests []string) {
	s.mu.Lock()
	k, ok := s.keepers[id]
	s.mu.Unlock()
	if !ok {
		return
	}
	ids := make([]request.ID, 0, len(requests))
	for _, r := range requests {
		ids = append(ids, request.ID(r))
	}
	k.send(&renewMsg{ids: ids})
}

// renewGrants keeps the grants of long requests alive, one message a target.
func (s *Service) renewGrants(ctx context.Context) {
	for id, requests := range s.granted.due(time.Now()) {
		m := s.steward(id)
		if s.isSelf(m) {
			s.renewHere(id, requests)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			_, err := s.opts.Peers.Steward(m).Renew(ctx, &peer.RenewRequest{
				From: s.opts.Members.Self().Id, Target: string(id), RequestIds: requests,
			})
			if err != nil {
				s.log.Debug("Grants were not renewed.", "target", id, "error", err)
			}
		}()
	}
}
