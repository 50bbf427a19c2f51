package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

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
	// headMemory is the memory for the heads of all requests in progress, in bytes.
	headMemory = 16 << 20
	// peerConnShare is the number of peers' connections as a share of those of callers.
	peerConnShare = 0.25
	// callerDescriptorShare is the share of the process's descriptors that callers may take.
	callerDescriptorShare = 0.4
	// maxCallBytes bounds the body of another daemon's call.
	maxCallBytes = 1 << 20
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 60 * time.Second
)

// newGuards creates the bounds on the clients of both listeners.
func (d *Daemon) newGuards() {
	conns := min(float64(d.config.Daemon.MaxConnections), callerDescriptorShare*float64(ingress.ProcessDescriptors()))
	heads := ingress.NewBudget(headMemory)
	guard := func(name listenerName, maxConns float64) *ingress.Guard {
		return ingress.New(ingress.Options{
			Name: string(name), MaxConns: max(1, int(maxConns)), Budget: heads, Metrics: d.metrics,
			Limits: func() ingress.Limits { return ingress.Limits{HeadBytes: ingress.MaxHeadBytes} },
		})
	}
	d.guards = map[listenerName]*ingress.Guard{
		listenerCallers: guard(listenerCallers, conns), listenerPeers: guard(listenerPeers, peerConnShare*conns),
	}
}

// connections returns what clients hold at each listener.
func (d *Daemon) connections() map[listenerName]ingress.State {
	states := map[listenerName]ingress.State{}
	for name, g := range d.guards {
		states[name] = g.State()
	}
	return states
}

// listen opens a listener whose connections have small receive buffers.
func listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return ingress.SetReceiveBuffer(raw) }}
	return lc.Listen(context.Background(), "tcp", address)
}
