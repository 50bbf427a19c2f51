package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// fakeMembers assigns every key to one daemon.
type fakeMembers struct {
	self, place *peer.Member
	coordinator peer.Steward // client of that daemon
}

func (m fakeMembers) Self() *peer.Member                { return m.self }
func (m fakeMembers) Live() []*peer.Member              { return nil }
func (m fakeMembers) Owner(string) *peer.Member         { return m.place }
func (m fakeMembers) Steward(*peer.Member) peer.Steward { return m.coordinator }
func (m fakeMembers) Reset()                            {}
func (m fakeMembers) Client(t table.Target) *target.Client {
	return target.New(target.Options{ID: t.ID, Address: t.Address})
}

// unreachableCoordinator fails every call.
type unreachableCoordinator struct{ peer.Steward }

func (unreachableCoordinator) Acquire(context.Context, *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	return nil, errors.New("connection refused")
}

func (unreachableCoordinator) Release(context.Context, *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	return nil, errors.New("connection refused")
}

// localCoordinator calls a peer's server directly, without a network.
type localCoordinator struct{ *Server }

func (localCoordinator) Slice(context.Context, *peer.SliceRequest) (*peer.SliceResponse, error) {
	return nil, errors.New("not implemented")
}

func newService(t testing.TB, self, place string, coordinator peer.Steward) *Service {
	t.Helper()
	replica := tabletest.Load(t, kv.NewFake(time.Now).Client("d1"), tabletest.Rows{
		Models: "verdict,v1,1024,3\n",
		Targets: "engine-1,engine,127.0.0.1:1,conche,verdict,,,true,false,1\n" +
			"engine-2,engine,127.0.0.1:2,conche,verdict,,,true,false,1\n",
	})
	members := fakeMembers{self: &peer.Member{Id: self}, place: &peer.Member{Id: place}, coordinator: coordinator}
	s := New(Options{
		Tables:       replica,
		Members:      members,
		Targets:      members,
		Peers:        members,
		Instance:     self + ".1",
		PollInterval: time.Hour,
		QueueLimit:   4,
		Logger:       hclog.NewNullLogger(),
	})
	t.Cleanup(s.Shutdown)
	return s
}

func grantRequest(id request.ID) gateway.AcquireRequest {
	return gateway.AcquireRequest{Request: id, Target: "engine-1", Org: "atlas", Tokens: 10, Deadline: time.Now().Add(time.Minute)}
}

