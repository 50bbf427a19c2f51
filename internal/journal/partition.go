package journal

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// limits of a partition.
type limits struct {
	keep     time.Duration // for which a key is kept
	head     int           // bytes of a head
	seal     int           // bytes of results in the head that start a page
	page     int           // bytes of a page
	pages    int           // pages of a partition
	maxBody  int           // bytes of a result that is kept
	skew     time.Duration // by which daemons' clocks may differ
	outcomes int           // outcomes remembered while they can't be written
}

// waiter names a call that waits for a write.
type waiter uint64

// ask is a call as the core knows it.
type ask struct {
	org    orgID
	id     keyID
	digest string
}

// reply answers a waiter. A nil error to a Begin gives its ticket.
type reply struct {
	waiter  waiter
	attempt attempt
	err     error
}

// pendingWait is a waiter whose entry is not yet durable.
type pendingWait struct {
	waiter  waiter
	id      keyID
	attempt attempt
	begin   bool // wants a ticket
}

// outcome is what this process knows of an attempt that is not yet durable.
type outcome struct {
	aborted bool
	at      time.Time // at which the result came
	result  Result
	kept    bool
}

// partition is the pure core of one partition: it holds no clock and does no calls.
// It starts without the record; load gives it the record under a new epoch, lose
// takes it away. What the process knows of its own attempts (live, outcomes) stays
// over both, because an attempt is unique and its outcome is a fact under any epoch.
type partition struct {
	limits limits
	self   request.DaemonID

	loaded   bool
	epoch    uint64
	revision platform.Revision // of the head
	commit   uint64
	seq      uint64
	nextPage uint64 // names of pages are never used twice, not even after a failed write

	headEntries map[keyID]*entry
	headBytes   int
	paged       map[keyID]*entry
	keysOf      map[orgID]int // keys of an organisation, in the head and in pages
	pages       []heldPage
	retired     []heldPage // no longer named in memory, still named by the written head
	obsolete    []heldPage // no longer named by the written head: to be deleted

	claimed  bool // the head was written under epoch
	dirty    bool
	pending  []pendingWait
	inFlight *write

	live     map[attempt]bool // tickets in this process's hands
	outcomes map[attempt]outcome
}

// heldPage is a page with its entries.
type heldPage struct {
	ref      pageRef
	revision platform.Revision
	entries  []entry
}

func newPartition(self request.DaemonID, l limits) *partition {
	return &partition{
		limits:   l,
		self:     self,
		live:     map[attempt]bool{},
		outcomes: map[attempt]outcome{},
	}
}

// load starts an epoch from the record as it was read. The claim of the epoch is the
// first write, which also carries whatever waits by then.
func (p *partition) load(epoch uint64, revision platform.Revision, h head, pages []heldPage, orphans []heldPage) {
	p.loaded = true
	p.epoch, p.revision = epoch, revision
	p.claimed = false
	p.headEntries, p.headBytes = map[keyID]*entry{}, 0
	p.paged, p.keysOf = map[keyID]*entry{}, map[orgID]int{}
	p.pages, p.obsolete = pages, orphans
	p.retired, p.inFlight, p.pending = nil, nil, nil
	p.dirty = true
	for i := range h.Entries {
		p.put(&h.Entries[i])
	}
	for i := range pages {
		p.index(&pages[i])
	}
	p.applyOutcomes()
	p.recount()
}

// index makes the keys of a page known. A key that was forgotten and ran again may
// stand in two pages; the later attempt counts, whatever the order of the pages.
func (p *partition) index(page *heldPage) {
	for i := range page.entries {
		e := &page.entries[i]
		if known := p.paged[e.ID]; known == nil || known.Attempt.compare(e.Attempt) <= 0 {
			p.paged[e.ID] = e
		}
	}
}

// applyOutcomes settles intents whose outcome this process knows from an earlier
// epoch of its own. The outcomes are forgotten once a write holds them.
func (p *partition) applyOutcomes() {
	for _, e := range p.headEntries {
		if o, ok := p.outcomes[e.Attempt]; ok && !e.Done {
			p.apply(e, o)
		}
	}
}

func (p *partition) apply(e *entry, o outcome) {
	p.dirty = true
	if o.aborted {
		p.remove(e)
		return
	}
	p.headBytes -= e.size()
	e.Done, e.Kept, e.Result = true, o.kept, o.result
	e.At = o.at.UnixMilli()
	if p.headBytes+e.size() > p.limits.head {
		e.dropResult()
	}
	p.headBytes += e.size()
}

func (p *partition) put(e *entry) {
	p.headEntries[e.ID] = e
	p.headBytes += e.size()
	p.keysOf[e.Org]++
}

func (p *partition) remove(e *entry) {
	delete(p.headEntries, e.ID)
	p.headBytes -= e.size()
	p.keysOf[e.Org]--
}

// lose ends the epoch: the record may be another holder's. Those who wait are told
// that they did not run; their intents, if a write with them took effect, are aborted
// when this process next loads the record, and in doubt for everyone else. The copy
// of the record stays for answers until forget: a result is final under any holder.
func (p *partition) lose(err error) []reply {
	waits := p.pending
	if p.inFlight != nil {
		waits = append(p.inFlight.waits, waits...)
	}
	var out []reply
	for _, w := range waits {
		if w.begin {
			p.remember(w.attempt, outcome{aborted: true})
		}
		out = append(out, reply{waiter: w.waiter, err: err})
	}
	p.loaded, p.dirty = false, false
	p.pending, p.inFlight = nil, nil
	p.pages, p.retired, p.obsolete = nil, nil, nil
	return out
}

