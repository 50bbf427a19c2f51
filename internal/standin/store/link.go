package store

import (
	"context"
	"sync"
	"time"
)

// link paces transfers first in, first out.
type link struct {
	mu          sync.Mutex
	bytesPerSec float64
	busyUntil   time.Time // when the last transfer in the queue ends
}

func newLink(bytesPerSec float64) *link { return &link{bytesPerSec: bytesPerSec} }

// transfer waits until n bytes have passed; slow divides the link's speed. A transfer
// whose caller goes away has still taken its place in the queue.
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

// queuedBytes returns how many bytes wait at now.
func (l *link) queuedBytes(now time.Time, slow float64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.busyUntil.Sub(now)
	if wait <= 0 {
		return 0
	}
	return int64(wait.Seconds() * l.bytesPerSec / slow)
}
