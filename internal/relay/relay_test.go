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
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// plainDialect is the smallest set of headers that the relay needs.
type plainDialect struct{}

func (plainDialect) Meta(h http.Header) (Meta, error) {
	m := Meta{ID: request.ID(h.Get("Id")), LastEvent: h.Get("Last")}
	if ms, err := strconv.Atoi(h.Get("Left")); err == nil {
		m.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return m, nil
}

func (plainDialect) Key(h http.Header) string { return h.Get("Key") }

func (plainDialect) Outgoing(h http.Header, s Send) http.Header {
	out := http.Header{"Id": h["Id"], "Left": {strconv.FormatInt(s.TimeLeft.Milliseconds(), 10)}, "Org": {string(s.Org)}}
	if s.LastEvent != "" {
		out["Last"] = []string{s.LastEvent}
	}
	return out
}

func (plainDialect) Answer(status int, h http.Header) Answer {
	a := Answer{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest}
	if limit := h.Get("Limit"); limit != "" {
		a.RateLimit, a.Invalid = strconv.ParseFloat(limit, 64)
	}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	return a
}

func (plainDialect) Incoming(to, from http.Header) {
	for _, name := range []string{"Id", "Signed", "Content-Type"} {
		if v := from[name]; v != nil {
			to[name] = v
		}
	}
}

// listed places tries on replicas in a fixed order.
type listed struct {
	mu       sync.Mutex
	replicas []*replicas.Replica
}

func (l *listed) Place(_ context.Context, _ *Job, tried []request.TargetID) (*Placement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		if !slices.Contains(tried, r.Info().ID) {
			return &Placement{Replica: r, Flight: r.Load.Begin(0, 0)}, nil
		}
	}
	return nil, request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, time.Second, "no replica")
}

// arrival is one request as a replica saw it.
type arrival struct {
	id, last, body string
	left           int
}

// world is a relay before replicas that a test plays by hand.
type world struct {
	t        *testing.T
	set      *replicas.Set
	placer   *listed
	server   *Server
	front    *httptest.Server
	state    *routing.Snapshot
	current  bool
	mu       sync.Mutex
	arrivals []arrival
}

const testHost = "h"

func newWorld(t *testing.T, routes ...*routing.Route) *world {
	t.Helper()
	w := &world{t: t, set: replicas.NewSet(), placer: &listed{}, current: true}
	for _, r := range routes {
		r.Host = testHost
		r.Shares = []routing.Share{{Service: "s", Weight: 1}}
		if r.Timeout == 0 {
			r.Timeout = 3 * time.Second
		}
		r.MaxAttempts = max(r.MaxAttempts, 2)
	}
	keys := map[string]*routing.Org{"k": {ID: "org"}}
	w.state = routing.NewSnapshot(1, routes, []*routing.Service{{ID: "s"}}, keys, routing.CallerLimits{MaxBodyBytes: 1000})
	w.server = New(Options{
		Dialect: plainDialect{}, Plain: w.placer,
		State:  func() (*routing.Snapshot, bool) { return w.state, w.current },
		Budget: func() retry.Params { return retry.Params{Burst: 10} },
	})
	w.front = httptest.NewServer(w.server)
	t.Cleanup(w.front.Close)
	return w
}

// replica adds a replica that handles each request on a connection of its own.
func (w *world) replica(handle func(c net.Conn, id string)) net.Listener {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.play(c, handle)
		}
	}()
	id := request.TargetID(fmt.Sprint("r", len(w.placer.replicas)))
	w.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: id, Service: "s", Address: l.Addr().String(), Started: startedAt}}})
	w.placer.replicas = append(w.placer.replicas, w.set.Get(id))
	return l
}

// deadReplica adds a replica at whose address nobody listens.
func (w *world) deadReplica() {
	w.t.Helper()
	w.replica(func(net.Conn, string) {})
	id := w.placer.replicas[len(w.placer.replicas)-1].Info().ID
	w.set.Apply(time.Now(), replicas.Change{Gone: []request.TargetID{id}})
	w.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: id, Service: "s", Address: "127.0.0.1:1"}}})
	w.placer.replicas[len(w.placer.replicas)-1] = w.set.Get(id)
}

func (w *world) play(c net.Conn, handle func(c net.Conn, id string)) {
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
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id: r.Header.Get("Id"), last: r.Header.Get("Last"), body: string(body), left: left})
	w.mu.Unlock()
	handle(c, r.Header.Get("Id"))
}

func (w *world) arrived() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// call sends a request to the relay and returns the answer with its body; the error is
// that of reading the body.
func (w *world) call(method, path string, header http.Header) (*http.Response, string, error) {
	w.t.Helper()
	return w.send(method, path, header, "body")
}

