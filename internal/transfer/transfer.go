// Package transfer reads HTTP responses of unknown size.
//
// A timeout on the complete response fails for every response that is larger than the link can
// carry within it. The received bytes are discarded and requested again, so that the link stays
// saturated and no response completes. A Client instead bounds the time until a response begins, and
// then the time between amounts of progress: a response that makes progress is read to its end
// regardless of its size, and a connection that stalls or nearly stalls is cancelled within a second.
//
// The error of a truncated response reports how many bytes were received and in which time. Many bytes
// indicate a link with too little bandwidth, none indicate a broken network path.
package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stallTimeout is the time within which the next minProgress bytes must arrive. TCP retransmits lost
	// packets within a few hundred milliseconds, even after several consecutive losses.
	stallTimeout = time.Second
	// minProgress per stallTimeout is 130 kbit/s. A slower connection is of no use compared with
	// retrying on another one.
	minProgress = 16 << 10
)

// MaxHeadBytes bounds the status line and headers of a response. Replicas use less than one kilobyte, services behind proxies up to
// some 16 KB; without a bound, a server in trouble could send a head without end into this process's memory.
const MaxHeadBytes = 32 << 10

// Errors of cancelled calls, to be tested with errors.Is.
var (
	ErrHeaderTimeout = errors.New("transfer: timed out waiting for response headers")
	ErrStalled       = errors.New("transfer: response stalled")
)

// TruncatedError reports a response that ended early.
type TruncatedError struct {
	Received int64         // bytes of the body
	After    time.Duration // since the request was sent
	Cause    error
}

// Error implements the error interface.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("transfer: response truncated after %d bytes in %d ms: %v", e.Received, e.After.Milliseconds(), e.Cause)
}

// Unwrap returns the cause of the truncation.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Result describes how the body of a response ended.
type Result struct {
	Received int64 // bytes
	Complete bool  // the body was read to its end
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// HeaderTimeout bounds the time until a response begins.
	HeaderTimeout time.Duration
	// OnClose is called with the result of each body when the body is closed; may be nil.
	OnClose func(r *http.Request, result Result)
}

// Do sends a request. The caller must close the response body.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.DoWithin(r, c.HeaderTimeout) }

// DoWithin is like Do with a different bound on the time until the response begins.
func (c *Client) DoWithin(r *http.Request, headerTimeout time.Duration) (*http.Response, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(r.Context())
	headerTimer := time.AfterFunc(headerTimeout, func() { cancel(ErrHeaderTimeout) })
	response, err := c.HTTP.Do(r.WithContext(ctx))
	headerTimer.Stop()
	if err != nil {
		err = causeOf(ctx, err)
		cancel(nil)
		return nil, err
	}
	response.Body = &body{
		ReadCloser: response.Body, client: c, request: r, start: start, ctx: ctx, cancel: cancel,
		stallTimer: time.AfterFunc(stallTimeout, func() { cancel(ErrStalled) }),
	}
	return response, nil
}

// causeOf returns why the call was cancelled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// body counts the bytes read and cancels the call if it stalls.
type body struct {
	io.ReadCloser
	client  *Client
	request *http.Request
	start   time.Time
	result  Result

	ctx        context.Context
	cancel     context.CancelCauseFunc
	stallTimer *time.Timer
	sinceReset int // bytes since stallTimer was reset
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.result.Received += int64(n)
	if b.sinceReset += n; b.sinceReset >= minProgress {
		b.stallTimer.Reset(stallTimeout)
		b.sinceReset = 0
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.result.Complete = true
		return n, io.EOF
	default:
		return n, &TruncatedError{Received: b.result.Received, After: time.Since(b.start), Cause: causeOf(b.ctx, err)}
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.stallTimer.Stop()
	if b.client.OnClose != nil {
		b.client.OnClose(b.request, b.result)
	}
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
