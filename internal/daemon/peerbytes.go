package daemon

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// countingListener counts the bytes of accepted connections. One of two connected daemons
// accepts their connection, so the sum over all daemons counts every byte between daemons
// once. The count includes the traffic of operators' requests to the peer address.
type countingListener struct {
	net.Listener
	in, out tally.Counter
}

func newCountingListener(l net.Listener, metrics tally.Scope) countingListener {
	return countingListener{
		Listener: l,
		in:       metrics.Counter("peer_bytes_in"),
		out:      metrics.Counter("peer_bytes_out"),
	}
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, in: l.in, out: l.out}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	in, out tally.Counter
}

// SetLinger sets what happens to unsent data when the connection is closed, like that of net.TCPConn.
func (c countingConn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Newf("daemon: connection of type %T has no linger", c.Conn)
	}
	return conn.SetLinger(seconds)
}

// NetConn returns the connection whose bytes are counted.
func (c countingConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}
