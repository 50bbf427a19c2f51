package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/metrics"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/steady"
)

const (
	// defaultBodyLimit holds while no desired state names one.
	defaultBodyLimit = 4 << 20
	// notReadyRetry and maxNotReadyRetry bound when to come back to a daemon that has no desired
	// state yet, or can't be sure that its own is current.
	notReadyRetry    = 500 * time.Millisecond
	maxNotReadyRetry = 3 * time.Second
	// notReadySpread is the part of that which is left to chance: all callers that a fleet refused
	// would be back at once.
	notReadySpread = 0.4
	// outageFactor is how much longer an outage is expected to last than it has lasted.
	outageFactor = 1.5
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
	// maxUnsent bounds the replicas to which no connection could be opened. Such a try
	// reaches nobody, so it costs nothing of the retry budget: where a third of the
	// replicas died at once, requests that had met two of them were refused with the
	// others idle.
	maxUnsent = 8
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
	// Outage returns for how long nothing could be read that might be newer; nil: unknown.
	Outage func() time.Duration
	// Budget bounds the retries of one service here; the share of this daemon.
	Budget func() retry.Params
	// Suspects refuses requests that crash replicas; nil: none is refused.
	Suspects Suspects
	Logger   hclog.Logger
	Metrics  tally.Scope
}

// Server is the callers' HTTP handler.
type Server struct {
	o         Options
	stopping  atomic.Bool
	noStreams steady.Moment // when stopping, from when streams are refused
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
	if o.Outage == nil {
		o.Outage = func() time.Duration { return 0 }
	}
	o.Logger = o.Logger.Named("relay")
	s := &Server{
		o: o, budgets: map[routing.ServiceID]*retry.Budget{},
		first: map[routing.Kind]tally.Histogram{}, whole: map[routing.Kind]tally.Histogram{},
	}
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindOnce, routing.KindStream} {
		scope := o.Metrics.Tagged(map[string]string{"kind": string(kind)})
		s.first[kind] = scope.Histogram("first_answer", metrics.LatencyBuckets)
		s.whole[kind] = scope.Histogram("whole_answer", metrics.LatencyBuckets)
	}
	return s
}

// Stop makes each answer the last on its connection. Streams that come later than
// lastStream are refused: they could outlast the process.
func (s *Server) Stop(lastStream time.Duration) {
	s.noStreams.Set(time.Now().Add(lastStream))
	s.stopping.Store(true)
}

// InFlight returns the number of requests that are not answered yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	j, err := s.accept(r)
	if err != nil {
		s.refuse(w, j, err)
		return
	}
	if s.o.Suspects != nil {
		if err := s.o.Suspects.Check(j.fingerprint); err != nil {
			s.refuse(w, j, err)
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.Deadline)
	defer cancel()
	s.serve(ctx, w, j)
}

// serve sends the job until it is answered, or nothing more may be tried.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, j *Job) {
	s.budget(j.Service.ID, func(b *retry.Budget) bool { b.OnFirstTry(time.Now()); return true })
	k := &sink{w: w, control: http.NewResponseController(w), last: j.LastEvent}
	var tried []request.TargetID
	var n counts
	for {
		j.Begun = k.started
		p, err := s.placer(j).Place(ctx, j, tried)
		if err != nil {
			s.end(ctx, w, j, k, n.mayHaveRun > 0, err)
			return
		}
		if k.last != j.LastEvent {
			p.Send.LastEvent = k.last
		}
		t := s.send(ctx, j, p)
		if t.outcome == answered {
			if s.deliver(ctx, w, j, k, t) {
				s.ranToItsEnd(ctx, j)
				return
			}
		}
		n.note(t.outcome)
		if t.outcome == mayHave && t.err != nil && !t.overdue.Load() {
			s.broken(j, p.Replica)
		}
		if t.outcome == failed && !s.again(ctx, j, n) {
			s.deliverWhole(w, j, t)
			return
		}
		s.logTry(j, t, n.sent+n.unsent)
		t.done(t.body != nil)
		tried = append(tried, p.Send.Replica)
		if ctx.Err() != nil || t.outcome == callerEnd || !s.mayFollow(ctx, j, t, n, k) {
			s.end(ctx, w, j, k, n.mayHaveRun > 0, t.err)
			return
		}
	}
}

// counts are the tries of a request so far.
type counts struct {
	unsent     int // that reached no replica
	sent       int
	mayHaveRun int // of those sent
}

func (n *counts) note(o outcome) {
	switch o {
	case notSent:
		n.unsent++
	case notRun:
		n.sent++
	default:
		n.sent++
		n.mayHaveRun++
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
func (s *Server) mayFollow(ctx context.Context, j *Job, t *try, n counts, k *sink) bool {
	switch {
	case t.outcome == failed:
		return true // decided, and paid for, before
	case t.outcome == notSent:
		return n.unsent < maxUnsent && time.Until(j.Deadline) > minTimeLeft
	case t.outcome == notRun && !k.started:
		return n.sent < maxSends && time.Until(j.Deadline) > minTimeLeft && s.take(j)
	}
	return s.again(ctx, j, n)
}

// again reports whether a request that ran, or may have, may run once more.
func (s *Server) again(ctx context.Context, j *Job, n counts) bool {
	if !j.Route.Repeatable() || n.mayHaveRun >= j.Route.MaxAttempts || n.sent >= maxSends {
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
