// Package routing holds one version of the operators' desired state, indexed for matching requests:
// routes by host and path, organisations by key, and services.
//
// A Snapshot is immutable, so that a request sees the same version from its beginning to its end.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Kind defines how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	KindIdempotent Kind = "idempotent" // may run more than once
	KindOnce       Kind = "once"       // may run at most once
	KindStream     Kind = "stream"     // answers with events; runs at most once unless Resumable
)

// ServiceID identifies a service of the desired state.
type ServiceID string

// Region is the name of a region.
type Region string

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service ServiceID
	Weight  float64
}

// Route defines where the requests under a path prefix go and how long they may take.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream may be continued at another replica
	Timeout     time.Duration // longest time that a caller waits for an answer
	Objective   time.Duration // latency objective for the answer, or for the first event of a stream
	Patience    time.Duration // callers abandon a response that has not begun after this time; zero: only their timeout applies
	MaxEventGap time.Duration // between two events of a healthy stream; zero: unknown
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // maximum number of attempts that may have run the request; the relay bounds those that certainly did not
	Anonymous   bool          // requests need no key
	Shares      []Share       // at least one entry
	Homes       []Region      // regions where requests may go; empty: anywhere
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.HasResumableStreams()
}

// HasResumableStreams reports whether the route's streams may be continued at another replica.
func (r *Route) HasResumableStreams() bool { return r.Kind == KindStream && r.Resumable }

