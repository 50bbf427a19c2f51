package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/crashes"
	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// plainDialect implements the smallest set of headers that the relay needs.
type plainDialect struct{}

func (plainDialect) ParseRequest(h http.Header) (Meta, error) {
	m := Meta{ID: request.ID(h.Get("Id")), LastEventID: h.Get("Last"), Resumes: request.ID(h.Get("Resumes"))}
	if ms, err := strconv.Atoi(h.Get("Left")); err == nil {
		m.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return m, nil
}

func (plainDialect) CallerKey(h http.Header) string { return h.Get("Key") }

func (plainDialect) AttemptHeader(h http.Header, s AttemptMeta) http.Header {
	out := http.Header{"Id": h["Id"], "Last": h["Last"], "Left": {strconv.FormatInt(s.TimeLeft.Milliseconds(), 10)}, "Org": {string(s.Org)}}
	if s.LastEventID != "" {
		out["Last"] = []string{s.LastEventID}
	}
	return out
}

func (plainDialect) ParseResponse(status int, h http.Header) ResponseMeta {
	a := ResponseMeta{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest}
	if limit := h.Get("Limit"); limit != "" {
		a.RateLimit, a.Invalid = strconv.ParseFloat(limit, 64)
	}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	return a
}

func (plainDialect) ForwardHeader(h http.Header, timeLeft time.Duration, lastEventID string) http.Header {
	out := http.Header{"Id": h["Id"], "Key": h["Key"], "Last": h["Last"], "Left": {strconv.FormatInt(timeLeft.Milliseconds(), 10)}}
	if lastEventID != "" {
		out.Set("Last", lastEventID)
	}
	return out
}

func (plainDialect) CopyResponseHeader(to, from http.Header) {
	for _, name := range []string{"Id", "Signed", "Content-Type", headerRefusalCode, headerRefusalRan} {
		if v := from[name]; v != nil {
			to[name] = v
		}
	}
}

// fixedOrderPlacer tries replicas in a fixed order.
type fixedOrderPlacer struct {
	mu       sync.Mutex
	replicas []*replicas.Replica
}

func (*fixedOrderPlacer) HasRoom(*Job, []request.TargetID) bool { return true }

func (l *fixedOrderPlacer) Place(_ context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		if r.Info().Service == j.Service.ID && !slices.Contains(tried, r.Info().ID) && j.Software.Allows(r.Info().Software) {
			return &Placement{Replica: r, Flight: r.Load.Begin(0, 0)}, nil
		}
	}
	return nil, request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, time.Second, "no untried replica")
}

// arrival is a request as received by a replica.
type arrival struct {
	id, lastEventID, body string
	timeLeftMs            int
}

// fixture is a relay with fake replicas whose responses a test scripts.
type fixture struct {
	t        testing.TB
	set      *replicas.Set
	placer   *fixedOrderPlacer
	server   *Server
	front    *httptest.Server
	state    *routing.Snapshot
	newer    atomic.Pointer[routing.Snapshot] // replaces state while requests run
	current  bool
	mu       sync.Mutex
	arrivals []arrival
}

const testHost = "h"

// organisations returns organisations that hold one key each.
func organisations(byKey map[string]request.OrgID) *routing.Organisations {
	orgs := &routing.Organisations{}
	for key, id := range byKey {
		orgs.Add(&routing.Org{ID: id}, key)
	}
	return orgs
}

func newFixture(t testing.TB, routes ...*routing.Route) *fixture {
	t.Helper()
	f := &fixture{t: t, set: replicas.NewSet(), placer: &fixedOrderPlacer{}, current: true}
	for _, r := range routes {
		r.Host = testHost
		r.Shares = []routing.Share{{Service: "s", Weight: 1}}
		if r.Timeout == 0 {
			r.Timeout = 3 * time.Second
		}
		r.MaxAttempts = max(r.MaxAttempts, 2)
	}
	f.state = routing.NewSnapshot(1, routes, []*routing.Service{{ID: "s"}}, organisations(map[string]request.OrgID{"k": "org"}), routing.CallerLimits{MaxBodyBytes: 1000})
	f.server = New(Options{
		Dialect: plainDialect{}, Plain: f.placer,
		State:       f.desired,
		RetryBudget: func() retry.Params { return retry.Params{Burst: 10} },
	})
	f.front = serveRelay(t, f.server)
	return f
}

