package membership

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// TestLeavingPersistsForIncarnation delivers a delayed alive record with a higher heartbeat
// after a daemon has announced that it is leaving. If the higher heartbeat won, the peer
// would again send callers to the leaving daemon, which breaks their requests off when it
// terminates.
func TestLeavingPersistsForIncarnation(t *testing.T) {
	delayed := &peer.Member{Id: "b", PeerAddress: "10.0.0.2:9000", Incarnation: 5, Heartbeat: 9, State: alive}
	announced := &peer.Member{Id: "b", PeerAddress: "10.0.0.2:9000", Incarnation: 5, Heartbeat: 8, State: leaving}
	restarted := &peer.Member{Id: "b", PeerAddress: "10.0.0.2:9000", Incarnation: 6, State: alive}

	var naive *peer.Member
	for _, m := range []*peer.Member{announced, delayed} {
		if naive == nil || m.Incarnation > naive.Incarnation || m.Heartbeat > naive.Heartbeat {
			naive = m
		}
	}
	if naive.State == leaving {
		t.Fatal("the naive rule kept leaving; the scenario no longer reproduces the fault")
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
	if got := state(delayed); got != leaving {
		t.Fatalf("after the delayed message: %v", got)
	}
	if got := state(restarted); got != alive {
		t.Fatalf("after the restart: %v", got)
	}
}

// TestPartitionedDaemonRejoins partitions one daemon from all peers for a minute, so that
// each side declares the other dead. After the partition heals, the daemon must be a member
// again within seconds, and its view that all others are dead must not remove them from the
// fleet. Under a naive rule, by which dead supersedes alive, its first message would empty
// the member list of every peer that receives it.
func TestPartitionedDaemonRejoins(t *testing.T) {
	const size = 8
	s := newSim(11, size, 1)
	if !s.converge(size) {
		t.Fatal("daemons did not find each other")
	}
	victim := s.nodes[3]
	s.partitioned = func(a, b *simNode) bool { return a == victim || b == victim }
	s.runFor(time.Minute)
	if victim.numLive() != 1 {
		t.Fatalf("the partitioned daemon has %d live members in its view", victim.numLive())
	}
	others := func(n *simNode) bool { return n == victim || (n.stateOf(victim.id) == dead && n.numLive() == size-1) }
	if !s.allUp(others) {
		t.Fatal("the others did not declare the partitioned daemon dead")
	}

	naive := make(map[string]peer.MemberState)
	for _, m := range append(s.nodes[0].core.Members(), victim.core.Members()...) {
		naive[m.Id] = max(naive[m.Id], m.State)
	}
	if naive[s.nodes[1].id] != dead {
		t.Fatal("the naive rule kept a live daemon; the scenario no longer reproduces the fault")
	}

	s.partitioned = func(_, _ *simNode) bool { return false }
	rejoined, ok := s.runUntil(time.Minute, func() bool {
		for _, n := range s.nodes {
			if n != victim && n.numLive() < size-1 {
				t.Fatalf("%s has only %d live members in its view after the partition", n.id, n.numLive())
			}
		}
		return s.allUp(func(n *simNode) bool { return n.numLive() == size })
	})
	if !ok {
		t.Fatal("the daemon did not rejoin")
	}
	const limit = 10 * time.Second
	if rejoined > limit {
		t.Fatalf("rejoined everywhere after %v, want at most %v", rejoined, limit)
	}
	t.Logf("rejoined everywhere after %v", rejoined)
}

// TestRestartWithClockSetBack stalls a daemon until its peers declare it dead, and restarts
// it with a clock set back by an hour. Its peers hold a record with a higher incarnation
// than its own. The daemon must exceed that incarnation, or its peers would ignore its
// records indefinitely.
func TestRestartWithClockSetBack(t *testing.T) {
	const size = 3
	s := newSim(12, size, 1)
	if !s.converge(size) {
		t.Fatal("daemons did not find each other")
	}
	n := s.nodes[2]
	before := n.core.Self().Incarnation
	n.pause()
	if _, ok := s.runUntil(time.Minute, func() bool { return s.allUp(func(o *simNode) bool { return o.stateOf(n.id) == dead }) }); !ok {
		t.Fatal("the stalled daemon is not dead")
	}
	now := s.now
	s.now = now.Add(-time.Hour) // the daemon's own clock at its start
	n.start()
	s.now = now
	n.schedule(time.Hour, func() {})
	n.core.self.Incarnation = before - uint64(time.Hour)
	n.resume()
	if !s.converge(size) {
		t.Fatal("the restarted daemon is not a member")
	}
	if got := n.core.Self().Incarnation; got <= before {
		t.Fatalf("incarnation %d, want above %d", got, before)
	}
}

// TestStaleVMList uses a VM list that is a minute old: it still contains a killed daemon and
// does not yet contain a started one. Membership must follow the daemons and not the list:
// the killed daemon is dead within seconds, and the unlisted one stays a member.
func TestStaleVMList(t *testing.T) {
	const size = 4
	s := newSim(13, size, 1)
	if !s.converge(size) {
		t.Fatal("daemons did not find each other")
	}
	killed, unlisted := s.nodes[2], s.nodes[3]
	list := []string{s.nodes[0].address, s.nodes[1].address, killed.address}
	killed.pause()
	for range 6 {
		for _, n := range s.nodes {
			n.core.SetListedAddresses(s.now, list)
		}
		s.runFor(5 * time.Second)
	}
	if !s.allUp(func(n *simNode) bool { return n.stateOf(killed.id) == dead }) {
		t.Fatal("the killed daemon is not dead")
	}
	// A daemon that answers stays a member past ForgetUnlistedAfter.
	for range 30 {
		for _, n := range s.nodes {
			n.core.SetListedAddresses(s.now, list)
		}
		s.runFor(5 * time.Second)
	}
	if !s.allUp(func(n *simNode) bool { return n.stateOf(unlisted.id) == alive }) {
		t.Fatal("a daemon that answers was removed because the list lacks it")
	}
}

// TestDetectionTime measures how long the fleet considers a killed daemon and a leaving
// daemon live.
func TestDetectionTime(t *testing.T) {
	for _, size := range []int{3, 8, 50} {
		s := newSim(uint64(100+size), size, 1)
		if !s.converge(size) {
			t.Fatal("daemons did not find each other")
		}
		s.nodes[1].core.Leave()
		s.nodes[1].scheduleUrgent()
		leavingKnown, ok := s.runUntil(10*time.Second, func() bool {
			return s.allUp(func(n *simNode) bool { return n.stateOf(s.nodes[1].id) == leaving })
		})
		if !ok {
			t.Fatalf("%d daemons: leaving not detected after %v", size, leavingKnown)
		}
		s.nodes[2].pause()
		deathKnown, ok := s.runUntil(30*time.Second, func() bool {
			return s.allUp(func(n *simNode) bool { return n.stateOf(s.nodes[2].id) == dead })
		})
		if !ok {
			t.Fatalf("%d daemons: death not detected after %v", size, deathKnown)
		}
		t.Logf("daemons=%d leaving_known=%v death_known=%v", size, leavingKnown, deathKnown)
	}
}

// TestBothWatchersStall stalls both daemons that watch the table, with their watches open,
// just before an operator edits a row. The key-value service then notifies no running
// daemon, and the stalled daemons remain the watchers until they are dead. The others must
// detect by the age of their confirmations that their tables may be stale, and read the
// service.
func TestBothWatchersStall(t *testing.T) {
	const size = 8
	s := newSim(14, size, 1)
	if !s.converge(size) {
		t.Fatal("daemons did not find each other")
	}
	if err := s.edit(1); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.runUntil(propagationTimeout, func() bool { return s.editApplied(1) }); !ok {
		t.Fatal("the first edit is not applied")
	}
	for _, n := range s.nodes {
		if n.isWatcher() {
			n.pause()
		}
	}
	if err := s.edit(2); err != nil {
		t.Fatal(err)
	}
	took, ok := s.runUntil(propagationTimeout, func() bool { return s.editApplied(2) })
	if !ok {
		t.Fatalf("the edit is not applied on the live daemons after %v", propagationTimeout)
	}
	t.Logf("applied after %v", took)
}
