package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, and counts it.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs map[string][]string // replicas that ran a request, by its id
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]string{}}
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a replica began to work on a request.
func (r *record) ran(id, replica string, q *http.Request) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], replica)
	r.mu.Unlock()
	r.line("run       %s at %s, %s %s, Last-Event-Id %q", id, replica, q.Method, q.URL.Path, q.Header.Get(headerLast))
}

// runsOf returns the replicas that ran a request.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	r.file.Close()
}

// lines is a writer that passes whole lines on.
type lines struct {
	mu   sync.Mutex
	rest string
	to   func(string)
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest += string(p)
	for {
		line, rest, ok := strings.Cut(l.rest, "\n")
		if !ok {
			return len(p), nil
		}
		l.rest = rest
		l.to(line)
	}
}
