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
	Key     string   // chosen by the caller, the same for each try
	Digest  [32]byte // of the body: the same key must stand for the same call
	// FirstSent is when the caller first sent the key, if it tells. It lets a key be
	// refused that is too old to be known; without it such a key would look new.
	FirstSent time.Time
}

// Result is the answer of a call that ran.
type Result struct {
	Status      int
	ContentType string
	Body        []byte // kept up to MaxBody bytes
}

// Ticket allows one dispatch of one call. Exactly one of Finish, Abort and Doubt
// must follow.
type Ticket struct {
	worker  *worker
	id      keyID
	attempt attempt
}

// Pending is a Begin that waits for its intent to be written.
type Pending struct {
	worker *worker
	waiter waiter
	id     keyID
	done   chan reply
}

// Begin asks for leave to run a call. It returns a ticket once the intent is durable,
// or the stored result of an earlier try, or an error; with an error the call was not
// dispatched by this try. On ErrNotHolder ask Holder and send the call there, once.
// Ask Begin first: a daemon that lost its lease in an outage still answers results.
func (j *Journal) Begin(ctx context.Context, c Call) (*Ticket, *Result, error) {
	p, result, err := j.Start(c)
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

// Start is Begin without the wait. It serves drivers that step the journal themselves.
func (j *Journal) Start(c Call) (*Pending, *Result, error) {
	if j.isStopping() {
		return nil, nil, ErrNotHolder
	}
	now := j.opts.Now()
	if !c.FirstSent.IsZero() && now.Sub(c.FirstSent) > j.opts.Keep {
		return nil, nil, ErrKeyTooOld
	}
	w := j.workers[j.Partition(c.Org, c.Key)]
	id := newKeyID(c.Org, c.Key)
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.expectLocked(id)
	result, waiting, err := w.core.begin(now, w.validLocked(), p.waiter, ask{org: newOrgID(c.Org), id: id, digest: newDigest(c)})
	if !waiting {
		delete(w.waiting, p.waiter)
		if w.validLocked() && errors.Is(err, ErrNotHolder) {
			err = ErrUnavailable // held, but not read yet
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

func (w *worker) validLocked() bool { return w.lease != nil && w.lease.Valid() }

func (w *worker) expectLocked(id keyID) *Pending {
	w.nextWaiter++
	p := &Pending{worker: w, waiter: w.nextWaiter, id: id, done: make(chan reply, 1)}
	w.waiting[p.waiter] = p.done
	return p
}

// Poll returns the ticket or the error once the wait is over; ok is false before.
func (p *Pending) Poll() (t *Ticket, ok bool, err error) {
	select {
	case r := <-p.done:
		t, err = p.ticket(r)
		return t, true, err
	default:
		return nil, false, nil
	}
}

func (p *Pending) ticket(r reply) (*Ticket, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &Ticket{worker: p.worker, id: p.id, attempt: r.attempt}, nil
}

// Cancel gives the wait up. No ticket was handed out, so the key is freed.
func (p *Pending) Cancel() {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, p.waiter)
	if w.core.cancel(p.waiter) {
		w.signal()
		return
	}
	if t, ok, _ := p.Poll(); ok && t != nil {
		_, _ = w.core.abort(0, t)
		w.signal()
	}
}

// Finish stores the result of a call that ran. The caller may be answered whatever
// Finish returns, and before it does: an error tells only what others will see of the
// key if this process dies.
func (j *Journal) Finish(ctx context.Context, t *Ticket, r Result) error {
	s, err := j.StartFinish(t, r)
	return s.wait(ctx, err)
}

// StartFinish is Finish without the wait.
func (j *Journal) StartFinish(t *Ticket, r Result) (*Saving, error) {
	return t.worker.conclude(func(w waiter) (bool, error) { return t.worker.core.finish(j.opts.Now(), w, t, r) })
}

// Abort frees the key of a call that surely did not run.
func (j *Journal) Abort(ctx context.Context, t *Ticket) error {
	s, err := t.worker.conclude(func(w waiter) (bool, error) { return t.worker.core.abort(w, t) })
	return s.wait(ctx, err)
}

// MarkInDoubt gives up a ticket whose outcome is unknown: its key stays in doubt. Nothing
// needs to be written, since the intent already is.
func (j *Journal) MarkInDoubt(_ context.Context, t *Ticket) error {
	t.worker.mu.Lock()
	defer t.worker.mu.Unlock()
	t.worker.core.doubt(t)
	return nil
}

// Saving is an outcome that waits to be written.
type Saving struct {
	worker *worker
	waiter waiter
	done   chan reply
}

// conclude enters the outcome of a ticket.
func (w *worker) conclude(enter func(waiter) (waiting bool, err error)) (*Saving, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.expectLocked("")
	waiting, err := enter(p.waiter)
	if !waiting {
		delete(w.waiting, p.waiter)
		return nil, err
	}
	w.signal()
	return &Saving{worker: w, waiter: p.waiter, done: p.done}, nil
}

// Poll reports whether the wait is over, and with which error.
func (s *Saving) Poll() (ok bool, err error) {
	select {
	case r := <-s.done:
		return true, r.err
	default:
		return false, nil
	}
}

func (s *Saving) wait(ctx context.Context, err error) error {
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

func (s *Saving) cancel() {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	delete(s.worker.waiting, s.waiter)
	s.worker.core.cancel(s.waiter)
}
