// Package steward runs the stewards of targets and asks those of peers.
//
// Each target has one steward among the live daemons, chosen by rendezvous hash: it
// alone polls the target's load and cache events, holds the queue for it and hands
// out grants. All other daemons ask it. The steward is a soft place: while two
// daemons disagree about it, the target may get more work than its capacity, which
// its own queue absorbs.
//
// Every target has an actor here that owns its admission state; a small goroutine
// beside it polls the target while this daemon is its steward.
package steward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/actors"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// Tables gives the operators' table in force.
type Tables interface {
	Current() *table.Snapshot
}

// Members gives the soft places among the live daemons.
type Members interface {
	Self() *peer.Member
	// Live returns the same slice until the live daemons change.
	Live() []*peer.Member
	Owner(key string) *peer.Member
}

// Targets gives the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Options configures a Service.
type Options struct {
	Tables       Tables
	Members      Members
	Targets      Targets
	VMs          platform.VMList // may be nil
	Peers        PeerDialer
	Instance     string // differs for every start of every daemon
	PollInterval time.Duration
	QueueLimit   int // asks waiting for one target
	// OnDied is told which requests a target that died had in flight; may be nil.
	OnDied  func(t request.TargetID, incarnation uint64, fingerprints []quarantine.Fingerprint)
	Logger  hclog.Logger
	Metrics tally.Scope
}

// PeerDialer gives the twirp client of a peer.
type PeerDialer interface {
	Steward(m *peer.Member) peer.Steward
	// Reset throws pooled connections away, after one has gone silent.
	Reset()
}

// Service runs stewards and asks those of peers.
type Service struct {
	opts    Options
	log     hclog.Logger
	system  *actor.ActorSystem
	granted *grantBook
	places  places
	tasks   sync.WaitGroup // everything that runs beside the actors

	keeperTurn atomic.Uint64 // keepers started so far

	mu      sync.Mutex
	keepers map[request.TargetID]*keeper
	leaving map[string]bool // IP numbers of leaving VMs
}

// New starts a service.
func New(opts Options) *Service {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Service{
		opts:    opts,
		log:     opts.Logger.Named("steward"),
		system:  actors.NewSystem(opts.Logger),
		granted: newGrantBook(),
		keepers: map[request.TargetID]*keeper{},
		leaving: map[string]bool{},
	}
}

// placeKey is the soft place of a target's steward.
func placeKey(id request.TargetID) string { return "target/" + string(id) }

// steward returns the daemon that should hold a target's queue.
func (s *Service) steward(id request.TargetID) *peer.Member {
	return s.places.find(s.opts.Members, id)
}

func (s *Service) isSelf(m *peer.Member) bool { return m.Id == s.opts.Members.Self().Id }

// Run keeps an actor for each target that this daemon is steward of, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(s.opts.PollInterval)
	defer tick.Stop()
	for {
		s.pollVMs(ctx)
		s.reconcile(ctx)
		s.renewGrants(ctx)
		select {
		case <-ctx.Done():
			s.stopAll()
			return
		case <-tick.C:
		}
	}
}

// reconcile starts polling targets that came here and stops those that went.
func (s *Service) reconcile(ctx context.Context) {
	current := s.opts.Tables.Current()
	for _, t := range current.Targets() {
		if !s.isSelf(s.steward(t.ID)) {
			continue
		}
		s.keeper(ctx, *t).startPolling(ctx)
	}
	for _, k := range s.all() {
		row, listed := current.Target(k.row.ID)
		if listed && row.Address == k.row.Address && s.isSelf(s.steward(k.row.ID)) {
			continue
		}
		k.stopPolling()
		if !listed || row.Address != k.row.Address || k.idle(ctx) {
			s.drop(k)
		}
	}
}

func (s *Service) all() []*keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*keeper, 0, len(s.keepers))
	for _, k := range s.keepers {
		out = append(out, k)
	}
	return out
}

// keeper returns the actor of a target and starts it if needed.
func (s *Service) keeper(_ context.Context, row table.Target) *keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.keepers[row.ID]; ok {
		return k
	}
	k := newKeeper(s, row)
	s.keepers[row.ID] = k
	return k
}

// existing returns the actor of a target if it runs here.
func (s *Service) existing(id request.TargetID) (*keeper, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keepers[id]
	return k, ok
}

func (s *Service) drop(k *keeper) {
	s.mu.Lock()
	delete(s.keepers, k.row.ID)
	s.mu.Unlock()
	k.stop()
}

func (s *Service) stopAll() {
	for _, k := range s.all() {
		s.drop(k)
	}
}

// Shutdown stops all actors and waits for what runs beside them; each of it has a
// timeout. Asks that wait are refused. Nothing may be asked of the service any more.
func (s *Service) Shutdown() {
	s.stopAll()
	s.tasks.Wait()
	s.system.Shutdown()
}
