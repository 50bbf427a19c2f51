package journal

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// limits bounds the size and retention of a partition.
type limits struct {
	retention          time.Duration // how long a key is kept
	maxHeadBytes       int           // size of the head
	sealThreshold      int           // size of the results in the head at which they are moved to a page, in bytes
	maxPageBytes       int           // size of a page
	maxPages           int           // number of pages of a partition
	maxBody            int           // size of a result that is kept, in bytes
	maxClockSkew       time.Duration // largest difference between the clocks of two daemons
	maxUnsavedOutcomes int           // number of outcomes kept in memory until they are written
}

// waiterID identifies a call that waits for a write.
type waiterID uint64

// beginRequest is the hashed form of a call that the partition works with.
type beginRequest struct {
	org    orgID
	id     keyID
	digest string
}

// reply ends the wait of a waiter. Without an error, a Begin receives its ticket.
type reply struct {
	waiter  waiterID
	attempt attempt
	err     error
}

// pendingWaiter is a waiter whose entry is not yet durable.
type pendingWaiter struct {
	waiter  waiterID
	id      keyID
	attempt attempt
	begin   bool // from Begin: receives a ticket
}

// outcome is the outcome of an attempt of this process that is not yet durable.
type outcome struct {
	aborted bool
	at      time.Time // of the result
	result  Result
	kept    bool
}

// partition contains the logic of one partition. It reads no clock and does no I/O. It
// starts without the stored record; load sets the record under a new epoch, and unload
// ends the epoch. The state of this process's own attempts (openTickets, outcomes)
// survives both, because an attempt is unique and its outcome is valid under any epoch.
type partition struct {
	limits limits
	self   request.DaemonID

	loaded   bool
	epoch    uint64
	revision platform.Revision // of the head
	commit   uint64
	seq      uint64
	nextPage uint64 // page names are never reused, even after a failed write

	headEntries   map[keyID]*entry
	headBytes     int
	paged         map[keyID]*entry
	keysByOrg     map[orgID]int // number of keys of each organisation, in the head and in pages
	pages         []loadedPage
	removedPages  []loadedPage // removed in memory, still referred to by the stored head
	pagesToDelete []loadedPage // no longer referred to by the stored head

	epochClaimed bool // the head was written under this epoch
	dirty        bool
	pending      []pendingWaiter
	inFlight     *write

	openTickets map[attempt]bool // tickets that this process has not concluded
	outcomes    map[attempt]outcome
}

// loadedPage is a page with its entries.
type loadedPage struct {
	ref      pageRef
	revision platform.Revision
	entries  []entry
}

func newPartition(self request.DaemonID, l limits) *partition {
	return &partition{
		limits:      l,
		self:        self,
		openTickets: map[attempt]bool{},
		outcomes:    map[attempt]outcome{},
	}
}

// load starts an epoch from the stored record. The first write claims the epoch and
// contains all entries that are pending by then.
func (p *partition) load(epoch uint64, revision platform.Revision, h head, pages []loadedPage, unreferenced []loadedPage) {
	p.loaded = true
	p.epoch, p.revision = epoch, revision
	p.epochClaimed = false
	p.headEntries, p.headBytes = map[keyID]*entry{}, 0
	p.paged, p.keysByOrg = map[keyID]*entry{}, map[orgID]int{}
	p.pages, p.pagesToDelete = pages, unreferenced
	p.removedPages, p.inFlight, p.pending = nil, nil, nil
	p.dirty = true
	for i := range h.Entries {
		p.addEntry(&h.Entries[i])
	}
	for i := range pages {
		p.indexPage(&pages[i])
	}
	p.applyKnownOutcomes()
	p.recountOrgKeys()
}

// indexPage adds the keys of a page to the index. A key that expired and ran again may be
// in two pages; the later attempt wins in either order of the pages.
func (p *partition) indexPage(page *loadedPage) {
	for i := range page.entries {
		e := &page.entries[i]
		if known := p.paged[e.ID]; known == nil || known.Attempt.compare(e.Attempt) <= 0 {
			p.paged[e.ID] = e
		}
	}
}

