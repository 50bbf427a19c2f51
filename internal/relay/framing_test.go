package relay

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

	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// replicaFraming is how a fake replica delimits the body of its answer.
type replicaFraming string

const (
	lengthFramed     replicaFraming = "length"
	chunkFramed      replicaFraming = "chunks"
	connectionFramed replicaFraming = "connection"
)

// replicaEnd is how a fake replica's answer ends.
type replicaEnd string

const (
	endsWhole      replicaEnd = "whole"
	endsCut        replicaEnd = "closed early" // by a process that lives on
	endsDead       replicaEnd = "process died" // the connection and the listener are closed
	endsReset      replicaEnd = "reset"        // the connection is reset
	endsSilent     replicaEnd = "silent"       // nothing comes until the deadline
	replicaTimeout            = 300 * time.Millisecond
	brokenShare               = 2 // a broken answer has this part of its events
	streamEvents              = 8
)

// answerKind is the kind of an answer.
type answerKind string

const (
	bufferedAnswer answerKind = "buffered"
	longAnswer     answerKind = "long"
	streamAnswer   answerKind = "stream"
)

// scriptedAnswer is the answer of a fake replica.
type scriptedAnswer struct {
	framing replicaFraming
	end     replicaEnd
	kind    answerKind
}

// body returns the whole body.
func (s scriptedAnswer) body() string {
	switch s.kind {
	case bufferedAnswer:
		return strings.Repeat("b", 4<<10)
	case longAnswer:
		return strings.Repeat("l", 2*maxBufferedBody)
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// sent returns what the replica sends of the body: a broken stream ends between two events.
func (s scriptedAnswer) sent() string {
	whole := s.body()
	if s.end == endsWhole {
		return whole
	}
	if s.kind == streamAnswer {
		events := strings.SplitAfter(whole, "\n\n")
		return strings.Join(events[:streamEvents/brokenShare], "")
	}
	return whole[:len(whole)/brokenShare]
}

// write sends the answer.
func (s scriptedAnswer) write(c net.Conn, id string, listener net.Listener) {
	contentType := "text/plain"
	if s.kind == streamAnswer {
		contentType = streamType
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: %s\r\n", id, contentType)
	body := s.sent()
	switch s.framing {
	case lengthFramed:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(s.body()))
	case chunkFramed:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		if s.end == endsWhole {
			body += "0\r\n\r\n"
		}
	case connectionFramed:
		head += "Connection: close\r\n\r\n"
	}
	_, _ = io.WriteString(c, head+body) // fails if the relay has left
	switch s.end {
	case endsDead:
		listener.Close()
	case endsReset:
		resetConn(c)
	case endsSilent:
		_, _ = c.Read(make([]byte, 1)) // returns when the relay leaves
	}
}

// addScripted adds a replica that gives one answer.
func (f *fixture) addScripted(s scriptedAnswer) {
	var l net.Listener
	ready := make(chan struct{})
	l = f.addReplica(func(c net.Conn, id string) { <-ready; s.write(c, id, l) })
	close(ready)
}

// statesEnd reports whether the framing of a response that was read without an error states that it is complete.
func statesEnd(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// check checks what the caller got of the answer of the only replica.
func (s scriptedAnswer) check(t *testing.T, answer *http.Response, body string, err error) {
	t.Helper()
	if s.end == endsWhole {
		if err != nil || answer.StatusCode != http.StatusOK || body != s.body() {
			t.Fatalf("a sound answer did not arrive whole: %d of %d bytes, %v", len(body), len(s.body()), err)
		}
		if known := s.framing != connectionFramed; statesEnd(answer) != known {
			t.Errorf("the end is stated: %t, known: %t", statesEnd(answer), known)
		}
		return
	}
	if err != nil || answer.StatusCode >= http.StatusInternalServerError {
		return
	}
	if s.framing == connectionFramed && s.end == endsCut && !statesEnd(answer) {
		return // neither the daemon nor its caller can know
	}
	t.Errorf("an answer that was broken off reached its caller as complete: %d of %d bytes", len(body), len(s.body()))
}

func eachScriptedAnswer(t *testing.T, test func(t *testing.T, s scriptedAnswer)) {
	for _, framing := range []replicaFraming{lengthFramed, chunkFramed, connectionFramed} {
		for _, end := range []replicaEnd{endsWhole, endsCut, endsDead, endsReset, endsSilent} {
			for _, kind := range []answerKind{bufferedAnswer, longAnswer, streamAnswer} {
				t.Run(fmt.Sprintf("%s/%s/%s", framing, end, kind), func(t *testing.T) {
					t.Parallel()
					test(t, scriptedAnswer{framing: framing, end: end, kind: kind})
				})
			}
		}
	}
}

// scriptedRoute returns a route whose timeout is short only where it is waited for.
func (s scriptedAnswer) scriptedRoute() *routing.Route {
	r := route(routing.KindOnce)
	if r.Timeout = 10 * time.Second; s.end == endsSilent {
		r.Timeout = replicaTimeout
	}
	return r
}

// TestBrokenAnswerIsNotStatedComplete guards against a framing that states that an answer is complete although it broke off, or that nobody knows.
func TestBrokenAnswerIsNotStatedComplete(t *testing.T) {
	eachScriptedAnswer(t, func(t *testing.T, s scriptedAnswer) {
		f := newFixture(t, s.scriptedRoute())
		f.addScripted(s)
		answer, body, err := f.call(http.MethodPost, "/x", nil)
		s.check(t, answer, body, err)
	})
}

// TestBrokenForwardedAnswerIsNotStatedComplete guards against the same with another daemon between.
func TestBrokenForwardedAnswerIsNotStatedComplete(t *testing.T) {
	eachScriptedAnswer(t, func(t *testing.T, s scriptedAnswer) {
		cut, peer, _ := newPair(t, s.scriptedRoute())
		peer.addScripted(s)
		answer, body, err := cut.call(http.MethodPost, "/x", nil)
		s.check(t, answer, body, err)
	})
}

// breakStream begins a stream and resets it after an event.
func breakStream(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, streamType)
	event := "id: 1\ndata: 1\n\n"
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	resetConn(c)
}

// TestAnswerThatIsNoStreamDoesNotEndStream guards against a broken stream that ends as complete with the error of the replica at which it would go on.
func TestAnswerThatIsNoStreamDoesNotEndStream(t *testing.T) {
	for name, head := range map[string]string{
		"error":                      "500 Oops\r\nContent-Length: 0",
		"error with a body":          "500 Oops\r\nContent-Length: 4",
		"rejected":                   "404 Not Found\r\nContent-Length: 4",
		"not a stream":               "200 OK\r\nContent-Length: 4",
		"error as a stream":          "400 Bad\r\nContent-Type: text/event-stream\r\nContent-Length: 0",
		"no content":                 "204 No Content",
		"error, ends the connection": "500 Oops\r\nConnection: close",
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/forwarded %t", name, forwarded), func(t *testing.T) {
				r := resumableRoute()
				r.MaxAttempts = 2
				f := newFixture(t, r)
				entry := f
				if forwarded {
					entry, f, _ = newPair(t, r)
				}
				f.addReplica(breakStream)
				f.addReplica(func(c net.Conn, id string) {
					fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nSigned: y\r\n\r\n", head, id)
					if strings.Contains(head, "Length: 4") {
						_, _ = io.WriteString(c, "oops") // fails if the relay has left
					}
				})
				answer, body, err := entry.call(http.MethodPost, "/x", nil)
				if err == nil {
					t.Errorf("status %d, a stream that was broken off arrived as complete: %q", answer.StatusCode, body)
				}
				if strings.Contains(body, "oops") {
					t.Errorf("another answer's bytes are in the stream: %q", body)
				}
			})
		}
	}
}

