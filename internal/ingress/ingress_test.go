package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitTimeout = 20 * time.Second

// abortedPath asks for an answer without a length, of which abortedBytes come.
const (
	abortedPath  = "/aborted"
	abortedBytes = 12_000
)

// largePath, with a number, asks for an answer of so many bytes.
const largePath = "/large/"

// fixture is a guarded server. Its handler reads the body and answers with its length, after a path that begins with /wait once proceed is
// closed.
type fixture struct {
	t       *testing.T
	address string
	guard   *Guard
	budget  *budget
	limits  atomic.Pointer[Limits]
	served  atomic.Int64
	failed  atomic.Int64 // requests whose body could not be read
	bodies  int64        // bound of bodies that are read whole; zero: none are
	proceed chan struct{}
	release sync.Once
}

// letGo lets the handler answer the requests that wait.
func (f *fixture) letGo() { f.release.Do(func() { close(f.proceed) }) }

func newFixture(t *testing.T, maxConns int, headMemory int64, limits Limits) *fixture {
	t.Helper()
	f := &fixture{t: t, budget: NewBudget(headMemory).(*budget), proceed: make(chan struct{})}
	f.limits.Store(&limits)
	f.guard = New(Options{Name: "test", MaxConns: maxConns, Budget: f.budget, Limits: func() Limits { return *f.limits.Load() }, Metrics: tally.NoopScope})
	s := &http.Server{ReadHeaderTimeout: waitTimeout, IdleTimeout: waitTimeout, Handler: http.HandlerFunc(f.handle)}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.bodies == 0 {
			f.handle(w, r)
			return
		}
		f.guard.BoundBodies(f.bodies, http.HandlerFunc(f.handle)).ServeHTTP(w, r)
	})
	s.ConnContext = framing.ConnContext
	f.guard.Attach(s)
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return SetBuffers(raw) }}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(f.guard.Listener(l)) // returns http.ErrServerClosed
	}()
	t.Cleanup(func() {
		f.letGo()
		s.Close()
		<-done
		f.await("all connections have ended and gave their memory back", func() bool {
			state := f.guard.State()
			return state.Receiving+state.Serving+state.Idle == 0 && f.held() == 0
		})
	})
	return f
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		f.failed.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	f.served.Add(1)
	if r.URL.Path == abortedPath {
		framing.ByConnection(r.Context(), w.Header())
		_, _ = w.Write(make([]byte, abortedBytes)) // its client may not read it
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if bytes, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, largePath)); err == nil {
		_, _ = w.Write(make([]byte, bytes)) // its client may not read it
		return
	}
	if strings.HasPrefix(r.URL.Path, "/wait") {
		<-f.proceed
	}
	fmt.Fprint(w, n)
}

func (f *fixture) held() int64 {
	f.budget.mu.Lock()
	defer f.budget.mu.Unlock()
	return f.budget.core.Held(memory.Head)
}

func (f *fixture) await(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not seen: %s; connections: %+v, %d bytes are held", what, f.guard.State(), f.held())
		}
		time.Sleep(time.Millisecond)
	}
}

// client is a connection of a client.
type client struct {
	net.Conn
	t  *testing.T
	br *bufio.Reader
}

func (f *fixture) connect() *client {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return &client{Conn: c, t: f.t, br: bufio.NewReader(c)}
}

// connectDeaf returns a client whose receive buffer is small.
func (f *fixture) connectDeaf() *client {
	f.t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return setOptions(raw, option{syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4 << 10})
	}}
	c, err := d.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return &client{Conn: c, t: f.t, br: bufio.NewReader(c)}
}

// askLarge asks for an answer of a size.
func (c *client) askLarge(bytes int, header string) {
	c.send(fmt.Sprintf("GET %s%d HTTP/1.1\r\nHost: h\r\n%s\r\n", largePath, bytes, header))
}

// send writes; the connection may fail meanwhile.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// status returns the status of the next response and its Retry-After, or zero if the connection has ended.
func (c *client) status() (int, string) {
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Header.Get("Retry-After")
}

func (c *client) requireStatus(want int) {
	c.t.Helper()
	if got, _ := c.status(); got != want {
		c.t.Errorf("status %d, want %d", got, want)
	}
}

const ordinary = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

