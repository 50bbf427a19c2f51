package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/policy/connlimit"
	"github.com/bluebellscale/bluebellscale/internal/policy/head"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
)

// handler tells the connection where its request is.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if refusal := c.beginRequest(r); refusal != nil {
			g.count("refused", http.StatusText(http.StatusServiceUnavailable))
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", refusal.RetryAfter.Seconds()))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength != 0 {
			r.Body = &body{ReadCloser: r.Body, conn: c, large: r.ContentLength > largeBuffer}
		} else if !g.move(c, connlimit.Serving) {
			panic(http.ErrAbortHandler) // its connection gave way before the request was served
		}
		next.ServeHTTP(w, r)
	})
}

// beginRequest takes the memory for parts of a parsed head that were not measured, as they were received with the request before.
func (c *conn) beginRequest(r *http.Request) *memory.Refusal {
	c.mu.Lock()
	missing := parsedCost(r) - c.hold.Bytes()
	c.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	return c.guard.takeMemory(c, missing)
}

// parsedCost returns the least that is taken for a head that was measured while it was received.
func parsedCost(r *http.Request) int64 {
	lines, bytes, commas := 0, len(r.RequestURI), 0
	for name, values := range r.Header {
		lines += len(values)
		bytes += len(name) * len(values)
		for _, v := range values {
			bytes += len(v)
			commas += strings.Count(v, ",")
		}
	}
	return head.Cost(bytes, lines, commas)
}

// body is the body of a request. The request is whole once its end has been read.
type body struct {
	io.ReadCloser
	conn  *conn
	large bool // the receive buffer grows at the first read: whoever reads has the memory for the body
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.large {
		b.large = false
		b.conn.growReceiveBuffer()
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.guard.move(b.conn, connlimit.Serving) {
		return n, io.ErrUnexpectedEOF // the connection gave way before the request was served
	}
	return n, err
}

// bodyCost is what a process holds for each byte of a body that is read whole and decoded.
const bodyCost = 3

// BoundBodies returns a handler for calls between daemons, whose handlers read bodies whole. Bodies without a length, or longer than maxBytes,
// are refused unread. Others are as with CountBodies.
func (g *Guard) BoundBodies(maxBytes int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status := bodyRefusal(r.ContentLength, maxBytes); status != 0 {
			g.count("refused", "body")
			w.Header().Set("Connection", "close")
			w.WriteHeader(status)
			return
		}
		g.CountBodies(next).ServeHTTP(w, r)
	})
}

// CountBodies returns a handler whose requests' bodies are read whole. Memory for them is taken from the listener's budget as they are read.
// Reading fails with a *memory.Refusal if there is none.
func (g *Guard) CountBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil && r.ContentLength != 0 {
			r.Body = &countedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// bodyRefusal returns the status with which a body is refused, or zero; length is negative if it is not known. Daemons send all calls with
// their length.
func bodyRefusal(length, maxBytes int64) int {
	switch {
	case length < 0:
		return http.StatusLengthRequired
	case length > maxBytes:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// countedBody is a body for which memory is taken as it is read. It is given back once the request has been answered.
type countedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := b.conn.guard.takeMemory(b.conn, bodyCost*int64(n)); refusal != nil {
		b.conn.guard.count("refused", "body")
		return 0, refusal
	}
	return n, err
}
