package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/peer"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// referenceCore is the reference implementation: it retains all received records of a
// member and searches them for the one that docs/design/membership.md orders last.
type referenceCore struct {
	received map[string][]*peer.Member
}

func (n *referenceCore) latest(id string) *peer.Member {
	records := n.received[id]
	incarnation := uint64(0)
	for _, m := range records {
		incarnation = max(incarnation, m.Incarnation)
	}
	left := slices.ContainsFunc(records, func(m *peer.Member) bool {
		return m.Incarnation == incarnation && m.State == leaving
	})
	var best *peer.Member
	for _, m := range records {
		if m.Incarnation != incarnation || (left && m.State != leaving) {
			continue
		}
		switch {
		case best == nil, m.Heartbeat > best.Heartbeat:
			best = proto.CloneOf(m)
		case m.Heartbeat == best.Heartbeat && m.State == suspect:
			best.State = suspect
		}
	}
	return best
}

// TestCoreAgainstReference sends a Core records in random order and with repetitions, lets
// exchanges fail and succeed in between, and compares with the reference after each step.
func TestCoreAgainstReference(t *testing.T) {
	ids := []string{"b", "c", "d"}
	address := map[string]string{"b": "10.0.0.2:9000", "c": "10.0.0.3:9000", "d": "10.0.0.4:9000"}
	states := []peer.MemberState{alive, suspect, leaving}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		core := NewCore(&peer.Member{Id: "a", PeerAddress: "10.0.0.1:9000", Incarnation: 1}, nil, Params{Seed: 1})
		reference := &referenceCore{received: make(map[string][]*peer.Member)}
		record := rapid.Custom(func(t *rapid.T) *peer.Member {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return &peer.Member{
				Id: id, PeerAddress: address[id],
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Heartbeat:   rapid.Uint64Range(0, 2).Draw(t, "heartbeat"),
				State:       rapid.SampledFrom(states).Draw(t, "state"),
			}
		})
		drawPeer := func(t *rapid.T) Peer {
			id := rapid.SampledFrom(ids).Draw(t, "peer")
			return Peer{ID: id, Address: address[id]}
		}
		receive := func(m *peer.Member) {
			if reference.received[m.Id] != nil || m.State != suspect { // a Core ignores an unknown suspect
				reference.received[m.Id] = append(reference.received[m.Id], m)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"received": func(t *rapid.T) {
				records := rapid.SliceOfN(record, 1, 3).Draw(t, "records")
				for _, m := range records {
					receive(m)
				}
				core.OnExchange(now, &peer.ExchangeRequest{From: "x", Updates: records})
			},
			"answered": func(t *rapid.T) {
				to := drawPeer(t)
				core.OnReply(now, to, &peer.ExchangeResponse{From: to.ID})
			},
			"failed": func(t *rapid.T) { core.OnFailure(now, drawPeer(t)) },
			"later": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				core.Tick(now)
				// The reference also receives the suspicions that the Core starts itself.
				for _, e := range core.entries.sorted {
					if e.record.State == suspect {
						receive(e.record)
					}
				}
			},
			"": func(t *rapid.T) {
				for id := range reference.received {
					e, known := core.entries.get(id)
					if !known {
						t.Fatalf("%s was removed", id)
					}
					if got, want := versionOfMember(e.record), versionOfMember(reference.latest(id)); got != want {
						t.Fatalf("%s: %+v, want %+v", id, got, want)
					}
				}
				checkStates(t, core)
			},
		})
	})
}

// checkStates checks the states that a Core returns to its callers.
func checkStates(t *rapid.T, core *Core) {
	for _, m := range core.Members() {
		e, other := core.entries.get(m.Id)
		if !other {
			continue
		}
		if e.record.State == leaving && m.State != leaving && m.State != dead {
			t.Fatalf("%s is leaving but has the state %v", m.Id, m.State)
		}
		if m.State == dead && e.suspectSince.IsZero() {
			t.Fatalf("%s is dead without having been suspect", m.Id)
		}
	}
}

// TestRendezvousMovesOnlyKeysOfRemovedMember removes a member and checks that every key it
// did not own keeps its owner, and that the other members keep their relative ranks. The
// naive alternative, modulo placement, moves most keys.
func TestRendezvousMovesOnlyKeysOfRemovedMember(t *testing.T) {
	naiveMoved, keys := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 40).Draw(t, "members")
		var members []*peer.Member
		for i := range size {
			members = append(members, &peer.Member{Id: fmt.Sprintf("d%d", i)})
		}
		removed := rapid.IntRange(0, size-1).Draw(t, "removed")
		remaining := slices.Delete(slices.Clone(members), removed, removed+1)
		for _, key := range rapid.SliceOfN(rapid.String(), 1, 20).Draw(t, "keys") {
			before, after := Owner(members, key), Owner(remaining, key)
			if before != members[removed] && after != before {
				t.Fatalf("key %q moved from %s to %s", key, before.Id, after.Id)
			}
			ranked := Rank(members, key, size)
			if ranked[0] != before {
				t.Fatal("the owner is not the first of the rank")
			}
			kept := slices.DeleteFunc(slices.Clone(ranked), func(m *peer.Member) bool { return m == members[removed] })
			if !slices.Equal(kept, Rank(remaining, key, size)) {
				t.Fatalf("ranks for %q changed beyond the removed member", key)
			}
			keys++
			h := int(weight(uint64(len(key)), key) >> 1)
			if naive := members[h%size]; naive != members[removed] && remaining[h%(size-1)] != naive {
				naiveMoved++
			}
		}
	})
	if naiveMoved*4 < keys {
		t.Fatalf("modulo placement moved only %d of %d keys; the comparison shows nothing", naiveMoved, keys)
	}
}
