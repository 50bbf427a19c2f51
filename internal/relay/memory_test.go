package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

const testStall = 200 * time.Millisecond

// newMemoryFixture returns a fixture with a budget, a stall timeout of testStall, and bodies of up to 1 MiB.
func newMemoryFixture(t *testing.T, p memory.Params, routes ...*routing.Route) *fixture {
	t.Helper()
	return newStallFixture(t, testStall, p, routes...)
}

// newStallFixture is newMemoryFixture with another stall timeout.
func newStallFixture(t *testing.T, stall time.Duration, p memory.Params, routes ...*routing.Route) *fixture {
	t.Helper()
	f := newFixture(t, routes...)
	f.server = New(Options{
		Dialect: plainDialect{}, Plain: f.placer, Memory: p, StallTimeout: stall,
		State: f.server.o.State, RetryBudget: f.server.o.RetryBudget,
	})
	f.front = &httptest.Server{Listener: listenForCallers(t, stall), Config: &http.Server{Handler: f.server}}
	f.front.Start()
	t.Cleanup(f.front.Close)
	f.state = routing.NewSnapshot(1, routes, []*routing.Service{{ID: "s"}}, organisations(map[string]request.OrgID{"k": "org", "k2": "org2"}),
		routing.CallerLimits{MaxBodyBytes: 1 << 20})
	return f
}

// listenForCallers returns a listener with the options of the daemon's.
func listenForCallers(t *testing.T, stall time.Duration) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if err := upstream.SetUserTimeoutTo(raw, WriteStall(stall)); err != nil {
			return err
		}
		return upstream.SetBuffers(raw)
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (f *fixture) heldBytes() int64 {
	total := int64(0)
	for _, bytes := range f.server.Memory().Held {
		total += bytes
	}
	return total
}

// heldBy returns the bytes held for an organisation.
func (f *fixture) heldBy(org request.OrgID) int64 {
	f.server.memory.mu.Lock()
	defer f.server.memory.mu.Unlock()
	return f.server.memory.core.HeldByOrg(org)
}

// awaitNothingHeld waits until all bytes are given back.
func (f *fixture) awaitNothingHeld() {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); f.heldBytes() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("still held: %+v", f.server.Memory())
		}
	}
}

// dial opens a connection to the relay with small socket buffers.
func (f *fixture) dial() *net.TCPConn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	tcp := c.(*net.TCPConn)
	f.t.Cleanup(func() { tcp.Close() })
	if err := tcp.SetReadBuffer(4 << 10); err != nil {
		f.t.Fatal(err)
	}
	return tcp
}

// dialEthernet opens a connection with the segments of an Ethernet. With those of the loopback interface a peer sends next to
// nothing into a small receive buffer, which holds no whole segment.
func (f *fixture) dialEthernet(readBuffer int) net.Conn {
	f.t.Helper()
	const segmentBytes = 1460
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer))
		})
		return errors.Join(err, setErr)
	}}
	c, err := dialer.DialContext(f.t.Context(), "tcp", f.front.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

func requestHead(id, framing string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: %s\r\nId: %s\r\nKey: k\r\n%s\r\n\r\n", testHost, id, framing)
}

// A burst of large bodies filled the memory of a daemon. A body over the budget must be refused before it is read
// and reach no replica, and requests that are small go on.
func TestLargeBodyIsRefusedBeforeItIsRead(t *testing.T) {
	f := newMemoryFixture(t, memory.Params{Capacity: 1 << 20, Ceiling: 1 << 20}, route(routing.KindOnce))
	release := make(chan struct{})
	f.addReplica(func(c net.Conn, id string) {
		if strings.HasPrefix(id, "held") {
			<-release
		}
		writeOK(c, id, "fine")
	})
	var held sync.WaitGroup
	for n := range 2 {
		held.Go(func() {
			if _, body, err := f.send(http.MethodPost, "/x", http.Header{"Id": {fmt.Sprint("held", n)}}, strings.Repeat("x", 200<<10)); err != nil || body != "fine" {
				t.Errorf("accepted request: %q, %v", body, err)
			}
		})
	}
	for deadline := time.Now().Add(5 * time.Second); len(f.received()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the replica received nothing")
		}
	}
	c := f.dial()
	// Only the head is sent: a relay that waited for the body would not respond.
	fmt.Fprint(c, requestHead("big", fmt.Sprint("Content-Length: ", 600<<10)))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("large body: %v, %v, want 503 with Retry-After on a connection that closes", answer, err)
	}
	if _, body, err := f.send(http.MethodPost, "/x", http.Header{"Key": {"k2"}}, "small"); err != nil || body != "fine" {
		t.Errorf("small body: %q, %v", body, err)
	}
	close(release)
	held.Wait()
	f.awaitNothingHeld()
	for _, a := range f.received() {
		if a.id == "big" {
			t.Error("the refused request reached a replica")
		}
	}
	if f.server.Memory().Refused != 1 {
		t.Errorf("%+v", f.server.Memory())
	}
}

