// Package logging writes structured lines without ever holding up the work that they tell
// of.
//
// Lines go through a bounded ring to one writer. While the reader of the log is slow the
// ring fills and lines are left out. Under load each kind of line, known by its message,
// is bounded to so many a second. Both losses are counted and told in a line of their own.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// ringLines bounds the memory of lines that wait, at about 400 bytes each.
	ringLines = 2048
	// defaultPerSecond is above what a daemon decides in a busy second.
	defaultPerSecond = 200
	tellEvery        = time.Second
	// flushWithin bounds how long a process that ends waits for the log's reader.
	flushWithin = 200 * time.Millisecond
)

// Options of New.
type Options struct {
	Name      string
	Output    io.Writer
	Level     hclog.Level
	PerSecond int // lines of one kind; zero: 200
}

// Log is a logger with its writer.
type Log struct {
	hclog.Logger
	limit limiter
	ring  chan []byte
	out   io.Writer
	lost  atomic.Int64 // lines that found the ring full
	stop  chan struct{}
	done  chan struct{}
}

// New returns a log that writes until Close.
func New(o Options) *Log {
	if o.PerSecond <= 0 {
		o.PerSecond = defaultPerSecond
	}
	l := &Log{
		limit: limiter{perSecond: o.PerSecond, counts: map[string]int{}, left: map[string]int{}},
		ring:  make(chan []byte, ringLines), out: o.Output,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	l.Logger = hclog.New(&hclog.LoggerOptions{
		Name: o.Name, Level: o.Level, JSONFormat: true, Output: l,
		Exclude: func(_ hclog.Level, message string, _ ...any) bool { return l.limit.over(time.Now(), message) },
	})
	go l.write()
	go l.tell()
	return l
}

// Write implements io.Writer for the logger. It never blocks.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.ring <- append([]byte(nil), line...):
	default:
		l.lost.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for a short time at most.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(flushWithin):
	}
}

func (l *Log) write() {
	defer close(l.done)
	for {
		select {
		case line := <-l.ring:
			l.put(line)
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
			l.put(line)
		default:
			return
		}
	}
}

func (l *Log) put(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.lost.Add(1) // nobody reads; there is nowhere else to say so
	}
}

// tell says once a second what was left out.
func (l *Log) tell() {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.tellOnce()
		case <-l.stop:
			return
		}
	}
}

func (l *Log) tellOnce() {
	if lost := l.lost.Swap(0); lost > 0 {
		l.Warn("Lines were lost, the log is read too slowly", "lines", lost)
	}
	for message, lines := range l.limit.take() {
		l.Warn("Lines of one kind were left out", "kind", message, "lines", lines)
	}
}

// limiter counts the lines of each kind in the running second.
type limiter struct {
	perSecond int

	mu     sync.Mutex
	second int64
	counts map[string]int
	left   map[string]int
}

// over counts a line and reports whether it is one too many.
func (m *limiter) over(now time.Time, message string) bool {
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
	m.left[message]++
	return true
}

// take returns how many lines were left out since the last call.
func (m *limiter) take() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.left
	m.left = map[string]int{}
	return out
}
