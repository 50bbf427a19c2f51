package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "pule25.example"
	key  = "nu6wsjnbanfqasnmgkcu"
)

// kind is a kind of request of the sheet.
type kind struct {
	name, method, path string
	body               int
	prompt, shared     int // tokens
	out                int // tokens; 0: no stream
	limit              time.Duration
	patience           time.Duration // longest gap of a stream, also before its first event
	resumable          bool
	safe               bool
}

// tries of one consumer.
type outcome struct {
	id       string
	kind     string
	daemon   string
	sent     time.Time
	took     time.Duration
	status   int
	events   int
	complete bool
	versions []string // of the software that wrote the events, in order
	problem  string
	err      error
}

// callers sends requests like consumers.
type callers struct {
	rec     *record
	number  atomic.Int64
	mu      sync.Mutex
	all     []outcome
	clients sync.Map // by daemon
	running sync.WaitGroup
}

func (c *callers) client(d *daemon) *http.Client {
	if known, ok := c.clients.Load(d); ok {
		return known.(*http.Client)
	}
	dialer := &net.Dialer{Timeout: time.Second}
	made := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	known, _ := c.clients.LoadOrStore(d, made)
	return known.(*http.Client)
}

// drive sends requests of a kind at a rate, in turn to some daemons, until ctx ends.
func (c *callers) drive(ctx context.Context, k kind, perSecond float64, to []*daemon) {
	c.running.Go(func() {
		begin := time.Now()
		for n := 0; ; n++ {
			at := begin.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(at)):
			}
			c.running.Go(func() { c.ask(k, to[n%len(to)]) })
		}
	})
}

// ask sends one request, and once more after a promise that it has not run, if there is time.
func (c *callers) ask(k kind, d *daemon) outcome {
	began := time.Now()
	o, again := c.try(k, d, k.limit, "", 0)
	left := k.limit - time.Since(began)
	if again >= 0 && again < left/3 {
		time.Sleep(again)
		o, _ = c.try(k, d, left-again, "", 0)
	}
	return o
}

// try makes one consumer attempt. again is how long to wait before the next one; negative: there is none.
func (c *callers) try(k kind, d *daemon, limit time.Duration, resumes string, last int) (o outcome, again time.Duration) {
	id := fmt.Sprintf("%016x", 0x5c41d07be0000000+c.number.Add(1))
	o = outcome{id: id, kind: k.name, daemon: d.name, sent: time.Now()}
	again = -1
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	defer func() {
		o.took = time.Since(o.sent)
		c.rec.line("answered  %s with %d, %d events of %v, complete %t, after %d ms %s %s", id, o.status, o.events, o.versions, o.complete, o.took.Milliseconds(), short(o.err), o.problem)
		c.mu.Lock()
		c.all = append(c.all, o)
		c.mu.Unlock()
	}()
	c.rec.line("sent      %s (%s) to %s", id, k.name, d.name)
	q, err := http.NewRequestWithContext(ctx, k.method, "http://"+d.callers+k.path, strings.NewReader(strings.Repeat("p", k.body)))
	if err != nil {
		fatal("request: %v", err)
	}
	q.Host = host
	q.Header = http.Header{headerID: {id}, "Authorization": {"Bearer " + key}, "Deadline-Milliseconds": {strconv.FormatInt(limit.Milliseconds(), 10)}}
	if k.out > 0 {
		q.Header["Model"] = []string{"daka510000"}
		q.Header[headerUsage] = []string{fmt.Sprintf("%d,%d", k.prompt+k.shared, k.out)}
		q.Header["Prompt-Prefix"] = []string{fmt.Sprintf("5c1e07a2:%d,%s:%d", k.shared, id, k.prompt)}
	}
	if last > 0 {
		q.Header[headerLast] = []string{strconv.Itoa(last)}
		q.Header["Resumes"] = []string{resumes}
	}
	patience := time.AfterFunc(limit, cancel)
	if k.out > 0 {
		patience.Reset(k.patience)
	}
	defer patience.Stop()
	r, err := c.client(d).Do(q)
	if err != nil {
		o.err = err
		return o, again
	}
	defer r.Body.Close()
	o.status = r.StatusCode
	if r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests {
		seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		again = time.Duration(seconds * float64(time.Second))
	}
	if k.out == 0 || r.StatusCode != http.StatusOK {
		body, err := io.ReadAll(r.Body)
		o.err, o.complete = err, err == nil
		if r.StatusCode == http.StatusOK && err == nil && !strings.HasPrefix(string(body), "done "+id) {
			o.problem = "a body that is not the replica's"
		}
		return o, again
	}
	o.events = last
	lines := bufio.NewReader(r.Body)
	for {
		line, err := lines.ReadString('\n')
		if n, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && err == nil {
			patience.Reset(k.patience)
			if n != strconv.Itoa(o.events+1) {
				o.problem = fmt.Sprintf("event %s after event %d", n, o.events)
			}
			o.events++
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && err == nil {
			of, rest, _ := strings.Cut(data, " ")
			version, _, _ := strings.Cut(rest, " ")
			if of != id {
				o.problem = "an event of another request"
			}
			if !slices.Contains(o.versions, version) {
				o.versions = append(o.versions, version)
			}
		}
		if err == io.EOF {
			o.complete = true
			return o, again
		}
		if err != nil {
			o.err = err
			return o, again
		}
	}
}

func short(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	if at := strings.LastIndex(text, ": "); at >= 0 {
		text = text[at+2:]
	}
	return text
}

// outcomes returns the tries so far.
func (c *callers) outcomes() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.all...)
}
