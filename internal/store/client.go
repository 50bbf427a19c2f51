// Package store is the client of store VMs (storeapi), with the names and manifests
// under which contexts are kept there.
//
// Content that is freed or torn is never handed out: every read checks length and
// digest and fails with a typed miss.
package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// Defaults of Options.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 10 * time.Second
	DefaultMaxIdle     = 16
)

// maxContent is the largest content read, in bytes.
const maxContent = 16 << 20

// Options of New. Zero durations and counts take the defaults.
type Options struct {
	ID      request.StoreID
	Address string // host:port, host an IP number
	Logger  hclog.Logger
	Metrics tally.Scope

	DialTimeout time.Duration
	CallTimeout time.Duration // of a whole call
	MaxIdle     int           // idle connections kept
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// Client talks to one store VM. It is safe for concurrent use.
type Client struct {
	o       Options
	log     hclog.Logger
	metrics tally.Scope

	mu   sync.Mutex
	pool *http.Transport
}

// New returns a client; it connects on the first call.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		o:       o,
		log:     o.Logger.Named("store").With("store", o.ID),
		metrics: o.Metrics.SubScope("store"),
		pool:    newTransport(o),
	}
}

func newTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: o.MaxIdle,
		DisableCompression:  true,
	}
}

// ID returns the store VM's name.
func (c *Client) ID() request.StoreID { return c.o.ID }

// Address returns the store VM's host:port.
func (c *Client) Address() string { return c.o.Address }

// Close drops idle connections.
func (c *Client) Close() { c.transport().CloseIdleConnections() }

// Pin keeps objects from being freed for ttl. A *MissError means that one of them is
// not there; those before it are pinned.
func (c *Client) Pin(ctx context.Context, names []string, ttl time.Duration) error {
	body := storeapi.PinRequest{Names: names, TTLMillis: ttl.Milliseconds()}
	return c.postJSON(ctx, storeapi.PathPin, body)
}

// Tier moves objects to a tier, in order, up to the first that cannot be moved.
func (c *Client) Tier(ctx context.Context, names []string, tier storeapi.Tier) error {
	return c.postJSON(ctx, storeapi.PathTier, storeapi.TierRequest{Names: names, Tier: tier})
}

// Delete frees an object; its name is never used again.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, call{method: http.MethodDelete, path: objectPath(name), name: name})
	return err
}

// Status reads room and link use.
func (c *Client) Status(ctx context.Context) (storeapi.Status, error) {
	var out storeapi.Status
	answer, err := c.do(ctx, call{method: http.MethodGet, path: storeapi.PathStatus})
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(answer.content, &out); err != nil {
		return out, errors.Mark(errors.Wrap(err, "status"), ErrUnavailable)
	}
	return out, nil
}

// List returns objects whose names begin with prefix and contain a text, the longest
// unused first.
func (c *Client) List(ctx context.Context, prefix, contains string, limit int) ([]storeapi.ObjectInfo, error) {
	q := url.Values{"prefix": {prefix}, "contains": {contains}, "limit": {strconv.Itoa(limit)}}
	answer, err := c.do(ctx, call{method: http.MethodGet, path: storeapi.PathList + "?" + q.Encode()})
	if err != nil {
		return nil, err
	}
	var out storeapi.ListResponse
	if err := json.Unmarshal(answer.content, &out); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "list"), ErrUnavailable)
	}
	return out.Objects, nil
}

func (c *Client) put(ctx context.Context, name string, content []byte) error {
	header := http.Header{storeapi.HeaderDigest: {digestOf(content)}}
	_, err := c.do(ctx, call{
		method: http.MethodPut,
		path:   objectPath(name),
		name:   name,
		header: header,
		body:   content,
	})
	return err
}

// get returns an object's content and the length that the store VM charges for it.
func (c *Client) get(ctx context.Context, name string) ([]byte, int64, error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(name), name: name})
	if err != nil {
		return nil, 0, err
	}
	length, err := strconv.ParseInt(a.header.Get(storeapi.HeaderLength), 10, 64)
	if err != nil {
		return nil, 0, &MissError{Name: name, Reason: MissCorrupt}
	}
	return a.content, length, nil
}

func (c *Client) postJSON(ctx context.Context, path string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "store: request")
	}
	_, err = c.do(ctx, call{method: http.MethodPost, path: path, name: path, body: body})
	return err
}

// call is one round trip. Name is what a failure is about.
type call struct {
	method string
	path   string
	name   string
	header http.Header
	body   []byte
}

type answer struct {
	header  http.Header
	content []byte
}

func (c *Client) do(ctx context.Context, k call) (answer, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	c.metrics.Counter("calls").Inc(1)
	transport := c.transport()
	a, status, err := c.roundTrip(ctx, transport, k)
	if err != nil {
		c.metrics.Counter("failures").Inc(1)
		if ctx.Err() != nil && parent.Err() == nil {
			c.dropPool(transport)
		}
		return answer{}, errors.Mark(errors.Wrapf(err, "store %s: %s", c.o.ID, k.method), ErrUnavailable)
	}
	return a, failureOf(k, status)
}

func (c *Client) roundTrip(ctx context.Context, transport *http.Transport, k call) (answer, int, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+c.o.Address+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, 0, err
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{}, 0, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxContent))
	return answer{header: resp.Header, content: content}, resp.StatusCode, err
}

// failureOf turns a status into an error. Puts and reads of a freed name differ: the
// one may not use it again, the other must treat it as not there.
func failureOf(k call, status int) error {
	put := k.method == http.MethodPut
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return &MissError{Name: k.name, Reason: MissAbsent}
	case status == http.StatusGone && put, status == http.StatusConflict && put:
		return errors.Wrap(ErrNameTaken, k.name)
	case status == http.StatusGone:
		return &MissError{Name: k.name, Reason: MissFreed}
	case status == http.StatusConflict:
		return errors.Wrap(ErrPinned, k.name)
	case status == http.StatusInsufficientStorage:
		return errors.Wrap(ErrFull, k.name)
	default:
		return errors.Wrapf(ErrUnavailable, "%s: status %d", k.name, status)
	}
}

func (c *Client) transport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// dropPool replaces the pool after a call ran out of time.
//
// The failure: open connections go silent for good while new ones work, so that each
// call that gets one from the pool runs out of time. Why the guard holds: the next
// call makes a new connection; a store VM that is merely slow loses some idle
// connections by it and nothing else.
func (c *Client) dropPool(old *http.Transport) {
	c.mu.Lock()
	if c.pool == old {
		c.pool = newTransport(c.o)
	}
	c.mu.Unlock()
	old.CloseIdleConnections()
	c.log.Warn("Call ran out of time; connections are dropped")
}

func objectPath(name string) string { return storeapi.PathObjects + url.PathEscape(name) }

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
