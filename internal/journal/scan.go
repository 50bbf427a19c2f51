package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
)

// patience is the number of scans that a daemon waits before it takes a partition
// that is preferred elsewhere, or yields one: views of who prefers what may differ
// for a while.
const patience = 3

// A daemon that yielded a partition in vain, because the preferred one lives but does
// not reach the service, takes it back. It keeps it for minKeep then, and twice as long
// each further time, since each yield leaves the partition without holder for a while.
const (
	minKeep = time.Minute
	maxKeep = 16 * time.Minute
)

// Scan looks who holds which partition, takes those that are free and preferred
// here, and yields idle ones that are not. It costs two reads, however many
// partitions there are, and a few calls for each that changes hands.
func (j *Journal) Scan(ctx context.Context) error {
	j.scanning.Lock()
	defer j.scanning.Unlock()
	if j.isStopping() {
		return nil
	}
	if err := j.ensureChecked(ctx); err != nil {
		return err
	}
	if j.onStandby() && !j.holdsAny() {
		return nil
	}
	if err := j.refresh(ctx); err != nil {
		return err
	}
	for _, w := range j.workers {
		j.place(ctx, w)
	}
	return nil
}

func (j *Journal) ensureChecked(ctx context.Context) error {
	if j.checked {
		return nil
	}
	err := j.checkPartitions(ctx)
	j.checked = err == nil
	return err
}

func (j *Journal) refresh(ctx context.Context) error {
	holders, err := j.opts.Leases.Holders(ctx, leasePrefix)
	if err != nil {
		j.mu.Lock()
		j.failed = j.opts.Now()
		j.mu.Unlock()
		return err
	}
	j.mu.Lock()
	j.holders, j.scanned = holders, j.opts.Now()
	j.mu.Unlock()
	for _, w := range j.workers {
		w.forget()
	}
	return nil
}

// forget drops the copy of a partition that is not held. While the service was away
// it served answers; now there are holders to ask.
func (w *worker) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == nil {
		w.core.forget()
	}
}

// expireHolders makes the next Holder read the holders again: the last scan names this
// daemon for a partition that it gave up.
func (j *Journal) expireHolders() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scanned = time.Time{}
}

func (j *Journal) holderOf(w *worker) (lease.Holder, time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h, ok := j.holders[w.leaseName()]
	return h, j.scanned, ok
}

func (j *Journal) prefers(partition int) bool {
	j.mu.Lock()
	preferred := j.preferred
	j.mu.Unlock()
	return preferred(partition)
}

// place decides on one partition.
func (j *Journal) place(ctx context.Context, w *worker) {
	preferred := j.prefers(w.index)
	_, _, taken := j.holderOf(w)
	w.count(preferred, taken)
	switch {
	case w.held() != nil:
		j.mayYield(ctx, w)
	case taken:
	case preferred:
		w.tryTake(ctx)
	case w.unheld >= patience:
		w.tryTake(ctx)
		w.keepLonger(j.opts.Now())
	}
}

func (j *Journal) mayYield(ctx context.Context, w *worker) {
	if w.unwanted < patience || j.opts.Now().Before(w.keepUntil) || !w.isIdle() {
		return
	}
	w.unwanted = 0
	w.drop(ctx, "Partition yielded")
}

func (w *worker) keepLonger(now time.Time) {
	w.keep = min(max(minKeep, 2*w.keep), maxKeep)
	w.keepUntil = now.Add(w.keep)
}

func (w *worker) count(preferred, taken bool) {
	w.unwanted++
	if preferred {
		w.unwanted, w.keep, w.keepUntil = 0, 0, time.Time{}
	}
	w.unheld++
	if taken {
		w.unheld = 0
	}
}

func (w *worker) isIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.loaded && w.core.idle()
}

func (w *worker) tryTake(ctx context.Context) {
	err := w.take(ctx)
	if err != nil && !errors.Is(err, lease.ErrHeld) {
		w.j.logger.Warn("Partition not taken", "partition", w.index, "error", err)
	}
}

// Holder returns the holder of a partition, from the last scan if that is recent.
func (j *Journal) Holder(ctx context.Context, partition int) (Holder, error) {
	w := j.workers[partition]
	if l := w.held(); l != nil && l.Valid() {
		return Holder{ID: j.opts.Self, Address: j.opts.Address, Epoch: l.Epoch()}, nil
	}
	if h, ok := j.likely(w); ok {
		return h, nil
	}
	_, scanned, _ := j.holderOf(w)
	j.refreshStandby(ctx, scanned)
	h, scanned, ok := j.holderOf(w)
	if (!ok || h.ID == j.opts.Self) && j.opts.Now().Sub(scanned) > holderAge {
		j.rescan(ctx)
		h, _, ok = j.holderOf(w)
	}
	if ok && h.ID != j.opts.Self {
		return Holder{ID: h.ID, Address: h.Address, Epoch: h.Epoch}, nil
	}
	if j.scanFailedLately() {
		return Holder{}, ErrUnavailable
	}
	return Holder{}, ErrNoHolder
}

// holderAge bounds how often calls for a partition without holder ask the service.
const holderAge = 500 * time.Millisecond

const (
	// rescanTimeout bounds the wait of one call for the service.
	rescanTimeout = 300 * time.Millisecond
	// failureKept is how long after a scan failed no call waits for another: the scans
	// of Run come as often while the service is away.
	failureKept = 8 * time.Second
)

// scanFailedLately tells whether the last try to read the holders failed. In an outage
// every call would otherwise wait out the tries at the service, seconds each, to be
// refused all the same, and results that are known here would not be answered.
func (j *Journal) scanFailedLately() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed.After(j.scanned) && j.opts.Now().Sub(j.failed) <= failureKept
}

// rescan reads the holders again, unless another call just did.
func (j *Journal) rescan(ctx context.Context) {
	j.scanning.Lock()
	defer j.scanning.Unlock()
	j.mu.Lock()
	recent := j.opts.Now().Sub(j.scanned) <= holderAge
	j.mu.Unlock()
	if recent || j.scanFailedLately() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rescanTimeout)
	defer cancel()
	if err := j.refresh(ctx); err != nil {
		j.logger.Warn("Holders not read", "error", err)
	}
}
