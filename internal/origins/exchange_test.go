package origins

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	keepTime = 10 * time.Second
	service  = "s"
)

func isTestService(s routing.ServiceID) bool { return s == service }

// member is a daemon of a test.
type member struct {
	*Exchange
	server  *httptest.Server
	name    string
	current atomic.Bool
	silent  chan struct{} // it answers once this is closed; nil: at once
}

// group is a fleet of exchanges whose datagrams arrive at once.
type group struct {
	t       *testing.T
	kv      *listKV // nil: there is none
	mu      sync.Mutex
	members []*member
}

// newGroup starts daemons that have known one version for long, which the key-value service lists.
func newGroup(t *testing.T, daemons int) *group {
	t.Helper()
	g := &group{t: t, kv: newListKV("v1")}
	for i := range daemons {
		m := g.start(fmt.Sprint("vm", i))
		m.OnListed(time.Now().Add(-time.Hour))
		m.OnSoftware(service, "v1", true)
		m.applyEntry(g.kv.entry)
	}
	return g
}

func (g *group) start(name string) *member {
	m := &member{name: name}
	m.current.Store(true)
	params := DefaultParams
	params.Wait = time.Second
	m.Exchange = New(Options{
		Self: name, Region: "r", Peers: g.peers, Send: g.send, Client: http.DefaultClient,
		Current: m.current.Load, Keep: func() time.Duration { return keepTime }, Params: params, Resumable: isTestService,
	})
	if g.kv != nil {
		m.o.KV = g.kv
	}
	handler := NewServer(m.Exchange)
	m.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.silent != nil {
			<-m.silent
		}
		handler.ServeHTTP(w, r)
	}))
	g.t.Cleanup(m.server.Close)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, m)
	return m
}

// kill ends a daemon, which others know only once it is unlisted.
func (g *group) kill(m *member) { m.server.Close() }

func (g *group) unlist(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(other *member) bool { return other == m })
}

func (g *group) peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Peer, len(g.members))
	for i, m := range g.members {
		address := netip.MustParseAddrPort(strings.TrimPrefix(m.server.URL, "http://"))
		out[i] = Peer{Member: origin.Member{Name: m.name, FailureDomain: fmt.Sprint(i % 3), Region: "r"}, Address: address}
	}
	return out
}

func (g *group) send(to netip.AddrPort, records []origin.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if strings.HasSuffix(m.server.URL, to.String()) {
			m.OnRecords(records)
		}
	}
}

// appear makes a second version known to all daemons, and lists it.
func (g *group) appear(software string) {
	g.kv.list("v1", software)
	for _, m := range g.members {
		m.OnSoftware(service, software, true)
		m.sendAll(m.prune(time.Now()))
	}
}

func stream(n int) relay.StreamID {
	return relay.StreamID{Service: service, Org: "o", Request: request.ID(fmt.Sprint("request-", n))}
}

// mustGoOn checks that a daemon lets a stream go on at a version.
func (g *group) mustGoOn(m *member, n int, want string) {
	g.t.Helper()
	if got, err := m.Find(context.Background(), stream(n)); err != nil || got != want {
		g.t.Errorf("%s: stream %d: %q, %v, want %q", m.name, n, got, err, want)
	}
}

// mustEnd checks that a daemon refuses a stream as not run.
func (g *group) mustEnd(m *member, n int) {
	g.t.Helper()
	got, err := m.Find(context.Background(), stream(n))
	var refused *request.Error
	if !errors.As(err, &refused) || refused.Ran != request.NotRun || refused.RetryAfter <= 0 || refused.Status != http.StatusServiceUnavailable {
		g.t.Errorf("%s: stream %d: %q, %v, want a refusal", m.name, n, got, err)
	}
}

