// Package logging writes structured log lines without ever blocking its callers.
//
// Lines pass through a bounded buffer to a single writer. If the reader of the log is slow, the
// buffer fills and further lines are dropped. A rate limit applies to each kind of line, which is
// identified by its message. Dropped and suppressed lines are counted and reported in log lines.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// ringLines bounds the number of buffered lines, which take about 400 bytes each.
	ringLines = 2048
	// defaultLinesPerSecond is the default limit for lines of one kind. It exceeds the number of
	// decisions that a daemon makes in a busy second.
	defaultLinesPerSecond = 200
	reportInterval        = time.Second
	// flushTimeout bounds how long a terminating process waits for the reader of the log.
	flushTimeout = 200 * time.Millisecond
)

// Options configures a Log.
type Options struct {
	Name      string
	Output    io.Writer
	Level     hclog.Level
	PerSecond int // limit for lines of one kind; zero: 200
}

// Log is a logger that writes its lines asynchronously.
type Log struct {
	hclog.Logger
	limit   limiter
	ring    chan []byte
	output  io.Writer
	dropped atomic.Int64 // lines that did not fit into the buffer or could not be written
	stop    chan struct{}
	done    chan struct{}
}

// New returns a log that writes lines until Close.
func New(o Options) *Log {
	if o.PerSecond <= 0 {
		o.PerSecond = defaultLinesPerSecond
	}
	l := &Log{
		limit: limiter{perSecond: o.PerSecond, counts: map[string]int{}, suppressed: map[string]int{}},
		ring:  make(chan []byte, ringLines), output: o.Output,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	l.Logger = hclog.New(&hclog.LoggerOptions{
		Name: o.Name, Level: o.Level, JSONFormat: true, Output: l,
		Exclude: func(_ hclog.Level, message string, _ ...any) bool { return l.limit.exceeds(time.Now(), message) },
	})
	go l.write()
	go l.reportLosses()
	return l
}

// Write implements io.Writer for the logger. It drops the line instead of blocking.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.ring <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the buffered lines, for at most flushTimeout.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}

func (l *Log) write() {
	defer close(l.done)
	for {
		select {
		case line := <-l.ring:
			l.writeLine(line)
		case <-l.stop:
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.ring:
			l.writeLine(line)
		default:
			return
		}
	}
}

func (l *Log) writeLine(line []byte) {
	if _, err := l.output.Write(line); err != nil {
		l.dropped.Add(1) // the error can't be reported elsewhere
	}
}

// reportLosses logs the numbers of dropped and suppressed lines once per reportInterval.
func (l *Log) reportLosses() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.reportOnce()
		case <-l.stop:
			return
		}
	}
}

func (l *Log) reportOnce() {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.Warn("Log lines were dropped because the log is read too slowly", "lines", dropped)
	}
	for message, lines := range l.limit.takeSuppressed() {
		l.Warn("Log lines of one kind were suppressed by the rate limit", "kind", message, "lines", lines)
	}
}

// limiter counts the lines of each kind in the current second.
type limiter struct {
	perSecond int

	mu         sync.Mutex
	second     int64
	counts     map[string]int
	suppressed map[string]int
}

// exceeds counts a line and reports whether it exceeds the limit.
func (m *limiter) exceeds(now time.Time, message string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if second := now.Unix(); second != m.second {
		m.second = second
		clear(m.counts)
	}
	m.counts[message]++
	if m.counts[message] <= m.perSecond {
		return false
	}
	m.suppressed[message]++
	return true
}

// takeSuppressed returns the number of suppressed lines of each kind since the last call.
func (m *limiter) takeSuppressed() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.suppressed
	m.suppressed = map[string]int{}
	return out
}
