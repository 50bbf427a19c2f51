package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

// targetPool caches one client per target and address.
type targetPool struct {
	streams config.Streams
	log     hclog.Logger
	metrics tally.Scope

	mu      sync.Mutex
	clients map[string]*target.Client
}

func newTargetPool(streams config.Streams, log hclog.Logger, metrics tally.Scope) *targetPool {
	return &targetPool{streams: streams, log: log, metrics: metrics, clients: map[string]*target.Client{}}
}

// Client returns the client of a target at its current address.
func (p *targetPool) Client(t table.Target) *target.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(t.ID) + "@" + t.Address
	c, ok := p.clients[key]
	if !ok {
		c = target.New(target.Options{
			ID:                t.ID,
			Address:           t.Address,
			Logger:            p.log,
			Metrics:           p.metrics,
			DialTimeout:       p.streams.DialTimeout,
			HeaderTimeout:     p.streams.HeaderTimeout,
			StreamIdleTimeout: p.streams.SilentAfter,
		})
		p.clients[key] = c
	}
	return c
}

func (p *targetPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

const (
	peerDialTimeout = time.Second
	peerIdleTimeout = 30 * time.Second
	maxIdlePerPeer  = 32
)

// peerPool caches the twirp clients of peers.
type peerPool struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]peer.Steward
}

func newPeerPool() *peerPool {
	return &peerPool{
		http: &http.Client{Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			MaxIdleConnsPerHost:    maxIdlePerPeer,
			IdleConnTimeout:        peerIdleTimeout,
			MaxResponseHeaderBytes: transfer.MaxHeadBytes,
		}},
		clients: map[string]peer.Steward{},
	}
}

// Steward returns the client of a peer.
func (p *peerPool) Steward(m *peer.Member) peer.Steward {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[m.PeerAddress]
	if !ok {
		c = peer.NewStewardProtobufClient("http://"+m.PeerAddress, p.http)
		p.clients[m.PeerAddress] = c
	}
	return c
}

// Reset closes idle connections to peers. Callers use it after a request got no response:
// the failure that broke its connection may have broken the other pooled ones too.
func (p *peerPool) Reset() { p.http.CloseIdleConnections() }

// vmListCacheTTL is how long a daemon reuses a response of the VM list. The list lags
// behind anyway, and the number of calls must not grow with the number of readers.
const vmListCacheTTL = 2 * time.Second

// vmCache caches the responses of the VM list for vmListCacheTTL each.
type vmCache struct {
	list platform.VMList

	mu     sync.Mutex
	readAt time.Time
	vms    []platform.VM
	err    error
}

func newVMCache(list platform.VMList) *vmCache { return &vmCache{list: list} }

// VMs implements platform.VMList.
func (c *vmCache) VMs(ctx context.Context) ([]platform.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.readAt) < vmListCacheTTL {
		return c.vms, c.err
	}
	c.vms, c.err = c.list.VMs(ctx)
	c.readAt = time.Now()
	return c.vms, c.err
}
