// Package stall detects that the process did not run for a while, because its VM was paused or
// suspended or because the scheduler did not run it.
//
// After a stall, cached state of other processes must be read again before it is used: leases
// may have expired, replicas may have terminated and the desired state may have changed. The
// monotonic clock excludes suspensions, so the package measures with CLOCK_BOOTTIME.
package stall

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	checkInterval = 100 * time.Millisecond
	// minStall is the shortest stall that is reported. The bounds on the age of cached state
	// cover shorter ones.
	minStall = 700 * time.Millisecond
)

// Monitor notices stalls of the process. The zero value is ready to use.
type Monitor struct {
	checked atomic.Pointer[time.Time] // when Watch checked last; nil: not yet
}

// Watch calls onStall with the duration of each stall until ctx ends.
func (m *Monitor) Watch(ctx context.Context, onStall func(time.Duration)) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	m.recordCheck(time.Now())
	last := now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		at := now()
		if gap := at - last; gap > minStall {
			onStall(gap)
		}
		m.recordCheck(time.Now())
		last = at
	}
}

func (m *Monitor) recordCheck(at time.Time) { m.checked.Store(&at) }

// Pending reports whether the process may have been stalled since the last check, so that onStall may still have to be called. After a
// step of the clock it does so too, until the next check.
func (m *Monitor) Pending() bool { return m.pendingAt(time.Now()) }

func (m *Monitor) pendingAt(at time.Time) bool {
	last := m.checked.Load()
	if last == nil {
		return false
	}
	// The monotonic clock excludes suspensions, the wall clock includes them.
	return max(at.Sub(*last), at.Round(0).Sub(last.Round(0))) > minStall
}

// now returns the time since boot, which includes suspensions.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the wall clock includes suspensions, too
	}
	return time.Duration(ts.Nano())
}
