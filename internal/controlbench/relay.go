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
	relayTokens   = 4000 // of a stream, which must outlast relayWindow
	relayWindow   = 4 * time.Second
	relayCapacity = 2000
)

// relay measures streams through one daemon: its CPU time per token, and the delay of
// each token in comparison with direct streams from the same engine.
func (b Bench) relay(ctx context.Context) error {
	for _, streams := range []int{50, 100, 200, 400} {
		if err := b.measureRelay(ctx, streams); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) measureRelay(ctx context.Context, streams int) error {
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
	if err := sleep.For(ctx, settleTime/2); err != nil {
		return err
	}
	prefix := fmt.Sprintf("relay_%d", streams)
	direct, err := b.measureDirect(ctx, streams, func(i int) (*http.Request, error) { return directRequest(ctx, e, i) })
	if err != nil {
		return err
	}
	b.printDelays(prefix+"_direct", direct.streams.delays)
	relayed, err := b.measureRelayed(ctx, c, streams)
	if err != nil {
		return err
	}
	b.printDelays(prefix, relayed.streams.delays)
	b.printValue(prefix+"_tokens_s", relayed.tokens)
	b.printValue(prefix+"_cpu_pct", relayed.usage.cpuMean)
	b.printValue(prefix+"_tokens_s_core", relayed.tokens/(relayed.usage.cpuMean/100))
	b.printValue(prefix+"_rss_mb", relayed.usage.residentMax)
	b.printValue(prefix+"_failed", float64(relayed.streams.failed.Load()))
	return nil
}

func (b Bench) printDelays(prefix string, h *hdrhistogram.Histogram) {
	b.printValue(prefix+"_delay_p50_ms", float64(h.ValueAtQuantile(50))/1000)
	b.printValue(prefix+"_delay_p99_ms", float64(h.ValueAtQuantile(99))/1000)
}

// relayResult is the result of one measurement window.
type relayResult struct {
	streams *streamStats
	tokens  float64 // per second
	usage   rates
}

func (b Bench) measureRelayed(ctx context.Context, c *cluster, streams int) (relayResult, error) {
	return c.measureStreams(ctx, streams, func(i int) (*http.Request, error) { return relayedRequest(ctx, c, i) })
}

// measureDirect measures streams that do not pass through a daemon.
func (b Bench) measureDirect(ctx context.Context, streams int, newRequest func(int) (*http.Request, error)) (relayResult, error) {
	return (&cluster{}).measureStreams(ctx, streams, newRequest)
}

// measureStreams opens streams and measures them for one window once every stream has
// started or failed.
func (c *cluster) measureStreams(ctx context.Context, streams int, newRequest func(int) (*http.Request, error)) (relayResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	stats := newStreamStats()
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	for i := range streams {
		req, err := newRequest(i)
		if err != nil {
			return relayResult{}, err
		}
		readers.Go(func() { stats.readStream(req.WithContext(ctx)) })
	}
	err := waitFor(ctx, startTimeout, func() bool { return int(stats.started.Load()+stats.failed.Load()) == streams })
	if err != nil {
		return relayResult{}, errors.Wrapf(err, "%d of %d streams started", stats.started.Load(), streams)
	}
	if err := sleep.For(ctx, time.Second); err != nil {
		return relayResult{}, err
	}
	before, err := c.cpuSample()
	if err != nil {
		return relayResult{}, err
	}
	stats.measuring.Store(true)
	if err := sleep.For(ctx, relayWindow); err != nil {
		return relayResult{}, err
	}
	stats.measuring.Store(false)
	after, err := c.cpuSample()
	if err != nil {
		return relayResult{}, err
	}
	return relayResult{streams: stats, tokens: float64(stats.tokens.Load()) / relayWindow.Seconds(), usage: ratesBetween(before, after)}, nil
}

// cpuSample takes a sample of CPU time and memory alone, without requests to the daemons.
func (c *cluster) cpuSample() (sample, error) {
	s := sample{at: time.Now()}
	for _, d := range c.daemons {
		u, err := readUsage(d)
		if err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, u)
	}
	return s, nil
}

func directRequest(ctx context.Context, e *engines, i int) (*http.Request, error) {
	return newJSONRequest(ctx, e.addresses[0]+engineapi.PathCompletions, engineapi.CompletionRequest{
		RequestID: request.ID(fmt.Sprint("direct-", i)), Model: benchModel, Version: "v1", Prompt: "p", MaxTokens: relayTokens,
	})
}

func relayedRequest(ctx context.Context, c *cluster, i int) (*http.Request, error) {
	req, err := newJSONRequest(ctx, c.daemons[0].addresses[0]+"/v1/completions", map[string]any{
		"model": benchModel, "prompt": fmt.Sprint("stream ", i), "max_tokens": relayTokens, "stream": true,
	})
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+benchKey)
	}
	return req, err
}

func newJSONRequest(ctx context.Context, address string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(data))
}

// streamStats holds the results of all stream readers.
type streamStats struct {
	client    *http.Client
	measuring atomic.Bool
	started   atomic.Int64
	failed    atomic.Int64
	tokens    atomic.Int64

	mu     sync.Mutex
	delays *hdrhistogram.Histogram // microseconds
}

func newStreamStats() *streamStats {
	return &streamStats{client: &http.Client{Transport: &http.Transport{}}, delays: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// readStream reads one stream until it ends or the context of the request is cancelled.
func (r *streamStats) readStream(req *http.Request) {
	resp, err := r.client.Do(req)
	if err != nil {
		r.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	started := false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if req.Context().Err() == nil {
				r.failed.Add(1)
			}
			return
		}
		sent, ok := parseSentTime(line)
		if !ok {
			continue
		}
		if !started {
			started = true
			r.started.Add(1)
		}
		r.recordDelay(time.Since(sent))
	}
}

// recordDelay records the delay of one token. Send and receive times come from the same
// clock because the engine runs in this process.
func (r *streamStats) recordDelay(delay time.Duration) {
	if !r.measuring.Load() {
		return
	}
	r.tokens.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.delays.RecordValue(max(1, delay.Microseconds()))
}

// parseSentTime returns the send time from a line of an event stream. It accepts the
// events of engines and those of daemons.
func parseSentTime(line string) (time.Time, bool) {
	_, rest, ok := strings.Cut(line, `"text":"`)
	if !ok {
		return time.Time{}, false
	}
	text, _, _ := strings.Cut(rest, " ")
	nanos, err := strconv.ParseInt(text, 10, 64)
	return time.Unix(0, nanos), err == nil
}
