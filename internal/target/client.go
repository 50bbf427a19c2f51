// Package target is the client of targets: model engines (engineapi) and plain
// services.
//
// Every error states whether the request certainly did not start (NotStarted), since only
// then may a call that is not repeatable be sent again. net/http retries some requests
// automatically; connections.go describes how this package prevents that.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Defaults of Options.
const (
	DefaultDialTimeout       = time.Second
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultStreamIdleTimeout = 5 * time.Second
	DefaultServiceTimeout    = 30 * time.Second
	DefaultMaxIdle           = 64
	DefaultMaxBody           = 8 << 20
)

// maxErrorBody is the maximum number of bytes read of an error response.
const maxErrorBody = 64 << 10

// Options configures a Client. Zero durations and counts take the defaults.
type Options struct {
	ID      request.TargetID
	Address string // host:port; the host is an IP number
	Logger  hclog.Logger
	Metrics tally.Scope

	DialTimeout       time.Duration // limit for making a connection
	HeaderTimeout     time.Duration // limit from a connection to the response header; not for exports, imports and service calls
	StreamIdleTimeout time.Duration // longest time without data on an open stream
	ServiceTimeout    time.Duration // limit for a complete service call
	MaxIdle           int           // maximum number of idle connections
	MaxBody           int64         // maximum size of a service response in bytes
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&o.StreamIdleTimeout, DefaultStreamIdleTimeout)
	setDefault(&o.ServiceTimeout, DefaultServiceTimeout)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.MaxBody, DefaultMaxBody)
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client calls one target. It is safe for concurrent use.
type Client struct {
	o           Options
	log         hclog.Logger
	metrics     tally.Scope
	connections connections
}

// New returns a client, which connects on the first call.
func New(o Options) *Client {
	o = o.withDefaults()
	c := &Client{
		o:       o,
		log:     o.Logger.Named("target").With("target", o.ID),
		metrics: o.Metrics.SubScope("target"),
	}
	c.connections.init(o)
	return c
}

// ID returns the target's name.
func (c *Client) ID() request.TargetID { return c.o.ID }

// Address returns the target's host:port.
func (c *Client) Address() string { return c.o.Address }

// Close closes idle connections. Open streams are not affected.
func (c *Client) Close() { c.connections.closeIdle() }

// Complete requests a completion from a model engine. A refusal wraps *engineapi.Error.
// The stream ends when ctx ends.
func (c *Client) Complete(ctx context.Context, req engineapi.CompletionRequest) (*Stream, error) {
	return c.openStream(ctx, "completion", req.RequestID, http.MethodPost, engineapi.PathCompletions, req)
}

// Resume reads a stream that the engine still holds, starting at a sequence number.
func (c *Client) Resume(ctx context.Context, id request.ID, from int) (*Stream, error) {
	path := streamPath(id) + "?from=" + strconv.Itoa(from)
	return c.openStream(ctx, "resume", id, http.MethodGet, path, nil)
}

// Cancel ends a stream. It also succeeds if the engine does not know the stream.
func (c *Client) Cancel(ctx context.Context, id request.ID) error {
	err := c.call(ctx, "cancel", c.o.HeaderTimeout, http.MethodDelete, streamPath(id), nil, nil)
	var refused *engineapi.Error
	if errors.As(err, &refused) && refused.Code == engineapi.CodeUnknownStream {
		return nil
	}
	return err
}

// Load reads the engine's load report, which lags behind its state.
func (c *Client) Load(ctx context.Context) (engineapi.Load, error) {
	var out engineapi.Load
	err := c.call(ctx, "load", c.o.HeaderTimeout, http.MethodGet, engineapi.PathLoad, nil, &out)
	return out, err
}

// Events reads the cache events after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) (engineapi.EventPage, error) {
	var out engineapi.EventPage
	path := engineapi.PathEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, "events", c.o.HeaderTimeout, http.MethodGet, path, nil, &out)
	return out, err
}

// Snapshot reads the complete content of the engine's prefix cache.
func (c *Client) Snapshot(ctx context.Context) (engineapi.Snapshot, error) {
	var out engineapi.Snapshot
	err := c.call(ctx, "snapshot", c.o.HeaderTimeout, http.MethodGet, engineapi.PathBlocks, nil, &out)
	return out, err
}

