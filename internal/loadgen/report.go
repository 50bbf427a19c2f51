package loadgen

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeAnswered   outcome = iota // whole, and its own
	outcomeWrong                     // not its own, or not whole although it ended as if it were
	outcomeUnanswered                // no final answer in time
	outcomeInDoubt                   // told that it may have run
	outcomeGivenUp                   // last told that it did not run
	outcomeNotKept                   // told that it ran and that its result is no longer kept
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "wrong", "unanswered", "in_doubt", "given_up", "not_kept"}

// String implements fmt.Stringer.
func (o outcome) String() string { return outcomeNames[o] }

const (
	shortestTTFT  = int64(time.Microsecond)
	longestTTFT   = int64(time.Hour)
	ttftPrecision = 3 // digits
)

// Report is what a run showed.
type Report struct {
	Requests            int
	Answered            int
	Lost                int // Wrong + Unanswered + NotExecuted
	Wrong               int
	Unanswered          int
	NotExecuted         int // calls that were answered but never executed
	InDoubt             int
	NotRun              int
	ResultNotKept       int
	DuplicateExecutions int // keys executed more than once
	FalseNotRun         int // keys last refused as "not run" that were executed
	Refused             int // refusals on the way, each followed by a retry or by giving up
	FailedAttempts      int // tries that ended without an answer and were made again

	TTFTP50, TTFTP95             time.Duration // of all completions
	ReturnTTFTP50, ReturnTTFTP95 time.Duration // of those on a returning context
	PromptTokens, CachedTokens   int64         // of returning prompts
	Elapsed                      time.Duration
}

// RecomputedShare is the share of returning prompts' tokens that was computed again.
func (r Report) RecomputedShare() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return 1 - float64(r.CachedTokens)/float64(r.PromptTokens)
}

// Failed tells whether the run shows a broken promise, or nothing at all.
func (r Report) Failed() bool {
	return r.Lost > 0 || r.DuplicateExecutions > 0 || r.FalseNotRun > 0 || r.Answered == 0
}

// Print writes the report as lines of name=value.
func (r Report) Print(w io.Writer) {
	for _, line := range []struct {
		name  string
		value any
	}{
		{"requests", r.Requests},
		{"answered", r.Answered},
		{"lost", r.Lost},
		{"wrong", r.Wrong},
		{"unanswered", r.Unanswered},
		{"not_executed", r.NotExecuted},
		{"in_doubt", r.InDoubt},
		{"given_up", r.NotRun},
		{"result_not_kept", r.ResultNotKept},
		{"doubled", r.DuplicateExecutions},
		{"false_not_run", r.FalseNotRun},
		{"refused", r.Refused},
		{"cut", r.FailedAttempts},
		{"ttft_p50_ms", milliseconds(r.TTFTP50)},
		{"ttft_p95_ms", milliseconds(r.TTFTP95)},
		{"return_ttft_p50_ms", milliseconds(r.ReturnTTFTP50)},
		{"return_ttft_p95_ms", milliseconds(r.ReturnTTFTP95)},
		{"recomputed_share", fmt.Sprintf("%.4f", r.RecomputedShare())},
		{"elapsed_ms", milliseconds(r.Elapsed)},
	} {
		fmt.Fprintf(w, "%s=%v\n", line.name, line.value)
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// tally collects outcomes while callers run.
type tally struct {
	onSettled func(int)

	mu       sync.Mutex
	counts   [outcomes]int
	settled  int
	refused  int
	cut      int
	ttft     *hdrhistogram.Histogram
	returns  *hdrhistogram.Histogram
	prompt   int64
	cached   int64
	outcomes map[string]outcome // of service calls, by key
}

func newTally(onSettled func(int)) *tally {
	return &tally{
		onSettled: onSettled,
		ttft:      hdrhistogram.New(shortestTTFT, longestTTFT, ttftPrecision),
		returns:   hdrhistogram.New(shortestTTFT, longestTTFT, ttftPrecision),
		outcomes:  make(map[string]outcome),
	}
}

func (t *tally) refusal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused++
}

func (t *tally) lostConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut++
}

func (t *tally) settle(o outcome) {
	t.mu.Lock()
	t.counts[o]++
	t.settled++
	settled := t.settled
	t.mu.Unlock()
	if t.onSettled != nil {
		t.onSettled(settled)
	}
}

func (t *tally) settleCompletion(o outcome, returning bool, ttft time.Duration, usage usage) {
	if o == outcomeAnswered {
		t.measure(returning, ttft, usage)
	}
	t.settle(o)
}

func (t *tally) measure(returning bool, ttft time.Duration, usage usage) {
	value := min(max(int64(ttft), shortestTTFT), longestTTFT)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttft.RecordValue(value)
	if !returning {
		return
	}
	t.returns.RecordValue(value)
	t.prompt += int64(usage.PromptTokens)
	t.cached += int64(usage.CachedTokens)
}

func (t *tally) settleCall(key string, o outcome) {
	t.mu.Lock()
	t.outcomes[key] = o
	t.mu.Unlock()
	t.settle(o)
}

// report sums up, with executions by idempotency key.
func (t *tally) report(executions map[string]int) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Requests:       t.settled,
		Answered:       t.counts[outcomeAnswered],
		Wrong:          t.counts[outcomeWrong],
		Unanswered:     t.counts[outcomeUnanswered],
		InDoubt:        t.counts[outcomeInDoubt],
		NotRun:         t.counts[outcomeGivenUp],
		ResultNotKept:  t.counts[outcomeNotKept],
		Refused:        t.refused,
		FailedAttempts: t.cut,
		TTFTP50:        time.Duration(t.ttft.ValueAtQuantile(50)),
		TTFTP95:        time.Duration(t.ttft.ValueAtQuantile(95)),
		ReturnTTFTP50:  time.Duration(t.returns.ValueAtQuantile(50)),
		ReturnTTFTP95:  time.Duration(t.returns.ValueAtQuantile(95)),
		PromptTokens:   t.prompt,
		CachedTokens:   t.cached,
	}
	for key, o := range t.outcomes {
		n := executions[key]
		switch {
		case n > 1:
			r.DuplicateExecutions++
		case n == 1 && o == outcomeGivenUp:
			r.FalseNotRun++
		case n == 0 && (o == outcomeAnswered || o == outcomeNotKept):
			r.NotExecuted++
		}
	}
	r.Lost = r.Wrong + r.Unanswered + r.NotExecuted
	return r
}
