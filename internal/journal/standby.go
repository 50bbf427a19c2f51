package journal

import (
	"context"
	"time"
)

const (
	// bypassLikelyHolderFor is the time for which the holder of a partition is read from
	// the KV service after the likely holder refused a call.
	bypassLikelyHolderFor = 30 * time.Second
	// maxHolderAgeOnStandby bounds the age of the holders read from the KV service in that
	// time.
	maxHolderAgeOnStandby = 2 * time.Second
)

// Standby configures a daemon that is not always one of those that hold partitions.
//
// Only a few daemons of a large fleet hold partitions. If all daemons scanned for holders
// and kept a session, the number of calls to the KV service would grow with the fleet. A
// daemon on standby does not call the KV service and forwards a call to the daemon that
// should hold the partition of its key.
type Standby struct {
	// Active reports whether this daemon is on standby now.
	Active func() bool
	// LikelyHolder returns the daemon that should hold a partition. If that daemon is not
	// the holder, it refuses the call, and the holder is then read from the KV service.
	LikelyHolder func(partition int) (Holder, bool)
}

// onStandby reports whether this daemon need not call the KV service.
func (j *Journal) onStandby() bool { return j.opts.Standby.Active != nil && j.opts.Standby.Active() }

func (j *Journal) holdsAny() bool {
	for _, w := range j.workers {
		if w.heldLease() != nil {
			return true
		}
	}
	return false
}

// likelyHolder returns the likely holder of a partition, unless this daemon is not on
// standby or the likely holder recently refused a call.
func (j *Journal) likelyHolder(w *worker) (Holder, bool) {
	if !j.onStandby() || j.opts.Now().Before(w.likelyBypassedUntil()) {
		return Holder{}, false
	}
	return j.opts.Standby.LikelyHolder(w.index)
}

// ReportNotHolder reports that the daemon returned by Holder does not hold the partition.
// This happens when the daemon that should hold it cannot reach the KV service: it stays
// the likely holder while another daemon has acquired the partition.
func (j *Journal) ReportNotHolder(partition int) {
	w := j.workers[partition]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bypassLikelyUntil = j.opts.Now().Add(bypassLikelyHolderFor)
}

func (w *worker) likelyBypassedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bypassLikelyUntil
}

// refreshHoldersOnStandby reads the holders again if the last scan is too old, because a
// daemon on standby does not scan periodically.
func (j *Journal) refreshHoldersOnStandby(ctx context.Context, lastScan time.Time) {
	if j.onStandby() && j.opts.Now().Sub(lastScan) > maxHolderAgeOnStandby {
		j.refreshHoldersIfStale(ctx)
	}
}
