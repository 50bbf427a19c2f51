package journal

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// worker does the I/O of one partition for its core. mu protects the core and is not held
// during calls to the KV service; the partition may be released in the meantime.
type worker struct {
	j     *Journal
	index int
	wake  chan struct{} // signals that a step may be due

	stepMu sync.Mutex // serialises step

	mu                sync.Mutex
	core              *partition
	lease             *lease.Lease // nil if the partition is not held
	nextWaiter        waiterID
	waiters           map[waiterID]chan reply
	unconfirmed       bool      // the outcome of the write in flight must be read back
	bypassLikelyUntil time.Time // until then the holder is read from the KV service; see Standby

	// Used by Scan only.
	scansUnwanted  int // consecutive scans in which another daemon was preferred
	scansUnheld    int // consecutive scans in which no daemon held the partition
	yieldDelay     time.Duration
	yieldNotBefore time.Time // the partition is not yielded before
}

func newWorker(j *Journal, index int) *worker {
	return &worker{
		j:       j,
		index:   index,
		wake:    make(chan struct{}, 1),
		core:    newPartition(j.opts.Self, j.limits),
		waiters: map[waiterID]chan reply{},
	}
}

func (w *worker) leaseName() string { return fmt.Sprintf("%s%04d", leasePrefix, w.index) }

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// heldLease returns the partition's lease, or nil if this daemon does not hold it.
func (w *worker) heldLease() *lease.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease
}

// acquire obtains the partition's lease.
func (w *worker) acquire(ctx context.Context) error {
	l, err := w.j.opts.Leases.Acquire(ctx, w.leaseName())
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = l
	w.signal()
	return nil
}

// release unloads the partition and logs reason. It also releases the lease, which may
// still be valid.
func (w *worker) release(ctx context.Context, reason string) {
	w.mu.Lock()
	l := w.lease
	w.lease, w.unconfirmed = nil, false
	w.deliverRepliesLocked(w.core.unload(ErrUnavailable))
	w.mu.Unlock()
	if l == nil {
		return
	}
	w.j.logger.Info(reason, "partition", w.index, "epoch", l.Epoch())
	if err := l.Release(ctx); err != nil {
		w.j.logger.Warn("Lease not released", "partition", w.index, "error", err)
	}
	w.j.invalidateHolders()
}

// deliverRepliesLocked sends each reply to its waiter, unless the waiter was cancelled.
func (w *worker) deliverRepliesLocked(replies []reply) {
	for _, r := range replies {
		if ch, ok := w.waiters[r.waiter]; ok {
			ch <- r
			delete(w.waiters, r.waiter)
		}
	}
}

// progress is the result of a step.
type progress int

const (
	progressNone    progress = iota // nothing was due
	progressPrepare                 // the partition was loaded or a page written; a head write may follow
	progressWrite                   // the head was written
	progressFailed                  // the step is retried after retryInterval
)

// step does the next operation that is due: it loads the partition, reads back an
// unconfirmed write, or writes.
func (w *worker) step(ctx context.Context) progress {
	w.stepMu.Lock()
	defer w.stepMu.Unlock()
	l := w.heldLease()
	if l == nil {
		return progressNone
	}
	if !l.Valid() {
		w.release(ctx, "Journal partition released: lease expired")
		return progressNone
	}
	if !w.loaded() {
		return w.load(ctx, l)
	}
	if wr := w.unconfirmedWrite(); wr != nil {
		return w.readBack(ctx, wr)
	}
	wr := w.nextWrite()
	if wr == nil {
		return progressNone
	}
	revision, err := w.j.opts.KV.CompareAndSwap(ctx, wr.key, wr.expect, wr.value, "")
	w.j.countWrite(wr, err)
	return w.handleWriteResult(ctx, wr, revision, err)
}

func (w *worker) loaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.loaded
}

// unconfirmedWrite returns the write whose outcome must be read back, or nil.
func (w *worker) unconfirmedWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unconfirmed {
		return nil
	}
	return w.core.inFlight
}

func (w *worker) nextWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.nextWrite(w.index, w.j.opts.Now())
}

// load reads the head and its pages in one call, which returns a consistent snapshot.
func (w *worker) load(ctx context.Context, l *lease.Lease) progress {
	entries, _, err := w.j.opts.KV.List(ctx, partitionPrefix(w.index))
	if err != nil {
		w.j.logger.Warn("Failed to read journal partition", "partition", w.index, "error", err)
		return progressFailed
	}
	r, err := parseRecord(w.index, entries)
	if err != nil {
		w.j.logger.Error("Failed to decode journal partition", "partition", w.index, "error", err)
		return progressFailed
	}
	if r.head.Epoch > l.Epoch() {
		w.release(ctx, "Journal partition released: its head has a newer epoch")
		return progressNone
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease != l {
		return progressNone
	}
	w.core.load(l.Epoch(), r.revision, r.head, r.pages, r.unreferenced)
	w.signal()
	w.j.logger.Info("Journal partition loaded", "partition", w.index, "epoch", l.Epoch(), "keys", len(w.core.headEntries)+len(w.core.paged))
	return progressPrepare
}

// handleWriteResult passes the outcome of a write to the core.
func (w *worker) handleWriteResult(ctx context.Context, wr *write, revision platform.Revision, err error) progress {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return w.confirmWrite(ctx, wr, revision)
	case wr.seal != nil:
		return w.retryWrite(wr)
	case errors.As(err, &conflict):
		return w.resolveWrite(ctx, wr, conflict.Current)
	case errors.Is(err, platform.ErrUncertain):
		w.markUnconfirmed(wr)
		return w.readBack(ctx, wr)
	}
	w.j.logger.Warn("Failed to write journal partition", "partition", w.index, "error", err)
	return w.retryWrite(wr)
}

