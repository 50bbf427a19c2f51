package storecache

import (
	"cmp"
	"slices"
	"time"
)

// freeable returns the parts that may be freed now, least likely to be used again first:
// parts of older weights, then those unused for longest.
func (c *Cache) freeable(now time.Time) []*part {
	var out []*part
	for _, p := range c.parts {
		if p.state == complete && c.mayFree(now, p) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *part) int {
		return cmp.Or(cmp.Compare(a.weightsVersion, b.weightsVersion), a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.key.ID, b.key.ID))
	})
	return out
}

func (c *Cache) mayFree(now time.Time, p *part) bool {
	if now.Before(c.freeAfter) || now.Before(p.permitUntil.Add(permitSlack)) {
		return false
	}
	return p.weightsVersion < c.newestWeightsVersion || now.Sub(p.lastUsed) > minRetention
}

// StartFreeing returns the parts to be freed now and marks them. The caller reports the
// outcome with OnRemoved or OnFreeFailed.
func (c *Cache) StartFreeing(now time.Time) []Key {
	if now.Before(c.freeAfter) {
		return nil
	}
	var out []Key
	for _, p := range c.parts {
		if p.state == saving && now.Sub(p.since) > 2*saveTimeout {
			out = append(out, c.markFreeing(now, p)) // the save was interrupted and still occupies space
		}
	}
	if c.usedTokens <= int(highWatermark*float64(c.params.CapacityTokens)) {
		return out
	}
	remaining := c.usedTokens
	for _, p := range c.freeable(now) {
		if remaining <= int(lowWatermark*float64(c.params.CapacityTokens)) {
			break
		}
		remaining -= c.space(p.tokens)
		out = append(out, c.markFreeing(now, p))
	}
	return out
}

func (c *Cache) markFreeing(now time.Time, p *part) Key {
	p.state, p.since = freeing, now
	return p.key
}

// OnFreeFailed records that parts may not have been freed. They are neither fetched nor
// written until a list shows whether the store still has them.
func (c *Cache) OnFreeFailed(now time.Time, keys []Key) {
	for _, key := range keys {
		if p, known := c.parts[key]; known {
			p.state, p.since, p.claim = saving, now, 0
		}
	}
}

// OnList applies a complete list of the store: its complete parts, and those that are being
// written or were interrupted. A save permitted a moment ago may be in neither list yet.
func (c *Cache) OnList(now time.Time, complete, partial []PartRequest) {
	listed := map[Key]bool{}
	for _, a := range complete {
		listed[a.Key] = true
		if p, known := c.parts[a.Key]; known && p.state == freeing {
			continue
		}
		c.OnStored(now, a.Key, a.Tokens, a.Version)
	}
	for _, a := range partial {
		listed[a.Key] = true
		if _, known := c.parts[a.Key]; !known {
			c.add(now, a, saving)
		}
	}
	for key, p := range c.parts {
		if !listed[key] && now.Sub(p.since) > saveTimeout {
			c.remove(p)
		}
	}
}

// NeedsListing reports whether a save has been unconfirmed for so long that the store should
// be listed. Its event was lost, or the save was interrupted and still occupies space.
func (c *Cache) NeedsListing(now time.Time) bool {
	for _, p := range c.parts {
		if p.state == saving && now.Sub(p.since) > saveTimeout {
			return true
		}
	}
	return false
}
