package gateway

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// targetFraming is how a scripted target delimits the body of its answer.
type targetFraming string

const (
	lengthFramed     targetFraming = "length"
	chunkFramed      targetFraming = "chunks"
	connectionFramed targetFraming = "connection"
)

// targetEnd is how a scripted target's answer ends.
type targetEnd string

const (
	endsWhole  targetEnd = "whole"
	endsCut    targetEnd = "closed early" // by a process that lives on
	endsDead   targetEnd = "process died" // the connection and the listener are closed
	endsReset  targetEnd = "reset"
	endsSilent targetEnd = "silent" // nothing comes until the deadline
)

const (
	shortBody      = 1 << 10
	longBody       = 256 << 10
	slowBody       = 7 << 20 // more than the buffers of a connection hold
	scriptTimeout  = 10 * time.Second
	scriptedFrames = 4
)

// scriptedTarget answers each call or completion with the same answer, and everything else with 404.
type scriptedTarget struct {
	framing  targetFraming
	end      targetEnd
	size     int    // bytes of the body of a call
	text     string // of the second frame of a completion; empty for the usual one
	listener net.Listener
}

func startScripted(t *testing.T, framing targetFraming, end targetEnd, size int) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{framing: framing, end: end, size: size, listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// body returns the whole body of the answer to a call.
func (s *scriptedTarget) body() string { return strings.Repeat("b", s.size) }

func (s *scriptedTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Method != http.MethodPost {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		whole, sent := s.body(), s.body()[:s.size/2]
		if req.URL.Path == engineapi.PathCompletions {
			frames := completionFrames(req, s.text)
			whole, sent = strings.Join(frames, ""), strings.Join(frames[:scriptedFrames/2], "")
		} else {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		s.answer(c, whole, sent)
		return
	}
}

// completionFrames returns the events of the stream that answers a completion.
func completionFrames(r *http.Request, second string) []string {
	var c engineapi.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&c)
	var events []string
	for i, text := range []string{"one ", cmp.Or(second, "two "), "three ", ""} {
		f := engineapi.Frame{RequestID: c.RequestID, Seq: i, Text: text, Version: c.Version}
		if text == "" {
			f.Done, f.Usage = true, &engineapi.Usage{OutputTokens: scriptedFrames - 1}
		}
		data, _ := json.Marshal(f)
		events = append(events, fmt.Sprintf("data: %s\n\n", data))
	}
	return events
}

func (s *scriptedTarget) answer(c net.Conn, whole, sent string) {
	if s.end == endsWhole {
		sent = whole
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	switch s.framing {
	case lengthFramed:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(whole))
	case chunkFramed:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		sent = fmt.Sprintf("%x\r\n%s\r\n", len(sent), sent)
		if s.end == endsWhole {
			sent += "0\r\n\r\n"
		}
	case connectionFramed:
		head += "Connection: close\r\n\r\n"
	}
	_, _ = io.WriteString(c, head+sent) // fails if the daemon has left
	switch s.end {
	case endsDead:
		_ = s.listener.Close()
	case endsReset:
		_ = c.(*net.TCPConn).SetLinger(0)
	case endsSilent:
		_, _ = c.Read(make([]byte, 1)) // returns when the daemon leaves
	}
}

func eachEnd(t *testing.T, test func(t *testing.T, f targetFraming, e targetEnd)) {
	for _, f := range []targetFraming{lengthFramed, chunkFramed, connectionFramed} {
		for _, e := range []targetEnd{endsWhole, endsCut, endsDead, endsReset, endsSilent} {
			t.Run(fmt.Sprintf("%s/%s", f, e), func(t *testing.T) {
				t.Parallel()
				test(t, f, e)
			})
		}
	}
}

// serveHandler serves a handler of a gateway as a daemon does.
func serveHandler(t testing.TB, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = framing.ConnContext
	s.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// newScriptedDaemons returns the daemon that callers ask, before a target. If forwarded, another daemon is the home of all requests
// and sends them to the target.
func newScriptedDaemons(t *testing.T, target *scriptedTarget, forwarded bool) (entry *httptest.Server, serving *testEnv) {
	tables := newTables(t)
	serving = newTestEnv(tables)
	serving.target = target.listener.Addr().String()
	serving.others = serving.startOther(t)
	g := serving.gateway(t)
	if !forwarded {
		return serveHandler(t, g.Handler()), serving
	}
	home := serveHandler(t, g.HopHandler()).Listener.Addr().String()
	accepting := newTestEnv(tables)
	accepting.target = serving.target
	accepting.members.home = &peer.Member{Id: "home", PeerAddress: home}
	accepting.holder = journal.Holder{ID: "home", Address: home}
	return serveHandler(t, accepting.gateway(t).Handler()), serving
}

// postRaw sends a request over a connection of its own, and returns the response without its body read.
func postRaw(t *testing.T, address, protocol, path, body string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(scriptTimeout))
	fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, protocol, testKey, HeaderIdempotencyKey, len(body), body)
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// statesEnd reports whether the framing of a response that was read without an error states that it is complete.
func statesEnd(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// TestBrokenCallIsNotStatedComplete guards against an answer of a plain service that broke off, or of whose end nobody knows, and
// reaches its caller framed as complete.
func TestBrokenCallIsNotStatedComplete(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		for _, size := range []int{shortBody, longBody} {
			t.Run(fmt.Sprintf("forwarded=%t/%d bytes", forwarded, size), func(t *testing.T) {
				t.Parallel()
				eachEnd(t, func(t *testing.T, f targetFraming, e targetEnd) {
					target := startScripted(t, f, e, size)
					entry, serving := newScriptedDaemons(t, target, forwarded)
					answer := postRaw(t, entry.Listener.Addr().String(), "HTTP/1.1", "/v1/services/cards", "label")
					body, err := io.ReadAll(answer.Body)
					target.check(t, answer, string(body), err)
					want := "finish"
					if answer.StatusCode != http.StatusOK {
						want = "doubt"
					}
					serving.mu.Lock()
					defer serving.mu.Unlock()
					if serving.settled != want {
						t.Errorf("status %d: the journal has %q, want %q", answer.StatusCode, serving.settled, want)
					}
				})
			})
		}
	}
}

// check checks what the caller of a call got.
func (s *scriptedTarget) check(t *testing.T, answer *http.Response, body string, err error) {
	t.Helper()
	if s.end == endsWhole {
		if err != nil || answer.StatusCode != http.StatusOK || body != s.body() {
			t.Fatalf("a sound answer did not arrive whole: status %d, %d of %d bytes, %v", answer.StatusCode, len(body), s.size, err)
		}
		if known := s.framing != connectionFramed; statesEnd(answer) != known {
			t.Errorf("the end is stated: %t, known: %t", statesEnd(answer), known)
		}
		return
	}
	if err == nil && answer.StatusCode >= http.StatusInternalServerError {
		return
	}
	if s.framing == connectionFramed && s.end == endsCut && err == nil && !statesEnd(answer) {
		return // neither the daemon nor its caller can know
	}
	t.Errorf("an answer that was broken off reached its caller as complete: status %d, %d of %d bytes, %v", answer.StatusCode, len(body), s.size, err)
}

// TestBrokenCompletionIsNotStatedComplete guards against a completion whose engine's stream broke off and that looks complete to its caller.
func TestBrokenCompletionIsNotStatedComplete(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("forwarded=%t/streamed=%t", forwarded, streamed), func(t *testing.T) {
				t.Parallel()
				eachEnd(t, func(t *testing.T, f targetFraming, e targetEnd) {
					target := startScripted(t, f, e, shortBody)
					entry, _ := newScriptedDaemons(t, target, forwarded)
					prompt := strings.Replace(testPrompt, "{", fmt.Sprintf(`{"stream":%t,`, streamed), 1)
					answer := postRaw(t, entry.Listener.Addr().String(), "HTTP/1.1", pathCompletions, prompt)
					body, err := io.ReadAll(answer.Body)
					whole := err == nil && answer.StatusCode == http.StatusOK && strings.Contains(string(body), `"usage"`)
					if streamed {
						whole = whole && strings.HasSuffix(string(body), "data: [DONE]\n\n")
					}
					if whole != (e == endsWhole) {
						t.Errorf("looks whole: %t: status %d, %v, %s", whole, answer.StatusCode, err, body)
					}
				})
			})
		}
	}
}

