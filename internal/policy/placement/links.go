package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	// defaultLinkRate, in bytes per second, applies to a link without configuration and
	// measurements.
	defaultLinkRate = 1e9
	// minMeasuredBytes excludes transfers that are too short to measure the rate.
	minMeasuredBytes = 1 << 20
	// minBackoff is the backoff of a store after its first failed transfer.
	minBackoff = 2 * time.Second
	// maxBackoff bounds the backoff, which doubles with each further failure.
	maxBackoff = 30 * time.Second
	// overdueFactor is the factor by which a transfer may exceed its expected time before
	// the link counts as slowed.
	overdueFactor = 1.5
	// overdueGrace is added to that limit, for short pauses that are unrelated to the link.
	overdueGrace = 50 * time.Millisecond
)

// TransferID identifies a transfer within a Links.
type TransferID uint64

// Links tracks the rate and the queue of each store VM's link. It learns the rate from
// finished transfers. An overdue transfer lowers the rate as well, so Links detects a
// slow link before any transfer on it finishes.
type Links struct {
	next  TransferID
	links map[request.StoreID]*link
}

type link struct {
	rate          float64
	learned       bool       // rate was measured
	transfers     []transfer // oldest first
	outstanding   int64
	reportedQueue int64 // queue in bytes at the last report, transfers of all daemons included
	reportedAt    time.Time
	failures      int
	backoffUntil  time.Time
	lastCompleted time.Time
	busy          busyPeriod
}

// busyPeriod measures the rate of a link over a period in which it was never idle.
//
// Concurrent transfers share a link. If each were measured alone, the first to end would
// show a fraction of the rate, and the next, which ends just after it, many times the
// rate. The learned rate would then oscillate, and placement would wait for a link that
// is slower than assumed or recompute blocks that an idle link could have transferred.
// The total of bytes over the total time does not depend on how transfers share the link.
type busyPeriod struct {
	since   time.Time
	bytes   int64
	invalid bool // a transfer in the period was read from disk or was not completed
}

// maxBusyPeriod is the period after which a link that is never idle is measured.
// Transfers that are still running then count for the next measurement.
const maxBusyPeriod = 5 * time.Second

type transfer struct {
	id      TransferID
	bytes   int64
	tier    storeapi.Tier
	ahead   int64 // bytes outstanding when it started
	started time.Time
}

// NewLinks returns a tracker without links.
func NewLinks() *Links { return &Links{links: map[request.StoreID]*link{}} }

// Configure sets a link's rate from the settings unless the rate was already measured.
//
// A daemon may estimate an import before it first configures the link. If the default
// rate, at which no import pays off, then took precedence over the settings, the daemon
// would never import and never measure the rate. Only a measurement therefore overrides
// the configured rate.
func (l *Links) Configure(store request.StoreID, bytesPerSec float64) {
	k := l.link(store)
	if !k.learned && bytesPerSec > 0 {
		k.rate = bytesPerSec
	}
}

// OnQueueReport records a store VM's report of its own queue. The report lags and includes
// the transfers of other daemons.
func (l *Links) OnQueueReport(store request.StoreID, queueBytes int64, now time.Time) {
	k := l.link(store)
	k.reportedQueue = queueBytes
	k.reportedAt = now
}

// Start records the start of a transfer that a caller waits for. Only transfers from a
// store VM's memory measure the rate of its link; the disk limits those from disk.
func (l *Links) Start(store request.StoreID, tier storeapi.Tier, bytes int64, now time.Time) TransferID {
	k := l.link(store)
	if len(k.transfers) == 0 {
		k.busy = busyPeriod{since: now}
	}
	if tier != storeapi.TierMemory {
		k.busy.invalid = true
	}
	l.next++
	k.transfers = append(k.transfers, transfer{id: l.next, bytes: bytes, tier: tier, ahead: k.outstanding, started: now})
	k.outstanding += bytes
	return l.next
}

// Outcome is the result of a transfer.
type Outcome int

const (
	// Completed means that all bytes arrived.
	Completed Outcome = iota
	// Failed means that the store did not answer, closed the connection early or sent
	// wrong content.
	Failed
	// TimedOut means that the import's deadline passed.
	TimedOut
)

