package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

func scriptedRoute() *routing.Route {
	r := route(routing.KindOnce)
	r.Timeout = replicaTimeout
	return r
}

// TestBrokenAnswerIsNotStatedComplete guards against a framing that states that an answer is complete although it broke off, or that nobody knows.
func TestBrokenAnswerIsNotStatedComplete(t *testing.T) {
	eachScriptedAnswer(t, func(t *testing.T, s scriptedAnswer) {
		f := newFixture(t, scriptedRoute())
		f.addScripted(s)
		answer, body, err := f.call(http.MethodPost, "/x", nil)
		s.check(t, answer, body, err)
	})
}

// TestBrokenForwardedAnswerIsNotStatedComplete guards against the same with another daemon between.
func TestBrokenForwardedAnswerIsNotStatedComplete(t *testing.T) {
	eachScriptedAnswer(t, func(t *testing.T, s scriptedAnswer) {
		cut, peer, _ := newPair(t, scriptedRoute())
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
