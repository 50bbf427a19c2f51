package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	// defaultLinkRate, in bytes a second, stands in for a link neither configured nor measured.
	defaultLinkRate = 1e9
	// minMeasuredBytes keeps out transfers too short to tell the rate.
	minMeasuredBytes = 1 << 20
	// downFor is how long a store is left alone after a failed transfer.
	downFor = 2 * time.Second
	// maxDownFor bounds the doubling of downFor after repeated failures.
	maxDownFor = 30 * time.Second
	// overdue is how far a transfer may exceed its expected time before the link counts as slowed.
	overdue = 1.5
	// overdueGrace is allowed on top, for pauses that say nothing about the link.
	overdueGrace = 50 * time.Millisecond
)

// TransferID names a transfer within a Links.
type TransferID uint64

// Links tracks what each store VM's link has left for a waiting caller. It learns the
// rate from finished transfers and also from one that is overdue, so that a link that
// slows down is noticed before anything on it finishes.
type Links struct {
	next  TransferID
	links map[request.StoreID]*link
}

type link struct {
	rate        float64
	learned     bool       // the rate was measured
	transfers   []transfer // oldest first
	outstanding int64
	reported    int64 // queue of all daemons at the last report, less what has drained since
	reportedAt  time.Time
	failures    int
	downUntil   time.Time
	lastDone    time.Time
	busy        busyTime
}

// busyTime measures the rate of a link over a time in which it was never idle.
//
// The failure: a link carries several transfers at once, turn by turn. Taken one by
// one, the first to end seems to have had a fraction of the rate, and the next, which
// ends just after it, many times the rate. The learned rate then swings, and callers
// are sent to wait for a fast link that is not there, or compute what an idle link
// would have brought. Why the guard holds: all bytes over all of the time do not depend
// on how the transfers shared the link.
type busyTime struct {
	since   time.Time
	bytes   int64
	spoiled bool // by a transfer from disk or one that did not end well
}

// maxBusyTime is when a link that is never idle is measured all the same. What is
// then on its way counts for the next measurement.
const maxBusyTime = 5 * time.Second

type transfer struct {
	id      TransferID
	bytes   int64
	tier    storeapi.Tier
	ahead   int64 // bytes outstanding when it started
	started time.Time
}

// NewLinks returns a tracker without links.
func NewLinks() *Links { return &Links{links: map[request.StoreID]*link{}} }

// Configure sets a link's rate as the settings give it, if nothing was learned yet.
//
// The failure: a daemon weighs an import before it first configures the link. It then
// keeps the default rate, at which no import is worth while, and without one it never
// learns better. Why the guard holds: only a measurement ends the settings' say.
func (l *Links) Configure(store request.StoreID, bytesPerSec float64) {
	k := l.link(store)
	if !k.learned && bytesPerSec > 0 {
		k.rate = bytesPerSec
	}
}

// OnQueueReport takes a store VM's own, lagging report of its queue, which includes other daemons' transfers.
func (l *Links) OnQueueReport(store request.StoreID, queueBytes int64, now time.Time) {
	k := l.link(store)
	k.reported = queueBytes
	k.reportedAt = now
}

// Start records a transfer of a waiting caller. Only those from a store VM's memory
// tell the rate of its link; those from disk are paced by the disk.
func (l *Links) Start(store request.StoreID, tier storeapi.Tier, bytes int64, now time.Time) TransferID {
	k := l.link(store)
	if len(k.transfers) == 0 {
		k.busy = busyTime{since: now}
	}
	if tier != storeapi.TierMemory {
		k.busy.spoiled = true
	}
	l.next++
	k.transfers = append(k.transfers, transfer{id: l.next, bytes: bytes, tier: tier, ahead: k.outstanding, started: now})
	k.outstanding += bytes
	return l.next
}

// Outcome is how a transfer ended.
type Outcome int

const (
	// Completed means that all bytes arrived.
	Completed Outcome = iota
	// Failed means that the store did not answer, broke off or sent wrong content.
	Failed
	// TimedOut means that the import's deadline passed.
	TimedOut
)

// Finish records the end of a transfer of which carried bytes arrived. A transfer that
// was given up counts as a failure of the store only if nothing else finished since it
// began; otherwise the link was merely busier than expected.
func (l *Links) Finish(store request.StoreID, id TransferID, carried int64, outcome Outcome, now time.Time) {
	k := l.link(store)
	t, ok := k.remove(id)
	if !ok {
		return
	}
	if outcome != Completed || carried < t.bytes {
		k.busy.spoiled = true
	}
	if outcome == TimedOut && k.lastDone.After(t.started) {
		return
	}
	if outcome != Completed {
		k.fail(now)
		return
	}
	k.failures = 0
	k.downUntil = time.Time{}
	k.measure(carried, now)
	k.lastDone = now
}

// measure learns the rate when the link falls idle, or has been busy for long.
func (k *link) measure(carried int64, now time.Time) {
	k.busy.bytes += carried
	elapsed := now.Sub(k.busy.since)
	if len(k.transfers) > 0 && elapsed < maxBusyTime {
		return
	}
	if !k.busy.spoiled && k.busy.bytes >= minMeasuredBytes && elapsed > 0 {
		k.rate = learn(k.rate, float64(k.busy.bytes)/elapsed.Seconds())
		k.learned = true
	}
	k.busy = busyTime{since: now}
}

// State returns what a link can do for a new import of a waiting caller.
func (l *Links) State(store request.StoreID, now time.Time) LinkState {
	k := l.link(store)
	return LinkState{
		BytesPerSec: k.presentRate(now),
		QueuedBytes: max(k.outstanding-k.progress(now), k.stillReported(now)),
		Down:        now.Before(k.downUntil),
	}
}

// LearnedRate returns a link's rate in bytes a second as finished transfers showed it.
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

// progress returns the bytes that the transfer in hand has probably carried. Of an
// overdue one nothing is known, so nothing is counted.
func (k *link) progress(now time.Time) int64 {
	if len(k.transfers) == 0 || k.presentRate(now) < k.rate {
		return 0
	}
	oldest := k.transfers[0]
	began := oldest.started
	if k.lastDone.After(began) {
		began = k.lastDone
	}
	return min(oldest.bytes, int64(k.rate*now.Sub(began).Seconds()))
}

// fail leaves the store alone, for longer after each failure.
func (k *link) fail(now time.Time) {
	pause := min(downFor<<min(k.failures, 8), maxDownFor)
	k.failures++
	k.downUntil = now.Add(pause)
}

// stillReported returns the reported queue less what the link has carried since.
func (k *link) stillReported(now time.Time) int64 {
	drained := k.rate * now.Sub(k.reportedAt).Seconds()
	return max(0, k.reported-int64(drained))
}

// presentRate returns the learned rate, lowered if the oldest transfer is overdue.
// Without this, a link that slows ten times would look fast until the first slow
// transfer ends, and all callers until then would join its queue.
func (k *link) presentRate(now time.Time) float64 {
	oldest, ok := k.oldestFromMemory()
	if !ok {
		return k.rate
	}
	expected := float64(oldest.ahead+oldest.bytes) / k.rate
	age := now.Sub(oldest.started).Seconds()
	if age <= overdue*expected+overdueGrace.Seconds() {
		return k.rate
	}
	return k.rate * expected / age
}

func (k *link) oldestFromMemory() (transfer, bool) {
	for _, t := range k.transfers {
		if t.tier == storeapi.TierMemory {
			return t, true
		}
	}
	return transfer{}, false
}
