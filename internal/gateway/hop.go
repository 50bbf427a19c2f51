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
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	hopDialTimeout = time.Second
	// maxEvent is the longest event that a peer sends.
	maxEvent = 1 << 20
	// hopIdle closes pooled connections to peers that are not used.
	hopIdle = 30 * time.Second
	// maxIdlePerHop bounds the pooled connections to one peer.
	maxIdlePerHop = 64
)

// hopFailure ends a forwarded stream that could not be completed.
type hopFailure struct {
	Error  errorDetail `json:"error"`
	Status int         `json:"status"`
}

// hopClient forwards requests to peers, at most one hop.
type hopClient struct {
	pooled *http.Transport
	// fresh carries calls of plain services over a connection each: over a pooled one
	// that has gone silent a call would wait until its deadline and be in doubt.
	fresh *http.Transport
}

func newHopClient() *hopClient {
	c := &hopClient{pooled: newHopTransport(), fresh: newHopTransport()}
	c.fresh.DisableKeepAlives = true
	return c
}

func newHopTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: hopDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHop,
		IdleConnTimeout:     hopIdle,
		DisableCompression:  true,
	}
}

// close drops idle connections.
func (c *hopClient) close() { c.pooled.CloseIdleConnections() }

func (c *hopClient) transport(j *Job) *http.Transport {
	if j.kind == kindService {
		return c.fresh
	}
	return c.pooled
}

// send forwards a request. The body can not be rewound, so the HTTP library never
// repeats the request by itself on a connection that died: a call that must run at
// most once would otherwise reach the journal twice without our knowing.
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

// dialFailed tells whether a connection was never made, so the peer got nothing.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// relayHop relays a completion that the context's home serves. If the home fails,
// this daemon serves the request itself: a soft place costs efficiency only. A refusal
// by the home is final.
func (g *Gateway) relayHop(out *sink, j *Job) {
	g.stats.forwarded.Inc(1)
	err := g.tryHop(out, j)
	if err == nil {
		g.stats.answered.Inc(1)
		return
	}
	var refusal *request.Error
	if errors.As(err, &refusal) {
		g.fail(out, refusal)
		return
	}
	if j.ctx.Err() != nil {
		g.fail(out, cancelled(request.InDoubt))
		return
	}
	if !dialFailed(err) {
		j.noteRan(request.InDoubt)
		g.hops.close()
	}
	g.log.Warn("Home did not serve a request; it is served here", "home", j.forward.Id, "request", j.id, "error", err)
	g.serveHere(out, j)
}

// tryHop relays what the home sends. The hop ends when the home shows no sign of
// life: without this a frozen home would hold the caller until the home is found dead.
func (g *Gateway) tryHop(out *sink, j *Job) error {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	watch := time.AfterFunc(g.opts.HopIdleTimeout, cancel)
	defer watch.Stop()
	answer, err := g.hops.send(ctx, j.forward, http.MethodPost, pathCompletions, j)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return hopRefused(answer)
	}
	source := newHopStream(answer.Body, func() { watch.Reset(g.opts.HopIdleTimeout) })
	source.pause = func() { watch.Stop() }
	return pumpHop(ctx, out, j, source)
}

