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

// worker is the shell of one partition: it does the calls that the core asks for.
// mu covers the core between the calls; the partition may be dropped meanwhile.
type worker struct {
	j     *Journal
	index int
	wake  chan struct{} // something may be due

	stepping sync.Mutex // serialises step

	mu         sync.Mutex
	core       *partition
	lease      *lease.Lease // nil: not held
	nextWaiter waiter
	waiting    map[waiter]chan reply
	unsure     bool      // the outcome of the write under way must be read
	askUntil   time.Time // until then the service is asked for the holder; see Standby

	// For the scan only.
	unwanted  int // scans in a row at which the partition was preferred elsewhere
	unheld    int // scans in a row at which nobody held it
	keep      time.Duration
	keepUntil time.Time // not yielded before
}

func newWorker(j *Journal, index int) *worker {
	return &worker{
		j:       j,
		index:   index,
		wake:    make(chan struct{}, 1),
		core:    newPartition(j.opts.Self, j.limits),
		waiting: map[waiter]chan reply{},
	}
}

func (w *worker) leaseName() string { return fmt.Sprintf("%s%04d", leasePrefix, w.index) }

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// held returns the lease if the partition is held here.
func (w *worker) held() *lease.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease
}

// take acquires the partition's lease.
func (w *worker) take(ctx context.Context) error {
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

// drop gives the partition up. Its lease is released too, in case it is still valid.
func (w *worker) drop(ctx context.Context, why string) {
	w.mu.Lock()
	l := w.lease
	w.lease, w.unsure = nil, false
	w.answerLocked(w.core.lose(ErrUnavailable))
	w.mu.Unlock()
	if l == nil {
		return
	}
	w.j.logger.Info(why, "partition", w.index, "epoch", l.Epoch())
	if err := l.Release(ctx); err != nil {
		w.j.logger.Warn("Lease not released", "partition", w.index, "error", err)
	}
	w.j.expireHolders()
}

// answerLocked hands replies to those who wait for them.
func (w *worker) answerLocked(replies []reply) {
	for _, r := range replies {
		if ch, ok := w.waiting[r.waiter]; ok {
			ch <- r
			delete(w.waiting, r.waiter)
		}
	}
}

// progress of a step.
type progress int

const (
	progressNone    progress = iota // nothing was due
	progressPrepare                 // something was done that a head write may follow
	progressWrite                   // the head was written
	progressFailed                  // try again after a pause
)

// step does one round of the partition's work: load, settle, or write.
func (w *worker) step(ctx context.Context) progress {
	w.stepping.Lock()
	defer w.stepping.Unlock()
	l := w.held()
	if l == nil {
		return progressNone
	}
	if !l.Valid() {
		w.drop(ctx, "Lease ended")
		return progressNone
	}
	if !w.loaded() {
		return w.load(ctx, l)
	}
	if wr := w.unsettled(); wr != nil {
		return w.readBack(ctx, wr)
	}
	wr := w.nextWrite()
	if wr == nil {
		return progressNone
	}
	revision, err := w.j.opts.KV.CompareAndSwap(ctx, wr.key, wr.expect, wr.value, "")
	w.j.countWrite(wr, err)
	return w.settle(ctx, wr, revision, err)
}

func (w *worker) loaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.loaded
}

// unsettled returns the write whose outcome must be read, if there is one.
func (w *worker) unsettled() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unsure {
		return nil
	}
	return w.core.inFlight
}

func (w *worker) nextWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.nextWrite(w.index, w.j.opts.Now())
}

// load reads the head and its pages in one call, which shows them as of one moment.
func (w *worker) load(ctx context.Context, l *lease.Lease) progress {
	entries, _, err := w.j.opts.KV.List(ctx, partitionPrefix(w.index))
	if err != nil {
		w.j.logger.Warn("Partition not read", "partition", w.index, "error", err)
		return progressFailed
	}
	r, err := parseRecord(w.index, entries)
	if err != nil {
		w.j.logger.Error("Partition unreadable", "partition", w.index, "error", err)
		return progressFailed
	}
	if r.head.Epoch > l.Epoch() {
		w.drop(ctx, "Partition has a newer holder.")
		return progressNone
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease != l {
		return progressNone
	}
	w.core.load(l.Epoch(), r.revision, r.head, r.pages, r.orphans)
	w.signal()
	w.j.logger.Info("Partition loaded", "partition", w.index, "epoch", l.Epoch(), "keys", len(w.core.headEntries)+len(w.core.paged))
	return progressPrepare
}

// settle tells the core the outcome of a write.
func (w *worker) settle(ctx context.Context, wr *write, revision platform.Revision, err error) progress {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return w.wrote(ctx, wr, revision)
	case wr.page != nil:
		return w.retry(wr)
	case errors.As(err, &conflict):
		return w.judge(ctx, wr, conflict.Current)
	case errors.Is(err, platform.ErrUncertain):
		w.setUnsure(wr)
		return w.readBack(ctx, wr)
	}
	w.j.logger.Warn("Partition not written", "partition", w.index, "error", err)
	return w.retry(wr)
}