// holdStream sends an event of a stream without a length, and holds the rest back until the relay leaves.
func holdStream(c net.Conn, id string) {
	writeStreamHead(c, id)
	writeEvent(c, 1)
	_, _ = c.Read(make([]byte, 1)) // returns when the relay leaves
}

// openResponse sends a request on a connection of its own, reads the first event, and returns the response and the rest of its body.
func (f *fixture) openResponse(protocol string) (*http.Response, *bufio.Reader) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	fmt.Fprintf(c, "POST /x %s\r\nHost: %s\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", protocol, testHost)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		f.t.Fatal(err)
	}
	events := newEventReader(response.Body)
	if event, err := events.next(); err != nil {
		f.t.Fatalf("%q, %v", event, err)
	}
	return response, events.r
}

// TestDeadDaemonResetsResponseWithoutLength guards against a daemon that dies while it passes on a response without a length: an orderly end of
// the caller's connection would look like the end of the response.
func TestDeadDaemonResetsResponseWithoutLength(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprint("forwarded=", forwarded), func(t *testing.T) {
			f := newFixture(t, route(routing.KindStream))
			entry, dies := f, f.front
			if forwarded {
				var peers *fixedPeers
				entry, f, peers = newPair(t, route(routing.KindStream))
				dies = serveRelay(t, http.HandlerFunc(f.server.ServeForwarded))
				peers.ids, peers.pools = nil, nil
				peers.add(t, dies.Listener.Addr().String())
			}
			f.addReplica(holdStream)
			response, body := entry.openResponse("HTTP/1.1")
			if statesEnd(response) {
				t.Error("the framing will state that the response is complete")
			}
			dies.CloseClientConnections() // as the kernel closes them
			if rest, err := io.ReadAll(body); err == nil {
				t.Errorf("the response ended in order, with %q", rest)
			}
		})
	}
}