// applyKnownOutcomes resolves intents whose outcome this process knows from an earlier
// epoch that it held. The outcomes are dropped once a write contains them.
func (p *partition) applyKnownOutcomes() {
	for _, e := range p.headEntries {
		if o, ok := p.outcomes[e.Attempt]; ok && !e.Done {
			p.applyOutcome(e, o)
		}
	}
}

func (p *partition) applyOutcome(e *entry, o outcome) {
	p.dirty = true
	if o.aborted {
		p.removeEntry(e)
		return
	}
	p.headBytes -= e.size()
	e.Done, e.Kept, e.Result = true, o.kept, o.result
	e.At = o.at.UnixMilli()
	if p.headBytes+e.size() > p.limits.maxHeadBytes {
		e.dropResult()
	}
	p.headBytes += e.size()
}

func (p *partition) addEntry(e *entry) {
	p.headEntries[e.ID] = e
	p.headBytes += e.size()
	p.keysByOrg[e.Org]++
}

func (p *partition) removeEntry(e *entry) {
	delete(p.headEntries, e.ID)
	p.headBytes -= e.size()
	p.keysByOrg[e.Org]--
}

// unload ends the epoch, because another daemon may hold the partition. All waiters receive
// err, and a waiting Begin did not run. If a write with its intent took effect, this
// process aborts the intent when it loads the record again; for other daemons the key is
// in doubt. The copy of the record still serves results until dropCopy, because a result
// is final under any holder.
func (p *partition) unload(err error) []reply {
	waiters := p.pending
	if p.inFlight != nil {
		waiters = append(p.inFlight.waiters, waiters...)
	}
	var out []reply
	for _, w := range waiters {
		if w.begin {
			p.recordOutcome(w.attempt, outcome{aborted: true})
		}
		out = append(out, reply{waiter: w.waiter, err: err})
	}
	p.loaded, p.dirty = false, false
	p.pending, p.inFlight = nil, nil
	p.pages, p.removedPages, p.pagesToDelete = nil, nil, nil
	return out
}

// dropCopy drops the copy of the record that unload left for serving results.
func (p *partition) dropCopy() {
	if !p.loaded {
		p.headEntries, p.paged = nil, nil
	}
}

// recordOutcome stores an outcome until it is durable. Above maxUnsavedOutcomes the outcome
// is not stored, and the attempt stays in doubt if this daemon loses the partition before
// the next write.
func (p *partition) recordOutcome(a attempt, o outcome) {
	if len(p.outcomes) < p.limits.maxUnsavedOutcomes {
		p.outcomes[a] = o
	}
}

// begin answers a call from the record, or adds its intent and returns waiting true; then
// a reply to w follows. Without a valid lease another daemon may have a newer record;
// begin then answers only results, which are final.
func (p *partition) begin(now time.Time, leaseValid bool, w waiterID, req beginRequest) (found *Result, waiting bool, err error) {
	e := p.findEntry(req.id)
	known := e != nil && !p.expired(e, now)
	if !(p.loaded && leaseValid) && !(known && e.Done) {
		return nil, false, ErrNotHolder
	}
	if known {
		found, err = p.answerRepeat(e, req.digest)
		return found, false, err
	}
	if err := p.checkCapacity(now, req.org); err != nil {
		return nil, false, err
	}
	p.seq++
	e = &entry{ID: req.id, Org: req.org, Digest: req.digest, Attempt: attempt{Epoch: p.epoch, Seq: p.seq}, At: now.UnixMilli()}
	if old := p.headEntries[req.id]; old != nil {
		p.removeEntry(old)
	}
	p.addEntry(e)
	p.pending = append(p.pending, pendingWaiter{waiter: w, id: req.id, attempt: e.Attempt, begin: true})
	p.dirty = true
	return nil, true, nil
}

func (p *partition) findEntry(id keyID) *entry {
	if e := p.headEntries[id]; e != nil {
		return e
	}
	return p.paged[id]
}

