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
	// suspectFor is how long an address that failed is turned to last.
	suspectFor = time.Second
)

// routeAnswer is the answer to a route question.
type routeAnswer struct {
	Addresses []string `json:"addresses"` // ip:port, best first
	KeepMs    int64    `json:"keep_ms"`
}

// routeQuestion asks where to send requests about one context or to one service.
type routeQuestion struct {
	key     string // bearer key
	model   request.Model
	head    string // digest of the prompt's head
	service string
}

func completionRoute(key string, model request.Model, prompt string) routeQuestion {
	sum := sha256.Sum256([]byte(prompt[:min(len(prompt), block.BytesPerBlock)]))
	return routeQuestion{key: key, model: model, head: hex.EncodeToString(sum[:])}
}

func (q routeQuestion) query() string {
	v := url.Values{}
	if q.service != "" {
		v.Set("service", q.service)
		return v.Encode()
	}
	v.Set("model", string(q.model))
	v.Set("head", q.head)
	return v.Encode()
}

type keptRoute struct {
	addresses []string
	until     time.Time
}

// router keeps route answers for as long as they say, as callers do.
type router struct {
	daemons []string
	client  *http.Client

	mu       sync.Mutex
	first    int // daemon to ask next
	routes   map[routeQuestion]keptRoute
	suspects map[string]time.Time // address -> until when
}

func newRouter(daemons []string, transport http.RoundTripper) *router {
	return &router{
		daemons:  daemons,
		client:   &http.Client{Transport: transport, Timeout: routeTimeout},
		routes:   make(map[routeQuestion]keptRoute),
		suspects: make(map[string]time.Time),
	}
}

// address returns where to send a request now.
func (r *router) address(ctx context.Context, q routeQuestion) string {
	addresses := r.kept(q)
	if len(addresses) == 0 {
		addresses = r.ask(ctx, q)
	}
	return r.best(append(addresses, r.daemons...))
}

func (r *router) kept(q routeQuestion) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	route := r.routes[q]
	if time.Now().After(route.until) {
		return nil
	}
	return route.addresses
}

// best returns the first address that did not fail of late, or the one that failed
// longest ago.
func (r *router) best(addresses []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	best := addresses[0]
	for _, a := range addresses {
		if !now.Before(r.suspects[a]) {
			return a
		}
		if r.suspects[a].Before(r.suspects[best]) {
			best = a
		}
	}
	return best
}

// fail notes that an address did not answer.
func (r *router) fail(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[address] = time.Now().Add(suspectFor)
}

// ask puts the question to one daemon after the other.
func (r *router) ask(ctx context.Context, q routeQuestion) []string {
	r.mu.Lock()
	first := r.first
	r.first++
	r.mu.Unlock()
	for i := range r.daemons {
		daemon := r.daemons[(first+i)%len(r.daemons)]
		answer, err := r.askOne(ctx, daemon, q)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		keep := time.Duration(answer.KeepMs) * time.Millisecond
		r.mu.Lock()
		r.routes[q] = keptRoute{addresses: answer.Addresses, until: time.Now().Add(keep)}
		r.mu.Unlock()
		return answer.Addresses
	}
	return nil
}

func (r *router) askOne(ctx context.Context, daemon string, q routeQuestion) (routeAnswer, error) {
	var answer routeAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon+pathRoute+"?"+q.query(), nil)
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	resp, err := r.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Newf("route: status %d", resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}
