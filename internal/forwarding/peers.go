package forwarding

import (
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/forward"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

const (
	// peerDialTimeout is how long a request waits for a connection to another daemon.
	peerDialTimeout = 300 * time.Millisecond
	maxIdlePerPeer  = 16
	// refusalTTL is how long a daemon that could not serve a forwarded request gets no other one for the same service. It
	// has then reported what it lost.
	refusalTTL = 500 * time.Millisecond
	// idleAfter is how long the pool of a daemon that gets no requests is kept.
	idleAfter = 30 * time.Second
)

// Candidate is a daemon to which requests may be forwarded.
type Candidate struct {
	ID      request.DaemonID
	Address string // for other daemons
	Weight  float64
}

// PeersOptions configures Peers.
type PeersOptions struct {
	Observer *Observer
	// Candidates returns the live daemons that may take a request, given a key of it.
	Candidates func(requestKey uint64) []Candidate
	// HasLost reports whether a daemon says that it reaches no replica of a service.
	HasLost     func(peer request.DaemonID, service routing.ServiceID) bool
	MaxRequests int // forwarded by this daemon at the same time
	Enabled     func() bool
	Metrics     tally.Scope
}

// Peers chooses the daemons to which requests are forwarded. It implements relay.Peers and is safe for concurrent use.
type Peers struct {
	o PeersOptions

	mu       sync.Mutex
	inFlight int
	peers    map[request.DaemonID]*peerState
}

// peerState is what this daemon knows of a daemon to which it forwarded requests.
type peerState struct {
	address  string
	pool     *upstream.Pool
	inFlight int
	usedAt   time.Time
	refused  map[routing.ServiceID]time.Time // when it could not serve a request for a service
}

// NewPeers returns Peers that has forwarded nothing yet.
func NewPeers(o PeersOptions) *Peers {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Peers{o: o, peers: map[request.DaemonID]*peerState{}}
}

// Forwards implements relay.Peers.
func (p *Peers) Forwards(service routing.ServiceID, s forward.Situation) bool {
	if !p.o.Enabled() {
		return false
	}
	s.Lost, s.Suspected = p.o.Observer.Lost(service), p.o.Observer.Suspected()
	return s.Forwards()
}

// Exhausted implements relay.Peers.
func (p *Peers) Exhausted(service routing.ServiceID) bool { return p.o.Observer.Exhausted(service) }

// Choose implements relay.Peers.
func (p *Peers) Choose(service routing.ServiceID, requestKey uint64, tried []request.DaemonID) *relay.Peer {
	now := time.Now()
	candidates := p.o.Candidates(requestKey)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	if p.inFlight >= p.o.MaxRequests {
		p.o.Metrics.Counter("forwards_over_limit").Inc(1)
		return nil
	}
	options := make([]forward.Peer, len(candidates))
	for i, c := range candidates {
		options[i] = forward.Peer{Name: string(c.ID), Weight: c.Weight, Lost: p.o.HasLost(c.ID, service) || slices.Contains(tried, c.ID)}
		if known := p.peers[c.ID]; known != nil {
			options[i].InFlight = known.inFlight
			options[i].Lost = options[i].Lost || now.Sub(known.refused[service]) < refusalTTL
		}
	}
	n, found := forward.Choose(options, requestKey)
	if !found {
		p.o.Metrics.Counter("forwards_without_peer").Inc(1)
		return nil
	}
	return p.begin(now, candidates[n], service)
}

// begin counts a request as forwarded to a daemon until it ends. The mutex must be held.
func (p *Peers) begin(now time.Time, c Candidate, service routing.ServiceID) *relay.Peer {
	known := p.peers[c.ID]
	if known == nil || known.address != c.Address {
		if known != nil {
			known.pool.Close()
		}
		known = &peerState{
			address: c.Address, pool: upstream.NewPool(c.Address, peerDialTimeout, maxIdlePerPeer), refused: map[routing.ServiceID]time.Time{},
		}
		p.peers[c.ID] = known
	}
	known.inFlight++
	known.usedAt = now
	p.inFlight++
	var once sync.Once
	return &relay.Peer{
		ID: c.ID, Pool: known.pool,
		End: func(unable bool) { once.Do(func() { p.end(known, service, unable) }) },
	}
}

func (p *Peers) end(known *peerState, service routing.ServiceID, unable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known.inFlight--
	p.inFlight--
	if unable {
		known.refused[service] = time.Now()
	}
}

// prune drops daemons that have got no request for a while. The mutex must be held.
func (p *Peers) prune(now time.Time) {
	for id, known := range p.peers {
		if known.inFlight == 0 && now.Sub(known.usedAt) > idleAfter {
			known.pool.Close()
			delete(p.peers, id)
		}
	}
}

// CloseIdle closes idle connections to other daemons.
func (p *Peers) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.pool.CloseIdle()
	}
}

// PeersState is what this daemon forwards, for a state dump.
type PeersState struct {
	InFlight    int                      `json:"in_flight"`
	MaxRequests int                      `json:"max_requests"`
	To          map[request.DaemonID]int `json:"to,omitempty"` // requests in flight, by daemon
}

// State returns what this daemon forwards now.
func (p *Peers) State() PeersState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PeersState{InFlight: p.inFlight, MaxRequests: p.o.MaxRequests, To: map[request.DaemonID]int{}}
	for id, known := range p.peers {
		if known.inFlight > 0 {
			s.To[id] = known.inFlight
		}
	}
	return s
}
