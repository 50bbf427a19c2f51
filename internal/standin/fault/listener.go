package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that obey the switches.
type Listener struct {
	net.Listener
	switches *Switches
}

// NewListener wraps inner.
func NewListener(inner net.Listener, s *Switches) *Listener {
	return &Listener{Listener: inner, switches: s}
}

// Accept implements net.Listener. While connections are refused it closes each new
// one, which the other end sees as a reset or an early end.
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

// Conn is a connection that can freeze, or go silent for good: it then swallows what
// either end writes, and stays open.
type Conn struct {
	net.Conn
	switches   *Switches
	control    atomic.Bool // carries a request to /fault; exempt from all switches
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

// Read implements net.Conn. A silent connection reads and discards, so that it still
// notices that the other end closed.
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

// Write implements net.Conn. A frozen stand-in's write waits.
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
