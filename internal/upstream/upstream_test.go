package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeReplica is a server whose responses a test scripts.
type fakeReplica struct {
	t        *testing.T
	listener net.Listener
	arrivals atomic.Int64
	done     chan struct{}
}

// startReplica runs handle for each connection, with the index of the connection.
func startReplica(t *testing.T, handle func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader)) *fakeReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fakeReplica{t: t, listener: l, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(r, n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-r.done
	})
	return r
}

func (r *fakeReplica) pool(t *testing.T) *Pool {
	p := NewPool(r.listener.Addr().String(), time.Second, 4)
	t.Cleanup(p.Close)
	return p
}

// readRequest reads one request and counts it.
func (r *fakeReplica) readRequest(br *bufio.Reader) (*http.Request, string, bool) {
	request, err := http.ReadRequest(br)
	if err != nil {
		return nil, "", false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, "", false
	}
	r.arrivals.Add(1)
	return request, string(body), true
}

func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id, body string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/p?q=1", Host: "h", Body: []byte(body), Header: http.Header{"Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(t *testing.T, p *Pool, r *Request) string {
	t.Helper()
	response, err := p.Do(context.Background(), r)
	if err != nil {
		t.Fatalf("%s: %v", r.Header.Get("Id"), err)
	}
	body, err := io.ReadAll(response.Body)
	response.Done(err == nil)
	if err != nil {
		t.Fatalf("%s: %v", r.Header.Get("Id"), err)
	}
	return string(body)
}

// A replica starts a call on a reused connection, and the connection breaks before the response.
// net/http's Transport would resend the call, which then runs twice. One Do must cause one arrival
// for every method.
func TestNoImplicitRetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			r := startReplica(t, func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader) {
				if request, _, ok := r.readRequest(br); ok {
					writeResponse(c, request.Header.Get("Id"), "one")
				}
				r.readRequest(br) // reads the second request and closes the connection
			})
			p := r.pool(t)
			first, second := newRequest("1", ""), newRequest("2", "")
			first.Method, second.Method = method, method
			do(t, p, first)
			_, err := p.Do(context.Background(), second)
			if !errors.Is(err, ErrBroken) {
				t.Fatalf("got %v, want a broken connection", err)
			}
			if n := r.arrivals.Load(); n != 2 {
				t.Errorf("%d arrivals of 2 requests", n)
			}
		})
	}
}

// A replica sends two responses to one request. The second one must not be taken for the response to
// the next request on the connection, which may belong to another caller.
func TestMismatchedResponseIsDiscarded(t *testing.T) {
	r := startReplica(t, func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader) {
		request, _, ok := r.readRequest(br)
		if !ok {
			return
		}
		writeResponse(c, request.Header.Get("Id"), "mine")
		if next, _, ok := r.readRequest(br); ok {
			writeResponse(c, request.Header.Get("Id"), "late second answer")
			writeResponse(c, next.Header.Get("Id"), "mine too")
		}
		r.readRequest(br)
	})
	p := r.pool(t)
	do(t, p, newRequest("1", ""))
	if got := do(t, p, newRequest("2", "")); got != "mine too" {
		t.Errorf("got %q", got)
	}
	if p.Dials() != 1 {
		t.Errorf("%d connections", p.Dials())
	}
}

// The duplicate response arrives before the next request is sent. A connection with unsolicited bytes
// must not be reused.
func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	extra := make(chan struct{})
	r := startReplica(t, func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader) {
		request, _, ok := r.readRequest(br)
		if !ok {
			return
		}
		writeResponse(c, request.Header.Get("Id"), fmt.Sprint(n))
		if n == 0 {
			writeResponse(c, "stray", "stray")
			close(extra)
		}
		r.readRequest(br)
	})
	p := r.pool(t)
	do(t, p, newRequest("1", ""))
	<-extra
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) && p.hasReusableConn() {
		time.Sleep(time.Millisecond)
	}
	if got := do(t, p, newRequest("2", "")); got != "1" {
		t.Errorf("response came on connection %s, want 1", got)
	}
}

