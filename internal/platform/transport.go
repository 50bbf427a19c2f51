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

// maxAnswerBytes bounds one answer; a list may carry many values.
const maxAnswerBytes = 64 << 20

// errNotSent marks a failure before the request left this process, such as a
// refused connection: the service certainly did not see it.
var errNotSent = errors.New("platform: request not sent")

// answer is what one attempt got.
type answer struct {
	status int
	body   []byte
}

func (a answer) decode(into any) error {
	return errors.Wrap(json.Unmarshal(a.body, into), "decode answer of the key-value service")
}

// transport sends single attempts, each to one of several addresses in turn.
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
		DialContext:         (&net.Dialer{Timeout: opts.Timeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &transport{
		addresses: opts.Addresses,
		clientID:  opts.ClientID,
		timeout:   opts.Timeout,
		http:      &transfer.Client{HTTP: &http.Client{Transport: rt}, HeaderTimeout: opts.Timeout},
		health:    health,
	}
}

// request is one call of the service.
type request struct {
	method string
	path   string
	query  url.Values
	body   any
	wait   time.Duration // added to the timeout of watches
}

// attempt sends a request once. Its answer must begin within the timeout, and then make progress:
// a listing of the whole table is as large as the table. A failure moves on to the next address and drops
// idle connections: a connection that went silent would otherwise be used again.
func (t *transport) attempt(ctx context.Context, r request) (answer, error) {
	turn := t.next.Load()
	start := time.Now()
	a, err := t.exchange(ctx, t.addresses[turn%uint64(len(t.addresses))], r)
	if err != nil || r.wait == 0 {
		t.health.observe(time.Since(start), err == nil)
	}
	if err != nil {
		t.next.CompareAndSwap(turn, turn+1)
		t.http.HTTP.CloseIdleConnections()
	}
	return a, err
}

func (t *transport) exchange(ctx context.Context, address string, r request) (answer, error) {
	req, err := t.newRequest(ctx, address, r)
	if err != nil {
		return answer{}, err
	}
	resp, err := t.http.DoWithin(req, t.timeout+r.wait)
	if err != nil {
		return answer{}, markUnavailable(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errors.Mark(err, ErrUnavailable)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return answer{}, errors.Mark(errors.Newf("status %d", resp.StatusCode), ErrUnavailable)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return answer{}, errors.Mark(errors.Mark(errors.New("rate exceeded"), errNotSent), ErrUnavailable)
	}
	return answer{status: resp.StatusCode, body: body}, nil
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

// markUnavailable tells a refused connection from a lost answer.
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
