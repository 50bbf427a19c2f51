package schedules

import (
	"bytes"
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/journal"
)

// send makes a caller send its key to daemon d, unless d is frozen or inside a call or the
// caller already has its final answer.
func (w *world) send(d *daemon, k *key) {
	if d.frozen || d.inCall || k.final {
		return
	}
	w.outcome.Calls++
	start, result, err := d.journal.Start(k.name)
	if !errors.Is(err, journal.ErrNotHolder) {
		w.logEvent("%s: start %s: %v %v", d.id, k.name, result != nil, err)
	}
	if start != nil {
		w.attempts = append(w.attempts, &attempt{key: k, daemon: d, journal: d.journal, start: start})
		return
	}
	w.handleAnswer(k, result, err)
}

// handleAnswer checks the answer that a caller receives for its key.
func (w *world) handleAnswer(k *key, result *journal.Result, err error) {
	switch {
	case result != nil:
		w.checkResult(k, *result)
	case errors.Is(err, journal.ErrInDoubt):
		if k.durable != nil {
			w.recordViolation(&w.outcome.Reverted, k, "in doubt after its result was durable")
		}
		k.inDoubt = true
		k.final = w.faultsOff
	case errors.Is(err, journal.ErrKeyReused), errors.Is(err, journal.ErrResultNotKept):
		w.recordViolation(&w.outcome.Lost, k, "caller received %v", err)
	}
}

func (w *world) checkResult(k *key, got journal.Result) {
	k.final, k.inDoubt = true, false
	if len(k.results) == 0 || !bytes.Equal(got.Body, k.results[0].Body) {
		w.recordViolation(&w.outcome.Lost, k, "caller received a result that is not that of its first run")
	}
}

// advanceRandomAttempt advances one open attempt, chosen at random.
func (w *world) advanceRandomAttempt() {
	w.dropEndedAttempts()
	if len(w.attempts) == 0 {
		return
	}
	t := w.attempts[w.rng.IntN(len(w.attempts))]
	if t.daemon.frozen || t.daemon.inCall {
		return
	}
	w.advance(t)
}

func (w *world) dropEndedAttempts() {
	open := w.attempts[:0]
	for _, t := range w.attempts {
		if t.state != attemptEnded {
			open = append(open, t)
		}
	}
	w.attempts = open
}

func (w *world) advance(t *attempt) {
	switch t.state {
	case attemptStarting:
		w.pollStart(t)
	case attemptHasTicket:
		w.dispatch(t)
	case attemptRan:
		w.deliverResult(t)
	}
}

func (w *world) pollStart(t *attempt) {
	ticket, ok, err := t.start.Poll()
	switch {
	case !ok && !w.faultsOff && w.chance(10):
		w.logEvent("%s: cancels the pending start of %s", t.daemon.id, t.key.name)
		t.start.Cancel()
		t.state = attemptEnded
	case !ok:
	case err != nil:
		w.handleAnswer(t.key, nil, err)
		t.state = attemptEnded
	default:
		w.logEvent("%s: ticket for %s", t.daemon.id, t.key.name)
		t.ticket, t.state = ticket, attemptHasTicket
	}
}

// dispatch sends the call to the target, or aborts it before it is sent.
func (w *world) dispatch(t *attempt) {
	if !w.faultsOff && w.chance(8) {
		w.logEvent("%s: abort %s", t.daemon.id, t.key.name)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		t.journal.Abort(ctx, t.ticket)
		t.state = attemptEnded
		return
	}
	w.runOnTarget(t)
}

// runOnTarget simulates a run on the target. Each run produces a different result.
func (w *world) runOnTarget(t *attempt) {
	k := t.key
	k.runs++
	w.logEvent("%s: runs %s", t.daemon.id, k.name)
	if k.runs > 1 {
		w.recordViolation(&w.outcome.Doubled, k, "ran %d times", k.runs)
	}
	body := make([]byte, journal.MaxBody/2+w.rng.IntN(journal.MaxBody/2))
	binary.BigEndian.PutUint64(body, w.rng.Uint64())
	t.result = journal.Result{Status: 201, Body: body}
	k.results = append(k.results, t.result)
	t.state = attemptRan
}

// deliverResult delivers the target's answer to the daemon, or drops the answer and has the
// journal mark the key as in doubt.
func (w *world) deliverResult(t *attempt) {
	t.state = attemptEnded
	if !w.faultsOff && w.chance(8) {
		w.logEvent("%s: no answer for %s", t.daemon.id, t.key.name)
		t.journal.MarkInDoubt(context.Background(), t.ticket)
		return
	}
	w.logEvent("%s: finish %s", t.daemon.id, t.key.name)
	if s := t.journal.Finish(t.ticket, t.result); s != nil {
		w.saves = append(w.saves, attemptSave{attempt: t, pending: s})
	}
	if w.chance(2) {
		w.checkResult(t.key, t.result)
		t.key.final = false // the caller repeats its key even after an answer
	}
}

// pollSaves records which results have become durable.
func (w *world) pollSaves() {
	open := w.saves[:0]
	for _, s := range w.saves {
		ok, err := s.pending.Poll()
		switch {
		case !ok:
			open = append(open, s)
		case err == nil:
			w.logEvent("%s: durable", s.attempt.key.name)
			s.attempt.key.durable = &s.attempt.result
		}
	}
	w.saves = open
}