// ServiceFor returns the service that handles a request. The same key maps to the same service as long
// as the shares do not change.
func (r *Route) ServiceFor(key string) ServiceID {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var total float64
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	const buckets = 1 << 20 // a resolution of one in a million
	at := float64(xxhash.Sum64String(key)%buckets) / buckets * total
	for _, s := range r.Shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model replicas of a service.
type Engine struct {
	Slots         int     // requests in one batch
	MemoryTokens  int     // KV cache capacity of one replica
	TokenBytes    int     // KV cache size of one token
	LinkMbps      float64 // bandwidth of a replica's link
	Models        []request.Model
	MaxFollowers  int  // event followers that a replica accepts at once
	ManagedStores bool // daemons manage the space of the stores, and each part may have its own store
}

// ContextStore describes a store of KV cache.
type ContextStore struct {
	Address        string
	FailureDomain  string
	CapacityTokens int
	LinkMbps       float64 // shared by all transfers
	FirstByte      time.Duration
	Managed        bool // nothing is evicted unless a daemon frees it
}

// Service is a set of replicas, or one context store.
type Service struct {
	ID         ServiceID
	HealthPath string
	MaxConns   int           // connections to one replica, from all daemons together
	Engine     *Engine       // nil for plain services
	Store      *ContextStore // nil for replicas
	ColdStart  ColdStart
	// MaxEventGap is the shortest of the MaxEventGaps of its routes; zero: no route has one. NewSnapshot sets it.
	MaxEventGap time.Duration
	// Resumable reports whether streams of one of its routes may be resumed. NewSnapshot sets it.
	Resumable bool
	// HasObjectives reports whether one of its routes has a latency objective. NewSnapshot sets it.
	HasObjectives bool
}

// ColdStart describes how replicas behave after a start. The zero value means that a new replica is as
// fast as any other.
type ColdStart struct {
	Duration  time.Duration // counted from the start
	PerSecond float64       // requests that a cold replica accepts from all daemons together; zero: as many as a warm one
}

// Org is an organisation.
type Org struct {
	ID          request.OrgID
	Priority    int // overrides the route's priority if HasPriority is set
	HasPriority bool
	Isolated    bool     // shares no KV cache with other organisations
	Homes       []Region // regions where its requests may go; empty: anywhere
}

// AllowedIn reports whether requests of a route and an organisation may go to a region. org is nil if
// there is none. If both have home regions, both restrict the request.
func AllowedIn(region Region, route *Route, org *Org) bool {
	return allows(route.Homes, region) && (org == nil || allows(org.Homes, region))
}

func allows(homes []Region, region Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// CallerLimits bound the requests of a caller.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Snapshot is one version of the desired state.
type Snapshot struct {
	Version  uint64
	Services map[ServiceID]*Service
	Limits   CallerLimits
	// LongestResumable is the longest timeout of the routes whose streams may be resumed; zero: there is none.
	LongestResumable time.Duration

	byHost map[string][]*Route // longest prefix first
	orgs   *Organisations
}

// Organisations are the organisations of a desired state.
type Organisations struct {
	all  []*Org // also those without a key
	keys map[string]*Org
}

// Add adds an organisation, which holds some keys.
func (o *Organisations) Add(org *Org, keys ...string) {
	o.all = append(o.all, org)
	if o.keys == nil {
		o.keys = make(map[string]*Org)
	}
	for _, key := range keys {
		o.keys[key] = org
	}
}

// NewSnapshot builds a snapshot. orgs is nil if the desired state has no organisations and no request needs a key.
func NewSnapshot(version uint64, routes []*Route, services []*Service, orgs *Organisations, limits CallerLimits) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Services: make(map[ServiceID]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		orgs:     orgs,
	}
	for _, service := range services {
		s.Services[service.ID] = service
	}
	for _, r := range routes {
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
		s.addObjectives(r)
		s.addResumable(r)
	}
	for _, hostRoutes := range s.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return s
}

// addResumable updates LongestResumable, and Resumable of the services of a route.
func (s *Snapshot) addResumable(r *Route) {
	if !r.HasResumableStreams() {
		return
	}
	s.LongestResumable = max(s.LongestResumable, r.Timeout)
	for _, share := range r.Shares {
		if service := s.Services[share.Service]; service != nil {
			service.Resumable = true
		}
	}
}

// addObjectives updates MaxEventGap and HasObjectives of the services of a route.
func (s *Snapshot) addObjectives(r *Route) {
	for _, share := range r.Shares {
		service := s.Services[share.Service]
		if service == nil {
			continue
		}
		service.HasObjectives = service.HasObjectives || r.Objective > 0 || r.MaxEventGap > 0
		if r.MaxEventGap <= 0 {
			continue
		}
		if service.MaxEventGap == 0 || r.MaxEventGap < service.MaxEventGap {
			service.MaxEventGap = r.MaxEventGap
		}
	}
}

// Match returns the route with the longest prefix of the path, nil if there is none. path must be
// escaped, as it was received.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a host, longest prefix first. It ignores a port in host.
func (s *Snapshot) routesOf(host string) []*Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return s.byHost[strings.ToLower(host)]
}

// HomesOf returns the home regions of all routes of a host, empty if no route has any.
func (s *Snapshot) HomesOf(host string) []Region {
	var homes []Region
	for _, r := range s.routesOf(host) {
		for _, home := range r.Homes {
			if !slices.Contains(homes, home) {
				homes = append(homes, home)
			}
		}
	}
	return homes
}

// OrgOf returns the organisation that holds a key, nil if none does.
func (s *Snapshot) OrgOf(key string) *Org {
	if s.orgs == nil {
		return nil
	}
	return s.orgs.keys[key]
}

// Organisations returns all organisations, also those without a key.
func (s *Snapshot) Organisations() []*Org {
	if s.orgs == nil {
		return nil
	}
	return s.orgs.all
}

// NeedsKey reports whether requests of a route need a key.
func (s *Snapshot) NeedsKey(r *Route) bool { return s.orgs != nil && !r.Anonymous }

// Stores returns the context stores, ordered by id.
func (s *Snapshot) Stores() []*Service {
	var stores []*Service
	for _, service := range s.Services {
		if service.Store != nil {
			stores = append(stores, service)
		}
	}
	slices.SortFunc(stores, func(a, b *Service) int { return cmp.Compare(a.ID, b.ID) })
	return stores
}
