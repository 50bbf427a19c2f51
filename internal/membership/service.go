package membership

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// Defaults of the shell.
const (
	defaultExchangeTimeout = time.Second
	defaultPullTimeout     = 5 * time.Second
	defaultVMInterval      = 10 * time.Second
	// urgentGap is the least time between two rounds of urgent exchanges, so that a
	// large edit of the table does not flood the peers.
	urgentGap = 20 * time.Millisecond
	// maxInFlight bounds the exchanges under way; further ones are left out, and later
	// rounds repair it.
	maxInFlight = 32
	// pullRing bounds the pulls that wait.
	pullRing = 64
	// entryRole is the role of daemons' VMs in the VM list.
	entryRole = "entry"
)

// Options configures a Service.
type Options struct {
	Self     *peer.Member // the incarnation is set at the start if it is 0
	Seeds    []string     // peer addresses, host:port
	Replica  Table        // may be nil
	Findings Findings     // may be nil
	VMs      platform.VMList
	Client   *http.Client // nil: a client of its own
	Logger   hclog.Logger
	Metrics  tally.Scope
	Now      func() time.Time // nil: time.Now
	Params   Params

	ExchangeTimeout time.Duration // 0: 1 s
	PullTimeout     time.Duration // 0: 5 s
	VMInterval      time.Duration // 0: 10 s
}

// Service runs the membership of one daemon. It implements peer.Gossip and is safe for
// concurrent use.
type Service struct {
	options Options
	log     hclog.Logger
	metrics tally.Scope
	client  *http.Client
	now     func() time.Time

	mu   sync.Mutex // guards node
	node *node

	view  atomic.Pointer[view]
	wake  chan struct{} // urgent news
	pulls chan pull
	slots chan struct{} // one for each exchange under way
	tasks sync.WaitGroup
}

// view is what Members and Live return, made when the Core changes.
type view struct {
	changes uint64
	self    *peer.Member
	members []*peer.Member
	live    []*peer.Member
}

// New returns a Service that does nothing before Run but answer its peers.
func New(o Options) *Service {
	s := &Service{options: withDefaults(o)}
	s.log = s.options.Logger
	s.metrics = s.options.Metrics
	s.client = s.options.Client
	s.now = s.options.Now
	s.wake = make(chan struct{}, 1)
	s.pulls = make(chan pull, pullRing)
	s.slots = make(chan struct{}, maxInFlight)
	s.node = newNode(NewCore(s.options.Self, s.options.Seeds, s.options.Params), s.options.Replica, s.options.Findings)
	s.refresh()
	return s
}

func withDefaults(o Options) Options {
	o.Params = o.Params.withDefaults()
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(o.Now().UnixNano())
	}
	if o.Params.Seed == 0 {
		o.Params.Seed = o.Self.Incarnation
	}
	set := func(d *time.Duration, fallback time.Duration) {
		if *d == 0 {
			*d = fallback
		}
	}
	set(&o.ExchangeTimeout, defaultExchangeTimeout)
	set(&o.PullTimeout, defaultPullTimeout)
	set(&o.VMInterval, defaultVMInterval)
	return o
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
		s.log.Debug("no answer", "peer", to.ID, "address", to.Address, "error", err)
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
	for s.options.Replica.Lacks(p.want) {
		call, cancel := context.WithTimeout(ctx, s.options.PullTimeout)
		response, err := s.peer(p.from.Address).Pages(call, s.node.pagesRequest())
		cancel()
		if err != nil {
			s.log.Debug("pages not pulled", "peer", p.from.ID, "error", err)
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
		pause(ctx, urgentGap)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runVMs reads the platform's VM list now and then. While it can't be read, the members
// known so far stay.
func (s *Service) runVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := s.options.VMs.VMs(ctx)
		if err == nil {
			s.takeVMs(vms)
		} else if ctx.Err() == nil {
			s.log.Warn("no VM list", "error", err)
		}
		pause(ctx, s.options.VMInterval)
	}
}

func (s *Service) takeVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.SetVMs(s.now(), peerAddresses(vms, s.options.Self.PeerAddress))
	s.refresh()
}

// peerAddresses returns the peer addresses of the entry VMs. The VM list has IP numbers;
// all daemons of a deployment use the same peer port as this one. An address that brings
// its own port keeps it.
func peerAddresses(vms []platform.VM, self string) []string {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Role != entryRole {
			continue
		}
		address := vm.Address
		if _, _, err := net.SplitHostPort(address); err != nil {
			address = net.JoinHostPort(vm.Address, port)
		}
		addresses = append(addresses, address)
	}
	return addresses
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

// refresh publishes the view if it changed and wakes the urgent exchanges. Callers hold
// mu, but for New.
func (s *Service) refresh() {
	core := s.node.core
	if core.urgent {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	old := s.view.Load()
	if old != nil && old.changes == core.Changes() {
		return
	}
	fresh := &view{changes: core.Changes(), self: core.Self(), members: core.Members()}
	for _, m := range fresh.members {
		if m.State == alive || m.State == suspect {
			fresh.live = append(fresh.live, m)
		}
	}
	s.view.Store(fresh)
	s.metrics.Gauge("members_live").Update(float64(len(fresh.live)))
	if old != nil && len(old.live) != len(fresh.live) {
		s.log.Info("members changed", "live", len(fresh.live), "known", len(fresh.members))
	}
	if core.Replaced() {
		s.log.Error("another process runs under this id", "id", core.self.Id)
	}
}

// Members returns all known daemons, ordered by id. The caller must not change them.
func (s *Service) Members() []*peer.Member { return s.view.Load().members }

// Live returns the daemons that may have a place, this one included, ordered by id: those
// alive, and suspects, which get the benefit of the doubt until they are dead. Leaving
// daemons are not among them. The caller must not change them.
func (s *Service) Live() []*peer.Member { return s.view.Load().live }

// Self returns this daemon's own record.
func (s *Service) Self() *peer.Member { return s.view.Load().self }

// Place returns the live daemon that has a key's place; nil if none is live, which can
// only be while this daemon leaves.
func (s *Service) Place(key string) *peer.Member { return Place(s.Live(), key) }

// Rank returns the first n live daemons for a key, the place first.
func (s *Service) Rank(key string, n int) []*peer.Member { return Rank(s.Live(), key, n) }

// Among tells whether this daemon is one of the first n for a key among the live daemons
// of its region. It chooses the few that watch the table.
func (s *Service) Among(key string, n int) bool {
	self := s.Self()
	var region []*peer.Member
	for _, m := range s.Live() {
		if m.Region == self.Region {
			region = append(region, m)
		}
	}
	for _, m := range Rank(region, key, n) {
		if m.Id == self.Id {
			return true
		}
	}
	return false
}

// Leave announces that this daemon stops; it holds for the rest of the incarnation. Run
// must go on for a few intervals, so that the peers hear of it.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.Leave()
	s.refresh()
}
