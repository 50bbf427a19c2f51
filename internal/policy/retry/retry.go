// Package retry decides what follows a failed attempt of a request: a retry on another target, a
// resume of its stream, or the final answer.
//
// Retries are bounded in two ways. The number of retries of a request is limited, and the retries of
// a set of targets are limited to a share of its first attempts, so that a failure of many targets
// does not double the load on the others. A request is retried only if it did not run or may run
// twice. A resumed stream is not a retry, since the target does no work twice; the number of resumes
// has its own limit.
//
// The package is pure: it holds no clock, I/O or goroutine; randomness is passed in.
package retry

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Defaults of Params.
const (
	DefaultMaxRetries = 2
	DefaultMaxResumes = 6
	DefaultShare      = 0.1
	DefaultBurst      = 10
	DefaultPerSecond  = 0.2
	DefaultBaseDelay  = 20 * time.Millisecond
	DefaultMaxDelay   = 500 * time.Millisecond
)

// Params bounds retries. Zero values take the defaults above.
type Params struct {
	MaxRetries int     // per request
	MaxResumes int     // per request, over all targets
	Share      float64 // retries per first attempt of the target set
	Burst      float64 // retries at once, in addition to Share
	PerSecond  float64 // retries per second that are always allowed, for sets with little traffic
	// SavedShare is the part of Share that may accumulate over Window, in addition to Burst. When a
	// replica dies, all its streams fail at once, while few requests fail between such deaths. Zero:
	// nothing accumulates.
	SavedShare float64
	Window     time.Duration
	BaseDelay  time.Duration
	MaxDelay   time.Duration
	// Provisional is set while Burst is the least, because the share of the holder of the budget is not known. The rest is added once it
	// is.
	Provisional bool
}

func (p *Params) setDefaults() {
	setDefault(&p.MaxRetries, DefaultMaxRetries)
	setDefault(&p.MaxResumes, DefaultMaxResumes)
	setDefault(&p.Share, DefaultShare)
	setDefault(&p.Burst, DefaultBurst)
	setDefault(&p.PerSecond, DefaultPerSecond)
	setDefault(&p.BaseDelay, DefaultBaseDelay)
	setDefault(&p.MaxDelay, DefaultMaxDelay)
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Budget is the retry budget of a set of targets, for example the replicas of a model. It is not
// safe for concurrent use.
type Budget struct {
	params         Params
	tokens         float64
	refilledAt     time.Time
	recentAttempts float64 // first attempts within Window, with exponentially decaying weight
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, p Params) *Budget {
	p.setDefaults()
	return &Budget{params: p, tokens: p.Burst, refilledAt: now}
}

// SetParams replaces the bounds. What a lower bound leaves no room for is lost.
func (b *Budget) SetParams(now time.Time, p Params) {
	b.refill(now)
	p.setDefaults()
	if b.params.Provisional && !p.Provisional {
		b.tokens += max(0, p.Burst-b.params.Burst)
	}
	b.params = p
	b.tokens = min(b.capacity(), b.tokens)
}

// OnFirstAttempt adds a first attempt's share of a retry to the budget.
func (b *Budget) OnFirstAttempt(now time.Time) {
	b.refill(now)
	b.recentAttempts++
	b.tokens = min(b.capacity(), b.tokens+b.params.Share)
}

// capacity returns the maximum number of retries in the budget.
func (b *Budget) capacity() float64 { return b.params.Burst + b.params.SavedShare*b.recentAttempts }

// Remaining returns the number of retries that are left now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		if b.params.Window > 0 {
			b.recentAttempts *= math.Exp(-elapsed.Seconds() / b.params.Window.Seconds())
		}
		b.tokens = min(b.capacity(), b.tokens+elapsed.Seconds()*b.params.PerSecond)
		b.refilledAt = now
	}
}

