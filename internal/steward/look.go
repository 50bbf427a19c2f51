package steward

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

// lookTimeout bounds the wait for a peer's view. A target whose steward does not
// answer in time is judged by what this daemon knows.
const lookTimeout = 250 * time.Millisecond

// view is what a steward knows about a target and one chain of blocks.
type view struct {
	target   request.TargetID
	wait     time.Duration
	prefill  int64
	running  int
	granted  int
	waiting  int
	resident int
	unsure   bool
	down     bool
	leaving  bool
	version  request.Version
	age      time.Duration
}

// Prompt is what targets are looked at for.
type Prompt struct {
	Org    request.OrgID
	Chain  []block.Hash
	Tokens int
}

// View is what is known about a target for placement.
type View struct {
	Target         request.TargetID
	Wait           time.Duration // until the target would begin to compute the prompt
	Running        int
	Waiting        int
	ResidentBlocks int // leading blocks of the chain in accelerator memory
	Unsure         bool
	Down           bool
	Leaving        bool
	Version        request.Version // empty: not reported yet
}

// Look returns the stewards' views of targets for one prompt. Targets whose steward
// did not answer are missing.
func (s *Service) Look(ctx context.Context, ids []request.TargetID, p Prompt) map[request.TargetID]View {
	probed := probeOf(p.Chain)
	bySteward := map[string][]request.TargetID{}
	members := map[string]*peer.Member{}
	for _, id := range ids {
		m := s.steward(id)
		members[m.Id] = m
		bySteward[m.Id] = append(bySteward[m.Id], id)
	}
	var mu sync.Mutex
	out := make(map[request.TargetID]View, len(ids))
	var wait sync.WaitGroup
	for name, group := range bySteward {
		wait.Go(func() {
			views := s.lookAt(ctx, members[name], group, p, probed)
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

func (s *Service) lookAt(ctx context.Context, m *peer.Member, ids []request.TargetID, p Prompt, probed probe) []View {
	if s.isSelf(m) {
		return s.lookHere(ctx, ids, p, probed)
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	answer, err := s.opts.Peers.Steward(m).Look(ctx, lookRequest(ids, p, probed))
	if err != nil {
		s.log.Debug("Steward did not answer", "steward", m.Id, "error", err)
		return nil
	}
	out := make([]View, 0, len(answer.Views))
	for _, v := range answer.Views {
		out = append(out, View{
			Target:         request.TargetID(v.Target),
			Wait:           time.Duration(v.ExpectedWaitMs) * time.Millisecond,
			Running:        int(v.Running),
			Waiting:        int(v.Waiting),
			ResidentBlocks: int(v.ResidentBlocks),
			Unsure:         v.Unsure,
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

func (s *Service) lookHere(ctx context.Context, ids []request.TargetID, p Prompt, probed probe) []View {
	var out []View
	for _, id := range ids {
		row, ok := s.opts.Tables.Current().Target(id)
		if !ok {
			continue
		}
		v, ok := s.keeper(ctx, *row).look(ctx, p, probed)
		if !ok {
			continue
		}
		out = append(out, View{
			Target:         id,
			Wait:           v.wait,
			Running:        v.running,
			Waiting:        v.waiting,
			ResidentBlocks: v.resident,
			Unsure:         v.unsure,
			Down:           v.down,
			Leaving:        v.leaving,
			Version:        v.version,
		})
	}
	return out
}

func (k *keeper) look(ctx context.Context, p Prompt, probed probe) (view, bool) {
	answer := make(chan view, 1)
	k.send(&lookMsg{probe: probed, org: p.Org, tokens: int64(p.Tokens), answer: answer})
	select {
	case v := <-answer:
		return v, true
	case <-ctx.Done():
		return view{}, false
	case <-k.quit:
		return view{}, false
	}
}

// idle tells whether nobody waits here or holds a grant.
func (k *keeper) idle(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	v, ok := k.look(ctx, Prompt{}, probe{})
	return ok && v.granted == 0 && v.waiting == 0
}

// Calls implements gateway.Stewards: the instances of a service, least loaded first.
func (s *Service) Calls(ctx context.Context, service string, exclude map[request.TargetID]bool) []table.Target {
	var rows []table.Target
	var ids []request.TargetID
	for _, t := range s.opts.Tables.Current().ServiceTargets(service) {
		if !exclude[t.ID] {
			rows = append(rows, *t)
			ids = append(ids, t.ID)
		}
	}
	views := s.Look(ctx, ids, Prompt{})
	rows = slices.DeleteFunc(rows, func(t table.Target) bool {
		v := views[t.ID]
		return v.Down || v.Leaving
	})
	slices.SortStableFunc(rows, func(a, b table.Target) int {
		return cmp.Compare(views[a.ID].Running+views[a.ID].Waiting, views[b.ID].Running+views[b.ID].Waiting)
	})
	return rows
}
