package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
)

const (
	defaultTimeout  = time.Second
	slowDivisor     = 4 // a response is slow after the timeout divided by this
	maxReadAttempts = 3
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = time.Second
)

// Options configures a Client.
type Options struct {
	Addresses       []string      // host:port with an IP address as host; tried in turn
	ClientID        string        // identifies this daemon in the key-value service's statistics
	Timeout         time.Duration // of one attempt; zero: 1 s
	ReadsPerSecond  float64       // call budget; zero: unlimited
	WritesPerSecond float64       // call budget; zero: unlimited
	Logger          hclog.Logger
	Metrics         tally.Scope
}

// Client implements KV over HTTP. During a long outage reads fail with ErrUnavailable after a few
// attempts. Writes fail with ErrUnavailable if no attempt left this process, and otherwise with
// ErrUncertain when their context ends. Every write therefore needs a deadline.
type Client struct {
	transport *transport
	health    *healthTracker
	reads     *rate.Limiter
	writes    *rate.Limiter
	timeout   time.Duration
	chains    *chainCache
	logger    hclog.Logger
	metrics   tally.Scope
}

var _ KV = (*Client)(nil)

// NewClient returns a client, which connects on the first call.
func NewClient(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	health := &healthTracker{slowAfter: opts.Timeout / slowDivisor}
	return &Client{
		transport: newTransport(opts, health),
		health:    health,
		reads:     newBudget(opts.ReadsPerSecond),
		writes:    newBudget(opts.WritesPerSecond),
		timeout:   opts.Timeout,
		chains:    newChainCache(),
		logger:    opts.Logger.Named("platform"),
		metrics:   opts.Metrics.SubScope("platform"),
	}
}

func newBudget(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Health returns the health of the key-value service, derived from recent calls.
func (c *Client) Health() Health { return c.health.health() }

// Close closes idle connections.
func (c *Client) Close() { c.transport.http.HTTP.CloseIdleConnections() }

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r := request{method: http.MethodGet, path: kvapi.PathGet, query: url.Values{"key": {key}}}
	resp, err := c.read(ctx, r)
	if err != nil {
		return Entry{}, err
	}
	if resp.status == http.StatusNotFound {
		return Entry{}, ErrNotFound
	}
	var e kvapi.Entry
	if err := resp.decode(&e); err != nil {
		return Entry{}, err
	}
	return c.unwrap(e), nil
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	r := request{method: http.MethodGet, path: kvapi.PathList, query: url.Values{"prefix": {prefix}}}
	resp, err := c.read(ctx, r)
	if err != nil {
		return nil, 0, err
	}
	var out kvapi.ListResponse
	if err := resp.decode(&out); err != nil {
		return nil, 0, err
	}
	return c.unwrapAll(out.Entries), Revision(out.Revision), nil
}

// Watch implements KV. The client does not retry it, since callers repeat watches anyway.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	if err := c.waitBudget(ctx, c.reads); err != nil {
		return nil, 0, err
	}
	r := request{
		method: http.MethodGet,
		path:   kvapi.PathWatch,
		query: url.Values{
			"prefix":  {prefix},
			"after":   {strconv.FormatUint(uint64(after), 10)},
			"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
		wait: wait,
	}
	resp, err := c.transport.attempt(ctx, r)
	if err != nil {
		return nil, 0, err
	}
	var out kvapi.WatchResponse
	if err := resp.decode(&out); err != nil {
		return nil, 0, err
	}
	return c.unwrapAll(out.Entries), Revision(out.Revision), nil
}

// GrantLease implements KV. If the response to a grant is lost, the lease expires unused.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out kvapi.LeaseResponse
	err := c.lease(ctx, kvapi.PathGrant, kvapi.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &out)
	return LeaseID(out.ID), err
}

// KeepAlive implements KV. The call budget does not apply to it: losing a lease because the budget
// is exhausted would cost more calls than it saves.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.lease(ctx, kvapi.PathKeepAlive, kvapi.LeaseRequest{ID: string(id)}, nil)
}

// RevokeLease implements KV.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.lease(ctx, kvapi.PathRevoke, kvapi.LeaseRequest{ID: string(id)}, nil)
}

func (c *Client) lease(ctx context.Context, path string, body kvapi.LeaseRequest, out *kvapi.LeaseResponse) error {
	c.metrics.Counter("writes").Inc(1)
	resp, err := c.retry(ctx, request{method: http.MethodPost, path: path, body: body})
	if err != nil {
		return err
	}
	if resp.status == http.StatusNotFound {
		return ErrNotFound
	}
	if out == nil {
		return nil
	}
	return resp.decode(out)
}

func (c *Client) read(ctx context.Context, r request) (response, error) {
	if err := c.waitBudget(ctx, c.reads); err != nil {
		return response{}, err
	}
	c.metrics.Counter("reads").Inc(1)
	return c.retry(ctx, r)
}

// retry sends an idempotent call up to maxReadAttempts times.
func (c *Client) retry(ctx context.Context, r request) (response, error) {
	op := func() (response, error) { return c.transport.attempt(ctx, r) }
	resp, err := backoff.Retry(ctx, op, backoff.WithBackOff(newBackOff()), backoff.WithMaxTries(maxReadAttempts))
	if err != nil {
		return response{}, errors.Mark(err, ErrUnavailable)
	}
	return resp, nil
}

// waitBudget waits at most the timeout of one attempt for the call budget.
func (c *Client) waitBudget(ctx context.Context, budget *rate.Limiter) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := budget.Wait(ctx); err != nil {
		c.metrics.Counter("over_budget").Inc(1)
		return errors.Mark(err, ErrBudget)
	}
	return nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}

// unwrap takes a value out of its envelope and caches the chain of its writes.
func (c *Client) unwrap(e kvapi.Entry) Entry {
	out := toEntry(e)
	if e.Deleted {
		return out
	}
	env := decodeEnvelope(e.Value)
	c.chains.put(e.Key, out.Revision, env)
	out.Value = env.payload
	return out
}

func (c *Client) unwrapAll(in []kvapi.Entry) []Entry {
	out := make([]Entry, 0, len(in))
	for _, e := range in {
		out = append(out, c.unwrap(e))
	}
	return out
}
