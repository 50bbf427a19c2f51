package schedules

import (
	"context"
	"time"
)

// pauseInCall pauses a daemon inside a call to the key-value service while virtual time
// passes and the other daemons continue.
func (w *world) pauseInCall(client string) {
	if w.faultsOff || w.nesting >= maxNesting || !w.chance(60) {
		return
	}
	var d *daemon
	for _, other := range w.daemons {
		if string(other.id) == client {
			d = other
		}
	}
	if d.inCall {
		return
	}
	w.outcome.Faults++
	d.inCall = true
	w.nesting++
	w.logEvent("%s: paused in a call", d.id)
	start := w.clock.now
	if w.chance(2) {
		w.expireLeases()
	}
	for range w.rng.IntN(25) {
		w.randomEvent()
	}
	if w.chance(4) {
		d.clock.behind += w.clock.now.Sub(start)
	}
	w.logEvent("%s: resumes, clock behind by %v", d.id, d.clock.behind)
	w.nesting--
	d.inCall = false
}

// expireLeases advances the clock until the leases of a paused daemon expire, and lets the
// other daemons take over.
func (w *world) expireLeases() {
	w.advanceClock(time.Duration(8+w.rng.IntN(20)) * time.Second)
	for range 2 + w.rng.IntN(3) {
		for _, d := range w.daemons {
			w.runOn(d, func(ctx context.Context) {
				d.journal.Heartbeat(ctx)
				d.journal.Scan(ctx)
				d.journal.Step(ctx)
				d.journal.Step(ctx)
			})
			w.send(d, w.keys[w.rng.IntN(len(w.keys))])
		}
		w.advanceRandomAttempt()
	}
}

// injectFault injects a fault of a process or of the key-value service; n in [0, 20) selects it.
func (w *world) injectFault(d *daemon, n int) {
	w.outcome.Faults++
	switch {
	case n < 5:
		w.kill(d)
	case n < 10:
		w.logEvent("%s: frozen", d.id)
		d.frozen = true
	case n < 13:
		w.logEvent("service down")
		w.fake.SetDown(true)
	case n < 14:
		d.clock.behind += time.Duration(w.rng.IntN(int(20 * time.Second)))
		w.logEvent("%s: clock behind by %v", d.id, d.clock.behind)
	case n < 17:
		w.logEvent("%s: partitioned from the service", d.id)
		w.fake.Partition(string(d.id), true)
	default:
		w.stopGracefully(d)
	}
}

// clearFault ends a persistent fault or delivers delayed writes; n in [0, 4) selects which.
func (w *world) clearFault(d *daemon, n int) {
	switch n {
	case 0:
		w.logEvent("%s: resumed", d.id)
		d.frozen = false
	case 1:
		w.logEvent("service up")
		w.fake.SetDown(false)
	case 2:
		w.logEvent("%s: reconnected to the service", d.id)
		w.fake.Partition(string(d.id), false)
	default:
		w.fake.Deliver(w.rng.IntN(3))
	}
}

// kill terminates a process immediately, and its attempts end with it. A call that the process
// had dispatched still runs on the target, but its answer is lost.
func (w *world) kill(d *daemon) {
	if d.inCall {
		return
	}
	w.logEvent("%s: killed", d.id)
	for _, t := range w.attempts {
		if t.journal == d.journal {
			w.endAttempt(t)
		}
	}
	w.restart(d)
}

func (w *world) restart(d *daemon) {
	d.frozen = false
	d.clock = &daemonClock{world: w.clock}
	d.journal = w.newJournal(w.fake.Client(string(d.id)), d.clock, d.id)
}

// endAttempt ends an attempt whose process was killed. The call may have been dispatched
// before the kill.
func (w *world) endAttempt(t *attempt) {
	if t.state == attemptHasTicket && w.chance(2) {
		w.runOnTarget(t)
	}
	t.state = attemptEnded
}

// stopGracefully shuts a process down as an operator does, after its attempts have ended.
func (w *world) stopGracefully(d *daemon) {
	if d.inCall || d.frozen {
		return
	}
	w.logEvent("%s: graceful shutdown", d.id)
	for _, t := range w.attempts {
		if t.journal == d.journal {
			w.finishBeforeStop(t)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.journal.Step(ctx)
	d.journal.Step(ctx)
	cancel()
	d.journal.Shutdown(ctx)
	w.kill(d)
}

func (w *world) finishBeforeStop(t *attempt) {
	if t.state == attemptHasTicket {
		w.runOnTarget(t)
	}
	if t.state == attemptRan {
		w.deliverResult(t)
	}
}
