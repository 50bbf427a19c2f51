package schedules

import (
	"context"
	"time"
)

// pauseInCall stops a daemon inside a call of the service, while time passes and the
// others go on.
func (w *world) pauseInCall(client string) {
	if w.calm || w.nesting >= maxNesting || !w.chance(60) {
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
	w.note("%s: paused in a call", d.id)
	start := w.clock.now
	if w.chance(2) {
		w.takeOver()
	}
	for range w.rng.IntN(25) {
		w.event()
	}
	if w.chance(4) {
		d.clock.behind += w.clock.now.Sub(start)
	}
	w.note("%s: goes on, clock behind by %v", d.id, d.clock.behind)
	w.nesting--
	d.inCall = false
}

// takeOver lets the leases of a paused daemon lapse and the others do their rounds.
func (w *world) takeOver() {
	w.pass(time.Duration(8+w.rng.IntN(20)) * time.Second)
	for range 2 + w.rng.IntN(3) {
		for _, d := range w.daemons {
			w.on(d, func(ctx context.Context) {
				d.once.Beat(ctx)
				d.once.Scan(ctx)
				d.once.Step(ctx)
				d.once.Step(ctx)
			})
			w.send(d, w.keys[w.rng.IntN(len(w.keys))])
		}
		w.advanceTry()
	}
}

// fault does one of the faults of a whole process or of the service; n is below 20.
func (w *world) fault(d *daemon, n int) {
	w.outcome.Faults++
	switch {
	case n < 5:
		w.kill(d)
	case n < 10:
		w.note("%s: frozen", d.id)
		d.frozen = true
	case n < 13:
		w.note("service down")
		w.fake.SetDown(true)
	case n < 14:
		d.clock.behind += time.Duration(w.rng.IntN(int(20 * time.Second)))
		w.note("%s: clock behind by %v", d.id, d.clock.behind)
	case n < 17:
		w.note("%s: cut off", d.id)
		w.fake.Partition(string(d.id), true)
	default:
		w.planned(d)
	}
}

// mend ends one of the faults that last; n is below 4.
func (w *world) mend(d *daemon, n int) {
	switch n {
	case 0:
		w.note("%s: woken", d.id)
		d.frozen = false
	case 1:
		w.note("service up")
		w.fake.SetDown(false)
	case 2:
		w.note("%s: joined", d.id)
		w.fake.Partition(string(d.id), false)
	default:
		w.fake.Deliver(w.rng.IntN(3))
	}
}

// kill ends a process at once. Its tries end with it: a target that runs one of them
// still does so, and nobody hears the answer.
func (w *world) kill(d *daemon) {
	if d.inCall {
		return
	}
	w.note("%s: killed", d.id)
	for _, t := range w.tries {
		if t.once == d.once {
			w.die(t)
		}
	}
	w.restart(d)
}

func (w *world) restart(d *daemon) {
	d.frozen = false
	d.clock = &daemonClock{world: w.clock}
	d.once = w.build(w.fake.Client(string(d.id)), d.clock, d.id)
}

// die ends a try with its process, perhaps after the dispatch left it.
func (w *world) die(t *try) {
	if t.state == tryHolding && w.chance(2) {
		w.run(t)
	}
	t.state = tryEnded
}

// planned stops a process as its operators do; its tries end first.
func (w *world) planned(d *daemon) {
	if d.inCall || d.frozen {
		return
	}
	w.note("%s: planned stop", d.id)
	for _, t := range w.tries {
		if t.once == d.once {
			w.endBeforeStop(t)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.once.Step(ctx)
	d.once.Step(ctx)
	cancel()
	d.once.Shutdown(ctx)
	w.kill(d)
}

func (w *world) endBeforeStop(t *try) {
	if t.state == tryHolding {
		w.run(t)
	}
	if t.state == tryRan {
		w.conclude(t)
	}
}
