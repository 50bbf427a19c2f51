package forwarding

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/policy/forward"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network is a set of replicas whose connections a test fails.
type network struct {
	set      *replicas.Set
	observer *Observer
	list     []*replicas.Replica
	cut      atomic.Bool            // no replica is reached
	dead     atomic.Pointer[string] // address of the replica that is not reached
	died     atomic.Int64           // that many replicas, the first ones, are not reached
}

func newNetwork(t *testing.T, count int) *network {
	t.Helper()
	n := &network{set: replicas.NewSet()}
	n.dead.Store(new(string))
	n.set.WrapDial(func(upstream.DialFunc) upstream.DialFunc {
		return func(_ context.Context, _, address string) (net.Conn, error) {
			var number int64
			if _, err := fmt.Sscanf(address, "10.0.0.%d:1", &number); err != nil {
				return nil, err
			}
			if n.cut.Load() || *n.dead.Load() == address || number < n.died.Load() {
				return nil, syscall.ECONNREFUSED
			}
			here, there := net.Pipe()
			there.Close()
			return here, nil
		}
	})
	n.observer = NewObserver(ObserverOptions{Set: n.set, Known: func() map[routing.ServiceID][]*replicas.Replica { return n.set.View().ByService }})
	n.set.SetColdStarts(map[routing.ServiceID]time.Duration{"s": time.Minute})
	var present []replicas.Info
	for i := range count {
		present = append(present, replicas.Info{ID: request.TargetID(fmt.Sprint("r", i)), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1")})
	}
	n.set.Apply(time.Now(), replicas.Change{Present: present})
	n.list = n.set.ByService("s")
	return n
}

func (n *network) probeAll(t *testing.T) {
	for _, r := range n.list {
		r.Probe(t.Context())
	}
}

// When a path comes back, all replicas seem to have restarted. They must not get few requests as if they were cold.
func TestReturnOfPathIsNoRestart(t *testing.T) {
	n := newNetwork(t, 5)
	n.cut.Store(true)
	n.probeAll(t)
	if !n.observer.Lost("s") || !n.observer.Isolated() {
		t.Fatal("the loss of all replicas is not noticed")
	}
	n.cut.Store(false)
	n.probeAll(t)
	if n.observer.Lost("s") || n.observer.Isolated() {
		t.Error("the path counts as lost after all replicas were reached")
	}
	for _, r := range n.list {
		if r.Cold(time.Now()) || r.Health.Down() {
			t.Errorf("%s counts as restarted or down", r.Info().ID)
		}
	}
}

// A replica that dies alone and comes back has restarted, and gets few requests at first.
func TestReplicaThatDiedAloneIsCold(t *testing.T) {
	n := newNetwork(t, 5)
	address := n.list[0].Info().Address
	n.dead.Store(&address)
	n.probeAll(t)
	if n.observer.Lost("s") || n.observer.Suspected() {
		t.Error("the path counts as lost although four replicas were reached")
	}
	n.dead.Store(new(string))
	n.probeAll(t)
	if !n.list[0].Cold(time.Now()) || n.list[1].Cold(time.Now()) {
		t.Error("want the replica that died to be cold, and no other")
	}
}

// A replica that this daemon does not reach is dead only if another one is reached.
func TestWitnessesTellDeathFromLostPath(t *testing.T) {
	n := newNetwork(t, 5)
	address := n.list[0].Info().Address
	n.dead.Store(&address)
	if !n.observer.PathIsSound(t.Context(), n.list[0]) {
		t.Error("the path counts as lost although the other replicas are reached")
	}
	n = newNetwork(t, 5)
	n.cut.Store(true)
	if n.observer.PathIsSound(t.Context(), n.list[0]) {
		t.Error("the path counts as sound although no replica is reached")
	}
	if alone := newNetwork(t, 1); !alone.observer.PathIsSound(t.Context(), alone.list[0]) {
		t.Error("the only replica can't be told from its path: it must count as dead")
	}
}

// TestDeadWitnessesDoNotHideDeath guards against a replica's death that counts as a lost path because the replicas that are asked died, too.
func TestDeadWitnessesDoNotHideDeath(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		replicas, dead, asks int
		known                bool // the deaths are known before
	}{
		{"half died just now", 12, 6, 1, false},
		{"all but one are known to be dead", 12, 11, 20, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range 20 {
				n := newNetwork(t, tc.replicas)
				n.died.Store(int64(tc.dead))
				if tc.known {
					n.probeAll(t)
				}
				for range tc.asks {
					if !n.observer.PathIsSound(t.Context(), n.list[0]) {
						t.Fatal("the path counts as lost although a replica is reached")
					}
				}
			}
		})
	}
}

