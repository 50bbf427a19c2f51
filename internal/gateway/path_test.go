package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // uses the same seeds in each run
)

const testPrompt = `{"model":"verdict","prompt":"a batch","max_tokens":3}`

func serveGateway(t testing.TB, g *Gateway) *httptest.Server {
	s := httptest.NewUnstartedServer(g.Handler())
	s.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// sendRequest sends one request. It returns an error if the connection closed before the
// answer was complete.
func sendRequest(t testing.TB, url, path, body string) (status int, detail errorDetail, text string, err error) {
	req, _ := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(HeaderIdempotencyKey, "key-1")
	answer, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, errorDetail{}, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	var failed errorBody
	_ = json.Unmarshal(data, &failed)
	return answer.StatusCode, failed.Error, string(data), err
}

func await(t testing.TB, what string, condition func() bool) {
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// held returns the kinds of resources that requests have acquired and not released.
func (e *testEnv) held(g *Gateway) (kinds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for kind, n := range e.taken {
		if kind != "" && n != 0 {
			kinds = append(kinds, kind)
		}
	}
	if g.InFlight() != 0 {
		kinds = append(kinds, "credit")
	}
	return kinds
}

// Guards against two failures. If some outcome of a request leaks a credit, a grant or a
// slot in the limits, a daemon serves fewer and fewer requests until it refuses all. If
// some error lets a call that is not repeatable be sent again, one label is printed twice.
// For any combination of outcomes, all resources are released, such a call is received at
// most once, and "not run" is reported only if no target received the request.
func TestEveryOutcomeReleasesAllResources(t *testing.T) {
	tables := newTables(t)
	rapid.Check(t, func(rt *rapid.T) {
		env := newTestEnv(tables)
		server := env.startTarget(t)
		defer server.Close()
		step := rapid.SampledFrom([]string{"", "limit", "gate", "queue", "once", "dispatch", "relay", "settle"}).Draw(rt, "step")
		env.fail[step] = rapid.SampledFrom([]outcome{refuses, panics}).Draw(rt, "fails")
		env.attemptOutcomes = rapid.SliceOfN(rapid.SampledFrom([]outcome{
			passes, dialRefused, closedBeforeBytes, closedAfterBytes, serverError, wrongVersion, silent,
		}), 0, 3).Draw(rt, "tries")
		path := rapid.SampledFrom([]string{"/v1/completions", "/v1/services/cards", "/v1/services/lookup"}).Draw(rt, "path")
		g := env.gateway(t)
		callers := serveGateway(t, g)
		defer callers.Close()

		status, detail, text, err := sendRequest(t, callers.URL, path, testPrompt)
		await(t, "all resources to be released", func() bool { return len(env.held(g)) == 0 })
		env.mu.Lock()
		defer env.mu.Unlock()
		if path == "/v1/services/cards" && env.received > 1 {
			rt.Fatalf("the call was received %d times", env.received)
		}
		if path == "/v1/services/cards" && env.received > 0 && env.settled == "abort" {
			rt.Fatal("the key of a received call was freed")
		}
		if err != nil {
			return // a panic on the connection's goroutine closes the connection
		}
		if detail.Ran == request.NotRun && env.received > 0 {
			rt.Fatalf("the target received the request, but the answer reports %+v", detail)
		}
		if again := status == http.StatusTooManyRequests || status >= http.StatusInternalServerError; again && detail.Ran == request.NotRun && detail.RetryAfterMs == 0 {
			rt.Fatalf("refusal without a retry delay: %+v", detail)
		}
		if path == "/v1/completions" && status == http.StatusOK && !strings.Contains(text, completeText) {
			rt.Fatalf("incomplete answer: %s", text)
		}
	})
}

// A bug in the gateway makes the handler of a call panic after the call was sent. If the
// key were freed, the caller's next attempt would print the label a second time.
func TestPanicAfterCallIsSentLeavesKeyInDoubt(t *testing.T) {
	env := newTestEnv(newTables(t))
	env.fail["sent"] = panics
	env.fail["settle"] = panics // a second panic must not leak a credit or a grant either
	g := env.gateway(t)
	if _, _, _, err := sendRequest(t, serveGateway(t, g).URL, "/v1/services/cards", "label"); err == nil {
		t.Fatal("the handler did not panic")
	}
	await(t, "all resources to be released", func() bool { return len(env.held(g)) == 0 })
	if env.settled != "doubt" {
		t.Fatalf("the ticket ended with %q", env.settled)
	}
}

// A caller requests a large answer from a plain service and stops reading it, but keeps
// its connection open. Without a write timeout each such caller holds a credit and a slot
// at the target indefinitely, and a few hundred of them block a daemon.
func TestWriteToStalledCallerTimesOut(t *testing.T) {
	env := newTestEnv(newTables(t))
	env.startTarget(t)
	g := env.gateway(t)
	large := journal.Result{Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), 64<<20)}
	served := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		defer close(served)
		g.writeResult(out, newJob(r, kindService, nil), large, false)
	}))
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	select {
	case <-served:
	case <-time.After(time.Minute):
		t.Fatal("the answer is still being written")
	}
}

