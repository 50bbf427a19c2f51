package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Do. Test for them with errors.Is.
var (
	// ErrNotSent says that no byte of the request reached the replica.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrUnreachable says that no connection could be opened, so that nothing was sent.
	ErrUnreachable = errors.New("upstream: unreachable")
	// ErrBroken says that the replica may have the request, and its answer is lost.
	ErrBroken = errors.New("upstream: connection broke")
	// ErrMismatched says that only answers to other requests came.
	ErrMismatched = errors.New("upstream: answer to another request")
)

const (
	maxForeignAnswers = 3         // extra answers read away before one connection is given up
	maxForeignBytes   = 256 << 10 // of one such answer
	inlineBodyBytes   = 8 << 10   // bodies up to this fit a socket's buffer and are written in line
	keepAliveMargin   = 500 * time.Millisecond
	defaultKeepFor    = 4 * time.Second // for a peer that does not say when it closes idle connections
)

// Request is one try.
type Request struct {
	Method string
	URI    string // as it was received, unchanged
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to this request.
	Matches func(http.Header) bool
}

// Response is an answer whose body is still to be read.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	Body          io.Reader

	pool     *Pool
	c        *conn
	raw      *http.Response
	written  *atomic.Bool // the whole request was written
	release  func() bool
	finished sync.Once
}

// Do sends a request once and returns the head of its answer. When ctx ends, the
// connection is closed, which tells the replica to stop; the caller must call Done.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	response, err := p.exchange(c, r)
	if ctx.Err() == nil {
		p.noteUse(c, err)
	}
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	response.release = stop
	return response, nil
}

// exchange writes the request and reads answers until one belongs to it. A long body is
// written beside the reading: a replica may refuse before it has read the body, and would
// then never read the rest.
func (p *Pool) exchange(c *conn, r *Request) (*Response, error) {
	written := &atomic.Bool{}
	head := r.encodeHead()
	if len(r.Body) <= inlineBodyBytes {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return nil, sendError(err, n)
		}
		written.Store(true)
	} else {
		n, err := c.Write(append(head, r.Body[:inlineBodyBytes]...))
		if err != nil {
			return nil, sendError(err, n)
		}
		go func() {
			if _, err := c.Write(r.Body[inlineBodyBytes:]); err == nil {
				written.Store(true)
			}
		}()
	}
	raw, err := readMine(c.br, r)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: raw.StatusCode, Header: raw.Header, ContentLength: raw.ContentLength, Body: raw.Body,
		pool: p, c: c, raw: raw, written: written,
	}, nil
}

func sendError(err error, n int) error {
	if n == 0 {
		return errors.Mark(errors.Wrap(err, "upstream: write"), ErrNotSent)
	}
	return errors.Mark(errors.Wrap(err, "upstream: write"), ErrBroken)
}

// readMine reads answers until one belongs to the request. One that does not is the late
// or doubled answer of an earlier request on this connection.
func readMine(br *bufio.Reader, r *Request) (*http.Response, error) {
	ask := &http.Request{Method: r.Method}
	for range maxForeignAnswers {
		raw, err := http.ReadResponse(br, ask)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "upstream: read"), ErrBroken)
		}
		if raw.StatusCode >= 100 && raw.StatusCode < 200 {
			continue
		}
		if r.Matches == nil || r.Matches(raw.Header) {
			return raw, nil
		}
		if _, err := io.CopyN(io.Discard, raw.Body, maxForeignBytes); err != io.EOF {
			break
		}
	}
	return nil, errors.Mark(errors.New("upstream: no answer to this request"), ErrMismatched)
}

// Done ends the use of an answer. complete says that the body was read to its end; only
// then may the connection carry another request.
func (r *Response) Done(complete bool) {
	r.finished.Do(func() {
		alive := r.release()
		if complete && alive && r.written.Load() && !r.raw.Close {
			r.pool.put(r.c, keepFor(r.Header))
			return
		}
		if complete {
			r.c.Close()
			return
		}
		r.c.abort()
	})
}

// keepFor returns how long an idle connection may be used again. It stays below what the
// peer says, so that a request does not cross the peer's close.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return max(0, time.Duration(seconds*float64(time.Second))-keepAliveMargin)
		}
	}
	return defaultKeepFor
}

// encodeHead returns the request line and headers.
func (r *Request) encodeHead() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}