// TestReplayedCallStatesNoMoreThanItsAnswer guards against a result that states its end when it is read from the journal, although the
// answer that was recorded did not.
func TestReplayedCallStatesNoMoreThanItsAnswer(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		env := newTestEnv(newTables(t))
		env.replay = &journal.Result{Status: http.StatusOK, Body: []byte("printed"), EndUnknown: unknown}
		s := serveHandler(t, env.gateway(t).Handler())
		answer := postRaw(t, s.Listener.Addr().String(), "HTTP/1.1", "/v1/services/cards", "label")
		body, err := io.ReadAll(answer.Body)
		if err != nil || string(body) != "printed" || statesEnd(answer) == unknown {
			t.Errorf("end unknown %t: got %q, %v, states its end: %t", unknown, body, err, statesEnd(answer))
		}
	}
}

// TestWholeAnswerOfLivingTargetSurvivesLostPath guards against a whole answer that is withheld because the path to the targets was
// lost just after it.
func TestWholeAnswerOfLivingTargetSurvivesLostPath(t *testing.T) {
	target := startScripted(t, connectionFramed, endsDead, shortBody)
	entry, serving := newScriptedDaemons(t, target, false)
	serving.others = "127.0.0.1:1"
	answer := postRaw(t, entry.Listener.Addr().String(), "HTTP/1.1", "/v1/services/cards", "label")
	if body, err := io.ReadAll(answer.Body); err != nil || answer.StatusCode != http.StatusOK || statesEnd(answer) {
		t.Errorf("got status %d, %d bytes, %v", answer.StatusCode, len(body), err)
	}
}

