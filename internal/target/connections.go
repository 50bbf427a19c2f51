package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// connections holds the two ways to a target: a pool whose connections are used
// again, and fresh connections that carry one request each.
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
		DialContext:         (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: o.MaxIdle,
		DisableCompression:  true,
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

// onceBody is a request body that cannot be read twice.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// newRequestOnce returns a request that net/http cannot send twice.
//
// The failure: http.Transport by itself sends a request again when a reused
// connection dies before the first byte of the answer, if it holds the request for
// replayable. A POST counts as replayable once it carries an Idempotency-Key header
// and has no body or a GetBody function. The target may have run the first one, and a
// plain service does not look at the key: the caller then gets one answer while two
// labels were printed.
//
// Why the guard holds: the body is neither nil nor http.NoBody and GetBody is nil, so
// the transport can never replay it, whatever the headers; an empty body is wrapped
// as well. Calls that may not be repeated moreover go over fresh connections, and
// the transport replays only on reused ones. Redirects, which would also send again,
// are followed by http.Client only, and this package uses the transport directly.
func newRequestOnce(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil || method == http.MethodGet {
		return req, err
	}
	req.Body = onceBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	return req, nil
}

// ResetConnections throws the pool away; new calls make new connections.
//
// The failure: something between the two ends loses track of open connections. They
// stay open and silent for good, while new ones work; each call that gets one from the
// pool waits out its deadline. Why the guard holds: no call after the reset can get an
// old connection, and streams still open on one end by their own SilentAfter.
func (c *Client) ResetConnections() {
	c.connections.reset()
	c.metrics.Counter("connection_resets").Inc(1)
	c.log.Info("Connections reset")
}

// Probe makes a fresh connection and asks for any answer. It tells a target that is
// down or frozen from one whose old connections went silent.
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

// ResetIfReachable is to be called after ErrSilent: if a fresh connection works, the
// pool is thrown away and the call may be resumed or repeated; else the probe's error
// tells that the target itself does not answer.
func (c *Client) ResetIfReachable(ctx context.Context) error {
	if err := c.Probe(ctx); err != nil {
		return err
	}
	c.ResetConnections()
	return nil
}
