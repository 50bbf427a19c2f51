package planner

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// recoverTimeout bounds the search for a context's exports.
	recoverTimeout = 200 * time.Millisecond
	// maxRecovered is how many exports one list may hold.
	maxRecovered = 64
)

// found is an export that a search has found.
type found struct {
	copy contextdir.Copy
	idle time.Duration
}

// recover looks in the store VMs for exports of a context that this daemon does not
// know.
//
// Daemons keep nothing and are replaced often, while contexts return after days: the
// daemon that exported a context is then gone, or the context's place has moved. Without
// the search the export would lie unused and the whole context be computed again.
func (p *Planner) recover(ctx context.Context, sheet *table.Snapshot, c gateway.Context) contextdir.Located {
	if len(c.Chain) == 0 {
		return contextdir.Located{}
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	positions := make(map[block.Hash]int, len(c.Chain))
	for i, h := range c.Chain {
		positions[h] = i + 1
	}
	var mu sync.Mutex
	var all []found
	var searches sync.WaitGroup
	for _, s := range sheet.Stores() {
		searches.Go(func() {
			if f, ok := p.search(ctx, s, c, positions); ok {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, f)
			}
		})
	}
	searches.Wait()
	return p.adopt(c, all)
}

// search returns the longest export in one store VM that is a head of the prompt.
//
// The failure: an organisation's prompts all begin with one long text, so that the
// exports of all its contexts have the same first block. A list of these is cut, the
// longest unused come first, and a context that returns soon is never among them: it is
// computed again although its export lies there. Why the guard holds: if the list was
// cut, exports are asked for by the deepest block that they can share with the prompt,
// then by the next depth above. Contexts that share a depth are few unless the common
// text is longer than four fifths of them.
func (p *Planner) search(ctx context.Context, s *table.Store, c gateway.Context, positions map[block.Hash]int) (found, bool) {
	best, all, err := p.list(ctx, s, c, store.ManifestMark, positions)
	if err != nil {
		p.log.Debug("Store was not searched", "store", s.ID, "error", err)
		return found{}, false
	}
	if all {
		return best, best.copy.Blocks > 0
	}
	for depth := depthOf(len(c.Chain)); depth > 1; depth = depthOf(depth - 1) {
		deeper, _, err := p.list(ctx, s, c, depthMark(c.Chain[:depth])+store.ManifestMark, positions)
		if err != nil {
			p.log.Debug("Store was not searched to the end", "store", s.ID, "depth", depth, "error", err)
			break
		}
		if deeper.copy.Blocks > best.copy.Blocks {
			best = deeper
		}
		if best.copy.Blocks >= depth {
			break // those of lesser depth are shorter
		}
	}
	return best, best.copy.Blocks > 0
}

// list returns the longest export whose name contains a mark and that is a head of the
// prompt, and whether the store VM listed all that have it.
func (p *Planner) list(
	ctx context.Context, s *table.Store, c gateway.Context, mark string, positions map[block.Hash]int,
) (best found, all bool, err error) {
	client := p.stores.client(s.ID, s.Address)
	prefix := store.GenerationsPrefix(c.Scope, generationStart(c.Chain))
	listed, err := client.List(ctx, prefix, mark, maxRecovered)
	if err != nil {
		return found{}, false, err
	}
	for _, l := range listed {
		ref, err := parseReference(l.Name)
		if err != nil || ref.scope != c.Scope {
			continue
		}
		if blocks := positions[ref.tail]; blocks > best.copy.Blocks {
			best = p.foundOf(s.ID, c.Scope.Model, l, blocks)
		}
	}
	return best, len(listed) < maxRecovered, nil
}

func (p *Planner) foundOf(id request.StoreID, model request.Model, l storeapi.ObjectInfo, blocks int) found {
	return found{
		copy: contextdir.Copy{
			Manifest: l.Name,
			Store:    id,
			Tier:     l.Tier,
			Blocks:   blocks,
			Bytes:    p.bytesOf(model, blocks),
		},
		idle: time.Duration(l.IdleMillis) * time.Millisecond,
	}
}

// adopt enters what was found into the directory, as last used when it was last read
// or written.
func (p *Planner) adopt(c gateway.Context, all []found) contextdir.Located {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, f := range all {
		p.recovered.Inc(1)
		chain := c.Chain[:f.copy.Blocks]
		p.directory.Used(c.Scope, chain, now.Add(-f.idle))
		p.directory.Stored(c.Scope, chain, f.copy)
	}
	return p.directory.Lookup(c.Scope, c.Chain)
}
