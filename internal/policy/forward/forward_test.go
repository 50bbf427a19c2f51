package forward

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// A request must never pass through a third daemon, nor go to ever more daemons while none reaches the replicas.
func TestHopsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Situation{
			Received: rapid.Bool().Draw(t, "received"), Lost: rapid.Bool().Draw(t, "lost"), Suspected: rapid.Bool().Draw(t, "suspected"),
			Unplaced: rapid.Bool().Draw(t, "unplaced"), Unsent: rapid.IntRange(0, 9).Draw(t, "unsent"), Peers: rapid.IntRange(0, 9).Draw(t, "peers"),
		}
		if s.Forwards() && (s.Received || s.Peers >= MaxPeers || !s.Lost && !s.Suspected && (!s.Unplaced || s.Unsent == 0)) {
			t.Errorf("%+v is forwarded", s)
		}
	})
}

// Replicas that died must not send their callers through other daemons while others are left, nor replicas that are full: the path
// from this daemon is sound.
func TestSoundPathForwardsNothing(t *testing.T) {
	for _, s := range []Situation{{Unsent: 3}, {Unplaced: true}} {
		if s.Forwards() {
			t.Errorf("%+v: a request is forwarded although the path to the replicas is not in doubt", s)
		}
	}
}

// A request for which no replica is left, after some could not be reached from here, is not refused before another daemon was asked.
func TestRequestIsForwardedWhenNoReplicaIsLeft(t *testing.T) {
	if !(Situation{Unplaced: true, Unsent: 1}).Forwards() {
		t.Error("the request is refused")
	}
}

// Daemons that know that all have lost the replicas must refuse, not pass requests round.
func TestLostPeersAreNotChosen(t *testing.T) {
	if _, found := Choose([]Peer{{Name: "a", Lost: true}, {Name: "b", Lost: true}}, 1); found {
		t.Error("a peer without replicas is chosen")
	}
	for key := range uint64(50) {
		if i, found := Choose([]Peer{{Name: "a", Lost: true}, {Name: "b"}}, key); !found || i != 1 {
			t.Errorf("request %d goes to peer %d", key, i)
		}
	}
}

// Most daemons of a failure domain lose the replicas together. What the others get must be spread over them by what they
// can carry, although the partitioned daemons do not know of each other's choices.
func TestForwardedLoadIsSpread(t *testing.T) {
	const cut, sound, requests = 40, 8, 50
	got := make([]int, sound)
	weights := []float64{1, 1, 1, 1, 1, 1, 2, 0.5}
	for daemon := range cut {
		peers := make([]Peer, sound)
		for i := range peers {
			peers[i] = Peer{Name: fmt.Sprint("vm", i), Weight: weights[i]}
		}
		for n := range requests {
			i, _ := Choose(peers, uint64(daemon*requests+n))
			peers[i].InFlight++
			got[i]++
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for i, n := range got {
		if fair := cut * requests * weights[i] / total; math.Abs(float64(n)-fair) > 0.15*fair {
			t.Errorf("peer %d gets %d requests, its share is %.0f", i, n, fair)
		}
	}
}

// Weights and counts that a peer reports wrongly must not stop the choice.
func TestImpossibleWeightsAreIgnored(t *testing.T) {
	for _, w := range []float64{0, -1, math.NaN()} {
		if _, found := Choose([]Peer{{Name: "a", Weight: w}}, 1); !found {
			t.Errorf("weight %v: no peer is chosen", w)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	peers := make([]Peer, 32)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("vm", i), Weight: 1, InFlight: i % 4}
	}
	for b.Loop() {
		Choose(peers, 7)
	}
}