func (w *world) post(body string) (*http.Response, string, error) {
	w.t.Helper()
	return w.send(http.MethodPost, "/x", nil, body)
}

func (w *world) send(method, path string, header http.Header, content string) (*http.Response, string, error) {
	w.t.Helper()
	r, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(content))
	if err != nil {
		w.t.Fatal(err)
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

func ok(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func notExecuted(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

func cut(net.Conn, string) {}

func route(kind routing.Kind) *routing.Route {
	return &routing.Route{Name: string(kind), Prefix: "/", Kind: kind}
}

// Two crews start one batch: a replica begins a call that must run once, its connection
// dies, and the daemon sends the call to the next replica. Nobody can tell whether it
// ran, so the caller gets an error that promises nothing.
func TestCallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	w.replica(cut)
	w.replica(func(c net.Conn, id string) { ok(c, id, "second run") })
	answer, _, err := w.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v", answer, err)
	}
	if n := len(w.arrived()); n != 1 {
		t.Errorf("%d arrivals", n)
	}
}

// An idempotent call is tried elsewhere.
func TestIdempotentCallIsSentAgain(t *testing.T) {
	w := newWorld(t, route(routing.KindIdempotent))
	w.replica(cut)
	w.replica(func(c net.Conn, id string) { ok(c, id, "fine") })
	_, body, err := w.call(http.MethodGet, "/x", nil)
	if err != nil || body != "fine" {
		t.Errorf("got %q, %v", body, err)
	}
}

// A replica that says "not run" lets any call go elsewhere; if all say it, so do we, with
// when to come back.
func TestNotRunGoesElsewhere(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	w.replica(notExecuted)
	w.replica(func(c net.Conn, id string) { ok(c, id, "fine") })
	if _, body, err := w.call(http.MethodPost, "/x", nil); err != nil || body != "fine" {
		t.Errorf("got %q, %v", body, err)
	}

	w = newWorld(t, route(routing.KindOnce))
	w.replica(notExecuted)
	w.replica(notExecuted)
	answer, _, err := w.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v", answer, err)
	}
}

// "Not run" was told to a caller although the first of two tries had run: the caller sends
// the request again, and it runs a second time under a promise.
func TestNotRunIsNotToldAfterATryThatMayHaveRun(t *testing.T) {
	w := newWorld(t, route(routing.KindIdempotent))
	w.replica(cut)
	w.replica(notExecuted)
	answer, _, err := w.call(http.MethodGet, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v", answer, err)
	}
}

// A faulty replica sends a success that it does not vouch for, or one that ends early.
// Neither may look like an answer.
func TestSpoiledAnswerIsNoAnswer(t *testing.T) {
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
			w := newWorld(t, route(routing.KindOnce))
			w.replica(handle)
			answer, body, err := w.call(http.MethodPost, "/x", nil)
			if err == nil && answer.StatusCode < 300 {
				t.Errorf("the caller got %d %q as a whole answer", answer.StatusCode, body)
			}
		})
	}
}

// A replica's own error reaches the caller as it is, with its signature.
func TestReplicasErrorIsPassedOn(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	w.replica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 500 Oops\r\nId: %s\r\nSigned: y\r\nContent-Length: 3\r\n\r\nbad", id)
	})
	answer, body, err := w.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusInternalServerError || body != "bad" || answer.Header.Get("Signed") != "y" {
		t.Errorf("got %v %q %v", answer, body, err)
	}
}

func event(c net.Conn, id int) { fmt.Fprintf(c, "id: %d\ndata: %d\n\n", id, id) }

func streamHead(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
}

func reset(c net.Conn) {
	time.Sleep(20 * time.Millisecond) // what was written is read before the reset
	_ = c.(*net.TCPConn).SetLinger(0) // the test's own connection is open
}

// A replica dies in the middle of an event of a stream that may be resumed. The caller
// must get every event once and whole, from two replicas, as one answer.
func TestStreamIsResumedWithoutGapOrRepeat(t *testing.T) {
	r := route(routing.KindStream)
	r.Resumable = true
	w := newWorld(t, r)
	w.replica(func(c net.Conn, id string) {
		streamHead(c, id)
		event(c, 1)
		event(c, 2)
		fmt.Fprint(c, "id: 3\nda")
		reset(c)
	})
	w.replica(func(c net.Conn, id string) {
		streamHead(c, id)
		for n := 2; n <= 4; n++ { // it repeats one
			event(c, n)
		}
	})
	_, body, err := w.call(http.MethodPost, "/x", nil)
	want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
	if err != nil || body != want {
		t.Errorf("got %q, %v", body, err)
	}
	if got := w.arrived(); len(got) != 2 || got[1].last != "2" {
		t.Errorf("arrivals %+v", got)
	}
}

