package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Headers of the caller API and of requests that daemons forward to each other.
const (
	// HeaderIdempotencyKey identifies a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstSent is the time at which the caller first sent its key (RFC 3339).
	HeaderFirstSent = "Idempotency-First-Sent"
	// HeaderDeadline is the time that the caller waits for the answer, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID carries the id that the accepting daemon assigned to a request.
	HeaderRequestID = "X-Request-Id"
)

const (
	defaultMaxTokens = 16
	maxTokensLimit   = 32768
	maxKeyLength     = 256
	retryWhenFull    = time.Second
	// defaultBodyTimeout limits the time for reading a request body.
	defaultBodyTimeout = 30 * time.Second
)

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

func (b completionBody) maxTokens() int {
	if b.MaxTokens == nil {
		return defaultMaxTokens
	}
	return *b.MaxTokens
}

// Handler returns the HTTP handler of the caller API.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/route", g.handleRoute)
	g.handleRequests(mux)
	return mux
}

// HopHandler returns the HTTP handler for requests that peers forward. It must not be
// reachable by callers: a forwarded request keeps the id that the first daemon assigned,
// and a caller that could choose an id could reach the stream of another organisation.
func (g *Gateway) HopHandler() http.Handler {
	mux := http.NewServeMux()
	g.handleRequests(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), hopKey{}, true)))
	})
}

// hopKey marks the context of a request that a peer forwarded.
type hopKey struct{}

func isHop(r *http.Request) bool { return r.Context().Value(hopKey{}) != nil }

func (g *Gateway) handleRequests(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathCompletions, g.handleCompletion)
	mux.HandleFunc(pathServices+"{name}", g.handleService)
	mux.HandleFunc(pathServices+"{name}/{rest...}", g.handleService)
}

// Request paths, the same for callers and for peers.
const (
	pathCompletions = "/v1/completions"
	pathServices    = "/v1/services/"
)

func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, refusal := g.readBody(w, r)
	if refusal != nil {
		g.writeError(w, refusal)
		return
	}
	j := newJob(r, kindCompletion, body)
	if refusal := parseCompletion(j); refusal != nil {
		g.writeError(w, refusal)
		return
	}
	g.run(w, r, j)
}

func (g *Gateway) handleService(w http.ResponseWriter, r *http.Request) {
	body, refusal := g.readBody(w, r)
	if refusal != nil {
		g.writeError(w, refusal)
		return
	}
	j := newJob(r, kindService, body)
	j.call = serviceCall{
		service:     r.PathValue("name"),
		method:      r.Method,
		path:        r.URL.RequestURI(),
		contentType: r.Header.Get("Content-Type"),
		key:         r.Header.Get(HeaderIdempotencyKey),
	}
	if len(j.call.key) > maxKeyLength {
		g.writeError(w, badField(HeaderIdempotencyKey, "want at most %d bytes, got %d", maxKeyLength, len(j.call.key)))
		return
	}
	if text := r.Header.Get(HeaderFirstSent); text != "" {
		sent, err := time.Parse(time.RFC3339, text)
		if err != nil {
			g.writeError(w, badField(HeaderFirstSent, "want a time such as 2026-12-02T20:00:00Z, got %q", text))
			return
		}
		j.call.firstSent = sent
	}
	g.run(w, r, j)
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Error) {
	// A caller that never finishes its body would hold a connection and its memory
	// without taking a credit, and would delay a planned shutdown up to its limit.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.opts.BodyTimeout))
	body, err := readWhole(http.MaxBytesReader(w, r.Body, int64(g.opts.MaxBody)), r.ContentLength)
	if err == nil {
		// After an error the deadline stays set, since the server reads the rest of the
		// body before it answers.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, request.Refuse(request.CodePayloadTooLarge, http.StatusRequestEntityTooLarge, 0,
			"body: want at most %d bytes", tooLarge.Limit)
	}
	var noMemory *memory.Refusal
	if errors.As(err, &noMemory) {
		return nil, request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, noMemory.RetryAfter,
			"this daemon has no memory for the body; ask for another address")
	}
	if err != nil {
		return nil, request.Refuse(request.CodeBadRequest, http.StatusBadRequest, 0, "body: %v", err)
	}
	return body, nil
}

// firstBodyBytes is the size of the buffer into which a body is read first.
const firstBodyBytes = 64 << 10

// readWhole reads a body of a stated length, negative if there is none. Its buffer grows with what arrives, up to the length: growing in small
// steps leaves several times the body to the garbage collector.
func readWhole(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, 0, min(length, firstBodyBytes)+1)
	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, nextSize(int64(cap(body)), length)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// nextSize returns the size of the buffer after one that is full. A byte beyond the length shows the end of the body.
func nextSize(size, length int64) int64 {
	if length >= size {
		return min(length+1, 2*size)
	}
	return 2 * size
}

func parseCompletion(j *Job) *request.Error {
	if err := json.Unmarshal(j.body, &j.completion); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return badField(cmp.Or(wrongType.Field, "body"), "want %s, got %s", wrongType.Type, wrongType.Value)
		}
		return badField("body", "not JSON: %v", err)
	}
	if j.completion.Model == "" {
		return badField("model", "is missing")
	}
	if j.completion.Prompt == "" {
		return badField("prompt", "is missing")
	}
	if n := j.completion.maxTokens(); n < 1 || n > maxTokensLimit {
		return badField("max_tokens", "want 1 to %d, got %d", maxTokensLimit, n)
	}
	return nil
}

func badField(field, format string, args ...any) *request.Error {
	e := request.Refuse(request.CodeBadRequest, http.StatusBadRequest, 0, format, args...)
	e.Field = field
	return e
}

func bearerOf(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// run processes a job from acceptance to settlement.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, j *Job) {
	if refusal := g.initJob(r, j); refusal != nil {
		g.writeError(w, refusal)
		return
	}
	if err := g.pipeline.Submit(j); err != nil {
		g.writeError(w, request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, retryWhenFull,
			"this daemon has no room; ask for another address"))
		return
	}
	g.stats.accepted.Inc(1)
	defer g.settle(j)
	out := newSink(w, j, g.opts.WriteTimeout)
	defer out.keepAlive(g.opts.HopIdleTimeout / keepAlivesPerTimeout)()
	if err := <-j.decided; err != nil {
		g.fail(out, g.refusalOf(j, err))
		return
	}
	g.answer(out, r, j)
}

// initJob sets the id and the deadline of a job. A forwarded job keeps the id that the
// first daemon assigned.
func (g *Gateway) initJob(r *http.Request, j *Job) *request.Error {
	wait := g.opts.DefaultDeadline
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > time.Hour.Milliseconds() {
			return badField(HeaderDeadline, "want milliseconds from 1 to %d, got %q", time.Hour.Milliseconds(), text)
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	j.deadline = j.arrived.Add(wait)
	j.id = request.ID(uuid.NewString())
	j.localID = j.id
	if given := r.Header.Get(HeaderRequestID); j.fromPeer && given != "" {
		j.id = request.ID(given)
	}
	j.context.Tokens = block.Tokens(len(j.completion.Prompt))
	return nil
}

// answer produces the answer to a job that the filters have admitted.
func (g *Gateway) answer(out *sink, r *http.Request, j *Job) {
	switch {
	case j.replay != nil:
		g.writeResult(out.w, j, *j.replay, true)
	case j.forwardTo != nil && j.kind == kindCompletion:
		g.relayHop(out, j)
	case j.forwardTo != nil:
		g.forwardCall(out.w, r, j)
	case j.kind == kindCompletion:
		g.relayCompletion(out, j)
	default:
		g.relayCall(out.w, j)
	}
}
