// Package routing holds one version of the operators' desired state in the form in which
// requests are matched against it: routes by host and path, organisations by key, and
// services.
//
// A Snapshot is immutable, so a request that began under one version ends under it.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Kind says how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	KindIdempotent Kind = "idempotent" // may run more than once
	KindOnce       Kind = "once"       // may run at most once
	KindStream     Kind = "stream"     // answers with events; runs at most once unless Resumable
)

// ServiceID names a service of the desired state.
type ServiceID string

// Region names a region.
type Region string

// Share is one service's part of a route's requests.
type Share struct {
	Service ServiceID
	Weight  float64
}

// Route says where requests below a path go and how long they may take.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream may be continued at another replica
	Timeout     time.Duration // the longest time a caller is kept waiting
	Objective   time.Duration // until the answer, or the first event of a stream
	MaxEventGap time.Duration // between two events of a stream that is on time; zero: not told
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // replicas to which one request may be sent
	Anonymous   bool          // no key is asked for
	Shares      []Share       // one entry or more
	Homes       []Region      // where its requests may go; empty: anywhere
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// ServiceFor returns the service that takes a request. The same key always falls to the
// same service while the weights stay.
func (r *Route) ServiceFor(key string) ServiceID {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var total float64
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	const buckets = 1 << 20 // resolution of the split, one in a million
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
	MemoryTokens  int     // KV cache of one replica
	TokenBytes    int     // KV cache of one token
	LinkMbps      float64 // of a replica
	Models        []request.Model
	MaxFollowers  int  // event followers that a replica bears at once
	ManagedStores bool // stores are freed by us, and each part may name its own
}

// ContextStore describes a store of KV cache.
type ContextStore struct {
	Address        string
	FailureDomain  string
	CapacityTokens int     // room
	LinkMbps       float64 // shared by all transfers
	FirstByte      time.Duration
	Managed        bool // nothing is dropped unless we free it
}

// Service is a set of replicas, or one store.
type Service struct {
	ID         ServiceID
	HealthPath string
	MaxConns   int           // connections to one replica, over all daemons
	Engine     *Engine       // nil for plain services
	Store      *ContextStore // nil for replicas
	ColdStart  ColdStart
}

// ColdStart describes replicas that have just started. The zero ColdStart: they are as good as any.
type ColdStart struct {
	Duration  time.Duration // from the start
	PerSecond float64       // requests that one bears meanwhile, over all daemons; zero: as many as any
}

// Org is an organisation.
type Org struct {
	ID          request.OrgID
	Priority    int      // goes before a route's, if HasPriority
	HasPriority bool     // Priority is set
	Isolated    bool     // shares no KV cache with others
	Homes       []Region // where its requests may go; empty: anywhere
}

// AllowedIn reports whether requests of a route and an organisation, nil if there is none, may go
// to a region. Where both have homes, both bind.
func AllowedIn(region Region, route *Route, org *Org) bool {
	return allows(route.Homes, region) && (org == nil || allows(org.Homes, region))
}

func allows(homes []Region, region Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// CallerLimits bound what a caller may send.
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

	byHost map[string][]*Route // longest prefix first
	keys   map[string]*Org
	keyed  bool
}

// NewSnapshot builds a snapshot. keys maps a key to its organisation; nil means that the
// desired state has no organisations, and no request needs a key.
func NewSnapshot(version uint64, routes []*Route, services []*Service, keys map[string]*Org, limits CallerLimits) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Services: make(map[ServiceID]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		keys:     keys,
		keyed:    keys != nil,
	}
	for _, service := range services {
		s.Services[service.ID] = service
	}
	for _, r := range routes {
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
	}
	for _, of := range s.byHost {
		slices.SortStableFunc(of, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return s
}

// Match returns the route with the longest prefix that begins the path, nil if there is
// none. The path is taken as it was sent, still escaped.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a host, longest prefix first. A port that the host names is no part
// of it.
func (s *Snapshot) routesOf(host string) []*Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return s.byHost[strings.ToLower(host)]
}

// HomesOf returns the regions that are homes of some route of a host; empty if none has homes.
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
func (s *Snapshot) OrgOf(key string) *Org { return s.keys[key] }

// NeedsKey reports whether requests of a route need a key.
func (s *Snapshot) NeedsKey(r *Route) bool { return s.keyed && !r.Anonymous }

// Stores returns the context stores, in the order of their ids.
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
