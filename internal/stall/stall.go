// Package stall notices that the process stood still: a paused or suspended VM, or a
// scheduler that gave it no time.
//
// After a standstill nothing that is believed of the outside may be trusted before it is
// read again: leases have run out, replicas have gone and the desired state has changed.
// The steady clock does not count a suspension, so it is compared with CLOCK_BOOTTIME.
package stall

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	checkEvery = 100 * time.Millisecond
	// noticed is the shortest standstill that is reported. Shorter ones leave all that
	// is believed within the bounds that hold anyway.
	noticed = 700 * time.Millisecond
)

// Watch calls stood with the length of each standstill until ctx ends.
func Watch(ctx context.Context, stood func(time.Duration)) error {
	tick := time.NewTicker(checkEvery)
	defer tick.Stop()
	last := now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		at := now()
		if gap := at - last; gap > noticed {
			stood(gap)
		}
		last = at
	}
}

// now returns the time since boot, which counts suspensions.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the time of day counts them, too
	}
	return time.Duration(ts.Nano())
}
