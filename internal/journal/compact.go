package journal

import (
	"time"
)

// seal is a plan to write a page that takes results out of the head, or that stands
// for the pages from (inclusive) to until (exclusive).
type seal struct {
	page        heldPage
	from, until int
}

// planSeal keeps the head small, because every write sends all of it. Results move
// from the head into the last page while it has room, then into a new one. When there
// are too many pages, two old ones are merged without their results: their keys are
// kept, and a repeat is told that the result is not.
func (p *partition) planSeal() *seal {
	if !p.claimed || p.doneBytes() < p.limits.seal {
		return nil
	}
	n := len(p.pages)
	if n > 0 && p.pages[n-1].ref.Bytes+p.limits.seal <= p.limits.page {
		return p.sealDone(n-1, n)
	}
	if n < p.limits.pages {
		return p.sealDone(n, n)
	}
	return p.mergeStripped()
}

func (p *partition) doneBytes() int {
	total := 0
	for _, e := range p.headEntries {
		if e.Done {
			total += e.size()
		}
	}
	return total
}

// sealDone plans a page of the pages [from, until) and the head's oldest results.
func (p *partition) sealDone(from, until int) *seal {
	s := &seal{from: from, until: until}
	for _, old := range p.pages[from:until] {
		s.page.entries = append(s.page.entries, old.entries...)
	}
	var done []entry
	for _, e := range p.headEntries {
		if e.Done {
			done = append(done, *e)
		}
	}
	sortEntries(done)
	size := sizeOf(s.page.entries)
	for _, e := range done {
		if size += e.size(); size > p.limits.page {
			break
		}
		s.page.entries = append(s.page.entries, e)
	}
	s.page.describe()
	return s
}

// mergeStripped plans the merge of the two oldest neighbouring pages that fit into
// one without results. It returns nil if there are none: the partition is full.
func (p *partition) mergeStripped() *seal {
	for i := 0; i+1 < len(p.pages); i++ {
		count := len(p.pages[i].entries) + len(p.pages[i+1].entries)
		if count*entryOverhead > p.limits.page {
			continue
		}
		s := &seal{from: i, until: i + 2}
		for _, old := range p.pages[i : i+2] {
			s.page.entries = append(s.page.entries, old.entries...)
		}
		for j := range s.page.entries {
			s.page.entries[j].dropResult()
		}
		s.page.describe()
		return s
	}
	return nil
}

func (h *heldPage) describe() {
	h.ref.Bytes = sizeOf(h.entries)
	for _, e := range h.entries {
		h.ref.Newest = max(h.ref.Newest, e.At)
	}
}

func sizeOf(entries []entry) int {
	total := 0
	for i := range entries {
		total += entries[i].size()
	}
	return total
}

// adopt takes a written page into use; the next head names it. Until that head is
// written, the pages that it stands for must stay, for they are what a new holder
// would read.
func (p *partition) adopt(s *seal) {
	for i := range s.page.entries {
		e := &s.page.entries[i]
		if inHead := p.headEntries[e.ID]; inHead != nil && inHead.Attempt == e.Attempt {
			p.remove(inHead)
		}
	}
	p.retired = append(p.retired, p.pages[s.from:s.until]...)
	pages := append([]heldPage{}, p.pages[:s.from]...)
	pages = append(pages, s.page)
	p.pages = append(pages, p.pages[s.until:]...)
	p.index(&s.page)
	p.recount()
	p.dirty = true
}

// sweep drops keys that need no longer be kept. The record drops them with the next
// write that is due for another cause.
func (p *partition) sweep(now time.Time) {
	for _, e := range p.headEntries {
		if p.expired(e, now) {
			p.remove(e)
		}
	}
	kept := p.pages[:0:0]
	for _, page := range p.pages {
		if now.Sub(time.UnixMilli(page.ref.Newest)) <= p.limits.keep+p.limits.skew {
			kept = append(kept, page)
			continue
		}
		p.unindex(page)
		p.retired = append(p.retired, page)
	}
	if len(kept) < len(p.pages) {
		p.pages = kept
		p.recount()
	}
}

func (p *partition) unindex(page heldPage) {
	for i := range page.entries {
		e := &page.entries[i]
		if known := p.paged[e.ID]; known != nil && known.Attempt == e.Attempt {
			delete(p.paged, e.ID)
		}
	}
}

// minRetryAfter is told when room can come soon: calls under way end, or results move
// into pages.
const minRetryAfter = time.Second

// room refuses a new key rather than forget an old one. An organisation may have at
// most as many keys as are still free for all: one that sends very many gets half of
// the partition, two get a third each, and there is always room for the others.
func (p *partition) room(now time.Time, org orgID) error {
	fits := p.headBytes+entryOverhead <= p.limits.head
	free := p.capacity() - len(p.headEntries) - len(p.paged)
	if fits && p.keysOf[org] < max(free, 1) {
		return nil
	}
	return &FullError{RetryAfter: p.untilRoom(now)}
}

// capacity is the number of keys that are known for sure, without their results.
func (p *partition) capacity() int {
	return (p.limits.pages*p.limits.page + p.limits.head) / entryOverhead
}

// recount counts the keys of each organisation anew, after pages changed.
func (p *partition) recount() {
	clear(p.keysOf)
	for _, e := range p.headEntries {
		p.keysOf[e.Org]++
	}
	for _, e := range p.paged {
		p.keysOf[e.Org]++
	}
}

func (p *partition) untilRoom(now time.Time) time.Duration {
	underWay := len(p.live) > 0 || len(p.pending) > 0 || p.inFlight != nil
	canSeal := len(p.pages) < p.limits.pages && p.doneBytes() >= p.limits.seal
	if underWay || canSeal {
		return minRetryAfter
	}
	oldest := now.UnixMilli()
	for _, e := range p.headEntries {
		oldest = min(oldest, e.At)
	}
	for _, page := range p.pages {
		oldest = min(oldest, page.ref.Newest)
	}
	until := time.UnixMilli(oldest).Add(p.limits.keep + p.limits.skew).Sub(now)
	return max(until, minRetryAfter)
}

// takeObsolete returns the pages to delete. One whose deletion fails is found as an
// orphan when the partition is next loaded.
func (p *partition) takeObsolete() []heldPage {
	out := p.obsolete
	p.obsolete = nil
	return out
}
