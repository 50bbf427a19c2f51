// Package retry decides what follows a failed try of a request: a retry elsewhere, a
// resume of its stream, or its final answer.
//
// Retries are bounded twice: each request by a count, and each set of targets by a
// share of its first tries, so that a fault of many targets does not double the load
// on the rest. A retry is made only where the request did not run or may run twice.
// Resuming a stream is not a retry, since the target does no work twice, and has a
// bound of its own.
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
	MaxRetries int     // of one request
	MaxResumes int     // of one request's streams, over all targets
	Share      float64 // retries for each first try of the target set
	Burst      float64 // retries at once above that
	PerSecond  float64 // retries a second that are always allowed, for sets with few calls
	// SavedShare is how much of Share may be saved up over Window, on top of Burst: a replica that dies
	// takes all its streams with it, and few requests fail in between. Zero: nothing.
	SavedShare float64
	Window     time.Duration
	BaseDelay  time.Duration
	MaxDelay   time.Duration
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

// Budget is the retry budget of one set of targets, for example the replicas of a
// model. It is not safe for concurrent use.
type Budget struct {
	params Params
	tokens float64
	at     time.Time
	recent float64 // first tries within a window, the older ones counted less
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, p Params) *Budget {
	p.setDefaults()
	return &Budget{params: p, tokens: p.Burst, at: now}
}

// OnFirstAttempt earns the set its share of a retry.
func (b *Budget) OnFirstAttempt(now time.Time) {
	b.fill(now)
	b.recent++
	b.tokens = min(b.most(), b.tokens+b.params.Share)
}

// most returns how many retries may be left at most.
func (b *Budget) most() float64 { return b.params.Burst + b.params.SavedShare*b.recent }

// Remaining returns how many retries are left now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

func (b *Budget) fill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		if b.params.Window > 0 {
			b.recent *= math.Exp(-elapsed.Seconds() / b.params.Window.Seconds())
		}
		b.tokens = min(b.most(), b.tokens+elapsed.Seconds()*b.params.PerSecond)
		b.at = now
	}
}

func (b *Budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TryTake takes one retry from the budget if there is one. It is for callers whose
// failures say by themselves that the request may go elsewhere.
func (b *Budget) TryTake(now time.Time) bool {
	b.fill(now)
	return b.take()
}

// untilOne returns when the budget allows a retry at the latest.
func (b *Budget) untilOne() time.Duration {
	missing := max(0, 1-b.tokens)
	return time.Duration(missing / b.params.PerSecond * float64(time.Second))
}

// Request is what is known of a request between its tries.
type Request struct {
	// Repeatable is set if running twice does no harm: prompts, and calls of plain
	// services whose table row says so.
	Repeatable bool
	// Deadline is when the answer must begin. Zero: none.
	Deadline time.Time
	// Started is set once bytes of an answer went to the caller. Another target's
	// answer would not continue them.
	Started bool
	Retries int // so far; counted by the caller of Decide
	Resumes int // so far; counted by the caller of Decide
}

// Failure is the outcome of a try.
type Failure struct {
	// Err is what the caller would get; its Ran says whether the target ran the
	// request.
	Err *request.Error
	// Resumable is set if the target is thought to hold the stream still: it was cut
	// or silent, and the target lives.
	Resumable bool
}

// Decision answers Decide: RetryElsewhere, ResumeStream or GiveUp.
type Decision interface{ isDecision() }

// RetryElsewhere places the request again, without the target that failed.
type RetryElsewhere struct{ Delay time.Duration }

// ResumeStream asks the same target for the rest of the stream.
type ResumeStream struct{ Delay time.Duration }

// GiveUp is the final answer, to be given at once.
type GiveUp struct{ Err *request.Error }

func (RetryElsewhere) isDecision() {}
func (ResumeStream) isDecision()   {}
func (GiveUp) isDecision()         {}

// Decide says what follows a failure. It takes from the budget when it retries.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, r Request, f Failure) Decision {
	b.fill(now)
	if f.Resumable && r.Resumes < b.params.MaxResumes {
		if delay := b.delay(rng, r.Resumes); inTime(now, delay, r) {
			return ResumeStream{Delay: delay}
		}
	}
	if r.Started || !mayRetry(r, f.Err) || r.Retries >= b.params.MaxRetries {
		return GiveUp{Err: f.Err}
	}
	delay := b.delay(rng, r.Retries)
	if !inTime(now, delay, r) {
		return GiveUp{Err: late(f.Err)}
	}
	if !b.take() {
		return GiveUp{Err: withRetryAfter(f.Err, b.untilOne())}
	}
	return RetryElsewhere{Delay: delay}
}

// delay grows with the number of tries. The jitter, of half of it, keeps requests that
// failed together from coming back together.
func (b *Budget) delay(rng *rand.Rand, tries int) time.Duration {
	d := b.params.BaseDelay << min(tries, 16)
	d = min(d, b.params.MaxDelay)
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}

// mayRetry reports whether another try may help and does no harm.
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

func inTime(now time.Time, delay time.Duration, r Request) bool {
	return r.Deadline.IsZero() || now.Add(delay).Before(r.Deadline)
}

// late turns a failure that nothing can follow in time into a missed deadline.
func late(err *request.Error) *request.Error {
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
