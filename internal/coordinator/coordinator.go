// Package coordinator runs the coordinators of targets and calls those of peers.
//
// Each target has one coordinator among the live daemons, chosen by rendezvous hash.
// Only the coordinator polls the target's load and cache events, holds its queue and
// issues grants; all other daemons request grants from it. The coordinator is a hashed
// assignment, not a leased one: while daemons have different membership views, the
// target may get more work than its capacity, which its own queue absorbs.
//
// For every target that it coordinates, a daemon runs an actor that owns the admission
// state. A separate goroutine polls the target while this daemon is its coordinator.
package coordinator

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

// Tables provides the current snapshot of the table that operators edit.
type Tables interface {
	Current() *table.Snapshot
}

// Members provides the live daemons and the hashed assignments among them.
type Members interface {
	Self() *peer.Member
	// Live returns the same slice until the live daemons change.
	Live() []*peer.Member
	// Place returns the live daemon that a key is assigned to, nil if none is live.
	Owner(key string) *peer.Member
}

// Targets provides the client of a target.
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
	Instance     string // unique to each start of each daemon
	PollInterval time.Duration
	QueueLimit   int // maximum number of requests waiting for one target
	// OnTargetDied receives the fingerprints of the requests that a target had in flight
	// when it died; may be nil.
	OnTargetDied func(t request.TargetID, incarnation uint64, fingerprints []quarantine.Fingerprint)
	Logger       hclog.Logger
	Metrics      tally.Scope
}

// PeerDialer provides the twirp client of a peer.
type PeerDialer interface {
	Steward(m *peer.Member) peer.Steward
	// Reset discards the pooled connections, after a call over one of them timed out.
	Reset()
}

// Service runs this daemon's coordinators and calls those of peers.
type Service struct {
	opts         Options
	log          hclog.Logger
	system       *actor.ActorSystem
	grants       *grantRegistry
	coordinators coordinatorCache
	tasks        sync.WaitGroup // goroutines other than the actors

	actorsStarted atomic.Uint64 // number of actors started so far

	mu           sync.Mutex
	targetActors map[request.TargetID]*targetActor
	leaving      map[string]bool // IP numbers of leaving VMs
}

// New returns a service, whose actor system is started.
func New(opts Options) *Service {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Service{
		opts:         opts,
		log:          opts.Logger.Named("steward"),
		system:       actors.NewSystem(opts.Logger),
		grants:       newGrantRegistry(),
		targetActors: map[request.TargetID]*targetActor{},
		leaving:      map[string]bool{},
	}
}

// assignmentKey returns the key whose hash chooses a target's coordinator.
func assignmentKey(id request.TargetID) string { return "target/" + string(id) }

// coordinatorOf returns the daemon that coordinates a target.
func (s *Service) coordinatorOf(id request.TargetID) *peer.Member {
	return s.coordinators.lookup(s.opts.Members, id)
}

func (s *Service) isSelf(m *peer.Member) bool { return m.Id == s.opts.Members.Self().Id }

// Run maintains an actor for each target that this daemon coordinates, until ctx ends.
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

// reconcile starts polling targets that are newly assigned to this daemon, and stops
// polling those that are no longer listed or assigned here. An actor whose target has
// moved stays until it is idle.
func (s *Service) reconcile(ctx context.Context) {
	current := s.opts.Tables.Current()
	for _, t := range current.Targets() {
		if !s.isSelf(s.coordinatorOf(t.ID)) {
			continue
		}
		s.ensureActor(ctx, *t).startPolling(ctx)
	}
	for _, a := range s.allActors() {
		row, listed := current.Target(a.row.ID)
		if listed && row.Address == a.row.Address && s.isSelf(s.coordinatorOf(a.row.ID)) {
			continue
		}
		a.stopPolling()
		if !listed || row.Address != a.row.Address || a.idle(ctx) {
			s.removeActor(a)
		}
	}
}

func (s *Service) allActors() []*targetActor {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*targetActor, 0, len(s.targetActors))
	for _, a := range s.targetActors {
		out = append(out, a)
	}
	return out
}

// ensureActor returns the actor of a target and starts it if it does not run.
func (s *Service) ensureActor(_ context.Context, row table.Target) *targetActor {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.targetActors[row.ID]; ok {
		return a
	}
	a := newTargetActor(s, row)
	s.targetActors[row.ID] = a
	return a
}

// findActor returns the actor of a target if it runs on this daemon.
func (s *Service) findActor(id request.TargetID) (*targetActor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.targetActors[id]
	return a, ok
}

func (s *Service) removeActor(a *targetActor) {
	s.mu.Lock()
	delete(s.targetActors, a.row.ID)
	s.mu.Unlock()
	a.stop()
}

func (s *Service) stopAll() {
	for _, a := range s.allActors() {
		s.removeActor(a)
	}
}

// Shutdown stops all actors, which refuse the requests that wait, and then waits for the
// other goroutines, each of which has a timeout. The service must not be used afterwards.
func (s *Service) Shutdown() {
	s.stopAll()
	s.tasks.Wait()
	s.system.Shutdown()
}
