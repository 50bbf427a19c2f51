package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/target"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const (
	hopDialTimeout = time.Second
	// maxEventBytes is the size limit of an event from a peer.
	maxEventBytes = 1 << 20
	// hopIdleConnTimeout is the time after which an unused pooled connection is closed.
	hopIdleConnTimeout = 30 * time.Second
	// maxIdlePerHop limits the pooled connections to one peer.
	maxIdlePerHop = 64
)

// hopFailure is the event that ends a forwarded stream that could not be completed.
type hopFailure struct {
	Error  errorDetail `json:"error"`
	Status int         `json:"status"`
}

// hopClient forwards requests to peers. A request makes at most one hop.
type hopClient struct {
	pooled *http.Transport
	// fresh opens a connection for each call of a plain service. On a pooled connection
	// that no longer delivers data, a call would wait until its deadline and be in doubt.
	fresh *http.Transport
}

func newHopClient() *hopClient {
	c := &hopClient{pooled: newHopTransport(), fresh: newHopTransport()}
	c.fresh.DisableKeepAlives = true
	return c
}

func newHopTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: hopDialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHop,
		IdleConnTimeout:        hopIdleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
}

// close closes idle connections.
func (c *hopClient) close() { c.pooled.CloseIdleConnections() }

func (c *hopClient) transport(j *Job) *http.Transport {
	if j.kind == kindService {
		return c.fresh
	}
	return c.pooled
}

// send forwards a request. Its body can not be rewound, which keeps the HTTP library
// from repeating the request when a connection breaks: a call that must run at most once
// could otherwise reach the journal twice without the gateway's knowledge.
func (c *hopClient) send(ctx context.Context, to *peer.Member, method, path string, j *Job) (*http.Response, error) {
	body := io.NopCloser(bytes.NewReader(j.body))
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.PeerAddress+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: hop")
	}
	req.ContentLength = int64(len(j.body))
	req.GetBody = nil
	req.Header.Set(HeaderRequestID, string(j.id))
	req.Header.Set("Authorization", "Bearer "+j.bearer)
	req.Header.Set("Content-Type", j.call.contentType)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(j.deadline).Milliseconds()), 10))
	if j.call.key != "" {
		req.Header.Set(HeaderIdempotencyKey, j.call.key)
	}
	if !j.call.firstSent.IsZero() {
		req.Header.Set(HeaderFirstSent, j.call.firstSent.Format(time.RFC3339))
	}
	answer, err := c.transport(j).RoundTrip(req)
	if err != nil {
		return nil, errors.Wrapf(err, "gateway: hop to %s", to.Id)
	}
	return answer, nil
}

// dialFailed reports whether no connection was established, so that the peer certainly
// received nothing.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// relayHop relays a completion that the home daemon of the context serves. If the home
// fails, this daemon serves the request itself: the home is a hashed assignment, and
// serving elsewhere only costs efficiency. A refusal by the home is final, unless it reached no target: it may be cut off from
// targets that this daemon reaches.
func (g *Gateway) relayHop(out *sink, j *Job) {
	g.stats.forwarded.Inc(1)
	err := g.attemptHop(out, j)
	if err == nil {
		g.stats.answered.Inc(1)
		return
	}
	var refusal *request.Error
	refused := errors.As(err, &refusal)
	if refused && !reachedNoTarget(refusal) {
		g.fail(out, refusal)
		return
	}
	if j.ctx.Err() != nil {
		g.fail(out, cancelled(request.InDoubt))
		return
	}
	if !refused && !dialFailed(err) {
		j.recordOutcome(request.InDoubt)
		g.hops.close()
	}
	g.log.Warn("Home daemon failed to serve a request; serving it locally", "home", j.forwardTo.Id, "request", j.id, "error", err)
	g.serveAfterHopFailure(out, j)
}

// reachedNoTarget reports whether a daemon refused a request because no target accepted a connection of it.
func reachedNoTarget(refusal *request.Error) bool {
	return refusal.Code == request.CodeTargetFailed && refusal.Ran == request.NotRun
}

// attemptHop relays the frames that the home daemon sends. The hop fails when the home
// sends nothing for HopIdleTimeout: otherwise a frozen home would block the caller until
// membership declares the home dead.
func (g *Gateway) attemptHop(out *sink, j *Job) error {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	idleTimer := time.AfterFunc(g.opts.HopIdleTimeout, cancel)
	defer idleTimer.Stop()
	answer, err := g.hops.send(ctx, j.forwardTo, http.MethodPost, pathCompletions, j)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return decodeHopRefusal(answer)
	}
	source := newHopStream(answer.Body, func() { idleTimer.Reset(g.opts.HopIdleTimeout) })
	source.suspendTimeout = func() { idleTimer.Stop() }
	return relayHopFrames(ctx, out, j, source)
}

// decodeHopRefusal decodes the refusal that a peer sent.
func decodeHopRefusal(answer *http.Response) error {
	var body errorBody
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxEventBytes)).Decode(&body); err != nil {
		return errors.Wrapf(err, "gateway: decode refusal of a peer with status %d", answer.StatusCode)
	}
	return refusalFrom(body.Error, answer.StatusCode)
}