// isInFlightLocked reports whether wr is still in flight, which it is unless the partition
// was released after the write began.
func (w *worker) isInFlightLocked(wr *write) bool { return w.core.inFlight == wr }

func (w *worker) confirmWrite(ctx context.Context, wr *write, revision platform.Revision) progress {
	w.mu.Lock()
	if !w.isInFlightLocked(wr) {
		w.mu.Unlock()
		return progressNone
	}
	w.unconfirmed = false
	w.deliverRepliesLocked(w.core.confirmWrite(revision))
	toDelete := w.core.takePagesToDelete()
	if w.core.dirty {
		w.signal()
	}
	w.mu.Unlock()
	for _, page := range toDelete {
		if err := w.j.opts.KV.Delete(ctx, pageKey(w.index, page.ref.Name), page.revision); err != nil {
			w.j.logger.Debug("Failed to delete obsolete journal page", "partition", w.index, "page", page.ref.Name, "error", err)
		}
	}
	if wr.seal != nil {
		return progressPrepare
	}
	return progressWrite
}

func (w *worker) retryWrite(wr *write) progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isInFlightLocked(wr) {
		return progressNone
	}
	w.unconfirmed = false
	w.core.retryWrite()
	w.signal()
	return progressFailed
}

func (w *worker) markUnconfirmed(wr *write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unconfirmed = w.isInFlightLocked(wr)
}

// readBack reads the head to determine the outcome of an unconfirmed head write.
func (w *worker) readBack(ctx context.Context, wr *write) progress {
	e, err := w.j.opts.KV.Get(ctx, headKey(w.index))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return w.retryWrite(wr)
	case err != nil:
		w.j.logger.Warn("Failed to read back journal partition write", "partition", w.index, "error", err)
		w.signal()
		return progressFailed
	}
	return w.resolveWrite(ctx, wr, e)
}

func (w *worker) resolveWrite(ctx context.Context, wr *write, e platform.Entry) progress {
	h, err := decodeHead(e.Value)
	if err != nil {
		w.release(ctx, "Journal partition released: head cannot be decoded")
		return progressFailed
	}
	w.mu.Lock()
	if !w.isInFlightLocked(wr) {
		w.mu.Unlock()
		return progressNone
	}
	v := w.core.resolveWrite(h, e.Revision)
	w.mu.Unlock()
	switch v {
	case writeApplied:
		return w.confirmWrite(ctx, wr, e.Revision)
	case writeNotApplied:
		return w.retryWrite(wr)
	}
	w.release(ctx, "Journal partition released: another holder wrote its head")
	return progressNone
}

// loadedRecord is a partition as read from the KV service.
type loadedRecord struct {
	head         head
	revision     platform.Revision
	pages        []loadedPage
	unreferenced []loadedPage // pages that the head does not refer to, such as those of a replaced holder
}

func parseRecord(index int, entries []platform.Entry) (loadedRecord, error) {
	var r loadedRecord
	found := map[string]platform.Entry{}
	var err error
	for _, e := range entries {
		if e.Key != headKey(index) {
			found[strings.TrimPrefix(e.Key, pageKey(index, ""))] = e
			continue
		}
		r.revision = e.Revision
		if r.head, err = decodeHead(e.Value); err != nil {
			return r, err
		}
	}
	for _, ref := range r.head.Pages {
		e, ok := found[ref.Name]
		if !ok {
			return r, errors.Newf("journal: page %s that the head refers to is missing", ref.Name)
		}
		p, err := decodePage(e.Value)
		if err != nil {
			return r, err
		}
		r.pages = append(r.pages, loadedPage{ref: ref, revision: e.Revision, entries: p.Entries})
		delete(found, ref.Name)
	}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, pageKey(index, ""))
		if _, ok := found[name]; ok {
			r.unreferenced = append(r.unreferenced, loadedPage{ref: pageRef{Name: name}, revision: e.Revision})
		}
	}
	return r, nil
}

// run steps the partition whenever a step is due, until ctx ends. The rate limiter bounds
// the write rate of a busy partition and permits a short burst after an idle period.
func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(idleInterval)
	defer tick.Stop()
	limiter := rate.NewLimiter(rate.Every(commitInterval), commitBurst)
	for {
		select {
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if sleep.For(ctx, delayAfter(w.stepWithTimeout(ctx), limiter)) != nil {
			return
		}
	}
}

func delayAfter(p progress, limiter *rate.Limiter) time.Duration {
	switch p {
	case progressWrite:
		limiter.Reserve()
		return time.Duration((1 - limiter.Tokens()) * float64(commitInterval))
	case progressFailed:
		return retryInterval
	}
	return 0
}

func (w *worker) stepWithTimeout(ctx context.Context) progress {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return w.step(ctx)
}