func (b *Budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TryTake takes one retry from the budget if there is one. It is for callers whose failures imply
// that the request may run on another target.
func (b *Budget) TryTake(now time.Time) bool {
	b.refill(now)
	return b.take()
}

// timeToNextRetry returns the longest time until the budget allows a retry.
func (b *Budget) timeToNextRetry() time.Duration {
	missing := max(0, 1-b.tokens)
	return time.Duration(missing / b.params.PerSecond * float64(time.Second))
}

// Request is the state of a request between its attempts.
type Request struct {
	// Repeatable is set if the request may run twice without harm: prompts, and calls of plain
	// services whose targets the targets table marks as repeatable.
	Repeatable bool
	// Deadline is the time by which the answer must begin. Zero: none.
	Deadline time.Time
	// Started is set once the caller has received bytes of an answer. The answer of another target
	// would not continue them.
	Started bool
	Retries int // so far; counted by the caller of Decide
	Resumes int // so far; counted by the caller of Decide
}

// Failure describes a failed attempt.
type Failure struct {
	// Err is the error for the caller if there is no retry; its Ran says whether the target ran the
	// request.
	Err *request.Error
	// Resumable is set if the target presumably still holds the stream: the connection was closed or
	// silent, and the target is alive.
	Resumable bool
}

// Decision is the result of Decide: RetryElsewhere, ResumeStream or GiveUp.
type Decision interface{ isDecision() }

// RetryElsewhere places the request again on another target than the failed one.
type RetryElsewhere struct{ Delay time.Duration }

// ResumeStream requests the rest of the stream from the same target.
type ResumeStream struct{ Delay time.Duration }

// GiveUp returns the final error to the caller at once.
type GiveUp struct{ Err *request.Error }

func (RetryElsewhere) isDecision() {}
func (ResumeStream) isDecision()   {}
func (GiveUp) isDecision()         {}

// Decide returns what to do after a failed attempt. RetryElsewhere costs one token of the budget.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, r Request, f Failure) Decision {
	b.refill(now)
	if f.Resumable && r.Resumes < b.params.MaxResumes {
		if delay := b.delay(rng, r.Resumes); beforeDeadline(now, delay, r) {
			return ResumeStream{Delay: delay}
		}
	}
	if r.Started || !mayRetry(r, f.Err) || r.Retries >= b.params.MaxRetries {
		return GiveUp{Err: f.Err}
	}
	delay := b.delay(rng, r.Retries)
	if !beforeDeadline(now, delay, r) {
		return GiveUp{Err: deadlineExceeded(f.Err)}
	}
	if !b.take() {
		return GiveUp{Err: withRetryAfter(f.Err, b.timeToNextRetry())}
	}
	return RetryElsewhere{Delay: delay}
}

// delay grows exponentially with the number of attempts. The jitter of half of it prevents requests that
// failed together from being retried together.
func (b *Budget) delay(rng *rand.Rand, attempts int) time.Duration {
	d := b.params.BaseDelay << min(attempts, 16)
	d = min(d, b.params.MaxDelay)
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}

// mayRetry reports whether another attempt is safe and may succeed.
func mayRetry(r Request, err *request.Error) bool {
	if err.Ran != request.NotRun && !r.Repeatable {
		return false
	}
	switch err.Code {
	case request.CodeTargetFailed, request.CodeNoTarget, request.CodeOverloaded,
		request.CodeWrongVersion, request.CodeTruncatedStream, request.CodeDraining, request.CodeNotHolder:
		return true
	default:
		return false
	}
}

func beforeDeadline(now time.Time, delay time.Duration, r Request) bool {
	return r.Deadline.IsZero() || now.Add(delay).Before(r.Deadline)
}

// deadlineExceeded converts a failure into a missed deadline, since no retry can begin in time.
func deadlineExceeded(err *request.Error) *request.Error {
	out := *err
	out.Code = request.CodeDeadline
	out.Status = http.StatusGatewayTimeout
	out.Message = "no time is left for another try: " + err.Message
	return &out
}

func withRetryAfter(err *request.Error, after time.Duration) *request.Error {
	out := *err
	out.RetryAfter = max(out.RetryAfter, after)
	return &out
}
