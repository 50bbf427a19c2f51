package controlbench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	relayTokens   = 4000 // a stream; more than a window lasts
	relayWindow   = 4 * time.Second
	relayCapacity = 2000
)

// relay measures streams through one daemon: its processor time for a token and the
// delay that it adds, against reading the same engine without it.
func (b Bench) relay(ctx context.Context) error {
	for _, streams := range []int{50, 100, 200, 400} {
		if err := b.relayOf(ctx, streams); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) relayOf(ctx context.Context, streams int) error {
	c, err := newCluster(ctx, b.BinDir)
	if err != nil {
		return err
	}
	defer c.close()
	e, err := startEngines(1, false)
	if err != nil {
		return err
	}
	defer e.close()
	rows := sheets{organisations: organisationRow(benchOrg, benchKey, ""), targets: engineRow("engine-1", e.addresses[0], relayCapacity)}
	if err := c.apply(ctx, rows); err != nil {
		return err
	}
	if err := c.startDaemons(ctx, 1); err != nil {
		return err
	}
	if err := sleep.For(ctx, settle/2); err != nil {
		return err
	}
	prefix := fmt.Sprintf("relay_%d", streams)
	direct, err := b.readers(ctx, streams, func(i int) (*http.Request, error) { return directRequest(ctx, e, i) })
	if err != nil {
		return err
	}
	b.delays(prefix+"_direct", direct.read.delays)
	through, err := b.relayed(ctx, c, streams)
	if err != nil {
		return err
	}
	b.delays(prefix, through.read.delays)
	b.line(prefix+"_tokens_s", through.tokens)
	b.line(prefix+"_cpu_pct", through.used.cpuMean)
	b.line(prefix+"_tokens_s_core", through.tokens/(through.used.cpuMean/100))
	b.line(prefix+"_rss_mb", through.used.residentMax)
	b.line(prefix+"_failed", float64(through.read.failed.Load()))
	return nil
}

func (b Bench) delays(prefix string, h *hdrhistogram.Histogram) {
	b.line(prefix+"_delay_p50_ms", float64(h.ValueAtQuantile(50))/1000)
	b.line(prefix+"_delay_p99_ms", float64(h.ValueAtQuantile(99))/1000)
}

// relayResult is what one window gave.
type relayResult struct {
	read   *reading
	tokens float64 // a second
	used   span
}

func (b Bench) relayed(ctx context.Context, c *cluster, streams int) (relayResult, error) {
	return c.window(ctx, streams, func(i int) (*http.Request, error) { return relayedRequest(ctx, c, i) })
}

// readers reads streams without a daemon between.
func (b Bench) readers(ctx context.Context, streams int, make func(int) (*http.Request, error)) (relayResult, error) {
	return (&cluster{}).window(ctx, streams, make)
}

// window opens streams and measures them once all have begun.
func (c *cluster) window(ctx context.Context, streams int, make func(int) (*http.Request, error)) (relayResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := newReading()
	var open sync.WaitGroup
	defer open.Wait()
	defer cancel()
	for i := range streams {
		req, err := make(i)
		if err != nil {
			return relayResult{}, err
		}
		open.Go(func() { r.stream(req.WithContext(ctx)) })
	}
	err := waitFor(ctx, startTimeout, func() bool { return int(r.begun.Load()+r.failed.Load()) == streams })
	if err != nil {
		return relayResult{}, errors.Wrapf(err, "%d of %d streams began", r.begun.Load(), streams)
	}
	if err := sleep.For(ctx, time.Second); err != nil {
		return relayResult{}, err
	}
	before, err := c.processorSample()
	if err != nil {
		return relayResult{}, err
	}
	r.measuring.Store(true)
	if err := sleep.For(ctx, relayWindow); err != nil {
		return relayResult{}, err
	}
	r.measuring.Store(false)
	after, err := c.processorSample()
	if err != nil {
		return relayResult{}, err
	}
	return relayResult{read: r, tokens: float64(r.tokens.Load()) / relayWindow.Seconds(), used: between(before, after)}, nil
}

// processorSample is a sample without asking the daemons anything.
func (c *cluster) processorSample() (sample, error) {
	s := sample{at: time.Now()}
	for _, d := range c.daemons {
		u, err := usageOf(d)
		if err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, u)
	}
	return s, nil
}

func directRequest(ctx context.Context, e *engines, i int) (*http.Request, error) {
	return postJSON(ctx, e.addresses[0]+engineapi.PathCompletions, engineapi.CompletionRequest{
		RequestID: request.ID(fmt.Sprint("direct-", i)), Model: benchModel, Version: "v1", Prompt: "p", MaxTokens: relayTokens,
	})
}

func relayedRequest(ctx context.Context, c *cluster, i int) (*http.Request, error) {
	req, err := postJSON(ctx, c.daemons[0].addresses[0]+"/v1/completions", map[string]any{
		"model": benchModel, "prompt": fmt.Sprint("stream ", i), "max_tokens": relayTokens, "stream": true,
	})
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+benchKey)
	}
	return req, err
}

func postJSON(ctx context.Context, address string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(data))
}

// reading is what all readers of streams saw.
type reading struct {
	client    *http.Client
	measuring atomic.Bool
	begun     atomic.Int64
	failed    atomic.Int64
	tokens    atomic.Int64

	mu     sync.Mutex
	delays *hdrhistogram.Histogram // microseconds
}

func newReading() *reading {
	return &reading{client: &http.Client{Transport: &http.Transport{}}, delays: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// stream reads one stream until its context ends.
func (r *reading) stream(req *http.Request) {
	resp, err := r.client.Do(req)
	if err != nil {
		r.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	began := false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if req.Context().Err() == nil {
				r.failed.Add(1)
			}
			return
		}
		sent, ok := sentAt(line)
		if !ok {
			continue
		}
		if !began {
			began = true
			r.begun.Add(1)
		}
		r.note(time.Since(sent))
	}
}

// note records one token's delay. The times come from one clock, since the engine is in
// this process.
func (r *reading) note(delay time.Duration) {
	if !r.measuring.Load() {
		return
	}
	r.tokens.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.delays.RecordValue(max(1, delay.Microseconds()))
}

// sentAt finds the time in a token, whichever event it lies in.
func sentAt(line string) (time.Time, bool) {
	_, rest, ok := strings.Cut(line, `"text":"`)
	if !ok {
		return time.Time{}, false
	}
	text, _, _ := strings.Cut(rest, " ")
	nanos, err := strconv.ParseInt(text, 10, 64)
	return time.Unix(0, nanos), err == nil
}
