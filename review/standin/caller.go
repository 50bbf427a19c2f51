package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a consumer got.
type answer struct {
	sent      time.Time
	request   string
	status    int
	signature string
	events    []string // data of each event
	ids       []string
	complete  bool // the end of the answer arrived
	err       error
}

var attempts atomic.Int64

// prompt is a request of a consumer.
type prompt struct {
	host, path, key, prefix, usage string
	timeLimit                      time.Duration
}

// send makes one consumer attempt.
func send(address string, p prompt) answer {
	a := answer{sent: time.Now(), request: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeLimit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+p.path, strings.NewReader("{}"))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = p.host
	for name, value := range map[string]string{
		"Request-Id": a.request, "Model": engineModel, "Token-Usage": p.usage, "Prompt-Prefix": p.prefix,
		"Deadline-Milliseconds": fmt.Sprint(p.timeLimit.Milliseconds()), "Authorization": "Bearer " + p.key,
	} {
		q.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.events = append(a.events, data)
		}
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.ids = append(a.ids, id)
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil
	return a
}

func (a answer) String() string {
	return fmt.Sprintf("request %s sent at %s: status %d, signature %q, %d events, complete %t, error %v", a.request, a.sent.Format("15:04:05.000"), a.status, a.signature, len(a.events), a.complete, a.err)
}