// TestDeadDaemonLeavesNoWholeAnswer guards against a daemon that dies while it writes an answer: the kernel ends the caller's
// connection in order, which looks like the end of an answer without a length and chunks.
func TestDeadDaemonLeavesNoWholeAnswer(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, f := range []targetFraming{lengthFramed, chunkFramed, connectionFramed} {
			t.Run(fmt.Sprintf("%s/%s", protocol, f), func(t *testing.T) {
				target := startScripted(t, f, endsWhole, slowBody)
				entry, serving := newScriptedDaemons(t, target, false)
				serving.serviceTimeout = scriptTimeout
				answer := postRaw(t, entry.Listener.Addr().String(), protocol, "/v1/services/cards", "label")
				entry.CloseClientConnections() // as the kernel closes them
				if body, err := io.ReadAll(answer.Body); err == nil {
					t.Errorf("the answer ended in order after %d of %d bytes", len(body), slowBody)
				}
			})
		}
	}
}

// TestWholeAnswerWithoutLengthEndsInOrder guards against a connection that is reset after the whole answer was sent.
func TestWholeAnswerWithoutLengthEndsInOrder(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		target := startScripted(t, connectionFramed, endsWhole, longBody)
		entry, _ := newScriptedDaemons(t, target, false)
		answer := postRaw(t, entry.Listener.Addr().String(), protocol, "/v1/services/cards", "label")
		if body, err := io.ReadAll(answer.Body); err != nil || len(body) != longBody {
			t.Errorf("%s: got %d of %d bytes, %v", protocol, len(body), longBody, err)
		}
	}
}