// Finish records the end of a transfer after received bytes. A transfer that timed out
// counts as a failure of the store only if no other transfer has completed since it
// began; otherwise the link was merely busier than expected.
func (l *Links) Finish(store request.StoreID, id TransferID, received int64, outcome Outcome, now time.Time) {
	k := l.link(store)
	t, ok := k.remove(id)
	if !ok {
		return
	}
	if outcome != Completed || received < t.bytes {
		k.busy.invalid = true
	}
	if outcome == TimedOut && k.lastCompleted.After(t.started) {
		return
	}
	if outcome != Completed {
		k.backOff(now)
		return
	}
	k.failures = 0
	k.backoffUntil = time.Time{}
	k.measure(received, now)
	k.lastCompleted = now
}

// measure updates the rate when the link becomes idle or has been busy for maxBusyPeriod.
func (k *link) measure(received int64, now time.Time) {
	k.busy.bytes += received
	elapsed := now.Sub(k.busy.since)
	if len(k.transfers) > 0 && elapsed < maxBusyPeriod {
		return
	}
	if !k.busy.invalid && k.busy.bytes >= minMeasuredBytes && elapsed > 0 {
		k.rate = smoothRate(k.rate, float64(k.busy.bytes)/elapsed.Seconds())
		k.learned = true
	}
	k.busy = busyPeriod{since: now}
}

// State returns the state of a link for a new import that a caller waits for.
func (l *Links) State(store request.StoreID, now time.Time) LinkState {
	k := l.link(store)
	return LinkState{
		BytesPerSec: k.currentRate(now),
		QueuedBytes: max(k.outstanding-k.progress(now), k.remainingReportedQueue(now)),
		Down:        now.Before(k.backoffUntil),
	}
}

// LearnedRate returns a link's rate in bytes per second, as measured from finished
// transfers.
func (l *Links) LearnedRate(store request.StoreID) float64 { return l.link(store).rate }

func (l *Links) link(store request.StoreID) *link {
	k, ok := l.links[store]
	if !ok {
		k = &link{rate: defaultLinkRate}
		l.links[store] = k
	}
	return k
}

func (k *link) remove(id TransferID) (transfer, bool) {
	for i, t := range k.transfers {
		if t.id == id {
			k.transfers = append(k.transfers[:i], k.transfers[i+1:]...)
			k.outstanding -= t.bytes
			return t, true
		}
	}
	return transfer{}, false
}

// progress returns the estimated bytes that the oldest transfer has received. It returns
// zero for an overdue transfer, whose progress cannot be estimated.
func (k *link) progress(now time.Time) int64 {
	if len(k.transfers) == 0 || k.currentRate(now) < k.rate {
		return 0
	}
	oldest := k.transfers[0]
	began := oldest.started
	if k.lastCompleted.After(began) {
		began = k.lastCompleted
	}
	return min(oldest.bytes, int64(k.rate*now.Sub(began).Seconds()))
}

// backOff starts the store's backoff, which doubles with each failure up to maxBackoff.
func (k *link) backOff(now time.Time) {
	backoff := min(minBackoff<<min(k.failures, 8), maxBackoff)
	k.failures++
	k.backoffUntil = now.Add(backoff)
}

// remainingReportedQueue returns the reported queue less the bytes that the link has
// transferred since.
func (k *link) remainingReportedQueue(now time.Time) int64 {
	drained := k.rate * now.Sub(k.reportedAt).Seconds()
	return max(0, k.reportedQueue-int64(drained))
}

// currentRate returns the learned rate, lowered if the oldest transfer from memory is
// overdue. Otherwise a link that became ten times slower would appear fast until its
// first slow transfer ends, and all callers until then would join its queue.
func (k *link) currentRate(now time.Time) float64 {
	oldest, ok := k.oldestMemoryTransfer()
	if !ok {
		return k.rate
	}
	expected := float64(oldest.ahead+oldest.bytes) / k.rate
	age := now.Sub(oldest.started).Seconds()
	if age <= overdueFactor*expected+overdueGrace.Seconds() {
		return k.rate
	}
	return k.rate * expected / age
}

func (k *link) oldestMemoryTransfer() (transfer, bool) {
	for _, t := range k.transfers {
		if t.tier == storeapi.TierMemory {
			return t, true
		}
	}
	return transfer{}, false
}