// A caller that writes its whole body before it reads must get the refusal, although the relay does not read the body: otherwise it
// does not know that the request did not run.
func TestCallerThatWritesAllFirstGetsTheRefusal(t *testing.T) {
	f := newMemoryFixture(t, memory.Params{Capacity: 64 << 10, Ceiling: 64 << 10}, route(routing.KindOnce))
	for _, size := range []int{100 << 10, 300 << 10, 1 << 20} {
		c, err := net.Dial("tcp", f.front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.(*net.TCPConn).SetWriteBuffer(16 << 10); err != nil { // the body fits neither socket
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, writeErr := fmt.Fprint(c, requestHead("big", fmt.Sprint("Content-Length: ", size))+strings.Repeat("b", size))
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%d bytes: %v, %v, after writing with %v", size, answer, err, writeErr)
		}
	}
	if len(f.received()) != 0 {
		t.Error("a refused request reached a replica")
	}
}

// A caller that sent its body slowly got its refusal only after half of the stall timeout, however urgent its route.
func TestRefusalOfASlowBodyComesWithinTheObjective(t *testing.T) {
	t.Parallel()
	const objective = 800 * time.Millisecond
	urgent := route(routing.KindOnce)
	urgent.Objective = objective
	f := newStallFixture(t, 10*time.Second, memory.Params{Capacity: 16 << 10, Ceiling: 16 << 10}, urgent)
	c := f.dial()
	began := time.Now()
	fmt.Fprint(c, requestHead("slow", fmt.Sprint("Content-Length: ", 100<<10))+"b")
	_ = c.SetReadDeadline(began.Add(20 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v, %v", answer, err)
	}
	if took := time.Since(began); took > objective {
		t.Errorf("refused after %s, the objective is %s", took, objective)
	}
}

// deadlineRecorder records the deadline of a caller's connection.
type deadlineRecorder struct {
	httptest.ResponseRecorder
	read time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.read = t
	return nil
}

// A body whose request's time had passed got a whole stall timeout more for each of its parts.
func TestBodyIsNotReadAfterTheDeadline(t *testing.T) {
	d := &deadlineRecorder{}
	until := time.Now().Add(-time.Second)
	p := &progressReader{r: strings.NewReader("x"), control: http.NewResponseController(d), stall: time.Minute, until: until}
	if _, err := p.Read(make([]byte, 1)); err != nil || !d.read.Equal(until) {
		t.Errorf("read until %s, want %s, %v", d.read, until, err)
	}
}

// A refused request leaves its connection usable if its body is short: the next request on it must not be read out of the
// middle of that body.
func TestRefusedBodyKeepsTheConnectionsFraming(t *testing.T) {
	f := newMemoryFixture(t, memory.Params{Capacity: 16 << 10, Ceiling: 16 << 10}, route(routing.KindOnce))
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	smuggled := requestHead("smuggled", "Content-Length: 0")
	for name, framing := range map[string]func(body string) string{
		"length": func(body string) string { return requestHead("big", fmt.Sprint("Content-Length: ", len(body))) + body },
		"chunked": func(body string) string {
			return requestHead("big", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := f.dial()
			go fmt.Fprint(c, framing(strings.Repeat(smuggled, 300))+requestHead("next", "Content-Length: 4")+"body")
			reader := bufio.NewReader(c)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
				answer, err := http.ReadResponse(reader, nil)
				if err != nil || answer.StatusCode != want {
					t.Fatalf("got %v, %v, want %d", answer, err, want)
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	for _, a := range f.received() {
		if a.id != "next" || a.body != "body" {
			t.Errorf("a replica received %q with body %q", a.id, a.body)
		}
	}
	f.awaitNothingHeld()
}

// Bodies whose length is missing, wrong or impossible: none may reach a replica changed, and none may leave memory taken.
func TestBodiesWithWrongLengths(t *testing.T) {
	f := newMemoryFixture(t, memory.Params{Capacity: 8 << 20, Ceiling: 16 << 20}, route(routing.KindOnce))
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	chunk := strings.Repeat("y", 100<<10)
	for _, test := range []struct {
		name, request string
		status        int
		reaches       string // body that a replica receives
	}{
		{"fewer bytes than declared", requestHead("1", "Content-Length: 100") + "short", http.StatusRequestTimeout, ""},
		{"more bytes than declared", requestHead("2", "Content-Length: 4") + "bodyEXCESS", http.StatusOK, "body"},
		{"negative", requestHead("3", "Content-Length: -1"), http.StatusBadRequest, ""},
		{"overflowing", requestHead("4", "Content-Length: 99999999999999999999"), http.StatusBadRequest, ""},
		{"largest", requestHead("5", "Content-Length: 9223372036854775807"), http.StatusRequestEntityTooLarge, ""},
		{"two lengths", requestHead("6", "Content-Length: 4\r\nContent-Length: 5") + "body", http.StatusBadRequest, ""},
		{"chunked", requestHead("7", "Transfer-Encoding: chunked") + "19000\r\n" + chunk + "\r\n0\r\n\r\n", http.StatusOK, chunk},
		{"chunk shorter than declared", requestHead("8", "Transfer-Encoding: chunked") + "10\r\nshort\r\n0\r\n\r\n", http.StatusRequestTimeout, ""},
		{"chunk length overflows", requestHead("9", "Transfer-Encoding: chunked") + "fffffffffffffffff\r\nx", http.StatusBadRequest, ""},
		{"chunked without end", requestHead("10", "Transfer-Encoding: chunked") + "4\r\nbody\r\n", http.StatusRequestTimeout, ""},
		{"chunked over the limit", requestHead("11", "Transfer-Encoding: chunked") + strings.Repeat("19000\r\n"+chunk+"\r\n", 11), http.StatusRequestEntityTooLarge, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := len(f.received())
			c := f.dial()
			go fmt.Fprint(c, test.request)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || answer.StatusCode != test.status {
				t.Fatalf("got %v, %v, want %d", answer, err, test.status)
			}
			got := f.received()[before:]
			switch {
			case test.reaches == "" && len(got) > 0:
				t.Errorf("a replica received %+v", got)
			case test.reaches != "" && (len(got) != 1 || got[0].body != test.reaches):
				t.Errorf("a replica received %d requests", len(got))
			}
			f.awaitNothingHeld()
		})
	}
}

// A caller that sends its body in drops kept the memory for it as long as it liked.
func TestCallerThatSendsSlowlyIsRefused(t *testing.T) {
	f := newMemoryFixture(t, memory.Params{Capacity: 8 << 20, Ceiling: 16 << 20}, route(routing.KindOnce))
	c := f.dial()
	fmt.Fprint(c, requestHead("slow", "Content-Length: 500000"))
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if _, err := c.Write([]byte("z")); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != http.StatusRequestTimeout || !answer.Close {
		t.Errorf("got %v, %v, want 408 on a connection that closes", answer, err)
	}
	if took := time.Since(began); took > 5*testStall {
		t.Errorf("refused after %s, the stall timeout is %s", took, testStall)
	}
	f.awaitNothingHeld()
	if f.server.Memory().SlowCallers != 1 || len(f.received()) != 0 {
		t.Errorf("%+v, %d arrivals", f.server.Memory(), len(f.received()))
	}
}

// A body that arrives slowly but makes progress takes longer than the stall timeout and must be accepted.
func TestBodyThatMakesProgressIsRead(t *testing.T) {
	t.Parallel()
	const stall = time.Second // far above the pauses of a loaded machine
	f := newStallFixture(t, stall, memory.Params{Capacity: 8 << 20, Ceiling: 16 << 20}, route(routing.KindOnce))
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	c := f.dial()
	const parts = 8
	fmt.Fprint(c, requestHead("steady", fmt.Sprint("Content-Length: ", parts*2*progressBytes)))
	go func() {
		for range parts {
			time.Sleep(stall / 4)
			fmt.Fprint(c, strings.Repeat("z", 2*progressBytes))
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if answer, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v", answer, err)
	}
}

// addStreamingReplica adds a replica that sends events of 8 KiB until its connection ends, and returns a
// channel that is closed then.
func (f *fixture) addStreamingReplica() <-chan struct{} {
	closed := make(chan struct{})
	var once sync.Once
	f.addReplica(func(c net.Conn, id string) {
		if !strings.HasPrefix(id, "slow") {
			writeOK(c, id, "fine")
			return
		}
		defer once.Do(func() { close(closed) })
		writeStreamHead(c, id)
		data := strings.Repeat("d", 8<<10)
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
		}
	})
	return closed
}

// A caller that stops reading must not make the replica work for nobody, nor make the daemon hold what it does not
// read, and others must be served meanwhile.
func TestCallerThatDoesNotReadIsClosed(t *testing.T) {
	f := newMemoryFixture(t, memory.Params{Capacity: 8 << 20, Ceiling: 16 << 20}, route(routing.KindStream))
	closed := f.addStreamingReplica()
	c := f.dial()
	fmt.Fprint(c, requestHead("slow", "Content-Length: 4")+"body")
	began := time.Now()
	for served := 0; ; served++ {
		select {
		case <-closed:
			if took := time.Since(began); took < testStall/2 {
				t.Errorf("closed after %s, the stall timeout is %s", took, testStall)
			}
			if served == 0 {
				t.Error("no other caller was served meanwhile")
			}
			f.awaitNothingHeld()
			if f.server.Memory().SlowCallers != 1 {
				t.Errorf("%+v", f.server.Memory())
			}
			return
		case <-time.After(testStall / 10):
		}
		if held := f.heldBy("org"); held > 64<<10 {
			t.Fatalf("%d bytes are held for one slow caller", held)
		}
		if _, body, err := f.send(http.MethodPost, "/x", http.Header{"Id": {fmt.Sprint(served)}, "Key": {"k2"}}, "b"); err != nil || body != "fine" {
			t.Fatalf("another caller: %q, %v", body, err)
		}
		if time.Since(began) > 10*time.Second {
			t.Fatal("the replica's connection is still open")
		}
	}
}

// One organisation's streams filled the memory, because streams were never refused. Those without room must be refused before
// they run, with or without a body, and another organisation's stream must be served.
func TestStreamsOfOneOrganisationAreBounded(t *testing.T) {
	const streams = 40
	f := newMemoryFixture(t, memory.Params{Capacity: 20 * streamBytes, Ceiling: 40 * streamBytes}, route(routing.KindStream))
	release := make(chan struct{})
	f.addReplica(func(c net.Conn, id string) {
		writeStreamHead(c, id)
		fmt.Fprint(c, "id: 1\ndata: x\n\n")
		if strings.HasPrefix(id, "loud") {
			<-release
		}
	})
	refused := 0
	for n := range streams {
		c := f.dial()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, requestHead(fmt.Sprint("loud", n), fmt.Sprint("Content-Length: ", n%2))+strings.Repeat("b", n%2))
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != "" {
			refused++
		}
	}
	if arrived := len(f.received()); refused == 0 || arrived+refused != streams {
		t.Errorf("%d refused, %d reached a replica", refused, arrived)
	}
	if answer, _, err := f.send(http.MethodPost, "/x", http.Header{"Key": {"k2"}}, "b"); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("another organisation: %v, %v", answer, err)
	}
	close(release)
	f.awaitNothingHeld()
}

// A caller that reads slowly but at the promised rate must get its whole answer. The kernel lets a blocked write go on only
// when a third of the socket's buffer is free, which takes such a caller many stall timeouts.
func TestSlowCallerThatMakesProgressGetsItsAnswer(t *testing.T) {
	t.Parallel()
	const (
		stall       = time.Second
		readBytes   = progressBytes // read after each pause
		pause       = stall / 2
		slowBytes   = 3 * writeLumpBytes / 2       // after which the test reads on without pauses
		answerBytes = 3*writeLumpBytes + slowBytes // more than both sockets hold, after what is read slowly
	)
	f := newStallFixture(t, stall, memory.Params{Capacity: 8 << 20, Ceiling: 16 << 20}, &routing.Route{Name: "r", Kind: routing.KindOnce, Timeout: time.Minute})
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, strings.Repeat("a", answerBytes)) })
	c := f.dialEthernet(64 << 10)
	fmt.Fprint(c, requestHead("steady", "Content-Length: 4")+"body")
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for buf := make([]byte, readBytes); total < slowBytes; time.Sleep(pause) {
		n, err := io.ReadFull(response.Body, buf)
		if total += n; err != nil {
			t.Fatalf("after %d bytes: %v", total, err)
		}
	}
	rest, err := io.Copy(io.Discard, response.Body)
	if total += int(rest); err != nil || total != answerBytes {
		t.Errorf("got %d of %d bytes, %v", total, answerBytes, err)
	}
}

