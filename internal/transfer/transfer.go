// Package transfer reads answers over HTTP whose size nobody knows beforehand, and tells of
// one that is cut how much of it had come, and in which time. A link that is too small for an
// answer shows as many bytes, a connection that went silent as none.
package transfer

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// CutError says that an answer ended early.
type CutError struct {
	Received int64         // bytes of the body
	After    time.Duration // since the request was sent
	Cause    error
}

// Error implements the error interface.
func (e *CutError) Error() string {
	return fmt.Sprintf("transfer: cut after %d bytes in %d ms: %v", e.Received, e.After.Milliseconds(), e.Cause)
}

// Unwrap returns what cut the answer.
func (e *CutError) Unwrap() error { return e.Cause }

// Result is how the body of one answer ended.
type Result struct {
	Received int64 // bytes
	Whole    bool  // read to its end
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// Done is told of each body when it is closed; nil: nobody is.
	Done func(r *http.Request, result Result)
}

// Do sends a request. The answer's body must be closed.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	begun := time.Now()
	answer, err := c.HTTP.Do(r)
	if err != nil {
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, client: c, request: r, begun: begun}
	return answer, nil
}

// body counts what is read.
type body struct {
	io.ReadCloser
	client  *Client
	request *http.Request
	begun   time.Time
	result  Result
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.result.Received += int64(n)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.result.Whole = true
		return n, io.EOF
	default:
		return n, &CutError{Received: b.result.Received, After: time.Since(b.begun), Cause: err}
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.client.Done != nil {
		b.client.Done(b.request, b.result)
	}
	return b.ReadCloser.Close()
}
