package loadshare

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// receive applies the reports of peers until the socket is closed.
func (s *Reporter) receive(ctx context.Context) {
	buffer := make([]byte, readBuffer)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.o.Logger.Error("Failed to read from the UDP socket", "error", err)
			}
			return
		}
		var r Report
		if err := proto.Unmarshal(buffer[:n], &r); err != nil {
			s.o.Logger.Debug("Failed to decode a datagram", "error", err)
			continue
		}
		if len(r.Origins) > 0 {
			s.applyOrigins(r.Origins)
			continue
		}
		if len(r.Traits) > 0 {
			s.applyTraits(r.Traits)
			continue
		}
		s.apply(ctx, time.Now(), &r)
	}
}

// apply updates the replicas with what a peer reported, and passes revisions, placements and crashes on.
func (s *Reporter) apply(ctx context.Context, now time.Time, r *Report) {
	if !s.accepts(now, request.DaemonID(r.From)) {
		return
	}
	s.o.OnReport(request.DaemonID(r.From))
	if len(r.Revisions) > 0 {
		s.o.OnRevisions(r.Address, r.Revisions)
	}
	if r.Watches {
		s.o.OnWatcher(milliseconds(r.WatchesAgeMs))
	}
	if r.Failing {
		s.o.OnFailing(request.DaemonID(r.From))
	}
	if r.Relays {
		s.o.OnRelay(milliseconds(r.RelaysAgeMs))
	}
	s.peerReach.apply(now, request.DaemonID(r.From), r.Reach)
	if len(r.Work) > 0 {
		s.applyWork(now, r)
	}
	s.applyRooms(now, r)
	s.applyWaiting(now, r)
	s.applySpeeds(now, r)
	for _, p := range r.Placed {
		replica := s.o.Set.ByHash(p.Replica)
		if replica == nil || s.Placer == nil || len(p.Parts) != len(p.Tokens) {
			continue
		}
		parts := make([]placer.PlacedPart, len(p.Parts))
		for i := range p.Parts {
			parts[i] = placer.PlacedPart{Key: residency.Key(p.Parts[i]), Tokens: int(p.Tokens[i])}
		}
		s.Placer.RecordPlacement(replica, parts, int(p.Other))
	}
	for _, d := range r.Deaths {
		s.o.OnDeath(deathReport(now, d))
	}
	if len(r.Unreachable) > 0 {
		s.o.Logger.Debug("A peer reports that replicas accept no connections", "peer", r.From, "replicas", len(r.Unreachable))
	}
	s.forEachKnown(r.Unreachable, func(known *replicas.Replica) {
		if !s.peerReach.has(now, request.DaemonID(r.From), known.Info().Service) {
			known.Suspect(ctx)
		}
	})
	if r.RestartsSinceMs > 0 && s.knowsAll(r.Unreachable) {
		s.o.OnRestarts(now.Add(-milliseconds(r.RestartsSinceMs)))
	}
	s.forEachKnown(r.Refusing, func(known *replicas.Replica) { known.RecordPeerRefusal(now, refusalBackoff) })
	s.forEachKnown(r.Leaving, func(known *replicas.Replica) { known.MarkLeaving() })
	for _, l := range r.Limits {
		if replica := s.o.Set.ByHash(l.Replica); replica != nil && s.isPossible(r.From, l.validate()) {
			replica.UpdateLimit(now.Add(-time.Duration(max(0, l.AgeMs))*time.Millisecond), l.PerSecond)
		}
	}
	for _, state := range r.States {
		if replica := s.o.Set.ByHash(state.Replica); replica != nil && s.isPossible(r.From, state.validate()) {
			replica.SetBusy(now.Add(time.Duration(state.BusyMs) * time.Millisecond))
			if state.Weights > 0 {
				replica.ObserveWeights(request.Model(state.Model), state.Weights)
			}
		}
	}
}

// accepts reports whether reports in a name are accepted. It forgets the replicas of names that have expired.
func (s *Reporter) accepts(now time.Time, name request.DaemonID) bool {
	expired, ok := s.senders.admit(now, name)
	if !ok {
		s.badSender.Do(func() {
			s.o.Logger.Warn("Ignoring reports in too many or too long names", "from", bounds.BriefKey(string(name)))
		})
		return false
	}
	if len(expired) == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range expired {
		delete(s.peerReplicas, name)
	}
	return true
}

// forEachKnown calls do for each hash of a replica that is known to this daemon.
func (s *Reporter) forEachKnown(hashes []uint64, do func(*replicas.Replica)) {
	for _, hash := range hashes {
		if replica := s.o.Set.ByHash(hash); replica != nil {
			do(replica)
		}
	}
}

// knowsAll reports whether this daemon knows all replicas by their hashes.
func (s *Reporter) knowsAll(hashes []uint64) bool {
	return !slices.ContainsFunc(hashes, func(hash uint64) bool { return s.o.Set.ByHash(hash) == nil })
}

// applyWork applies the work that a peer reported. In a full report a replica that is not listed has no work.
func (s *Reporter) applyWork(now time.Time, r *Report) {
	peer := request.DaemonID(r.From)
	s.mu.Lock()
	reported := s.peerReplicas[peer]
	if reported == nil || !r.ChangesOnly {
		reported = map[uint64]bool{} // of known replicas only, however many the report names
	}
	before := s.peerReplicas[peer]
	s.peerReplicas[peer] = reported
	s.mu.Unlock()
	for _, w := range r.Work {
		replica := s.o.Set.ByHash(w.Replica)
		if replica == nil || !s.isPossible(r.From, w.validate()) {
			continue
		}
		reported[w.Replica] = true
		replica.Load.SetPeer(now, peer, replicas.Work{
			Requests: int(w.Requests), Tokens: int(w.Tokens), Prefill: int(w.Prefill), LongTokens: int(w.Long), Streams: int(w.Streams),
		})
	}
	if r.ChangesOnly {
		return
	}
	for h := range before {
		if replica := s.o.Set.ByHash(h); replica != nil && !reported[h] {
			replica.Load.SetPeer(now, peer, replicas.Work{})
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