// Two daemons each consider the other the home of a context. Without a limit on hops they
// would forward a request back and forth until its deadline. Instead, the second serves it.
func TestDaemonsThatDisagreeOnHomeForwardOnce(t *testing.T) {
	tables := newTables(t)
	var envs [2]*testEnv
	var servers [2]*httptest.Server
	var listeners [2]net.Listener
	for i := range listeners {
		listeners[i], _ = net.Listen("tcp", "127.0.0.1:0")
	}
	for i := range envs {
		envs[i] = newTestEnv(tables)
		envs[i].startTarget(t)
		other := &peer.Member{Id: "other", PeerAddress: listeners[1-i].Addr().String()}
		envs[i].members.home = other
		envs[i].holder = journal.Holder{ID: "other", Address: other.PeerAddress}
		g := envs[i].gateway(t)
		servers[i] = serveGateway(t, g)
		peers := httptest.NewUnstartedServer(g.HopHandler())
		_ = peers.Listener.Close()
		peers.Listener = listeners[i]
		peers.Start()
		t.Cleanup(peers.Close)
	}
	status, _, text, err := sendRequest(t, servers[0].URL, "/v1/completions", testPrompt)
	if err != nil || status != http.StatusOK || !strings.Contains(text, completeText) {
		t.Fatalf("got %d %s %v", status, text, err)
	}
	if envs[0].received != 0 || envs[1].received != 1 {
		t.Fatalf("targets received %d and %d requests", envs[0].received, envs[1].received)
	}
	status, detail, _, _ := sendRequest(t, servers[0].URL, "/v1/services/cards", "label")
	if status != http.StatusServiceUnavailable || detail.Code != request.CodeNotHolder || detail.RetryAfterMs == 0 {
		t.Fatalf("call forwarded by both daemons got %d %+v", status, detail)
	}
}

// A home daemon freezes after some frames. The accepting daemon serves the request itself,
// possibly at the same target, where the home's attempt is still running. If both attempts
// had the same id, the target would treat them as one: when the home resumes, it would
// cancel both, and the caller's answer would be interrupted a second time.
func TestFrozenHomeIsReplacedUnderDifferentAttemptID(t *testing.T) {
	env := newTestEnv(newTables(t))
	env.startTarget(t)
	frozen := make(chan struct{})
	var forwarded request.ID
	home := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		forwarded = request.ID(r.Header.Get(HeaderRequestID))
		out.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(out, `data: {"request_id":"`+string(forwarded)+`","seq":0,"text":"one ","version":"v1"}`+"\n\n")
		_ = http.NewResponseController(out).Flush()
		<-frozen
	}))
	t.Cleanup(home.Close)
	t.Cleanup(func() { close(frozen) })
	env.members.home = &peer.Member{Id: "d2", PeerAddress: home.Listener.Addr().String()}
	g := env.gateway(t)
	s := serveGateway(t, g)
	status, _, text, err := sendRequest(t, s.URL, "/v1/completions", strings.Replace(testPrompt, "{", `{"stream":true,`, 1))
	if err != nil || status != http.StatusOK || streamedText(t, text) != completeText {
		t.Fatalf("got %d %s %v", status, text, err)
	}
	// A daemon that receives the forwarded id derives its attempt ids in the same way.
	peerJob := &Job{id: forwarded}
	req := httptest.NewRequest(http.MethodPost, "/", nil)
	req.Header.Set(HeaderRequestID, string(forwarded))
	peerJob.fromPeer = true
	if refusal := g.initJob(req, peerJob); refusal != nil || peerJob.id != forwarded {
		t.Fatalf("forwarded id is %s, %v", peerJob.id, refusal)
	}
	peerJob.org = &table.Organisation{}
	if env.attempts[0] == attemptID(peerJob) || env.acquireIDs[0] == g.acquireRequest(peerJob, Choice{}).Request {
		t.Fatalf("two daemons use the attempt id %s", env.attempts[0])
	}
}