// TestOldCallerSeesThatResponseBroke guards against a broken response that looks complete to a caller of HTTP/1.0, which gets no chunks.
func TestOldCallerSeesThatResponseBroke(t *testing.T) {
	f := newFixture(t, route(routing.KindStream))
	f.addReplica(breakStream)
	response, body := f.openResponse("HTTP/1.0")
	if rest, err := io.ReadAll(body); err == nil {
		t.Errorf("the response ended in order, with %q; states its end: %t", rest, statesEnd(response))
	}
}

// TestOldCallerGetsWholeResponse guards against a connection that is reset after a whole response.
func TestOldCallerGetsWholeResponse(t *testing.T) {
	s := scriptedAnswer{framing: chunkFramed, end: endsWhole, kind: streamAnswer}
	f := newFixture(t, s.scriptedRoute())
	f.addScripted(s)
	_, body := f.openResponse("HTTP/1.0")
	rest, err := io.ReadAll(body)
	if err != nil || !strings.HasSuffix(s.body(), string(rest)) || len(rest) == 0 {
		t.Errorf("got %q, %v", rest, err)
	}
}

// TestResumedStreamEndsAsItsReplicasTell guards against a final chunk after a replica that died before its end was known, in a response that
// another replica began with chunks.
func TestResumedStreamEndsAsItsReplicasTell(t *testing.T) {
	for _, tc := range []struct {
		end      replicaEnd
		pathLost bool
		complete bool
	}{
		{end: endsWhole, complete: true}, {end: endsDead}, {end: endsReset}, {end: endsDead, pathLost: true},
	} {
		t.Run(fmt.Sprintf("%s/path lost %t", tc.end, tc.pathLost), func(t *testing.T) {
			r := resumableRoute()
			r.MaxAttempts = 2
			f := newFixture(t, r)
			f.server.o.PathIsSound = func(context.Context, *replicas.Replica) bool { return !tc.pathLost }
			f.addReplica(breakStream)
			f.addScripted(scriptedAnswer{framing: connectionFramed, end: tc.end, kind: streamAnswer})
			_, body, err := f.call(http.MethodPost, "/x", nil)
			if complete := err == nil; complete != tc.complete {
				t.Errorf("complete: %t, want %t: %q, %v", complete, tc.complete, body, err)
			}
		})
	}
}

// TestUnknownEndIsPassedOnAsUnknown guards against a whole answer without a length that is withheld because this daemon lost the path to the
// replicas just after its end.
func TestUnknownEndIsPassedOnAsUnknown(t *testing.T) {
	s := scriptedAnswer{framing: connectionFramed, end: endsDead, kind: bufferedAnswer}
	f := newFixture(t, s.scriptedRoute())
	f.server.o.PathIsSound = func(context.Context, *replicas.Replica) bool { return false }
	f.addScripted(s)
	answer, body, err := f.call(http.MethodPost, "/x", nil)
	if err != nil || body != s.sent() || statesEnd(answer) {
		t.Errorf("got %d bytes, %v", len(body), err)
	}
}

// TestVerdictOutlivesDeadline guards against a part of an answer that passes for the whole one because its deadline passes while its replica,
// which died, is checked.
func TestVerdictOutlivesDeadline(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addUnreachableReplica()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := f.server.awaitVerdict(ctx, f.placer.replicas[0]); got != died {
		t.Errorf("the verdict is %s, want %s", got, died)
	}
}

