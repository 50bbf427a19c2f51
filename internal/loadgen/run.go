package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/service"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const (
	dialTimeout           = time.Second
	maxIdleConnsPerDaemon = 64
	executionsTimeout     = 5 * time.Second
	letters               = "abcdefghijklmnopqrstuvwxyz "
)

// driver holds the state of one run.
type driver struct {
	c      Config
	log    hclog.Logger
	router *router
	api    *apiClient
	tally  *tally
}

// Run sends the load and returns the report. It returns an error only if it could not
// complete the measurement. Violated guarantees are part of the report.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.check(); err != nil {
		return Report{}, err
	}
	c = c.withDefaults()
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerDaemon,
		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
	defer transport.CloseIdleConnections()
	d := &driver{
		c:      c,
		log:    c.Logger.Named("loadgen"),
		router: newRouter(c.Daemons, transport),
		api:    &apiClient{client: &http.Client{Transport: transport}, idleTimeout: c.IdleTimeout},
		tally:  newTally(c.OnSettled),
	}
	start := time.Now()
	d.drive(ctx)
	elapsed := time.Since(start)
	if err := ctx.Err(); err != nil {
		return Report{}, errors.Wrap(err, "loadgen: run cancelled")
	}
	executions, err := d.executions(ctx)
	if err != nil {
		return Report{}, err
	}
	report := d.tally.report(executions)
	report.Elapsed = elapsed
	return report, nil
}

func (d *driver) drive(ctx context.Context) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for i, org := range d.c.Orgs {
		for n := range d.c.Contexts {
			rng := d.newRand(i, n)
			callers.Go(func() { d.runContext(ctx, org, n, rng) })
		}
		if d.c.Calls == 0 {
			continue
		}
		for n := range d.c.Callers {
			rng := d.newRand(i, d.c.Contexts+n)
			callers.Go(func() { d.runCaller(ctx, org, n, rng) })
		}
	}
}

// newRand returns a random source for one caller. Each caller has its own, so that the
// seed determines the requests of each caller whatever their interleaving is.
func (d *driver) newRand(org, caller int) *rand.Rand {
	const spread = 1_000_003
	return rand.New(rand.NewSource((d.c.Seed*spread+int64(org))*spread + int64(caller)))
}

// runContext sends the completions of one context with gaps between them.
func (d *driver) runContext(ctx context.Context, org Org, n int, rng *rand.Rand) {
	head := fmt.Sprintf("%s %s %d ", d.c.RunID, org.ID, n)
	text := head + randomText(rng, d.c.ContextTokens*block.BytesPerToken-len(head))
	if sleep.For(ctx, time.Duration(rng.Int63n(int64(d.c.Gap)+1))) != nil {
		return
	}
	for turn := range d.c.Turns {
		if turn > 0 && sleep.For(ctx, randomGap(rng, d.c.Gap)) != nil {
			return
		}
		prompt := text + randomText(rng, d.c.TurnTokens*block.BytesPerToken)
		d.runCompletion(ctx, org, prompt, turn > 0)
	}
}

// randomGap returns an exponentially distributed time with the given mean, limited to
// between a fifth and three times the mean.
func randomGap(rng *rand.Rand, mean time.Duration) time.Duration {
	const minFactor, maxFactor = 0.2, 3
	return time.Duration(min(max(rng.ExpFloat64(), minFactor), maxFactor) * float64(mean))
}

func randomText(rng *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		b.WriteByte(letters[rng.Intn(len(letters))])
	}
	return b.String()
}

// runCompletion sends one completion and checks its answer. Completions are idempotent and
// may be retried after any failure.
func (d *driver) runCompletion(ctx context.Context, org Org, prompt string, returning bool) {
	route := completionRoute(org.Key, d.c.Model, prompt)
	body := completionBody{Model: d.c.Model, Prompt: prompt, MaxTokens: d.c.MaxTokens, Stream: true}
	start := time.Now()
	var answer completion
	o, attempts := d.retry(ctx, route, func(ctx context.Context, address string) error {
		var err error
		answer, err = d.api.complete(ctx, address, org.Key, body)
		return err
	})
	if ctx.Err() != nil {
		return
	}
	var u usage
	if o == outcomeAnswered {
		if o = d.checkCompletion(org, body, answer); o == outcomeAnswered {
			u = *answer.usage
		}
	}
	d.notifyEnd(start, attempts, o)
	d.tally.recordCompletion(o, returning, answer.firstAt.Sub(start), u)
}

func (d *driver) checkCompletion(org Org, body completionBody, answer completion) outcome {
	want := engine.ExpectedText(body.Prompt, body.MaxTokens)
	if answer.text == want && answer.usage != nil && answer.usage.CompletionTokens == body.MaxTokens {
		return outcomeAnswered
	}
	d.log.Error("Completion differs from the expected text", "org", org.ID, "got", len(answer.text), "want", len(want), "usage", answer.usage)
	return outcomeWrong
}

