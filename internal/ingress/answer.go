package ingress

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// blockedWrite is how long a write may take that finds room in the send buffer.
	blockedWrite = time.Millisecond
	// lingerInterval is how often a closed connection is checked for bytes that its client has not received.
	lingerInterval = 100 * time.Millisecond
	// maxLinger bounds how long a closed connection holds such bytes.
	maxLinger = 30 * time.Second
)

// Write implements net.Conn. While it is blocked, the connection may give way.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) > smallBuffer {
		c.growSendBuffer()
	}
	began := time.Now()
	c.writingSince.Set(began)
	n, err := c.TCPConn.Write(p)
	c.writingSince.Set(time.Time{})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		_ = c.SetLinger(0) // the client doesn't take its answer; this fails only on a closed connection
	case err == nil && time.Since(began) > blockedWrite:
		c.growSendBuffer()
	}
	return n, err
}

// stalled reports whether the client has left a write blocked for so long that its connection may give way.
func (c *conn) stalled() bool {
	since, writes := c.writingSince.Time()
	return writes && time.Since(since) > c.guard.o.StalledAfter
}

// Close implements net.Conn. A connection whose client has not received all of an answer keeps its place until it has: the kernel would hold the
// bytes outside of any bound.
func (c *conn) Close() error {
	switch {
	case c.resetsOnClose.Load():
		c.reset()
		return nil
	case c.unsent() == 0:
		return c.TCPConn.Close()
	case c.lingering.Swap(true):
		return nil
	}
	_ = c.CloseWrite() // this and the next call fail only if the client is gone, which the check finds
	_ = c.CloseRead()  // net/http awaits no more requests
	c.checkUntil(time.Now().Add(maxLinger))
	return nil
}

// SetLinger sets what happens to unsent data when the connection is closed. With 0 it is reset: an answer that was broken off must not look
// complete.
func (c *conn) SetLinger(seconds int) error {
	c.resetsOnClose.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// checkUntil closes a connection that lingers once its client has received everything, at the latest at the end.
func (c *conn) checkUntil(end time.Time) {
	time.AfterFunc(lingerInterval, func() {
		if c.unsent() > 0 && time.Now().Before(end) {
			c.checkUntil(end)
			return
		}
		if c.unsent() == 0 {
			_ = c.TCPConn.Close() // it may have given way
		} else {
			c.reset()
		}
		c.guard.remove(c)
	})
}

// reset closes the connection and discards what its client has not received.
func (c *conn) reset() {
	_ = c.SetLinger(0) // this and the next call fail only on a closed connection
	_ = c.TCPConn.Close()
}

// unsent returns the bytes that were written and that the client has not received; zero if the connection has ended.
func (c *conn) unsent() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	if err := raw.Control(func(fd uintptr) { bytes = unsentOf(int(fd)) }); err != nil {
		return 0
	}
	return bytes
}

// tcpClose is the state of a connection that the client has reset, for which the kernel still tells how much it had not received.
const tcpClose = 7

func unsentOf(fd int) int {
	bytes, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil || bytes == 0 {
		return 0
	}
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err != nil || info.State == tcpClose {
		return 0
	}
	return bytes
}
