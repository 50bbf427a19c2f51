package schedules

import (
	"context"
	"time"
)

// heal clears all faults, lets callers repeat their keys until each has its final answer or
// healRounds have passed, and checks the answers.
func (w *world) heal() {
	w.faultsOff = true
	w.logEvent("all faults cleared")
	w.fake.SetDown(false)
	for _, d := range w.daemons {
		d.frozen = false
		w.fake.Partition(string(d.id), false)
	}
	for w.fake.Deliver(0) {
	}
	for i := 0; i < healRounds && !w.allFinal(); i++ {
		w.healRound()
	}
	for _, k := range w.keys {
		w.checkFinal(k)
	}
}

func (w *world) allFinal() bool {
	for _, k := range w.keys {
		if !k.final {
			return false
		}
	}
	return true
}

func (w *world) healRound() {
	ctx := context.Background()
	for _, d := range w.daemons {
		d.journal.Heartbeat(ctx)
		d.journal.Scan(ctx)
		d.journal.Step(ctx)
		d.journal.Step(ctx)
		for _, k := range w.keys {
			w.send(d, k)
		}
	}
	for _, t := range w.attempts {
		w.advance(t)
	}
	w.pollSaves()
	w.advanceClock(time.Second)
}

func (w *world) checkFinal(k *key) {
	if !k.final {
		w.recordViolation(&w.outcome.Lost, k, "no final answer")
	}
	if k.inDoubt {
		w.outcome.InDoubt++
	}
	if k.inDoubt && k.runs == 0 {
		w.outcome.InDoubtNotRun++
	}
}
