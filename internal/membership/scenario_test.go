package membership

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// A daemon announces that it leaves. A message from before, with a higher heartbeat, was
// delayed and arrives later at one peer. If the higher heartbeat wins, that peer sends
// callers to the leaving daemon again, and their requests are cut when it ends.
func TestLeavingIsSticky(t *testing.T) {
	late := &peer.Member{Id: "b", PeerAddress: "10.0.0.2:9000", Incarnation: 5, Heartbeat: 9, State: alive}
	announced := &peer.Member{Id: "b", PeerAddress: "10.0.0.2:9000", Incarnation: 5, Heartbeat: 8, State: leaving}
	returned := &peer.Member{Id: "b", PeerAddress: "10.0.0.2:9000", Incarnation: 6, State: alive}

	var naive *peer.Member
	for _, m := range []*peer.Member{announced, late} {
		if naive == nil || m.Incarnation > naive.Incarnation || m.Heartbeat > naive.Heartbeat {
			naive = m
		}
	}
	if naive.State == leaving {
		t.Fatal("the naive rule kept leaving; the story no longer shows the fault")
	}

	core := NewCore(&peer.Member{Id: "a", PeerAddress: "10.0.0.1:9000", Incarnation: 1}, nil, Params{})
	state := func(m *peer.Member) peer.MemberState {
		core.mergeAll(time.Unix(1000, 0), []*peer.Member{m})
		e, _ := core.entries.get("b")
		return e.state()
	}
	if got := state(announced); got != leaving {
		t.Fatalf("after the announcement: %v", got)
	}
	if got := state(late); got != leaving {
		t.Fatalf("after the late message: %v", got)
	}
	if got := state(returned); got != alive {
		t.Fatalf("after the restart: %v", got)
	}
}

// One daemon is cut off from all peers for a minute. It finds all others dead; they find
// it dead. When the cut ends it must be a member again within seconds, and its belief
// that everybody is dead must not take the others out of the fleet: with a naive rule,
// where dead beats alive, its first message empties every list it reaches.
func TestCutOffDaemonComesBack(t *testing.T) {
	const size = 8
	s := newSim(11, size, 1)
	if !s.settled(size) {
		t.Fatal("daemons did not find each other")
	}
	lone := s.nodes[3]
	s.cut = func(a, b *simNode) bool { return a == lone || b == lone }
	s.runFor(time.Minute)
	if lone.live() != 1 {
		t.Fatalf("the cut daemon counts %d live", lone.live())
	}
	others := func(n *simNode) bool { return n == lone || (n.stateOf(lone.id) == dead && n.live() == size-1) }
	if !s.all(others) {
		t.Fatal("the others don't see that the daemon is gone")
	}

	naive := make(map[string]peer.MemberState)
	for _, m := range append(s.nodes[0].core.Members(), lone.core.Members()...) {
		naive[m.Id] = max(naive[m.Id], m.State)
	}
	if naive[s.nodes[1].id] != dead {
		t.Fatal("the naive rule kept a live daemon; the story no longer shows the fault")
	}

	s.cut = func(_, _ *simNode) bool { return false }
	back, ok := s.runUntil(time.Minute, func() bool {
		for _, n := range s.nodes {
			if n != lone && n.live() < size-1 {
				t.Fatalf("%s counts only %d live after the cut", n.id, n.live())
			}
		}
		return s.all(func(n *simNode) bool { return n.live() == size })
	})
	if !ok {
		t.Fatal("the daemon did not come back")
	}
	const limit = 10 * time.Second
	if back > limit {
		t.Fatalf("back everywhere after %v, want at most %v", back, limit)
	}
	t.Logf("back everywhere after %v", back)
}