// The end of an answer that is not buffered came long after its last bytes. It was written under a deadline that had passed, so
// the caller saw a complete answer as cut.
func TestLateEndOfAnAnswerIsDelivered(t *testing.T) {
	t.Parallel()
	const stall = 50 * time.Millisecond
	f := newStallFixture(t, stall, memory.Params{Capacity: 16 << 10, Ceiling: 16 << 10}, route(routing.KindOnce))
	long := strings.Repeat("a", 20<<10)
	f.addReplica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n5\r\nabcde\r\n", id, len(long), long)
		time.Sleep(2 * WriteStall(stall))
		fmt.Fprint(c, "0\r\n\r\n")
	})
	answer, body, err := f.post("b")
	if err != nil || answer.StatusCode != http.StatusOK || body != long+"abcde" {
		t.Errorf("got %v with %d bytes, %v", answer, len(body), err)
	}
}

// Without memory to buffer it, a ready answer must be passed on and not be dropped.
func TestAnswerIsDeliveredWithoutMemoryToBufferIt(t *testing.T) {
	long := strings.Repeat("a", 100<<10)
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", len(long)), "until the connection closes": "Connection: close"} {
		t.Run(name, func(t *testing.T) {
			f := newMemoryFixture(t, memory.Params{Capacity: 8 << 10, Ceiling: 16 << 10}, route(routing.KindOnce))
			f.addReplica(func(c net.Conn, id string) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n%s\r\n\r\n%s", id, head, long)
			})
			if _, body, err := f.post("b"); err != nil || body != long {
				t.Errorf("got %d bytes, %v", len(body), err)
			}
			f.awaitNothingHeld()
			if f.server.Memory().Unbuffered != 1 {
				t.Errorf("%+v", f.server.Memory())
			}
		})
	}
}

// A replica's failure with a long body reached the caller with an empty one.
func TestLongFailureIsPassedThrough(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	long := strings.Repeat("e", maxBufferedBody+1)
	f.addReplica(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 500 Oops\r\nId: %s\r\nSigned: y\r\nContent-Length: %d\r\n\r\n%s", id, len(long), long)
	})
	answer, body, err := f.call(http.MethodPost, "/x", nil)
	if err != nil || answer.StatusCode != http.StatusInternalServerError || body != long {
		t.Errorf("got %v with %d bytes, %v", answer, len(body), err)
	}
}