// The holder of a key answers with more bytes than this daemon accepts from a peer. If the
// answer were truncated at the limit, it would appear complete to the caller.
func TestForwardedAnswerIsNotTruncated(t *testing.T) {
	for _, size := range []int{5 << 20, 9 << 20} {
		holder := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = out.Write(make([]byte, size))
		}))
		t.Cleanup(holder.Close)
		env := newTestEnv(newTables(t))
		env.holder = journal.Holder{ID: "d2", Address: holder.Listener.Addr().String()}
		s := serveGateway(t, env.gateway(t))
		status, detail, text, err := sendRequest(t, s.URL, "/v1/services/cards", "label")
		complete := err == nil && status == http.StatusOK && len(text) == size
		if refused := detail.Ran == request.InDoubt; !complete && !refused {
			t.Fatalf("answer of %d bytes: got %d bytes with status %d, %+v", size, len(text), status, detail)
		}
	}
}

// A caller announces a body and never sends it. Without a timeout it would hold its
// connection, and delay a planned shutdown, without limit.
func TestMissingBodyTimesOut(t *testing.T) {
	env := newTestEnv(newTables(t))
	g := env.gateway(t)
	g.opts.BodyTimeout = 50 * time.Millisecond
	s := serveGateway(t, g)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	head := make([]byte, 12)
	if _, err := io.ReadFull(conn, head); err != nil || string(head) != "HTTP/1.1 400" {
		t.Fatalf("got %q, %v", head, err)
	}
}

func FuzzRouteAndCallHeaders(f *testing.F) {
	f.Add("verdict", "head", "", "key", "2026-12-02T20:00:00Z", "1000", "Bearer x")
	g := &Gateway{stats: newStats(nopScope), log: hclog.NewNullLogger(), opts: Options{
		Tables: staticTables{}, Members: fakeMembers{self: &peer.Member{Id: "d1", CallerAddress: "127.0.0.1:1"}}, MaxBody: 1 << 10,
		DefaultDeadline: time.Second, BodyTimeout: time.Second,
	}}
	g.pipeline = newPipelineWithoutCredits()
	f.Fuzz(func(t *testing.T, model, head, service, key, sent, deadline, bearer string) {
		r := httptest.NewRequest(http.MethodGet, "/v1/route", nil)
		r.URL.RawQuery = "model=" + model + "&head=" + head + "&service=" + service
		r.Header.Set("Authorization", bearer)
		out := httptest.NewRecorder()
		g.handleRoute(out, r)
		var route routeAnswer
		if err := json.Unmarshal(out.Body.Bytes(), &route); err != nil || len(route.Addresses) == 0 {
			t.Fatalf("no route in answer %q: %v", out.Body, err)
		}
		r = httptest.NewRequest(http.MethodPost, "/v1/services/cards", strings.NewReader("x"))
		r.Header.Set("Authorization", bearer)
		r.Header.Set(HeaderIdempotencyKey, key)
		r.Header.Set(HeaderFirstSent, sent)
		r.Header.Set(HeaderDeadline, deadline)
		out = httptest.NewRecorder()
		g.handleService(out, r)
		var refused errorBody
		if err := json.Unmarshal(out.Body.Bytes(), &refused); err != nil || refused.Error.Ran != request.NotRun {
			t.Fatalf("got %d %q", out.Code, out.Body)
		}
		if out.Code >= http.StatusInternalServerError && refused.Error.RetryAfterMs == 0 {
			t.Fatalf("no retry delay in answer %q", out.Body)
		}
	})
}

// A peer that forwarded a request disconnects while frames and keep-alives are written to
// it. Both writers encounter the error; the race detector reports unsynchronized access.
func TestConcurrentKeepAlivesAndFramesAfterPeerDisconnects(t *testing.T) {
	out, _ := newTestSink(true, true)
	out.w = brokenWriter{httptest.NewRecorder()}
	out.control = http.NewResponseController(out.w)
	stop := out.keepAlive(time.Microsecond)
	defer stop()
	for range 1000 {
		if err := out.writeText("a", "v1"); err == nil {
			t.Fatal("writing a frame to a disconnected peer succeeded")
		}
	}
}

// brokenWriter fails each write, like a connection that the remote end has closed.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// The home of a context reaches no target, while the daemon that accepted the request does. The home's word that it ran nothing
// must not end the request.
func TestHomeThatReachesNoTargetIsReplaced(t *testing.T) {
	tables := newTables(t)
	home, accepting := newTestEnv(tables), newTestEnv(tables)
	home.startTarget(t)
	home.attemptOutcomes = []outcome{dialRefused, dialRefused, dialRefused, dialRefused, dialRefused, dialRefused}
	peers := httptest.NewServer(home.gateway(t).HopHandler())
	t.Cleanup(peers.Close)
	accepting.startTarget(t)
	accepting.members.home = &peer.Member{Id: "home", PeerAddress: peers.Listener.Addr().String()}
	g := accepting.gateway(t)
	status, detail, text, err := sendRequest(t, serveGateway(t, g).URL, "/v1/completions", testPrompt)
	if err != nil || status != http.StatusOK || !strings.Contains(text, completeText) {
		t.Fatalf("got %d %+v %s %v", status, detail, text, err)
	}
	await(t, "all resources to be released", func() bool { return len(accepting.held(g)) == 0 })
}

