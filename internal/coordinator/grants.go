package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// grantRegistry records the grants that this daemon's requests hold, and the daemons that
// issued them.
type grantRegistry struct {
	mu     sync.Mutex
	grants map[string]heldGrant
}

type heldGrant struct {
	request request.ID
	target  request.TargetID
	issuer  *peer.Member
	renewed time.Time
}

func newGrantRegistry() *grantRegistry { return &grantRegistry{grants: map[string]heldGrant{}} }

func (r *grantRegistry) add(id request.ID, g gateway.Grant, issuer *peer.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants[g.ID] = heldGrant{request: id, target: g.Target, issuer: issuer, renewed: time.Now()}
}

// remove deletes a grant and returns the daemon that issued it.
func (r *grantRegistry) remove(grant string) (*peer.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.grants[grant]
	delete(r.grants, grant)
	return g.issuer, ok
}

// renewalKey identifies the grants of one target that one daemon issued.
type renewalKey struct {
	target request.TargetID
	issuer string
}

// takeDue returns the requests whose grants are due for renewal, with their issuers by id,
// and marks these grants as renewed.
func (r *grantRegistry) takeDue(now time.Time) (map[renewalKey][]string, map[string]*peer.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := map[renewalKey][]string{}
	issuers := map[string]*peer.Member{}
	for id, g := range r.grants {
		if now.Sub(g.renewed) < grantTTL/3 {
			continue
		}
		g.renewed = now
		r.grants[id] = g
		key := renewalKey{target: g.target, issuer: g.issuer.Id}
		requests[key] = append(requests[key], string(g.request))
		issuers[g.issuer.Id] = g.issuer
	}
	return requests, issuers
}

// renewGrants renews the grants of long-running requests, with one call for each target
// and issuer.
func (s *Service) renewGrants(ctx context.Context) {
	due, issuers := s.grants.takeDue(time.Now())
	for key, requests := range due {
		issuer := issuers[key.issuer]
		if s.isSelf(issuer) {
			s.renewLocal(key.target, requests)
			continue
		}
		s.tasks.Go(func() { s.renewAtPeer(ctx, issuer, key.target, requests) })
	}
}

func (s *Service) renewAtPeer(ctx context.Context, issuer *peer.Member, id request.TargetID, requests []string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := s.opts.Peers.Steward(issuer).Renew(ctx, &peer.RenewRequest{
		From: s.opts.Members.Self().Id, Target: string(id), RequestIds: requests,
	})
	if err != nil {
		s.log.Debug("Renewing grants at their coordinator failed", "target", id, "error", err)
	}
}

func (s *Service) renewLocal(id request.TargetID, requests []string) {
	a, ok := s.findActor(id)
	if !ok {
		return
	}
	ids := make([]request.ID, 0, len(requests))
	for _, r := range requests {
		ids = append(ids, request.ID(r))
	}
	a.send(&renewMsg{ids: ids})
}
