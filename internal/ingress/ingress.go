// Package ingress bounds what clients make a daemon hold before their requests are known: connections, heads, bodies of calls between
// daemons, and bytes that the kernel has received, or holds of answers that clients don't take.
//
// Invariant: a listener keeps at most Options.MaxConns connections. What net/http will hold for a head is taken from the memory budget
// before net/http gets its bytes. A client whose head exceeds the limits is answered 431, one for whose head there is no memory 503; its
// connection is closed, and until then what it sends is discarded. Which connections give way is decided by package connlimit.
//
// Without this, clients that open connections and send nothing take all descriptors, and heads of many short lines, which take some
// forty times their size once they are parsed and copied, exceed the memory of the VM.
package ingress

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/connlimit"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
)

const (
	// MaxHeadBytes bounds the request line and the header lines of a request where Limits say nothing else.
	MaxHeadBytes = 64 << 10
	// DefaultStalledAfter is the default of Options.StalledAfter.
	DefaultStalledAfter = 200 * time.Millisecond
	// connsPerLarge is the number of connections of which one may have a large receive buffer, and one a large send buffer.
	connsPerLarge = 16
	// backlogShare is the number of connections that the kernel keeps until they are accepted, as a share of those that are kept.
	backlogShare = 0.5
	minBacklog   = 16
	// maxYielding bounds the connections that give way to one head.
	maxYielding = 8
)

// Limits bound what a client may send and for how long. Zero values set no bound of their own.
type Limits struct {
	HeadBytes   int           // of the header lines, and of the request line
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // between two requests
}

// HeadBudget is the memory for heads. Its methods may be called by several goroutines.
type HeadBudget interface {
	GrowHead(h *memory.Hold, more int64) *memory.Refusal
	ReleaseHead(h *memory.Hold)
}

// Options configures New.
type Options struct {
	Name     string // of the listener, in metrics and logs
	MaxConns int    // connections that are kept at the same time
	Budget   HeadBudget
	// StalledAfter is how long a client may leave a write blocked, or its request without an end, before its connection gives way first. Answers
	// that are larger than a send buffer need some round trips. Zero: DefaultStalledAfter.
	StalledAfter time.Duration
	// Limits returns the limits in force. They are asked again while a head is received.
	Limits  func() Limits
	Metrics tally.Scope
}

// Guard bounds the connections of one listener and the requests on them.
type Guard struct {
	o Options

	largeReceive, largeSend largeBuffers

	gaveWay atomic.Int64 // connections that were closed for the sake of others

	mu    sync.Mutex
	conns *connlimit.Set[*conn]
}

// New returns a Guard.
func New(o Options) *Guard {
	o.StalledAfter = cmp.Or(o.StalledAfter, DefaultStalledAfter)
	o.Metrics = o.Metrics.Tagged(map[string]string{"listener": o.Name})
	g := &Guard{o: o, conns: connlimit.New(o.MaxConns, connlimit.Clients[*conn]{Overdue: (*conn).overdue, Stalled: (*conn).stalled})}
	g.largeReceive.max = max(1, int64(o.MaxConns/connsPerLarge))
	g.largeSend.max = g.largeReceive.max
	return g
}

// Attach makes a server use the guard. The server must serve a listener that Listener returned. Connections that wrap those of the listener
// have a method NetConn that returns what they wrap.
func (g *Guard) Attach(s *http.Server) {
	s.MaxHeaderBytes = 2 * MaxHeadBytes // above what Limits allow, so that the guard decides
	s.Handler = g.handler(s.Handler)
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, guarded(nc))
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c := guarded(nc)
		switch {
		case c == nil:
		case state == http.StateActive:
			c.endHead()
		case state == http.StateIdle:
			c.idle()
		case state == http.StateClosed:
			c.closed()
		}
	}
}

type connKey struct{}

// guarded returns the guarded connection below those that wrap it, or nil.
func guarded(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapper.NetConn()
	}
}

// Listener returns a listener whose connections are guarded. It bounds those that the kernel keeps until they are accepted.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		g.setBacklog(tcp)
	}
	return &listener{Listener: l, guard: g}
}

func (g *Guard) setBacklog(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // it is closed
	}
	backlog := max(minBacklog, int(backlogShare*float64(g.o.MaxConns)))
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) }) // without it the kernel's own bound holds
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It doesn't return connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) {
				l.guard.shed()
			}
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			_ = nc.Close() // never used
			return nil, errors.Newf("ingress: listener of %T, want TCP connections", nc)
		}
		if c := l.guard.add(tcp); c != nil {
			return c, nil
		}
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
		_ = tcp.Close()
	}
}

// add returns the guarded connection, or nil if there is no room for it.
func (g *Guard) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, guard: g, since: time.Now()}
	g.mu.Lock()
	added, closed := g.conns.Add(c)
	c.entry = added
	g.mu.Unlock()
	if closed != nil {
		g.close(closed.Conn, "no room")
	}
	if added == nil {
		g.count("refused", "no room")
		return nil
	}
	return c
}

// shed closes the connection that is to give way next.
func (g *Guard) shed() {
	g.mu.Lock()
	e := g.conns.Shed()
	g.mu.Unlock()
	if e != nil {
		g.close(e.Conn, "no descriptors")
	}
}

// close closes a connection that has been removed from the set.
func (g *Guard) close(c *conn, why string) {
	c.release()
	g.gaveWay.Add(1)
	c.reset()
	g.count("closed", why)
}

func (g *Guard) count(event, why string) {
	g.o.Metrics.Tagged(map[string]string{"why": why}).Counter("connections_" + event).Inc(1)
}

// takeMemory takes memory for a head, or for the body of a call. Older requests that are not whole give way. It returns nil if there was room.
func (g *Guard) takeMemory(c *conn, more int64) *memory.Refusal {
	for range maxYielding {
		refusal := c.grow(more)
		if refusal == nil {
			return nil
		}
		g.mu.Lock()
		older := g.conns.ShedBefore(c.entry, (*conn).holdsHead)
		g.mu.Unlock()
		if older == nil {
			return refusal
		}
		g.close(older.Conn, "no memory")
	}
	return c.grow(more)
}

// State is what the clients of a listener hold, for a state dump.
type State struct {
	MaxConns  int   `json:"max_connections"`
	Receiving int   `json:"receiving"` // a request
	Serving   int   `json:"serving"`
	Idle      int   `json:"idle"`
	GaveWay   int64 `json:"gave_way"` // closed for the sake of others, since the start
}

// State returns what the clients hold.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		MaxConns: g.o.MaxConns, Receiving: g.conns.Len(connlimit.Receiving), Serving: g.conns.Len(connlimit.Serving),
		Idle: g.conns.Len(connlimit.Idle), GaveWay: g.gaveWay.Load(),
	}
}

// budget is memory for heads only.
type budget struct {
	mu   sync.Mutex
	core *memory.Budget
}

// NewBudget returns memory for the heads of a daemon that counts nothing else. capacity is in bytes.
func NewBudget(capacity int64) HeadBudget {
	return &budget{core: memory.New(memory.Params{Capacity: capacity})}
}

// GrowHead implements HeadBudget.
func (b *budget) GrowHead(h *memory.Hold, more int64) *memory.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.GrowHead(time.Now(), h, more)
}

// ReleaseHead implements HeadBudget.
func (b *budget) ReleaseHead(h *memory.Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Release(time.Now(), h)
}
