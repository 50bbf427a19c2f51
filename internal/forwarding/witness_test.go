package forwarding

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// TestPeersTellDeathOfAllReplicasFromLostPath guards against the death of all replicas of a small service that passes for the loss of the
// path to them, and against a lost path that passes for their deaths.
func TestPeersTellDeathOfAllReplicasFromLostPath(t *testing.T) {
	for _, c := range []struct {
		name     string
		replicas int
		peers    []func(*network) // what is true of the path of each peer
		sound    bool
	}{
		{"the peers reach it", 2, []func(*network){reachesAll, reachesNone}, false},
		{"no peer reaches it", 2, []func(*network){reachesNone, reachesNone}, true},
		{"no peers", 2, nil, false},
		{"peers that don't know it", 2, []func(*network){knowsNone, knowsNone}, false},
		{"the only replica, a peer reaches it", 1, []func(*network){reachesAll}, false},
		{"the only replica, no peer reaches it", 1, []func(*network){reachesNone}, true},
		{"the only replica, no peers", 1, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(t, c.replicas)
			n.cut.Store(true)
			n.askPeers(t, c.peers)
			if sound := n.observer.PathIsSound(t.Context(), n.list[0]); sound != c.sound {
				t.Errorf("the path is sound: %t, want %t", sound, c.sound)
			}
		})
	}
}

func reachesAll(*network)    {}
func reachesNone(n *network) { n.cut.Store(true) }
func knowsNone(n *network)   { n.set = replicas.NewSet() }

// askPeers gives the network's observer peers that have networks of their own.
func (n *network) askPeers(t *testing.T, peers []func(*network)) {
	t.Helper()
	var addresses []string
	for _, prepare := range peers {
		peer := newNetwork(t, len(n.list))
		prepare(peer)
		server := httptest.NewServer(NewWitnessHandler(peer.set))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	n.observer.o.Peers, n.observer.o.Client = func() []string { return addresses }, &http.Client{Transport: transport}
}

// TestBrokenRequestsShareTheChecksOfPeers guards against questions to peers that grow with the requests in flight at a replica that dies.
func TestBrokenRequestsShareTheChecksOfPeers(t *testing.T) {
	const requests = 40
	n := newNetwork(t, 2)
	n.cut.Store(true)
	var questions, waiting atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		questions.Add(1)
		for waiting.Load() < requests && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	n.observer.o.Peers = func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }
	n.observer.o.Client = &http.Client{Transport: transport}
	done := make(chan bool, requests)
	for range requests {
		go func() {
			waiting.Add(1)
			done <- n.observer.PathIsSound(t.Context(), n.list[0])
		}()
	}
	for range requests {
		if <-done {
			t.Error("the path is sound although no peer answers")
		}
	}
	if asked := questions.Load(); asked > requests/4 {
		t.Errorf("%d questions for %d requests", asked, requests)
	}
}
