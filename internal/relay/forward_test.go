package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/forward"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// fixedPeers are the daemons that a test names, in their order. This daemon has lost all replicas.
type fixedPeers struct {
	ids    []request.DaemonID
	pools  []*upstream.Pool
	unable atomic.Int64
}

func (p *fixedPeers) Forwards(_ routing.ServiceID, s forward.Situation) bool {
	s.Lost = true
	return s.Forwards()
}

func (p *fixedPeers) Exhausted(routing.ServiceID) bool { return true }

func (p *fixedPeers) Choose(_ routing.ServiceID, _ uint64, tried []request.DaemonID) *Peer {
	for i, id := range p.ids {
		if !slices.Contains(tried, id) {
			return &Peer{ID: id, Pool: p.pools[i], End: func(unable bool) {
				if unable {
					p.unable.Add(1)
				}
			}}
		}
	}
	return nil
}

// add makes an address one of a daemon's peers.
func (p *fixedPeers) add(t testing.TB, address string) {
	t.Helper()
	pool := upstream.NewPool(address, time.Second, 4)
	t.Cleanup(pool.Close)
	p.ids = append(p.ids, request.DaemonID(fmt.Sprint("peer", len(p.ids))))
	p.pools = append(p.pools, pool)
}

// newPair returns a daemon that has lost its replicas, and the peer to which it forwards requests.
func newPair(t testing.TB, routes ...*routing.Route) (cut, peer *fixture, peers *fixedPeers) {
	t.Helper()
	cut, peer = newFixture(t, routes...), newFixture(t, routes...)
	peers = &fixedPeers{}
	cut.server.o.Peers, cut.server.o.Self = peers, "cut"
	peer.server.o.MaxReceived = 10
	peers.add(t, peer.listenForPeers())
	return cut, peer, peers
}

// listenForPeers serves requests that other daemons forward, and returns the address.
func (f *fixture) listenForPeers() string {
	l := serveRelay(f.t, http.HandlerFunc(f.server.ServeForwarded))
	return strings.TrimPrefix(l.URL, "http://")
}

// A forwarded call that may have run when the peer's replica broke off must not run again, and its caller must not be told
// that it did not run.
func TestForwardedOnceCallRunsOnce(t *testing.T) {
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	peer.addReplica(closeWithoutResponse)
	peer.addReplica(func(c net.Conn, id string) { writeOK(c, id, "second run") })
	answer, _, err := cut.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v, want status 502", answer, err)
	}
	if n := len(peer.received()); n != 1 {
		t.Errorf("%d arrivals, want 1", n)
	}
}

// A peer dies after it has read a call that must run at most once. It may have passed the call on.
func TestForwardedOnceCallIsNotRetriedAfterPeerDied(t *testing.T) {
	cut, _, peers := newPair(t, route(routing.KindOnce))
	second := newFixture(t, route(routing.KindOnce))
	second.server.o.MaxReceived = 10
	second.addReplica(func(c net.Conn, id string) { writeOK(c, id, "second run") })
	dying := newFixture(t).addReplica(closeWithoutResponse)
	peers.ids, peers.pools = nil, nil
	peers.add(t, dying.Addr().String())
	peers.add(t, second.listenForPeers())
	answer, _, err := cut.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v, want status 502", answer, err)
	}
	if n := len(second.received()); n != 0 {
		t.Errorf("%d arrivals by way of the second peer, want none", n)
	}
}

// A peer that can't be reached, that stops, that knows an older desired state, or that has lost the replicas as well has not
// run the request: the next one serves it.
func TestRequestGoesToTheNextPeer(t *testing.T) {
	for name, makeUnable := range map[string]func(peer *fixture, peers *fixedPeers){
		"unreachable": func(_ *fixture, peers *fixedPeers) { peers.pools[0] = upstream.NewPool("127.0.0.1:1", time.Second, 1) },
		"stopping":    func(peer *fixture, _ *fixedPeers) { peer.server.StartDraining(0) },
		"older state": func(peer *fixture, _ *fixedPeers) {
			peer.state = routing.NewSnapshot(0, nil, nil, nil, routing.CallerLimits{})
		},
		"cut off": func(peer *fixture, _ *fixedPeers) { peer.server.o.Peers = &fixedPeers{} },
	} {
		t.Run(name, func(t *testing.T) {
			cut, peer, peers := newPair(t, route(routing.KindOnce))
			second := newFixture(t, route(routing.KindOnce))
			second.server.o.MaxReceived = 10
			second.addReplica(func(c net.Conn, id string) { writeOK(c, id, "served") })
			peers.add(t, second.listenForPeers())
			makeUnable(peer, peers)
			_, body, err := cut.call(http.MethodPost, "/x", nil)
			if err != nil || body != "served" {
				t.Errorf("got %q, %v", body, err)
			}
			if peers.unable.Load() != 1 {
				t.Errorf("%d peers count as unable, want 1", peers.unable.Load())
			}
		})
	}
}

