package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections to which the switches apply.
type Listener struct {
	net.Listener
	switches *Switches
}

// NewListener returns a Listener that wraps inner.
func NewListener(inner net.Listener, s *Switches) *Listener {
	return &Listener{Listener: inner, switches: s}
}

// Accept implements net.Listener. While connections are refused it closes each new
// connection, which the peer sees as a reset or an unexpected EOF.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.switches.refusing() {
			inner.Close()
			continue
		}
		conn := newConn(inner, l.switches)
		l.switches.add(conn)
		return conn, nil
	}
}

// Conn is a connection that can be frozen or blackholed. A blackholed connection stays
// open but discards the data of both ends, permanently.
type Conn struct {
	net.Conn
	switches   *Switches
	control    atomic.Bool // has carried a request to /fault; exempt from all switches
	blackholed atomic.Bool
	closing    context.Context
	close      context.CancelFunc
	once       sync.Once
}

func newConn(inner net.Conn, s *Switches) *Conn {
	closing, cancel := context.WithCancel(context.Background())
	return &Conn{Conn: inner, switches: s, closing: closing, close: cancel}
}

func (c *Conn) blackhole() bool {
	return !c.control.Load() && c.blackholed.CompareAndSwap(false, true)
}

// Read implements net.Conn. A blackholed connection reads and discards data, so that
// it still detects that the peer closed the connection.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return 0, err
		}
		if !c.blackholed.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn. While the stand-in is frozen, Write blocks.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.control.Load() {
		if err := c.switches.WaitUnfrozen(c.closing); err != nil {
			return 0, net.ErrClosed
		}
		if c.blackholed.Load() {
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.close()
		c.switches.remove(c)
	})
	return c.Conn.Close()
}
