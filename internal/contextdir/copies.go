package contextdir

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// OnManifestCommitted records that a manifest was committed for the leading c.Blocks of
// chain. It returns the manifests to free: an older one of this context in the same store,
// or the new one if the context is no longer recorded.
func (d *Directory) OnManifestCommitted(scope block.Scope, chain []block.Hash, c Copy) []Action {
	c.Shared = false
	i, _ := d.match(scope, chain)
	if i == none {
		return []Action{{Kind: FreeManifest, Copy: c}}
	}
	e := &d.entries[i]
	var actions []Action
	remaining := e.copies[:0]
	for _, old := range e.copies {
		if old.Store != c.Store || old.Manifest == c.Manifest {
			if old.Manifest != c.Manifest {
				remaining = append(remaining, old)
			}
			continue
		}
		actions = append(actions, d.releaseCopy(old)...)
	}
	e.copies = append(remaining, c)
	d.manifests[c.Manifest] = i
	return actions
}

// OnManifestMoved records that the blocks of a manifest were moved to another tier.
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

// OnManifestFreed records that a manifest was deleted or is torn, and removes its copies so
// that they are not imported.
func (d *Directory) OnManifestFreed(manifest string) {
	i, ok := d.manifests[manifest]
	if !ok {
		return
	}
	delete(d.manifests, manifest)
	d.dropCopies(i, func(c Copy) bool { return c.Manifest == manifest })
}

// OnStoreLost removes all copies in a store VM.
func (d *Directory) OnStoreLost(store request.StoreID) {
	for i := range d.entries {
		d.dropCopies(int32(i), func(c Copy) bool { return c.Store == store })
	}
}

func (d *Directory) dropCopies(i int32, drop func(Copy) bool) {
	e := &d.entries[i]
	remaining := e.copies[:0]
	for _, c := range e.copies {
		if !drop(c) {
			remaining = append(remaining, c)
			continue
		}
		if !c.Shared {
			delete(d.manifests, c.Manifest)
		}
	}
	e.copies = remaining
}

// StoredContext is a context with its copies, as input of retention decisions.
type StoredContext struct {
	Scope   block.Scope
	Blocks  int
	LastUse time.Time
	Gaps    Gaps
	Copies  []Copy // valid during the call only; must not be changed
	// Resident reports that blocks of the context are recorded as resident at a target.
	Resident bool
}

// EachStoredContext calls f for every context with copies, starting with the least
// recently used, until f returns false.
func (d *Directory) EachStoredContext(f func(StoredContext) bool) {
	for i := d.oldest; i != none; i = d.entries[i].newer {
		e := &d.entries[i]
		if len(e.copies) == 0 {
			continue
		}
		stored := StoredContext{
			Scope:    d.scopes.byID[e.scope].scope,
			Blocks:   int(e.length),
			LastUse:  time.Unix(0, e.lastUse),
			Gaps:     e.gaps,
			Copies:   e.copies,
			Resident: len(e.resident) > 0,
		}
		if !f(stored) {
			return
		}
	}
}

// Dump is the directory's section of a daemon's state dump.
type Dump struct {
	Contexts  int          `json:"contexts"`
	Anchors   int          `json:"anchors"`
	Scopes    int          `json:"scopes"`
	Manifests int          `json:"manifests"`
	Targets   []TargetDump `json:"targets"`
}

// TargetDump is the entry of one target in a Dump.
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
		dump.Targets = append(dump.Targets, TargetDump{ID: t.id, Incarnation: t.incarnation, Seq: t.seq, Unconfirmed: t.unconfirmed})
	}
	return dump
}
