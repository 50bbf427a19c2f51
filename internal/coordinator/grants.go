package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// grantBook remembers the grants that this daemon's requests hold, and who gave them.
type grantBook struct {
	mu     sync.Mutex
	grants map[string]bookedGrant
}

type bookedGrant struct {
	request request.ID
	target  request.TargetID
	giver   *peer.Member
	renewed time.Time
}

func newGrantBook() *grantBook { return &grantBook{grants: map[string]bookedGrant{}} }

func (b *grantBook) add(id request.ID, g gateway.Grant, giver *peer.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants[g.ID] = bookedGrant{request: id, target: g.Target, giver: giver, renewed: time.Now()}
}

// remove forgets a grant and returns who gave it.
func (b *grantBook) remove(grant string) (*peer.Member, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.grants[grant]
	delete(b.grants, grant)
	return g.giver, ok
}

// renewal is the grants of one target that one steward gave.
type renewal struct {
	target request.TargetID
	giver  string
}

// due returns the requests whose grants should be renewed now.
func (b *grantBook) due(now time.Time) (map[renewal][]string, map[string]*peer.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests := map[renewal][]string{}
	givers := map[string]*peer.Member{}
	for id, g := range b.grants {
		if now.Sub(g.renewed) < grantTTL/3 {
			continue
		}
		g.renewed = now
		b.grants[id] = g
		key := renewal{target: g.target, giver: g.giver.Id}
		requests[key] = append(requests[key], string(g.request))
		givers[g.giver.Id] = g.giver
	}
	return requests, givers
}

// renewGrants keeps the grants of long requests alive, one message for each target.
func (s *Service) renewGrants(ctx context.Context) {
	due, givers := s.granted.due(time.Now())
	for key, requests := range due {
		giver := givers[key.giver]
		if s.isSelf(giver) {
			s.renewHere(key.target, requests)
			continue
		}
		s.tasks.Go(func() { s.renewAt(ctx, giver, key.target, requests) })
	}
}

func (s *Service) renewAt(ctx context.Context, giver *peer.Member, id request.TargetID, requests []string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := s.opts.Peers.Steward(giver).Renew(ctx, &peer.RenewRequest{
		From: s.opts.Members.Self().Id, Target: string(id), RequestIds: requests,
	})
	if err != nil {
		s.log.Debug("Grants were not renewed", "target", id, "error", err)
	}
}

func (s *Service) renewHere(id request.TargetID, requests []string) {
	k, ok := s.existing(id)
	if !ok {
		return
	}
	ids := make([]request.ID, 0, len(requests))
	for _, r := range requests {
		ids = append(ids, request.ID(r))
	}
	k.send(&renewMsg{ids: ids})
}
