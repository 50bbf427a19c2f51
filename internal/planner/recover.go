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
	// maxListed is the maximum number of exports in one list.
	maxListed = 64
)

// foundExport is an export that a search has found.
type foundExport struct {
	copy contextdir.Copy
	idle time.Duration
}

// recover searches the store VMs for exports of a context that this daemon does not know.
//
// Daemons store nothing persistently and are replaced often, while contexts return after
// days. By then the daemon that exported a context may have been terminated, or the
// context may have been assigned to another daemon. Without the search the export would
// stay unused and the complete context would be recomputed.
func (p *Planner) recover(ctx context.Context, snapshot *table.Snapshot, c gateway.Context) contextdir.LookupResult {
	if len(c.Chain) == 0 {
		return contextdir.LookupResult{}
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	positions := make(map[block.Hash]int, len(c.Chain))
	for i, h := range c.Chain {
		positions[h] = i + 1
	}
	var mu sync.Mutex
	var exports []foundExport
	var searches sync.WaitGroup
	for _, s := range snapshot.Stores() {
		searches.Go(func() {
			if f, ok := p.searchStore(ctx, s, c, positions); ok {
				mu.Lock()
				defer mu.Unlock()
				exports = append(exports, f)
			}
		})
	}
	searches.Wait()
	return p.addToDirectory(c, exports)
}

// searchStore returns the longest export in one store VM that is a prefix of the prompt.
//
// If all prompts of an organisation begin with one long text, the exports of all its
// contexts have the same first block. The list of these exports is truncated with the least
// recently used first, so that a context that returns soon would never be listed, and it
// would be recomputed although its export exists. If the list was truncated, searchStore
// therefore lists exports by the deepest block that they can share with the prompt, then
// by the next lower depth. Few contexts share a depth, unless the common text makes up
// more than four fifths of them.
func (p *Planner) searchStore(ctx context.Context, s *table.Store, c gateway.Context, positions map[block.Hash]int) (foundExport, bool) {
	best, complete, err := p.longestListed(ctx, s, c, store.ManifestMark, positions)
	if err != nil {
		p.log.Debug("Failed to search the store for exports", "store", s.ID, "error", err)
		return foundExport{}, false
	}
	if complete {
		return best, best.copy.Blocks > 0
	}
	for depth := depthOf(len(c.Chain)); depth > 1; depth = depthOf(depth - 1) {
		deeper, _, err := p.longestListed(ctx, s, c, depthSuffix(c.Chain[:depth])+store.ManifestMark, positions)
		if err != nil {
			p.log.Debug("Failed to complete the search of the store for exports", "store", s.ID, "depth", depth, "error", err)
			break
		}
		if deeper.copy.Blocks > best.copy.Blocks {
			best = deeper
		}
		if best.copy.Blocks >= depth {
			break // exports of lower depths are shorter
		}
	}
	return best, best.copy.Blocks > 0
}

// longestListed returns the longest export that is a prefix of the prompt and whose name
// contains mark. complete reports whether the store VM listed all exports with that mark.
func (p *Planner) longestListed(
	ctx context.Context, s *table.Store, c gateway.Context, mark string, positions map[block.Hash]int,
) (best foundExport, complete bool, err error) {
	client := p.stores.client(s.ID, s.Address)
	prefix := store.GenerationsPrefix(c.Scope, generationPrefix(c.Chain))
	listed, err := client.List(ctx, prefix, mark, maxListed)
	if err != nil {
		return foundExport{}, false, err
	}
	for _, l := range listed {
		ref, err := parseReference(l.Name)
		if err != nil || ref.scope != c.Scope {
			continue
		}
		if blocks := positions[ref.tail]; blocks > best.copy.Blocks {
			best = p.newFoundExport(s.ID, c.Scope.Model, l, blocks)
		}
	}
	return best, len(listed) < maxListed, nil
}

func (p *Planner) newFoundExport(id request.StoreID, model request.Model, l storeapi.ObjectInfo, blocks int) foundExport {
	return foundExport{
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

// addToDirectory records found exports in the directory. The time of their last use is that
// of the last read or write in the store VM.
func (p *Planner) addToDirectory(c gateway.Context, exports []foundExport) contextdir.LookupResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, f := range exports {
		p.recovered.Inc(1)
		chain := c.Chain[:f.copy.Blocks]
		p.directory.OnUse(c.Scope, chain, now.Add(-f.idle))
		p.directory.OnManifestCommitted(c.Scope, chain, f.copy)
	}
	return p.directory.Lookup(c.Scope, c.Chain)
}