// A daemon freezes past its death, is restarted with a clock set back by an hour, and
// later wakes up beside nobody. Its peers hold a higher incarnation of it than it has, so
// it must outbid that, or it would never be heard again.
func TestRestartWithClockSetBack(t *testing.T) {
	const size = 3
	s := newSim(12, size, 1)
	if !s.settled(size) {
		t.Fatal("daemons did not find each other")
	}
	n := s.nodes[2]
	before := n.core.Self().Incarnation
	n.freeze()
	if _, ok := s.runUntil(time.Minute, func() bool { return s.all(func(o *simNode) bool { return o.stateOf(n.id) == dead }) }); !ok {
		t.Fatal("the frozen daemon is not dead")
	}
	now := s.now
	s.now = now.Add(-time.Hour) // the daemon's own clock at its start
	n.start()
	s.now = now
	n.after(time.Hour, func() {})
	n.core.self.Incarnation = before - uint64(time.Hour)
	n.thaw()
	if !s.settled(size) {
		t.Fatal("the restarted daemon is not a member")
	}
	if got := n.core.Self().Incarnation; got <= before {
		t.Fatalf("incarnation %d, want above %d", got, before)
	}
}

// The VM list is late by a minute: it still names a daemon that was killed, and does not
// yet name one that started. Membership must follow the daemons, not the list: the dead
// one goes within seconds, the new one counts although it is not listed.
func TestVMListLateByAMinute(t *testing.T) {
	const size = 4
	s := newSim(13, size, 1)
	if !s.settled(size) {
		t.Fatal("daemons did not find each other")
	}
	killed, unlisted := s.nodes[2], s.nodes[3]
	list := []string{s.nodes[0].address, s.nodes[1].address, killed.address}
	killed.freeze()
	for range 6 {
		for _, n := range s.nodes {
			n.core.SetVMs(s.now, list)
		}
		s.runFor(5 * time.Second)
	}
	if !s.all(func(n *simNode) bool { return n.stateOf(killed.id) == dead }) {
		t.Fatal("the killed daemon still counts")
	}
	// Past GoneAfter, a daemon that answers stays although the list lacks it.
	for range 30 {
		for _, n := range s.nodes {
			n.core.SetVMs(s.now, list)
		}
		s.runFor(5 * time.Second)
	}
	if !s.all(func(n *simNode) bool { return n.stateOf(unlisted.id) == alive }) {
		t.Fatal("a daemon that answers was dropped for the list")
	}
}

// TestDetectionTime measures how long a killed daemon counts as live, and how long a
// leaving one does.
func TestDetectionTime(t *testing.T) {
	for _, size := range []int{3, 8, 50} {
		s := newSim(uint64(100+size), size, 1)
		if !s.settled(size) {
			t.Fatal("daemons did not find each other")
		}
		s.nodes[1].core.Leave()
		s.nodes[1].settle()
		left, ok := s.runUntil(10*time.Second, func() bool {
			return s.all(func(n *simNode) bool { return n.stateOf(s.nodes[1].id) == leaving })
		})
		if !ok {
			t.Fatalf("%d daemons: leaving not known after %v", size, left)
		}
		s.nodes[2].freeze()
		found, ok := s.runUntil(30*time.Second, func() bool {
			return s.all(func(n *simNode) bool { return n.stateOf(s.nodes[2].id) == dead })
		})
		if !ok {
			t.Fatalf("%d daemons: death not known after %v", size, found)
		}
		t.Logf("daemons=%d leaving_known=%v death_known=%v", size, left, found)
	}
}

// Both daemons that watch the table freeze, with their watches open, and right after an
// operator edits a row. Nobody alive hears of it from the service, and the frozen ones
// keep their places as watchers until they are dead. The others must notice by their
// proofs that they may be behind, and read for themselves.
func TestBothWatchersFreeze(t *testing.T) {
	const size = 8
	s := newSim(14, size, 1)
	if !s.settled(size) {
		t.Fatal("daemons did not find each other")
	}
	if err := s.edit(1); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.runUntil(inForceLimit, func() bool { return s.inForce(1) }); !ok {
		t.Fatal("the first edit is not in force")
	}
	for _, n := range s.nodes {
		if n.watching() {
			n.freeze()
		}
	}
	if err := s.edit(2); err != nil {
		t.Fatal(err)
	}
	took, ok := s.runUntil(inForceLimit, func() bool { return s.inForce(2) })
	if !ok {
		t.Fatalf("not in force on the live daemons after %v", inForceLimit)
	}
	t.Logf("in force after %v", took)
}