// hopRefused reads the refusal of a peer.
func hopRefused(answer *http.Response) error {
	var body errorBody
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxEvent)).Decode(&body); err != nil {
		return errors.Wrapf(err, "gateway: status %d of a peer", answer.StatusCode)
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

func pumpHop(ctx context.Context, out *sink, j *Job, source *hopStream) error {
	for next := 0; ; next++ {
		f, err := source.Next(ctx)
		if err != nil {
			return err
		}
		if f.RequestID != j.id || f.Seq != next {
			return errors.Newf("gateway: frame %d of %s where %d of %s was due", f.Seq, f.RequestID, next, j.id)
		}
		if f.Done {
			j.output = int64(f.Usage.OutputTokens)
			out.done(*f.Usage)
			return nil
		}
		if err := out.text(f.Text, f.Version); err != nil {
			return err
		}
	}
}

// serveHere takes a job whose home failed through the filters as if it had been
// forwarded to this daemon.
func (g *Gateway) serveHere(out *sink, j *Job) {
	j.forward = nil
	j.stay = true
	g.line.Resubmit(j, filterIdentify)
	if err := <-j.decided; err != nil {
		g.fail(out, g.refusalOf(j, err))
		return
	}
	out.restart()
	g.relayCompletion(out, j)
}

// hopStream reads the frames that a peer relays.
type hopStream struct {
	lines *bufio.Scanner
	alive func()
	// pause is called when no sign of life is waited for, since a frame is being written
	// to the caller: a caller that reads slowly must not make its home look frozen.
	pause func()
}

// newHopStream reads from body and calls alive at each sign of life.
func newHopStream(body io.Reader, alive func()) *hopStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	return &hopStream{lines: lines, alive: alive, pause: func() {}}
}

// hopEvent is a frame or the failure that ends the stream.
type hopEvent struct {
	engineapi.Frame
	Error  *errorDetail `json:"error,omitempty"`
	Status int          `json:"status,omitempty"`
}

// Next returns the next frame. A failure that the peer reports is a *request.Error.
func (s *hopStream) Next(context.Context) (engineapi.Frame, error) {
	s.alive()
	defer s.pause()
	for s.lines.Scan() {
		s.alive()
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
		return engineapi.Frame{}, errors.Wrap(err, "gateway: frame of a peer")
	}
	if e.Error != nil {
		return engineapi.Frame{}, refusalFrom(*e.Error, e.Status)
	}
	if e.Done && e.Usage == nil {
		return engineapi.Frame{}, errors.New("gateway: last frame of a peer without usage")
	}
	return e.Frame, nil
}

// forwardCall forwards a call of a plain service to the holder of its key.
func (g *Gateway) forwardCall(w http.ResponseWriter, r *http.Request, j *Job) {
	g.stats.forwarded.Inc(1)
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline.Add(hopDialTimeout))
	defer cancel()
	answer, err := g.hops.send(ctx, j.forward, r.Method, r.URL.RequestURI(), j)
	if err != nil {
		g.writeError(w, hopRefusal(err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := readWhole(answer.Body)
	if err != nil {
		g.writeError(w, hopRefusal(err))
		return
	}
	if refusedAs(request.CodeNotHolder, answer.StatusCode, body) {
		g.opts.Journal.OnHolderRefused(j.partition)
	}
	for _, name := range []string{"Content-Type", "Retry-After", headerReplayed} {
		if v := answer.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(answer.StatusCode)
	writeBounded(w, body, g.opts.WriteTimeout)
}

// readWhole reads an answer to its end. One that is too long is an error: cut at the
// limit it would reach the caller as if it were whole.
func readWhole(body io.Reader) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(body, target.DefaultMaxBody+1))
	if err == nil && len(whole) > target.DefaultMaxBody {
		err = errors.Newf("gateway: answer of a peer above %d bytes", target.DefaultMaxBody)
	}
	return whole, err
}

// refusedAs tells whether a peer's answer is a refusal with a code.
func refusedAs(code request.Code, status int, body []byte) bool {
	if status != http.StatusServiceUnavailable {
		return false
	}
	var refusal errorBody
	return json.Unmarshal(body, &refusal) == nil && refusal.Error.Code == code
}

// hopRefusal answers a call whose holder could not be asked. If the holder may have
// got the call it is in doubt here, but the journal knows: the same key asked again
// gets the answer.
func hopRefusal(err error) *request.Error {
	if dialFailed(err) {
		return request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable, retryWhenNoHolder,
			"the holder of this key can not be reached")
	}
	return &request.Error{Code: request.CodeInDoubt, Status: http.StatusBadGateway, Ran: request.InDoubt,
		Message: "the holder of this key did not answer; ask again with the same key", RetryAfter: retryWhenNoHolder}
}