// A stream that may not be resumed breaks. The caller must see that it is not complete:
// the connection ends without the closing chunk.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	w := newWorld(t, route(routing.KindStream))
	w.replica(func(c net.Conn, id string) {
		streamHead(c, id)
		event(c, 1)
		reset(c)
	})
	w.replica(func(c net.Conn, id string) { streamHead(c, id) })
	_, body, err := w.call(http.MethodPost, "/x", nil)
	if err == nil {
		t.Errorf("%q looks complete", body)
	}
	if n := len(w.arrived()); n != 1 {
		t.Errorf("%d arrivals", n)
	}
}

// A replica says nothing. The caller is told at the route's time-out, not later, that
// nobody knows whether the request ran, and the replica is told how long it has.
func TestCallerIsToldAtTheTimeout(t *testing.T) {
	r := route(routing.KindOnce)
	r.Timeout = 150 * time.Millisecond
	w := newWorld(t, r)
	release := make(chan struct{})
	defer close(release)
	w.replica(func(net.Conn, string) { <-release })
	began := time.Now()
	answer, _, err := w.call(http.MethodPost, "/x", http.Header{"Left": {"2000"}})
	if err != nil || answer.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, %v", answer, err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("told after %s", took)
	}
	if got := w.arrived(); len(got) != 1 || got[0].left > 150 {
		t.Errorf("arrivals %+v", got)
	}
}

// A caller leaves while its stream is quiet. The replica must see the connection end, or
// it works on for nobody.
func TestReplicaStopsWhenTheCallerLeaves(t *testing.T) {
	w := newWorld(t, route(routing.KindStream))
	gone := make(chan struct{})
	w.replica(func(c net.Conn, id string) {
		streamHead(c, id)
		event(c, 1)
		if _, err := c.Read(make([]byte, 1)); err != nil {
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/x", strings.NewReader("b"))
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
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Error("the replica still works")
	}
}

// A daemon that is cut off refuses a route that was added meanwhile with 404, and callers
// don't come back. Only a current desired state may say that something does not exist.
func TestOldDesiredStateRefusesNothingForGood(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	w.state = routing.NewSnapshot(1, []*routing.Route{{Host: testHost, Prefix: "/known/", Shares: []routing.Share{{Service: "s"}}}},
		[]*routing.Service{{ID: "s"}}, map[string]*routing.Org{}, routing.CallerLimits{})
	for _, path := range []string{"/unknown", "/known/x"} {
		for current, want := range map[bool][]int{true: {404, 401}, false: {503, 503}} {
			w.current = current
			answer, _, err := w.call(http.MethodPost, path, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(want, answer.StatusCode) {
				t.Errorf("%s, current %t: %d", path, current, answer.StatusCode)
			}
		}
	}
	w.state = nil
	if answer, _, err := w.call(http.MethodPost, "/x", nil); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a desired state: %v, %v", answer, err)
	}
}

// A daemon that stops takes a stream late in its grace period and is killed in the middle
// of it. Streams are refused from some time on, calls are not, and each answer closes its
// connection.
func TestStreamsAreRefusedLateInAStop(t *testing.T) {
	stream := route(routing.KindStream)
	stream.Prefix = "/stream/"
	w := newWorld(t, stream, route(routing.KindOnce))
	w.replica(func(c net.Conn, id string) { ok(c, id, "fine") })
	w.server.Stop(-time.Millisecond)
	if answer, _, err := w.call(http.MethodPost, "/stream/x", nil); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("stream: %v, %v", answer, err)
	}
	answer, body, err := w.call(http.MethodPost, "/x", nil)
	if err != nil || body != "fine" || !answer.Close {
		t.Errorf("call: %q, closes %t, %v", body, answer.Close, err)
	}
}

// startedAt names the start of each replica.
const startedAt = 1_772_000_000_000

// crashing is a replica whose process ends when it runs a request with the body "poison".
func (w *world) crashing() {
	w.t.Helper()
	var l net.Listener
	handle := func(c net.Conn, id string) {
		w.mu.Lock()
		body := w.arrivals[len(w.arrivals)-1].body
		w.mu.Unlock()
		if body == "poison" {
			l.Close()
			reset(c)
			return
		}
		ok(c, id, "fine")
	}
	l = w.replica(handle)
}

// counted stands in for the daemons' shared register.
type counted struct {
	mu      sync.Mutex
	deaths  map[quarantine.Fingerprint]int
	started uint64 // of the replica that died last
}

func (c *counted) Check(fingerprint func() quarantine.Fingerprint) *request.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deaths[fingerprint()] < 3 {
		return nil
	}
	return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, time.Minute, "replicas died")
}

