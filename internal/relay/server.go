package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/metrics"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// defaultBodyLimit holds while no desired state names one.
	defaultBodyLimit = 4 << 20
	// notReadyRetry is when to come back to a daemon that has no desired state yet, or
	// can't be sure that its own is current.
	notReadyRetry = 500 * time.Millisecond
	// stoppingRetry is when to come back to another daemon.
	stoppingRetry = 20 * time.Millisecond
	// fullRetry is when to come back after no replica could take a request. Answers take
	// 20 to 600 ms, so a place is free by then.
	fullRetry = 300 * time.Millisecond
	// minTimeLeft is the least time with which a try is worth sending.
	minTimeLeft = 20 * time.Millisecond
	// maxSends bounds the replicas that a request is offered to. Those that say "not run"
	// cost a round trip each.
	maxSends = 4
)

// Options of New.
type Options struct {
	Dialect Dialect
	// Placers by kind of service: Engines for model replicas, Plain for all others.
	Engines Placer
	Plain   Placer
	// State returns the desired state in force, nil if none is known, and whether it is
	// surely current.
	State func() (s *routing.Snapshot, current bool)
	// Budget bounds the retries of one service here; the share of this daemon.
	Budget  func() retry.Params
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Server is the callers' HTTP handler.
type Server struct {
	o         Options
	stopping  atomic.Bool
	noStreams atomic.Int64 // when stopping, from when streams are refused, Unix nanoseconds
	inFlight  atomic.Int64

	first map[routing.Kind]tally.Histogram // until the answer, or the first event
	whole map[routing.Kind]tally.Histogram // until the end of the answer

	mu      sync.Mutex
	budgets map[routing.ServiceID]*retry.Budget
}

// New returns a handler.
func New(o Options) *Server {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("relay")
	s := &Server{
		o: o, budgets: map[routing.ServiceID]*retry.Budget{},
		first: map[routing.Kind]tally.Histogram{}, whole: map[routing.Kind]tally.Histogram{},
	}
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindOnce, routing.KindStream} {
		scope := o.Metrics.Tagged(map[string]string{"kind": string(kind)})
		s.first[kind] = scope.Histogram("first_answer", metrics.Latencies)
		s.whole[kind] = scope.Histogram("whole_answer", metrics.Latencies)
	}
	return s
}

// Stop makes each answer the last on its connection. Streams that come later than
// lastStream are refused: they could outlast the process.
func (s *Server) Stop(lastStream time.Duration) {
	s.noStreams.Store(time.Now().Add(lastStream).UnixNano())
	s.stopping.Store(true)
}

// tooLate reports whether a request must not begin any more.
func (s *Server) tooLate(j *Job) bool {
	return j.Route.Kind == routing.KindStream && s.stopping.Load() && time.Now().UnixNano() > s.noStreams.Load()
}

// InFlight returns the number of requests that are not answered yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	j, err := s.accept(r)
	if err != nil {
		s.refuse(w, j, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.Deadline)
	defer cancel()
	s.serve(ctx, w, j)
}

// accept reads a request whole and finds its route and organisation.
func (s *Server) accept(r *http.Request) (*Job, error) {
	j := &Job{Start: time.Now(), Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: r.Header}
	state, current := s.o.State()
	if state == nil {
		return j, request.Refuse(request.CodeStale, http.StatusServiceUnavailable, notReadyRetry, "no desired state is known yet")
	}
	path := rawPath(r.RequestURI)
	j.Route = state.Match(r.Host, path)
	if j.Route == nil {
		return j, ifCurrent(current, request.Refuse(request.CodeUnknownService, http.StatusNotFound, 0, "no route for %s%s", r.Host, path))
	}
	if s.tooLate(j) {
		return j, request.Refuse(request.CodeDraining, http.StatusServiceUnavailable, stoppingRetry, "this daemon stops")
	}
	if state.NeedsKey(j.Route) {
		if j.Org = state.OrgOf(s.o.Dialect.Key(r.Header)); j.Org == nil {
			return j, ifCurrent(current, request.Refuse(request.CodeUnauthorized, http.StatusUnauthorized, 0, "the key is not known"))
		}
	}
	meta, err := s.o.Dialect.Meta(r.Header)
	j.Meta = meta
	if err != nil {
		return j, &request.Error{Code: request.CodeBadRequest, Status: http.StatusBadRequest, Message: err.Error(), Ran: request.NotRun}
	}
	j.Service = state.Services[j.Route.ServiceFor(splitKey(j))]
	if j.Service == nil {
		return j, request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, fullRetry, "the route's service is not known")
	}
	j.Deadline = deadline(j)
	return j, s.readBody(r, j, state.Limits.MaxBodyBytes)
}