// losingPeers are the peers of a daemon that finds out by a request that it reaches no replica.
type losingPeers struct {
	fixedPeers
	replicas int
}

func (p *losingPeers) Forwards(_ routing.ServiceID, s forward.Situation) bool {
	s.Lost = s.Unsent >= p.replicas
	return s.Forwards()
}

func (p *losingPeers) Exhausted(routing.ServiceID) bool { return false }

// TestPeerTriesReplicasThatWereNotReached guards against a request that no daemon serves, and peers that get no further one for a while, because
// the daemon that lost its path tried all replicas in vain before it forwarded the request.
func TestPeerTriesReplicasThatWereNotReached(t *testing.T) {
	cut, peer, fixed := newPair(t, route(routing.KindOnce))
	peers := &losingPeers{replicas: 2}
	peers.ids, peers.pools = fixed.ids, fixed.pools
	cut.server.o.Peers = peers
	for range peers.replicas {
		cut.addReplica(closeWithoutResponse).Close()
		peer.addReplica(func(c net.Conn, id string) { writeOK(c, id, "served") })
	}
	_, body, err := cut.call(http.MethodPost, "/x", nil)
	if err != nil || body != "served" {
		t.Errorf("got %q, %v", body, err)
	}
	if peers.unable.Load() != 0 {
		t.Error("the peer counts as unable")
	}
}

// A peer that is cut off as well must refuse, not forward to a third daemon.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	third := newFixture(t, route(routing.KindOnce))
	third.server.o.MaxReceived = 10
	third.addReplica(func(c net.Conn, id string) { writeOK(c, id, "third") })
	thirdPeers := &fixedPeers{}
	thirdPeers.add(t, third.listenForPeers())
	peer.server.o.Peers = thirdPeers
	answer, _, err := cut.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v, want status 503 with Retry-After", answer, err)
	}
	if n := len(third.received()); n != 0 {
		t.Errorf("%d arrivals by way of a third daemon", n)
	}
}

// A daemon takes a bounded number of forwarded requests. One over the bound is refused as not run, and none of the refusal's
// headers between daemons reaches the caller.
func TestForwardedRequestsAreBounded(t *testing.T) {
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	peer.server.o.MaxReceived = 1
	release := make(chan struct{})
	peer.addReplica(func(c net.Conn, id string) { <-release; writeOK(c, id, "held") })
	held := make(chan error, 1)
	go func() { _, _, err := cut.post("a"); held <- err }()
	for len(peer.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	answer, _, err := cut.post("b")
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v, want status 503", answer, err)
	}
	if answer != nil && answer.Header.Get(headerRefusalCode)+answer.Header.Get(headerRefusalRan) != "" {
		t.Error("a caller sees a header between daemons")
	}
	close(release)
	if err := <-held; err != nil {
		t.Error(err)
	}
	if n := len(peer.received()); n != 1 {
		t.Errorf("%d arrivals, want 1", n)
	}
}

// A peer that refuses a key or a route, because it knows another desired state, must not make callers believe that the key or
// the route does not exist.
func TestDenialOfPeerIsNotPassedOn(t *testing.T) {
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	peer.state = routing.NewSnapshot(2, nil, nil, nil, routing.CallerLimits{})
	answer, _, err := cut.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v, want status 503", answer, err)
	}
}

// A caller sends the headers with which daemons forward requests. They must neither be obeyed nor passed on.
func TestCallersCannotSendHeadersBetweenDaemons(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "served") })
	forged := http.Header{headerForwardedBy: {"x"}, headerForwardedState: {"99"}, headerForwardedReplicas: {"r0"}, headerForwardedRan: {"4"}}
	if _, body, err := f.call(http.MethodPost, "/x", forged); err != nil || body != "served" {
		t.Errorf("without a peer: got %q, %v", body, err)
	}
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	peer.addReplica(func(c net.Conn, id string) { writeOK(c, id, "served") })
	if _, body, err := cut.call(http.MethodPost, "/x", forged); err != nil || body != "served" {
		t.Errorf("by way of a peer: got %q, %v", body, err)
	}
}