// hasReusableConn reports whether the first idle connection has nothing to read.
func (p *Pool) hasReusableConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && p.idle[0].isReusable()
}

// A replica refuses a long request before it has read the body, then keeps reading. A daemon that
// writes the complete body first would block, and a daemon that reuses the connection would send the
// next request in place of the rest of the body.
func TestEarlyResponseToLongBody(t *testing.T) {
	const long = 4 << 20
	var rest atomic.Int64
	ended := make(chan struct{})
	r := startReplica(t, func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader) {
		if n > 0 {
			if request, _, ok := r.readRequest(br); ok {
				writeResponse(c, request.Header.Get("Id"), "second")
			}
			return
		}
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		time.Sleep(20 * time.Millisecond)
		read, _ := io.Copy(io.Discard, br) // ends when the pool closes the connection
		rest.Store(read)
		close(ended)
	})
	p := r.pool(t)
	response, err := p.Do(context.Background(), newRequest("1", strings.Repeat("x", long)))
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d", response.Status)
	}
	response.Done(true)
	if got := do(t, p, newRequest("2", "")); got != "second" {
		t.Errorf("got %q", got)
	}
	<-ended
	if rest.Load() > long {
		t.Errorf("%d bytes on the connection, more than the body", rest.Load())
	}
}

// A replica that refuses the connection has certainly not run the request.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := NewPool(l.Addr().String(), time.Second, 1)
	if _, err := p.Do(context.Background(), newRequest("1", "")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

// Cancelling a request must close its connection. Otherwise the replica keeps computing for a caller
// that has disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	began := make(chan struct{})
	r := startReplica(t, func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader) {
		if _, _, ok := r.readRequest(br); !ok {
			return
		}
		close(began)
		if _, err := br.ReadByte(); err != nil {
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	if _, err := r.pool(t).Do(ctx, newRequest("1", "")); err == nil {
		t.Error("a cancelled request succeeded")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection to the replica is still open")
	}
}

// A replica announces when it closes idle connections. If a request crossed with that close, it would
// be unknown whether it ran.
func TestIdleTimeoutStaysBelowReplicaTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5":        4500 * time.Millisecond,
		"max=3, timeout=1": 500 * time.Millisecond,
		"timeout=0":        0,
		"":                 defaultIdleTimeout,
		"timeout=x":        defaultIdleTimeout,
	} {
		if got := idleTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// A replica silently drops connections after 300 ms of idleness. Requests on them are reset, and calls that
// must run at most once fail. After two such breaks, connections must be reused only after shorter
// idle times, and short idle times must still not require a new connection.
func TestIdleLimitIsLearnedFromBreaks(t *testing.T) {
	var r idleLimit
	now := time.Unix(1000, 0)
	r.recordBreak(now, 400*time.Millisecond)
	if !r.allows(now, time.Second) {
		t.Error("a single break set a limit")
	}
	r.recordSuccess(500 * time.Millisecond)
	r.recordBreak(now, 400*time.Millisecond)
	if !r.allows(now, time.Second) {
		t.Error("two breaks with a success in between set a limit")
	}
	r.recordBreak(now, 500*time.Millisecond)
	if r.allows(now, 400*time.Millisecond) || !r.allows(now, 200*time.Millisecond) {
		t.Error("want a limit between 200 ms and 400 ms of idle time")
	}
	if !r.allows(now.Add(idleLimitTTL+time.Second), time.Second) {
		t.Error("the limit did not expire")
	}
}

// Over real connections that idle for 100 ms each, two of ten calls fail before the limit is learned.
func TestFewCallsFailOnSilentlyDroppedConnections(t *testing.T) {
	r := startReplica(t, func(r *fakeReplica, n int, c net.Conn, br *bufio.Reader) {
		for first := true; ; first = false {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if !first {
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // reset without a response
				}
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		}
	})
	p := r.pool(t)
	lost := 0
	for range 10 {
		response, err := p.Do(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
		if err != nil {
			lost++
			continue
		}
		response.Done(true)
		time.Sleep(2 * minIdle)
	}
	if lost != minBreaks {
		t.Errorf("%d of 10 calls failed", lost)
	}
}
