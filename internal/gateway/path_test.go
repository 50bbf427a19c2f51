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
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

const testPrompt = `{"model":"verdict","prompt":"a batch","max_tokens":3}`

func serveGateway(t testing.TB, g *Gateway) *httptest.Server {
	s := httptest.NewUnstartedServer(g.Handler())
	s.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// ask sends one request; err is set if the connection ended before the answer did.
func ask(t testing.TB, url, path, body string) (status int, detail errorDetail, text string, err error) {
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
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// held tells what a request has taken and not given back.
func (w *world) held(g *Gateway) (kinds []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, n := range w.taken {
		if kind != "" && n != 0 {
			kinds = append(kinds, kind)
		}
	}
	if g.InFlight() != 0 {
		kinds = append(kinds, "credit")
	}
	return kinds
}

// A daemon answers fewer and fewer requests until it refuses all: some way for a
// request to end has kept a credit, a grant or a place in the limits. Or one label is
// printed twice: some error let a call that is not repeatable be sent again. Whatever
// the steps and the target do, all is given back, a call is received once at most, and
// "not run" is said only of what no target has received.
func TestWhateverHappensAllIsGivenBack(t *testing.T) {
	tables := newTables(t)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(tables)
		server := w.serve(t)
		defer server.Close()
		step := rapid.SampledFrom([]string{"", "limit", "gate", "queue", "once", "dispatch", "relay", "settle"}).Draw(rt, "step")
		w.fail[step] = rapid.SampledFrom([]outcome{refuses, panics}).Draw(rt, "fails")
		w.tries = rapid.SliceOfN(rapid.SampledFrom([]outcome{
			passes, dialRefused, cutAtOnce, cutAfter, serverError, wrongVersion, silent,
		}), 0, 3).Draw(rt, "tries")
		path := rapid.SampledFrom([]string{"/v1/completions", "/v1/services/cards", "/v1/services/lookup"}).Draw(rt, "path")
		g := w.gateway(t)
		callers := serveGateway(t, g)
		defer callers.Close()

		status, detail, text, err := ask(t, callers.URL, path, testPrompt)
		await(t, "all to be given back", func() bool { return len(w.held(g)) == 0 })
		w.mu.Lock()
		defer w.mu.Unlock()
		if path == "/v1/services/cards" && w.received > 1 {
			rt.Fatalf("the call was received %d times", w.received)
		}
		if path == "/v1/services/cards" && w.received > 0 && w.settled == "abort" {
			rt.Fatal("the key of a call that was received is free")
		}
		if err != nil {
			return // a panic on the connection's own goroutine closes it
		}
		if detail.Ran == request.NotRun && w.received > 0 {
			rt.Fatalf("received, and told %+v", detail)
		}
		if again := status == http.StatusTooManyRequests || status >= http.StatusInternalServerError; again && detail.Ran == request.NotRun && detail.RetryAfterMs == 0 {
			rt.Fatalf("refused without a time to come back: %+v", detail)
		}
		if path == "/v1/completions" && status == http.StatusOK && !strings.Contains(text, wholeText) {
			rt.Fatalf("not the whole answer: %s", text)
		}
	})
}

// A fault of ours ends the handler of a call that has been sent. Were the key freed with
// the rest, the caller's next try would print the label a second time.
func TestPanicAfterACallWasSentLeavesItsKeyInDoubt(t *testing.T) {
	w := newWorld(newTables(t))
	w.fail["sent"] = panics
	w.fail["settle"] = panics // nor may a second fault keep a credit or a grant
	g := w.gateway(t)
	if _, _, _, err := ask(t, serveGateway(t, g).URL, "/v1/services/cards", "label"); err == nil {
		t.Fatal("the handler did not panic")
	}
	await(t, "all to be given back", func() bool { return len(w.held(g)) == 0 })
	if w.settled != "doubt" {
		t.Fatalf("the ticket ended with %q", w.settled)
	}
}

// A caller asks for a large answer of a plain service and stops reading it, but keeps
// its connection. Each such caller takes a credit and a place at the target for ever;
// some hundreds of them stop a daemon.
func TestCallerThatStopsReadingHoldsNothingForEver(t *testing.T) {
	w := newWorld(newTables(t))
	w.serve(t)
	g := w.gateway(t)
	large := journal.Result{Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), 64<<20)}
	served := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		defer close(served)
		g.writeResult(out, large, false)
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

