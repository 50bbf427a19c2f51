// Package loadshare tells daemons of each other's work at the replicas, so that each can
// place its requests as if it saw all of them.
//
// Datagrams carry the counts that changed, some times a second, and all of them less often. What
// one that is lost told is made good by the next that carries all; a peer that falls silent is
// forgotten. Nothing that must hold depends on them.
package loadshare

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/weights"
)

const (
	// tellEvery bounds the age of what peers know. A prompt takes 30 ms to some hundred,
	// so that most of them are known to all before they end.
	tellEvery = 60 * time.Millisecond
	// repeatEvery is how often all work is told, changed or not, before peers forget it.
	repeatEvery = 400 * time.Millisecond
	// maxDatagram keeps a datagram in one packet.
	maxDatagram = 1400
	maxPlaced   = 12 // prompts in one datagram, 40 to 60 bytes each
	maxDeaths   = 8  // in one datagram, 50 bytes each
	maxLimits   = 24 // in one datagram, 24 bytes each
	readBuffer  = 64 << 10
	// refusedFor is how long a replica is left alone that would not run a peer's request.
	// The word of it is up to a tick old.
	refusedFor = 240 * time.Millisecond
)

// Options of New.
type Options struct {
	Self    request.DaemonID
	Address string // to listen on, UDP
	// Peers returns the daemons that use the same replicas, Others all others.
	Peers  func() []netip.AddrPort
	Others func() []netip.AddrPort
	Set    *replicas.Set
	// Revisions returns the newest changes of the key-value service that are known here,
	// and Heard is told those of a peer.
	Revisions func() []uint64
	Heard     func(peer string, revisions []uint64)
	// Watches reports whether the service tells this daemon itself of changes, and HeardWatcher is
	// called at the word of a peer that it tells that one; nil: nobody watches, or is told.
	Watches      func() bool
	HeardWatcher func()
	// HeardDeath is told of a replica that died while it ran a peer's request; nil: nobody.
	HeardDeath func(quarantine.Sighting)
	Logger     hclog.Logger
}

// Share is one daemon's part. It is safe for concurrent use.
type Share struct {
	o      Options
	conn   *net.UDPConn
	Engine *placer.Engine // learns what peers placed; set before Run

	mu       sync.Mutex
	placed   []*Placed
	states   []*State            // told to all daemons: any may use the replica
	down     []uint64            // replicas found unreachable; told to those that use them
	refusing []uint64            // replicas that would not run a request; likewise
	leaving  []uint64            // replicas that said so in answers; likewise
	limits   []*replicas.Replica // whose rate limits are to be told
	deaths   []*Death            // told to all daemons: the request may come again at any
	last     map[uint64]*Work    // by replica, as told last
	allTold  time.Time           // when all work was told last

	told map[request.DaemonID]map[uint64]bool // the replicas that each peer named last

	revisions     []uint64
	revisionsTold time.Time
}

// New listens and returns a share.
func New(o Options) (*Share, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("loadshare")
	if o.HeardDeath == nil {
		o.HeardDeath = func(quarantine.Sighting) {}
	}
	if o.Watches == nil {
		o.Watches = func() bool { return false }
	}
	if o.HeardWatcher == nil {
		o.HeardWatcher = func() {}
	}
	address, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "loadshare: address")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "loadshare: listen")
	}
	return &Share{o: o, conn: conn, told: map[request.DaemonID]map[uint64]bool{}}, nil
}

