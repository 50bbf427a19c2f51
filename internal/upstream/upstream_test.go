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

// replica is a server whose connections a test plays by hand.
type replica struct {
	t        *testing.T
	listener net.Listener
	arrivals atomic.Int64
	done     chan struct{}
}

// serve runs handle for each connection, with the number of the connection.
func serve(t *testing.T, handle func(r *replica, n int, c net.Conn, br *bufio.Reader)) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &replica{t: t, listener: l, done: make(chan struct{})}
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

func (r *replica) pool(t *testing.T) *Pool {
	p := NewPool(r.listener.Addr().String(), time.Second, 4)
	t.Cleanup(p.Close)
	return p
}

// read takes one request and counts it.
func (r *replica) read(br *bufio.Reader) (*http.Request, string, bool) {
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

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func ask(id, body string) *Request {
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

// A caller's card is printed twice: the daemon sends a call on a kept connection, the
// replica begins it and its connection dies before the answer, and the client library
// sends the call again by itself. One Do must be one arrival, whatever the method.
func TestNoHiddenRepeat(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			r := serve(t, func(r *replica, n int, c net.Conn, br *bufio.Reader) {
				if request, _, ok := r.read(br); ok {
					answer(c, request.Header.Get("Id"), "one")
				}
				r.read(br) // the second request is read, and the connection ends
			})
			p := r.pool(t)
			first, second := ask("1", ""), ask("2", "")
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

// A caller gets another one's answer: a replica answers a request twice, and the second
// answer is read as that of the next request on the connection.
func TestAnswerOfAnotherRequestIsReadAway(t *testing.T) {
	r := serve(t, func(r *replica, n int, c net.Conn, br *bufio.Reader) {
		request, _, ok := r.read(br)
		if !ok {
			return
		}
		answer(c, request.Header.Get("Id"), "mine")
		if next, _, ok := r.read(br); ok {
			answer(c, request.Header.Get("Id"), "late second answer")
			answer(c, next.Header.Get("Id"), "mine too")
		}
		r.read(br)
	})
	p := r.pool(t)
	do(t, p, ask("1", ""))
	if got := do(t, p, ask("2", "")); got != "mine too" {
		t.Errorf("got %q", got)
	}
	if p.Dials() != 1 {
		t.Errorf("%d connections", p.Dials())
	}
}

// The same, with the second answer there before the next request is sent: a connection
// that holds bytes nobody asked for is not used again.
func TestConnectionWithUnaskedBytesIsNotUsedAgain(t *testing.T) {
	extra := make(chan struct{})
	r := serve(t, func(r *replica, n int, c net.Conn, br *bufio.Reader) {
		request, _, ok := r.read(br)
		if !ok {
			return
		}
		answer(c, request.Header.Get("Id"), fmt.Sprint(n))
		if n == 0 {
			answer(c, "stray", "stray")
			close(extra)
		}
		r.read(br)
	})
	p := r.pool(t)
	do(t, p, ask("1", ""))
	<-extra
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) && p.hasQuietConn() {
		time.Sleep(time.Millisecond)
	}
	if got := do(t, p, ask("2", "")); got != "1" {
		t.Errorf("answered on connection %s, want the second one", got)
	}
}

// hasQuietConn reports whether an idle connection has nothing to read.
func (p *Pool) hasQuietConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && p.idle[0].quiet()
}

// A replica refuses a long request before it has read its body and then reads on. A
// daemon that writes the whole body first waits for ever; one that uses the connection
// again sends the next request where the rest of the body is due.
func TestEarlyAnswerToLongBody(t *testing.T) {
	const long = 4 << 20
	var rest atomic.Int64
	ended := make(chan struct{})
	r := serve(t, func(r *replica, n int, c net.Conn, br *bufio.Reader) {
		if n > 0 {
			if request, _, ok := r.read(br); ok {
				answer(c, request.Header.Get("Id"), "second")
			}
			return
		}
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		time.Sleep(20 * time.Millisecond)
		read, _ := io.Copy(io.Discard, br) // ends when the daemon closes
		rest.Store(read)
		close(ended)
	})
	p := r.pool(t)
	response, err := p.Do(context.Background(), ask("1", strings.Repeat("x", long)))
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d", response.Status)
	}
	response.Done(true)
	if got := do(t, p, ask("2", "")); got != "second" {
		t.Errorf("got %q", got)
	}
	<-ended
	if rest.Load() > long {
		t.Errorf("%d bytes on the connection, more than the body", rest.Load())
	}
}

// A replica that is down is known not to have run a request.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := NewPool(l.Addr().String(), time.Second, 1)
	if _, err := p.Do(context.Background(), ask("1", "")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

// A caller leaves, and the replica works on for nobody: cancelling must close the
// connection, which tells it to stop.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	began := make(chan struct{})
	r := serve(t, func(r *replica, n int, c net.Conn, br *bufio.Reader) {
		if _, _, ok := r.read(br); !ok {
			return
		}
		close(began)
		if _, err := br.ReadByte(); err != nil {
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	if _, err := r.pool(t).Do(ctx, ask("1", "")); err == nil {
		t.Error("a cancelled request was answered")
	}
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("the replica still has the connection")
	}
}

// A replica says when it closes idle connections; a request sent then would cross the
// close and nobody could tell whether it ran.
func TestKeepForStaysBelowTheReplicasTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5":        4500 * time.Millisecond,
		"max=3, timeout=1": 500 * time.Millisecond,
		"timeout=0":        0,
		"":                 defaultKeepFor,
		"timeout=x":        defaultKeepFor,
	} {
		if got := keepFor(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// A replica forgets idle connections after 300 ms and says nothing; what is sent on one is
// reset, and a call that must run at most once fails. The first two show it; after them idle
// connections are used for less, and short rests still need no new connection.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	var r rests
	now := time.Unix(1000, 0)
	r.broke(now, 400*time.Millisecond)
	if !r.allows(now, time.Second) {
		t.Error("one break is taken for a rule")
	}
	r.answered(500 * time.Millisecond)
	r.broke(now, 400*time.Millisecond)
	if !r.allows(now, time.Second) {
		t.Error("a longer rest did no harm in between")
	}
	r.broke(now, 500*time.Millisecond)
	if r.allows(now, 400*time.Millisecond) || !r.allows(now, 200*time.Millisecond) {
		t.Error("want rests of well below 500 ms only")
	}
	if !r.allows(now.Add(staleFor+time.Second), time.Second) {
		t.Error("longer rests are never tried again")
	}
}

// The same over connections: of ten calls that rest for 100 ms each, two are lost.
func TestFewCallsAreLostOnForgottenConnections(t *testing.T) {
	r := serve(t, func(r *replica, n int, c net.Conn, br *bufio.Reader) {
		for first := true; ; first = false {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if !first {
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // reset, without an answer
				}
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		}
	})
	p := r.pool(t)
	lost := 0
	for range 10 {
		answer, err := p.Do(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
		if err != nil {
			lost++
			continue
		}
		answer.Done(true)
		time.Sleep(2 * leastRest)
	}
	if lost != staleBreaks {
		t.Errorf("%d of 10 calls are lost", lost)
	}
}