// TestHeadKeepsLengthOfReplica guards against a response to HEAD whose length is that of the body that it does not have.
func TestHeadKeepsLengthOfReplica(t *testing.T) {
	for head, want := range map[string]int64{"Content-Length: 77\r\n": 77, "": -1} {
		f := newFixture(t, route(routing.KindIdempotent))
		f.addReplica(func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n%s\r\n", id, head)
		})
		answer, _, err := f.call(http.MethodHead, "/x", nil)
		if err != nil || answer.ContentLength != want {
			t.Errorf("%q: got %v, %v, want a length of %d", head, answer, err, want)
		}
	}
}

// TestProbeForAnotherRequestDoesNotVouch guards against a part of an answer that passes for a whole one because another request's probe succeeded
// before the dying replica had closed its listener.
func TestProbeForAnotherRequestDoesNotVouch(t *testing.T) {
	for _, other := range []bool{false, true} {
		t.Run(fmt.Sprint("other request=", other), func(t *testing.T) {
			f := newFixture(t, route(routing.KindIdempotent))
			var l net.Listener
			var connections atomic.Int32
			var at time.Time // of the other request's answer
			answered := make(chan struct{})
			l = f.addReplica(func(c net.Conn, id string) {
				k := connections.Add(1)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nConnection: close\r\n\r\n", id)
				if other && k == 1 {
					at = time.Now()
					close(answered)
					_, _ = io.WriteString(c, "whole")
					return
				}
				end := time.Now().Add(20 * time.Millisecond)
				if other {
					end = at.Add(20 * time.Millisecond)
				}
				_, _ = io.WriteString(c, "ha") // of "half"
				time.Sleep(time.Until(end))
				c.Close()
				time.Sleep(time.Until(end.Add(18 * time.Millisecond)))
				l.Close()
			})
			if other {
				go func() { _, _, _ = f.call(http.MethodPost, "/x", nil) }()
				<-answered
			}
			a, body, err := f.call(http.MethodPost, "/x", nil)
			if err == nil && a.StatusCode == 200 {
				t.Errorf("replica died 18 ms after the end; the caller got status 200, %q in order", body)
			}
		})
	}
}

// TestReplicaWithoutEntryLives guards against sound answers that count as broken off, and accuse their requests, because the registry entry of
// a replica that accepts connections is gone.
func TestReplicaWithoutEntryLives(t *testing.T) {
	for _, kind := range []answerKind{bufferedAnswer, longAnswer, streamAnswer} {
		f := newFixture(t, route(routing.KindOnce))
		f.server.o.Replaced = func(*replicas.Replica) bool { return true }
		s := scriptedAnswer{framing: connectionFramed, end: endsWhole, kind: kind}
		f.addScripted(s)
		answer, body, err := f.call(http.MethodPost, "/x", nil)
		s.check(t, answer, body, err)
	}
}

// TestCheckDuringWhichProcessIsStalledIsRepeated guards against the end of a response of a replica that died that counts as unknown because a
// freeze used up the time of the check, and against an end that is held back for ever.
func TestCheckDuringWhichProcessIsStalledIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name     string
		lasts    []time.Duration // of each check
		last     verdict         // of the last check, the others are unreached
		want     verdict
		atChecks int
	}{
		{"in time", []time.Duration{framing.MaxEndCheck}, unreached, unreached, 1},
		{"frozen once", []time.Duration{1500 * time.Millisecond, time.Millisecond}, died, died, 2},
		{"frozen, but with a verdict", []time.Duration{1500 * time.Millisecond}, lives, lives, 1},
		{"frozen again and again", []time.Duration{time.Second, time.Second, time.Second, time.Second}, unreached, unreached, maxEndChecks},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, checks := time.Now(), 0
			got := repeatIfStalled(func() time.Time { return now }, func() verdict {
				now = now.Add(c.lasts[checks])
				checks++
				if checks == len(c.lasts) {
					return c.last
				}
				return unreached
			})
			if got != c.want || checks != c.atChecks {
				t.Errorf("the verdict is %v after %d checks, want %v after %d", got, checks, c.want, c.atChecks)
			}
		})
	}
}