// underWayLocked reports that the partition was not dropped since the write began.
func (w *worker) underWayLocked(wr *write) bool { return w.core.inFlight == wr }

func (w *worker) wrote(ctx context.Context, wr *write, revision platform.Revision) progress {
	w.mu.Lock()
	if !w.underWayLocked(wr) {
		w.mu.Unlock()
		return progressNone
	}
	w.unsure = false
	w.answerLocked(w.core.wrote(revision))
	obsolete := w.core.takeObsolete()
	if w.core.dirty {
		w.signal()
	}
	w.mu.Unlock()
	for _, page := range obsolete {
		if err := w.j.opts.KV.Delete(ctx, pageKey(w.index, page.ref.Name), page.revision); err != nil {
			w.j.logger.Debug("Page not deleted", "partition", w.index, "page", page.ref.Name, "error", err)
		}
	}
	if wr.page != nil {
		return progressPrepare
	}
	return progressWrite
}

func (w *worker) retry(wr *write) progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.underWayLocked(wr) {
		return progressNone
	}
	w.unsure = false
	w.core.retry()
	w.signal()
	return progressFailed
}

func (w *worker) setUnsure(wr *write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsure = w.underWayLocked(wr)
}

// readBack settles a head write whose outcome is unknown.
func (w *worker) readBack(ctx context.Context, wr *write) progress {
	e, err := w.j.opts.KV.Get(ctx, headKey(w.index))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return w.retry(wr)
	case err != nil:
		w.j.logger.Warn("Write not settled", "partition", w.index, "error", err)
		w.signal()
		return progressFailed
	}
	return w.judge(ctx, wr, e)
}

func (w *worker) judge(ctx context.Context, wr *write, e platform.Entry) progress {
	h, err := decodeHead(e.Value)
	if err != nil {
		w.drop(ctx, "Partition unreadable.")
		return progressFailed
	}
	w.mu.Lock()
	if !w.underWayLocked(wr) {
		w.mu.Unlock()
		return progressNone
	}
	v := w.core.judge(h, e.Revision)
	w.mu.Unlock()
	switch v {
	case verdictWrote:
		return w.wrote(ctx, wr, e.Revision)
	case verdictRetry:
		return w.retry(wr)
	}
	w.drop(ctx, "Partition written by another holder.")
	return progressNone
}

// loadedRecord is a partition as read from the service.
type loadedRecord struct {
	head     head
	revision platform.Revision
	pages    []heldPage
	orphans  []heldPage // pages that no head names: of a holder that was replaced
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
			return r, errors.Newf("journal: page %s missing", ref.Name)
		}
		p, err := decodePage(e.Value)
		if err != nil {
			return r, err
		}
		r.pages = append(r.pages, heldPage{ref: ref, revision: e.Revision, entries: p.Entries})
		delete(found, ref.Name)
	}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, pageKey(index, ""))
		if _, ok := found[name]; ok {
			r.orphans = append(r.orphans, heldPage{ref: pageRef{Name: name}, revision: e.Revision})
		}
	}
	return r, nil
}

// run steps the partition whenever something is due, until ctx ends. The pace bounds
// the writes of a busy partition and lets a few follow one another in a quiet one.
func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(idleInterval)
	defer tick.Stop()
	pace := rate.NewLimiter(rate.Every(commitInterval), commitBurst)
	for {
		select {
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if sleep.For(ctx, pauseAfter(w.timedStep(ctx), pace)) != nil {
			return
		}
	}
}

func pauseAfter(p progress, pace *rate.Limiter) time.Duration {
	switch p {
	case progressWrite:
		pace.Reserve()
		return time.Duration((1 - pace.Tokens()) * float64(commitInterval))
	case progressFailed:
		return retryInterval
	}
	return 0
}

func (w *worker) timedStep(ctx context.Context) progress {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return w.step(ctx)
}
