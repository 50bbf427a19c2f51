package storecache

import (
	"cmp"
	"slices"
	"time"
)

// unwanted returns the parts that may be freed now, those first that are least likely to
// return: of older weights, then longest unused.
func (r *Cache) unwanted(now time.Time) []*part {
	var out []*part
	for _, p := range r.parts {
		if p.state == held && r.mayFree(now, p) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *part) int {
		return cmp.Or(cmp.Compare(a.weights, b.weights), a.used.Compare(b.used), cmp.Compare(a.key.ID, b.key.ID))
	})
	return out
}

func (r *Cache) mayFree(now time.Time, p *part) bool {
	if now.Before(r.freeAfter) || now.Before(p.leave.Add(leaveSlack)) {
		return false
	}
	return p.weights < r.newest || now.Sub(p.used) > keepFor
}

// StartFreeing returns the parts to be freed now and marks them. The caller tells the outcome with
// OnRemoved or OnKept.
func (r *Cache) StartFreeing(now time.Time) []Key {
	if now.Before(r.freeAfter) {
		return nil
	}
	var out []Key
	for _, p := range r.parts {
		if p.state == saving && now.Sub(p.since) > 2*saveWithin {
			out = append(out, r.mark(now, p)) // it broke off and keeps its room
		}
	}
	if r.taken <= int(fullAt*float64(r.p.CapacityTokens)) {
		return out
	}
	left := r.taken
	for _, p := range r.unwanted(now) {
		if left <= int(freeTo*float64(r.p.CapacityTokens)) {
			break
		}
		left -= roundUp(p.tokens)
		out = append(out, r.mark(now, p))
	}
	return out
}

func (r *Cache) mark(now time.Time, p *part) Key {
	p.state, p.since = freeing, now
	return p.key
}

// OnFreeFailed is told that parts could not be freed for sure. They are neither fetched nor
// written until a list tells whether the store still has them.
func (r *Cache) OnFreeFailed(now time.Time, keys []Key) {
	for _, key := range keys {
		if p, known := r.parts[key]; known {
			p.state, p.since, p.claim = saving, now, 0
		}
	}
}

// OnList takes the store's whole content: what is whole, and what is written or broke off.
// What was asked to be saved a moment ago may be on neither list yet.
func (r *Cache) OnList(now time.Time, whole, partial []PartRequest) {
	listed := map[Key]bool{}
	for _, a := range whole {
		listed[a.Key] = true
		if p, known := r.parts[a.Key]; known && p.state == freeing {
			continue
		}
		r.OnStored(now, a.Key, a.Tokens, a.Weights)
	}
	for _, a := range partial {
		listed[a.Key] = true
		if _, known := r.parts[a.Key]; !known {
			r.add(now, a, saving)
		}
	}
	for key, p := range r.parts {
		if !listed[key] && now.Sub(p.since) > saveWithin {
			r.remove(p)
		}
	}
}

// NeedsListing reports whether saves are missing for so long that the store should be listed:
// their events were lost, or they broke off and keep room.
func (r *Cache) NeedsListing(now time.Time) bool {
	for _, p := range r.parts {
		if p.state == saving && now.Sub(p.since) > saveWithin {
			return true
		}
	}
	return false
}