// TestOriginSurvivesDaemonThatBeganTheStream guards against streams that can't go on, or go on anywhere, once the daemon that began them is gone, listed or not.
func TestOriginSurvivesDaemonThatBeganTheStream(t *testing.T) {
	g := newGroup(t, 6)
	g.appear("v2")
	first := g.members[0]
	const streams = 20
	for n := range streams {
		first.Began(context.Background(), stream(n), relay.BoundTo(fmt.Sprint("v", n%2+1)))
	}
	g.kill(first)
	for n := range streams {
		g.mustGoOn(g.members[1+n%5], n, fmt.Sprint("v", n%2+1))
	}
	g.unlist(first)
	for n := range streams {
		g.mustGoOn(g.members[n%5], n, fmt.Sprint("v", n%2+1))
	}
}

// TestStreamsOfOneVersionNeedNoRecord guards against traffic between daemons at rest, and against streams that end although there is one version alone.
func TestStreamsOfOneVersionNeedNoRecord(t *testing.T) {
	g := newGroup(t, 4)
	g.members[0].Began(context.Background(), stream(1), relay.BoundTo("v1"))
	for _, m := range g.members {
		if n := m.records.Len(); n != 0 {
			t.Errorf("%s keeps %d records", m.name, n)
		}
	}
	g.kill(g.members[0])
	g.mustGoOn(g.members[1], 1, "v1")
	young := g.start("young")
	young.OnSoftware(service, "v1", true)
	young.OnListed(time.Now())
	g.mustGoOn(young, 1, "v1")
}

// TestRunningStreamsAreRecordedWhenSecondVersionAppears guards against streams that began before and are taken up after a second version appears.
func TestRunningStreamsAreRecordedWhenSecondVersionAppears(t *testing.T) {
	g := newGroup(t, 4)
	g.members[0].Began(context.Background(), stream(1), relay.BoundTo("v1"))
	g.appear("v2")
	g.kill(g.members[0])
	g.mustGoOn(g.members[1], 1, "v1")
	g.mustEnd(g.members[1], 2)
}

// TestStaleDaemonAsksOthers guards against a daemon with an old list of replicas, which knows one version, sending a stream there that began at the new one.
func TestStaleDaemonAsksOthers(t *testing.T) {
	g := newGroup(t, 4)
	stale := g.members[3]
	for _, m := range g.members[:3] {
		m.OnSoftware(service, "v2", true)
	}
	g.members[0].Began(context.Background(), stream(1), relay.BoundTo("v2"))
	g.mustGoOn(stale, 1, "v2")
	g.mustEnd(stale, 2)
	stale.current.Store(false)
	stale.Began(context.Background(), stream(3), relay.BoundTo("v1"))
	g.kill(stale)
	g.mustGoOn(g.members[0], 3, "v1")
}

// TestVersionWithoutReplicasIsRemembered guards against a stream whose version has just lost its last replica going on at the one that is left.
func TestVersionWithoutReplicasIsRemembered(t *testing.T) {
	g := newGroup(t, 3)
	g.appear("v2")
	g.members[0].Began(context.Background(), stream(1), relay.BoundTo("v1"))
	for _, m := range g.members {
		m.OnSoftware(service, "v1", false)
	}
	g.mustGoOn(g.members[1], 1, "v1") // the placement finds no replica of it
	g.mustEnd(g.members[1], 2)
}

// TestFleetThatHasJustStartedKnowsNothing guards against streams going on anywhere after all daemons were killed together.
func TestFleetThatHasJustStartedKnowsNothing(t *testing.T) {
	g := &group{t: t}
	for i := range 3 {
		m := g.start(fmt.Sprint("vm", i))
		m.OnSoftware(service, "v2", true)
		m.OnListed(time.Now())
	}
	g.mustEnd(g.members[0], 1)
	g.members[0].Began(context.Background(), stream(2), relay.BoundTo("v2"))
	g.kill(g.members[0])
	g.mustGoOn(g.members[1], 2, "v2")
}

