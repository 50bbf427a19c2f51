package schedules

import (
	"context"
	"time"
)

// heal ends all faults and lets every caller send its key until it has its answer.
func (w *world) heal() {
	w.calm = true
	w.note("all faults end")
	w.fake.SetDown(false)
	for _, d := range w.daemons {
		d.frozen = false
		w.fake.Cut(string(d.id), false)
	}
	for w.fake.Deliver(0) {
	}
	for i := 0; i < healRounds && !w.allFinal(); i++ {
		w.healRound()
	}
	for _, k := range w.keys {
		w.judge(k)
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
		d.once.Beat(ctx)
		d.once.Scan(ctx)
		d.once.Step(ctx)
		d.once.Step(ctx)
		for _, k := range w.keys {
			w.send(d, k)
		}
	}
	for _, t := range w.tries {
		w.advance(t)
	}
	w.pollSaves()
	w.pass(time.Second)
}

func (w *world) judge(k *key) {
	if !k.final {
		w.violation(&w.outcome.Lost, k, "no final answer")
	}
	if k.inDoubt {
		w.outcome.InDoubt++
	}
	if k.inDoubt && k.ran == 0 {
		w.outcome.InDoubtNotRun++
	}
}