// A wrong header between daemons is refused with an error that names it.
func TestInvalidHeaderBetweenDaemonsIsNamed(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	for name, value := range map[string]string{headerForwardedState: "x", headerForwardedRan: "99"} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Header = http.Header{headerForwardedBy: {"a"}, headerForwardedState: {"1"}, headerForwardedRan: {"0"}}
		r.Header.Set(name, value)
		f.server.ServeForwarded(w, r)
		if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), name) {
			t.Errorf("%s: %d %s", name, w.Code, w.Body)
		}
	}
}

// A faulty replica runs a call and answers with the headers by which daemons refuse forwarded requests. The call must not count as
// not run, or it would run again.
func TestReplicaCannotRefuseForDaemon(t *testing.T) {
	cut, peer, peers := newPair(t, route(routing.KindOnce))
	answer := func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n%s: no_target\r\n%s: not_run\r\nContent-Length: 2\r\n\r\nok", id, headerRefusalCode, headerRefusalRan)
	}
	peer.addReplica(answer)
	second := newFixture(t, route(routing.KindOnce))
	second.server.o.MaxReceived = 10
	second.addReplica(answer)
	peers.add(t, second.listenForPeers())
	if _, body, err := cut.call(http.MethodPost, "/x", nil); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
	if n := len(peer.received()) + len(second.received()); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// The caller of a forwarded request disconnects. The replica must be told soon, although two daemons are in between, and must not get the request
// again. Others may call at the replica's port, which was another's before: only this request counts.
func TestCancelReachesReplicaThroughPeer(t *testing.T) {
	id := uniqueID(t)
	var peer *fixture
	t.Cleanup(func() { // after all servers have ended their attempts
		if n := peer.receivedOf(id); n != 1 {
			t.Errorf("the replica got the request %d times, want once", n)
		}
	})
	cut, peer, _ := newPair(t, route(routing.KindIdempotent))
	began, closed := make(chan struct{}, 8), make(chan struct{}, 8)
	replica := peer.addReplica(func(c net.Conn, got string) {
		if got != id {
			return
		}
		began <- struct{}{}
		_, _ = bufio.NewReader(c).ReadByte() // fails when the connection is closed
		closed <- struct{}{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, cut.front.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Header = testHost, http.Header{"Id": {id}, "Key": {"k"}}
	callAsStranger(t, replica)
	go func() {
		if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
			resp.Body.Close()
		}
	}()
	<-began
	callAsStranger(t, replica)
	cancel()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the replica still works for a caller that has left")
	}
}

// callAsStranger sends a replica a request as another test does whose replica had the same port before.
func callAsStranger(t *testing.T, replica net.Listener) {
	c, err := net.Dial("tcp", replica.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: %s\r\nId: 1\r\n\r\n", testHost)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
}

// uniqueID returns the id of a request that no other test sends, of this or another process.
func uniqueID(t *testing.T) string {
	return fmt.Sprint(t.Name(), "-", os.Getpid(), "-", time.Now().UnixNano())
}

// receivedOf returns how often replicas received a request.
func (f *fixture) receivedOf(id string) (n int) {
	for _, a := range f.received() {
		if a.id == id {
			n++
		}
	}
	return n
}

// A peer dies in the middle of a stream that may be resumed. The next one goes on after the last event, and the caller gets
// each event once.
func TestStreamResumesAtAnotherPeer(t *testing.T) {
	r := route(routing.KindStream)
	r.Resumable, r.MaxAttempts = true, 3
	cut, peer, peers := newPair(t, r)
	firstArrived := make(chan struct{})
	peer.addReplica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n", id)
		<-firstArrived
		_, _ = io.WriteString(c, "id: 2\nda") // breaks off in an event
		_ = c.(*net.TCPConn).SetLinger(0)     // fails only on a closed connection
	})
	second := newFixture(t, r)
	second.server.o.MaxReceived = 10
	second.addReplica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 2\ndata: b\n\n", id)
	})
	peers.add(t, second.listenForPeers())
	request, err := http.NewRequest(http.MethodPost, cut.front.URL+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host, request.Header = testHost, http.Header{"Id": {"1"}, "Key": {"k"}}
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	close(firstArrived) // the response begins with the first event
	raw, err := io.ReadAll(resp.Body)
	if body := string(raw); err != nil || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("got %q, %v", body, err)
	}
	got := second.received()
	if len(got) != 1 || got[0].lastEventID != "1" {
		t.Errorf("the second peer sent %+v", got)
	}
}

