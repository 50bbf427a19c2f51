package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Service runs the membership of one daemon. It implements peer.Gossip and is safe for
// concurrent use.
type Service struct {
	options Options
	log     hclog.Logger
	metrics tally.Scope
	client  *http.Client
	now     func() time.Time
	started time.Time
	met     atomic.Bool // a peer answered

	mu   sync.Mutex // guards node
	node *node

	view  atomic.Pointer[view]
	wake  chan struct{} // urgent news
	pulls chan pull
	slots chan struct{} // one for each exchange under way
	tasks sync.WaitGroup
}

// New returns a Service that does nothing before Run but answer its peers.
func New(o Options) *Service {
	s := &Service{options: withDefaults(o)}
	s.log = s.options.Logger.Named("membership")
	s.metrics = s.options.Metrics
	s.client = s.options.Client
	s.now = s.options.Now
	s.started = s.now()
	s.wake = make(chan struct{}, 1)
	s.pulls = make(chan pull, pullRing)
	s.slots = make(chan struct{}, maxInFlight)
	s.node = newNode(NewCore(s.options.Self, s.options.Seeds, s.options.Params), s.options.Replica, s.options.Findings)
	s.refresh()
	return s
}

// Run exchanges with peers until ctx ends, then waits for what is under way.
func (s *Service) Run(ctx context.Context) error {
	s.tasks.Go(func() { s.runPulls(ctx) })
	if s.options.VMs != nil {
		s.tasks.Go(func() { s.runVMs(ctx) })
	}
	if s.options.Replica != nil {
		s.tasks.Go(func() { s.runTable(ctx) })
	}
	s.tasks.Go(func() { s.runUrgent(ctx) })
	ticker := time.NewTicker(s.options.Params.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.tasks.Wait()
	s.client.CloseIdleConnections()
	return ctx.Err()
}

func (s *Service) tick(ctx context.Context) {
	s.mu.Lock()
	peers := s.node.core.Tick(s.now())
	s.refresh()
	s.mu.Unlock()
	s.begin(ctx, peers)
}

// begin starts exchanges, as far as slots are free.
func (s *Service) begin(ctx context.Context, peers []Peer) {
	for _, to := range peers {
		select {
		case s.slots <- struct{}{}:
		default:
			s.metrics.Counter("exchanges_left_out").Inc(1)
			continue
		}
		s.tasks.Go(func() {
			defer func() { <-s.slots }()
			s.exchange(ctx, to)
		})
	}
}

// exchange makes one exchange and the one that may follow from it.
func (s *Service) exchange(ctx context.Context, to Peer) {
	s.mu.Lock()
	request := s.node.request(to)
	s.mu.Unlock()
	follow, ok := s.send(ctx, to, request)
	if !ok || follow == nil {
		return
	}
	s.send(ctx, to, follow)
}

// send sends one request. The second result is false if it was not answered.
//
// The failure: a connection to the peer went silent while new ones work. The exchange
// then times out, the HTTP client drops the connection of a request that was cancelled,
// and the next try uses a new one; so it takes two failed exchanges to be suspect.
func (s *Service) send(ctx context.Context, to Peer, request *peer.ExchangeRequest) (*peer.ExchangeRequest, bool) {
	call, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
	defer cancel()
	sent := s.now()
	response, err := s.peer(to.Address).Exchange(call, request)
	if err != nil && ctx.Err() != nil {
		return nil, false // this daemon stops; it says nothing about the peer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.refresh()
	if err != nil {
		s.metrics.Counter("exchanges_failed").Inc(1)
		s.log.Debug("Peer did not answer", "peer", to.ID, "address", to.Address, "error", err)
		s.node.core.OnFailure(s.now(), to)
		return nil, false
	}
	s.metrics.Counter("exchanges").Inc(1)
	follow := s.node.onReply(s.now(), sent, to, request, response)
	s.queue(follow.pull)
	return follow.exchange, true
}

func (s *Service) peer(address string) peer.Gossip {
	return peer.NewGossipProtobufClient("http://"+address, s.client)
}

// queue hands a pull to its goroutine. A full ring drops it: the next exchange with any
// peer that has the page brings it up again.
func (s *Service) queue(p *pull) {
	if p == nil {
		return
	}
	select {
	case s.pulls <- *p:
	default:
		s.metrics.Counter("pulls_left_out").Inc(1)
	}
}

func (s *Service) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.pulls:
			s.pull(ctx, p)
		}
	}
}

// pull asks for pages until nothing named is lacking or the peer has nothing more.
func (s *Service) pull(ctx context.Context, p pull) {
	for s.options.Replica.IsBehind(p.want) {
		call, cancel := context.WithTimeout(ctx, s.options.PullTimeout)
		response, err := s.peer(p.from.Address).Pages(call, s.node.pagesRequest())
		cancel()
		if err != nil {
			s.log.Debug("Pages not pulled", "peer", p.from.ID, "error", err)
			return
		}
		if s.options.Replica.Merge(response.Pages) == 0 {
			return
		}
	}
}

// runTable makes a change of the table urgent news.
func (s *Service) runTable(ctx context.Context) {
	for {
		changed := s.options.Replica.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.Urge()
		}
	}
}

// Urge tells a few peers at once of what changed here, for example a new finding.
func (s *Service) Urge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.Urge()
	s.refresh()
}

func (s *Service) runUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		peers := s.node.core.TakeUrgent()
		s.mu.Unlock()
		s.begin(ctx, peers)
		_ = sleep.For(ctx, urgentGap) // the loop asks the context itself
	}
}

// Exchange implements peer.Gossip.
func (s *Service) Exchange(_ context.Context, r *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response, p := s.node.onExchange(s.now(), r)
	s.queue(p)
	s.refresh()
	return response, nil
}

// Pages implements peer.Gossip.
func (s *Service) Pages(_ context.Context, r *peer.PagesRequest) (*peer.PagesResponse, error) {
	return s.node.onPages(r), nil
}
