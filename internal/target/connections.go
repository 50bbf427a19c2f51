package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

// connections holds the two transports to a target: a pool whose connections are reused,
// and one that makes a fresh connection for each request.
type connections struct {
	o     Options
	fresh *http.Transport

	mu   sync.Mutex
	pool *http.Transport
}

func (c *connections) init(o Options) {
	c.o = o
	c.pool = newTransport(o)
	c.fresh = newTransport(o)
	c.fresh.DisableKeepAlives = true
}

func newTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    o.MaxIdle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
}

func (c *connections) pooled() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

func (c *connections) reset() {
	c.mu.Lock()
	old := c.pool
	c.pool = newTransport(c.o)
	c.mu.Unlock()
	old.CloseIdleConnections()
}

func (c *connections) closeIdle() {
	c.pooled().CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// nonReplayableBody is a request body that can be read only once.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// newNonReplayableRequest returns a request that net/http cannot send twice, unless it is
// a GET request.
//
// By default http.Transport automatically resends a request when a reused connection fails
// before the first byte of the response and the request counts as replayable. A POST counts
// as replayable if it has an Idempotency-Key header and either no body or a GetBody
// function. The target may have run the first request, and a plain service ignores the key:
// the caller gets one response, but two labels are printed.
//
// The body of the returned request is neither nil nor http.NoBody, and GetBody is nil, so
// the transport can never replay the request, whatever its headers; an empty body is
// wrapped too. In addition, calls that are not repeatable use fresh connections, and the transport
// replays requests on reused connections only. Redirects, which would also resend a
// request, are followed by http.Client only, and this package uses the transport directly.
func newNonReplayableRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil || method == http.MethodGet {
		return req, err
	}
	req.Body = nonReplayableBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	return req, nil
}

// ResetConnections discards the connection pool, so that later calls make new connections.
//
// It recovers from a network element between daemon and target that has lost track of open
// connections: they stay open but never deliver data again, while new connections work, and
// each call that gets an old one from the pool times out. After the reset no call can get an
// old connection, and streams that are still open on an old connection end after their
// StreamIdleTimeout.
func (c *Client) ResetConnections() {
	c.connections.reset()
	c.metrics.Counter("connection_resets").Inc(1)
	c.log.Info("Connection pool was reset")
}

// Connect opens a connection and closes it. It fails with ErrUnreachable if the target accepts none, and with ErrCanceled when ctx
// ends.
func (c *Client) Connect(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: c.o.DialTimeout}).DialContext(ctx, "tcp", c.o.Address)
	if err != nil {
		return c.fail("connect", dialErrorKind(ctx), true, err)
	}
	return conn.Close()
}

// Probe sends a request on a fresh connection and accepts any response. It distinguishes a
// target that is down or stalled from one whose pooled connections no longer deliver data.
func (c *Client) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, c.o.HeaderTimeout, ErrTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, http.MethodGet, "/v1/state", nil)
	if err != nil {
		return c.fail("probe", ErrBadResponse, true, err)
	}
	resp, err := c.send("probe", c.connections.fresh, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ResetIfReachable must be called after ErrTimeout. If a fresh connection works, it
// discards the pool, and the call may be resumed or repeated. Otherwise it returns the
// error of the probe, which means that the target itself does not respond.
func (c *Client) ResetIfReachable(ctx context.Context) error {
	if err := c.Probe(ctx); err != nil {
		return err
	}
	c.ResetConnections()
	return nil
}
