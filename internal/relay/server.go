package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/metrics"
	"github.com/bluebellscale/bluebellscale/internal/monotime"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/waiting"
)

const (
	// defaultBodyLimit applies while the desired state sets no limit.
	defaultBodyLimit = 4 << 20
	// minNotReadyRetry and maxNotReadyRetry bound the Retry-After of a daemon that has no desired
	// state yet or can't confirm that its state is current.
	minNotReadyRetry = 500 * time.Millisecond
	maxNotReadyRetry = 3 * time.Second
	// retryJitter is the random share of a Retry-After. Without it all callers that were refused together
	// would return at the same time.
	retryJitter = 0.4
	// outageFactor is the expected total duration of an outage, as a multiple of its duration so far.
	outageFactor = 1.5
	// drainingRetry is the Retry-After of a draining daemon; another daemon can take the request.
	drainingRetry = 20 * time.Millisecond
	// noCapacityRetry is the Retry-After when no replica accepted a request. Responses take 20 to
	// 600 ms, so a replica has capacity again by then.
	noCapacityRetry = 300 * time.Millisecond
	// minTimeLeft is the least remaining time for which an attempt is sent.
	minTimeLeft = 20 * time.Millisecond
	// maxSentAttempts bounds the replicas to which a request is sent. Each one that responds "not run"
	// costs a round trip.
	maxSentAttempts = 4
	// maxUnsentAttempts bounds the replicas to which no connection could be opened. Such an attempt
	// reaches no replica and is not charged to the retry budget. When it was charged and a third of
	// the replicas died at once, requests that tried two dead replicas were refused although others
	// were idle.
	maxUnsentAttempts = 8
)

// Options configures New.
type Options struct {
	Self    request.DaemonID
	Dialect Dialect
	// Engines places requests for model replicas, Plain places requests for all other services.
	Engines Placer
	Plain   Placer
	// State returns the effective desired state, nil if none is known, and whether it is
	// confirmed to be current.
	State func() (s *routing.Snapshot, current bool)
	// AwaitCurrent waits while the desired state is about to be replaced by one that this daemon has missed; nil: it never is.
	AwaitCurrent func(ctx context.Context)
	// OutageDuration returns how long the desired state could not be read; zero: no outage. Nil: always
	// zero.
	OutageDuration func() time.Duration
	// RetryBudget returns this daemon's current share of the retry budget of one service.
	RetryBudget func() retry.Params
	WaitPolicy  WaitPolicy // of requests that may wait in Room
	// CrashTracker refuses requests that crash replicas; nil: no request is refused.
	CrashTracker CrashTracker
	// Replaced reports whether a replica is no longer registered, or another one has its address; nil: none is.
	Replaced func(r *replicas.Replica) bool
	// Succeeded reports whether another replica is registered at a replica's address; nil: none is.
	Succeeded func(r *replicas.Replica) bool
	// PathIsSound reports whether this daemon reaches other replicas than one that it does not reach; nil: it always does.
	PathIsSound func(ctx context.Context, unreached *replicas.Replica) bool
	// Memory bounds what the daemon holds in memory for requests; the zero value does not.
	Memory memory.Params
	// StallTimeout is how long a caller may make no progress while it sends a body or takes a response; zero: DefaultStallTimeout.
	StallTimeout time.Duration
	// Peers chooses daemons to which requests are forwarded while this one is partitioned from replicas; nil: none is.
	Peers Peers
	// MaxReceived bounds the requests that other daemons forward to this one and that are in progress; zero: it takes none.
	MaxReceived int
	// Origins says at which version a stream goes on that its caller resumes; nil: at any.
	Origins Origins
	// Room holds the requests that wait for room at the replicas; nil: none waits.
	Room    *waiting.Room
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Server is the HTTP handler for callers' requests.
type Server struct {
	o            Options
	draining     atomic.Bool
	streamCutoff monotime.Instant // while draining, the time from which new streams are refused
	inFlight     atomic.Int64
	received     atomic.Int64 // requests in progress that other daemons forwarded
	memory       *budget

	timeToFirst    map[routing.Kind]tally.Histogram // latency of the first event, or of the complete response
	timeToComplete map[routing.Kind]tally.Histogram // latency of the end of the response

	mu      sync.Mutex
	budgets map[routing.ServiceID]*retry.Budget
}

// New returns a Server.
func New(o Options) *Server {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.AwaitCurrent == nil {
		o.AwaitCurrent = func(context.Context) {}
	}
	if o.OutageDuration == nil {
		o.OutageDuration = func() time.Duration { return 0 }
	}
	if o.StallTimeout <= 0 {
		o.StallTimeout = DefaultStallTimeout
	}
	o.Logger = o.Logger.Named("relay")
	s := &Server{
		o: o, memory: newBudget(o.Memory, o.Metrics), budgets: map[routing.ServiceID]*retry.Budget{},
		timeToFirst: map[routing.Kind]tally.Histogram{}, timeToComplete: map[routing.Kind]tally.Histogram{},
	}
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindOnce, routing.KindStream} {
		scope := o.Metrics.Tagged(map[string]string{"kind": string(kind)})
		s.timeToFirst[kind] = scope.Histogram("first_answer", metrics.LatencyBuckets)
		s.timeToComplete[kind] = scope.Histogram("whole_answer", metrics.LatencyBuckets)
	}
	return s
}

