package planner

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
)

// maxPendingDeletes bounds the number of exports whose deletion is pending. Beyond it the
// oldest are dropped, and their blocks remain in the store VM.
const maxPendingDeletes = 1024

// pendingDelete is an export whose manifest is deleted and whose blocks a reader still has
// pinned.
type pendingDelete struct {
	store    request.StoreID
	manifest store.Manifest
}

// deleteExport deletes an export, except for blocks that are also listed by a manifest of
// retained or by another export of the same context in the store VM.
//
// Exports share blocks if a process crashes between writing the manifest of a longer
// export and deleting the earlier one, or if two daemons extend one export while the
// context is reassigned to another daemon. Deleting all blocks of one export would make
// the other unusable. The generations of all exports of a context begin with the same
// hash, by which the store VM lists them.
//
// Blocks that a caller is reading are pinned and can't be deleted. Without a manifest they
// are no longer listed and would fill the store VM, so their deletion is retried until the
// pins are released.
func (p *Planner) deleteExport(ctx context.Context, client *store.Client, m store.Manifest, retained ...store.Manifest) error {
	if len(m.UnreferencedBlocks(retained...)) > 0 {
		others, err := p.exportsSharingBlocks(ctx, client, m)
		if err != nil {
			return err
		}
		retained = append(slices.Clone(retained), others...)
	}
	err := client.DeleteExport(ctx, m, retained...)
	if errors.Is(err, store.ErrPinned) {
		p.addPendingDelete(pendingDelete{store: client.ID(), manifest: m})
	}
	return err
}

// exportsSharingBlocks returns the other exports that list some of the blocks of m.
func (p *Planner) exportsSharingBlocks(ctx context.Context, client *store.Client, m store.Manifest) ([]store.Manifest, error) {
	head, _, _ := strings.Cut(string(m.Generation), ".")
	listed, err := client.List(ctx, store.GenerationsPrefix(m.Scope(), head+"."), store.ManifestMark, maxListed)
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

func (p *Planner) addPendingDelete(u pendingDelete) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingDeletes = append(p.pendingDeletes, u)
	if len(p.pendingDeletes) > maxPendingDeletes {
		p.pendingDeletes = p.pendingDeletes[1:]
	}
}

// retryPendingDeletes retries the deletion of exports whose blocks were pinned.
func (p *Planner) retryPendingDeletes(ctx context.Context, client *store.Client) {
	for _, u := range p.takePendingDeletes(client.ID()) {
		err := p.deleteExport(ctx, client, u.manifest)
		if err != nil && !errors.Is(err, store.ErrPinned) {
			p.addPendingDelete(u)
		}
	}
}

func (p *Planner) takePendingDeletes(id request.StoreID) []pendingDelete {
	p.mu.Lock()
	defer p.mu.Unlock()
	var taken, remaining []pendingDelete
	for _, u := range p.pendingDeletes {
		if u.store == id {
			taken = append(taken, u)
		} else {
			remaining = append(remaining, u)
		}
	}
	p.pendingDeletes = remaining
	return taken
}

// hasPendingDeletes reports whether exports in a store VM await deletion.
func (p *Planner) hasPendingDeletes(id request.StoreID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.pendingDeletes, func(u pendingDelete) bool { return u.store == id })
}
