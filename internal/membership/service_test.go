package membership

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// daemon is a Service on a loopback address.
type daemon struct {
	*Service
	replica *table.Replica
	stop    func()
}

func startDaemon(t *testing.T, id string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{replica: table.NewReplica(table.ReplicaOptions{})}
	d.Service = New(Options{
		Self:    &peer.Member{Id: id, PeerAddress: listener.Addr().String(), Region: "fes"},
		Seeds:   seeds,
		Replica: d.replica,
		Params:  Params{Interval: 10 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: 300 * time.Millisecond},
	})
	server := &http.Server{Handler: peer.NewGossipServer(d.Service), ReadHeaderTimeout: time.Second}
	serving := make(chan struct{})
	go func() {
		defer close(serving)
		_ = server.Serve(listener)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	running := make(chan struct{})
	go func() {
		defer close(running)
		_ = d.Run(ctx)
	}()
	stopped := false
	d.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-running
		_ = server.Close()
		<-serving
	}
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
	a := startDaemon(t, "a")
	b := startDaemon(t, "b", a.Self().PeerAddress)
	c := startDaemon(t, "c", a.Self().PeerAddress)
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