// TestWholeCompletionStatesItsLength guards against a completion in one piece that an old caller, who gets no chunks, takes for whole
// although the daemon died while it wrote it.
func TestWholeCompletionStatesItsLength(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		target := startScripted(t, chunkFramed, endsWhole, shortBody)
		target.text = strings.Repeat("long ", shortBody)
		entry, _ := newScriptedDaemons(t, target, false)
		answer := postRaw(t, entry.Listener.Addr().String(), protocol, pathCompletions, testPrompt)
		body, err := io.ReadAll(answer.Body)
		if err != nil || answer.ContentLength != int64(len(body)) || !strings.Contains(string(body), target.text) {
			t.Errorf("%s: %d bytes, stated %d, %v", protocol, len(body), answer.ContentLength, err)
		}
	}
}

// TestRepeatableCallGoesOnElsewhere guards against a repeatable call that ends in doubt although its service died at the end of the
// answer and another instance has it whole; and against one that must run once and is repeated.
func TestRepeatableCallGoesOnElsewhere(t *testing.T) {
	for service, want := range map[string]int{"lookup": http.StatusOK, "cards": http.StatusBadGateway} {
		died := startScripted(t, connectionFramed, endsDead, shortBody)
		lives := startScripted(t, connectionFramed, endsWhole, shortBody)
		entry, serving := newScriptedDaemons(t, died, false)
		serving.second, serving.others = "lookup-1", lives.listener.Addr().String()
		answer := postRaw(t, entry.Listener.Addr().String(), "HTTP/1.1", "/v1/services/"+service, "label")
		body, err := io.ReadAll(answer.Body)
		if err != nil || answer.StatusCode != want || want == http.StatusOK && string(body) != lives.body() {
			t.Errorf("%s: got status %d, %d bytes, %v, want status %d", service, answer.StatusCode, len(body), err, want)
		}
	}
}

// TestAbandonedAnswerIsReset guards against a daemon that gives up on a slow caller, who takes the end of its connection for that of the
// answer.
func TestAbandonedAnswerIsReset(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, f := range []targetFraming{chunkFramed, connectionFramed} {
			t.Run(fmt.Sprintf("%s/%s", protocol, f), func(t *testing.T) {
				t.Parallel()
				target := startScripted(t, f, endsWhole, slowBody)
				serving := newTestEnv(newTables(t))
				serving.target, serving.others = target.listener.Addr().String(), serving.startOther(t)
				serving.serviceTimeout = scriptTimeout
				g := serving.gateway(t)
				g.opts.WriteTimeout = 100 * time.Millisecond
				s := serveHandler(t, g.Handler())
				answer := postRaw(t, s.Listener.Addr().String(), protocol, "/v1/services/cards", "label")
				await(t, "the daemon to give up", func() bool { return g.InFlight() == 0 })
				if body, err := io.ReadAll(answer.Body); err == nil {
					t.Errorf("the answer ended in order after %d of %d bytes", len(body), slowBody)
				}
			})
		}
	}
}

// TestDeadlineDuringDeathCheckLeavesNoWholeAnswer guards against a part of an answer that passes for a whole one, and is kept in the journal,
// because the call's deadline passes before it is known that its service died.
func TestDeadlineDuringDeathCheckLeavesNoWholeAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha")
		time.Sleep(285 * time.Millisecond)
		_ = l.Close()
		_ = c.Close()
	}()
	target := &scriptedTarget{listener: l}
	entry, serving := newScriptedDaemons(t, target, false)
	serving.serviceTimeout = scriptTimeout
	c, err := net.Dial("tcp", entry.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /v1/services/cards HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: key-1\r\n%s: 300\r\nContent-Length: 5\r\n\r\nlabel", testKey, HeaderIdempotencyKey, HeaderDeadline)
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	time.Sleep(50 * time.Millisecond)
	serving.mu.Lock()
	defer serving.mu.Unlock()
	if answer.StatusCode == 200 || serving.settled != "doubt" {
		t.Errorf("status %d, %q, %v; the journal has %q", answer.StatusCode, body, err, serving.settled)
	}
}
