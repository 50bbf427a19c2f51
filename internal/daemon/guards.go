package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/ingress"
)

// listenerName is a listener of the daemon, in metrics and in the state dump.
type listenerName string

// The listeners.
const (
	listenerCallers listenerName = "callers"
	listenerPeers   listenerName = "peers"
)

const (
	// requestMemoryShare is the share of the process's memory for heads and bodies of callers' requests in progress, and peerMemoryShare that for
	// those of peers, forwarded ones included. They are apart, so that a crowd of callers takes no memory from peers.
	requestMemoryShare = 0.25
	peerMemoryShare    = 0.25
	// softMemoryShare is the share of the process's memory that is the soft limit of the Go runtime.
	softMemoryShare = 0.6
	// peerConnShare is the number of peers' connections as a share of those of callers.
	peerConnShare = 0.25
	// callerDescriptorShare is the share of the process's descriptors that callers may take.
	callerDescriptorShare = 0.4
	// maxCallBytes bounds the body of another daemon's call.
	maxCallBytes = 1 << 20
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 60 * time.Second
)

// SoftMemoryLimit returns the soft limit of the Go runtime in bytes.
func SoftMemoryLimit(c config.Daemon) int64 { return memoryShare(c, softMemoryShare) }

func memoryShare(c config.Daemon, share float64) int64 {
	return int64(share * float64(c.MemoryMB) * (1 << 20))
}

// newGuards creates the bounds on the clients of both listeners.
func (d *Daemon) newGuards() {
	c := d.config.Daemon
	conns := min(float64(c.MaxConnections), callerDescriptorShare*float64(ingress.ProcessDescriptors()))
	d.guards = map[listenerName]*ingress.Guard{
		listenerCallers: d.newGuard(listenerCallers, conns, memoryShare(c, requestMemoryShare)),
		listenerPeers:   d.newGuard(listenerPeers, peerConnShare*conns, memoryShare(c, peerMemoryShare)),
	}
}

// newGuard returns the bounds on the clients of a listener. memory is in bytes.
func (d *Daemon) newGuard(name listenerName, maxConns float64, memory int64) *ingress.Guard {
	return ingress.New(ingress.Options{
		Name: string(name), MaxConns: max(1, int(maxConns)), Budget: ingress.NewBudget(memory), Metrics: d.metrics,
		Limits: func() ingress.Limits { return ingress.Limits{HeadBytes: ingress.MaxHeadBytes} },
	})
}

// connections returns what clients hold at each listener.
func (d *Daemon) connections() map[listenerName]ingress.State {
	states := map[listenerName]ingress.State{}
	for name, g := range d.guards {
		states[name] = g.State()
	}
	return states
}

// listen opens a listener whose connections have small buffers.
func listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return ingress.SetBuffers(raw) }}
	return lc.Listen(context.Background(), "tcp", address)
}
