package placer

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// putSoftware registers a replica that runs a version of its software.
func (f *fixture) putSoftware(i int, software string) {
	info := replicas.Info{
		ID: id(i), Service: "llm", Address: "127.0.0.1:1", FailureDomain: "a", Software: software,
		Weights: map[request.Model]uint64{model: 1},
	}
	f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{info}})
}

// TestStreamsBeginAtPreferredSoftware guards against streams that begin at a version which is not listed while replicas of a listed one have room, and
// against those that wait or are refused although replicas of the other version have room.
func TestStreamsBeginAtPreferredSoftware(t *testing.T) {
	newStream := func() *relay.Job {
		j := job("s")
		j.Route.Resumable = true
		return j
	}
	newServices := func() *fixture {
		f := newFixture(0)
		f.putSoftware(0, "v1")
		f.putSoftware(1, "v2")
		f.placer.PreferredSoftware = func(routing.ServiceID) map[string]bool { return map[string]bool{"v1": true} }
		return f
	}
	t.Run("room at the preferred version", func(t *testing.T) {
		f := newServices()
		f.set.Get("r0").Load.Begin(20_000, 0)
		for range 10 {
			if got := placedAt(t, f, newStream()); got != "r0" {
				t.Fatalf("the stream began at %q", got)
			}
		}
	})
	t.Run("no room there", func(t *testing.T) {
		f := newServices()
		f.set.Get("r0").Load.Begin(50_000, 40_000)
		if got := placedAt(t, f, newStream()); got != "r1" {
			t.Errorf("the stream began at %q", got)
		}
	})
	t.Run("no replica of it takes the request", func(t *testing.T) {
		f := newServices()
		p, err := f.placer.Place(context.Background(), newStream(), []request.TargetID{"r0"})
		if err != nil || p.Replica.Info().ID != "r1" {
			t.Errorf("got %+v, %v", p, err)
		}
	})
	t.Run("a stream that goes on at the other version", func(t *testing.T) {
		f := newServices()
		j := newStream()
		j.Software = relay.BoundTo("v2")
		if got := placedAt(t, f, j); got != "r1" {
			t.Errorf("the stream went on at %q", got)
		}
	})
	t.Run("a stream that can't be resumed", func(t *testing.T) {
		f := newServices()
		f.set.Get("r0").Load.Begin(20_000, 0)
		if got := placedAt(t, f, job("s")); got != "r1" {
			t.Errorf("the stream began at %q, a busier replica", got)
		}
	})
}

// TestPlainStreamsBeginAtPreferredSoftware guards against the same at a plain service.
func TestPlainStreamsBeginAtPreferredSoftware(t *testing.T) {
	f := newFixture(0)
	f.putSoftware(0, "v1")
	f.putSoftware(1, "v2")
	f.set.Get("r0").Load.Begin(1, 0)
	p := &PlainPlacer{Eligibility: Eligibility{Set: f.set, PreferredSoftware: func(routing.ServiceID) map[string]bool { return map[string]bool{"v1": true} }}}
	for resumable, want := range map[bool]request.TargetID{true: "r0", false: "r1"} {
		j := job("s")
		j.Route.Resumable = resumable
		placement, err := p.Place(context.Background(), j, nil)
		if err != nil || placement.Replica.Info().ID != want {
			t.Errorf("resumable=%v: %+v, %v", resumable, placement, err)
			continue
		}
		placement.Flight.End()
	}
}

// TestPlainStreamsOverloadNoPreferredSoftware guards against the last replicas of a listed version getting all streams of a plain service while those
// of the other version are idle.
func TestPlainStreamsOverloadNoPreferredSoftware(t *testing.T) {
	const slots = 6
	f := newFixture(0)
	for i, software := range []string{"v1", "v2"} {
		info := replicas.Info{ID: id(i), Service: "llm", Address: "127.0.0.1:1", FailureDomain: "a", Software: software, Slots: slots}
		f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{info}})
	}
	p := &PlainPlacer{Eligibility: Eligibility{Set: f.set, PreferredSoftware: func(routing.ServiceID) map[string]bool { return map[string]bool{"v1": true} }}}
	begun := map[request.TargetID]int{}
	for range 2 * slots {
		j := job("s")
		j.Route.Resumable = true
		placement, err := p.Place(context.Background(), j, nil)
		if err != nil {
			t.Fatal(err)
		}
		begun[placement.Replica.Info().ID]++
	}
	if begun["r0"] != slots || begun["r1"] != slots {
		t.Errorf("streams run at each replica of %d slots: %v", slots, begun)
	}
}

// TestStreamsBeginAtPreferredSoftwareOfOtherGroup guards against a stream that begins at a version which is not listed, at a replica of another group,
// while a replica of a listed one there has room.
func TestStreamsBeginAtPreferredSoftwareOfOtherGroup(t *testing.T) {
	f := newFixture(0)
	f.placer.Lenders = &fakeLenders{set: f.set, tokens: 1 << 30}
	f.putSoftware(0, "v1") // this group's, full
	f.putSoftware(1, "v1")
	f.putSoftware(2, "v2")
	f.placer.Assigned = func(routing.ServiceID) []*replicas.Replica { return []*replicas.Replica{f.set.Get("r0")} }
	f.placer.PreferredSoftware = func(routing.ServiceID) map[string]bool { return map[string]bool{"v1": true} }
	f.set.Get("r0").Load.Begin(50_000, 40_000)
	f.set.Get("r1").Load.Begin(20_000, 0)
	for range 10 {
		j := job("s")
		j.Route.Resumable = true
		if got := placedAt(t, f, j); got != "r1" {
			t.Fatalf("the stream began at %q", got)
		}
	}
	f.set.Get("r1").Load.Begin(50_000, 40_000)
	j := job("s")
	j.Route.Resumable = true
	if got := placedAt(t, f, j); got != "r2" {
		t.Errorf("with no room at the listed version, the stream began at %q", got)
	}
}