// ifCurrent replaces a refusal by "come back" where the desired state may be old: the
// route or key may have been added since.
func ifCurrent(current bool, e *request.Error) error {
	if current {
		return e
	}
	return request.Refuse(request.CodeStale, http.StatusServiceUnavailable, notReadyRetry, "the desired state may be old")
}

func (s *Server) readBody(r *http.Request, j *Job, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &request.Error{Code: request.CodeBadRequest, Status: http.StatusBadRequest, Message: "body: " + err.Error(), Ran: request.NotRun}
	}
	if int64(len(body)) > limit {
		return &request.Error{Code: request.CodePayloadTooLarge, Status: http.StatusRequestEntityTooLarge, Message: "body: too long", Ran: request.NotRun}
	}
	j.Body = body
	return nil
}

// rawPath returns the path of a request line, still escaped.
func rawPath(uri string) string {
	if !strings.HasPrefix(uri, "/") {
		if u, err := url.Parse(uri); err == nil {
			return u.EscapedPath()
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// splitKey decides which of a route's services takes a request: requests of one session
// go to one service.
func splitKey(j *Job) string {
	if n := len(j.Parts); n > 0 {
		return j.Parts[n-1].ID
	}
	return string(j.ID)
}

func deadline(j *Job) time.Time {
	left := j.Route.Timeout
	if j.TimeLeft > 0 && (left <= 0 || j.TimeLeft < left) {
		left = j.TimeLeft
	}
	return j.Start.Add(left)
}

// serve sends the job until it is answered, or nothing more may be tried.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, j *Job) {
	s.budget(j.Service.ID, func(b *retry.Budget) bool { b.OnFirstTry(time.Now()); return true })
	k := &sink{w: w, control: http.NewResponseController(w), last: j.LastEvent}
	var tried []request.TargetID
	ran := 0
	mayRun := false // some try may have run
	for sends := 1; ; sends++ {
		p, err := s.placer(j).Place(ctx, j, tried)
		if err != nil {
			s.end(ctx, w, j, k, mayRun, err)
			return
		}
		if k.last != j.LastEvent {
			p.Send.LastEvent = k.last
		}
		t := s.send(ctx, j, p)
		if t.outcome == answered {
			if s.deliver(ctx, w, j, k, t) {
				return
			}
		}
		if t.outcome == failed && !s.again(ctx, j, sends, ran+1, k) {
			s.deliverWhole(w, j, t)
			return
		}
		s.logTry(j, t, sends)
		t.done(t.body != nil)
		tried = append(tried, p.Send.Replica)
		if t.outcome != notRun {
			mayRun = true
			ran++
		}
		if ctx.Err() != nil || t.outcome == callerEnd || !s.mayFollow(ctx, j, t, sends, ran, k) {
			s.end(ctx, w, j, k, mayRun, t.err)
			return
		}
	}
}

func (s *Server) placer(j *Job) Placer {
	if j.Service.Engine != nil {
		return s.o.Engines
	}
	return s.o.Plain
}

// mayFollow reports whether another try may follow a failed one, and takes it from the
// budget.
func (s *Server) mayFollow(ctx context.Context, j *Job, t *try, sends, ran int, k *sink) bool {
	if t.outcome == failed {
		return true // decided, and paid for, before
	}
	if t.outcome == notRun && !k.started {
		return sends < maxSends && time.Until(j.Deadline) > minTimeLeft && s.take(j)
	}
	return s.again(ctx, j, sends, ran, k)
}

// again reports whether a request that ran, or may have, may run once more.
func (s *Server) again(ctx context.Context, j *Job, sends, ran int, k *sink) bool {
	if !j.Route.Repeatable() || ran >= j.Route.MaxAttempts || sends >= maxSends {
		return false
	}
	if ctx.Err() != nil || time.Until(j.Deadline) < minTimeLeft {
		return false
	}
	return s.take(j)
}

func (s *Server) take(j *Job) bool {
	ok := s.budget(j.Service.ID, func(b *retry.Budget) bool { return b.TryTake(time.Now()) })
	if !ok {
		s.o.Metrics.Counter("retries_over_budget").Inc(1)
	}
	return ok
}

func (s *Server) budget(id routing.ServiceID, use func(*retry.Budget) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[id]
	if !ok {
		b = retry.NewBudget(time.Now(), s.o.Budget())
		s.budgets[id] = b
	}
	return use(b)
}

// deliver passes an answer on. It returns false if the stream broke off and may be
// resumed elsewhere.
func (s *Server) deliver(ctx context.Context, w http.ResponseWriter, j *Job, k *sink, t *try) bool {
	if t.body != nil {
		s.deliverWhole(w, j, t)
		return true
	}
	if !isStream(t.response.Header) {
		s.deliverLong(w, j, t)
		return true
	}
	err := s.pump(ctx, k, t)
	if err == nil {
		s.logEnd(j, t, k, "stream")
		t.done(true)
		return true
	}
	t.err = err
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		t.outcome = callerEnd
		return false
	}
	t.outcome = mayHave
	t.placement.Replica.Health.Unreachable(time.Now())
	return false
}

func (s *Server) deliverWhole(w http.ResponseWriter, j *Job, t *try) {
	s.o.Dialect.Incoming(w.Header(), t.response.Header)
	w.Header().Set("Content-Length", fmt.Sprint(len(t.body)))
	s.closeIfStopping(w)
	w.WriteHeader(t.response.Status)
	_, err := w.Write(t.body)
	s.logEnd(j, t, nil, "whole")
	t.done(true)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// deliverLong passes a long answer on as it comes. Where it breaks off, so does ours: the
// connection ends without the closing chunk.
func (s *Server) deliverLong(w http.ResponseWriter, j *Job, t *try) {
	s.o.Dialect.Incoming(w.Header(), t.response.Header)
	if n := t.response.ContentLength; n >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(n))
	}
	s.closeIfStopping(w)
	w.WriteHeader(t.response.Status)
	_, err := io.Copy(w, t.response.Body)
	s.logEnd(j, t, nil, "long")
	t.done(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// end gives the final answer to a request that no replica answered.
func (s *Server) end(ctx context.Context, w http.ResponseWriter, j *Job, k *sink, mayRun bool, cause error) {
	if k.started {
		s.o.Logger.Info("A stream is broken off", "request", j.ID, "events", k.count, "cause", cause, "after_ms", sinceMs(j.Start))
		s.o.Metrics.Counter("streams_broken").Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.refuse(w, j, finalError(ctx, j, mayRun, cause))
}

// finalError says why a request has no answer. "Not run" is told only if no try can have
// run.
func finalError(ctx context.Context, j *Job, mayRun bool, cause error) error {
	late := !time.Now().Before(j.Deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	if mayRun && late {
		return &request.Error{Code: request.CodeDeadline, Status: http.StatusGatewayTimeout, Message: "no answer in time", Ran: request.InDoubt}
	}
	if mayRun {
		return &request.Error{Code: request.CodeTargetFailed, Status: http.StatusBadGateway, Message: "the replica failed", Ran: request.InDoubt}
	}
	var e *request.Error
	if errors.As(cause, &e) {
		return e
	}
	if late {
		return request.Refuse(request.CodeDeadline, http.StatusServiceUnavailable, fullRetry, "no replica took it in time")
	}
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, fullRetry, "no replica took it")
}

// refuse writes an error of our own.
func (s *Server) refuse(w http.ResponseWriter, j *Job, err error) {
	var e *request.Error
	if !errors.As(err, &e) {
		e = &request.Error{Code: request.CodeInternal, Status: http.StatusBadGateway, Message: err.Error(), Ran: request.InDoubt}
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", e.RetryAfter.Seconds()))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.closeIfStopping(w)
	s.o.Metrics.Tagged(map[string]string{"code": string(e.Code)}).Counter("refused").Inc(1)
	s.o.Logger.Info("A request is refused", "request", j.ID, "status", e.Status, "code", e.Code, "ran", e.Ran,
		"route", routeName(j), "why", e.Message, "after_ms", sinceMs(j.Start))
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, e.Message+"\n") // the caller may have left; there is nothing to undo
}

func routeName(j *Job) string {
	if j.Route == nil {
		return ""
	}
	return j.Route.Name
}