// forget drops the copy of the record that lose left for answers.
func (p *partition) forget() {
	if !p.loaded {
		p.headEntries, p.paged = nil, nil
	}
}

// remember notes an outcome until it is durable. Above the bound it is not noted,
// and the attempt stays in doubt if the partition is lost before the next write.
func (p *partition) remember(a attempt, o outcome) {
	if len(p.outcomes) < p.limits.outcomes {
		p.outcomes[a] = o
	}
}

// begin answers a call from the record, or enters its intent and lets it wait: then
// waiting is true, and a reply to w follows. Without a valid lease another daemon may
// know better: then only results, which are final, are answered.
func (p *partition) begin(now time.Time, valid bool, w waiter, a ask) (found *Result, waiting bool, err error) {
	e := p.find(a.id)
	known := e != nil && !p.expired(e, now)
	if !(p.loaded && valid) && !(known && e.Done) {
		return nil, false, ErrNotHolder
	}
	if known {
		found, err = p.answer(e, a.digest)
		return found, false, err
	}
	if err := p.room(now, a.org); err != nil {
		return nil, false, err
	}
	p.seq++
	e = &entry{ID: a.id, Org: a.org, Digest: a.digest, Attempt: attempt{Epoch: p.epoch, Seq: p.seq}, At: now.UnixMilli()}
	if old := p.headEntries[a.id]; old != nil {
		p.remove(old)
	}
	p.put(e)
	p.pending = append(p.pending, pendingWait{waiter: w, id: a.id, attempt: e.Attempt, begin: true})
	p.dirty = true
	return nil, true, nil
}

func (p *partition) find(id keyID) *entry {
	if e := p.headEntries[id]; e != nil {
		return e
	}
	return p.paged[id]
}

func (p *partition) answer(e *entry, digest string) (*Result, error) {
	switch {
	case e.Digest != digest:
		return nil, ErrKeyReused
	case e.Done && e.Kept:
		r := e.Result
		return &r, nil
	case e.Done:
		return nil, ErrResultNotKept
	case p.live[e.Attempt] || p.waits(e.Attempt):
		return nil, ErrInProgress
	}
	return nil, ErrInDoubt
}

func (p *partition) waits(a attempt) bool {
	for _, w := range p.pending {
		if w.attempt == a {
			return true
		}
	}
	if p.inFlight == nil {
		return false
	}
	for _, w := range p.inFlight.waits {
		if w.attempt == a {
			return true
		}
	}
	return false
}

// cancel ends the wait of a Begin and frees its key, which no ticket was given for.
// It reports false if the wait is over already.
func (p *partition) cancel(w waiter) bool {
	wait, ok := take(&p.pending, w)
	if !ok && p.inFlight != nil {
		wait, ok = take(&p.inFlight.waits, w)
	}
	if !ok {
		return false
	}
	if wait.begin {
		p.free(wait.id, wait.attempt)
	}
	return true
}

func take(waits *[]pendingWait, w waiter) (pendingWait, bool) {
	for i, wait := range *waits {
		if wait.waiter == w {
			*waits = append((*waits)[:i:i], (*waits)[i+1:]...)
			return wait, true
		}
	}
	return pendingWait{}, false
}

// free removes an intent that surely did not run.
func (p *partition) free(id keyID, a attempt) {
	p.remember(a, outcome{aborted: true})
	if e := p.headEntries[id]; e != nil && e.Attempt == a && !e.Done {
		p.remove(e)
		p.dirty = true
	}
}

// finish enters the result of a ticket; a reply to w follows if waiting is true.
func (p *partition) finish(now time.Time, w waiter, t *Ticket, r Result) (waiting bool, err error) {
	if !p.live[t.attempt] {
		return false, ErrNotHolder
	}
	delete(p.live, t.attempt)
	o := outcome{at: now, result: r, kept: len(r.Body)+len(r.ContentType) <= p.limits.maxBody}
	if !o.kept {
		o.result = Result{}
	}
	p.remember(t.attempt, o)
	if !p.loaded {
		return false, ErrNotHolder
	}
	e := p.headEntries[t.id]
	if e == nil || e.Attempt != t.attempt {
		return false, ErrNotHolder
	}
	p.apply(e, o)
	p.pending = append(p.pending, pendingWait{waiter: w, id: t.id, attempt: t.attempt})
	return true, nil
}

// abort frees the key of a ticket whose call surely did not run.
func (p *partition) abort(w waiter, t *Ticket) (waiting bool, err error) {
	if !p.live[t.attempt] {
		return false, ErrNotHolder
	}
	delete(p.live, t.attempt)
	if !p.loaded {
		p.remember(t.attempt, outcome{aborted: true})
		return false, ErrNotHolder
	}
	p.free(t.id, t.attempt)
	p.pending = append(p.pending, pendingWait{waiter: w, id: t.id, attempt: t.attempt})
	return true, nil
}

// doubt gives a ticket back without an outcome. Its intent stays, so nothing needs
// to be written.
func (p *partition) doubt(t *Ticket) { delete(p.live, t.attempt) }

// expired reports whether a key need no longer be kept. The keys of tickets still in
// use are kept however old they are.
func (p *partition) expired(e *entry, now time.Time) bool {
	return now.Sub(e.at()) > p.limits.keep+p.limits.skew && !p.live[e.Attempt] && !p.waits(e.Attempt)
}

// idle reports that nothing waits for a write and no ticket is out.
func (p *partition) idle() bool {
	return !p.dirty && p.inFlight == nil && len(p.pending) == 0 && len(p.live) == 0
}