// Placed notes a prompt for the next datagram.
func (s *Share) Placed(r *replicas.Replica, parts []placer.PlacedPart, other int) {
	p := &Placed{Replica: r.Hash(), Other: int32(other)}
	for _, part := range parts {
		p.Parts = append(p.Parts, uint64(part.Key))
		p.Tokens = append(p.Tokens, int32(part.Tokens))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = append(s.placed, p)
}

// Announce tells all daemons of a replica's state, within one tick.
func (s *Share) Announce(a weights.State) {
	r := s.o.Set.Get(a.Replica)
	if r == nil {
		return // it has left, and daemons learn that from the registry
	}
	state := &State{
		Replica: r.Hash(), BusyMs: int32(a.BusyFor.Milliseconds()),
		Model: string(a.Model), Weights: a.Weights,
	}
	s.mu.Lock()
	s.states = append(s.states, state)
	s.mu.Unlock()
}

// Unreachable tells peers, within one tick, that no connection to a replica can be opened.
func (s *Share) Unreachable(r *replicas.Replica) { tellOnce(s, &s.down, r.Hash()) }

// Refusing tells peers, within one tick, that a replica would not run a request.
func (s *Share) Refusing(r *replicas.Replica) { tellOnce(s, &s.refusing, r.Hash()) }

// Leaving tells peers, within one tick, that a replica said that it takes no new requests.
func (s *Share) Leaving(r *replicas.Replica) { tellOnce(s, &s.leaving, r.Hash()) }

// Limited tells peers, within one tick, the rate limit that a replica named.
func (s *Share) Limited(r *replicas.Replica) { tellOnce(s, &s.limits, r) }

// tellOnce adds a value to some that are to be told, unless it is among them.
func tellOnce[T comparable](s *Share, to *[]T, value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(*to, value) {
		*to = append(*to, value)
	}
}

// Died tells all daemons, within one tick, that a replica died while it ran a request.
func (s *Share) Died(sighting quarantine.Sighting) {
	fingerprint, err := hex.DecodeString(string(sighting.Fingerprint))
	if err != nil {
		s.o.Logger.Error("A fingerprint can not be told", "fingerprint", sighting.Fingerprint, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaths = append(s.deaths, &Death{Replica: string(sighting.Target), Started: sighting.Incarnation, Fingerprint: fingerprint})
}

// Run tells peers until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	go s.read(ctx)
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
	s.send(r, s.o.Peers())
	others := s.o.Others()
	if len(others) == 0 {
		return
	}
	if len(r.States)+len(r.Deaths) == 0 {
		// One other daemon hears what is known here of the key-value service, and what
		// replicas said of themselves, so that news pass from group to group.
		n := rand.IntN(len(others))
		others = others[n : n+1]
	}
	s.send(&Report{
		From: r.From, Address: r.Address, Revisions: r.Revisions, States: r.States, Deaths: r.Deaths, Limits: r.Limits, Leaving: r.Leaving, Watches: r.Watches,
	}, others)
}

func (s *Share) send(r *Report, to []netip.AddrPort) {
	raw, err := proto.Marshal(r)
	if err != nil {
		s.o.Logger.Error("A report can not be encoded", "error", err)
		return
	}
	for _, address := range to {
		if _, err := s.conn.WriteToUDPAddrPort(raw, address); err != nil {
			s.o.Logger.Debug("A daemon could not be told", "address", address, "error", err)
		}
	}
}

// next returns the next datagram, nil if there is nothing to tell.
func (s *Share) next(now time.Time) *Report {
	work := s.work()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.placed), maxPlaced)
	r := &Report{From: string(s.o.Self), Placed: s.placed[:n], States: s.states, Unreachable: s.down, Refusing: s.refusing, Leaving: s.leaving}
	s.placed, s.states, s.down, s.refusing, s.leaving = s.placed[n:], nil, nil, nil, nil
	deaths := min(len(s.deaths), maxDeaths)
	r.Deaths, s.deaths = s.deaths[:deaths], s.deaths[deaths:]
	r.Limits = s.takeLimits(now)
	s.tellWork(now, r, work)
	revisions := s.o.Revisions()
	newRevisions := !slices.Equal(revisions, s.revisions) || now.Sub(s.revisionsTold) >= repeatEvery
	if !newRevisions && len(r.Work)+len(r.Placed)+len(r.States)+len(r.Unreachable)+len(r.Refusing)+len(r.Deaths)+len(r.Limits)+len(r.Leaving) == 0 {
		return nil
	}
	if newRevisions {
		r.Revisions, r.Address, r.Watches = revisions, s.o.Address, s.o.Watches()
		s.revisions, s.revisionsTold = revisions, now
	}
	return r
}

// takeLimits returns the limits that one datagram tells, and leaves the others for the next.
func (s *Share) takeLimits(now time.Time) []*Limit {
	n := min(len(s.limits), maxLimits)
	out := make([]*Limit, n)
	for i, r := range s.limits[:n] {
		perSecond, at := r.Limit()
		out[i] = &Limit{Replica: r.Hash(), PerSecond: perSecond, AgeMs: int32(now.Sub(at).Milliseconds())}
	}
	s.limits = s.limits[n:]
	return out
}

// tellWork adds to a report what changed in the work here, or all of it if that is due.
func (s *Share) tellWork(now time.Time, r *Report, work map[uint64]*Work) {
	before := s.last
	s.last = work
	if now.Sub(s.allTold) >= repeatEvery && len(work) > 0 {
		s.allTold = now
		for _, w := range work {
			r.Work = append(r.Work, w)
		}
		return
	}
	r.ChangesOnly = true
	for hash, w := range work {
		if !proto.Equal(w, before[hash]) {
			r.Work = append(r.Work, w)
		}
	}
	for hash := range before {
		if work[hash] == nil {
			r.Work = append(r.Work, &Work{Replica: hash})
		}
	}
}

// work returns what this daemon has in flight, by replica.
func (s *Share) work() map[uint64]*Work {
	out := map[uint64]*Work{}
	for _, r := range s.o.Set.All() {
		w := r.Load.Own()
		if w == (replicas.Work{}) {
			continue
		}
		out[r.Hash()] = &Work{
			Replica: r.Hash(), Requests: int32(w.Requests), Tokens: int32(w.Tokens), Prefill: int32(w.Prefill), Long: int32(w.Long),
		}
	}
	return out
}