// A request reaches at most max_attempts replicas, also if daemons share the attempts.
func TestAttemptsAreSharedWithPeer(t *testing.T) {
	f := newFixture(t, route(routing.KindIdempotent))
	f.addReplica(closeWithoutResponse)
	f.addReplica(closeWithoutResponse)
	f.addReplica(closeWithoutResponse)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Host = testHost
	r.Header = http.Header{
		"Id": {"1"}, "Key": {"k"}, headerForwardedBy: {"cut"}, headerForwardedState: {"1"}, headerForwardedRan: {"1"}, headerForwardedReplicas: {"r0"},
	}
	f.server.o.MaxReceived = 10
	f.server.ServeForwarded(w, r)
	if n := len(f.received()); n != 1 || w.Header().Get(headerRefusalRan) != string(request.InDoubt) {
		t.Errorf("%d arrivals after one attempt elsewhere, want 1; refusal %v", n, w.Header())
	}
}

// The retry budget is a share of the requests of callers, refused ones included. A request that two daemons see counts once.
func TestRequestCountsOnceForRetryBudget(t *testing.T) {
	earned := func(f *fixture) int {
		f.server.o.RetryBudget = func() retry.Params { return retry.Params{Share: 1, Window: time.Hour, Burst: 100} }
		n := 0
		for f.server.withBudget("s", func(b *retry.Budget) bool { return b.TryTake(time.Now()) }) {
			n++
		}
		return n
	}
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	alone := newFixture(t, route(routing.KindOnce))
	for _, f := range []*fixture{cut, peer, alone} {
		earned(f) // empties the budget
	}
	for range 20 {
		if _, _, err := cut.post("forwarded"); err != nil {
			t.Fatal(err)
		}
		if _, _, err := alone.post("refused"); err != nil {
			t.Fatal(err)
		}
	}
	if a, b := earned(cut), earned(peer); a != 0 || b < 15 {
		t.Errorf("20 forwarded requests earn %d retries at the daemon that forwards them and %d at the other", a, b)
	}
	if n := earned(alone); n < 15 {
		t.Errorf("20 refused requests earn %d retries", n)
	}
}

// The replica gets the time that is left, not what the caller once had.
func TestPeerPassesOnTheTimeLeft(t *testing.T) {
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	peer.addReplica(func(c net.Conn, id string) { writeOK(c, id, "served") })
	if _, body, err := cut.call(http.MethodPost, "/x", http.Header{"Left": {"700"}}); err != nil || body != "served" {
		t.Fatalf("got %q, %v", body, err)
	}
	if left := peer.received()[0].timeLeftMs; left > 700 || left < 500 {
		t.Errorf("%d ms are left at the replica", left)
	}
}

// Answers without a length that break off on the way must not look complete after two hops.
func TestTruncatedAnswerThroughPeerIsNotComplete(t *testing.T) {
	cut, peer, _ := newPair(t, route(routing.KindOnce))
	peer.addReplica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: %d\r\n\r\n", id, 2*maxBufferedBody)
		_, _ = io.WriteString(c, strings.Repeat("x", maxBufferedBody)) // the rest never comes
	})
	if answer, _, err := cut.call(http.MethodPost, "/x", nil); err == nil && answer.StatusCode < 300 {
		t.Error("the caller got a truncated answer as a complete one")
	}
}

// BenchmarkForwarded compares a request that another daemon serves with one that this daemon sends to a replica itself.
func BenchmarkForwarded(b *testing.B) {
	answer := func(c net.Conn, id string) { writeOK(c, id, "served") }
	run := func(b *testing.B, f *fixture) {
		for b.Loop() {
			if _, body, err := f.call(http.MethodPost, "/x", nil); err != nil || body != "served" {
				b.Fatalf("got %q, %v", body, err)
			}
		}
	}
	b.Run("direct", func(b *testing.B) {
		f := newFixture(b, route(routing.KindOnce))
		f.addReplica(answer)
		run(b, f)
	})
	b.Run("forwarded", func(b *testing.B) {
		cut, peer, _ := newPair(b, route(routing.KindOnce))
		peer.addReplica(answer)
		run(b, cut)
	})
}
