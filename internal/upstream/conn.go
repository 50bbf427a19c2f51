// Package upstream sends HTTP/1.1 requests to replicas so that one try is one arrival.
//
// net/http's Transport sends some requests a second time by itself when a kept
// connection dies before an answer. For a call that must run at most once this would be
// a second run, and for all others a retry that no budget knows of. Here a connection is
// taken, written and read in plain steps, with net/http's codec on both sides, and each
// step's failure says how far the request can have come.
//
// Replicas may send a second answer, or one that belongs to an earlier request, on a
// kept connection. Answers are matched by the caller of Do; a connection that holds
// bytes nobody asked for is closed and not used again.
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
	readBufferBytes = 4 << 10 // an answer's headers fit
	// userTimeout bounds how long bytes may stay unacknowledged, and keepAlive… how long
	// a connection may be silent with its peer gone. A machine without power answers
	// nothing, so only these show it.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3

	tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT of Linux, absent from package syscall
)

// conn is a connection to one address.
type conn struct {
	net.Conn
	br     *bufio.Reader
	until  time.Time     // before the peer may close it for idleness
	idleAt time.Time     // since when it rests
	rested time.Duration // before it was taken; zero for a new one
}

// NewDialer opens connections that notice a peer that is gone.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw) },
	}
}

// SetUserTimeout bounds the time that sent bytes may stay unacknowledged.
func SetUserTimeout(raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// quiet reports whether the connection is open with nothing to read. An idle connection
// that can be read holds the peer's close, or bytes that belong to no request of ours.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// abort ends a connection at once. Bytes that wait behind a broken path are dropped, so
// that they don't reach the replica when the path is back: the request was given up.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	c.Close()
}

// Pool keeps idle connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  *net.Dialer
	maxIdle int
	dials   atomic.Uint64

	mu     sync.Mutex
	idle   []*conn // the one used last is at the end
	rests  rests
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(address string, dialTimeout time.Duration, maxIdle int) *Pool {
	return &Pool{address: address, dialer: NewDialer(dialTimeout), maxIdle: maxIdle}
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() uint64 { return p.dials.Load() }

// take returns an idle connection that is still good, nil if there is none.
func (p *Pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		c.rested = now.Sub(c.idleAt)
		if now.Before(c.until) && p.mayRest(now, c.rested) && c.quiet() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) mayRest(now time.Time, rest time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rests.allows(now, rest)
}

// noteUse learns from how the first exchange on a connection went after its rest.
func (p *Pool) noteUse(c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.rests.broke(time.Now(), c.rested)
		return
	}
	p.rests.answered(c.rested)
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
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Mark(errors.Mark(errors.Wrap(err, "upstream: dial"), ErrNotSent), ErrUnreachable)
	}
	return &conn{Conn: raw, br: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// Probe finds out whether the address accepts a connection. No request is sent.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	return c.Close()
}

// put keeps a connection whose last answer was read to its end, for a time.
func (p *Pool) put(c *conn, keepFor time.Duration) {
	if keepFor <= 0 || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleAt = time.Now()
	c.until = c.idleAt.Add(keepFor)
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < p.maxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// Close closes the idle connections; those in use are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// CloseIdle closes the idle connections, after which new ones are opened. It is used
// after the process stood still: what the peer did meanwhile is not known.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
