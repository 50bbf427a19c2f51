// Package sleep waits for a time that a context may cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends and returns its error. A d of zero or less is no wait.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
