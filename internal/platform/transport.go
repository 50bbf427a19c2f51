package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const clientHeader = "X-Client"

// maxResponseBytes bounds one response; a list may contain many values.
const maxResponseBytes = 64 << 20

// errNotSent marks a request that certainly had no effect, because it did not leave this process
// (a refused connection, for example) or because the key-value service refused it for its rate
// limit.
var errNotSent = errors.New("platform: request not sent")

// response is the key-value service's response to one attempt.
type response struct {
	status int
	body   []byte
}

func (resp response) decode(into any) error {
	return errors.Wrap(json.Unmarshal(resp.body, into), "decode response of the key-value service")
}

// transport sends single attempts. It uses one address until an attempt fails, then the next one.
type transport struct {
	addresses []string
	clientID  string
	timeout   time.Duration
	http      *transfer.Client
	health    *healthTracker
	next      atomic.Uint64 // index of the address in use
}

func newTransport(opts Options, health *healthTracker) *transport {
	rt := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: opts.Timeout}).DialContext,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
	return &transport{
		addresses: opts.Addresses,
		clientID:  opts.ClientID,
		timeout:   opts.Timeout,
		http:      &transfer.Client{HTTP: &http.Client{Transport: rt}, HeaderTimeout: opts.Timeout},
		health:    health,
	}
}

// request is one call to the key-value service.
type request struct {
	method string
	path   string
	query  url.Values
	body   any
	wait   time.Duration // added to the timeout of watches
}

// attempt sends a request once. The response must begin within the timeout and then make progress;
// its total duration is not bounded, since a listing of the whole table is as large as the table.
// After a failure the transport switches to the next address and closes idle connections, which
// keeps it from reusing a connection that went silent.
func (t *transport) attempt(ctx context.Context, r request) (response, error) {
	index := t.next.Load()
	start := time.Now()
	resp, err := t.exchange(ctx, t.addresses[index%uint64(len(t.addresses))], r)
	if err != nil || r.wait == 0 {
		t.health.observe(time.Since(start), err == nil)
	}
	if err != nil {
		t.next.CompareAndSwap(index, index+1)
		t.http.HTTP.CloseIdleConnections()
	}
	return resp, err
}

func (t *transport) exchange(ctx context.Context, address string, r request) (response, error) {
	req, err := t.newRequest(ctx, address, r)
	if err != nil {
		return response{}, err
	}
	resp, err := t.http.DoWithin(req, t.timeout+r.wait)
	if err != nil {
		return response{}, markUnavailable(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, errors.Mark(err, ErrUnavailable)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return response{}, errors.Mark(errors.Newf("status %d", resp.StatusCode), ErrUnavailable)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return response{}, errors.Mark(errors.Mark(errors.New("rate limit of the key-value service exceeded"), errNotSent), ErrUnavailable)
	}
	return response{status: resp.StatusCode, body: body}, nil
}

func (t *transport) newRequest(ctx context.Context, address string, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		b, err := json.Marshal(r.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(b)
	}
	u := url.URL{Scheme: "http", Host: address, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, u.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set(clientHeader, t.clientID)
	return req, nil
}

// markUnavailable marks an error as ErrUnavailable, and as errNotSent if no connection was opened.
func markUnavailable(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		err = errors.Mark(err, errNotSent)
	}
	return errors.Mark(err, ErrUnavailable)
}

func toEntry(e kvapi.Entry) Entry {
	return Entry{
		Key:      e.Key,
		Value:    e.Value,
		Revision: Revision(e.Revision),
		Lease:    LeaseID(e.LeaseID),
		Deleted:  e.Deleted,
	}
}