func headOf(bytes int) string {
	const fields = "Host: h\r\nA: "
	return "GET /x HTTP/1.1\r\n" + fields + strings.Repeat("a", bytes-len(fields)-2) + "\r\n\r\n"
}

// TestHeadsAboveTheLimitAreRefused guards against heads that are read without a bound, and against refusals that are lost because the
// client still sends.
func TestHeadsAboveTheLimitAreRefused(t *testing.T) {
	const limit = 2000
	f := newFixture(t, 10, 1<<20, Limits{HeadBytes: limit})
	c := f.connect()
	for range 3 { // the same for the second request of a connection
		c.send(headOf(limit))
		c.requireStatus(http.StatusOK)
	}
	for name, text := range map[string]string{
		"one byte":                 headOf(limit + 1),
		"head without end":         "GET /x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 40_000),
		"short lines without end":  "GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 20_000),
		"request line without end": "GET /" + strings.Repeat("a", 40_000),
	} {
		t.Run(name, func(t *testing.T) {
			fresh := f.connect()
			fresh.send(text)
			fresh.requireStatus(http.StatusRequestHeaderFieldsTooLarge)
			kept := f.connect()
			kept.send(ordinary)
			kept.requireStatus(http.StatusOK)
			kept.send(text)
			kept.requireStatus(http.StatusRequestHeaderFieldsTooLarge)
			if status, _ := kept.status(); status != 0 {
				t.Errorf("the connection goes on with status %d", status)
			}
		})
	}
}

