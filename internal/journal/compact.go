package journal

import (
	"time"
)

// sealPlan is a plan to write a page that replaces the pages from (inclusive) to until
// (exclusive) and may take over results from the head.
type sealPlan struct {
	page        loadedPage
	from, until int
}

// planSeal keeps the head small, because every write sends the complete head. Results move
// from the head into the last page while that page has space, then into a new page. Once
// the partition has maxPages pages, two old pages are merged without their results: their
// keys stay known, and a repeat returns ErrResultNotKept.
func (p *partition) planSeal() *sealPlan {
	if !p.epochClaimed || p.resultBytes() < p.limits.sealThreshold {
		return nil
	}
	n := len(p.pages)
	if n > 0 && p.pages[n-1].ref.Bytes+p.limits.sealThreshold <= p.limits.maxPageBytes {
		return p.planResultPage(n-1, n)
	}
	if n < p.limits.maxPages {
		return p.planResultPage(n, n)
	}
	return p.planMerge()
}

func (p *partition) resultBytes() int {
	total := 0
	for _, e := range p.headEntries {
		if e.Done {
			total += e.size()
		}
	}
	return total
}

// planResultPage plans a page with the entries of the pages [from, until) and the oldest
// results of the head.
func (p *partition) planResultPage(from, until int) *sealPlan {
	s := &sealPlan{from: from, until: until}
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
		if size += e.size(); size > p.limits.maxPageBytes {
			break
		}
		s.page.entries = append(s.page.entries, e)
	}
	s.page.updateRef()
	return s
}

// planMerge plans the merge of the two oldest adjacent pages that fit into one page
// without results. It returns nil if there are none: the partition is full.
func (p *partition) planMerge() *sealPlan {
	for i := 0; i+1 < len(p.pages); i++ {
		count := len(p.pages[i].entries) + len(p.pages[i+1].entries)
		if count*entryOverhead > p.limits.maxPageBytes {
			continue
		}
		s := &sealPlan{from: i, until: i + 2}
		for _, old := range p.pages[i : i+2] {
			s.page.entries = append(s.page.entries, old.entries...)
		}
		for j := range s.page.entries {
			s.page.entries[j].dropResult()
		}
		s.page.updateRef()
		return s
	}
	return nil
}

func (p *loadedPage) updateRef() {
	p.ref.Bytes = sizeOf(p.entries)
	for _, e := range p.entries {
		p.ref.Newest = max(p.ref.Newest, e.At)
	}
}

func sizeOf(entries []entry) int {
	total := 0
	for i := range entries {
		total += entries[i].size()
	}
	return total
}

// installPage adds a written page to the partition; the next head refers to it. The pages
// that it replaces must stay until that head is written, because a new holder would
// still read them.
func (p *partition) installPage(s *sealPlan) {
	for i := range s.page.entries {
		e := &s.page.entries[i]
		if inHead := p.headEntries[e.ID]; inHead != nil && inHead.Attempt == e.Attempt {
			p.removeEntry(inHead)
		}
	}
	p.removedPages = append(p.removedPages, p.pages[s.from:s.until]...)
	pages := append([]loadedPage{}, p.pages[:s.from]...)
	pages = append(pages, s.page)
	p.pages = append(pages, p.pages[s.until:]...)
	p.indexPage(&s.page)
	p.recountOrgKeys()
	p.dirty = true
}

// expireKeys removes keys whose retention ended. Expiry alone causes no write: the stored
// record loses these keys with the next write that is due for another reason.
func (p *partition) expireKeys(now time.Time) {
	for _, e := range p.headEntries {
		if p.expired(e, now) {
			p.removeEntry(e)
		}
	}
	kept := p.pages[:0:0]
	for _, page := range p.pages {
		if now.Sub(time.UnixMilli(page.ref.Newest)) <= p.limits.retention+p.limits.maxClockSkew {
			kept = append(kept, page)
			continue
		}
		p.unindexPage(page)
		p.removedPages = append(p.removedPages, page)
	}
	if len(kept) < len(p.pages) {
		p.pages = kept
		p.recountOrgKeys()
	}
}

func (p *partition) unindexPage(page loadedPage) {
	for i := range page.entries {
		e := &page.entries[i]
		if known := p.paged[e.ID]; known != nil && known.Attempt == e.Attempt {
			delete(p.paged, e.ID)
		}
	}
}

// minRetryAfter is returned when capacity may become free soon, because calls in progress
// end or results move into pages.
const minRetryAfter = time.Second

// checkCapacity refuses a new key if the partition is full, because dropping an old key
// could run its call again. An organisation may have at most as many keys as are still
// free in the partition: one busy organisation gets half of the partition, two get a
// third each, and capacity for other organisations always remains.
func (p *partition) checkCapacity(now time.Time, org orgID) error {
	fits := p.headBytes+entryOverhead <= p.limits.maxHeadBytes
	free := p.capacity() - len(p.headEntries) - len(p.paged)
	if fits && p.keysByOrg[org] < max(free, 1) {
		return nil
	}
	return &FullError{RetryAfter: p.timeUntilCapacity(now)}
}

// capacity is the number of keys without results that the partition can always store.
func (p *partition) capacity() int {
	return (p.limits.maxPages*p.limits.maxPageBytes + p.limits.maxHeadBytes) / entryOverhead
}

// recountOrgKeys recounts the keys of each organisation after the pages changed.
func (p *partition) recountOrgKeys() {
	clear(p.keysByOrg)
	for _, e := range p.headEntries {
		p.keysByOrg[e.Org]++
	}
	for _, e := range p.paged {
		p.keysByOrg[e.Org]++
	}
}

func (p *partition) timeUntilCapacity(now time.Time) time.Duration {
	callsActive := len(p.openTickets) > 0 || len(p.pending) > 0 || p.inFlight != nil
	canSeal := len(p.pages) < p.limits.maxPages && p.resultBytes() >= p.limits.sealThreshold
	if callsActive || canSeal {
		return minRetryAfter
	}
	oldest := now.UnixMilli()
	for _, e := range p.headEntries {
		oldest = min(oldest, e.At)
	}
	for _, page := range p.pages {
		oldest = min(oldest, page.ref.Newest)
	}
	until := time.UnixMilli(oldest).Add(p.limits.retention + p.limits.maxClockSkew).Sub(now)
	return max(until, minRetryAfter)
}

// takePagesToDelete returns the pages to delete and clears the list. If a deletion fails, the
// page is found as unreferenced when the partition is loaded again.
func (p *partition) takePagesToDelete() []loadedPage {
	out := p.pagesToDelete
	p.pagesToDelete = nil
	return out
}