// StartDraining makes each response close its connection. Streams that arrive later than
// acceptStreamsFor from now are refused, because they could outlast the process.
func (s *Server) StartDraining(acceptStreamsFor time.Duration) {
	cutoff := time.Now().Add(acceptStreamsFor)
	s.streamCutoff.Set(cutoff)
	s.draining.Store(true)
	if s.o.Room != nil {
		s.o.Room.Drain(cutoff)
	}
}

// OnState tells that a newer desired state is in force: requests that wait are judged by it. It does not block.
func (s *Server) OnState() {
	if s.o.Room != nil {
		s.o.Room.OnRoom(nil)
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handle(w, r, nil) }

// handle serves a request of a caller, or one that another daemon forwarded.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, from *received) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	out := newProgressWriter(w, s.o.StallTimeout)
	w = out
	j, err := s.accept(w, r, from)
	defer s.end(j, out)
	if err != nil {
		s.writeError(w, j, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.Deadline)
	defer cancel()
	if err := s.bindResumed(ctx, j); err != nil {
		s.writeError(w, j, err)
		return
	}
	s.serve(ctx, w, j)
}

// serve makes attempts until the job is answered or no further attempt is allowed.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, j *Job) {
	out := &sink{w: w, control: http.NewResponseController(w), lastEventID: j.LastEventID}
	h := newHistory(j)
	for {
		if out.started {
			j.ResponseStarted, j.Software = true, out.software
		}
		var a *attempt
		var err error
		j, a, err = s.attemptCurrent(ctx, j, out, h)
		if err != nil {
			s.finishUnanswered(ctx, w, j, out, h.mayHaveRun > 0, err)
			return
		}
		s.countResume(j, a)
		if out.started {
			a.rejectUnlessStream()
		}
		if a.outcome == answered {
			if s.deliver(ctx, w, j, out, a) {
				s.recordSuccess(j, a)
				return
			}
		}
		h.add(a)
		var check *crashCheck
		if a.peer == nil && a.outcome == mayHaveRun && a.err != nil && !a.startOverdue.Load() {
			check = s.checkForCrash(j, a)
		}
		if a.outcome == failed && !out.started && !s.mayRunAgain(ctx, j, h) {
			s.deliverComplete(ctx, w, j, a)
			return
		}
		s.logFailedAttempt(j, a, h.sent+h.unsent+len(h.peers))
		a.release(a.body != nil)
		if ctx.Err() != nil || a.outcome == cancelled || !s.mayRetry(ctx, j, a, h, out) {
			s.finishUnanswered(ctx, w, j, out, h.mayHaveRun > 0, a.err)
			return
		}
		if check != nil {
			if err := s.awaitCrashCheck(ctx, j, check, h); err != nil {
				s.finishUnanswered(ctx, w, j, out, h.mayHaveRun > 0, err)
				return
			}
		}
	}
}

