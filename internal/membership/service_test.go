package membership

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network joins the daemons of a test; it can part daemons from their peers.
type network struct {
	mu  sync.Mutex
	cut map[string]bool // by peer address

	sent     atomic.Int64 // bytes on connections that daemons opened
	received atomic.Int64
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[from] && !n.cut[to]
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	network *network
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.sent.Add(int64(n))
	return n, err
}

// link is a daemon's way to its peers.
type link struct {
	*http.Transport
	network *network
	self    string
}

func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if !l.network.reaches(l.self, r.URL.Host) {
		return nil, errors.New("cut")
	}
	return l.Transport.RoundTrip(r)
}

func (n *network) client(self string) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{Conn: conn, network: n}, err
	}
	return &http.Client{Transport: &link{Transport: &http.Transport{DialContext: dial}, network: n, self: self}}
}

// daemon is a Service with its table on a loopback address.
type daemon struct {
	*Service
	replica *table.Replica
	stop    func()
}

// environment is what the daemons of a test share.
type environment struct {
	network *network
	service *kv.Fake
	timing  table.Timing  // of daemons to start
	solo    time.Duration // SoloAfter of daemons to start
}

func newEnvironment() *environment {
	return &environment{
		network: &network{cut: make(map[string]bool)}, service: kv.NewFake(nil),
		timing: tableTiming, solo: 20 * time.Millisecond,
	}
}

// tableTiming makes a table's daemon look at once where it would take its time.
var tableTiming = table.Timing{
	WatchWait: 10 * time.Millisecond, PollInterval: time.Millisecond, FirstReadDelay: 20 * time.Millisecond,
	MaxProofAge: 100 * time.Millisecond, BackoffMin: time.Millisecond, BackoffMax: 5 * time.Millisecond,
}

func (e *environment) start(t *testing.T, id string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	d := &daemon{replica: table.NewReplica(table.ReplicaOptions{KV: e.service.Client(id), Timing: e.timing})}
	d.Service = New(Options{
		Self:    &peer.Member{Id: id, PeerAddress: address, Region: "fes"},
		Seeds:   seeds,
		Replica: d.replica,
		Client:  e.network.client(address),

		SoloAfter: e.solo,
		Params:    Params{Interval: 10 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: 300 * time.Millisecond},
	})
	server := &http.Server{Handler: peer.NewGossipServer(d.Service), ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(listener) })
	tasks.Go(func() { _ = d.Run(ctx) })
	tasks.Go(func() { _ = d.replica.Run(ctx, func() bool { return d.Among("table", 2) }) })
	d.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		tasks.Wait()
	})
	t.Cleanup(d.stop)
	return d
}

// eventually waits for a condition that comes without an event to wait for.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("never: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (d *daemon) stateOf(id string) peer.MemberState {
	for _, m := range d.Members() {
		if m.Id == id {
			return m.State
		}
	}
	return -1
}

// Three daemons on real connections find each other through one seed. Then one takes a
// page of the table, one leaves and one is killed: the others see each of it.
func TestServiceOverLoopback(t *testing.T) {
	e := newEnvironment()
	a := e.start(t, "a")
	b := e.start(t, "b", a.Self().PeerAddress)
	c := e.start(t, "c", a.Self().PeerAddress)
	for _, d := range []*daemon{a, b, c} {
		eventually(t, "three live daemons", func() bool { return len(d.Live()) == 3 })
	}
	if p, q := a.Place("context"), c.Place("context"); p.Id != q.Id {
		t.Fatalf("places differ: %s and %s", p.Id, q.Id)
	}
	page := &peer.Page{Name: "models/000", Revision: 7, Value: []byte(`{"name":"models/000"}`)}
	if b.replica.Merge([]*peer.Page{page}) != 1 {
		t.Fatal("page not taken")
	}
	for _, d := range []*daemon{a, c} {
		eventually(t, "the page everywhere", func() bool { return d.replica.Current().Revision() == 7 })
	}
	b.Leave()
	for _, d := range []*daemon{a, b, c} {
		eventually(t, "b leaving", func() bool { return d.stateOf("b") == leaving && len(d.Live()) == 2 })
	}
	c.stop()
	eventually(t, "c dead", func() bool { return a.stateOf("c") == dead })
}

// TestWireBytes measures what HTTP adds to a message on real connections; the simulation
// of large fleets counts with it.
func TestWireBytes(t *testing.T) {
	e := newEnvironment()
	a := New(Options{Self: &peer.Member{Id: "daemon-001", PeerAddress: "10.0.0.1:9000"}})
	client := e.network.client("")
	defer client.CloseIdleConnections()
	server := httptest.NewServer(peer.NewGossipServer(a))
	defer server.Close()
	gossip := peer.NewGossipProtobufClient(server.URL, client)
	const exchanges = 50
	before := e.network.sent.Load() + e.network.received.Load()
	payload := 0
	for range exchanges {
		request := &peer.ExchangeRequest{From: "daemon-002", TableHash: 1}
		response, err := gossip.Exchange(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		payload += proto.Size(request) + proto.Size(response)
	}
	total := e.network.sent.Load() + e.network.received.Load() - before
	overhead := (int(total) - payload) / (2 * exchanges)
	t.Logf("overhead=%d bytes a message", overhead)
	if overhead > httpOverhead {
		t.Fatalf("HTTP adds %d bytes a message, the simulation counts %d", overhead, httpOverhead)
	}
}
