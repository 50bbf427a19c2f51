package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/daemon"
	"github.com/bluebellscale/bluebellscale/internal/loadgen"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/standin/service"
	"github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
)

const (
	atlasKey = "atlas-key"
	// fastTimeScale is the time scale of engines in tests that don't depend on their speed.
	// A nominal second of such an engine lasts 50 ms.
	fastTimeScale = 0.05
	// waitTimeout bounds every wait of these tests and allows for a busy machine.
	waitTimeout = 60 * time.Second
)

// cluster runs daemons and stand-ins for their environment in one process.
type cluster struct {
	t        *testing.T
	kv       string
	stopKV   func()
	kvServer *kv.Server
	engines  []*engine.Engine
	servers  []*fault.Server // of the engines
	services []string
	store    *fault.Server
	weights  loadingCounter
	daemons  []*runningDaemon
	// timeScale is the real time of a nominal second of the engines.
	timeScale float64
}

// loadingCounter counts the engines that load weights at the same time.
type loadingCounter struct {
	mu      sync.Mutex
	loading map[string]bool
	peak    int
}

// Report implements engine.WeightStore.
func (w *loadingCounter) Report(r vmlist.LoadReport) vmlist.LoadResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loading == nil {
		w.loading = map[string]bool{}
	}
	delete(w.loading, r.Replica)
	if r.Loading {
		w.loading[r.Replica] = true
	}
	w.peak = max(w.peak, len(w.loading))
	return vmlist.LoadResponse{Loading: len(w.loading), Cap: 2, Peak: w.peak}
}

// peakLoading returns the highest number of engines that loaded weights at the same time.
// An engine reports the end of loading only after its state shows the new version.
func (w *loadingCounter) peakLoading() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

type runningDaemon struct {
	*daemon.Daemon
	stop context.CancelFunc
	done chan error
}

func newCluster(t *testing.T, engines, daemons int) *cluster {
	t.Helper()
	return newClusterAt(t, fastTimeScale, engines, daemons)
}

// newClusterAt is newCluster with engines of the given time scale.
func newClusterAt(t *testing.T, timeScale float64, engines, daemons int) *cluster {
	t.Helper()
	c := &cluster{t: t, timeScale: timeScale}
	c.startKV()
	for range engines {
		c.startEngine()
	}
	c.startService()
	c.startStore()
	c.writeRows()
	for i := range daemons {
		c.startDaemon(fmt.Sprintf("d%d", i+1))
	}
	for _, d := range c.daemons {
		c.await("the table and the members", func() bool { return c.ready(d, daemons) })
	}
	return c
}

func (c *cluster) startKV() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.check(err)
	c.kvServer = kv.NewServer(kv.Options{})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.kvServer.Serve(ctx, l)
	}()
	c.kv = l.Addr().String()
	c.stopKV = func() { stop(); <-done }
	c.t.Cleanup(c.stopKV)
}

func (c *cluster) startEngine() {
	e, server, err := engine.Start("127.0.0.1:0", engine.Options{
		Model: "verdict", Version: "v1", TimeScale: c.timeScale, TotalBlocks: 400, KVBytesPerToken: 64, ChecksEpoch: true,
		WeightLoadTime: 4 * time.Second, Name: fmt.Sprint(len(c.engines)), WeightStore: &c.weights, Incarnation: uint64(1000 + len(c.engines)),
	})
	c.check(err)
	c.engines = append(c.engines, e)
	c.servers = append(c.servers, server)
	c.t.Cleanup(func() { _ = server.Close(); e.Close() })
}

func (c *cluster) startService() {
	s := service.New(service.Options{Delay: 2 * time.Millisecond})
	server, err := fault.Serve("127.0.0.1:0", fault.New(fault.Options{Die: func() {}}), s)
	c.check(err)
	c.services = append(c.services, server.Address())
	c.t.Cleanup(func() { _ = server.Close() })
}

func (c *cluster) startStore() {
	s := store.New(store.Options{MemoryBytes: 1 << 30, DiskBytes: 1 << 30, LinkBytesPerSec: 1 << 30})
	server, err := fault.Serve("127.0.0.1:0", fault.New(fault.Options{Die: func() {}}), s.Handler())
	c.check(err)
	c.store = server
	c.t.Cleanup(func() { _ = server.Close() })
}

