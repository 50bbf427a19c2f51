package limiter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/limit"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
)

const (
	testRate  = 50.0
	testBurst = 20.0
	sliceTTL  = time.Second // limit.Params' default
	// settleTTL is short, so that rates bound the test and not places.
	settleTTL = 50 * time.Millisecond
)

// daemons is limiters that ask each other over twirp.
type daemons struct {
	list    []*Limiter
	servers []*httptest.Server
	members []*peer.Member
	steward atomic.Int32 // index of the daemon that all take for the steward
	live    atomic.Pointer[[]*peer.Member]
	down    atomic.Bool // no steward can be reached
	alone   atomic.Bool // each daemon takes itself for the steward
	client  *http.Client
}

// place is the view of one daemon.
type place struct {
	*daemons
	self int
}

func (p place) Self() *peer.Member      { return p.members[p.self] }
func (p place) Live() []*peer.Member    { return *p.live.Load() }
func (p place) Members() []*peer.Member { return p.members }

// Owner is the steward; each daemon itself in the naive twin, where each counts alone.
func (p place) Owner(string) *peer.Member {
	if p.alone.Load() {
		return p.members[p.self]
	}
	return p.members[p.steward.Load()]
}

func (p place) Steward(m *peer.Member) peer.Steward {
	url := "http://" + m.PeerAddress
	if p.down.Load() {
		url = "http://127.0.0.1:1"
	}
	return peer.NewStewardProtobufClient(url, p.client)
}

// sliceServer is the limiter's half of peer.Steward.
type sliceServer struct {
	peer.Steward
	*Limiter
}

func (s sliceServer) Slice(ctx context.Context, r *peer.SliceRequest) (*peer.SliceResponse, error) {
	return s.Limiter.Slice(ctx, r)
}

func loadTable(t *testing.T) *table.Replica {
	return tabletest.Load(t, kv.NewFake(nil).Client("d1"), tabletest.Rows{
		Models:        "verdict,v1,1024,3\n",
		Organisations: fmt.Sprintf("atlas,%064x,1,%v,%v,10000,100000000,verdict,\n", 1, testRate, testBurst),
	})
}

func startDaemons(t *testing.T, replica *table.Replica, n int) *daemons {
	t.Helper()
	d := &daemons{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	ctx, stop := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	for i := range n {
		d.members = append(d.members, &peer.Member{Id: fmt.Sprintf("d%d", i)})
		l := New(Options{Tables: replica, Members: place{d, i}, Peers: place{d, i}, Params: limit.Params{SettleTTL: settleTTL}, Logger: hclog.NewNullLogger()})
		server := httptest.NewServer(peer.NewStewardServer(sliceServer{Limiter: l}))
		d.members[i].PeerAddress = server.Listener.Addr().String()
		d.list, d.servers = append(d.list, l), append(d.servers, server)
	}
	d.live.Store(&d.members)
	for _, l := range d.list {
		runs.Go(func() { l.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		runs.Wait()
		for i, l := range d.list {
			l.Shutdown()
			d.servers[i].Close()
		}
		d.client.CloseIdleConnections()
	})
	return d
}

// flood has callers ask all daemons as fast as they may for so long, and returns how many
// were admitted and how long it took.
func (d *daemons) flood(org *table.Organisation, long time.Duration) (admitted int64, took time.Duration) {
	var count atomic.Int64
	started := time.Now()
	var callers sync.WaitGroup
	for _, l := range d.list {
		for range 4 {
			callers.Go(func() {
				for time.Since(started) < long {
					refusal := l.Admit(context.Background(), org, 1)
					if refusal == nil {
						count.Add(1)
						l.Done(org.ID, 1)
						continue
					}
					time.Sleep(min(refusal.RetryAfter, 10*time.Millisecond))
				}
			})
		}
	}
	callers.Wait()
	return count.Load(), time.Since(started)
}

// Callers spread over three daemons get three times their limit if each daemon counts
// for itself; callers of a daemon that has lost the steward get nothing if it is closed,
// or everything if it is open. The bounds are those of docs/design/limits.md.
func TestLimitHoldsOverDaemons(t *testing.T) {
	const n, long = 3, 1500 * time.Millisecond
	replica := loadTable(t)
	org, _ := replica.Current().Organisation("atlas")
	naive := startDaemons(t, replica, n)
	naive.alone.Store(true)
	admitted, took := naive.flood(org, long)
	if bound := testBurst + testRate*(took+sliceTTL).Seconds(); float64(admitted) <= bound {
		t.Fatalf("daemons that count alone admitted %d of %.0f: the test shows nothing", admitted, bound)
	}
	d := startDaemons(t, replica, n)
	check := func(what string, admitted int64, bound float64) {
		t.Helper()
		if float64(admitted) > bound || admitted == 0 {
			t.Fatalf("%s: %d admitted, want 1 to %.0f", what, admitted, bound)
		}
	}
	admitted, took = d.flood(org, long)
	check("one steward", admitted, testBurst+testRate*(took+sliceTTL).Seconds())

	d.down.Store(true)
	admitted, took = d.flood(org, long)
	// Each that has lost the steward goes on at its share; the steward's own callers are
	// still admitted from its bucket.
	share := n * (2 + testBurst/n + testRate/n*took.Seconds())
	check("steward lost", admitted, testBurst+testRate*(took+sliceTTL).Seconds()+share)

	d.down.Store(false)
	d.steward.Store(1)
	restarted := slices.Clone(d.members)
	restarted[0] = &peer.Member{Id: "d0", PeerAddress: d.members[0].PeerAddress, Incarnation: 1}
	d.live.Store(&restarted)
	admitted, took = d.flood(org, long)
	check("another steward", admitted, testBurst+testRate*(took+sliceTTL).Seconds()+1+testRate*sliceTTL.Seconds()+share)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
