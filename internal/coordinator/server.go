package coordinator

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Server serves the calls of peers: the methods of twirp's Steward service except Slice.
type Server struct {
	service *Service
}

// Server returns the server for the calls of peers.
func (s *Service) Server() *Server { return &Server{service: s} }

// Acquire serves peer.Steward.
func (s *Server) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	if r.Target == "" || r.RequestId == "" {
		return nil, twirp.RequiredArgumentError("target and request_id")
	}
	pollTimer := time.NewTimer(longPollDuration)
	defer pollTimer.Stop()
	grant, refusal, waiting := s.service.acquireLocalUntil(ctx, gateway.AcquireRequest{
		Request:  request.ID(r.RequestId),
		Target:   request.TargetID(r.Target),
		Org:      request.OrgID(r.Organisation),
		Tokens:   r.PromptTokens,
		Deadline: time.Now().Add(time.Duration(r.DeadlineMs) * time.Millisecond),
		Suspect:  r.Suspect,

		Fingerprint: quarantine.Fingerprint(r.Fingerprint),
	}, r.From, pollTimer.C)
	if waiting {
		return &peer.AcquireResponse{Waiting: true}, nil
	}
	if refusal != nil {
		return &peer.AcquireResponse{Refusal: string(refusal.Code), RetryAfterMs: refusal.RetryAfter.Milliseconds()}, nil
	}
	return &peer.AcquireResponse{Granted: true, GrantId: grant.ID, Incarnation: grant.Incarnation, Priority: int32(grant.Priority)}, nil
}

// Renew serves peer.Steward.
func (s *Server) Renew(_ context.Context, r *peer.RenewRequest) (*peer.RenewResponse, error) {
	s.service.renewLocal(request.TargetID(r.Target), r.RequestIds)
	return &peer.RenewResponse{}, nil
}

// Release serves peer.Steward.
func (s *Server) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	if r.RequestId != "" {
		s.service.cancelLocal(request.TargetID(r.Target), request.ID(r.RequestId))
		return &peer.ReleaseResponse{}, nil
	}
	s.service.releaseLocal(
		gateway.Grant{ID: r.GrantId, Target: request.TargetID(r.Target)},
		gateway.Release{PrefillTokens: r.PrefillTokens, TargetFailed: r.TargetFailed},
	)
	return &peer.ReleaseResponse{}, nil
}

// Look serves peer.Steward.
func (s *Server) Look(ctx context.Context, r *peer.LookRequest) (*peer.LookResponse, error) {
	p, err := parseProbe(r)
	if err != nil {
		return nil, err
	}
	ids := make([]request.TargetID, 0, len(r.Targets))
	for _, id := range r.Targets {
		ids = append(ids, request.TargetID(id))
	}
	out := &peer.LookResponse{}
	prompt := Prompt{Org: request.OrgID(r.Organisation), Tokens: int(r.PromptTokens)}
	for _, w := range s.service.localViews(ctx, ids, prompt, p) {
		out.Views = append(out.Views, &peer.TargetView{
			Target:         string(w.Target),
			ExpectedWaitMs: w.Wait.Milliseconds(),
			Running:        int32(w.Running),
			Waiting:        int32(w.Waiting),
			ResidentBlocks: int32(w.ResidentBlocks),
			Unsure:         w.Unconfirmed,
			Down:           w.Down,
			Leaving:        w.Leaving,
			Version:        string(w.Version),
		})
	}
	return out, nil
}

func parseProbe(r *peer.LookRequest) (probe, error) {
	if len(r.Positions) != len(r.Hashes) || len(r.Hashes) > 2*maxProbePositions {
		return probe{}, twirp.InvalidArgumentError("hashes", "want one for each position, and not too many")
	}
	var p probe
	for i, raw := range r.Hashes {
		var h block.Hash
		if len(raw) != len(h) {
			return probe{}, twirp.InvalidArgumentError("hashes", "wrong length")
		}
		copy(h[:], raw)
		p.positions = append(p.positions, int(r.Positions[i]))
		p.hashes = append(p.hashes, h)
	}
	return p, nil
}
