package schedules

import (
	"bytes"
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/journal"
)

// send lets a caller send its key to a daemon.
func (w *world) send(d *daemon, k *key) {
	if d.frozen || d.inCall || k.final {
		return
	}
	w.outcome.Calls++
	start, result, err := d.once.Start(k.name)
	if !errors.Is(err, journal.ErrNotHolder) {
		w.note("%s: start %s: %v %v", d.id, k.name, result != nil, err)
	}
	if start != nil {
		w.tries = append(w.tries, &try{key: k, daemon: d, once: d.once, start: start})
		return
	}
	w.answer(k, result, err)
}

// answer checks what a caller is told of its key.
func (w *world) answer(k *key, result *journal.Result, err error) {
	switch {
	case result != nil:
		w.checkResult(k, *result)
	case errors.Is(err, journal.ErrInDoubt):
		if k.durable != nil {
			w.violation(&w.outcome.Reverted, k, "in doubt after its result was durable")
		}
		k.inDoubt = true
		k.final = w.calm
	case errors.Is(err, journal.ErrKeyReused), errors.Is(err, journal.ErrResultNotKept):
		w.violation(&w.outcome.Lost, k, "told %v", err)
	}
}

func (w *world) checkResult(k *key, got journal.Result) {
	k.final, k.inDoubt = true, false
	if len(k.results) == 0 || !bytes.Equal(got.Body, k.results[0].Body) {
		w.violation(&w.outcome.Lost, k, "got an answer that is not its own")
	}
}

// advanceTry moves one open try on.
func (w *world) advanceTry() {
	w.forgetEnded()
	if len(w.tries) == 0 {
		return
	}
	t := w.tries[w.rng.IntN(len(w.tries))]
	if t.daemon.frozen || t.daemon.inCall {
		return
	}
	w.advance(t)
}

func (w *world) forgetEnded() {
	open := w.tries[:0]
	for _, t := range w.tries {
		if t.state != tryEnded {
			open = append(open, t)
		}
	}
	w.tries = open
}

func (w *world) advance(t *try) {
	switch t.state {
	case tryStarting:
		w.pollStart(t)
	case tryHolding:
		w.dispatch(t)
	case tryRan:
		w.conclude(t)
	}
}

func (w *world) pollStart(t *try) {
	ticket, ok, err := t.start.Poll()
	switch {
	case !ok && !w.calm && w.chance(10):
		w.note("%s: %s gives up waiting", t.daemon.id, t.key.name)
		t.start.Cancel()
		t.state = tryEnded
	case !ok:
	case err != nil:
		w.answer(t.key, nil, err)
		t.state = tryEnded
	default:
		w.note("%s: ticket for %s", t.daemon.id, t.key.name)
		t.ticket, t.state = ticket, tryHolding
	}
}

// dispatch sends the call to the target, or finds that it can't.
func (w *world) dispatch(t *try) {
	if !w.calm && w.chance(8) {
		w.note("%s: abort %s", t.daemon.id, t.key.name)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		t.once.Abort(ctx, t.ticket)
		t.state = tryEnded
		return
	}
	w.run(t)
}

// run is the target's side: each run makes another result.
func (w *world) run(t *try) {
	k := t.key
	k.ran++
	w.note("%s: runs %s", t.daemon.id, k.name)
	if k.ran > 1 {
		w.violation(&w.outcome.Doubled, k, "ran %d times", k.ran)
	}
	body := make([]byte, journal.MaxBody/2+w.rng.IntN(journal.MaxBody/2))
	binary.BigEndian.PutUint64(body, w.rng.Uint64())
	t.result = journal.Result{Status: 201, Body: body}
	k.results = append(k.results, t.result)
	t.state = tryRan
}

// conclude brings the target's answer to the daemon, or not.
func (w *world) conclude(t *try) {
	t.state = tryEnded
	if !w.calm && w.chance(8) {
		w.note("%s: no answer for %s", t.daemon.id, t.key.name)
		t.once.Doubt(context.Background(), t.ticket)
		return
	}
	w.note("%s: finish %s", t.daemon.id, t.key.name)
	if s := t.once.Finish(t.ticket, t.result); s != nil {
		w.saves = append(w.saves, save{try: t, saving: s})
	}
	if w.chance(2) {
		w.checkResult(t.key, t.result)
		t.key.final = false // it sends its key again all the same
	}
}

// pollSaves notes which results are durable.
func (w *world) pollSaves() {
	open := w.saves[:0]
	for _, s := range w.saves {
		ok, err := s.saving.Poll()
		switch {
		case !ok:
			open = append(open, s)
		case err == nil:
			w.note("%s: durable", s.try.key.name)
			s.try.key.durable = &s.try.result
		}
	}
	w.saves = open
}