func (f *fixture) desired() (*routing.Snapshot, bool) {
	if newer := f.newer.Load(); newer != nil {
		return newer, f.current
	}
	return f.state, f.current
}

// serveRelay serves a handler of the relay as the daemon does.
func serveRelay(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	front := httptest.NewUnstartedServer(h)
	front.Config.ConnContext = framing.ConnContext
	front.Start()
	t.Cleanup(front.Close)
	return front
}

// addReplica adds a replica that handles each request on a connection of its own.
func (f *fixture) addReplica(handle func(c net.Conn, id string)) net.Listener {
	f.t.Helper()
	return f.addReplicaOf("s", handle)
}

func (f *fixture) addReplicaOf(service routing.ServiceID, handle func(c net.Conn, id string)) net.Listener {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveConn(c, handle)
		}
	}()
	f.registerAt(service, l)
	return l
}

// register makes the listener's address a replica of service "s".
func (f *fixture) register(l net.Listener) { f.registerAt("s", l) }

func (f *fixture) registerAt(service routing.ServiceID, l net.Listener) {
	id := request.TargetID(fmt.Sprint("r", len(f.placer.replicas)))
	f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: id, Service: service, Address: l.Addr().String(), Started: startedAt}}})
	f.placer.replicas = append(f.placer.replicas, f.set.Get(id))
}

// addUnreachableReplica adds a replica whose address has no listener.
func (f *fixture) addUnreachableReplica() {
	f.t.Helper()
	f.addReplica(func(net.Conn, string) {})
	id := f.placer.replicas[len(f.placer.replicas)-1].Info().ID
	f.set.Apply(time.Now(), replicas.Change{Removed: []request.TargetID{id}})
	f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: id, Service: "s", Address: "127.0.0.1:1"}}})
	f.placer.replicas[len(f.placer.replicas)-1] = f.set.Get(id)
}

func (f *fixture) serveConn(c net.Conn, handle func(c net.Conn, id string)) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("Left"))
	f.mu.Lock()
	f.arrivals = append(f.arrivals, arrival{id: r.Header.Get("Id"), lastEventID: r.Header.Get("Last"), body: string(body), timeLeftMs: left})
	f.mu.Unlock()
	handle(c, r.Header.Get("Id"))
}

func (f *fixture) received() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.arrivals)
}

// call sends a request to the relay and returns the response with its body. The error may come from
// reading the body.
func (f *fixture) call(method, path string, header http.Header) (*http.Response, string, error) {
	f.t.Helper()
	return f.send(method, path, header, "body")
}

func (f *fixture) post(body string) (*http.Response, string, error) {
	f.t.Helper()
	return f.send(http.MethodPost, "/x", nil, body)
}

func (f *fixture) send(method, path string, header http.Header, content string) (*http.Response, string, error) {
	f.t.Helper()
	return f.sendReader(method, path, header, strings.NewReader(content))
}

// sendBody is post with a body that is sent as it is read.
func (f *fixture) sendBody(body io.Reader) (*http.Response, string, error) {
	f.t.Helper()
	return f.sendReader(http.MethodPost, "/x", nil, body)
}

func (f *fixture) sendReader(method, path string, header http.Header, content io.Reader) (*http.Response, string, error) {
	f.t.Helper()
	r, err := http.NewRequest(method, f.front.URL+path, content)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = testHost
	r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
	for name, values := range header {
		r.Header[name] = values
	}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}

func writeOK(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func writeNotRun(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

func closeWithoutResponse(net.Conn, string) {}

func route(kind routing.Kind) *routing.Route {
	return &routing.Route{Name: string(kind), Prefix: "/", Kind: kind}
}

// A replica starts a call that must run at most once, and its connection breaks before the response.
// If the daemon sent the call to another replica, it could run twice. The caller must get an error
// that does not promise "not run".
func TestOnceCallThatMayHaveRunIsNotRetried(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addReplica(closeWithoutResponse)
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "second run") })
	answer, _, err := f.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v, want status 502", answer, err)
	}
	if n := len(f.received()); n != 1 {
		t.Errorf("%d arrivals, want 1", n)
	}
}

