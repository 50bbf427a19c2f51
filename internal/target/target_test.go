package target_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/service"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	testTimeout = 30 * time.Second
	// unboundedTokens is more tokens than any test reads.
	unboundedTokens = 1_000_000
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newClient(t *testing.T, address string, silentAfter time.Duration) *target.Client {
	t.Helper()
	c := target.New(target.Options{ID: "t1", Address: address, StreamIdleTimeout: silentAfter})
	t.Cleanup(c.Close)
	return c
}

func startEngine(t *testing.T, o engine.Options) (*engine.Engine, string) {
	t.Helper()
	o.Model, o.Version, o.TimeScale = "verdict", "v1", 0.01
	e, server, err := engine.Start("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		server.Close()
		e.Close()
	})
	return e, server.Address()
}

func completion(id string, tokens int) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{
		RequestID: request.ID(id),
		Model:     "verdict",
		Version:   "v1",
		Prompt:    "prompt " + id,
		MaxTokens: tokens,
	}
}

// dropper is a server that responds to the first request on each connection. It reads
// ("executes") the second one, but closes the connection without a response.
type dropper struct {
	listener net.Listener
	executed atomic.Int64
}

func startDropper(t *testing.T) *dropper {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &dropper{listener: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return d
}

func (d *dropper) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		d.executed.Add(1)
		if i == 1 {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a label that is printed twice for one call. The service executes a call,
// and its connection fails before the response. Since the connection is reused, net/http
// assumes that the request was lost with an idle connection and, because of the
// Idempotency-Key header, sends it again.
func TestNoImplicitRetry(t *testing.T) {
	ctx := testContext(t)
	const calls = 2
	header := http.Header{service.HeaderKey: {"key"}}

	naive := startDropper(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range calls {
		url := "http://" + naive.listener.Addr().String() + "/v1/services/label"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("lot")))
		if err != nil {
			t.Fatal(err)
		}
		req.Header = header
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if got := naive.executed.Load(); got != calls+1 {
		t.Fatalf("the naive client no longer reproduces the fault: %d executions of %d calls", got, calls)
	}

	for _, body := range []string{"lot", ""} {
		for _, repeatable := range []bool{true, false} {
			d := startDropper(t)
			client := newClient(t, d.listener.Addr().String(), testTimeout)
			call := target.ServiceCall{
				Method:     http.MethodPost,
				Path:       "/v1/services/label",
				Header:     header,
				Body:       []byte(body),
				Repeatable: repeatable,
			}
			for i := range calls {
				_, err := client.CallService(ctx, call)
				dropped := repeatable && i == 1
				if dropped != (err != nil) || target.NotStarted(err) {
					t.Fatalf("body %q, repeatable %v, call %d: %v", body, repeatable, i, err)
				}
			}
			if got := d.executed.Load(); got != calls {
				t.Fatalf("body %q, repeatable %v: %d executions of %d calls", body, repeatable, got, calls)
			}
		}
	}
}

// Guards against a response that says "not run" although the service ran the call, so that
// the caller sends the call again under a new key. Only failures before a connection is
// made and the target's own statement may count as not started.
func TestNotStarted(t *testing.T) {
	ctx := testContext(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	switches := fault.New(fault.Options{})
	plain := service.New(service.Options{Switches: switches})
	server, err := fault.Serve("127.0.0.1:0", switches, plain)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	_, engineAddress := startEngine(t, engine.Options{})
	call := target.ServiceCall{Method: http.MethodPost, Path: "/v1/services/label", Header: http.Header{service.HeaderKey: {"k"}}}

	_, refusedErr := newClient(t, closed.Addr().String(), testTimeout).CallService(ctx, call)
	lose := 1
	switches.Apply(fault.Command{DropResponses: &lose})
	_, lostErr := newClient(t, server.Address(), testTimeout).CallService(ctx, call)
	wrong := completion("wrong", 1)
	wrong.Version = "v0"
	_, versionErr := newClient(t, engineAddress, testTimeout).Complete(ctx, wrong)
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, canceledErr := newClient(t, server.Address(), testTimeout).CallService(ended, call)

	for _, c := range []struct {
		name       string
		err        error
		kind       error
		notStarted bool
	}{
		{"connection refused", refusedErr, target.ErrUnreachable, true},
		{"response lost", lostErr, target.ErrConnectionLost, false},
		{"wrong version", versionErr, target.ErrRefused, true},
		{"canceled before the call", canceledErr, target.ErrCanceled, true},
	} {
		if !errors.Is(c.err, c.kind) || target.NotStarted(c.err) != c.notStarted {
			t.Errorf("%s: %v, not started %v", c.name, c.err, target.NotStarted(c.err))
		}
	}
	if got := plain.Executions()["k"]; got != 1 {
		t.Errorf("%d executions, want the lost one only", got)
	}
}

// Guards against a caller that waits forever for the rest of its response. A network
// element between daemon and engine has dropped the state of the open connection: the
// connection stays open without delivering data, while new connections work.
func TestStalledStreamIsResumed(t *testing.T) {
	ctx := testContext(t)
	e, address := startEngine(t, engine.Options{})
	client := newClient(t, address, 200*time.Millisecond)
	req := completion("long", 1000)
	s, err := client.Complete(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for next := 0; ; {
		f, err := s.Next(ctx)
		if errors.Is(err, target.ErrTimeout) {
			s.Close()
			if err := client.ResetIfReachable(ctx); err != nil {
				t.Fatal(err)
			}
			if s, err = client.Resume(ctx, req.RequestID, next); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if err != nil || f.Seq != next {
			t.Fatalf("frame %+v, want %d: %v", f, next, err)
		}
		if f.Done {
			break
		}
		text.WriteString(f.Text)
		next++
		if next == 20 {
			e.Switches().Apply(fault.Command{Blackhole: true})
		}
	}
	s.Close()
	if want := engine.ExpectedText(req.Prompt, req.MaxTokens); text.String() != want {
		t.Fatalf("text %q, want %q", text.String(), want)
	}
	if got := e.Switches().Status().Blackholed; got == 0 {
		t.Fatal("no connection was silenced")
	}
}

// Guards against two callers that receive each other's text. When an engine swaps two
// streams, each frame still carries the id of its request, so the reader can detect it.
func TestSwappedFramesAreDetectable(t *testing.T) {
	ctx := testContext(t)
	e, address := startEngine(t, engine.Options{})
	client := newClient(t, address, testTimeout)
	swap := 1
	e.Switches().Apply(fault.Command{SwapFrames: &swap})
	var streams []*target.Stream
	for _, id := range []string{"a", "b"} {
		s, err := client.Complete(ctx, completion(id, unboundedTokens))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		streams = append(streams, s)
	}
	for _, s := range streams {
		for {
			f, err := s.Next(ctx)
			if err != nil {
				t.Fatalf("no foreign frame on stream %s: %v", s.ID(), err)
			}
			if f.RequestID != s.ID() {
				break
			}
		}
		if err := client.Cancel(ctx, s.ID()); err != nil {
			t.Fatal(err)
		}
	}
}

// brokenEnds are the ends of answers after which a stand-in lives on.
var brokenEnds = []fault.End{fault.EndCut, fault.EndCutInside, fault.EndReset, fault.EndSilent}

func eachBrokenAnswer(t *testing.T, test func(t *testing.T, f fault.Framing, end fault.End)) {
	for _, f := range []fault.Framing{fault.FramingLength, fault.FramingChunks, fault.FramingNone} {
		for _, end := range brokenEnds {
			t.Run(string(f)+"/"+string(end), func(t *testing.T) {
				t.Parallel()
				test(t, f, end)
			})
		}
	}
}

// TestBrokenStreamIsResumed guards against a stream whose connection ended early and that counts as whole, or loses a frame.
func TestBrokenStreamIsResumed(t *testing.T) {
	eachBrokenAnswer(t, func(t *testing.T, f fault.Framing, end fault.End) {
		ctx := testContext(t)
		e, address := startEngine(t, engine.Options{})
		client := newClient(t, address, 200*time.Millisecond)
		one := 1
		e.Switches().Apply(fault.Command{Framing: &f, BreakAnswers: &one, BreakEnd: &end})
		req := completion("broken", 20)
		s, err := client.Complete(ctx, req)
		if err != nil {
			t.Fatal(err)
		}
		text, next, err := readFrames(ctx, s, 0)
		if s.Close(); !errors.Is(err, target.ErrConnectionLost) && !errors.Is(err, target.ErrTimeout) {
			t.Fatalf("the broken stream ended with %v after frame %d", err, next)
		}
		if s, err = client.Resume(ctx, req.RequestID, next); err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		rest, _, err := readFrames(ctx, s, next)
		if want := engine.ExpectedText(req.Prompt, req.MaxTokens); err != nil || text+rest != want {
			t.Errorf("got %q and %q, %v, want %q", text, rest, err, want)
		}
	})
}

// readFrames reads frames, which begin at a sequence number, up to the last one or an error, and returns the next number.
func readFrames(ctx context.Context, s *target.Stream, next int) (string, int, error) {
	var text strings.Builder
	for {
		f, err := s.Next(ctx)
		if err != nil {
			return text.String(), next, err
		}
		if f.Seq != next {
			return text.String(), next, errors.Newf("got frame %d, want %d", f.Seq, next)
		}
		if f.Done {
			return text.String(), next, nil
		}
		text.WriteString(f.Text)
		next++
	}
}

// TestBrokenServiceAnswerIsNotWhole guards against an answer of a plain service that broke off and counts as whole.
func TestBrokenServiceAnswerIsNotWhole(t *testing.T) {
	eachBrokenAnswer(t, func(t *testing.T, f fault.Framing, end fault.End) {
		ctx := testContext(t)
		switches := fault.New(fault.Options{})
		server, err := fault.Serve("127.0.0.1:0", switches, service.New(service.Options{Switches: switches}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
		client := target.New(target.Options{ID: "s1", Address: server.Address(), ServiceTimeout: 200 * time.Millisecond})
		one := 1
		switches.Apply(fault.Command{Framing: &f, BreakAnswers: &one, BreakEnd: &end})
		call := target.ServiceCall{Method: http.MethodPost, Path: "/v1/services/label", Header: http.Header{service.HeaderKey: {"k"}}}
		answer, err := client.CallService(ctx, call)
		if err == nil && !answer.EndUnknown || target.NotStarted(err) {
			t.Errorf("the broken answer counts as whole: %+v, %v", answer, err)
		}
		answer, err = client.CallService(ctx, call)
		if err != nil || answer.EndUnknown != (f == fault.FramingNone) {
			t.Errorf("the next answer: %+v, %v", answer, err)
		}
	})
}
