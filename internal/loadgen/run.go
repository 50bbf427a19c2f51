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
)

const (
	dialTimeout   = time.Second
	idlePerDaemon = 64
	readTimeout   = 5 * time.Second
	letters       = "abcdefghijklmnopqrstuvwxyz "
)

// driver is one run.
type driver struct {
	c      Config
	log    hclog.Logger
	router *router
	caller *caller
	tally  *tally
}

// Run drives the load and returns what it showed. It fails only if it could not
// measure; broken promises are in the report.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.check(); err != nil {
		return Report{}, err
	}
	c = c.withDefaults()
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerDaemon,
	}
	defer transport.CloseIdleConnections()
	d := &driver{
		c:      c,
		log:    c.Logger.Named("loadgen"),
		router: newRouter(c.Daemons, transport),
		caller: &caller{client: &http.Client{Transport: transport}, silentAfter: c.IdleTimeout},
		tally:  newTally(c.OnSettled),
	}
	start := time.Now()
	d.drive(ctx)
	elapsed := time.Since(start)
	if err := ctx.Err(); err != nil {
		return Report{}, errors.Wrap(err, "loadgen: stopped")
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

// newRand gives each caller its own numbers, so that a seed determines what each does.
func (d *driver) newRand(org, caller int) *rand.Rand {
	const spread = 1_000_003
	return rand.New(rand.NewSource((d.c.Seed*spread+int64(org))*spread + int64(caller)))
}

// runContext asks about one context again and again, with gaps.
func (d *driver) runContext(ctx context.Context, org Org, n int, rng *rand.Rand) {
	head := fmt.Sprintf("%s %s %d ", d.c.RunID, org.ID, n)
	text := head + randomText(rng, d.c.ContextTokens*block.BytesPerToken-len(head))
	if sleep.For(ctx, time.Duration(rng.Int63n(int64(d.c.Gap)+1))) != nil {
		return
	}
	for turn := range d.c.Turns {
		if turn > 0 && sleep.For(ctx, gap(rng, d.c.Gap)) != nil {
			return
		}
		prompt := text + randomText(rng, d.c.TurnTokens*block.BytesPerToken)
		d.ask(ctx, org, prompt, turn > 0)
	}
}

// gap draws a time around a mean, at least a fifth and at most three times of it.
func gap(rng *rand.Rand, mean time.Duration) time.Duration {
	const shortest, longest = 0.2, 3
	return time.Duration(min(max(rng.ExpFloat64(), shortest), longest) * float64(mean))
}

func randomText(rng *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		b.WriteByte(letters[rng.Intn(len(letters))])
	}
	return b.String()
}

