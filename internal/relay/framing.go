package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

var (
	// errReplicaDied means that the connection of a response ended in order, but because the replica died.
	errReplicaDied = errors.New("relay: the replica died before the end of its response was known")
	// errEndUnknown means that it is not known whether a response is complete, and that its framing would state that it is.
	errEndUnknown = errors.New("relay: the end of the response is not known")
)

// maxEndCheck bounds how long the end of a response is held back until it is known whether its replica died.
const maxEndCheck = 300 * time.Millisecond

// resetOnClose and closeInOrder are arguments of SetLinger.
const (
	resetOnClose = 0
	closeInOrder = -1
)

type connKey struct{}

// ConnContext makes a connection known to its requests. It must be set as http.Server.ConnContext of each server of the relay's
// handlers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// framing is how the end of a response is told to the caller.
type framing struct {
	// byConnection: by the end of the connection only. It does not state that the response is complete.
	byConnection bool
	conn         interface{ SetLinger(seconds int) error } // nil: not known
}

// frame chooses how the end of the response is told to the caller: no better than the replica told it. It is called before the headers
// are written.
func (s *Server) frame(ctx context.Context, w http.ResponseWriter, j *Job, a *attempt) framing {
	if a.response.EndsWithConnection() {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then writes neither a length nor chunks
		return frameByConnection(ctx)
	}
	if !j.takesChunks && w.Header().Get("Content-Length") == "" {
		return frameByConnection(ctx)
	}
	return framing{}
}

// frameByConnection returns the framing of a response that ends with the caller's connection. Until end is called, the connection is reset
// whenever it is closed, also by the kernel when this process dies. An early end would look complete otherwise.
func frameByConnection(ctx context.Context) framing {
	f := framing{byConnection: true}
	if conn, ok := ctx.Value(connKey{}).(*net.TCPConn); ok {
		f.conn = conn
		_ = conn.SetLinger(resetOnClose) // fails only on a closed connection, whose next write fails
	}
	return f
}

// end is called when the caller has been sent the whole response.
func (f framing) end() {
	if f.conn != nil {
		_ = f.conn.SetLinger(closeInOrder) // fails only on a closed connection
	}
}

// confirmEnd returns an error if a response must not end as a complete one. Where only the end of the connection told its end, the replica
// may have died. The daemon that forwarded a request takes the other one's word.
func (s *Server) confirmEnd(ctx context.Context, j *Job, a *attempt, f framing) error {
	if a.peer != nil || !a.response.EndsWithConnection() {
		return nil
	}
	v := s.awaitVerdict(ctx, a.placement.Replica)
	s.o.Metrics.Tagged(map[string]string{"replica": v.String()}).Counter("ends_with_connection").Inc(1)
	switch {
	case v == died:
		return errReplicaDied
	case v == unreached && (!f.byConnection || j.received != nil):
		return errEndUnknown
	}
	return nil
}

// verdict is what is known of a replica whose connection has ended.
type verdict int

const (
	unreached verdict = iota // it accepts no connection, and the path to it may be lost
	lives
	died
)

func (v verdict) String() string { return [...]string{"unreached", "lives", "died"}[v] }

// verdictOn finds out whether a replica died at about the time at which its connection ended. Connections end for many reasons, so it
// counts as dead only if it accepts no new connection, or if another one has its address.
func (s *Server) verdictOn(ctx context.Context, r *replicas.Replica, endedAt time.Time) verdict {
	if !r.IsDown(ctx, endedAt) {
		if s.o.Replaced != nil && s.o.Replaced(r) {
			return died
		}
		return lives
	}
	if s.o.PathIsSound != nil && !s.o.PathIsSound(ctx, r) {
		return unreached
	}
	return died
}

// awaitVerdict returns the verdict on a replica whose connection has just ended in order. It does not end with the request: without
// a verdict a broken response would pass for a whole one. The time of the check begins with it, so that a process that stalls before still
// makes it.
func (s *Server) awaitVerdict(ctx context.Context, r *replicas.Replica) verdict {
	endedAt := time.Now()
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxEndCheck-crashCheckDelay)
	defer cancel()
	result := make(chan verdict, 1)
	go func() { result <- s.verdictOn(ctx, r, endedAt) }()
	select {
	case v := <-result:
		return v
	case <-ctx.Done():
		return unreached
	}
}

// setLength states the length of a complete body, or of the body that a response to HEAD does not have.
func setLength(h http.Header, j *Job, r *upstream.Response, body int) {
	length := int64(body)
	if j.Method == http.MethodHead {
		length = r.ContentLength
	}
	if length >= 0 && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}
