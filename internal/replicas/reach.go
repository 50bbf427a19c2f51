package replicas

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/monotime"
)

// SetBusy records that the replica accepts no requests until the given time, because it loads weights.
func (r *Replica) SetBusy(until time.Time) { r.busyUntil.Set(until) }

// Busy reports whether the replica accepts no requests now.
func (r *Replica) Busy(now time.Time) bool { return r.busyUntil.After(now) }

// BusyLeft returns how much longer the replica is busy.
func (r *Replica) BusyLeft(now time.Time) time.Duration { return left(&r.busyUntil, now) }

func left(until *monotime.Instant, now time.Time) time.Duration {
	at, known := until.Time()
	if !known {
		return 0
	}
	return max(0, at.Sub(now))
}

// RecordRefusal records that the replica refused to run a request, and notifies the listener. The
// replica is at capacity, or it executes an order and waits for running requests to end, which takes
// seconds and looks idle meanwhile. Without this record each daemon sent it one request after the
// other, and callers were refused after two replicas had refused their request.
func (r *Replica) RecordRefusal(now time.Time) {
	r.AvoidFor(now, refusalBackoff)
	r.recordRejected(now)
	r.listeners.refused(r)
}

// AvoidFor records that the replica accepts no requests for a duration, unless it is known to last longer.
func (r *Replica) AvoidFor(now time.Time, d time.Duration) { r.busyUntil.Extend(now.Add(d)) }

// BackOff records that the replica rejected a request of this daemon and accepts none until the given
// time, unless a later time is known.
func (r *Replica) BackOff(until time.Time) { r.backoffUntil.Extend(until) }

// BackoffLeft returns how much longer the replica accepts no requests of this daemon.
func (r *Replica) BackoffLeft(now time.Time) time.Duration { return left(&r.backoffUntil, now) }

// RecordUnreachable records that no connection to the replica could be opened, and notifies the listener.
func (r *Replica) RecordUnreachable(now time.Time) {
	changed := r.Health.RecordDown(now)
	if changed {
		r.tracked.down.add(r)
	}
	r.listeners.failed(r)
	if changed {
		r.listeners.down(r)
	}
}

// Suspect handles a peer's report that the replica accepts no connections. This daemon probes the
// replica itself, because the peer may be partitioned.
func (r *Replica) Suspect(ctx context.Context) {
	r.Pool.Doubt() // it may have restarted before the probe
	if r.Health.Suspect() {
		r.tracked.down.add(r)
		go r.probe(ctx)
	}
}

// IsDown reports whether the replica accepts no connections, after a connection to it ended at some time. A process that dies has closed its
// listener by settledAt. Many requests call it at the same time; one probe serves all of them that it can tell about: one that failed, those
// whose connections ended before it, and one that succeeded, those that had settled before it.
func (r *Replica) IsDown(ctx context.Context, endedAt, settledAt time.Time) bool {
	r.probeMu.Lock()
	defer r.probeMu.Unlock()
	now := time.Now()
	after := settledAt
	if r.down {
		after = endedAt
	}
	if now.Sub(r.probedAt) < probeResultTTL && !r.probedAt.Before(after) {
		return r.down
	}
	down := r.Pool.Probe(ctx) != nil
	if down && ctx.Err() != nil {
		return true
	}
	r.down, r.probedAt = down, now
	if r.down {
		r.RecordUnreachable(now)
	} else {
		r.noteReached()
	}
	return r.down
}

// noteReached records that the replica answered or accepted a connection, and notifies the listener.
func (r *Replica) noteReached() {
	if !r.proven.Load() {
		r.proven.Store(true)
	}
	r.listeners.reached(r)
}

// RecordReached records that the replica answered a call other than a caller's request.
func (r *Replica) RecordReached() { r.noteReached() }

// Proven reports whether this daemon has ever reached the replica. An entry alone does not show that there is one.
func (r *Replica) Proven() bool { return r.proven.Load() }

// RecordNotRun records that the replica answered without running the request.
func (r *Replica) RecordNotRun(now time.Time) {
	r.recordReached(now)
	r.Health.RecordAnswer(false)
}

// RecordAnswer records an answer of the replica; failed is set if it was the replica's own error.
func (r *Replica) RecordAnswer(now time.Time, failed bool) {
	r.recordReached(now)
	r.recordAccepted(now)
	r.Health.RecordAnswer(failed)
}

// recordReached notifies the listener, and assumes that a replica that accepted no connection before has restarted. The
// listener comes first: it may know that the path was lost instead.
func (r *Replica) recordReached(now time.Time) {
	r.noteReached()
	if r.Health.ConfirmedDown() {
		r.AssumeCold(now)
	}
}

// Probe checks whether the replica accepts connections, whether or not it did before.
func (r *Replica) Probe(ctx context.Context) {
	if r.Health.Down() {
		r.probe(ctx)
		return
	}
	switch err := r.Pool.Probe(ctx); {
	case err == nil:
		r.noteReached()
	case ctx.Err() == nil:
		r.RecordUnreachable(time.Now())
	}
}

// probe checks whether a replica that accepted no connections does now. It has usually restarted then.
func (r *Replica) probe(ctx context.Context) {
	err := r.Pool.Probe(ctx)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err == nil {
		r.recordReached(now)
	}
	r.Health.RecordProbe(now, err == nil)
	if err != nil {
		r.listeners.failed(r)
	}
}

// RetryDown lets the replicas that accepted no connection be probed at once, because this daemon has regained a path. If
// pathWasLost, the failed connections do not show that a replica restarted.
func (s *Set) RetryDown(pathWasLost bool) {
	for _, r := range s.tracked.down.list() {
		r.Health.RetryNow(pathWasLost)
	}
}

// ProbeDown probes the replicas that accepted no connection and whose backoff has passed.
func (s *Set) ProbeDown(ctx context.Context, now time.Time) {
	for _, r := range s.tracked.down.list() {
		down := s.tracked.down.retainIf(r, func() bool { return s.Get(r.id) == r && r.Health.Down() })
		if down && !r.Info().Leaving && r.Health.ProbeDue(now) {
			go r.probe(ctx)
		}
	}
}
