// Package stall detects that the process did not run for a while, because its VM was paused or
// suspended or because the scheduler did not run it.
//
// After a stall, cached state of other processes must be read again before it is used: leases
// may have expired, replicas may have terminated and the desired state may have changed. The
// monotonic clock excludes suspensions, so the package measures with CLOCK_BOOTTIME.
package stall

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	checkInterval = 100 * time.Millisecond
	// minStall is the shortest stall that is reported. The bounds on the age of cached state
	// cover shorter ones.
	minStall = 700 * time.Millisecond
)

// Watch calls onStall with the duration of each stall until ctx ends.
func Watch(ctx context.Context, onStall func(time.Duration)) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
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
		last = at
	}
}

// now returns the time since boot, which includes suspensions.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the wall clock includes suspensions, too
	}
	return time.Duration(ts.Nano())
}
