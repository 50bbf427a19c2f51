// Package transfer reads answers over HTTP whose size nobody knows beforehand.
//
// A time limit on a whole answer fails for each one that is larger than the link brings in that
// time. What had come is thrown away and asked for again, so that the link is full for as long as
// somebody wants the answer, and nobody gets it. A Client therefore bounds the time until an
// answer begins, and then the time in which its next bytes must come: an answer that makes
// progress is read to its end however large it is, and a connection that went silent, or brings
// next to nothing, is given up within a second.
//
// An answer that is cut tells how much of it had come, and in which time. A link that is too
// small shows as many bytes, a path that is gone as none.
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
	// stallTimeout is the time in which the next minProgress bytes of an answer must come. Lost
	// packets are repeated within a few hundred milliseconds, also when some are lost in a row.
	stallTimeout = time.Second
	// minProgress in a stallTimeout is 130 kbit/s: a connection that brings less is of no use
	// beside another one.
	minProgress = 16 << 10
)

// Errors of calls that are given up. Test for them with errors.Is.
var (
	ErrNoAnswer = errors.New("transfer: no answer in time")
	ErrStalled  = errors.New("transfer: the answer makes no progress")
)

// TruncatedError says that an answer ended early.
type TruncatedError struct {
	Received int64         // bytes of the body
	After    time.Duration // since the request was sent
	Cause    error
}

// Error implements the error interface.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("transfer: cut after %d bytes in %d ms: %v", e.Received, e.After.Milliseconds(), e.Cause)
}

// Unwrap returns what cut the answer.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Result is how the body of one answer ended.
type Result struct {
	Received int64 // bytes
	Complete bool  // read to its end
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// HeaderTimeout bounds the time until an answer begins.
	HeaderTimeout time.Duration
	// OnClose is told of each body when it is closed; nil: nobody is.
	OnClose func(r *http.Request, result Result)
}

// Do sends a request. The answer's body must be closed.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.DoWithin(r, c.HeaderTimeout) }

// DoWithin is Do with another bound on the time until the answer begins.
func (c *Client) DoWithin(r *http.Request, head time.Duration) (*http.Response, error) {
	begun := time.Now()
	ctx, giveUp := context.WithCancelCause(r.Context())
	limit := time.AfterFunc(head, func() { giveUp(ErrNoAnswer) })
	answer, err := c.HTTP.Do(r.WithContext(ctx))
	limit.Stop()
	if err != nil {
		err = because(ctx, err)
		giveUp(nil)
		return nil, err
	}
	answer.Body = &body{
		ReadCloser: answer.Body, client: c, request: r, begun: begun, ctx: ctx, giveUp: giveUp,
		limit: time.AfterFunc(stallTimeout, func() { giveUp(ErrStalled) }),
	}
	return answer, nil
}

// because returns why a call was given up, or the call's own error if it was not.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// body counts what is read, and gives up where nothing comes.
type body struct {
	io.ReadCloser
	client  *Client
	request *http.Request
	begun   time.Time
	result  Result

	ctx    context.Context
	giveUp context.CancelCauseFunc
	limit  *time.Timer
	fresh  int // bytes since the limit was set
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.result.Received += int64(n)
	if b.fresh += n; b.fresh >= minProgress {
		b.limit.Reset(stallTimeout)
		b.fresh = 0
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.result.Complete = true
		return n, io.EOF
	default:
		return n, &TruncatedError{Received: b.result.Received, After: time.Since(b.begun), Cause: because(b.ctx, err)}
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.limit.Stop()
	if b.client.OnClose != nil {
		b.client.OnClose(b.request, b.result)
	}
	err := b.ReadCloser.Close()
	b.giveUp(nil)
	return err
}