// TestStoppingDaemonHandsRecordsOver guards against records that are lost when daemons are restarted one after the other.
func TestStoppingDaemonHandsRecordsOver(t *testing.T) {
	g := newGroup(t, 6)
	g.appear("v2")
	const streams = 10
	for n := range streams {
		g.members[0].Began(context.Background(), stream(n), relay.BoundTo("v1"))
	}
	for len(g.members) > 2 {
		stopping := g.members[0]
		stopping.HandOver()
		g.kill(stopping)
		g.unlist(stopping)
	}
	for n := range streams {
		g.mustGoOn(g.members[0], n, "v1")
	}
}

// TestSilentDaemonsDelayNoStreamForLong guards against callers that wait for daemons that do not answer.
func TestSilentDaemonsDelayNoStreamForLong(t *testing.T) {
	g := newGroup(t, 4)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	for _, m := range g.members[1:] {
		m.silent = hold
	}
	asking := g.members[0]
	asking.o.Params.Wait = 30 * time.Millisecond
	began := time.Now()
	g.mustGoOn(asking, 1, "v1")
	asking.OnSoftware(service, "v2", true)
	g.mustEnd(asking, 1)
	if took := time.Since(began); took > time.Second {
		t.Errorf("two lookups took %s", took)
	}
}

// TestManyStreamsComeBackAtOnce guards against lookups without a bound when many daemons die together.
func TestManyStreamsComeBackAtOnce(t *testing.T) {
	g := newGroup(t, 8)
	g.appear("v2")
	asking := g.members[0]
	asking.o.Params.MaxLookups = 20
	const streams = 200
	for n := range streams {
		g.members[1].Began(context.Background(), stream(n), relay.BoundTo("v1"))
	}
	hold := make(chan struct{})
	for _, m := range g.members[1:] {
		m.silent = hold
	}
	var refused, went atomic.Int64
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			if _, err := asking.Find(context.Background(), stream(n)); err != nil {
				refused.Add(1)
				return
			}
			went.Add(1)
		})
	}
	time.AfterFunc(50*time.Millisecond, func() { close(hold) })
	all.Wait()
	if refused.Load()+went.Load() != streams || refused.Load() == 0 || went.Load() == 0 {
		t.Errorf("%d went on, %d were refused", went.Load(), refused.Load())
	}
	g.mustGoOn(asking, 0, "v1")
}

// TestRestartedAddressAnswersNothing guards against a keeper's address that another process has taken being believed.
func TestRestartedAddressAnswersNothing(t *testing.T) {
	g := newGroup(t, 2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other := httptest.NewUnstartedServer(http.NotFoundHandler())
	other.Listener.Close()
	other.Listener = l
	other.Start()
	t.Cleanup(other.Close)
	g.kill(g.members[1])
	g.members[1].server = other
	g.mustGoOn(g.members[0], 1, "v1")
	g.members[0].OnSoftware(service, "v2", true)
	g.mustEnd(g.members[0], 1)
}

// BenchmarkLookup measures what a stream that is taken up costs this daemon and the three that it asks.
func BenchmarkLookup(b *testing.B) {
	g := &group{t: &testing.T{}, kv: newListKV("v1")}
	for i := range 4 {
		m := g.start(fmt.Sprint("vm", i))
		b.Cleanup(m.server.Close)
		m.OnListed(time.Now().Add(-time.Hour))
		m.OnSoftware(service, "v1", true)
	}
	b.ResetTimer()
	for n := range b.N {
		if _, err := g.members[0].Find(context.Background(), stream(n)); err != nil {
			b.Fatal(err)
		}
	}
}

// TestStreamOfUnknownVersionEnds guards against a stream that another process than that of its replica's entry began, and that goes on
// because the list of replicas names one version.
func TestStreamOfUnknownVersionEnds(t *testing.T) {
	g := newGroup(t, 5)
	g.members[0].Began(context.Background(), stream(1), relay.SoftwareBinding{})
	g.members[0].Began(context.Background(), stream(2), relay.BoundTo("v1"))
	for _, m := range g.members {
		g.mustEnd(m, 1)
		g.mustGoOn(m, 2, "v1")
	}
	g.kill(g.members[0])
	g.mustEnd(g.members[1], 1)
}