// An idempotent call whose connection breaks is retried on another replica.
func TestIdempotentCallIsRetried(t *testing.T) {
	f := newFixture(t, route(routing.KindIdempotent))
	f.addReplica(closeWithoutResponse)
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	_, body, err := f.call(http.MethodGet, "/x", nil)
	if err != nil || body != "fine" {
		t.Errorf("got %q, %v", body, err)
	}
}

// After "not run", any call may be sent to another replica. If all replicas respond "not run", the
// caller gets a refusal with Retry-After.
func TestNotRunIsRetriedOnAnotherReplica(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addReplica(writeNotRun)
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	if _, body, err := f.call(http.MethodPost, "/x", nil); err != nil || body != "fine" {
		t.Errorf("got %q, %v", body, err)
	}

	f = newFixture(t, route(routing.KindOnce))
	f.addReplica(writeNotRun)
	f.addReplica(writeNotRun)
	answer, _, err := f.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v, want status 503 with Retry-After", answer, err)
	}
}

// The first attempt may have run and the second one did not. If the caller were told "not run", it
// would resend the request, which could then run twice.
func TestNotRunIsNotReportedAfterAttemptThatMayHaveRun(t *testing.T) {
	f := newFixture(t, route(routing.KindIdempotent))
	f.addReplica(closeWithoutResponse)
	f.addReplica(writeNotRun)
	answer, _, err := f.call(http.MethodGet, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v, want status 502", answer, err)
	}
}

// A faulty replica sends a success without a signature, or a truncated one. Neither may reach the
// caller as a complete response.
func TestInvalidResponseIsNotDelivered(t *testing.T) {
	for name, handle := range map[string]func(c net.Conn, id string){
		"unsigned": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		},
		"short": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 9\r\n\r\nok", id)
		},
		"noise": func(c net.Conn, id string) { fmt.Fprint(c, "\x00\x01garbage\r\n\r\n") },
		"reset without a length": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nConnection: close\r\n\r\nhal", id)
			c.(*net.TCPConn).SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(routing.KindOnce))
			f.addReplica(handle)
			answer, body, err := f.call(http.MethodPost, "/x", nil)
			if err == nil && answer.StatusCode < 300 {
				t.Errorf("the caller got %d %q as a complete response", answer.StatusCode, body)
			}
		})
	}
}

// A replica's own error reaches the caller unchanged, with its signature.
func TestReplicaErrorIsPassedThrough(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addReplica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 500 Oops\r\nId: %s\r\nSigned: y\r\nContent-Length: 3\r\n\r\nbad", id)
	})
	answer, body, err := f.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusInternalServerError || body != "bad" || answer.Header.Get("Signed") != "y" {
		t.Errorf("got %v %q %v", answer, body, err)
	}
}

func writeEvent(c net.Conn, id int) { fmt.Fprintf(c, "id: %d\ndata: %d\n\n", id, id) }

func writeStreamHead(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
}

func resetConn(c net.Conn) {
	time.Sleep(20 * time.Millisecond) // let the relay read what was written before the reset
	_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
}

// A replica dies in the middle of an event of a resumable stream. The caller must get every event
// exactly once and complete, from two replicas, as one response.
func TestStreamIsResumedWithoutGapOrRepeat(t *testing.T) {
	r := route(routing.KindStream)
	r.Resumable = true
	f := newFixture(t, r)
	f.addReplica(func(c net.Conn, id string) {
		writeStreamHead(c, id)
		writeEvent(c, 1)
		writeEvent(c, 2)
		fmt.Fprint(c, "id: 3\nda")
		resetConn(c)
	})
	f.addReplica(func(c net.Conn, id string) {
		writeStreamHead(c, id)
		for n := 2; n <= 4; n++ { // event 2 is repeated
			writeEvent(c, n)
		}
	})
	_, body, err := f.call(http.MethodPost, "/x", nil)
	want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
	if err != nil || body != want {
		t.Errorf("got %q, %v", body, err)
	}
	if got := f.received(); len(got) != 2 || got[1].lastEventID != "2" {
		t.Errorf("arrivals %+v", got)
	}
}