func (c *counted) RecordCrash(_ context.Context, s quarantine.Sighting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaths[s.Fingerprint]++
	c.started = s.Incarnation
}

func (c *counted) RecordSuccess(context.Context, func() quarantine.Fingerprint) {}

func (c *counted) all() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, deaths := range c.deaths {
		n += deaths
	}
	return n
}

// A request crashes each replica that runs it. Its caller sends it again and again with a new
// id, and would take all replicas down one after the other. After three of them it is refused
// with when to come back, and requests of others are answered by the rest.
func TestRequestThatCrashesReplicasIsStopped(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	suspects := &counted{deaths: map[quarantine.Fingerprint]int{}}
	w.server.o.Suspects = suspects
	for range 6 {
		w.crashing()
	}
	for n := 1; n <= 3; n++ {
		if answer, _, err := w.post("poison"); err != nil || answer.StatusCode != http.StatusBadGateway {
			t.Fatalf("try %d: %v, %v", n, answer, err)
		}
		for deadline := time.Now().Add(5 * time.Second); suspects.all() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("death %d is not noticed", n)
			}
		}
	}
	answer, _, err := w.post("poison")
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Fatalf("after three deaths: %v, %v", answer, err)
	}
	if suspects.started != startedAt {
		t.Errorf("the death of start %d was noted, want %d", suspects.started, startedAt)
	}
	if _, body, err := w.post("harmless"); err != nil || body != "fine" {
		t.Errorf("another request: %q, %v", body, err)
	}
}

// A third of the replicas dies at once. A request meets some of them in a row: nothing
// listens there, so nothing was sent, and no retry budget may stand between the caller and
// a replica that is idle. It was refused after two, with "no replica took it".
func TestDeadReplicasCostNoBudget(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	w.server.o.Budget = func() retry.Params { return retry.Params{Burst: 0.1, Share: 0.001, PerSecond: 0.001} }
	for range maxUnsent - 1 {
		w.deadReplica()
	}
	w.replica(func(c net.Conn, id string) { ok(c, id, "fine") })
	if _, body, err := w.call(http.MethodPost, "/x", nil); err != nil || body != "fine" {
		t.Errorf("%q, %v", body, err)
	}
	for _, r := range w.placer.replicas[:maxUnsent-1] {
		if !r.Health.Resting(time.Now()) {
			t.Errorf("%s gets requests", r.Info().ID)
		}
	}
}

// Retries of all daemons share one budget. Used up, a failed try is the end.
func TestRetriesKeepToTheBudget(t *testing.T) {
	w := newWorld(t, route(routing.KindIdempotent))
	w.server.o.Budget = func() retry.Params { return retry.Params{Burst: 1, Share: 0.001, PerSecond: 0.001} }
	w.replica(cut)
	w.replica(func(c net.Conn, id string) { ok(c, id, "fine") })
	statuses := []int{}
	for range 3 {
		answer, _, err := w.call(http.MethodGet, "/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, answer.StatusCode)
	}
	if !slices.Equal(statuses, []int{200, 502, 502}) {
		t.Errorf("got %v", statuses)
	}
}

// An answer on weights that may soon not be used waits at its replica. It is given up
// before it begins too late, and a request that may run again goes elsewhere.
func TestUnbegunTryIsGivenUp(t *testing.T) {
	w := newWorld(t, route(routing.KindIdempotent))
	release := make(chan struct{})
	defer close(release)
	w.replica(func(net.Conn, string) { <-release })
	w.replica(func(c net.Conn, id string) { ok(c, id, "fine") })
	w.server.o.Plain = &hurried{listed: w.placer}
	began := time.Now()
	_, body, err := w.call(http.MethodGet, "/x", nil)
	if err != nil || body != "fine" || time.Since(began) > time.Second {
		t.Errorf("got %q after %s, %v", body, time.Since(began), err)
	}
}

// hurried gives the first try little time to begin.
type hurried struct{ *listed }

func (h *hurried) Place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	p, err := h.listed.Place(ctx, j, tried)
	if err == nil && len(tried) == 0 {
		p.BeginBy = time.Now().Add(50 * time.Millisecond)
	}
	return p, err
}

// A body beyond the limit is refused before it reaches a replica.
func TestLongBodyIsRefused(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	r, err := http.NewRequest(http.MethodPost, w.front.URL+"/x", strings.NewReader(strings.Repeat("x", 1001)))
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
		t.Errorf("got %d", answer.StatusCode)
	}
}
