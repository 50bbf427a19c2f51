package ingress

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/monotime"
	"github.com/bluebellscale/bluebellscale/internal/policy/connlimit"
	"github.com/bluebellscale/bluebellscale/internal/policy/head"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
)

// lingerTime is how long what a refused client still sends is discarded. The refusal would be lost otherwise: the close of a connection
// with unread bytes resets it.
const lingerTime = 500 * time.Millisecond

// lingerBytes bounds what is discarded.
const lingerBytes = MaxHeadBytes

// phase is where net/http is in a request.
type phase int

const (
	awaiting phase = iota // the first byte of a request
	inHead
	inRequest // net/http has parsed the head
	refused
)

// conn is a connection of a client.
type conn struct {
	*net.TCPConn
	guard *Guard
	entry *connlimit.Entry[*conn] // guarded by guard.mu

	mu       sync.Mutex // not held while guard.mu is acquired
	phase    phase
	used     bool      // a request has been answered
	since    time.Time // when the connection was accepted, the head began or the last request was answered
	meter    head.Meter
	hold     memory.Hold
	released bool // the connection is closed and must take no more memory
	// largeReceive and largeSend: a buffer is large. The receive buffer remains so for as long as the connection lives.
	largeReceive, largeSend bool

	writingSince  monotime.Instant // unset: no write runs
	resetsOnClose atomic.Bool
	lingering     atomic.Bool // closed by net/http while the client has not received all of an answer
}

// Read implements net.Conn. Bytes of a head are given to net/http only once there is memory for what it will hold for them.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	status, refusal := c.receive(p[:n])
	if status == 0 {
		return n, err
	}
	c.refuse(status, refusal, p)
	return 0, os.ErrDeadlineExceeded // net/http writes nothing of its own then
}

// receive measures received bytes. It returns the status of a refusal, or zero.
func (c *conn) receive(p []byte) (int, *memory.Refusal) {
	limits := c.guard.o.Limits()
	began, inHead := c.beginHead(limits)
	if !inHead {
		return 0, nil
	}
	if began {
		c.guard.move(c, connlimit.Receiving)
	}
	c.mu.Lock()
	before := c.meter.Cost()
	c.meter.Read(p)
	more, tooLong := c.meter.Cost()-before, c.meter.Exceeds(headBytes(limits))
	c.mu.Unlock()
	if tooLong {
		return http.StatusRequestHeaderFieldsTooLarge, nil
	}
	if refusal := c.guard.takeMemory(c, more); refusal != nil {
		return http.StatusServiceUnavailable, refusal
	}
	return 0, nil
}

func headBytes(l Limits) int {
	if l.HeadBytes <= 0 {
		return MaxHeadBytes
	}
	return l.HeadBytes
}

// beginHead tells that bytes were received. It reports whether a head begins with them, and whether they belong to one.
func (c *conn) beginHead(limits Limits) (began, in bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaiting {
		return false, c.phase == inHead
	}
	c.phase, c.meter, c.since = inHead, head.Meter{}, time.Now()
	if limits.HeadTimeout > 0 {
		_ = c.TCPConn.SetReadDeadline(c.since.Add(limits.HeadTimeout)) // fails only on a closed connection
	}
	return true, true
}

// endHead tells that net/http has parsed a head, or rejected it.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != refused {
		c.phase = inRequest
	}
}

// SetReadDeadline implements net.Conn. The limits in force shorten the deadlines of net/http, which are the same for all connections.
func (c *conn) SetReadDeadline(t time.Time) error {
	limits := c.guard.o.Limits()
	c.mu.Lock()
	bound := time.Duration(0)
	switch {
	case c.phase == inHead:
		bound = limits.HeadTimeout
	case c.phase == awaiting && c.used:
		bound = limits.IdleTimeout
	}
	if end := c.since.Add(bound); bound > 0 && !t.IsZero() && end.Before(t) {
		t = end
	}
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// refuse answers a client whose request net/http doesn't get, and discards what it still sends. p is used as a buffer.
func (c *conn) refuse(status int, refusal *memory.Refusal, p []byte) {
	c.mu.Lock()
	c.phase = refused
	c.mu.Unlock()
	c.release()
	c.guard.count("refused", http.StatusText(status))
	retryAfter := ""
	if refusal != nil {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", refusal.RetryAfter.Seconds())
	}
	end := time.Now().Add(lingerTime)
	_ = c.SetDeadline(end) // this and what follows fails only if the client is gone
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retryAfter)
	_ = c.CloseWrite()
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.TCPConn.Read(p)
		if err != nil {
			return
		}
		discarded += n
	}
}

// grow takes memory for the head.
func (c *conn) grow(more int64) *memory.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return nil // it has no use for memory any more
	}
	return c.guard.o.Budget.GrowHead(&c.hold, more)
}

// overdue reports whether the client has had the time to send a whole request.
func (c *conn) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.since) > c.guard.o.StalledAfter
}

// holdsHead reports whether memory is taken for the connection's head.
func (c *conn) holdsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold.Bytes() > 0
}

// release gives the memory back for good.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.largeReceive && !c.released {
		c.guard.largeReceive.giveBack()
	}
	c.shrinkSendBuffer()
	c.released = true
	c.guard.o.Budget.ReleaseHead(&c.hold)
}

// idle tells that a request has been answered and the connection awaits the next one.
func (c *conn) idle() {
	c.mu.Lock()
	c.phase, c.used, c.since = awaiting, true, time.Now()
	c.shrinkSendBuffer()
	c.guard.o.Budget.ReleaseHead(&c.hold)
	c.mu.Unlock()
	c.guard.move(c, connlimit.Idle)
}

// growReceiveBuffer makes the receive buffer large if others than this connection leave room for that. It never becomes small again: TCP stalls
// on a window that shrinks.
func (c *conn) growReceiveBuffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.largeReceive || !c.guard.largeReceive.take() {
		return
	}
	c.largeReceive = true
	if raw, err := c.SyscallConn(); err == nil {
		_ = setReceiveBuffer(raw, largeBuffer) // without it the body is read more slowly
	}
}

// growSendBuffer makes the send buffer large until the request has been answered, if others than this connection leave room for that.
func (c *conn) growSendBuffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.largeSend || !c.guard.largeSend.take() {
		return
	}
	c.largeSend = true
	c.setSendBuffer(largeBuffer)
}

// shrinkSendBuffer makes the send buffer small again. The mutex must be held.
func (c *conn) shrinkSendBuffer() {
	if !c.largeSend {
		return
	}
	c.largeSend = false
	c.guard.largeSend.giveBack()
	c.setSendBuffer(smallBuffer)
}

func (c *conn) setSendBuffer(bytes int) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = setOptions(raw, sendBuffer(bytes)) // without it answers are sent more slowly, or the connection is closed
	}
}

// closed tells that net/http has closed the connection. One that lingers keeps its place.
func (c *conn) closed() {
	c.release()
	if c.lingering.Load() {
		c.guard.move(c, connlimit.Idle)
		return
	}
	c.guard.remove(c)
}

func (g *Guard) move(c *conn, to connlimit.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.Move(c.entry, to)
	return c.entry.Kept()
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.Remove(c.entry)
}
