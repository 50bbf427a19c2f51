package contextdir

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// OnManifestCommitted records that a manifest was committed for the leading c.Blocks of chain. It
// returns the manifests to free: an older one of this context in the same store, or
// this one if the context is no longer remembered.
func (d *Directory) OnManifestCommitted(scope block.Scope, chain []block.Hash, c Copy) []Action {
	c.Shared = false
	i, _ := d.match(scope, chain)
	if i == none {
		return []Action{{Kind: FreeManifest, Copy: c}}
	}
	e := &d.entries[i]
	var actions []Action
	kept := e.copies[:0]
	for _, old := range e.copies {
		if old.Store != c.Store || old.Manifest == c.Manifest {
			if old.Manifest != c.Manifest {
				kept = append(kept, old)
			}
			continue
		}
		actions = append(actions, d.disown(old)...)
	}
	e.copies = append(kept, c)
	d.manifests[c.Manifest] = i
	return actions
}

// OnManifestMoved records that the blocks of a manifest lie in another tier now.
func (d *Directory) OnManifestMoved(manifest string, tier storeapi.Tier) {
	i, ok := d.manifests[manifest]
	if !ok {
		return
	}
	copies := d.entries[i].copies
	for j := range copies {
		if copies[j].Manifest == manifest {
			copies[j].Tier = tier
		}
	}
}

// OnManifestFreed records that a manifest is gone or was found torn; no one is to import it.
func (d *Directory) OnManifestFreed(manifest string) {
	i, ok := d.manifests[manifest]
	if !ok {
		return
	}
	delete(d.manifests, manifest)
	d.dropCopies(i, func(c Copy) bool { return c.Manifest == manifest })
}

// OnStoreLost forgets all copies in a store VM.
func (d *Directory) OnStoreLost(store request.StoreID) {
	for i := range d.entries {
		d.dropCopies(int32(i), func(c Copy) bool { return c.Store == store })
	}
}

func (d *Directory) dropCopies(i int32, drop func(Copy) bool) {
	e := &d.entries[i]
	kept := e.copies[:0]
	for _, c := range e.copies {
		if !drop(c) {
			kept = append(kept, c)
			continue
		}
		if !c.Shared {
			delete(d.manifests, c.Manifest)
		}
	}
	e.copies = kept
}

// StoredContext is a context with its own copies, for the choices of retention.
type StoredContext struct {
	Scope   block.Scope
	Blocks  int
	LastUse time.Time
	Gaps    Gaps
	Copies  []Copy // must not be changed or kept
	// Resident tells that a target is believed to hold blocks of it.
	Resident bool
}

// EachStoredContext calls f for every context with copies, the least recently used first,
// until f returns false.
func (d *Directory) EachStoredContext(f func(StoredContext) bool) {
	for i := d.oldest; i != none; i = d.entries[i].newer {
		e := &d.entries[i]
		if len(e.copies) == 0 {
			continue
		}
		kept := StoredContext{
			Scope:    d.scopes.byID[e.scope].scope,
			Blocks:   int(e.length),
			LastUse:  time.Unix(0, e.lastUse),
			Gaps:     e.gaps,
			Copies:   e.copies,
			Resident: len(e.resident) > 0,
		}
		if !f(kept) {
			return
		}
	}
}

// Dump is the directory's state for the state dump of a daemon.
type Dump struct {
	Contexts  int          `json:"contexts"`
	Anchors   int          `json:"anchors"`
	Scopes    int          `json:"scopes"`
	Manifests int          `json:"manifests"`
	Targets   []TargetDump `json:"targets"`
}

// TargetDump is one target's part of a Dump.
type TargetDump struct {
	ID          request.TargetID `json:"id"`
	Incarnation uint64           `json:"incarnation"`
	Seq         uint64           `json:"seq"`
	Unconfirmed bool             `json:"unsure"`
}

// Dump returns a summary of the state.
func (d *Directory) Dump() Dump {
	dump := Dump{
		Contexts:  d.Len(),
		Anchors:   len(d.index),
		Scopes:    len(d.scopes.ids),
		Manifests: len(d.manifests),
	}
	for _, t := range d.targets {
		dump.Targets = append(dump.Targets, TargetDump{ID: t.id, Incarnation: t.incarnation, Seq: t.seq, Unconfirmed: t.unsure})
	}
	return dump
}