func (p *partition) answerRepeat(e *entry, digest string) (*Result, error) {
	switch {
	case e.Digest != digest:
		return nil, ErrKeyReused
	case e.Done && e.Kept:
		r := e.Result
		return &r, nil
	case e.Done:
		return nil, ErrResultNotKept
	case p.openTickets[e.Attempt] || p.hasWaiter(e.Attempt):
		return nil, ErrInProgress
	}
	return nil, ErrInDoubt
}

func (p *partition) hasWaiter(a attempt) bool {
	for _, w := range p.pending {
		if w.attempt == a {
			return true
		}
	}
	if p.inFlight == nil {
		return false
	}
	for _, w := range p.inFlight.waiters {
		if w.attempt == a {
			return true
		}
	}
	return false
}

// cancel removes a waiter. The key of a Begin is freed, because no ticket was issued for
// it. cancel returns false if the wait has already ended.
func (p *partition) cancel(w waiterID) bool {
	wait, ok := takeWaiter(&p.pending, w)
	if !ok && p.inFlight != nil {
		wait, ok = takeWaiter(&p.inFlight.waiters, w)
	}
	if !ok {
		return false
	}
	if wait.begin {
		p.freeKey(wait.id, wait.attempt)
	}
	return true
}

func takeWaiter(waiters *[]pendingWaiter, w waiterID) (pendingWaiter, bool) {
	for i, wait := range *waiters {
		if wait.waiter == w {
			*waiters = append((*waiters)[:i:i], (*waiters)[i+1:]...)
			return wait, true
		}
	}
	return pendingWaiter{}, false
}

// freeKey removes the intent of an attempt that certainly did not run.
func (p *partition) freeKey(id keyID, a attempt) {
	p.recordOutcome(a, outcome{aborted: true})
	if e := p.headEntries[id]; e != nil && e.Attempt == a && !e.Done {
		p.removeEntry(e)
		p.dirty = true
	}
}

// finish records the result of a ticket; a reply to w follows if waiting is true.
func (p *partition) finish(now time.Time, w waiterID, t *Ticket, r Result) (waiting bool, err error) {
	if !p.openTickets[t.attempt] {
		return false, ErrNotHolder
	}
	delete(p.openTickets, t.attempt)
	o := outcome{at: now, result: r, kept: len(r.Body)+len(r.ContentType) <= p.limits.maxBody}
	if !o.kept {
		o.result = Result{}
	}
	p.recordOutcome(t.attempt, o)
	if !p.loaded {
		return false, ErrNotHolder
	}
	e := p.headEntries[t.id]
	if e == nil || e.Attempt != t.attempt {
		return false, ErrNotHolder
	}
	p.applyOutcome(e, o)
	p.pending = append(p.pending, pendingWaiter{waiter: w, id: t.id, attempt: t.attempt})
	return true, nil
}

// abort frees the key of a ticket whose call certainly did not run.
func (p *partition) abort(w waiterID, t *Ticket) (waiting bool, err error) {
	if !p.openTickets[t.attempt] {
		return false, ErrNotHolder
	}
	delete(p.openTickets, t.attempt)
	if !p.loaded {
		p.recordOutcome(t.attempt, outcome{aborted: true})
		return false, ErrNotHolder
	}
	p.freeKey(t.id, t.attempt)
	p.pending = append(p.pending, pendingWaiter{waiter: w, id: t.id, attempt: t.attempt})
	return true, nil
}

// markInDoubt concludes a ticket without an outcome. No write is needed, because the intent
// stays in the record.
func (p *partition) markInDoubt(t *Ticket) { delete(p.openTickets, t.attempt) }

// expired reports whether the retention of a key has ended. Keys of open tickets and of
// waiters do not expire.
func (p *partition) expired(e *entry, now time.Time) bool {
	return now.Sub(e.at()) > p.limits.retention+p.limits.maxClockSkew && !p.openTickets[e.Attempt] && !p.hasWaiter(e.Attempt)
}

// idle reports that no write is pending or in flight and no ticket is open.
func (p *partition) idle() bool {
	return !p.dirty && p.inFlight == nil && len(p.pending) == 0 && len(p.openTickets) == 0
}
