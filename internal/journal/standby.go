package journal

import (
	"context"
	"time"
)

const (
	// misplacedFor is how long the service is asked for a partition's holder after the
	// likely one turned out not to be it.
	misplacedFor = 30 * time.Second
	// misplacedAge is how old an answer of the service may be in that time.
	misplacedAge = 2 * time.Second
)

// Standby configures a daemon that may be none of those that hold partitions.
//
// Only a few daemons of a large fleet hold partitions. Were all of them to look who
// holds which, and to keep a session for it, the service's calls would grow with the
// fleet. A daemon on standby asks the service nothing and sends a key's call to the
// daemon that should hold its partition.
type Standby struct {
	// On tells whether this daemon is on standby now.
	On func() bool
	// Likely returns the daemon that should hold a partition. A wrong one refuses the
	// call, and the service is asked from then on.
	Likely func(partition int) (Holder, bool)
}

// onStandby tells whether this daemon may leave the service alone.
func (j *Journal) onStandby() bool { return j.opts.Standby.On != nil && j.opts.Standby.On() }

func (j *Journal) holdsAny() bool {
	for _, w := range j.workers {
		if w.held() != nil {
			return true
		}
	}
	return false
}

// likely returns a partition's likely holder if that is to be used.
func (j *Journal) likely(w *worker) (Holder, bool) {
	if !j.onStandby() || j.opts.Now().Before(w.askedUntil()) {
		return Holder{}, false
	}
	return j.opts.Standby.Likely(w.index)
}

// ReportNotHolder is told that the daemon named by Holder does not hold the partition. A
// daemon that should hold it but does not reach the service stays the likely one, while
// another has taken its place.
func (j *Journal) ReportNotHolder(partition int) {
	w := j.workers[partition]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.askUntil = j.opts.Now().Add(misplacedFor)
}

func (w *worker) askedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.askUntil
}

// refreshStandby reads the holders again if the last scan is old, which it is on a
// daemon that does not scan by itself.
func (j *Journal) refreshStandby(ctx context.Context, scanned time.Time) {
	if j.onStandby() && j.opts.Now().Sub(scanned) > misplacedAge {
		j.rescan(ctx)
	}
}
