package steward

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

// fakeMembers gives every place to one daemon.
type fakeMembers struct {
	self, place *peer.Member
	steward     peer.Steward // how that daemon is reached
}

func (m fakeMembers) Self() *peer.Member                { return m.self }
func (m fakeMembers) Live() []*peer.Member              { return nil }
func (m fakeMembers) Place(string) *peer.Member         { return m.place }
func (m fakeMembers) Steward(*peer.Member) peer.Steward { return m.steward }
func (m fakeMembers) Reset()                            {}
func (m fakeMembers) Client(t table.Target) *target.Client {
	return target.New(target.Options{ID: t.ID, Address: t.Address})
}

// deadSteward does not answer.
type deadSteward struct{ peer.Steward }

func (deadSteward) Acquire(context.Context, *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	return nil, errors.New("connection refused")
}

func (deadSteward) Release(context.Context, *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	return nil, errors.New("connection refused")
}

// liveSteward is a peer that is reached without a network.
type liveSteward struct{ *Server }

func (liveSteward) Slice(context.Context, *peer.SliceRequest) (*peer.SliceResponse, error) {
	return nil, errors.New("not asked for")
}

func newService(t testing.TB, self, place string, steward peer.Steward) *Service {
	t.Helper()
	replica := tabletest.Load(t, kv.NewFake(time.Now).Client("d1"), tabletest.Rows{
		Models: "verdict,v1,1024,3\n",
		Targets: "engine-1,engine,127.0.0.1:1,conche,verdict,,,true,false,1\n" +
			"engine-2,engine,127.0.0.1:2,conche,verdict,,,true,false,1\n",
	})
	members := fakeMembers{self: &peer.Member{Id: self}, place: &peer.Member{Id: place}, steward: steward}
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

func ask(id request.ID) gateway.AcquireRequest {
	return gateway.AcquireRequest{Request: id, Target: "engine-1", Org: "atlas", Tokens: 10, Deadline: time.Now().Add(time.Minute)}
}

// Callers wait up to 15 s for a first token after one daemon was killed. The daemon
// that asks still takes the dead one for the target's steward, grants in its stead,
// and sends the grant back to the dead one: the place stays taken here until it lapses.
func TestGrantGoesBackToTheStewardThatGaveIt(t *testing.T) {
	s := newService(t, "d1", "d2-which-is-dead", deadSteward{})
	first, refusal := s.Acquire(context.Background(), ask("r1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	s.Release(first, gateway.Release{})
	ctx, cancel := context.WithTimeout(context.Background(), grantTTL/2)
	defer cancel()
	if _, refusal := s.Acquire(ctx, ask("r2")); refusal != nil {
		t.Fatalf("the place was not given back: %v", refusal)
	}
}

// A prompt waits for 10 s and more at an idle target, most often after another target
// died, since a request that was in flight there waits to run alone. One peer is steward
// of two targets and this daemon has a request at each. Both targets gave the grant the
// same id, so when both requests ended only one place was given back.
func TestGrantsOfTwoTargetsAreBothGivenBack(t *testing.T) {
	steward := newService(t, "d2", "d2", deadSteward{})
	s := newService(t, "d1", "d2", liveSteward{steward.Server()})
	targets := []request.TargetID{"engine-1", "engine-2"}
	ctx, cancel := context.WithTimeout(context.Background(), grantTTL/2)
	defer cancel()
	var grants []gateway.Grant
	for _, id := range targets {
		grants = append(grants, acquire(ctx, t, s, "first-at-"+request.ID(id), id))
	}
	if grants[0].ID == grants[1].ID {
		t.Errorf("two targets gave out grant %s", grants[0].ID)
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
	a := ask(id)
	a.Target = target
	g, refusal := s.Acquire(ctx, a)
	if refusal != nil {
		t.Fatalf("no place at %s: %v", target, refusal)
	}
	return g
}

// A target whose queue moves to another daemon, or whose row goes, must not leave its
// callers waiting: they are told at once that they did not run.
func TestWaitingAsksAreRefusedWhenTheQueueStops(t *testing.T) {
	s := newService(t, "d1", "d1", deadSteward{})
	if _, refusal := s.Acquire(context.Background(), ask("r1")); refusal != nil {
		t.Fatal(refusal)
	}
	refused := make(chan *request.Error)
	go func() {
		_, refusal := s.Acquire(context.Background(), ask("r2"))
		refused <- refusal
	}()
	k := s.all()[0]
	for {
		if v, _ := k.look(context.Background(), Prompt{}, probe{}); v.waiting == 1 {
			break
		}
	}
	s.drop(k)
	refusal := <-refused
	if refusal == nil || refusal.Ran != request.NotRun || refusal.RetryAfter == 0 {
		t.Fatalf("got %v, want a refusal that says not run and when to come back", refusal)
	}
}

func TestResidencyFollowsEventsAndSnapshots(t *testing.T) {
	chain := block.Chain("salt", make([]byte, 40*block.BytesPerBlock))
	p := probeOf(chain)
	r := newResidency()
	r.onSnapshot(engineapi.Snapshot{Incarnation: 1, Seq: 5, Blocks: chain})
	if r.unsure || r.leading(p) != 40 {
		t.Fatalf("after the snapshot: unsure %v, %d blocks", r.unsure, r.leading(p))
	}
	r.onEvents(engineapi.EventPage{Incarnation: 1, Next: 6, Events: []engineapi.CacheEvent{
		{Seq: 6, Kind: engineapi.BlocksRemoved, Blocks: chain[20:]},
	}})
	if got := r.leading(p); r.unsure || got > 20 || got < 18 {
		t.Fatalf("after an eviction: unsure %v, %d blocks", r.unsure, got)
	}
	r.onEvents(engineapi.EventPage{Incarnation: 1, Next: 9, Events: []engineapi.CacheEvent{
		{Seq: 9, Kind: engineapi.BlocksStored, Blocks: chain[20:]},
	}})
	if !r.unsure {
		t.Fatal("a gap in the events was not noticed")
	}
	r.onEvents(engineapi.EventPage{Incarnation: 2, Next: 1})
	if got := r.leading(p); !r.unsure || got != 0 {
		t.Fatalf("after a restart of the target: unsure %v, %d blocks", r.unsure, got)
	}
}

// deafSteward does not notice that the caller of a question has left, as between two
// questions.
type deafSteward struct{ liveSteward }

func (s deafSteward) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	return s.liveSteward.Acquire(context.WithoutCancel(ctx), r)
}

// A caller leaves while its request waits at a peer, between two questions to it. The
// ask stays in the queue there, is granted later, and keeps a place that nobody uses
// until it lapses: others wait for it.
func TestAskIsWithdrawnWhenItsCallerLeaves(t *testing.T) {
	holder := newService(t, "d2", "d2", nil)
	if _, refusal := holder.Acquire(context.Background(), ask("r1")); refusal != nil {
		t.Fatal(refusal)
	}
	asker := newService(t, "d1", "d2", deafSteward{liveSteward{holder.Server()}})
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = asker.Acquire(ctx, ask("r2"))
	}()
	waiting := func(n int) {
		t.Helper()
		deadline := time.Now().Add(grantTTL / 2) // well before the place lapses
		for {
			if v, _ := holder.all()[0].look(context.Background(), Prompt{}, probe{}); v.waiting == n {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("waited in vain for %d asks in the queue", n)
			}
			time.Sleep(time.Millisecond)
		}
	}
	waiting(1)
	leave()
	<-gone
	waiting(0)
}
