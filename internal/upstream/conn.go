// Package upstream sends HTTP/1.1 requests to replicas without implicit retries.
//
// net/http's Transport resends some requests when a reused connection breaks before the response.
// That would run an at-most-once call a second time, and for other calls it would be a retry
// outside of the retry budget. This package therefore takes a connection, writes the request
// and reads the response in separate steps, with net/http's codec for responses. The error of each
// step states how far the request can have got.
//
// Replicas may send a duplicate response, or the response to an earlier request, on a reused
// connection. The caller of Do matches responses to requests. A connection with unsolicited bytes
// is closed and not reused.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBufferBytes = 4 << 10 // enough for the headers of a response
	// userTimeout bounds how long sent bytes may stay unacknowledged, and keepAlive… bound how long
	// an idle connection may survive its peer. A machine without power sends no reset, so only these
	// timeouts detect it.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3

	// SocketBufferBytes is the size of a buffer set with SetBuffers, without the kernel's bookkeeping. It carries
	// 40 Mbit/s over a round trip of 50 ms.
	SocketBufferBytes = 256 << 10

	tcpUserTimeout = 0x12 // Linux TCP_USER_TIMEOUT, which package syscall does not define
)

// conn is a connection to one address.
type conn struct {
	net.Conn
	br         *bufio.Reader
	source     *boundedReader // of br
	reuseUntil time.Time      // from then on the peer may close the idle connection
	idleSince  time.Time      // when it was last returned to the pool
	idleFor    time.Duration  // idle time before the current use; zero for a new connection
	process    knowledge      // to which it leads
	openedAt   time.Time
	continuity *continuity // of its pool; nil: none
	continuous bool        // it leads to the known process, as far as continuity tells; guarded by its mutex
	closing    bool        // its end tells nothing: the peer announced it, or it is accounted for; guarded by continuity's mutex
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.continuity != nil {
		c.continuity.closed(c)
	}
	return c.Conn.Close()
}

// NewDialer returns a dialer whose connections detect an unreachable peer.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw) },
	}
}

// SetUserTimeout bounds the time that sent bytes may stay unacknowledged or not be accepted by the peer.
func SetUserTimeout(raw syscall.RawConn) error { return SetUserTimeoutTo(raw, userTimeout) }

// SetUserTimeoutTo is SetUserTimeout with a different bound.
func SetUserTimeoutTo(raw syscall.RawConn, timeout time.Duration) error {
	return setOption(raw, syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
}

// SetBuffers sets the size of a socket's buffers, which otherwise grow to several megabytes if the peer reads
// slowly or this process does not read. Connections inherit the size from their listener.
func SetBuffers(raw syscall.RawConn) error {
	if err := setOption(raw, syscall.SOL_SOCKET, syscall.SO_SNDBUF, SocketBufferBytes); err != nil {
		return err
	}
	return setOption(raw, syscall.SOL_SOCKET, syscall.SO_RCVBUF, SocketBufferBytes)
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var setErr error
	err := raw.Control(func(fd uintptr) { setErr = syscall.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return setErr
}

// isReusable reports whether the connection is open with nothing to read. A readable idle
// connection has been closed by the peer or holds bytes that belong to no current request.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// abort closes the connection and discards unsent bytes, so that they don't reach the replica after
// a network partition heals: the request has been abandoned.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds idle connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  DialFunc
	maxIdle int
	dials   atomic.Uint64

	verifyMu sync.Mutex // one connection at a time is opened for Verify

	mu        sync.Mutex
	idle      []*conn // most recently used last
	idleLimit idleLimit
	processes processes
	closed    bool

	continuity continuity
}

// NewPool returns an empty pool.
func NewPool(address string, dialTimeout time.Duration, maxIdle int) *Pool {
	dialer := NewDialer(dialTimeout)
	control := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if err := control(network, address, raw); err != nil {
			return err
		}
		return SetBuffers(raw)
	}
	return &Pool{address: address, dialer: dialer.DialContext, maxIdle: maxIdle}
}

// WrapDial replaces how connections are opened by what wrap makes of it. It must be called before the first use.
func (p *Pool) WrapDial(wrap func(DialFunc) DialFunc) { p.dialer = wrap(p.dialer) }

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 { return p.dials.Load() }

// take returns an idle connection that may be reused, or nil.
func (p *Pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		c.idleFor = now.Sub(c.idleSince)
		if now.Before(c.reuseUntil) && p.mayReuse(now, c.idleFor) {
			if c.isReusable() {
				return c
			}
			p.broke(c, c.idleSince)
		}
		c.Close()
	}
}

func (p *Pool) mayReuse(now time.Time, idle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleLimit.allows(now, idle)
}

// recordUse updates the idle limit with the outcome of an exchange on a reused connection.
func (p *Pool) recordUse(c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.idleLimit.recordBreak(time.Now(), c.idleFor)
		return
	}
	p.idleLimit.recordSuccess(c.idleFor)
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dials.Add(1)
	doubts := p.Doubts()
	raw, err := p.dialer(ctx, "tcp", p.address)
	if err != nil {
		if ctx.Err() == nil {
			p.refused()
		}
		return nil, errors.Mark(errors.Mark(errors.Wrap(err, "upstream: dial"), ErrNotSent), ErrUnreachable)
	}
	br, source := newConnReader(raw)
	c := &conn{
		Conn: raw, br: br, source: source, process: p.knowledgeOf(doubts), openedAt: time.Now(),
	}
	if p.continuity.watches {
		c.continuity = &p.continuity
		p.continuity.opened(c)
	}
	return c, nil
}

// Probe checks whether the address accepts a connection. It sends no request.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	return c.Close()
}

// put returns a connection to the pool for at most idleTimeout. Its last response must have been read completely.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	c.reuseUntil = c.idleSince.Add(idleTimeout)
	p.mu.Lock()
	pooled := !p.closed && len(p.idle) < p.maxIdle
	if pooled {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !pooled {
		c.Close()
	}
}

// Close closes the idle connections. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// CloseIdle closes the idle connections; the pool stays usable. It is used after a process stall,
// when the state of the peer's connections is unknown, and whether its process is still the same.
func (p *Pool) CloseIdle() {
	p.Doubt()
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
