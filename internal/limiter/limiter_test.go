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
	// settleTTL is short, so that the test is bounded by rates and not by concurrency slots.
	settleTTL = 50 * time.Millisecond
)

// testCluster is a set of limiters that call each other over twirp.
type testCluster struct {
	limiters    []*Limiter
	servers     []*httptest.Server
	members     []*peer.Member
	coordinator atomic.Int32 // index of the daemon that all daemons regard as coordinator
	live        atomic.Pointer[[]*peer.Member]
	partitioned atomic.Bool // no daemon can reach another daemon's coordinator
	independent atomic.Bool // each daemon regards itself as coordinator
	client      *http.Client
}

// memberView is the membership as seen by one daemon.
type memberView struct {
	*testCluster
	self int
}

func (v memberView) Self() *peer.Member      { return v.members[v.self] }
func (v memberView) Live() []*peer.Member    { return *v.live.Load() }
func (v memberView) Members() []*peer.Member { return v.members }

// Owner returns the coordinator. If the daemons are independent, each is its own coordinator.
func (v memberView) Owner(string) *peer.Member {
	if v.independent.Load() {
		return v.members[v.self]
	}
	return v.members[v.coordinator.Load()]
}

func (v memberView) Steward(m *peer.Member) peer.Steward {
	url := "http://" + m.PeerAddress
	if v.partitioned.Load() {
		url = "http://127.0.0.1:1"
	}
	return peer.NewStewardProtobufClient(url, v.client)
}

// sliceServer serves the Slice method of peer.Steward.
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

func startCluster(t *testing.T, replica *table.Replica, n int) *testCluster {
	t.Helper()
	cluster := &testCluster{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	ctx, stop := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	for i := range n {
		cluster.members = append(cluster.members, &peer.Member{Id: fmt.Sprintf("d%d", i)})
		l := New(Options{Tables: replica, Members: memberView{cluster, i}, Peers: memberView{cluster, i}, Params: limit.Params{SettleTTL: settleTTL}, Logger: hclog.NewNullLogger()})
		server := httptest.NewServer(peer.NewStewardServer(sliceServer{Limiter: l}))
		cluster.members[i].PeerAddress = server.Listener.Addr().String()
		cluster.limiters, cluster.servers = append(cluster.limiters, l), append(cluster.servers, server)
	}
	cluster.live.Store(&cluster.members)
	for _, l := range cluster.limiters {
		runs.Go(func() { l.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		runs.Wait()
		for i, l := range cluster.limiters {
			l.Shutdown()
			cluster.servers[i].Close()
		}
		cluster.client.CloseIdleConnections()
	})
	return cluster
}

// generateLoad makes callers send requests to all daemons as fast as permitted for the given
// duration. It returns the number of admitted requests and the elapsed time.
func (cluster *testCluster) generateLoad(org *table.Organisation, duration time.Duration) (admitted int64, elapsed time.Duration) {
	var count atomic.Int64
	started := time.Now()
	var callers sync.WaitGroup
	for _, l := range cluster.limiters {
		for range 4 {
			callers.Go(func() {
				for time.Since(started) < duration {
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

// Callers of three daemons get three times their limit if each daemon enforces it
// independently. When a daemon can't reach the coordinator, its callers would get nothing
// if it failed closed, and would not be limited if it failed open. The bounds are those of
// docs/design/limits.md.
func TestLimitAcrossDaemons(t *testing.T) {
	const n, duration = 3, 1500 * time.Millisecond
	replica := loadTable(t)
	org, _ := replica.Current().Organisation("atlas")
	uncoordinated := startCluster(t, replica, n)
	uncoordinated.independent.Store(true)
	admitted, elapsed := uncoordinated.generateLoad(org, duration)
	if bound := testBurst + testRate*(elapsed+sliceTTL).Seconds(); float64(admitted) <= bound {
		t.Fatalf("independent daemons admitted %d, within the bound of %.0f: the test shows nothing", admitted, bound)
	}
	cluster := startCluster(t, replica, n)
	check := func(what string, admitted int64, bound float64) {
		t.Helper()
		if float64(admitted) > bound || admitted == 0 {
			t.Fatalf("%s: %d admitted, want 1 to %.0f", what, admitted, bound)
		}
	}
	admitted, elapsed = cluster.generateLoad(org, duration)
	check("one coordinator", admitted, testBurst+testRate*(elapsed+sliceTTL).Seconds())

	cluster.partitioned.Store(true)
	admitted, elapsed = cluster.generateLoad(org, duration)
	// Daemons without a coordinator continue with their share of the limit. The coordinator
	// still admits its own callers from its bucket.
	share := n * (2 + testBurst/n + testRate/n*elapsed.Seconds())
	check("coordinator unreachable", admitted, testBurst+testRate*(elapsed+sliceTTL).Seconds()+share)

	cluster.partitioned.Store(false)
	cluster.coordinator.Store(1)
	restarted := slices.Clone(cluster.members)
	restarted[0] = &peer.Member{Id: "d0", PeerAddress: cluster.members[0].PeerAddress, Incarnation: 1}
	cluster.live.Store(&restarted)
	admitted, elapsed = cluster.generateLoad(org, duration)
	check("new coordinator", admitted, testBurst+testRate*(elapsed+sliceTTL).Seconds()+1+testRate*sliceTTL.Seconds()+share)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
