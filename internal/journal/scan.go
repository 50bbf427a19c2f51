package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
)

// handoverScans is the number of scans for which a daemon waits before it acquires or
// yields a partition that another daemon should hold, because daemons may have different
// membership views for some time.
const handoverScans = 3

// If the preferred daemon is live but cannot reach the KV service, it does not acquire a
// partition that was yielded to it, and the yielding daemon acquires it again. That daemon
// then does not yield it for minYieldDelay, doubled each further time up to
// maxYieldDelay, because each yield leaves the partition without holder for some time.
const (
	minYieldDelay = time.Minute
	maxYieldDelay = 16 * time.Minute
)

// Scan reads the holders of all partitions, acquires free partitions that this daemon
// should hold, and yields idle ones that it should not hold. A scan takes two reads for
// any number of partitions, and a few calls for each partition that changes its holder.
func (j *Journal) Scan(ctx context.Context) error {
	j.scanMu.Lock()
	defer j.scanMu.Unlock()
	if j.isStopping() {
		return nil
	}
	if err := j.ensurePartitionsChecked(ctx); err != nil {
		return err
	}
	if j.onStandby() && !j.holdsAny() {
		return nil
	}
	if err := j.refreshHolders(ctx); err != nil {
		return err
	}
	for _, w := range j.workers {
		j.reconcile(ctx, w)
	}
	return nil
}

func (j *Journal) ensurePartitionsChecked(ctx context.Context) error {
	if j.partitionsChecked {
		return nil
	}
	err := j.checkPartitionCount(ctx)
	j.partitionsChecked = err == nil
	return err
}

func (j *Journal) refreshHolders(ctx context.Context) error {
	holders, err := j.opts.Leases.Holders(ctx, leasePrefix)
	if err != nil {
		j.mu.Lock()
		j.lastScanFailure = j.opts.Now()
		j.mu.Unlock()
		return err
	}
	j.mu.Lock()
	j.holders, j.lastScan = holders, j.opts.Now()
	j.mu.Unlock()
	for _, w := range j.workers {
		w.dropStaleCopy()
	}
	return nil
}

// dropStaleCopy drops the copy of a partition that this daemon does not hold. The copy
// serves results during an outage of the KV service; once the holders can be read again,
// calls go to them.
func (w *worker) dropStaleCopy() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == nil {
		w.core.dropCopy()
	}
}

// invalidateHolders makes the next Holder read the holders again, because the last scan
// lists this daemon as holder of a partition that it has released.
func (j *Journal) invalidateHolders() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastScan = time.Time{}
}

func (j *Journal) holderOf(w *worker) (lease.Holder, time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h, ok := j.holders[w.leaseName()]
	return h, j.lastScan, ok
}

func (j *Journal) prefers(partition int) bool {
	j.mu.Lock()
	preferred := j.preferred
	j.mu.Unlock()
	return preferred(partition)
}

// reconcile acquires or yields one partition if this is due.
func (j *Journal) reconcile(ctx context.Context, w *worker) {
	preferred := j.prefers(w.index)
	_, _, held := j.holderOf(w)
	w.countScan(preferred, held)
	switch {
	case w.heldLease() != nil:
		j.yieldIfUnwanted(ctx, w)
	case held:
	case preferred:
		w.tryAcquire(ctx)
	case w.scansUnheld >= handoverScans:
		w.tryAcquire(ctx)
		w.extendYieldDelay(j.opts.Now())
	}
}

func (j *Journal) yieldIfUnwanted(ctx context.Context, w *worker) {
	if w.scansUnwanted < handoverScans || j.opts.Now().Before(w.yieldNotBefore) || !w.isLoadedAndIdle() {
		return
	}
	w.scansUnwanted = 0
	w.release(ctx, "Journal partition yielded")
}

func (w *worker) extendYieldDelay(now time.Time) {
	w.yieldDelay = min(max(minYieldDelay, 2*w.yieldDelay), maxYieldDelay)
	w.yieldNotBefore = now.Add(w.yieldDelay)
}

func (w *worker) countScan(preferred, held bool) {
	w.scansUnwanted++
	if preferred {
		w.scansUnwanted, w.yieldDelay, w.yieldNotBefore = 0, 0, time.Time{}
	}
	w.scansUnheld++
	if held {
		w.scansUnheld = 0
	}
}

func (w *worker) isLoadedAndIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.loaded && w.core.idle()
}

func (w *worker) tryAcquire(ctx context.Context) {
	err := w.acquire(ctx)
	if err != nil && !errors.Is(err, lease.ErrHeld) {
		w.j.logger.Warn("Failed to acquire journal partition", "partition", w.index, "error", err)
	}
}

// Holder returns the holder of a partition, from the last scan if that scan is recent.
func (j *Journal) Holder(ctx context.Context, partition int) (Holder, error) {
	w := j.workers[partition]
	if l := w.heldLease(); l != nil && l.Valid() {
		return Holder{ID: j.opts.Self, Address: j.opts.Address, Epoch: l.Epoch()}, nil
	}
	if h, ok := j.likelyHolder(w); ok {
		return h, nil
	}
	_, lastScan, _ := j.holderOf(w)
	j.refreshHoldersOnStandby(ctx, lastScan)
	h, lastScan, ok := j.holderOf(w)
	if (!ok || h.ID == j.opts.Self) && j.opts.Now().Sub(lastScan) > maxHolderAge {
		j.refreshHoldersIfStale(ctx)
		h, _, ok = j.holderOf(w)
	}
	if ok && h.ID != j.opts.Self {
		return Holder{ID: h.ID, Address: h.Address, Epoch: h.Epoch}, nil
	}
	if j.scanFailedRecently() {
		return Holder{}, ErrUnavailable
	}
	return Holder{}, ErrNoHolder
}

// maxHolderAge bounds how often calls for a partition without holder query the KV service.
const maxHolderAge = 500 * time.Millisecond

const (
	// rescanTimeout bounds the time for which one call waits for the KV service.
	rescanTimeout = 300 * time.Millisecond
	// scanFailureTTL is the time after a failed scan in which no call waits for another
	// scan. During an outage the scans of Run fail at least this often and extend it.
	scanFailureTTL = 8 * time.Second
)

// scanFailedRecently reports whether the last attempt to read the holders failed. Otherwise
// every call in an outage would wait several seconds for the attempts at the KV service
// and still be refused, and results that this daemon knows would not be answered.
func (j *Journal) scanFailedRecently() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastScanFailure.After(j.lastScan) && j.opts.Now().Sub(j.lastScanFailure) <= scanFailureTTL
}

// refreshHoldersIfStale reads the holders again, unless another call did so recently.
func (j *Journal) refreshHoldersIfStale(ctx context.Context) {
	j.scanMu.Lock()
	defer j.scanMu.Unlock()
	j.mu.Lock()
	recent := j.opts.Now().Sub(j.lastScan) <= maxHolderAge
	j.mu.Unlock()
	if recent || j.scanFailedRecently() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rescanTimeout)
	defer cancel()
	if err := j.refreshHolders(ctx); err != nil {
		j.logger.Warn("Failed to read journal partition holders", "error", err)
	}
}
