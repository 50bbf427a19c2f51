// Package store is the client of store VMs (storeapi). It defines the names and manifests
// under which contexts are stored there.
//
// The client never returns freed or corrupt content: every read checks length and digest
// and fails with a *MissError, or with ErrUnavailable where the response may have ended
// early.
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

	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

// Defaults of Options.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 10 * time.Second
	DefaultMaxIdle     = 16
)

// maxContent is the maximum size of content that is read, in bytes.
const maxContent = 16 << 20

// Options configures a Client. Zero durations and counts take the defaults.
type Options struct {
	ID      request.StoreID
	Address string // host:port; the host is an IP number
	Logger  hclog.Logger
	Metrics tally.Scope

	DialTimeout time.Duration
	CallTimeout time.Duration // limit for a complete call
	MaxIdle     int           // maximum number of idle connections
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

// Client calls one store VM. It is safe for concurrent use.
type Client struct {
	o       Options
	log     hclog.Logger
	metrics tally.Scope

	mu   sync.Mutex
	pool *http.Transport
}

// New returns a client, which connects on the first call.
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
		DialContext:            (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    o.MaxIdle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
}

// ID returns the store VM's name.
func (c *Client) ID() request.StoreID { return c.o.ID }

// Address returns the store VM's host:port.
func (c *Client) Address() string { return c.o.Address }

// Close closes idle connections.
func (c *Client) Close() { c.transport().CloseIdleConnections() }

// Pin protects objects from being freed for ttl. A *MissError means that one of them does
// not exist; the objects before it are pinned.
func (c *Client) Pin(ctx context.Context, names []string, ttl time.Duration) error {
	body := storeapi.PinRequest{Names: names, TTLMillis: ttl.Milliseconds()}
	return c.postJSON(ctx, storeapi.PathPin, body)
}

// Tier moves objects to a tier, in order, and stops at the first that cannot be moved.
func (c *Client) Tier(ctx context.Context, names []string, tier storeapi.Tier) error {
	return c.postJSON(ctx, storeapi.PathTier, storeapi.TierRequest{Names: names, Tier: tier})
}

// Delete frees an object, whose name is never used again.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, apiCall{method: http.MethodDelete, path: objectPath(name), name: name})
	return err
}

// Status reads the capacity and the link use of the store VM.
func (c *Client) Status(ctx context.Context) (storeapi.Status, error) {
	var out storeapi.Status
	resp, err := c.do(ctx, apiCall{method: http.MethodGet, path: storeapi.PathStatus})
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(resp.content, &out); err != nil {
		return out, errors.Mark(errors.Wrap(err, "status"), ErrUnavailable)
	}
	return out, nil
}

// List returns at most limit objects whose names begin with prefix and contain the text
// contains, the least recently used first.
func (c *Client) List(ctx context.Context, prefix, contains string, limit int) ([]storeapi.ObjectInfo, error) {
	q := url.Values{"prefix": {prefix}, "contains": {contains}, "limit": {strconv.Itoa(limit)}}
	resp, err := c.do(ctx, apiCall{method: http.MethodGet, path: storeapi.PathList + "?" + q.Encode()})
	if err != nil {
		return nil, err
	}
	var out storeapi.ListResponse
	if err := json.Unmarshal(resp.content, &out); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "list"), ErrUnavailable)
	}
	return out.Objects, nil
}

func (c *Client) put(ctx context.Context, name string, content []byte) error {
	header := http.Header{storeapi.HeaderDigest: {digestOf(content)}}
	_, err := c.do(ctx, apiCall{
		method: http.MethodPut,
		path:   objectPath(name),
		name:   name,
		header: header,
		body:   content,
	})
	return err
}

// get returns an object's content and the length that the store VM accounts for it.
func (c *Client) get(ctx context.Context, name string) (response, int64, error) {
	resp, err := c.do(ctx, apiCall{method: http.MethodGet, path: objectPath(name), name: name})
	if err != nil {
		return response{}, 0, err
	}
	length, err := strconv.ParseInt(resp.header.Get(storeapi.HeaderLength), 10, 64)
	if err != nil {
		return response{}, 0, &MissError{Name: name, Reason: MissCorrupt}
	}
	return resp, length, nil
}

// corruptError returns the error for content that does not match its length or digest. Where only the end of the connection told its end,
// a part of it may be missing, and the object may be sound.
func corruptError(name string, resp response) error {
	if resp.endUnknown {
		return errors.Wrapf(ErrUnavailable, "%s: content ended with its connection", name)
	}
	return &MissError{Name: name, Reason: MissCorrupt}
}

func (c *Client) postJSON(ctx context.Context, path string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "store: encode request")
	}
	_, err = c.do(ctx, apiCall{method: http.MethodPost, path: path, name: path, body: body})
	return err
}

// apiCall is one round trip. Its name identifies the object or path in errors.
type apiCall struct {
	method string
	path   string
	name   string
	header http.Header
	body   []byte
}

type response struct {
	header     http.Header
	content    []byte
	endUnknown bool // there was neither a length nor chunks
}

func (c *Client) do(ctx context.Context, call apiCall) (response, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	c.metrics.Counter("calls").Inc(1)
	transport := c.transport()
	resp, status, err := c.roundTrip(ctx, transport, call)
	if err != nil {
		c.metrics.Counter("failures").Inc(1)
		if ctx.Err() != nil && parent.Err() == nil {
			c.replacePool(transport)
		}
		return response{}, errors.Mark(errors.Wrapf(err, "store %s: %s", c.o.ID, call.method), ErrUnavailable)
	}
	return resp, statusError(call, status)
}

func (c *Client) roundTrip(ctx context.Context, transport *http.Transport, call apiCall) (response, int, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+c.o.Address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return response{}, 0, err
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{}, 0, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxContent))
	return response{header: resp.Header, content: content, endUnknown: framing.EndsWithConnection(resp)}, resp.StatusCode, err
}

// statusError converts an HTTP status into an error. For a freed name, a put fails since
// the name must not be used again, and a read is a miss.
func statusError(call apiCall, status int) error {
	put := call.method == http.MethodPut
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return &MissError{Name: call.name, Reason: MissAbsent}
	case status == http.StatusGone && put, status == http.StatusConflict && put:
		return errors.Wrap(ErrNameTaken, call.name)
	case status == http.StatusGone:
		return &MissError{Name: call.name, Reason: MissFreed}
	case status == http.StatusConflict:
		return errors.Wrap(ErrPinned, call.name)
	case status == http.StatusInsufficientStorage:
		return errors.Wrap(ErrFull, call.name)
	default:
		return errors.Wrapf(ErrUnavailable, "%s: status %d", call.name, status)
	}
}

func (c *Client) transport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// replacePool replaces the connection pool after a call timed out.
//
// It recovers from connections that stay open but never deliver data again while new ones
// work: each call that gets one of them from the pool times out. After the replacement the
// next call makes a new connection. If the store VM is merely slow, only some idle
// connections are lost.
func (c *Client) replacePool(old *http.Transport) {
	c.mu.Lock()
	if c.pool == old {
		c.pool = newTransport(c.o)
	}
	c.mu.Unlock()
	old.CloseIdleConnections()
	c.log.Warn("Call timed out; replaced the connection pool")
}

func objectPath(name string) string { return storeapi.PathObjects + url.PathEscape(name) }

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