// Guards against callers that wait up to 15 s for a first token after a daemon is killed.
// The requesting daemon's membership still lists the dead daemon as the target's
// coordinator, so it grants instead of the dead daemon. If it then released the grant at
// the dead daemon, the slot would stay occupied locally until the grant expires.
func TestGrantIsReleasedAtIssuingCoordinator(t *testing.T) {
	s := newService(t, "d1", "d2-which-is-dead", unreachableCoordinator{})
	first, refusal := s.Acquire(context.Background(), grantRequest("r1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	s.Release(first, gateway.Release{})
	ctx, cancel := context.WithTimeout(context.Background(), grantTTL/2)
	defer cancel()
	if _, refusal := s.Acquire(ctx, grantRequest("r2")); refusal != nil {
		t.Fatalf("the slot was not released: %v", refusal)
	}
}

// Guards against prompts that wait for 10 s and more at an idle target, most often after
// another target died, since a request that was in flight there waits to run exclusively.
// One peer coordinates two targets, and this daemon has a request at each. When both
// grants had the same id, only one slot was released after both requests had ended.
func TestGrantsOfTwoTargetsAreBothReleased(t *testing.T) {
	holder := newService(t, "d2", "d2", unreachableCoordinator{})
	s := newService(t, "d1", "d2", localCoordinator{holder.Server()})
	targets := []request.TargetID{"engine-1", "engine-2"}
	ctx, cancel := context.WithTimeout(context.Background(), grantTTL/2)
	defer cancel()
	var grants []gateway.Grant
	for _, id := range targets {
		grants = append(grants, acquire(ctx, t, s, "first-at-"+request.ID(id), id))
	}
	if grants[0].ID == grants[1].ID {
		t.Errorf("two targets issued grants with the same id %s", grants[0].ID)
	}
	for _, g := range grants {
		s.Release(g, gateway.Release{})
	}
	for _, id := range targets {
		acquire(ctx, t, s, "second-at-"+request.ID(id), id)
	}
}

func acquire(ctx context.Context, t *testing.T, s *Service, id request.ID, target request.TargetID) gateway.Grant {
	t.Helper()
	a := grantRequest(id)
	a.Target = target
	g, refusal := s.Acquire(ctx, a)
	if refusal != nil {
		t.Fatalf("request was refused at %s: %v", target, refusal)
	}
	return g
}

// When a target's queue moves to another daemon or its row is removed, the requests that
// wait must be refused at once as not run, rather than wait until their deadlines.
func TestWaitingRequestsAreRefusedWhenQueueStops(t *testing.T) {
	s := newService(t, "d1", "d1", unreachableCoordinator{})
	if _, refusal := s.Acquire(context.Background(), grantRequest("r1")); refusal != nil {
		t.Fatal(refusal)
	}
	refused := make(chan *request.Error)
	go func() {
		_, refusal := s.Acquire(context.Background(), grantRequest("r2"))
		refused <- refusal
	}()
	a := s.allActors()[0]
	for {
		if v, _ := a.queryView(context.Background(), Prompt{}, probe{}); v.waiting == 1 {
			break
		}
	}
	s.removeActor(a)
	refusal := <-refused
	if refusal == nil || refusal.Ran != request.NotRun || refusal.RetryAfter == 0 {
		t.Fatalf("got %v, want a refusal that says not run and has a retry delay", refusal)
	}
}

func TestResidencyFollowsEventsAndSnapshots(t *testing.T) {
	chain := block.Chain("salt", make([]byte, 40*block.BytesPerBlock))
	p := newProbe(chain)
	r := newResidency()
	r.onSnapshot(engineapi.Snapshot{Incarnation: 1, Seq: 5, Blocks: chain})
	if r.unconfirmed || r.leading(p) != 40 {
		t.Fatalf("after the snapshot: unconfirmed %v, %d blocks", r.unconfirmed, r.leading(p))
	}
	r.onEvents(engineapi.EventPage{Incarnation: 1, Next: 6, Events: []engineapi.CacheEvent{
		{Seq: 6, Kind: engineapi.BlocksRemoved, Blocks: chain[20:]},
	}})
	if got := r.leading(p); r.unconfirmed || got > 20 || got < 18 {
		t.Fatalf("after an eviction: unconfirmed %v, %d blocks", r.unconfirmed, got)
	}
	r.onEvents(engineapi.EventPage{Incarnation: 1, Next: 9, Events: []engineapi.CacheEvent{
		{Seq: 9, Kind: engineapi.BlocksStored, Blocks: chain[20:]},
	}})
	if !r.unconfirmed {
		t.Fatal("a gap in the events was not detected")
	}
	r.onEvents(engineapi.EventPage{Incarnation: 2, Next: 1})
	if got := r.leading(p); !r.unconfirmed || got != 0 {
		t.Fatalf("after a restart of the target: unconfirmed %v, %d blocks", r.unconfirmed, got)
	}
}

// uncancellableCoordinator does not detect that the client of a call has disconnected, as
// is the case between two long-poll calls.
type uncancellableCoordinator struct{ localCoordinator }

func (s uncancellableCoordinator) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	return s.localCoordinator.Acquire(context.WithoutCancel(ctx), r)
}

// A caller disconnects while its request waits at a peer, between two long-poll calls.
// Unless it is cancelled, the request stays in the peer's queue and is granted later, and
// its unused grant delays other requests until it expires.
func TestRequestIsCancelledWhenCallerDisconnects(t *testing.T) {
	holder := newService(t, "d2", "d2", nil)
	if _, refusal := holder.Acquire(context.Background(), grantRequest("r1")); refusal != nil {
		t.Fatal(refusal)
	}
	requester := newService(t, "d1", "d2", uncancellableCoordinator{localCoordinator{holder.Server()}})
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = requester.Acquire(ctx, grantRequest("r2"))
	}()
	waiting := func(n int) {
		t.Helper()
		deadline := time.Now().Add(grantTTL / 2) // well before a grant would expire
		for {
			if v, _ := holder.allActors()[0].queryView(context.Background(), Prompt{}, probe{}); v.waiting == n {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("the queue did not reach %d waiting requests", n)
			}
			time.Sleep(time.Millisecond)
		}
	}
	waiting(1)
	leave()
	<-gone
	waiting(0)
}
