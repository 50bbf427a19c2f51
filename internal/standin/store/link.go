package store

import (
	"context"
	"sync"
	"time"
)

// link models a link of limited bandwidth that serves transfers in FIFO order.
type link struct {
	mu          sync.Mutex
	bytesPerSec float64
	busyUntil   time.Time // when the last queued transfer ends
}

func newLink(bytesPerSec float64) *link { return &link{bytesPerSec: bytesPerSec} }

// transfer blocks until n bytes have been transferred; slow divides the link's speed. A
// transfer whose context ends keeps its reserved link time.
func (l *link) transfer(ctx context.Context, n int64, slow float64) error {
	end := l.reserve(time.Now(), n, slow)
	wait := time.Until(end)
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) reserve(now time.Time, n int64, slow float64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	if l.bytesPerSec > 0 {
		seconds := float64(n) * slow / l.bytesPerSec
		l.busyUntil = l.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
	}
	return l.busyUntil
}

// queuedBytes returns the number of bytes that are queued at now.
func (l *link) queuedBytes(now time.Time, slow float64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.busyUntil.Sub(now)
	if wait <= 0 {
		return 0
	}
	return int64(wait.Seconds() * l.bytesPerSec / slow)
}
