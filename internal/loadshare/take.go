package loadshare

import (
	"context"
	"encoding/hex"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

func (s *Reporter) read(ctx context.Context) {
	buffer := make([]byte, readBuffer)
	for {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.o.Logger.Error("Datagrams can not be read", "error", err)
			}
			return
		}
		var r Report
		if err := proto.Unmarshal(buffer[:n], &r); err != nil {
			s.o.Logger.Debug("A datagram can not be read", "error", err)
			continue
		}
		s.take(ctx, time.Now(), &r)
	}
}

// take notes what a peer told.
func (s *Reporter) take(ctx context.Context, now time.Time, r *Report) {
	if len(r.Revisions) > 0 {
		s.o.OnRevisions(r.Address, r.Revisions)
	}
	if r.Watches {
		s.o.OnWatcher()
	}
	byHash := s.o.Set.View().ByHash
	if len(r.Work) > 0 {
		s.takeWork(now, r, byHash)
	}
	for _, p := range r.Placed {
		replica := byHash[p.Replica]
		if replica == nil || s.Engine == nil || len(p.Parts) != len(p.Tokens) {
			continue
		}
		parts := make([]placer.PlacedPart, len(p.Parts))
		for i := range p.Parts {
			parts[i] = placer.PlacedPart{Key: residency.Key(p.Parts[i]), Tokens: int(p.Tokens[i])}
		}
		s.Engine.RecordPlacement(replica, parts, int(p.Other))
	}
	for _, d := range r.Deaths {
		s.o.OnDeath(quarantine.Sighting{
			Fingerprint: quarantine.Fingerprint(hex.EncodeToString(d.Fingerprint)), Target: request.TargetID(d.Replica), Incarnation: d.Started,
		})
	}
	eachKnown(byHash, r.Unreachable, func(known *replicas.Replica) { known.Suspect(ctx) })
	eachKnown(byHash, r.Refusing, func(known *replicas.Replica) { known.AvoidFor(now, refusedFor) })
	eachKnown(byHash, r.Leaving, func(known *replicas.Replica) { known.MarkLeaving() })
	for _, l := range r.Limits {
		if replica := byHash[l.Replica]; replica != nil && l.PerSecond >= 0 {
			replica.UpdateLimit(now.Add(-time.Duration(l.AgeMs)*time.Millisecond), l.PerSecond)
		}
	}
	for _, state := range r.States {
		if replica := byHash[state.Replica]; replica != nil {
			replica.SetBusy(now.Add(time.Duration(state.BusyMs) * time.Millisecond))
			if state.Weights > 0 {
				replica.ObserveWeights(request.Model(state.Model), state.Weights)
			}
		}
	}
}

// eachKnown does something with those of some replicas that are known here.
func eachKnown(byHash map[uint64]*replicas.Replica, hashes []uint64, do func(*replicas.Replica)) {
	for _, hash := range hashes {
		if replica := byHash[hash]; replica != nil {
			do(replica)
		}
	}
}

// takeWork notes a peer's work. Where it tells all, a replica that it names no more has none of it.
func (s *Reporter) takeWork(now time.Time, r *Report, byHash map[uint64]*replicas.Replica) {
	peer := request.DaemonID(r.From)
	s.mu.Lock()
	told := s.told[peer]
	if told == nil || !r.ChangesOnly {
		told = make(map[uint64]bool, len(r.Work))
	}
	before := s.told[peer]
	s.told[peer] = told
	s.mu.Unlock()
	for _, w := range r.Work {
		replica := byHash[w.Replica]
		if replica == nil {
			continue
		}
		told[w.Replica] = true
		replica.Load.SetPeer(now, peer, replicas.Work{
			Requests: int(w.Requests), Tokens: int(w.Tokens), Prefill: int(w.Prefill), LongTokens: int(w.Long),
		})
	}
	if r.ChangesOnly {
		return
	}
	for h := range before {
		if replica := byHash[h]; replica != nil && !told[h] {
			replica.Load.SetPeer(now, peer, replicas.Work{})
		}
	}
}