func (c *cluster) writeRows() {
	var targets strings.Builder
	for i, s := range c.servers {
		fmt.Fprintf(&targets, "engine-%d,engine,%s,conche,verdict,,,true,false,8\n", i+1, s.Address())
	}
	fmt.Fprintf(&targets, "service-1,service,%s,temper,,,cards,false,false,8\n", c.services[0])
	tabletest.Write(c.t, c.client(), tabletest.Rows{
		Organisations: fmt.Sprintf("atlas,%x,10,1000,1000,500,100000000,verdict,cards\n", sha256.Sum256([]byte(atlasKey))),
		Models:        "verdict,v1,64,2\n",
		Targets:       targets.String(),
		Stores:        fmt.Sprintf("store-1,%s,pack,1000000000\n", c.store.Address()),
	})
}

func (c *cluster) client() platform.KV {
	return platform.NewClient(platform.Options{Addresses: []string{c.kv}, ClientID: "test"})
}

func (c *cluster) startDaemon(id string) *runningDaemon {
	seeds := ""
	if len(c.daemons) > 0 {
		seeds = c.daemons[0].PeerAddress()
	}
	settings, err := config.Parse(fmt.Appendf(nil, `
[daemon]
id = %s
region = fes
failure_domain = conche
listen = 127.0.0.1:0
peer = 127.0.0.1:0
[platform]
kv = %s
[membership]
seeds = %s
interval = 50ms
suspect_after = 1s
dead_after = 2s
[journal]
partitions = 4
lease_ttl = 2s
[streams]
silent_after = 1s
header_timeout = 1s
[placement]
profile = fonografos
[drain]
route_keep = 200ms
[fleet]
poll_interval = 50ms
order_timeout = 300ms
`, id, c.kv, seeds))
	c.check(err)
	d, err := daemon.New(settings, hclog.NewNullLogger())
	c.check(err)
	ctx, stop := context.WithCancel(context.Background())
	r := &runningDaemon{Daemon: d, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- d.Run(ctx) }()
	c.daemons = append(c.daemons, r)
	c.t.Cleanup(func() { stop(); <-r.done })
	return r
}

func (c *cluster) ready(d *runningDaemon, daemons int) bool {
	var state struct {
		Table   table.State
		Members []struct{ State string }
	}
	if !c.get("http://"+d.PeerAddress()+"/debug/state", &state) {
		return false
	}
	return state.Table.Revision > 0 && len(state.Members) == daemons
}

func (c *cluster) get(url string, out any) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out) == nil
}

func (c *cluster) addresses() []string {
	var out []string
	for _, d := range c.daemons {
		out = append(out, d.CallerAddress())
	}
	return out
}

// load runs callers and fails the test if a response was lost, wrong or duplicated.
func (c *cluster) load(configure func(*loadgen.Config)) loadgen.Report {
	c.t.Helper()
	settings := loadgen.Config{
		Daemons: c.addresses(), Services: c.services,
		Orgs:  []loadgen.Org{{ID: "atlas", Key: atlasKey}},
		Model: "verdict", Seed: 1,
		Contexts: 6, Turns: 4, ContextTokens: 2000, TurnTokens: 32, MaxTokens: 16, Gap: 50 * time.Millisecond,
		Service: "cards", Calls: 20, Callers: 2, CallGap: 10 * time.Millisecond, CallBody: 16,
		RequestTimeout: waitTimeout, IdleTimeout: 10 * time.Second, MaxBackoff: 200 * time.Millisecond,
	}
	if configure != nil {
		configure(&settings)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	report, err := loadgen.Run(ctx, settings)
	c.check(err)
	if report.Failed() {
		c.t.Fatalf("load generator found a violated guarantee: %+v", report)
	}
	return report
}

// complete sends one prompt and returns the status and body of the response.
func (c *cluster) complete(d *runningDaemon, prompt string) (int, string) {
	c.t.Helper()
	body, _ := json.Marshal(map[string]any{"model": "verdict", "prompt": prompt, "max_tokens": 4})
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddress()+"/v1/completions", bytes.NewReader(body))
	c.check(err)
	return c.send(req)
}

func (c *cluster) send(req *http.Request) (int, string) {
	c.t.Helper()
	req.Header.Set("Authorization", "Bearer "+atlasKey)
	resp, err := http.DefaultClient.Do(req)
	c.check(err)
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	c.check(err)
	return resp.StatusCode, text.String()
}

// await waits until condition holds.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	c.awaitWithState(what, condition, func() string { return "no state recorded" })
}

// awaitWithState is await with a failure message that includes state.
func (c *cluster) awaitWithState(what string, condition func() bool, state func() string) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s: %s", what, state())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}