func refusalFrom(d errorDetail, status int) *request.Error {
	return &request.Error{
		Code:       d.Code,
		Status:     status,
		Message:    d.Message,
		Field:      d.Field,
		Ran:        d.Ran,
		RetryAfter: time.Duration(d.RetryAfterMs) * time.Millisecond,
	}
}

func relayHopFrames(ctx context.Context, out *sink, j *Job, source *hopStream) error {
	for next := 0; ; next++ {
		f, err := source.Next(ctx)
		if err != nil {
			return err
		}
		if f.RequestID != j.id || f.Seq != next {
			return errors.Newf("gateway: peer sent frame %d of request %s, want frame %d of request %s", f.Seq, f.RequestID, next, j.id)
		}
		if f.Done {
			j.outputTokens = int64(f.Usage.OutputTokens)
			out.finish(*f.Usage)
			return nil
		}
		if err := out.writeText(f.Text, f.Version); err != nil {
			return err
		}
	}
}

// serveAfterHopFailure submits a job whose home daemon failed to the filters again, as if
// the job had been forwarded to this daemon.
func (g *Gateway) serveAfterHopFailure(out *sink, j *Job) {
	j.forwardTo = nil
	j.serveLocally = true
	g.pipeline.Resubmit(j, identifyFilterName)
	if err := <-j.decided; err != nil {
		g.fail(out, g.refusalOf(j, err))
		return
	}
	out.beginRetry()
	g.relayCompletion(out, j)
}

// hopStream reads the frames that a peer relays.
type hopStream struct {
	lines      *bufio.Scanner
	onActivity func()
	// suspendTimeout is called while a frame is written to the caller, when nothing is
	// expected from the peer: a slow caller must not make its home daemon appear frozen.
	suspendTimeout func()
}

// newHopStream reads frames from body and calls onActivity for each line received.
func newHopStream(body io.Reader, onActivity func()) *hopStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &hopStream{lines: lines, onActivity: onActivity, suspendTimeout: func() {}}
}

// hopEvent is a frame, or the failure that ends the stream.
type hopEvent struct {
	engineapi.Frame
	Error  *errorDetail `json:"error,omitempty"`
	Status int          `json:"status,omitempty"`
}

// Next returns the next frame. A failure that the peer reports is returned as a
// *request.Error.
func (s *hopStream) Next(context.Context) (engineapi.Frame, error) {
	s.onActivity()
	defer s.suspendTimeout()
	for s.lines.Scan() {
		s.onActivity()
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		return decodeHopEvent([]byte(data))
	}
	return engineapi.Frame{}, errors.CombineErrors(s.lines.Err(), io.ErrUnexpectedEOF)
}

func decodeHopEvent(data []byte) (engineapi.Frame, error) {
	var e hopEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return engineapi.Frame{}, errors.Wrap(err, "gateway: decode frame of a peer")
	}
	if e.Error != nil {
		return engineapi.Frame{}, refusalFrom(*e.Error, e.Status)
	}
	if e.Done && e.Usage == nil {
		return engineapi.Frame{}, errors.New("gateway: last frame of a peer has no usage")
	}
	return e.Frame, nil
}

// forwardCall forwards a call of a plain service to the daemon that holds the journal
// partition of its key.
func (g *Gateway) forwardCall(w http.ResponseWriter, r *http.Request, j *Job) {
	g.stats.forwarded.Inc(1)
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline.Add(hopDialTimeout))
	defer cancel()
	answer, err := g.hops.send(ctx, j.forwardTo, r.Method, r.URL.RequestURI(), j)
	if err != nil {
		g.writeError(w, holderUnreachable(err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := readComplete(answer.Body)
	if err != nil {
		g.writeError(w, holderUnreachable(err))
		return
	}
	if isRefusalWithCode(request.CodeNotHolder, answer.StatusCode, body) {
		g.opts.Journal.ReportNotHolder(j.partition)
	}
	for _, name := range []string{"Content-Type", "Retry-After", headerReplayed} {
		if v := answer.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	g.writeCallBody(w, j, journal.Result{Status: answer.StatusCode, Body: body, EndUnknown: framing.EndsWithConnection(answer)})
}

// readComplete reads an answer to its end. It fails if the answer exceeds the limit,
// because a truncated answer would appear complete to the caller.
func readComplete(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, target.DefaultMaxBody+1))
	if err == nil && len(data) > target.DefaultMaxBody {
		err = errors.Newf("gateway: answer of a peer exceeds %d bytes", target.DefaultMaxBody)
	}
	return data, err
}

// isRefusalWithCode reports whether a peer's answer is a refusal with the given code.
func isRefusalWithCode(code request.Code, status int, body []byte) bool {
	if status != http.StatusServiceUnavailable {
		return false
	}
	var refusal errorBody
	return json.Unmarshal(body, &refusal) == nil && refusal.Error.Code == code
}

// holderUnreachable returns the answer to a call whose holder could not be reached. If
// the holder may have received the call, its outcome is in doubt here but recorded in the
// journal: the caller gets the answer by sending the same key again.
func holderUnreachable(err error) *request.Error {
	if dialFailed(err) {
		return request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable, retryWhenNoHolder,
			"the holder of this key can not be reached")
	}
	return &request.Error{Code: request.CodeInDoubt, Status: http.StatusBadGateway, Ran: request.InDoubt,
		Message: "the holder of this key did not answer; ask again with the same key", RetryAfter: retryWhenNoHolder}
}