// Two daemons each take the other for the home of a context. Without a bound on hops
// they would send a request to and fro until its deadline; the second serves it.
func TestDaemonsThatDisagreeAboutAHomeForwardOnce(t *testing.T) {
	tables := newTables(t)
	var worlds [2]*world
	var servers [2]*httptest.Server
	var listeners [2]net.Listener
	for i := range listeners {
		listeners[i], _ = net.Listen("tcp", "127.0.0.1:0")
	}
	for i := range worlds {
		worlds[i] = newWorld(tables)
		worlds[i].serve(t)
		other := &peer.Member{Id: "other", PeerAddress: listeners[1-i].Addr().String()}
		worlds[i].members.home = other
		worlds[i].holder = journal.Holder{ID: "other", Address: other.PeerAddress}
		g := worlds[i].gateway(t)
		servers[i] = serveGateway(t, g)
		peers := httptest.NewUnstartedServer(g.HopHandler())
		_ = peers.Listener.Close()
		peers.Listener = listeners[i]
		peers.Start()
		t.Cleanup(peers.Close)
	}
	status, _, text, err := ask(t, servers[0].URL, "/v1/completions", testPrompt)
	if err != nil || status != http.StatusOK || !strings.Contains(text, wholeText) {
		t.Fatalf("got %d %s %v", status, text, err)
	}
	if worlds[0].received != 0 || worlds[1].received != 1 {
		t.Fatalf("served %d and %d times", worlds[0].received, worlds[1].received)
	}
	status, detail, _, _ := ask(t, servers[0].URL, "/v1/services/cards", "label")
	if status != http.StatusServiceUnavailable || detail.Code != request.CodeNotHolder || detail.RetryAfterMs == 0 {
		t.Fatalf("a call that both forward got %d %+v", status, detail)
	}
}

// A home freezes after some frames. The daemon that was asked serves the rest itself,
// maybe at the same target, where the home's try still runs. Under one name the target
// would take the two tries for one; the home, once awake, would cancel both, and the
// caller's answer would be cut a second time.
func TestHomeThatFreezesIsReplacedUnderAnotherName(t *testing.T) {
	w := newWorld(newTables(t))
	w.serve(t)
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
	w.members.home = &peer.Member{Id: "d2", PeerAddress: home.Listener.Addr().String()}
	g := w.gateway(t)
	s := serveGateway(t, g)
	status, _, text, err := ask(t, s.URL, "/v1/completions", strings.Replace(testPrompt, "{", `{"stream":true,`, 1))
	if err != nil || status != http.StatusOK || streamedText(t, text) != wholeText {
		t.Fatalf("got %d %s %v", status, text, err)
	}
	// Another home that got the same id names its try as this daemon would its own.
	theirs := &Job{id: forwarded}
	req := httptest.NewRequest(http.MethodPost, "/", nil)
	req.Header.Set(HeaderRequestID, string(forwarded))
	theirs.hopped = true
	if refusal := g.bound(req, theirs); refusal != nil || theirs.id != forwarded {
		t.Fatalf("the forwarded id is %s, %v", theirs.id, refusal)
	}
	theirs.org = &table.Organisation{}
	if w.attempts[0] == attemptID(theirs) || w.works[0] == g.ask(theirs, Choice{}).Request {
		t.Fatalf("two daemons call their tries %s", w.attempts[0])
	}
}

// The holder of a key answers with more bytes than this daemon takes from a peer. Cut
// at that size the answer would look whole to the caller.
func TestForwardedAnswerIsWholeOrNone(t *testing.T) {
	for _, size := range []int{5 << 20, 9 << 20} {
		holder := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = out.Write(make([]byte, size))
		}))
		t.Cleanup(holder.Close)
		w := newWorld(newTables(t))
		w.holder = journal.Holder{ID: "d2", Address: holder.Listener.Addr().String()}
		s := serveGateway(t, w.gateway(t))
		status, detail, text, err := ask(t, s.URL, "/v1/services/cards", "label")
		whole := err == nil && status == http.StatusOK && len(text) == size
		if refused := detail.Ran == request.InDoubt; !whole && !refused {
			t.Fatalf("of %d bytes %d came with status %d, %+v", size, len(text), status, detail)
		}
	}
}

// A caller announces a body and never sends it. The connection, and a planned stop that
// waits for it, would be held without limit.
func TestBodyThatNeverComesEndsTheRequest(t *testing.T) {
	w := newWorld(newTables(t))
	g := w.gateway(t)
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
	g.line = newRefusingLine()
	f.Fuzz(func(t *testing.T, model, head, service, key, sent, deadline, bearer string) {
		r := httptest.NewRequest(http.MethodGet, "/v1/route", nil)
		r.URL.RawQuery = "model=" + model + "&head=" + head + "&service=" + service
		r.Header.Set("Authorization", bearer)
		out := httptest.NewRecorder()
		g.handleRoute(out, r)
		var route routeAnswer
		if err := json.Unmarshal(out.Body.Bytes(), &route); err != nil || len(route.Addresses) == 0 {
			t.Fatalf("no route in %q: %v", out.Body, err)
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
			t.Fatalf("no time to come back in %q", out.Body)
		}
	})
}

// A peer that forwarded a request goes away while frames and keep-alives are written to
// it. Both note that nobody reads; the race detector shows it if they do so unordered.
func TestKeepAlivesAndFramesMeetWhenThePeerLeaves(t *testing.T) {
	out, _ := newTestSink(true, true)
	out.w = brokenWriter{httptest.NewRecorder()}
	out.flush = http.NewResponseController(out.w)
	stop := out.keepAlive(time.Microsecond)
	defer stop()
	for range 1000 {
		if err := out.text("a", "v1"); err == nil {
			t.Fatal("a frame was taken by a peer that has left")
		}
	}
}

// brokenWriter fails each write, as a connection that the other end closed does.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }
