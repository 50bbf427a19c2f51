package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// buffer collects lines.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// blockedPipe blocks writes until it is opened.
type blockedPipe struct {
	buffer
	open chan struct{}
}

func (p *blockedPipe) Write(line []byte) (int, error) {
	<-p.open
	return p.buffer.Write(line)
}

// The log collector stops reading. Log calls must not block, or the daemon would stop serving
// requests; the log drops lines instead and reports how many.
func TestFullPipeDoesNotBlock(t *testing.T) {
	p := &blockedPipe{open: make(chan struct{})}
	l := New(Options{Output: p, Level: hclog.Info, PerSecond: 10 * ringLines})
	began := time.Now()
	for range 3 * ringLines {
		l.Info("A line")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("logging took %s", took)
	}
	close(p.open)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(p.String(), "Log lines were dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("the loss is not reported")
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.Close()
}

// Under load one frequent kind of line would displace all others and cost more than the requests
// themselves. Each kind has a limit of its own, and suppressed lines are counted.
func TestEachKindIsRateLimited(t *testing.T) {
	var b buffer
	l := New(Options{Output: &b, Level: hclog.Info, PerSecond: 5})
	for range 100 {
		l.Info("Often")
	}
	l.Info("Seldom")
	l.reportOnce()
	l.Close()
	got := b.String()
	if n := strings.Count(got, `"@message":"Often"`); n < 5 || n > 10 { // two seconds at most
		t.Errorf("%d lines of one kind", n)
	}
	if !strings.Contains(got, "Seldom") || !strings.Contains(got, `"kind":"Often"`) {
		t.Errorf("got %s", got)
	}
}
