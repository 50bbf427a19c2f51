package waitroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Candidates returns the first n requests of a service in order that do not have their turn; the first
// of them that finds room should be granted. Less urgent requests are included only if all
// more urgent ones are. Nothing follows a request while it is held for (see holds).
func (r *Room) Candidates(now time.Time, service routing.ServiceID, n int) []*Entry {
	l := r.services[service]
	if l == nil {
		return nil
	}
	var found []*Entry
	for _, lv := range l.levels {
		if lv == nil || lv.shares.Len() == 0 {
			continue
		}
		first, all := lv.first(now, n-len(found))
		for _, e := range first {
			found = append(found, e)
			if now.Before(e.holdUntil) {
				return found
			}
		}
		if !all || len(found) == n {
			return found
		}
	}
	return found
}

// CandidatesAfter returns up to n requests as Candidates does, without the first skip ones. Its cost grows with
// what waits.
func (r *Room) CandidatesAfter(now time.Time, service routing.ServiceID, skip, n int) []*Entry {
	l := r.services[service]
	if l == nil {
		return nil
	}
	var found []*Entry
	for _, lv := range l.levels {
		if lv == nil {
			continue
		}
		for _, e := range lv.inOrder(now) {
			if e.granted {
				continue
			}
			if skip--; skip < 0 {
				found = append(found, e)
			}
			if len(found) == n || now.Before(e.holdUntil) {
				return found
			}
		}
	}
	return found
}

// first returns the first n entries of a level in order that do not have their turn, and whether these
// are all.
func (lv *level) first(now time.Time, n int) ([]*Entry, bool) {
	var found []tagged
	var granted int
	for _, org := range lv.shares.Next(n) {
		o := lv.orgs[org]
		granted += o.granted
		found = appendTagged(found, lv.shares.Start(org), o.firstN(now, n))
	}
	entries := untag(found)
	entries = entries[:min(n, len(entries))]
	return entries, len(entries)+granted == lv.shares.Len()
}

// firstN returns the first n entries of the organisation that do not have their turn.
func (o *orgLine) firstN(now time.Time, n int) []*Entry {
	first := o.first(now)
	if first == nil {
		return nil
	}
	entries := []*Entry{first}
	for _, h := range []*entryHeap{&o.onTime, &o.late} {
		for _, e := range h.firstN(n) {
			if e != first && len(entries) < n {
				entries = append(entries, e)
			}
		}
	}
	return entries
}

// firstN returns the first n entries in order. Each follows its parent in the heap, so only the children
// of those found already have to be compared.
func (h *entryHeap) firstN(n int) []*Entry {
	var found []*Entry
	next := []int{0} // indices whose parents have been found
	for len(found) < min(n, len(h.entries)) {
		first := 0
		for i := range next {
			if h.Less(next[i], next[first]) {
				first = i
			}
		}
		index := next[first]
		found = append(found, h.entries[index])
		next = slices.Delete(next, first, first+1)
		for child := 2*index + 1; child <= 2*index+2 && child < len(h.entries); child++ {
			next = append(next, child)
		}
	}
	return found
}

// tagged is an entry with the virtual time at which it is expected to start.
type tagged struct {
	*Entry
	start float64
}

// appendTagged appends entries of one organisation that start one after another.
func appendTagged(all []tagged, start float64, entries []*Entry) []tagged {
	for _, e := range entries {
		all = append(all, tagged{Entry: e, start: start})
		start += float64(e.Cost)
	}
	return all
}

// untag returns the entries in the order of their start.
func untag(all []tagged) []*Entry {
	slices.SortStableFunc(all, func(a, b tagged) int { return cmp.Compare(a.start, b.start) })
	entries := make([]*Entry, len(all))
	for i, e := range all {
		entries[i] = e.Entry
	}
	return entries
}

// inOrder returns the entries of a level in the order in which they are expected to start. Those that
// have their turn are first.
func (lv *level) inOrder(now time.Time) []*Entry {
	all := make([]tagged, 0, lv.shares.Len())
	for _, org := range lv.shares.Next(len(lv.orgs)) {
		all = appendTagged(all, lv.shares.Start(org), lv.orgs[org].inOrder(now))
	}
	return untag(all)
}

// inOrder returns the entries of the organisation: those that have their turn, those that may keep
// their objective, and the late ones.
func (o *orgLine) inOrder(now time.Time) []*Entry {
	o.moveLate(now)
	entries := make([]*Entry, 0, o.requests)
	for _, e := range o.newest {
		if !e.ended && e.granted {
			entries = append(entries, e)
		}
	}
	entries = append(entries, o.onTime.sorted()...)
	return append(entries, o.late.sorted()...)
}

func (h *entryHeap) sorted() []*Entry {
	sorted := slices.Clone(h.entries)
	slices.SortFunc(sorted, func(a, b *Entry) int {
		if h.before(a, b) {
			return -1
		}
		return 1
	})
	return sorted
}
