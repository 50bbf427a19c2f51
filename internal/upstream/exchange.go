package upstream

import (
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

// Errors returned by Do, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the request reached the replica.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrUnreachable means that no connection could be opened, so that nothing was sent.
	ErrUnreachable = errors.New("upstream: replica unreachable")
	// ErrBroken means that the replica may have received the request and the response is lost.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrMismatched means that only responses to other requests or interim responses arrived.
	ErrMismatched = errors.New("upstream: response to another request")
)

const (
	maxResponsesRead   = 3         // responses read for one request, including interim (1xx) ones and those to other requests
	maxMismatchedBytes = 256 << 10 // body size from which a response to another request ends the reading
	inlineBodyBytes    = 8 << 10   // bodies up to this size fit a socket buffer and are written synchronously
	keepAliveMargin    = 500 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second // for a peer that announces no timeout
)

// Request is a request that Do sends once.
type Request struct {
	Method string
	URI    string // as received, unchanged
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to this request.
	Matches func(http.Header) bool
	// Confirm finds out whether a connection leads to the process that the request is for; nil: any process may get it.
	Confirm *Confirmation
}

// Response is a response whose body has not been read yet.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	Body          io.Reader

	pool      *Pool
	c         *conn
	raw       *http.Response
	written   *atomic.Bool // the complete request has been written
	stopAbort func() bool
	finished  sync.Once
}

// Do sends a request once and returns its response without reading the body. When ctx ends, the
// connection is closed, which tells the replica to stop. The caller must call Done on the response.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.open(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	response, err := p.exchange(c, r)
	if ctx.Err() == nil {
		p.recordUse(c, err)
	}
	if err != nil {
		stop()
		if ctx.Err() == nil && !errors.Is(err, ErrMismatched) {
			p.broke(c, time.Now())
		}
		c.abort()
		return nil, err
	}
	if response.raw.Close {
		p.continuity.closing(c)
	}
	p.use(c)
	response.stopAbort, response.Body = stop, &watchedBody{Reader: response.Body, ctx: ctx, response: response, aliveAt: time.Now()}
	return response, nil
}

// exchange writes the request and reads responses until one matches. The remainder of a long body is
// written concurrently: a replica may refuse the request without reading the body, and a
// synchronous write would then block.
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
	raw, err := c.readMatching(r)
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

// readMatching reads responses until one belongs to the request. Other responses are delayed or
// duplicate responses to earlier requests on this connection.
func (c *conn) readMatching(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxResponsesRead {
		raw, err := c.readHead(request)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "upstream: read"), ErrBroken)
		}
		if raw.StatusCode >= 100 && raw.StatusCode < 200 {
			continue
		}
		if r.Matches == nil || r.Matches(raw.Header) {
			return raw, nil
		}
		if _, err := io.CopyN(io.Discard, raw.Body, maxMismatchedBytes); err != io.EOF {
			break
		}
	}
	return nil, errors.Mark(errors.New("upstream: no response to this request"), ErrMismatched)
}

// Framing is what tells the end of a response's body.
type Framing string

// The framings of HTTP/1.1.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // the end of the connection, which may have another reason
)

// Framing returns what tells the end of the body. A response without a body is framed by its length.
func (r *Response) Framing() Framing {
	switch {
	case len(r.raw.TransferEncoding) > 0:
		return FramedByChunks
	case r.ContentLength < 0 && r.raw.Body != http.NoBody:
		return FramedByConnection
	}
	return FramedByLength
}

// EndsWithConnection reports whether only the end of the connection tells the end of the body.
func (r *Response) EndsWithConnection() bool {
	return r.Framing() == FramedByConnection
}

// Done ends the use of the response. The connection is reused only if complete states that the body
// was read to its end.
func (r *Response) Done(complete bool) {
	r.finished.Do(func() {
		alive := r.stopAbort()
		r.pool.endUse(r.c)
		if complete && alive && r.written.Load() && !r.raw.Close {
			r.pool.put(r.c, idleTimeout(r.Header))
			return
		}
		if complete {
			r.c.Close()
			return
		}
		r.c.abort()
	})
}

// idleTimeout returns how long an idle connection may be reused. It is shorter than the timeout that
// the peer announces, so that a request does not cross with the peer's close.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return max(0, time.Duration(seconds*float64(time.Second))-keepAliveMargin)
		}
	}
	return defaultIdleTimeout
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
