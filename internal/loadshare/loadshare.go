// Package loadshare tells daemons of each other's work at the replicas, so that each can
// place its requests as if it saw all of them.
//
// Datagrams carry the counts, some times a second and only while they change. One that is
// lost is made good by the next; a peer that falls silent is forgotten. Nothing that must
// hold depends on them.
package loadshare

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/weights"
)

const (
	// tellEvery bounds the age of what peers know. A prompt takes 30 ms to some hundred,
	// so that most of them are known to all before they end.
	tellEvery = 60 * time.Millisecond
	// repeatEvery is how often unchanged work is told again, before peers forget it.
	repeatEvery = 400 * time.Millisecond
	// maxDatagram keeps a datagram in one packet.
	maxDatagram = 1400
	maxPlaced   = 12 // prompts in one datagram, 40 to 60 bytes each
	readBuffer  = 64 << 10
)

// Options of New.
type Options struct {
	Self    request.DaemonID
	Address string          // to listen on, UDP
	Peers   func() []string // addresses of the daemons that use the same replicas
	Set     *replicas.Set
	// Revisions returns the newest changes of the key-value service that are known here,
	// and Heard is told those of a peer.
	Revisions func() []uint64
	Heard     func(peer string, revisions []uint64)
	Logger    hclog.Logger
}

// Share is one daemon's part. It is safe for concurrent use.
type Share struct {
	o      Options
	conn   *net.UDPConn
	Engine *placer.Engine // learns what peers placed; set before Run

	mu       sync.Mutex
	placed   []*Placed
	states   []*State
	last     []*Work
	lastTold time.Time

	revisions     []uint64
	revisionsTold time.Time
}

// New listens and returns a share.
func New(o Options) (*Share, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("loadshare")
	address, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "loadshare: address")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "loadshare: listen")
	}
	return &Share{o: o, conn: conn}, nil
}

func hash(id request.TargetID) uint64 { return xxhash.Sum64String(string(id)) }

// Placed notes a prompt for the next datagram.
func (s *Share) Placed(id request.TargetID, parts []placer.PlacedPart, other int) {
	p := &Placed{Replica: hash(id), Other: int32(other)}
	for _, part := range parts {
		p.Parts = append(p.Parts, uint64(part.Key))
		p.Tokens = append(p.Tokens, int32(part.Tokens))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = append(s.placed, p)
}

// Announce tells peers at once of a replica's state.
func (s *Share) Announce(a weights.State) {
	state := &State{
		Replica: hash(a.Replica), BusyMs: int32(a.Busy.Milliseconds()), ShortMs: int32(a.ShortOnly.Milliseconds()),
		Model: string(a.Model), Weights: a.Weights,
	}
	s.mu.Lock()
	s.states = append(s.states, state)
	s.mu.Unlock()
	s.tell(time.Now())
}

// Run tells peers until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	go s.read()
	defer s.conn.Close()
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.tell(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Share) tell(now time.Time) {
	r := s.next(now)
	if r == nil {
		return
	}
	raw, err := proto.Marshal(r)
	if err != nil {
		s.o.Logger.Error("A report can not be encoded", "error", err)
		return
	}
	for _, peer := range s.o.Peers() {
		address, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			continue // the roster checks nothing; a daemon that can't be told places alone
		}
		if _, err := s.conn.WriteToUDP(raw, address); err != nil {
			s.o.Logger.Debug("A peer could not be told", "peer", peer, "error", err)
		}
	}
}

// next returns the next datagram, nil if there is nothing to tell.
func (s *Share) next(now time.Time) *Report {
	work := s.work()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.placed), maxPlaced)
	r := &Report{From: string(s.o.Self), Placed: s.placed[:n], States: s.states}
	s.placed, s.states = s.placed[n:], nil
	changed := !same(work, s.last)
	if changed || now.Sub(s.lastTold) >= repeatEvery && len(work) > 0 {
		r.Work = work
		if len(work) == 0 {
			r.Work = []*Work{{}} // tells that all is done
		}
		s.last, s.lastTold = work, now
	}
	revisions := s.o.Revisions()
	if slices.Equal(revisions, s.revisions) && now.Sub(s.revisionsTold) < repeatEvery && len(r.Work)+len(r.Placed)+len(r.States) == 0 {
		return nil
	}
	r.Revisions, r.Address = revisions, s.o.Address
	s.revisions, s.revisionsTold = revisions, now
	return r
}

func (s *Share) work() []*Work {
	var out []*Work
	for _, r := range s.o.Set.All() {
		w := r.Load.Own()
		if w.Requests == 0 {
			continue
		}
		out = append(out, &Work{
			Replica: hash(r.Info().ID), Requests: int32(w.Requests), Tokens: int32(w.Tokens), Prefill: int32(w.Prefill), Long: int32(w.Long),
		})
	}
	return out
}

func same(a, b []*Work) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !proto.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (s *Share) read() {
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
		s.take(time.Now(), &r)
	}
}

// take notes what a peer told.
func (s *Share) take(now time.Time, r *Report) {
	if len(r.Revisions) > 0 {
		s.o.Heard(r.Address, r.Revisions)
	}
	byHash := map[uint64]*replicas.Replica{}
	for _, replica := range s.o.Set.All() {
		byHash[hash(replica.Info().ID)] = replica
	}
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
		s.Engine.Learn(replica.Info().ID, parts, int(p.Other))
	}
	for _, state := range r.States {
		if replica := byHash[state.Replica]; replica != nil {
			replica.SetBusy(now.Add(time.Duration(state.BusyMs) * time.Millisecond))
			replica.SetShortOnly(now.Add(time.Duration(state.ShortMs) * time.Millisecond))
			if state.Weights > 0 {
				replica.SawWeights(request.Model(state.Model), state.Weights)
			}
		}
	}
}

func (s *Share) takeWork(now time.Time, r *Report, byHash map[uint64]*replicas.Replica) {
	told := map[uint64]*Work{}
	for _, w := range r.Work {
		told[w.Replica] = w
	}
	for h, replica := range byHash {
		w := told[h]
		replica.Load.Tell(now, request.DaemonID(r.From), replicas.Work{
			Requests: int(w.GetRequests()), Tokens: int(w.GetTokens()), Prefill: int(w.GetPrefill()), Long: int(w.GetLong()),
		})
	}
}
