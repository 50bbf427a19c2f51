package journal

import (
	"fmt"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// write is a write of the head or of a page. A partition has at most one in flight.
type write struct {
	key    string
	expect platform.Revision
	value  []byte

	seal         *sealPlan       // nil for a write of the head
	commit       uint64          // commit number of the head
	waiters      []pendingWaiter // receive a reply once this write is confirmed
	outcomes     []attempt       // become durable with this write
	removedCount int             // number of removed pages that this head no longer refers to
}

// nextWrite starts the next write if one is due and none is in flight. A head write is a
// group commit of all pending entries.
func (p *partition) nextWrite(index int, now time.Time) *write {
	if !p.loaded || p.inFlight != nil {
		return nil
	}
	p.expireKeys(now)
	if s := p.planSeal(); s != nil {
		p.inFlight = p.pageWrite(index, s)
		return p.inFlight
	}
	if !p.dirty {
		return nil
	}
	p.inFlight = p.headWrite(index)
	return p.inFlight
}

func (p *partition) headWrite(index int) *write {
	p.commit++
	h := head{Epoch: p.epoch, Commit: p.commit, Holder: p.self}
	for _, e := range p.headEntries {
		h.Entries = append(h.Entries, *e)
	}
	sortEntries(h.Entries)
	for _, page := range p.pages {
		h.Pages = append(h.Pages, page.ref)
	}
	w := &write{
		key:          headKey(index),
		expect:       p.revision,
		value:        encode(h),
		commit:       p.commit,
		waiters:      p.pending,
		removedCount: len(p.removedPages),
	}
	for a := range p.outcomes {
		w.outcomes = append(w.outcomes, a)
	}
	p.pending, p.dirty = nil, false
	return w
}

func (p *partition) pageWrite(index int, s *sealPlan) *write {
	p.nextPage++
	s.page.ref.Name = fmt.Sprintf("%d-%d", p.epoch, p.nextPage)
	return &write{
		key:   pageKey(index, s.page.ref.Name),
		value: encode(page{Entries: s.page.entries}),
		seal:  s,
	}
}

// confirmWrite records that the write in flight took effect. Tickets are issued only here:
// an intent whose write is not confirmed must never lead to a dispatch.
func (p *partition) confirmWrite(revision platform.Revision) []reply {
	w := p.inFlight
	p.inFlight = nil
	if w.seal != nil {
		w.seal.page.revision = revision
		p.installPage(w.seal)
		return nil
	}
	p.revision, p.epochClaimed = revision, true
	p.pagesToDelete = append(p.pagesToDelete, p.removedPages[:w.removedCount]...)
	p.removedPages = p.removedPages[w.removedCount:]
	for _, a := range w.outcomes {
		delete(p.outcomes, a)
	}
	out := make([]reply, 0, len(w.waiters))
	for _, wait := range w.waiters {
		if wait.begin {
			p.openTickets[wait.attempt] = true
		}
		out = append(out, reply{waiter: wait.waiter, attempt: wait.attempt})
	}
	return out
}

// retryWrite abandons the write in flight, which has not taken effect so far. If it takes
// effect later, the next write conflicts with it and adopts its revision. A page gets a
// new name, because the abandoned write may still store old content under the old name.
func (p *partition) retryWrite() {
	w := p.inFlight
	p.inFlight = nil
	p.pending = append(w.waiters, p.pending...)
	p.dirty = true
}

// writeStatus is the state of the write in flight according to the current head.
type writeStatus int

const (
	writeApplied    writeStatus = iota // the write took effect
	writeNotApplied                    // the write did not take effect; this holder can still write the head
	writeSuperseded                    // another holder wrote the head
)

// resolveWrite determines the status of a head write whose outcome is unknown or that met
// a conflict.
func (p *partition) resolveWrite(h head, revision platform.Revision) writeStatus {
	switch {
	case h.Epoch == p.epoch && h.Holder == p.self && h.Commit == p.inFlight.commit:
		return writeApplied
	case h.Epoch == p.epoch && h.Holder == p.self:
		p.revision = revision // an earlier write of this holder took effect late
		return writeNotApplied
	case revision == p.revision:
		return writeNotApplied
	}
	return writeSuperseded
}
