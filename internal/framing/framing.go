// Package framing tells callers the end of a response no better than it is known.
//
// A response with neither a length nor chunks ends with its connection. Its caller takes every orderly end of the connection for
// the end of the response, also that of a daemon that died, whose connections the kernel ends in order.
package framing

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// DeathDelay is the delay between the end of a connection and the check of the process at its other end. A process that is
	// dying has closed its listener by then.
	DeathDelay = 30 * time.Millisecond
	// MaxEndCheck bounds how long the end of a response is held back until it is known whether its sender died.
	MaxEndCheck = 300 * time.Millisecond
)

// resetOnClose and closeInOrder are arguments of SetLinger.
const (
	resetOnClose = 0
	closeInOrder = -1
)

type connKey struct{}

// lingerer is a connection whose close can be made a reset. *net.TCPConn implements it; a connection that wraps one must too.
type lingerer interface{ SetLinger(seconds int) error }

// ConnContext makes a connection known to its requests. It must be set as http.Server.ConnContext of each server whose handlers
// call ByConnection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Framing is how the end of a response is told to its caller. The zero value is a length or chunks.
type Framing struct {
	// ByConnection: by the end of the connection only. It does not state that the response is complete.
	ByConnection bool
	conn         lingerer // nil: not known
}

// ByConnection makes net/http write neither a length nor chunks. It is called before the headers are written. Until End is called,
// the caller's connection is reset whenever it is closed, also by the kernel when this process dies. An early end would look
// complete otherwise.
func ByConnection(ctx context.Context, h http.Header) Framing {
	h.Set("Transfer-Encoding", "identity") // net/http drops it
	f := Framing{ByConnection: true}
	if conn, ok := ctx.Value(connKey{}).(lingerer); ok {
		f.conn = conn
		_ = conn.SetLinger(resetOnClose) // fails only on a closed connection, whose next write fails
	}
	return f
}

// EndsWithConnection reports whether only the end of the connection told the end of the body of a response that an http.Transport
// returned.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && r.Request.Method != http.MethodHead
}

// End is called when the whole response was sent to the caller and flushed.
func (f Framing) End() {
	if f.conn != nil {
		_ = f.conn.SetLinger(closeInOrder) // fails only on a closed connection
	}
}
