package loadgen

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	pathRoute    = "/v1/route"
	routeTimeout = 2 * time.Second
	// failedAddressTTL is how long other addresses are preferred to one that failed.
	failedAddressTTL = time.Second
)

// routeResponse is the response of a daemon to a route query.
type routeResponse struct {
	Addresses []string `json:"addresses"` // ip:port, in order of preference
	KeepMs    int64    `json:"keep_ms"`
}

// routeQuery identifies the context or the service whose requests are to be routed.
type routeQuery struct {
	key     string // bearer key
	model   request.Model
	head    string // digest of the first block of the prompt
	service string
}

func completionRoute(key string, model request.Model, prompt string) routeQuery {
	sum := sha256.Sum256([]byte(prompt[:min(len(prompt), block.BytesPerBlock)]))
	return routeQuery{key: key, model: model, head: hex.EncodeToString(sum[:])}
}

func (q routeQuery) encode() string {
	v := url.Values{}
	if q.service != "" {
		v.Set("service", q.service)
		return v.Encode()
	}
	v.Set("model", string(q.model))
	v.Set("head", q.head)
	return v.Encode()
}

type cachedRoute struct {
	addresses []string
	expiresAt time.Time
}

// router looks up routes and caches them for the time that the response allows, as callers
// do.
type router struct {
	daemons []string
	client  *http.Client

	mu          sync.Mutex
	nextDaemon  int // index of the daemon that receives the next lookup
	routes      map[routeQuery]cachedRoute
	failedUntil map[string]time.Time // address -> end of its failedAddressTTL
}

func newRouter(daemons []string, transport http.RoundTripper) *router {
	return &router{
		daemons:     daemons,
		client:      &http.Client{Transport: transport, Timeout: routeTimeout},
		routes:      make(map[routeQuery]cachedRoute),
		failedUntil: make(map[string]time.Time),
	}
}

// address returns the address to use for the next attempt.
func (r *router) address(ctx context.Context, q routeQuery) string {
	addresses := r.cached(q)
	if len(addresses) == 0 {
		addresses = r.fetch(ctx, q)
	}
	return r.best(append(addresses, r.daemons...))
}

func (r *router) cached(q routeQuery) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	route := r.routes[q]
	if time.Now().After(route.expiresAt) {
		return nil
	}
	return route.addresses
}

// best returns the first address without a recent failure. If every address has one, it
// returns the address whose failure is the oldest.
func (r *router) best(addresses []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	best := addresses[0]
	for _, a := range addresses {
		if !now.Before(r.failedUntil[a]) {
			return a
		}
		if r.failedUntil[a].Before(r.failedUntil[best]) {
			best = a
		}
	}
	return best
}

// markFailed records that an attempt at an address got no response.
func (r *router) markFailed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedUntil[address] = time.Now().Add(failedAddressTTL)
}

// fetch looks up a route at one daemon after another until one returns addresses.
func (r *router) fetch(ctx context.Context, q routeQuery) []string {
	r.mu.Lock()
	first := r.nextDaemon
	r.nextDaemon++
	r.mu.Unlock()
	for i := range r.daemons {
		daemon := r.daemons[(first+i)%len(r.daemons)]
		response, err := r.fetchFrom(ctx, daemon, q)
		if err != nil || len(response.Addresses) == 0 {
			continue
		}
		ttl := time.Duration(response.KeepMs) * time.Millisecond
		r.mu.Lock()
		r.routes[q] = cachedRoute{addresses: response.Addresses, expiresAt: time.Now().Add(ttl)}
		r.mu.Unlock()
		return response.Addresses
	}
	return nil
}

func (r *router) fetchFrom(ctx context.Context, daemon string, q routeQuery) (routeResponse, error) {
	var response routeResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon+pathRoute+"?"+q.encode(), nil)
	if err != nil {
		return response, err
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	resp, err := r.client.Do(req)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response, errors.Newf("route lookup: status %d", resp.StatusCode)
	}
	return response, json.NewDecoder(resp.Body).Decode(&response)
}
