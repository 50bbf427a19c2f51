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

// network connects the daemons of a test and can partition daemons from their peers.
type network struct {
	mu          sync.Mutex
	partitioned map[string]bool // by peer address

	sent     atomic.Int64 // bytes on connections that daemons opened
	received atomic.Int64
}

func (n *network) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

func (n *network) reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[from] && !n.partitioned[to]
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

// peerTransport is a daemon's HTTP transport to its peers.
type peerTransport struct {
	*http.Transport
	network *network
	self    string
}

func (l *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !l.network.reaches(l.self, r.URL.Host) {
		return nil, errors.New("network partition")
	}
	return l.Transport.RoundTrip(r)
}

func (n *network) client(self string) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{Conn: conn, network: n}, err
	}
	return &http.Client{Transport: &peerTransport{Transport: &http.Transport{DialContext: dial}, network: n, self: self}}
}

// daemon is a Service with its table on a loopback address.
type daemon struct {
	*Service
	replica *table.Replica
	stop    func()
}

// environment holds what the daemons of a test share.
type environment struct {
	network             *network
	keyValue            *kv.Fake
	timing              table.Timing  // of the daemons started next
	firstContactTimeout time.Duration // of the daemons started next
}

func newEnvironment() *environment {
	return &environment{
		network: &network{partitioned: make(map[string]bool)}, keyValue: kv.NewFake(nil),
		timing: tableTiming, firstContactTimeout: 20 * time.Millisecond,
	}
}

// tableTiming shortens the periods in which a daemon reads the table.
var tableTiming = table.Timing{
	WatchWait: 10 * time.Millisecond, PollInterval: time.Millisecond, FirstReadDelay: 20 * time.Millisecond,
	MaxStaleness: 100 * time.Millisecond, BackoffMin: time.Millisecond, BackoffMax: 5 * time.Millisecond,
}

func (e *environment) start(t *testing.T, id string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	d := &daemon{replica: table.NewReplica(table.ReplicaOptions{KV: e.keyValue.Client(id), Timing: e.timing})}
	d.Service = New(Options{
		Self:   &peer.Member{Id: id, PeerAddress: address, Region: "fes"},
		Seeds:  seeds,
		Table:  d.replica,
		Client: e.network.client(address),

		FirstContactTimeout: e.firstContactTimeout,
		Params:              Params{Interval: 10 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: 300 * time.Millisecond},
	})
	server := &http.Server{Handler: peer.NewGossipServer(d.Service), ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(listener) })
	tasks.Go(func() { _ = d.Run(ctx) })
	tasks.Go(func() { _ = d.replica.Run(ctx, func() bool { return d.RanksInRegion("table", 2) }) })
	d.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		tasks.Wait()
	})
	t.Cleanup(d.stop)
	return d
}

// eventually polls a condition that no event announces.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("not reached: " + what)
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

// TestServiceOverLoopback lets three daemons find each other over real connections through
// one seed. Then one daemon merges a page of the table, one leaves and one is killed. The
// others must detect each of these events.
func TestServiceOverLoopback(t *testing.T) {
	e := newEnvironment()
	a := e.start(t, "a")
	b := e.start(t, "b", a.Self().PeerAddress)
	c := e.start(t, "c", a.Self().PeerAddress)
	for _, d := range []*daemon{a, b, c} {
		eventually(t, "three live daemons", func() bool { return len(d.Live()) == 3 })
	}
	if p, q := a.Owner("context"), c.Owner("context"); p.Id != q.Id {
		t.Fatalf("owners differ: %s and %s", p.Id, q.Id)
	}
	page := &peer.Page{Name: "models/000", Revision: 7, Value: []byte(`{"name":"models/000"}`)}
	if b.replica.Merge([]*peer.Page{page}) != 1 {
		t.Fatal("page not merged")
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

// TestWireBytes measures the bytes that HTTP adds to a message on real connections. The
// simulation of large fleets assumes httpOverhead.
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
		t.Fatalf("HTTP adds %d bytes per message, the simulation assumes %d", overhead, httpOverhead)
	}
}
