package replicas

import (
	"context"
	"time"
)

// SetBusy says that the replica takes no requests until a time: it loads weights.
func (r *Replica) SetBusy(until time.Time) { r.busy.Set(until) }

// Busy reports whether the replica takes no requests now.
func (r *Replica) Busy(now time.Time) bool { return r.busy.IsAhead(now) }

// RecordRefusal notes that the replica would not run a model's request: it is full, or carries out
// an order and waits for what runs to end, which takes seconds. It looks idle meanwhile. Left
// to itself each daemon sent it one request after the other, and callers were refused when
// two replicas had.
func (r *Replica) RecordRefusal(now time.Time) {
	r.AvoidFor(now, refusedFor)
	r.on.refused(r)
}

// AvoidFor says that the replica takes no requests for a time, unless that is known to last
// longer.
func (r *Replica) AvoidFor(now time.Time, d time.Duration) { r.busy.Extend(now.Add(d)) }

// BackOff notes that the replica turned a request of this daemon away and wants none until a
// time, unless that is known to be later.
func (r *Replica) BackOff(until time.Time) { r.backoff.Extend(until) }

// BackoffLeft returns for how much longer the replica wants no requests of this daemon.
func (r *Replica) BackoffLeft(now time.Time) time.Duration {
	until, asked := r.backoff.Time()
	if !asked {
		return 0
	}
	return max(0, until.Sub(now))
}

// RecordUnreachable notes that no connection to the replica could be opened, and tells peers.
func (r *Replica) RecordUnreachable(now time.Time) {
	if r.Health.RecordDown(now) {
		r.on.down(r)
	}
}

// Suspect notes a peer's word that no connection to the replica can be opened. Its own
// connection decides: a peer may be cut off by itself.
func (r *Replica) Suspect(ctx context.Context) {
	if r.Health.Suspect() {
		go r.probe(ctx)
	}
}

// IsDown reports whether the replica accepts no connection just after one to it broke. The
// many requests that it ran ask at once; one connection answers all of them.
func (r *Replica) IsDown(ctx context.Context) bool {
	r.lookMu.Lock()
	defer r.lookMu.Unlock()
	now := time.Now()
	if now.Sub(r.lookedAt) < lookAgain {
		return r.dead
	}
	r.dead, r.lookedAt = r.Pool.Probe(ctx) != nil, now
	if r.dead {
		r.RecordUnreachable(now)
	}
	return r.dead
}

// RecordAnswer notes an answer of the replica; failed says that it was an error of its own.
func (r *Replica) RecordAnswer(now time.Time, failed bool) {
	if r.Health.ConfirmedDown() {
		r.AssumeCold(now)
	}
	r.Health.RecordAnswer(failed)
}

// probe finds out whether the replica accepts a connection. One that accepted none before has
// mostly started anew.
func (r *Replica) probe(ctx context.Context) {
	err := r.Pool.Probe(ctx)
	now := time.Now()
	if err == nil && r.Health.ConfirmedDown() {
		r.AssumeCold(now)
	}
	r.Health.RecordProbe(now, err == nil)
}

// ProbeDown looks after replicas that accepted no connection: those whose rest is over.
func (s *Set) ProbeDown(ctx context.Context, now time.Time) {
	for _, r := range s.All() {
		if r.Health.ProbeDue(now) {
			go r.probe(ctx)
		}
	}
}
