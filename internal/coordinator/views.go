package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// viewTimeout bounds the wait for a peer's views. For a target whose coordinator does not
// reply in time, this daemon relies on its own information.
const viewTimeout = 250 * time.Millisecond

// view is a coordinator's state of a target, with respect to one chain of blocks.
type view struct {
	target      request.TargetID
	wait        time.Duration
	prefill     int64
	running     int
	granted     int
	waiting     int
	resident    int
	unconfirmed bool
	down        bool
	leaving     bool
	version     request.Version
	age         time.Duration
}

// Prompt describes the prompt that views of targets are requested for.
type Prompt struct {
	Org    request.OrgID
	Chain  []block.Hash
	Tokens int
}

// View is the state of a target that placement uses.
type View struct {
	Target         request.TargetID
	Wait           time.Duration // expected time until the target begins to compute the prompt
	Running        int
	Waiting        int
	ResidentBlocks int // number of leading blocks of the chain in accelerator memory
	Unconfirmed    bool
	Down           bool
	Leaving        bool
	Version        request.Version // empty if not reported yet
}

// Views returns the coordinators' views of targets for one prompt. Targets whose
// coordinator did not reply are missing from the result.
func (s *Service) Views(ctx context.Context, ids []request.TargetID, p Prompt) map[request.TargetID]View {
	probed := newProbe(p.Chain)
	byCoordinator := map[string][]request.TargetID{}
	members := map[string]*peer.Member{}
	for _, id := range ids {
		m := s.coordinatorOf(id)
		members[m.Id] = m
		byCoordinator[m.Id] = append(byCoordinator[m.Id], id)
	}
	var mu sync.Mutex
	out := make(map[request.TargetID]View, len(ids))
	var wait sync.WaitGroup
	for name, group := range byCoordinator {
		wait.Go(func() {
			views := s.queryViews(ctx, members[name], group, p, probed)
			mu.Lock()
			defer mu.Unlock()
			for _, v := range views {
				out[v.Target] = v
			}
		})
	}
	wait.Wait()
	return out
}

func (s *Service) queryViews(ctx context.Context, m *peer.Member, ids []request.TargetID, p Prompt, probed probe) []View {
	if s.isSelf(m) {
		return s.localViews(ctx, ids, p, probed)
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	resp, err := s.opts.Peers.Steward(m).Look(ctx, lookRequest(ids, p, probed))
	if err != nil {
		s.log.Debug("Reading target views from a coordinator failed", "steward", m.Id, "error", err)
		return nil
	}
	out := make([]View, 0, len(resp.Views))
	for _, v := range resp.Views {
		out = append(out, View{
			Target:         request.TargetID(v.Target),
			Wait:           time.Duration(v.ExpectedWaitMs) * time.Millisecond,
			Running:        int(v.Running),
			Waiting:        int(v.Waiting),
			ResidentBlocks: int(v.ResidentBlocks),
			Unconfirmed:    v.Unsure,
			Down:           v.Down,
			Leaving:        v.Leaving,
			Version:        request.Version(v.Version),
		})
	}
	return out
}

func lookRequest(ids []request.TargetID, p Prompt, probed probe) *peer.LookRequest {
	r := &peer.LookRequest{Organisation: string(p.Org), PromptTokens: int64(p.Tokens)}
	for _, id := range ids {
		r.Targets = append(r.Targets, string(id))
	}
	for i, h := range probed.hashes {
		r.Positions = append(r.Positions, int32(probed.positions[i]))
		r.Hashes = append(r.Hashes, h[:])
	}
	return r
}

func (s *Service) localViews(ctx context.Context, ids []request.TargetID, p Prompt, probed probe) []View {
	var out []View
	for _, id := range ids {
		row, ok := s.opts.Tables.Current().Target(id)
		if !ok {
			continue
		}
		v, ok := s.ensureActor(ctx, *row).queryView(ctx, p, probed)
		if !ok {
			continue
		}
		out = append(out, View{
			Target:         id,
			Wait:           v.wait,
			Running:        v.running,
			Waiting:        v.waiting,
			ResidentBlocks: v.resident,
			Unconfirmed:    v.unconfirmed,
			Down:           v.down,
			Leaving:        v.leaving,
			Version:        v.version,
		})
	}
	return out
}

func (a *targetActor) queryView(ctx context.Context, p Prompt, probed probe) (view, bool) {
	reply := make(chan view, 1)
	a.send(&viewMsg{probe: probed, org: p.Org, tokens: int64(p.Tokens), reply: reply})
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return view{}, false
	case <-a.quit:
		return view{}, false
	}
}

// idle reports whether no request waits here or holds a grant.
func (a *targetActor) idle(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	v, ok := a.queryView(ctx, Prompt{}, probe{})
	return ok && v.granted == 0 && v.waiting == 0
}

// RankInstances implements gateway.Coordinators. It returns the available instances of a service, the
// least loaded first.
func (s *Service) RankInstances(ctx context.Context, service string, exclude map[request.TargetID]bool) []table.Target {
	var rows []table.Target
	var ids []request.TargetID
	for _, t := range s.opts.Tables.Current().ServiceTargets(service) {
		if !exclude[t.ID] {
			rows = append(rows, *t)
			ids = append(ids, t.ID)
		}
	}
	views := s.Views(ctx, ids, Prompt{})
	rows = slices.DeleteFunc(rows, func(t table.Target) bool {
		v := views[t.ID]
		return v.Down || v.Leaving
	})
	slices.SortStableFunc(rows, func(a, b table.Target) int {
		return cmp.Compare(views[a.ID].Running+views[a.ID].Waiting, views[b.ID].Running+views[b.ID].Waiting)
	})
	return rows
}