// A daemon that serves nobody must still find out that its path is back, with a bounded number of probes.
func TestProbesAreBoundedAndFindThePath(t *testing.T) {
	n := newNetwork(t, 50)
	n.cut.Store(true)
	n.probeAll(t)
	now := time.Now()
	if got := len(n.observer.toProbe(now)); got != maxProbes {
		t.Errorf("%d probes at once, want %d", got, maxProbes)
	}
	if got := len(n.observer.toProbe(now.Add(probeInterval / 2))); got != 0 {
		t.Errorf("%d probes before the interval has passed", got)
	}
	n.cut.Store(false)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = n.observer.Run(ctx) // ends with ctx
		close(done)
	}()
	for deadline := time.Now().Add(5 * time.Second); n.observer.Isolated(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the path is back and was not found")
		}
	}
	cancel()
	<-done
}

func newTestPeers(n *network, maxRequests int, lost func(request.DaemonID) bool) *Peers {
	return NewPeers(PeersOptions{
		Observer: n.observer, MaxRequests: maxRequests, Enabled: func() bool { return true },
		Candidates: func(uint64) []Candidate {
			return []Candidate{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Address: "127.0.0.1:2"}}
		},
		HasLost: func(peer request.DaemonID, _ routing.ServiceID) bool { return lost(peer) },
	})
}

// What a daemon forwards at the same time is bounded, and a request that has ended makes room for another.
func TestForwardsAreBounded(t *testing.T) {
	p := newTestPeers(newNetwork(t, 3), 2, func(request.DaemonID) bool { return false })
	first, second := p.Choose("s", 1, nil), p.Choose("s", 2, nil)
	if first == nil || second == nil || p.Choose("s", 3, nil) != nil {
		t.Fatal("want two requests, and no third")
	}
	first.End(false)
	first.End(false)
	if p.Choose("s", 4, nil) == nil {
		t.Error("a request that has ended still counts")
	}
	if s := p.State(); s.InFlight != 2 || s.MaxRequests != 2 {
		t.Errorf("state %+v", s)
	}
}

// A daemon that could not serve a request, or that says that it has lost the service, gets no other one just after.
func TestUnablePeersAreLeftAlone(t *testing.T) {
	p := newTestPeers(newNetwork(t, 3), 10, func(id request.DaemonID) bool { return id == "a" })
	chosen := p.Choose("s", 1, nil)
	if chosen == nil || chosen.ID != "b" {
		t.Fatalf("chose %v, want b", chosen)
	}
	chosen.End(true)
	if other := p.Choose("s", 2, nil); other != nil {
		t.Errorf("chose %s just after it refused", other.ID)
	}
	if p.Choose("other", 3, nil) == nil {
		t.Error("a refusal for one service counts for another")
	}
}

// While the path is sound nothing is forwarded, whatever happened to a request.
func TestNothingIsForwardedOverASoundPath(t *testing.T) {
	p := newTestPeers(newNetwork(t, 3), 10, func(request.DaemonID) bool { return false })
	for _, s := range []forward.Situation{{Unsent: 5}, {Unplaced: true}} {
		if p.Forwards("s", s) {
			t.Errorf("%+v: a request is forwarded", s)
		}
	}
}

// BenchmarkSoundPath is what forwarding costs a request while the path is sound.
func BenchmarkSoundPath(b *testing.B) {
	n := &network{set: replicas.NewSet()}
	n.observer = NewObserver(ObserverOptions{Set: n.set, Known: func() map[routing.ServiceID][]*replicas.Replica { return nil }})
	p := newTestPeers(n, 10, func(request.DaemonID) bool { return false })
	b.ReportAllocs()
	for b.Loop() {
		p.Forwards("s", forward.Situation{})
	}
}
