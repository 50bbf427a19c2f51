package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

const (
	// requestRate is the number of prompts per second of all callers together. It uses five
	// eighths of the prefill capacity of the engines.
	requestRate     = 2
	meanGap         = 30 * time.Second
	contexts        = requestRate * int(meanGap/time.Second)
	turns           = 3
	minPromptTokens = 10_000
	maxPromptTokens = 30_000
	turnTokens      = 200 // added to the prompt with each turn
	outputTokens    = 16
	gapSpread       = 0.3 // as a share of meanGap, in both directions
	callerTimeout   = time.Minute
)

// outcome summarises the returns of one run.
type outcome struct {
	returns, failed int
	p50, p95        time.Duration
	recomputed      float64 // share of the prompt tokens of returns
}

// sample is the measurement of one request.
type sample struct {
	firstToken     time.Duration
	prompt, cached int
	err            error
}

// drive runs one caller for each context. A caller returns to its context with a longer
// prompt in each turn.
func drive(ctx context.Context, daemons []string, seed int64) (outcome, error) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: contexts}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var samples []sample
	var callers sync.WaitGroup
	for i := range contexts {
		callers.Go(func() {
			rng := rand.New(rand.NewSource(seed<<16 + int64(i)))
			own := runContext(ctx, client, daemons[i%len(daemons)], rng, i)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, own...)
		})
	}
	callers.Wait()
	if ctx.Err() != nil {
		return outcome{}, ctx.Err()
	}
	return summarize(samples)
}

func runContext(ctx context.Context, client *http.Client, daemon string, rng *rand.Rand, n int) []sample {
	var out []sample
	text := fmt.Sprintf("context %d: ", n) + randomText(rng, minPromptTokens+rng.Intn(maxPromptTokens-minPromptTokens))
	pause := time.Duration(rng.Int63n(int64(meanGap)))
	for turn := range turns {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return out
		}
		s := complete(ctx, client, daemon, text)
		if turn > 0 {
			out = append(out, s)
		}
		text += randomText(rng, turnTokens)
		pause = time.Duration((1 + gapSpread*(2*rng.Float64()-1)) * float64(meanGap))
	}
	return out
}

func randomText(rng *rand.Rand, tokens int) string {
	text := make([]byte, tokens*block.BytesPerToken)
	for i := range text {
		text[i] = 'a' + byte(rng.Intn(26))
	}
	return string(text)
}

func complete(ctx context.Context, client *http.Client, daemon, prompt string) sample {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": outputTokens, "stream": true})
	if err != nil {
		return sample{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return sample{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+orgKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return sample{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return sample{err: errors.Newf("status %d", resp.StatusCode)}
	}
	return readResponse(resp, start)
}

// readResponse reads a streamed response and returns its time to first token and its usage.
func readResponse(resp *http.Response, start time.Time) sample {
	var s sample
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		if s.firstToken == 0 {
			s.firstToken = time.Since(start)
		}
		var chunk struct {
			Usage *struct {
				Prompt int `json:"prompt_tokens"`
				Cached int `json:"cached_tokens"`
			} `json:"usage"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && chunk.Usage != nil {
			s.prompt, s.cached = chunk.Usage.Prompt, chunk.Usage.Cached
		}
	}
	if s.prompt == 0 {
		s.err = errors.CombineErrors(errors.New("incomplete response: no usage received"), lines.Err())
	}
	return s
}

func summarize(samples []sample) (outcome, error) {
	var out outcome
	var times []time.Duration
	prompt, cached := 0, 0
	for _, s := range samples {
		out.returns++
		if s.err != nil {
			out.failed++
			continue
		}
		times = append(times, s.firstToken)
		prompt += s.prompt
		cached += s.cached
	}
	if len(times) == 0 {
		return out, errors.New("no return was answered successfully")
	}
	slices.Sort(times)
	out.p50 = times[len(times)/2]
	out.p95 = times[len(times)*95/100]
	out.recomputed = 1 - float64(cached)/float64(prompt)
	return out, nil
}
