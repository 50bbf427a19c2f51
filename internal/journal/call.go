package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Call is one call that may run at most once.
type Call struct {
	Org     request.OrgID
	Service string
	Key     string   // chosen by the caller, the same for each attempt
	Digest  [32]byte // of the body; a key must always identify the same call
	// FirstSent is the time at which the caller first sent the key, if the caller states
	// it. With it the journal refuses a key that is older than the retention period;
	// without it such a key looks new.
	FirstSent time.Time
}

// Result is the response of a call that ran.
type Result struct {
	Status      int
	ContentType string
	Body        []byte // kept up to MaxBody bytes
	// EndUnknown means that the response had neither a length nor chunks: its sender does not state that Body is complete.
	EndUnknown bool
}

// Ticket permits one dispatch of one call. The owner must conclude it with exactly one of
// Finish, Abort and MarkInDoubt.
type Ticket struct {
	worker  *worker
	id      keyID
	attempt attempt
}

// PendingTicket is a Begin whose intent is not yet written.
type PendingTicket struct {
	worker *worker
	waiter waiterID
	id     keyID
	done   chan reply
}

// Begin requests a ticket to run a call. It returns a ticket once the intent is durable,
// or the stored result of an earlier attempt, or an error. An error means that this
// attempt did not dispatch the call. On ErrNotHolder, call Holder and forward the call
// there once. Call Begin before Holder, because a daemon that lost its lease in an outage
// still answers results.
func (j *Journal) Begin(ctx context.Context, c Call) (*Ticket, *Result, error) {
	p, result, err := j.StartBegin(c)
	if err != nil || result != nil {
		return nil, result, err
	}
	select {
	case r := <-p.done:
		t, err := p.ticket(r)
		return t, nil, err
	case <-ctx.Done():
		p.Cancel()
		return nil, nil, ErrUnavailable
	}
}

// StartBegin is Begin without the wait, for drivers that call Step.
func (j *Journal) StartBegin(c Call) (*PendingTicket, *Result, error) {
	if j.isStopping() {
		return nil, nil, ErrNotHolder
	}
	now := j.opts.Now()
	if !c.FirstSent.IsZero() && now.Sub(c.FirstSent) > j.opts.Retention {
		return nil, nil, ErrKeyTooOld
	}
	w := j.workers[j.Partition(c.Org, c.Key)]
	id := newKeyID(c.Org, c.Key)
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.addWaiterLocked(id)
	result, waiting, err := w.core.begin(now, w.leaseValidLocked(), p.waiter, beginRequest{org: newOrgID(c.Org), id: id, digest: newDigest(c)})
	if !waiting {
		delete(w.waiters, p.waiter)
		if w.leaseValidLocked() && errors.Is(err, ErrNotHolder) {
			err = ErrUnavailable // the lease is held, but the partition is not loaded yet
		}
		j.countAnswer(err)
		return nil, result, err
	}
	w.signal()
	return p, nil, nil
}

func (j *Journal) countAnswer(err error) {
	switch {
	case err == nil:
		j.metrics.Counter("repeats_answered").Inc(1)
	case errors.Is(err, ErrInDoubt):
		j.metrics.Counter("repeats_in_doubt").Inc(1)
	case errors.Is(err, ErrUnavailable):
		j.metrics.Counter("refused").Inc(1)
	}
}

func (w *worker) leaseValidLocked() bool { return w.lease != nil && w.lease.Valid() }

func (w *worker) addWaiterLocked(id keyID) *PendingTicket {
	w.nextWaiter++
	p := &PendingTicket{worker: w, waiter: w.nextWaiter, id: id, done: make(chan reply, 1)}
	w.waiters[p.waiter] = p.done
	return p
}

// Poll returns the ticket or the error once the wait has ended; until then ok is false.
func (p *PendingTicket) Poll() (t *Ticket, ok bool, err error) {
	select {
	case r := <-p.done:
		t, err = p.ticket(r)
		return t, true, err
	default:
		return nil, false, nil
	}
}

func (p *PendingTicket) ticket(r reply) (*Ticket, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &Ticket{worker: p.worker, id: p.id, attempt: r.attempt}, nil
}

// Cancel ends the wait and frees the key, because no ticket was returned for it.
func (p *PendingTicket) Cancel() {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, p.waiter)
	if w.core.cancel(p.waiter) {
		w.signal()
		return
	}
	if t, ok, _ := p.Poll(); ok && t != nil {
		_, _ = w.core.abort(0, t)
		w.signal()
	}
}

// Finish stores the result of a call that ran. The response to the caller needs neither
// wait for Finish nor depend on its error: the error only states how other daemons see
// the key if this process dies.
func (j *Journal) Finish(ctx context.Context, t *Ticket, r Result) error {
	s, err := j.StartFinish(t, r)
	return s.wait(ctx, err)
}

// StartFinish is Finish without the wait.
func (j *Journal) StartFinish(t *Ticket, r Result) (*PendingOutcome, error) {
	return t.worker.conclude(func(w waiterID) (bool, error) { return t.worker.core.finish(j.opts.Now(), w, t, r) })
}

// Abort frees the key of a call that certainly did not run.
func (j *Journal) Abort(ctx context.Context, t *Ticket) error {
	s, err := t.worker.conclude(func(w waiterID) (bool, error) { return t.worker.core.abort(w, t) })
	return s.wait(ctx, err)
}

// MarkInDoubt concludes a ticket whose outcome is unknown: its key stays in doubt. It
// writes nothing, because the intent is already durable.
func (j *Journal) MarkInDoubt(_ context.Context, t *Ticket) error {
	t.worker.mu.Lock()
	defer t.worker.mu.Unlock()
	t.worker.core.markInDoubt(t)
	return nil
}

// PendingOutcome is the outcome of a ticket that is not yet written.
type PendingOutcome struct {
	worker *worker
	waiter waiterID
	done   chan reply
}

// conclude passes the outcome of a ticket to the partition through record.
func (w *worker) conclude(record func(waiterID) (waiting bool, err error)) (*PendingOutcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.addWaiterLocked("")
	waiting, err := record(p.waiter)
	if !waiting {
		delete(w.waiters, p.waiter)
		return nil, err
	}
	w.signal()
	return &PendingOutcome{worker: w, waiter: p.waiter, done: p.done}, nil
}

// Poll reports whether the wait has ended, and its error.
func (s *PendingOutcome) Poll() (ok bool, err error) {
	select {
	case r := <-s.done:
		return true, r.err
	default:
		return false, nil
	}
}

func (s *PendingOutcome) wait(ctx context.Context, err error) error {
	if s == nil {
		return err
	}
	select {
	case r := <-s.done:
		return r.err
	case <-ctx.Done():
		s.cancel()
		return ErrUnavailable
	}
}

func (s *PendingOutcome) cancel() {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	delete(s.worker.waiters, s.waiter)
	s.worker.core.cancel(s.waiter)
}
