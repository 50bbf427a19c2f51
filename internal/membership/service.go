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

// Service runs the membership protocol of one daemon. It implements peer.Gossip and is safe
// for concurrent use.
type Service struct {
	options   Options
	log       hclog.Logger
	metrics   tally.Scope
	client    *http.Client
	now       func() time.Time
	started   time.Time
	contacted atomic.Bool // whether a peer has answered

	mu   sync.Mutex // guards node
	node *node

	view  atomic.Pointer[view]
	wake  chan struct{} // signals pending urgent exchanges
	pulls chan pull
	slots chan struct{} // holds one element for each exchange in flight
	tasks sync.WaitGroup
}

// New returns a Service that only answers its peers until Run is called.
func New(o Options) *Service {
	s := &Service{options: withDefaults(o)}
	s.log = s.options.Logger.Named("membership")
	s.metrics = s.options.Metrics
	s.client = s.options.Client
	s.now = s.options.Now
	s.started = s.now()
	s.wake = make(chan struct{}, 1)
	s.pulls = make(chan pull, pullQueueSize)
	s.slots = make(chan struct{}, maxInFlight)
	s.node = newNode(NewCore(s.options.Self, s.options.Seeds, s.options.Params), s.options.Table, s.options.CrashRecords)
	s.refresh()
	return s
}

// Run exchanges with peers until ctx ends, then waits for its tasks to return.
func (s *Service) Run(ctx context.Context) error {
	s.tasks.Go(func() { s.runPulls(ctx) })
	if s.options.VMs != nil {
		s.tasks.Go(func() { s.runVMs(ctx) })
	}
	if s.options.Table != nil {
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
	s.startExchanges(ctx, peers)
}

// startExchanges starts an exchange with each peer while slots are free.
func (s *Service) startExchanges(ctx context.Context, peers []Peer) {
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

// exchange performs an exchange and the follow-up exchange that it may require.
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

// send sends one request and returns the request that follows from the response, if any.
// The second result is false if the peer did not answer.
//
// A connection to the peer may hang while new ones work. The exchange then times out, the
// HTTP client closes the connection of the cancelled request, and the next attempt opens a
// new one. For this reason a member becomes suspect only after two failed exchanges.
func (s *Service) send(ctx context.Context, to Peer, request *peer.ExchangeRequest) (*peer.ExchangeRequest, bool) {
	callCtx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
	defer cancel()
	sent := s.now()
	response, err := s.peer(to.Address).Exchange(callCtx, request)
	if err != nil && ctx.Err() != nil {
		return nil, false // this daemon is stopping; the error says nothing about the peer
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
	s.enqueuePull(follow.pull)
	return follow.exchange, true
}

func (s *Service) peer(address string) peer.Gossip {
	return peer.NewGossipProtobufClient("http://"+address, s.client)
}

// enqueuePull queues a pull for runPulls and drops it if the queue is full: the next
// exchange with any peer that has the page requests the pull again.
func (s *Service) enqueuePull(p *pull) {
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

// pull requests pages until the table has all pages of p.want or the peer returns no newer
// ones.
func (s *Service) pull(ctx context.Context, p pull) {
	for s.options.Table.IsBehind(p.want) {
		call, cancel := context.WithTimeout(ctx, s.options.PullTimeout)
		response, err := s.peer(p.from.Address).Pages(call, s.node.pagesRequest())
		cancel()
		if err != nil {
			s.log.Debug("Failed to pull table pages", "peer", p.from.ID, "error", err)
			return
		}
		if s.options.Table.Merge(response.Pages) == 0 {
			return
		}
	}
}

// runTable triggers urgent exchanges whenever the table changes.
func (s *Service) runTable(ctx context.Context) {
	for {
		changed := s.options.Table.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.GossipNow()
		}
	}
}

// GossipNow starts exchanges with a few peers at once to spread a local change, such as a
// new crash record.
func (s *Service) GossipNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.MarkUrgent()
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
		s.startExchanges(ctx, peers)
		_ = sleep.For(ctx, minUrgentInterval) // the loop checks ctx
	}
}

// Exchange implements peer.Gossip.
func (s *Service) Exchange(_ context.Context, r *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response, p := s.node.onExchange(s.now(), r)
	s.enqueuePull(p)
	s.refresh()
	return response, nil
}

// Pages implements peer.Gossip.
func (s *Service) Pages(_ context.Context, r *peer.PagesRequest) (*peer.PagesResponse, error) {
	return s.node.onPages(r), nil
}