// runCaller sends one caller's share of the service calls of an organisation.
func (d *driver) runCaller(ctx context.Context, org Org, caller int, rng *rand.Rand) {
	for n := caller; n < d.c.Calls; n += d.c.Callers {
		if sleep.For(ctx, randomGap(rng, d.c.CallGap)) != nil {
			return
		}
		key := fmt.Sprintf("%s-%s-%d", d.c.RunID, org.ID, n)
		d.callService(ctx, org, key, []byte(randomText(rng, d.c.CallBody)))
	}
}

// callService sends one service call. Every attempt has the same idempotency key.
func (d *driver) callService(ctx context.Context, org Org, key string, body []byte) {
	path := service.PathServices + d.c.Service + "/run"
	var answer []byte
	start := time.Now()
	o, attempts := d.retry(ctx, routeQuery{key: org.Key, service: d.c.Service}, func(ctx context.Context, address string) error {
		var err error
		answer, err = d.api.callService(ctx, address, org.Key, path, key, body)
		return d.markNotRetryable(err)
	})
	if ctx.Err() != nil {
		return
	}
	var result service.Response
	if o == outcomeAnswered && (json.Unmarshal(answer, &result) != nil || result.Key != key || result.Bytes != len(body)) {
		d.log.Error("Service returned an unexpected result", "key", key, "got", string(answer))
		o = outcomeWrong
	}
	d.notifyEnd(start, attempts, o)
	d.tally.recordCall(key, o)
}

// notifyEnd calls OnEnd if it is set.
func (d *driver) notifyEnd(start time.Time, attempts int, o outcome) {
	if d.c.OnEnd == nil {
		return
	}
	now := time.Now()
	d.c.OnEnd(RequestEnd{At: now, Duration: now.Sub(start), Attempts: attempts, Outcome: o.String()})
}

// errNotRetryable marks a refusal after which the request must not be retried.
var errNotRetryable = errors.New("loadgen: not retryable")

// markNotRetryable marks refusals that end a service call. Unlike a completion, a service
// call is not retried once a refusal says that it has run or is in doubt, except while it
// is still in progress.
func (d *driver) markNotRetryable(err error) error {
	var r *refusal
	if !errors.As(err, &r) || r.Ran == request.NotRun || r.Code == request.CodeInProgress {
		return err
	}
	return errors.Mark(err, errNotRetryable)
}

// retry makes attempts until one is answered, a refusal is terminal, or the request times
// out. After an attempt without a response it prefers other addresses. It returns the
// outcome and the number of attempts.
func (d *driver) retry(ctx context.Context, route routeQuery, attempt func(context.Context, string) error) (o outcome, attempts int) {
	ctx, cancel := context.WithTimeout(ctx, d.c.RequestTimeout)
	defer cancel()
	last := outcomeUnanswered
	for {
		address := d.router.address(ctx, route)
		attempts++
		err := attempt(ctx, address)
		if err == nil {
			return outcomeAnswered, attempts
		}
		if ctx.Err() != nil {
			d.log.Warn("Request timed out", "address", address, "error", err)
			return last, attempts
		}
		wait := DefaultBackoff
		var r *refusal
		if errors.As(err, &r) {
			d.tally.countRefusal()
			last = outcomeOf(r)
			if isTerminal(err, r) {
				d.log.Debug("Request refused, not retrying", "address", address, "error", err)
				return last, attempts
			}
			d.log.Debug("Request refused, retrying", "address", address, "error", err)
			wait = d.backoff(r)
		} else {
			d.log.Debug("Attempt got no response, retrying", "address", address, "error", err)
			d.tally.countFailedAttempt(errors.Is(err, errFalselyComplete))
			d.router.markFailed(address)
			last = outcomeUnanswered
		}
		if sleep.For(ctx, wait) != nil {
			return last, attempts
		}
	}
}

// isTerminal reports whether a refusal ends the request: either the request must not be
// retried, or it did not run and the refusal has no retry-after time.
func isTerminal(err error, r *refusal) bool {
	return errors.Is(err, errNotRetryable) || (r.Ran == request.NotRun && r.RetryAfterMs == 0)
}

func outcomeOf(r *refusal) outcome {
	switch {
	case r.Code == request.CodeResultNotKept:
		return outcomeResultNotKept
	case r.Ran == request.NotRun:
		return outcomeNotRun
	case r.Ran == request.InDoubt:
		return outcomeInDoubt
	default:
		return outcomeUnanswered
	}
}

func (d *driver) backoff(r *refusal) time.Duration {
	wait := r.retryAfter()
	if wait == 0 {
		wait = DefaultBackoff
	}
	if d.c.MaxBackoff > 0 {
		wait = min(wait, d.c.MaxBackoff)
	}
	return wait
}

// executions returns the number of executions by idempotency key, summed over the plain
// service stand-ins.
func (d *driver) executions(ctx context.Context) (map[string]int, error) {
	sum := make(map[string]int)
	client := &http.Client{Timeout: executionsTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, address := range d.c.Services {
		counts, err := readExecutions(ctx, client, address)
		if err != nil {
			return nil, errors.Wrapf(err, "loadgen: executions of %s", address)
		}
		for key, n := range counts {
			sum[key] += n
		}
	}
	return sum, nil
}

func readExecutions(ctx context.Context, client *http.Client, address string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+service.PathExecutions, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var counts map[string]int
	return counts, json.NewDecoder(resp.Body).Decode(&counts)
}
