package contextdir

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// LastEventSeq returns the sequence to ask a target's events after.
func (d *Directory) LastEventSeq(target request.TargetID) uint64 {
	if t, ok := d.targetIDs[target]; ok {
		return d.targets[t].seq
	}
	return 0
}

// OnEvents applies a page of a target's cache events. While the target is unsure it
// asks for a snapshot with every page, so a lost request or answer is repeated.
func (d *Directory) OnEvents(target request.TargetID, page engineapi.EventPage) []Action {
	t := d.target(target)
	if !d.sameIncarnation(t, page.Incarnation) {
		return nil
	}
	state := &d.targets[t]
	if len(page.Events) == 0 && page.Next > state.seq {
		// The engine dropped events before anyone read them: a gap without an event after it.
		state.unsure = true
		state.seq = page.Next
	}
	for _, event := range page.Events {
		d.apply(t, event)
	}
	if !state.unsure {
		return nil
	}
	return []Action{{Kind: RequestSnapshot, Target: target}}
}

// OnSnapshot replaces all that is known about a target. Events after the snapshot are
// to be asked for again from After.
func (d *Directory) OnSnapshot(target request.TargetID, snapshot engineapi.Snapshot) {
	t := d.target(target)
	if !d.sameIncarnation(t, snapshot.Incarnation) {
		return
	}
	d.clear(t)
	for _, h := range snapshot.Blocks {
		d.stored(t, h)
	}
	state := &d.targets[t]
	state.seq = snapshot.Seq
	state.unsure = false
	state.wrong = 0
}

// OnTargetLost forgets all blocks of a target that died, restarted or left.
func (d *Directory) OnTargetLost(target request.TargetID) {
	t, ok := d.targetIDs[target]
	if !ok {
		return
	}
	d.clear(t)
}

// sameIncarnation adopts a newer incarnation, which starts with an empty cache, and
// tells whether a message belongs to the present one. A late message of an earlier
// incarnation would bring back blocks that are gone.
func (d *Directory) sameIncarnation(t uint32, incarnation uint64) bool {
	state := &d.targets[t]
	if incarnation < state.incarnation {
		return false
	}
	if incarnation > state.incarnation {
		if state.incarnation != 0 {
			d.clear(t)
		}
		*state = targetState{id: state.id, incarnation: incarnation}
	}
	return true
}

func (d *Directory) apply(t uint32, event engineapi.CacheEvent) {
	state := &d.targets[t]
	if event.Seq <= state.seq {
		return
	}
	if event.Seq != state.seq+1 {
		state.unsure = true
	}
	state.seq = event.Seq
	switch event.Kind {
	case engineapi.BlocksStored:
		for _, h := range event.Blocks {
			d.stored(t, h)
		}
	case engineapi.BlocksRemoved:
		for _, h := range event.Blocks {
			d.removed(t, h)
		}
	case engineapi.BlocksCleared:
		d.clear(t)
	}
}

// stored raises the residency of the context that has h as an anchor. Engines keep a
// block only together with those before it.
func (d *Directory) stored(t uint32, h block.Hash) {
	i, ok := d.index[h]
	if !ok {
		return
	}
	e := &d.entries[i]
	if position := e.positionOf(h); position > e.blocksAt(t) {
		e.setBlocksAt(t, position, d.params.MaxTargetsPerContext)
	}
}

// removed lowers the residency of the context that has h as an anchor.
func (d *Directory) removed(t uint32, h block.Hash) {
	i, ok := d.index[h]
	if !ok {
		return
	}
	e := &d.entries[i]
	if position := e.positionOf(h); position > 0 && position <= e.blocksAt(t) {
		e.setBlocksAt(t, position-1, d.params.MaxTargetsPerContext)
	}
}

// clear forgets a target's part of every context.
func (d *Directory) clear(t uint32) {
	for i := range d.entries {
		if d.entries[i].blocksAt(t) > 0 {
			d.entries[i].setBlocksAt(t, 0, d.params.MaxTargetsPerContext)
		}
	}
}