// Export makes the engine write blocks to a store VM. It takes as long as the transfer
// over the link; callers limit it with ctx.
func (c *Client) Export(ctx context.Context, req engineapi.ExportRequest) (engineapi.ExportResponse, error) {
	var out engineapi.ExportResponse
	err := c.call(ctx, "export", 0, http.MethodPost, engineapi.PathExport, req, &out)
	return out, err
}

// Import makes the engine read blocks from a store VM. It takes as long as the transfer
// over the link; callers limit it with ctx.
func (c *Client) Import(ctx context.Context, req engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	var out engineapi.ImportResponse
	err := c.call(ctx, "import", 0, http.MethodPost, engineapi.PathImport, req, &out)
	return out, err
}

// Order sends the engine an order. Engines that check epochs refuse an old one with
// engineapi.CodeStaleEpoch.
func (c *Client) Order(ctx context.Context, order engineapi.Order) (engineapi.OrderResponse, error) {
	var out engineapi.OrderResponse
	err := c.call(ctx, "order", c.o.HeaderTimeout, http.MethodPost, engineapi.PathOrders, order, &out)
	return out, err
}

// State reads the engine's current state.
func (c *Client) State(ctx context.Context) (engineapi.State, error) {
	var out engineapi.State
	err := c.call(ctx, "state", c.o.HeaderTimeout, http.MethodGet, engineapi.PathState, nil, &out)
	return out, err
}

func streamPath(id request.ID) string {
	return engineapi.PathStreams + url.PathEscape(string(id))
}

// call sends in as JSON and decodes the response into out. With a timeout of zero, only
// ctx limits the call.
func (c *Client) call(ctx context.Context, op string, timeout time.Duration, method, path string, in, out any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, timeout, ErrTimeout)
		defer cancel()
	}
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return c.fail(op, ErrBadResponse, true, err)
	}
	resp, err := c.send(op, c.connections.pooled(), req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return c.responseError(op, resp)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	if err != nil {
		return c.connectionError(op, ctx, err)
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, err
		}
	}
	req, err := newNonReplayableRequest(ctx, method, "http://"+c.o.Address+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// send performs one round trip. Once the request has been given a connection, its bytes
// may have reached the target, so no later failure counts as not started.
func (c *Client) send(op string, transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx := httptrace.WithClientTrace(req.Context(), trace)
	c.metrics.Counter("calls").Inc(1)
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	if !connected.Load() {
		return nil, c.fail(op, dialErrorKind(ctx), true, err)
	}
	return nil, c.connectionError(op, ctx, err)
}

func dialErrorKind(ctx context.Context) error {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout) {
		return ErrCanceled
	}
	return ErrUnreachable
}

// connectionError classifies a failure on an established connection.
func (c *Client) connectionError(op string, ctx context.Context, err error) error {
	kind := ErrConnectionLost
	switch {
	case errors.Is(context.Cause(ctx), ErrTimeout):
		kind = ErrTimeout
	case ctx.Err() != nil:
		kind = ErrCanceled
	}
	return c.fail(op, kind, false, err)
}

// responseError converts an error response into an error. Only an engineapi.Error can state
// that the request did not start.
func (c *Client) responseError(op string, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		return c.fail(op, ErrConnectionLost, false, err)
	}
	refusal := &engineapi.Error{Started: true}
	d := json.NewDecoder(bytes.NewReader(body))
	if d.Decode(refusal) != nil || refusal.Code == "" {
		return c.fail(op, ErrBadResponse, false, errors.Newf("status %d", resp.StatusCode))
	}
	return c.fail(op, ErrRefused, !refusal.Started, refusal)
}

func (c *Client) fail(op string, kind error, notStarted bool, cause error) error {
	c.metrics.Counter("failures").Inc(1)
	if !errors.Is(kind, ErrCanceled) {
		c.log.Debug("Call failed", "op", op, "kind", kind, "not_started", notStarted, "cause", cause)
	}
	return &Error{Target: c.o.ID, Op: op, Kind: kind, NotStarted: notStarted, Cause: cause}
}
