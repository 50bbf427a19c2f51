package target

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/framing"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method string
	Path   string // path and query, with the leading slash
	Header http.Header
	Body   []byte
	// Repeatable allows the call to use a pooled connection. A call that is not repeatable
	// always uses a fresh one; see newNonReplayableRequest.
	Repeatable bool
}

// ServiceResponse is a plain service's response, whatever its status. It is complete unless EndUnknown is set.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// EndUnknown means that the response had neither a length nor chunks: its connection ended in order, for whatever reason.
	EndUnknown bool
}

// hopByHopHeaders apply to one connection and must not be forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CallService sends a call at most once and returns the response, read to its end. After an error
// that is not NotStarted, it is unknown whether the call was executed.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (*ServiceResponse, error) {
	const op = "service call"
	ctx, cancel := context.WithTimeoutCause(ctx, c.o.ServiceTimeout, ErrTimeout)
	defer cancel()
	req, err := newNonReplayableRequest(ctx, call.Method, "http://"+c.o.Address+call.Path, call.Body)
	if err != nil {
		return nil, c.fail(op, ErrBadResponse, true, err)
	}
	req.Header = endToEndHeaders(call.Header)
	transport := c.connections.fresh
	if call.Repeatable {
		transport = c.connections.pooled()
	}
	resp, err := c.send(op, transport, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.o.MaxBody+1))
	if err != nil {
		return nil, c.connectionError(op, ctx, err)
	}
	if int64(len(body)) > c.o.MaxBody {
		return nil, c.fail(op, ErrBadResponse, false, errors.Newf("response exceeds %d bytes", c.o.MaxBody))
	}
	return &ServiceResponse{
		Status:     resp.StatusCode,
		Header:     endToEndHeaders(resp.Header),
		Body:       body,
		EndUnknown: framing.EndsWithConnection(resp),
	}, nil
}

func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return make(http.Header)
	}
	for _, named := range h.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}