// TestChangedLimitAppliesToOpenHeads guards against heads that are judged by a limit that is no longer in force.
func TestChangedLimitAppliesToOpenHeads(t *testing.T) {
	f := newFixture(t, 10, 1<<20, Limits{HeadBytes: 2000})
	lowered, raised := f.connect(), f.connect()
	lowered.send("GET /x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 1000))
	raised.send("GET /x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 1900))
	f.await("both heads are received", func() bool { return f.held() > 4*2900 })
	f.limits.Store(&Limits{HeadBytes: 900})
	lowered.send("a")
	lowered.requireStatus(http.StatusRequestHeaderFieldsTooLarge)
	f.limits.Store(&Limits{HeadBytes: 4000})
	raised.send(strings.Repeat("a", 1000) + "\r\n\r\n")
	raised.requireStatus(http.StatusOK)
}

// TestHeadsWithoutMemoryAreNotRun guards against heads whose parsed form exceeds the memory, and against refusals that don't say when to
// return.
func TestHeadsWithoutMemoryAreNotRun(t *testing.T) {
	const room = 256 << 10
	f := newFixture(t, 100, room, Limits{HeadBytes: 16 << 10})
	lines := strings.Repeat("a:\n", 300) // 78 KB by their cost
	whole := f.connect()
	whole.send("GET /wait HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n")
	f.await("it is served", func() bool { return f.served.Load() == 1 })
	refused := f.connect()
	refused.send("GET /x HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n")
	if status, retryAfter := refused.status(); status != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("status %d, Retry-After %q", status, retryAfter)
	}
	small := f.connect()
	small.send(ordinary)
	small.requireStatus(http.StatusOK)
	if n := f.served.Load(); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
	f.letGo()
	whole.requireStatus(http.StatusOK)
	f.await("its memory is free", func() bool { return f.held() == 0 })
	again := f.connect()
	again.send("GET /x HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n")
	again.requireStatus(http.StatusOK)
}

// TestOpenHeadsGiveWayToYoungerOnes guards against clients that hold the memory for heads and never end theirs.
func TestOpenHeadsGiveWayToYoungerOnes(t *testing.T) {
	f := newFixture(t, 100, 256<<10, Limits{HeadBytes: 16 << 10})
	open := f.connect()
	open.send("GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 300))
	f.await("the head is received", func() bool { return f.held() > 300*256 })
	younger := f.connect()
	younger.send("GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 300) + "\r\n")
	younger.requireStatus(http.StatusOK)
	open.requireStatus(0)
}

// TestPipelinedHeadsTakeMemory guards against heads that are received with the request before them and take no memory from the budget.
func TestPipelinedHeadsTakeMemory(t *testing.T) {
	f := newFixture(t, 10, 1<<20, Limits{})
	c := f.connect()
	c.send(ordinary + "GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 500) + "\r\n")
	c.requireStatus(http.StatusOK)
	f.await("the second one is served", func() bool { return f.served.Load() == 2 })
	if held := f.held(); held < 500*256 {
		t.Errorf("%d bytes are held", held)
	}
	f.letGo()
	c.requireStatus(http.StatusOK)
}

// TestSilentClientsGiveWay guards against clients that take all connections, and against ordinary idle connections that are closed
// while there is room.
func TestSilentClientsGiveWay(t *testing.T) {
	const maxConns = 8
	f := newFixture(t, maxConns, 1<<20, Limits{})
	idle := f.connect()
	idle.send(ordinary)
	idle.requireStatus(http.StatusOK)
	f.await("it is idle", func() bool { return f.guard.State().Idle == 1 })
	serving := f.connect()
	serving.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	f.await("it is served", func() bool { return f.guard.State().Serving == 1 })
	slow := f.connect()
	slow.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	const ordinaryClients, silentClients = 3, 5 * maxConns
	for range silentClients {
		f.connect()
	}
	f.await("silent clients give way", func() bool { return f.guard.State().GaveWay == ordinaryClients+silentClients-maxConns })
	slow.requireStatus(0)
	idle.send(ordinary)
	idle.requireStatus(http.StatusOK)
	f.letGo()
	serving.requireStatus(http.StatusOK)
	if n := f.served.Load(); n != 3 {
		t.Errorf("%d requests ran, want 3", n)
	}
}

// TestConnectionsAreRefusedIfAllServe guards against requests that are cut off for the sake of new connections.
func TestConnectionsAreRefusedIfAllServe(t *testing.T) {
	const maxConns = 4
	f := newFixture(t, maxConns, 1<<20, Limits{})
	var serving []*client
	for range maxConns {
		c := f.connect()
		c.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		serving = append(serving, c)
	}
	f.await("all are served", func() bool { return f.guard.State().Serving == maxConns })
	if c, err := net.Dial("tcp", f.address); err == nil { // its reset may come earlier
		refused := &client{Conn: c, t: t, br: bufio.NewReader(c)}
		refused.send(ordinary)
		refused.requireStatus(0)
		c.Close()
	}
	f.letGo()
	for _, c := range serving {
		c.requireStatus(http.StatusOK)
	}
	if n := f.served.Load(); n != maxConns {
		t.Errorf("%d requests ran, want %d", n, maxConns)
	}
}

// TestClientsThatReadNothingGiveWay guards against answers that nobody reads and that keep ordinary clients out.
func TestClientsThatReadNothingGiveWay(t *testing.T) {
	const maxConns = 4
	f := newFixture(t, maxConns, 1<<20, Limits{})
	for range maxConns {
		f.connectDeaf().askLarge(1<<20, "")
	}
	f.await("all are served", func() bool { return f.guard.State().Serving == maxConns })
	f.await("an ordinary client is served", func() bool {
		c, err := net.Dial("tcp", f.address)
		if err != nil {
			return false
		}
		defer c.Close()
		ordinaryClient := &client{Conn: c, t: t, br: bufio.NewReader(c)}
		ordinaryClient.send(ordinary)
		status, _ := ordinaryClient.status()
		return status == http.StatusOK
	})
	if n := f.guard.State().GaveWay; n == 0 {
		t.Error("no connection gave way")
	}
}

// TestAnswersToClosedConnectionsAreCounted guards against answers that the kernel holds for connections that count no more, and against their loss.
func TestAnswersToClosedConnectionsAreCounted(t *testing.T) {
	f := newFixture(t, 10, 1<<20, Limits{})
	const answerBytes = 12_000 // more than the client's buffer, less than the server's
	c := f.connectDeaf()
	c.askLarge(answerBytes, "Connection: close\r\n")
	f.await("the answer is written", func() bool { return f.guard.State().Idle == 1 })
	time.Sleep(2 * lingerInterval)
	if n := f.guard.State().Idle; n != 1 {
		t.Errorf("%d connections are kept, want 1", n)
	}
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if n, err := io.Copy(io.Discard, r.Body); err != nil || n != answerBytes {
		t.Errorf("got %d bytes, %v", n, err)
	}
	f.await("the connection is kept no more", func() bool { return f.guard.State().Idle == 0 })
}

// TestAbortedAnswersLookIncomplete guards against an answer that ends with its connection, is broken off and looks complete, because the connection
// is closed in order for the sake of what its client has not received.
func TestAbortedAnswersLookIncomplete(t *testing.T) {
	f := newFixture(t, 10, 1<<20, Limits{})
	c := f.connectDeaf()
	c.send("GET " + abortedPath + " HTTP/1.1\r\nHost: h\r\n\r\n")
	f.await("the answer is broken off", func() bool { return f.served.Load() == 1 && f.guard.State().Serving == 0 })
	text, err := io.ReadAll(c.br)
	if err == nil {
		t.Errorf("got %d bytes and the end of the connection", len(text))
	}
}

// TestLargeAnswersPass guards against answers that the small send buffers cut off or hold up, for clients that pause as well.
func TestLargeAnswersPass(t *testing.T) {
	f := newFixture(t, 40, 1<<20, Limits{})
	for _, header := range []string{"", "Connection: close\r\n"} {
		for _, size := range []int{smallBuffer, 100_000, 4 << 20} {
			c := f.connectDeaf()
			c.askLarge(size, header)
			time.Sleep(2 * lingerInterval)
			r, err := http.ReadResponse(c.br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, r.Body); err != nil || n != int64(size) {
				t.Errorf("%q, %d bytes: got %d, %v", header, size, n, err)
			}
			r.Body.Close()
			c.Close()
		}
	}
	f.await("no send buffer is large", func() bool { return f.guard.largeSend.taken.Load() == 0 })
}

// TestTimesOfLimitsAreInForce guards against heads and idle connections that outlive the limits in force.
func TestTimesOfLimitsAreInForce(t *testing.T) {
	f := newFixture(t, 10, 1<<20, Limits{HeadTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	open := f.connect()
	open.send("GET /x HTTP/1.1\r\nHost: h\r\n")
	idle := f.connect()
	idle.send(ordinary)
	idle.requireStatus(http.StatusOK)
	silent := f.connect()
	began := time.Now()
	open.requireStatus(0)
	idle.requireStatus(0)
	if took := time.Since(began); took > waitTimeout/2 {
		t.Errorf("it took %s", took)
	}
	silent.send(ordinary) // it has sent nothing so far
	silent.requireStatus(http.StatusOK)
}

// TestLargeBodiesPass guards against bodies that the small receive buffers hold up.
func TestLargeBodiesPass(t *testing.T) {
	f := newFixture(t, 10, 1<<20, Limits{})
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for _, size := range []int{0, 100, smallBuffer, 100_000, 4 << 20} {
		for range 3 {
			resp, err := c.Post("http://"+f.address+"/x", "text/plain", bytes.NewReader(make([]byte, size)))
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || string(text) != fmt.Sprint(size) {
				t.Errorf("%d bytes: got %s, %v", size, text, err)
			}
		}
	}
}

// TestBodiesOfCallsAreBounded guards against handlers that read whole bodies without end, and against bodies that are cut off in silence.
func TestBodiesOfCallsAreBounded(t *testing.T) {
	const maxBody, room = 10_000, 256 << 10
	f := newFixture(t, 100, room, Limits{})
	f.bodies = maxBody
	for size, want := range map[int]int{maxBody: http.StatusOK, maxBody + 1: http.StatusRequestEntityTooLarge} {
		c := f.connect()
		c.send(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		c.requireStatus(want)
	}
	for range 40 { // together more than there is room for
		c := f.connect()
		c.send(fmt.Sprintf("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("b", maxBody)))
	}
	f.await("bodies are refused", func() bool { return f.failed.Load() > 0 })
	if held := f.held(); held > room {
		t.Errorf("%d bytes are held", held)
	}
}

// BenchmarkOrdinaryRequest measures a request of 700 bytes on a kept connection, with and without the guard.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprint("guarded=", guarded), func(b *testing.B) {
			s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := l.Addr().String()
			if guarded {
				g := New(Options{Name: "b", MaxConns: 100, Budget: NewBudget(1 << 20), Limits: func() Limits { return Limits{} }, Metrics: tally.NoopScope})
				g.Attach(s)
				l = g.Listener(l)
			}
			go func() { _ = s.Serve(l) }() // until the close below
			defer s.Close()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			head := []byte("GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Header-Name: some value here\r\n", 22) + "\r\n")
			br := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(head); err != nil {
					b.Fatal(err)
				}
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				r.Body.Close()
			}
		})
	}
}