// A stream that is not resumable breaks. The caller must be able to detect this: the connection
// ends without the final chunk.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFixture(t, route(routing.KindStream))
	f.addReplica(func(c net.Conn, id string) {
		writeStreamHead(c, id)
		writeEvent(c, 1)
		resetConn(c)
	})
	f.addReplica(func(c net.Conn, id string) { writeStreamHead(c, id) })
	_, body, err := f.call(http.MethodPost, "/x", nil)
	if err == nil {
		t.Errorf("truncated stream %q was delivered as complete", body)
	}
	if n := len(f.received()); n != 1 {
		t.Errorf("%d arrivals, want 1", n)
	}
}

// A replica does not respond. At the route's timeout the caller must get an error that does not
// promise "not run". The replica must have received the remaining time.
func TestCallerGetsGatewayTimeout(t *testing.T) {
	r := route(routing.KindOnce)
	r.Timeout = 150 * time.Millisecond
	f := newFixture(t, r)
	release := make(chan struct{})
	defer close(release)
	f.addReplica(func(net.Conn, string) { <-release })
	began := time.Now()
	answer, _, err := f.call(http.MethodPost, "/x", http.Header{"Left": {"2000"}})
	if err != nil || answer.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, %v, want status 504", answer, err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("timed out after %s, want at most 1 s", took)
	}
	if got := f.received(); len(got) != 1 || got[0].timeLeftMs > 150 {
		t.Errorf("arrivals %+v", got)
	}
}

// A caller disconnects while its stream is idle. The connection to the replica must be closed, or
// the replica keeps computing a response without a recipient.
func TestCallerDisconnectClosesReplicaConnection(t *testing.T) {
	f := newFixture(t, route(routing.KindStream))
	disconnected := make(chan struct{})
	f.addReplica(func(c net.Conn, id string) {
		writeStreamHead(c, id)
		writeEvent(c, 1)
		if _, err := c.Read(make([]byte, 1)); err != nil {
			close(disconnected)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/x", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	cancel()
	select {
	case <-disconnected:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the replica is still open")
	}
}

// A partitioned daemon refused a route that had been added meanwhile with 404, and callers did not
// retry. Only a current desired state may give final errors for unknown routes and keys.
func TestStaleDesiredStateGivesRetryableErrors(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.state = routing.NewSnapshot(1, []*routing.Route{{Host: testHost, Prefix: "/known/", Shares: []routing.Share{{Service: "s"}}}},
		[]*routing.Service{{ID: "s"}}, organisations(nil), routing.CallerLimits{})
	for _, path := range []string{"/unknown", "/known/x"} {
		for current, want := range map[bool][]int{true: {404, 401}, false: {503, 503}} {
			f.current = current
			answer, _, err := f.call(http.MethodPost, path, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(want, answer.StatusCode) {
				t.Errorf("%s, current %t: status %d", path, current, answer.StatusCode)
			}
		}
	}
	f.state = nil
	if answer, _, err := f.call(http.MethodPost, "/x", nil); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a desired state: %v, %v", answer, err)
	}
}

// A draining daemon accepted a stream late in its grace period and was killed during the stream.
// Streams are refused after the cutoff, calls are accepted, and each response closes its connection.
func TestStreamsAreRefusedLateInDraining(t *testing.T) {
	stream := route(routing.KindStream)
	stream.Prefix = "/stream/"
	f := newFixture(t, stream, route(routing.KindOnce))
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	f.server.StartDraining(-time.Millisecond)
	if answer, _, err := f.call(http.MethodPost, "/stream/x", nil); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("stream: %v, %v", answer, err)
	}
	answer, body, err := f.call(http.MethodPost, "/x", nil)
	if err != nil || body != "fine" || !answer.Close {
		t.Errorf("call: %q, closes %t, %v", body, answer.Close, err)
	}
}

// startedAt is the start time of each replica.
const startedAt = 1_772_000_000_000

// addCrashingReplica adds a replica that crashes when it runs a request with the body "poison".
func (f *fixture) addCrashingReplica() {
	f.t.Helper()
	var l net.Listener
	handle := func(c net.Conn, id string) {
		f.mu.Lock()
		body := f.arrivals[len(f.arrivals)-1].body
		f.mu.Unlock()
		if body == "poison" {
			l.Close()
			resetConn(c)
			return
		}
		writeOK(c, id, "fine")
	}
	l = f.addReplica(handle)
}

// fakeCrashTracker replaces the records that the daemons share. It counts the deaths of whole requests.
type fakeCrashTracker struct {
	mu        sync.Mutex
	crashes   map[poison.Trait]int
	lastDeath string
	answered  int
	suspicion poison.Suspicion // of all requests
	refuseAll atomic.Bool      // whatever died
}

func (c *fakeCrashTracker) Refuses(traits crashes.TraitsFunc) *request.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes[wholeRequest(traits(true))] < 3 && !c.refuseAll.Load() {
		return nil
	}
	return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, time.Minute, "replicas crashed")
}

