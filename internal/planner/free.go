package planner

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
)

// maxUnfreed bounds how many exports wait to be freed to the end. The oldest are
// forgotten first; their blocks then stay.
const maxUnfreed = 1024

// unfreed is an export whose manifest is gone, while a reader still has its blocks
// pinned.
type unfreed struct {
	store    request.StoreID
	manifest store.Manifest
}

// deleteExport frees an export, but no block that one of kept, or another export of
// the same context in the store VM, lists too.
//
// The failures: a process dies between writing the manifest of a longer export and
// freeing the earlier one, or two daemons extend one export while the context's place
// moves. Whichever is freed first takes the blocks that both list, and the other brings
// nothing back. And a caller that reads an export while it is freed has its blocks
// pinned; nothing lists them any more once the manifest is gone, so that the store VM
// fills up with them. Why the guards hold: exports of one context begin with one hash,
// by which the store VM lists them; and what is pinned is tried again until it is free.
func (p *Planner) deleteExport(ctx context.Context, client *store.Client, m store.Manifest, kept ...store.Manifest) error {
	if len(m.UnreferencedBlocks(kept...)) > 0 {
		others, err := p.sharing(ctx, client, m)
		if err != nil {
			return err
		}
		kept = append(slices.Clone(kept), others...)
	}
	err := client.DeleteExport(ctx, m, kept...)
	if errors.Is(err, store.ErrPinned) {
		p.freeLater(unfreed{store: client.ID(), manifest: m})
	}
	return err
}

// sharing returns the exports that list blocks which m lists.
func (p *Planner) sharing(ctx context.Context, client *store.Client, m store.Manifest) ([]store.Manifest, error) {
	head, _, _ := strings.Cut(string(m.Generation), ".")
	listed, err := client.List(ctx, store.GenerationsPrefix(m.Scope(), head+"."), store.ManifestMark, maxRecovered)
	if err != nil {
		return nil, err
	}
	var out []store.Manifest
	for _, l := range listed {
		if l.Name == m.Name() {
			continue
		}
		if other, ok := p.readManifest(ctx, client, l.Name); ok && len(m.UnreferencedBlocks(other)) < len(m.Blocks) {
			out = append(out, other)
		}
	}
	return out, nil
}

func (p *Planner) freeLater(u unfreed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unfreed = append(p.unfreed, u)
	if len(p.unfreed) > maxUnfreed {
		p.unfreed = p.unfreed[1:]
	}
}

// freeAgain frees what was pinned before.
func (p *Planner) freeAgain(ctx context.Context, client *store.Client) {
	for _, u := range p.takeUnfreed(client.ID()) {
		err := p.deleteExport(ctx, client, u.manifest)
		if err != nil && !errors.Is(err, store.ErrPinned) {
			p.freeLater(u)
		}
	}
}

func (p *Planner) takeUnfreed(id request.StoreID) []unfreed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var taken, left []unfreed
	for _, u := range p.unfreed {
		if u.store == id {
			taken = append(taken, u)
		} else {
			left = append(left, u)
		}
	}
	p.unfreed = left
	return taken
}

// hasUnfreed tells whether a store VM is to be looked at for what was pinned.
func (p *Planner) hasUnfreed(id request.StoreID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.unfreed, func(u unfreed) bool { return u.store == id })
}