// The daemon that accepted a request reaches no target, and is itself the home of the context. Another daemon must be asked, once,
// and what may have run there must not be called not run.
func TestDaemonThatReachesNoTargetAsksAnother(t *testing.T) {
	none := []outcome{dialRefused, dialRefused, dialRefused, dialRefused, dialRefused, dialRefused}
	for name, c := range map[string]struct {
		atOther []outcome
		status  int
		ran     request.RunOutcome
	}{
		"the other serves":          {nil, http.StatusOK, ""},
		"the other reaches none":    {none, http.StatusBadGateway, request.NotRun},
		"the other's target breaks": {[]outcome{closedBeforeBytes, closedBeforeBytes, closedBeforeBytes, closedBeforeBytes}, http.StatusBadGateway, request.InDoubt},
	} {
		t.Run(name, func(t *testing.T) {
			tables := newTables(t)
			other, cut := newTestEnv(tables), newTestEnv(tables)
			other.startTarget(t)
			other.attemptOutcomes = c.atOther
			peers := httptest.NewServer(other.gateway(t).HopHandler())
			t.Cleanup(peers.Close)
			cut.startTarget(t)
			cut.attemptOutcomes = none
			cut.members.other = &peer.Member{Id: "other", PeerAddress: peers.Listener.Addr().String()}
			g := cut.gateway(t)
			status, detail, text, err := sendRequest(t, serveGateway(t, g).URL, "/v1/completions", testPrompt)
			if err != nil || status != c.status || detail.Ran != c.ran {
				t.Fatalf("got %d %+v %s %v", status, detail, text, err)
			}
			await(t, "all resources to be released", func() bool { return len(cut.held(g)) == 0 })
		})
	}
}

// A daemon that is cut off from all targets must not count the requests that break as ones that killed their targets: after a few
// of them all daemons would refuse the request.
func TestLostPathIsNoDeathOfTarget(t *testing.T) {
	env := newTestEnv(newTables(t))
	server := env.startTarget(t)
	g := env.gateway(t)
	if !g.reachesOthers(t.Context(), "engine-1") {
		t.Error("the path counts as lost although other targets are reached")
	}
	server.Close()
	if g.reachesOthers(t.Context(), "engine-1") {
		t.Error("the path counts as sound although no target is reached")
	}
	j := &Job{kind: kindService, choice: Choice{Target: table.Target{ID: "cards-1", Address: env.target}}}
	if g.hasDied(j, env.Client(j.choice.Target)) {
		t.Error("a target that is not reached counts as dead, and so would all others")
	}
}

// noMemoryBody is a body for which there is no memory.
type noMemoryBody struct{}

// Read implements io.Reader.
func (noMemoryBody) Read([]byte) (int, error) {
	return 0, &memory.Refusal{Reason: memory.ReasonFull, RetryAfter: 1500 * time.Millisecond}
}

// TestBodyWithoutMemoryIsNotRun guards against callers that take a lack of memory for a fault of their requests.
func TestBodyWithoutMemoryIsNotRun(t *testing.T) {
	g := newTestEnv(nil).gateway(t)
	for _, path := range []string{pathCompletions, pathServices + "cards"} {
		out := httptest.NewRecorder()
		g.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodPost, path, noMemoryBody{}))
		var refused errorBody
		if err := json.Unmarshal(out.Body.Bytes(), &refused); err != nil {
			t.Fatal(err)
		}
		if out.Code != http.StatusServiceUnavailable || out.Header().Get("Retry-After") == "" || refused.Error.Ran != request.NotRun {
			t.Errorf("%s: %d %v %s", path, out.Code, out.Header(), out.Body)
		}
	}
}

// TestWholeBodiesAreRead guards against bodies that are cut off, or read without end, at the sizes at which their buffer grows.
func TestWholeBodiesAreRead(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 2*firstBodyBytes + 1, 1 << 20} {
		sent := bytes.Repeat([]byte("ab"), size/2+1)[:size]
		for _, length := range []int{size, -1, size / 2} {
			got, err := readWhole(bytes.NewReader(sent), int64(length))
			if err != nil || !bytes.Equal(got, sent) {
				t.Errorf("%d bytes, stated %d: got %d, %v", size, length, len(got), err)
			}
		}
	}
}