func (c *fakeCrashTracker) Admit(_ context.Context, traits crashes.TraitsFunc) *request.Error {
	return c.Refuses(traits)
}

func (c *fakeCrashTracker) RecordCrash(report poison.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range report.Accused {
		if a.Trait.Kind == poison.KindRequest {
			c.crashes[a.Trait]++
		}
	}
	c.lastDeath = report.Death
}

func (c *fakeCrashTracker) RecordSuccess(crashes.TraitsFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
}

func (c *fakeCrashTracker) Suspicion(crashes.TraitsFunc) poison.Suspicion { return c.suspicion }

// wholeRequest returns the trait of a request's content.
func wholeRequest(traits []poison.Trait) poison.Trait {
	for _, t := range traits {
		if t.Kind == poison.KindRequest {
			return t
		}
	}
	return poison.Trait{}
}

func (c *fakeCrashTracker) successes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

func (c *fakeCrashTracker) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, deaths := range c.crashes {
		n += deaths
	}
	return n
}

// A request crashes each replica that runs it, and its caller resends it with new ids until all
// replicas are down. After three crashes the request must be refused with Retry-After, and the
// remaining replicas must serve other requests.
func TestRequestThatCrashesReplicasIsQuarantined(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	tracker := &fakeCrashTracker{crashes: map[poison.Trait]int{}}
	f.server.o.CrashTracker = tracker
	for range 6 {
		f.addCrashingReplica()
	}
	for n := 1; n <= 3; n++ {
		if answer, _, err := f.post("poison"); err != nil || answer.StatusCode != http.StatusBadGateway {
			t.Fatalf("attempt %d: %v, %v", n, answer, err)
		}
		for deadline := time.Now().Add(5 * time.Second); tracker.total() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("crash %d was not recorded", n)
			}
		}
	}
	answer, _, err := f.post("poison")
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Fatalf("after three crashes: %v, %v", answer, err)
	}
	if want := fmt.Sprint("@", startedAt); !strings.HasSuffix(tracker.lastDeath, want) {
		t.Errorf("recorded the death %s, want the start time %s", tracker.lastDeath, want)
	}
	if _, body, err := f.post("harmless"); err != nil || body != "fine" {
		t.Errorf("another request: %q, %v", body, err)
	}
}

// A third of the replicas dies at once, and a request meets several of them in a row. Nothing is
// sent to an unreachable replica, so such attempts must not be charged to the retry budget: requests
// were refused after two of them although other replicas were idle.
func TestUnreachableReplicasCostNoRetryBudget(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.server.o.RetryBudget = func() retry.Params { return retry.Params{Burst: 0.1, Share: 0.001, PerSecond: 0.001} }
	for range maxUnsentAttempts - 1 {
		f.addUnreachableReplica()
	}
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	if _, body, err := f.call(http.MethodPost, "/x", nil); err != nil || body != "fine" {
		t.Errorf("%q, %v", body, err)
	}
	for _, r := range f.placer.replicas[:maxUnsentAttempts-1] {
		if !r.Health.BackingOff(time.Now()) {
			t.Errorf("unreachable replica %s is not backing off", r.Info().ID)
		}
	}
}

