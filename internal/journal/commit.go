package journal

import (
	"fmt"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// write is the one write of a partition that is under way: the head, or a page.
type write struct {
	key    string
	expect platform.Revision
	value  []byte

	page     *seal         // nil: the head
	commit   uint64        // of the head
	waits    []pendingWait // answered by this write
	settled  []attempt     // outcomes that this write makes durable
	retiring int           // retired pages that this write no longer names
}

// nextWrite starts the next write if one is due and none is under way. It is a group
// commit: the head carries everything that waits.
func (p *partition) nextWrite(index int, now time.Time) *write {
	if !p.loaded || p.inFlight != nil {
		return nil
	}
	p.sweep(now)
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
		key:      headKey(index),
		expect:   p.revision,
		value:    encode(h),
		commit:   p.commit,
		waits:    p.pending,
		retiring: len(p.retired),
	}
	for a := range p.outcomes {
		w.settled = append(w.settled, a)
	}
	p.pending, p.dirty = nil, false
	return w
}

func (p *partition) pageWrite(index int, s *seal) *write {
	p.nextPage++
	s.page.ref.Name = fmt.Sprintf("%d-%d", p.epoch, p.nextPage)
	return &write{
		key:   pageKey(index, s.page.ref.Name),
		value: encode(page{Entries: s.page.entries}),
		page:  s,
	}
}

// wrote notes that the write under way took effect. Only here do tickets come to be:
// an intent that is not known to be written must never lead to a dispatch.
func (p *partition) wrote(revision platform.Revision) []reply {
	w := p.inFlight
	p.inFlight = nil
	if w.page != nil {
		w.page.page.revision = revision
		p.adopt(w.page)
		return nil
	}
	p.revision, p.claimed = revision, true
	p.obsolete = append(p.obsolete, p.retired[:w.retiring]...)
	p.retired = p.retired[w.retiring:]
	for _, a := range w.settled {
		delete(p.outcomes, a)
	}
	out := make([]reply, 0, len(w.waits))
	for _, wait := range w.waits {
		if wait.begin {
			p.live[wait.attempt] = true
		}
		out = append(out, reply{waiter: wait.waiter, attempt: wait.attempt})
	}
	return out
}

// retry gives up the write under way, which did not take effect so far. Should it
// still do so later, the next write conflicts with it and adopts its revision. A page
// gets a new name, since its old one may yet be written with what it held then.
func (p *partition) retry() {
	w := p.inFlight
	p.inFlight = nil
	p.pending = append(w.waits, p.pending...)
	p.dirty = true
}

// verdict is what the current head tells of the write under way.
type verdict int

const (
	verdictWrote verdict = iota // it took effect
	verdictRetry                // it did not; the head is still ours to write
	verdictLost                 // another holder wrote the head
)

// judge decides on a head write whose outcome is unknown, or that met a conflict.
func (p *partition) judge(h head, revision platform.Revision) verdict {
	switch {
	case h.Epoch == p.epoch && h.Holder == p.self && h.Commit == p.inFlight.commit:
		return verdictWrote
	case h.Epoch == p.epoch && h.Holder == p.self:
		p.revision = revision // an earlier write of ours that landed late
		return verdictRetry
	case revision == p.revision:
		return verdictRetry
	}
	return verdictLost
}
