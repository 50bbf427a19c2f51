package steward

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

// Server answers peers. It is the thin side of twirp's Steward service without Slice.
type Server struct {
	service *Service
}

// Server returns the side of the service that peers talk to.
func (s *Service) Server() *Server { return &Server{service: s} }

// Acquire serves peer.Steward.
func (v *Server) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	if r.Target == "" || r.RequestId == "" {
		return nil, twirp.RequiredArgumentError("target and request_id")
	}
	leg := time.NewTimer(acquireLeg)
	defer leg.Stop()
	grant, refusal, waiting := v.service.acquireWithin(ctx, gateway.AcquireRequest{
		Request:  request.ID(r.RequestId),
		Target:   request.TargetID(r.Target),
		Org:      request.OrgID(r.Organisation),
		Tokens:   r.PromptTokens,
		Deadline: time.Now().Add(time.Duration(r.DeadlineMs) * time.Millisecond),
		Suspect:  r.Suspect,

		Fingerprint: quarantine.Fingerprint(r.Fingerprint),
	}, r.From, leg.C)
	if waiting {
		return &peer.AcquireResponse{Waiting: true}, nil
	}
	if refusal != nil {
		return &peer.AcquireResponse{Refusal: string(refusal.Code), RetryAfterMs: refusal.RetryAfter.Milliseconds()}, nil
	}
	return &peer.AcquireResponse{Granted: true, GrantId: grant.ID, Incarnation: grant.Incarnation, Priority: int32(grant.Priority)}, nil
}

// Renew serves peer.Steward.
func (v *Server) Renew(_ context.Context, r *peer.RenewRequest) (*peer.RenewResponse, error) {
	v.service.renewHere(request.TargetID(r.Target), r.RequestIds)
	return &peer.RenewResponse{}, nil
}

// Release serves peer.Steward.
func (v *Server) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	if r.RequestId != "" {
		v.service.cancelHere(request.TargetID(r.Target), request.ID(r.RequestId))
		return &peer.ReleaseResponse{}, nil
	}
	v.service.releaseHere(
		gateway.Grant{ID: r.GrantId, Target: request.TargetID(r.Target)},
		gateway.Release{PrefillTokens: r.PrefillTokens, TargetFailed: r.TargetFailed},
	)
	return &peer.ReleaseResponse{}, nil
}

// Look serves peer.Steward.
func (v *Server) Look(ctx context.Context, r *peer.LookRequest) (*peer.LookResponse, error) {
	p, err := probeFrom(r)
	if err != nil {
		return nil, err
	}
	ids := make([]request.TargetID, 0, len(r.Targets))
	for _, id := range r.Targets {
		ids = append(ids, request.TargetID(id))
	}
	out := &peer.LookResponse{}
	prompt := Prompt{Org: request.OrgID(r.Organisation), Tokens: int(r.PromptTokens)}
	for _, w := range v.service.lookHere(ctx, ids, prompt, p) {
		out.Views = append(out.Views, &peer.TargetView{
			Target:         string(w.Target),
			ExpectedWaitMs: w.Wait.Milliseconds(),
			Running:        int32(w.Running),
			Waiting:        int32(w.Waiting),
			ResidentBlocks: int32(w.ResidentBlocks),
			Unsure:         w.Unsure,
			Down:           w.Down,
			Leaving:        w.Leaving,
			Version:        string(w.Version),
		})
	}
	return out, nil
}

func probeFrom(r *peer.LookRequest) (probe, error) {
	if len(r.Positions) != len(r.Hashes) || len(r.Hashes) > 2*maxProbe {
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
