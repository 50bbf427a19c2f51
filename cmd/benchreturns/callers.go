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
	// rate is how many prompts a second the callers send together, which fills five
	// eighths of what the engines can prefill.
	rate           = 2
	meanGap        = 30 * time.Second
	contexts       = rate * int(meanGap/time.Second)
	turns          = 3
	shortestPrompt = 10_000 // tokens
	longestPrompt  = 30_000
	turnTokens     = 200 // that each return adds
	outputTokens   = 16
	gapSpread      = 0.3 // of the mean, either way
	callerTimeout  = time.Minute
)

// outcome is what the returns of one run showed.
type outcome struct {
	returns, failed int
	p50, p95        time.Duration
	recomputed      float64 // share of the returning prompts' tokens
}

// sample is one return.
type sample struct {
	firstToken     time.Duration
	prompt, cached int
	err            error
}

// drive has one caller for each context, which comes back with a longer prompt.
func drive(ctx context.Context, daemons []string, seed int64) (outcome, error) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: contexts}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var samples []sample
	var callers sync.WaitGroup
	for i := range contexts {
		callers.Go(func() {
			rng := rand.New(rand.NewSource(seed<<16 + int64(i)))
			own := converse(ctx, client, daemons[i%len(daemons)], rng, i)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, own...)
		})
	}
	callers.Wait()
	if ctx.Err() != nil {
		return outcome{}, ctx.Err()
	}
	return summary(samples)
}

func converse(ctx context.Context, client *http.Client, daemon string, rng *rand.Rand, n int) []sample {
	var out []sample
	text := fmt.Sprintf("context %d: ", n) + words(rng, shortestPrompt+rng.Intn(longestPrompt-shortestPrompt))
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
		text += words(rng, turnTokens)
		pause = time.Duration((1 + gapSpread*(2*rng.Float64()-1)) * float64(meanGap))
	}
	return out
}

func words(rng *rand.Rand, tokens int) string {
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
	return read(resp, start)
}

// read takes the time of the first word and the usage at the end.
func read(resp *http.Response, start time.Time) sample {
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
		s.err = errors.CombineErrors(errors.New("no whole answer"), lines.Err())
	}
	return s
}

func summary(samples []sample) (outcome, error) {
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
		return out, errors.New("no return was answered")
	}
	slices.Sort(times)
	out.p50 = times[len(times)/2]
	out.p95 = times[len(times)*95/100]
	out.recomputed = 1 - float64(cached)/float64(prompt)
	return out, nil
}
