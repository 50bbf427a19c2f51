package loadshare

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/weights"
)

type node struct {
	*Share
	set   *replicas.Set
	heard chan []uint64
	died  chan quarantine.Sighting
	peers []netip.AddrPort
}

func start(t *testing.T, id request.DaemonID) *node {
	t.Helper()
	n := &node{set: replicas.NewSet(), heard: make(chan []uint64, 100), died: make(chan quarantine.Sighting, 1)}
	n.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: "r", Service: "s", Address: "127.0.0.1:1"}}})
	share, err := New(Options{
		Self: id, Address: "127.0.0.1:0", Set: n.set,
		Peers: func() []netip.AddrPort { return n.peers }, Others: func() []netip.AddrPort { return nil },
		Revisions:  func() []uint64 { return []uint64{7} },
		Heard:      func(_ string, r []uint64) { n.heard <- r },
		HeardDeath: func(s quarantine.Sighting) { n.died <- s },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Share = share
	share.Engine = &placer.Engine{Eligibility: placer.Eligibility{Set: n.set}, Mine: func(routing.ServiceID) []*replicas.Replica { return nil }}
	return n
}

// Two daemons place their requests at one replica as if it were idle, since neither knows
// of the other's. Each must see the other's work soon, and its end.
func TestPeersSeeEachOthersWork(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.peers = []netip.AddrPort{netip.MustParseAddrPort(b.conn.LocalAddr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, n := range []*node{a, b} {
		go func() {
			_ = n.Run(ctx) // ends with ctx
			done <- struct{}{}
		}()
	}
	defer func() {
		cancel()
		<-done
		<-done
	}()
	seen := func() replicas.Work { return b.set.Get("r").Load.Total(time.Now()) }
	await := func(what string, is func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: %+v", what, seen())
			}
		}
	}
	flight := a.set.Get("r").Load.BeginLong(100, 60)
	await("the work shows", func() bool { return seen() == replicas.Work{Requests: 1, Tokens: 100, Prefill: 60, Long: 100} })
	flight.End()
	await("its end shows", func() bool { return seen() == replicas.Work{} })

	a.Announce(weights.State{Replica: "r", BusyFor: time.Minute, Model: "m", Weights: 3})
	await("the replica is busy", func() bool { return b.set.Get("r").Busy(time.Now()) && b.set.Get("r").Weights("m") == 3 })
	a.Announce(weights.State{Replica: "r"})
	await("the replica takes requests", func() bool { return !b.set.Get("r").Busy(time.Now()) })
	a.set.Get("r").HeardLimit(time.Now(), 2.5)
	a.Limited(a.set.Get("r"))
	await("the limit", func() bool { limit, _ := b.set.Get("r").Limit(); return limit == 2.5 })
	a.set.Get("r").HeardLimit(time.Now(), 0)
	a.Limited(a.set.Get("r"))
	await("its end", func() bool { limit, _ := b.set.Get("r").Limit(); return limit == 0 })
	a.Leaving(a.set.Get("r"))
	await("that the replica leaves", b.set.Get("r").Leaving)
	a.Refusing(a.set.Get("r"))
	await("one that refused the peer gets none", func() bool { return b.set.Get("r").Busy(time.Now()) })
	death := quarantine.Sighting{Fingerprint: quarantine.Of("org", []byte("body")), Target: "r", Incarnation: 1}
	a.Died(death)
	if got := <-b.died; got != death {
		t.Errorf("heard of %+v", got)
	}
	a.Unreachable(a.set.Get("r")) // nobody listens at its address
	await("the peer leaves it alone", func() bool { return b.set.Get("r").Health.Resting(time.Now()) })
	if r := <-b.heard; len(r) != 1 || r[0] != 7 {
		t.Errorf("heard %v", r)
	}
}

// What does not decode, or names replicas that are unknown here, changes nothing.
func TestStrangeDatagramsAreIgnored(t *testing.T) {
	n := start(t, "a")
	defer n.conn.Close()
	n.take(context.Background(), time.Now(), &Report{From: "x", Unreachable: []uint64{3}, Work: []*Work{{Replica: 1, Requests: 5}}, Placed: []*Placed{{Replica: 1, Parts: []uint64{1}}}, States: []*State{{Replica: 2, BusyMs: 9}}})
	if got := n.set.Get("r").Load.Total(time.Now()); got != (replicas.Work{}) {
		t.Errorf("got %+v", got)
	}
}

// A peer tells of load, weights and refusals of a replica whose process has died meanwhile
// and is back under its id. The word comes late, and was of the dead process.
func TestWordOfAnEarlierStartIsIgnored(t *testing.T) {
	n := start(t, "a")
	defer n.conn.Close()
	before := n.set.Get("r")
	n.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: "r", Service: "s", Address: "127.0.0.1:1", Started: 5}}})
	old := before.Hash()
	n.take(context.Background(), time.Now(), &Report{
		From: "x", Unreachable: []uint64{old}, Refusing: []uint64{old},
		Work: []*Work{{Replica: old, Requests: 5}}, States: []*State{{Replica: old, BusyMs: 9000, Model: "m", Weights: 4}},
	})
	r, now := n.set.Get("r"), time.Now()
	if r.Load.Total(now) != (replicas.Work{}) || r.Busy(now) || r.Health.Resting(now) || r.Weights("m") != 0 {
		t.Errorf("believed of the new start: load %+v, busy %t, weights %d", r.Load.Total(now), r.Busy(now), r.Weights("m"))
	}
}

// Datagrams tell what changed only. One that told of an end is lost: the replica would look busy
// for good, but the next that tells all makes it good, and what did not change is not forgotten.
func TestLostChangeIsMadeGood(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	begun := time.Now()
	hear := func(after time.Duration, lost bool) *Report {
		now := begun.Add(after)
		r := a.next(now)
		if r != nil && !lost {
			b.take(context.Background(), now, r)
			<-b.heard
		}
		return r
	}
	flight := a.set.Get("r").Load.Begin(100, 60)
	hear(repeatEvery, false)
	seen := func(after time.Duration) int { return b.set.Get("r").Load.Total(begun.Add(after)).Requests }
	if seen(repeatEvery) != 1 {
		t.Fatal("the request is not seen")
	}
	a.set.Get("r").Load.Begin(50, 0)
	if r := hear(repeatEvery+tellEvery, true); r == nil || !r.ChangesOnly || len(r.Work) != 1 {
		t.Fatalf("told %+v", r)
	}
	hear(2*repeatEvery, false)
	if seen(2*repeatEvery) != 2 {
		t.Errorf("%d requests after all was told", seen(2*repeatEvery))
	}
	flight.End()
	if r := a.next(begun.Add(2*repeatEvery + tellEvery)); r == nil || len(r.Work) != 1 || r.Revisions != nil {
		t.Errorf("told %+v", r)
	}
}