// attempt sends the request to a replica, or to another daemon if this one has lost the path to the replicas. An error means
// that there is neither.
func (s *Server) attempt(ctx context.Context, j *Job, out *sink, h *history) (*attempt, error) {
	if err := s.refuseCrashing(j); err != nil {
		return nil, err
	}
	if a := s.forward(ctx, j, out, h, false); a != nil {
		return a, nil
	}
	if s.o.Peers != nil && s.o.Peers.Exhausted(j.Service.ID) {
		return nil, h.lostRefusal()
	}
	s.countRequest(j, h)
	p, err := s.place(ctx, j, h.replicas)
	if err != nil {
		if a := s.forward(ctx, j, out, h, true); a != nil {
			return a, nil
		}
		return nil, err
	}
	if err := s.admitPlaced(ctx, j, p); err != nil {
		return nil, err
	}
	if s.superseded(j) {
		p.abandon() // it may have waited, and its replica, salt or organisation may be wrong now
		return nil, errSuperseded
	}
	if out.lastEventID != j.LastEventID {
		p.Meta.LastEventID = out.lastEventID
	}
	return s.send(ctx, j, p), nil
}

// countRequest adds the request, placed or not, to those from which the retry budget is earned, once for all daemons.
func (s *Server) countRequest(j *Job, h *history) {
	if h.counted {
		return
	}
	h.counted = true
	s.withBudget(j.Service.ID, func(b *retry.Budget) bool { b.OnFirstAttempt(time.Now()); return true })
}

// history is what was tried for a request.
type history struct {
	unsent     int // attempts that reached no replica
	sent       int
	mayHaveRun int                // sent attempts whose request may have run
	checks     []*crashCheck      // of the replicas at which the request broke
	counted    bool               // the request counts for the retry budget
	final      bool               // another daemon has tried what may be tried
	replicas   []request.TargetID // that were tried
	reached    []request.TargetID // of replicas: those that may have got the request
	peers      []request.DaemonID
	refusal    *request.Error // of the last peer; nil: none refused
}

// newHistory returns the history of a request before the first attempt of this daemon.
func newHistory(j *Job) *history {
	if j.received == nil {
		return &history{}
	}
	return &history{
		sent: j.received.mayHaveRun, mayHaveRun: j.received.mayHaveRun, counted: j.received.counted,
		replicas: slices.Clone(j.received.replicas), reached: slices.Clone(j.received.replicas),
	}
}

func (h *history) add(a *attempt) {
	if a.peer != nil {
		h.addPeer(a)
		return
	}
	h.replicas = append(h.replicas, a.placement.Meta.Replica)
	if a.outcome == notSent {
		h.unsent++
		return
	}
	h.reached = append(h.reached, a.placement.Meta.Replica)
	switch a.outcome {
	case notRun:
		h.sent++
	default:
		h.sent++
		h.mayHaveRun++
	}
}

func (s *Server) placer(j *Job) Placer {
	if j.Service.Engine != nil {
		return s.o.Engines
	}
	return s.o.Plain
}

// mayRetry reports whether another attempt may follow a failed one. It charges the retry budget
// where the retry requires it.
func (s *Server) mayRetry(ctx context.Context, j *Job, a *attempt, h *history, out *sink) bool {
	switch {
	case h.final, out.started && !out.software.Bound, out.unnumbered:
		return false
	case a.outcome == failed && !out.started:
		return true // mayRunAgain has allowed and charged the retry
	case a.outcome == notSent:
		return h.unsent < maxUnsentAttempts && time.Until(j.Deadline) > minTimeLeft
	case a.outcome == notRun && !out.started:
		return h.sent < maxSentAttempts && time.Until(j.Deadline) > minTimeLeft && s.takeRetry(j)
	}
	return s.mayRunAgain(ctx, j, h)
}

// mayRunAgain reports whether a request that ran or may have run may be sent again, and charges the
// retry budget.
func (s *Server) mayRunAgain(ctx context.Context, j *Job, h *history) bool {
	if !j.Route.Repeatable() || h.mayHaveRun >= j.Route.MaxAttempts || h.sent >= maxSentAttempts {
		return false
	}
	if ctx.Err() != nil || time.Until(j.Deadline) < minTimeLeft {
		return false
	}
	return s.takeRetry(j)
}

func (s *Server) takeRetry(j *Job) bool {
	ok := s.withBudget(j.Service.ID, func(b *retry.Budget) bool { return b.TryTake(time.Now()) })
	if !ok {
		s.o.Metrics.Counter("retries_over_budget").Inc(1)
	}
	return ok
}

func (s *Server) withBudget(id routing.ServiceID, use func(*retry.Budget) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, params := time.Now(), s.o.RetryBudget()
	b, ok := s.budgets[id]
	if !ok {
		b = retry.NewBudget(now, params)
		s.budgets[id] = b
	}
	b.SetParams(now, params) // the share depends on the number of daemons, which changes
	return use(b)
}