// Once the retry budget is exhausted, a failed attempt is not retried.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFixture(t, route(routing.KindIdempotent))
	f.server.o.RetryBudget = func() retry.Params { return retry.Params{Burst: 1, Share: 0.001, PerSecond: 0.001} }
	f.addReplica(closeWithoutResponse)
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	statuses := []int{}
	for range 3 {
		answer, _, err := f.call(http.MethodGet, "/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, answer.StatusCode)
	}
	if !slices.Equal(statuses, []int{200, 502, 502}) {
		t.Errorf("got statuses %v", statuses)
	}
}

// A request waits at a replica whose weights may soon become unusable. The attempt must be cancelled
// at its StartDeadline, and an idempotent request must be retried on another replica.
func TestAttemptIsCancelledAtStartDeadline(t *testing.T) {
	f := newFixture(t, route(routing.KindIdempotent))
	release := make(chan struct{})
	defer close(release)
	f.addReplica(func(net.Conn, string) { <-release })
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	f.server.o.Plain = &shortStartPlacer{fixedOrderPlacer: f.placer}
	began := time.Now()
	_, body, err := f.call(http.MethodGet, "/x", nil)
	if err != nil || body != "fine" || time.Since(began) > time.Second {
		t.Errorf("got %q after %s, %v", body, time.Since(began), err)
	}
}

// shortStartPlacer gives the first attempt a start deadline of 50 ms.
type shortStartPlacer struct{ *fixedOrderPlacer }

func (h *shortStartPlacer) Place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	p, err := h.fixedOrderPlacer.Place(ctx, j, tried)
	if err == nil && len(tried) == 0 {
		p.StartDeadline = time.Now().Add(50 * time.Millisecond)
	}
	return p, err
}

// A body over the size limit is refused before it reaches a replica.
func TestOversizedBodyIsRefused(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	r, err := http.NewRequest(http.MethodPost, f.front.URL+"/x", strings.NewReader(strings.Repeat("x", 1001)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d, want 413", answer.StatusCode)
	}
}

// fullPlacer has no room for any request.
type fullPlacer struct{ wait time.Duration }

func (fullPlacer) HasRoom(*Job, []request.TargetID) bool { return false }

func (f fullPlacer) Place(_ context.Context, j *Job, _ []request.TargetID) (*Placement, error) {
	return nil, &NoRoomError{Service: j.Service.ID, Wait: f.wait}
}

// All replicas are full. The caller must be told at once that its request did not run, and when to come back.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	for _, c := range []struct{ wait, retryAfter time.Duration }{
		{wait: time.Millisecond, retryAfter: minFullRetry},
		{wait: 500 * time.Millisecond, retryAfter: 500 * time.Millisecond},
		{wait: time.Hour, retryAfter: maxFullRetry},
	} {
		f.server.o.Plain = fullPlacer{wait: c.wait}
		resp, _, err := f.call(http.MethodGet, "/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		want := fmt.Sprintf("%.3f", c.retryAfter.Seconds())
		if got := resp.Header.Get("Retry-After"); resp.StatusCode != http.StatusServiceUnavailable || got != want {
			t.Errorf("wait %s: status %d, Retry-After %q, want %q", c.wait, resp.StatusCode, got, want)
		}
	}
}

// TestRetryBudgetFollowsItsShare guards against a daemon that knows no other one when its first request comes, and takes the whole
// fleet's budget for its own for good.
func TestRetryBudgetFollowsItsShare(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	burst := 100.0
	f.server.o.RetryBudget = func() retry.Params { return retry.Params{Burst: burst, Share: 1e-9, PerSecond: 1e-9} }
	f.addReplica(func(c net.Conn, id string) { writeNotRun(c, id) })
	f.addReplica(func(c net.Conn, id string) { writeNotRun(c, id) })
	const requests, share = 10, 2
	if _, _, err := f.post("before the others are known"); err != nil {
		t.Fatal(err)
	}
	burst = share
	before := len(f.received())
	for range requests {
		if _, _, err := f.post("body"); err != nil {
			t.Fatal(err)
		}
	}
	if retries := len(f.received()) - before - requests; retries > share {
		t.Errorf("%d retries of %d requests, want %d at most", retries, requests, share)
	}
}
