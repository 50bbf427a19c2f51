package forwarding

import (
	"fmt"
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// numbered returns the replicas of a network with the numbers from first to last.
func (n *network) numbered(first, last int) (out []*replicas.Replica) {
	for i := first; i <= last; i++ {
		out = append(out, n.set.Get(request.TargetID(fmt.Sprint("r", i))))
	}
	return out
}

// TestDeadEntriesAreNoLostPath guards against a daemon that refuses all callers because entries of the registry lead nowhere.
func TestDeadEntriesAreNoLostPath(t *testing.T) {
	n := newNetwork(t, 16)
	n.died.Store(13)
	for _, sound := range n.numbered(13, 15) {
		sound.Probe(t.Context())
	}
	for _, dead := range n.numbered(0, 12) {
		dead.Probe(t.Context())
		if n.observer.Lost("s") || n.observer.Isolated() {
			t.Fatalf("the path counts as lost after %s failed, although three replicas were reached", dead.Info().ID)
		}
	}
	n.cut.Store(true)
	n.probeAll(t)
	if !n.observer.Lost("s") || !n.observer.Isolated() {
		t.Error("the loss of all replicas is not noticed")
	}
}

// TestReplicasAreTriedUntilOneWasReached guards against a daemon that starts beside entries that lead nowhere and refuses all callers untried.
func TestReplicasAreTriedUntilOneWasReached(t *testing.T) {
	n := newNetwork(t, 16)
	n.died.Store(13)
	for _, dead := range n.numbered(0, 12) {
		dead.Probe(t.Context())
		if n.observer.Exhausted("s") {
			t.Fatalf("no replica counts as worth an attempt after %s failed, although three were not tried", dead.Info().ID)
		}
	}
	n.cut.Store(true)
	n.probeAll(t)
	if !n.observer.Exhausted("s") {
		t.Error("replicas count as worth an attempt, although all have failed")
	}
}