// ask gets one completion, by as many tries as it takes: a completion may be repeated.
func (d *driver) ask(ctx context.Context, org Org, prompt string, returning bool) {
	route := completionRoute(org.Key, d.c.Model, prompt)
	body := completionBody{Model: d.c.Model, Prompt: prompt, MaxTokens: d.c.MaxTokens, Stream: true}
	start := time.Now()
	var answer completion
	o, tries := d.retry(ctx, route, func(ctx context.Context, address string) error {
		var err error
		answer, err = d.caller.complete(ctx, address, org.Key, body)
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
	d.ended(start, tries, o)
	d.tally.settleCompletion(o, returning, answer.firstAt.Sub(start), u)
}

func (d *driver) checkCompletion(org Org, body completionBody, answer completion) outcome {
	want := engine.ExpectedText(body.Prompt, body.MaxTokens)
	if answer.text == want && answer.usage != nil && answer.usage.CompletionTokens == body.MaxTokens {
		return outcomeAnswered
	}
	d.log.Error("Wrong answer", "org", org.ID, "got", len(answer.text), "want", len(want), "usage", answer.usage)
	return outcomeWrong
}

// runCaller makes one caller's share of an organisation's service calls.
func (d *driver) runCaller(ctx context.Context, org Org, caller int, rng *rand.Rand) {
	for n := caller; n < d.c.Calls; n += d.c.Callers {
		if sleep.For(ctx, gap(rng, d.c.CallGap)) != nil {
			return
		}
		key := fmt.Sprintf("%s-%s-%d", d.c.RunID, org.ID, n)
		d.callService(ctx, org, key, []byte(randomText(rng, d.c.CallBody)))
	}
}

// callService gets one call produced. Every try carries the same key.
func (d *driver) callService(ctx context.Context, org Org, key string, body []byte) {
	path := service.PathServices + d.c.Service + "/run"
	var answer []byte
	start := time.Now()
	o, tries := d.retry(ctx, routeQuestion{key: org.Key, service: d.c.Service}, func(ctx context.Context, address string) error {
		var err error
		answer, err = d.caller.callService(ctx, address, org.Key, path, key, body)
		return d.finalForCall(err)
	})
	if ctx.Err() != nil {
		return
	}
	var result service.Answer
	if o == outcomeAnswered && (json.Unmarshal(answer, &result) != nil || result.Key != key || result.Bytes != len(body)) {
		d.log.Error("Wrong result", "key", key, "got", string(answer))
		o = outcomeWrong
	}
	d.ended(start, tries, o)
	d.tally.settleCall(key, o)
}

// ended tells who asked for it how a request ended.
func (d *driver) ended(start time.Time, tries int, o outcome) {
	if d.c.OnEnd == nil {
		return
	}
	now := time.Now()
	d.c.OnEnd(RequestEnd{At: now, Duration: now.Sub(start), Attempts: tries, Outcome: o.String()})
}

// errFinal marks a refusal after which no try may follow.
var errFinal = errors.New("loadgen: final")

// finalForCall marks what ends a call that may not be repeated: unlike a completion,
// it is not tried again after an answer that it is in doubt or has run.
func (d *driver) finalForCall(err error) error {
	var r *refusal
	if !errors.As(err, &r) || r.Ran == request.NotRun || r.Code == request.CodeInProgress {
		return err
	}
	return errors.Mark(err, errFinal)
}

// retry makes tries until one is answered, a refusal is final, or patience ends. It
// turns to another address when one gives no answer. It returns how many tries it made.
func (d *driver) retry(ctx context.Context, route routeQuestion, try func(context.Context, string) error) (o outcome, tries int) {
	ctx, cancel := context.WithTimeout(ctx, d.c.RequestTimeout)
	defer cancel()
	last := outcomeUnanswered
	for {
		address := d.router.address(ctx, route)
		tries++
		err := try(ctx, address)
		if err == nil {
			return outcomeAnswered, tries
		}
		if ctx.Err() != nil {
			d.log.Warn("Caller gave up", "address", address, "error", err)
			return last, tries
		}
		wait := DefaultBackoff
		var r *refusal
		if errors.As(err, &r) {
			d.tally.refusal()
			last = outcomeOf(r)
			if isFinal(err, r) {
				d.log.Debug("Final refusal", "address", address, "error", err)
				return last, tries
			}
			d.log.Debug("Refused, tries again", "address", address, "error", err)
			wait = d.backoff(r)
		} else {
			d.log.Debug("No answer", "address", address, "error", err)
			d.tally.lostConnection()
			d.router.fail(address)
			last = outcomeUnanswered
		}
		if sleep.For(ctx, wait) != nil {
			return last, tries
		}
	}
}

// isFinal tells whether to stop trying: the request did not run and coming back will
// not help, or the call may not be repeated.
func isFinal(err error, r *refusal) bool {
	return errors.Is(err, errFinal) || (r.Ran == request.NotRun && r.RetryAfterMs == 0)
}

func outcomeOf(r *refusal) outcome {
	switch {
	case r.Code == request.CodeResultNotKept:
		return outcomeNotKept
	case r.Ran == request.NotRun:
		return outcomeGivenUp
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

// executions adds up what the plain service stand-ins executed.
func (d *driver) executions(ctx context.Context) (map[string]int, error) {
	sum := make(map[string]int)
	client := &http.Client{Timeout: readTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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
