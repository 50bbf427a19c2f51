package contextdir

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// LastEventSeq returns the sequence number of the newest applied event of a target, after
// which its events are to be requested.
func (d *Directory) LastEventSeq(target request.TargetID) uint64 {
	if t, ok := d.targetIDs[target]; ok {
		return d.targets[t].seq
	}
	return 0
}

// OnEvents applies a page of a target's cache events. While the target is unconfirmed,
// every page returns RequestSnapshot, so a lost request or response is retried.
func (d *Directory) OnEvents(target request.TargetID, page engineapi.EventPage) []Action {
	t := d.target(target)
	if !d.acceptIncarnation(t, page.Incarnation) {
		return nil
	}
	state := &d.targets[t]
	if len(page.Events) == 0 && page.Next > state.seq {
		// The engine dropped events before they were read: a gap without a later event.
		state.unconfirmed = true
		state.seq = page.Next
	}
	for _, event := range page.Events {
		d.apply(t, event)
	}
	if !state.unconfirmed {
		return nil
	}
	return []Action{{Kind: RequestSnapshot, Target: target}}
}

// OnSnapshot replaces the recorded blocks of a target. Events after the snapshot are to be
// requested again from LastEventSeq.
func (d *Directory) OnSnapshot(target request.TargetID, snapshot engineapi.Snapshot) {
	t := d.target(target)
	if !d.acceptIncarnation(t, snapshot.Incarnation) {
		return
	}
	d.clearTarget(t)
	for _, h := range snapshot.Blocks {
		d.addBlock(t, h)
	}
	state := &d.targets[t]
	state.seq = snapshot.Seq
	state.unconfirmed = false
	state.overestimates = 0
}

// OnTargetLost removes all blocks of a target that failed, restarted or left.
func (d *Directory) OnTargetLost(target request.TargetID) {
	t, ok := d.targetIDs[target]
	if !ok {
		return
	}
	d.clearTarget(t)
}

// acceptIncarnation reports whether a message belongs to a target's current incarnation,
// and adopts a newer incarnation, which starts with an empty cache. A delayed message of an
// earlier incarnation would record blocks that no longer exist.
func (d *Directory) acceptIncarnation(t uint32, incarnation uint64) bool {
	state := &d.targets[t]
	if incarnation < state.incarnation {
		return false
	}
	if incarnation > state.incarnation {
		if state.incarnation != 0 {
			d.clearTarget(t)
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
		state.unconfirmed = true
	}
	state.seq = event.Seq
	switch event.Kind {
	case engineapi.BlocksStored:
		for _, h := range event.Blocks {
			d.addBlock(t, h)
		}
	case engineapi.BlocksRemoved:
		for _, h := range event.Blocks {
			d.removeBlock(t, h)
		}
	case engineapi.BlocksCleared:
		d.clearTarget(t)
	}
}

// addBlock raises the residency of the context that has h as an anchor. An engine holds a
// block only together with all blocks before it.
func (d *Directory) addBlock(t uint32, h block.Hash) {
	i, ok := d.index[h]
	if !ok {
		return
	}
	e := &d.entries[i]
	if position := e.positionOf(h); position > e.blocksAt(t) {
		e.setBlocksAt(t, position, d.params.MaxTargetsPerContext)
	}
}

// removeBlock lowers the residency of the context that has h as an anchor.
func (d *Directory) removeBlock(t uint32, h block.Hash) {
	i, ok := d.index[h]
	if !ok {
		return
	}
	e := &d.entries[i]
	if position := e.positionOf(h); position > 0 && position <= e.blocksAt(t) {
		e.setBlocksAt(t, position-1, d.params.MaxTargetsPerContext)
	}
}

// clearTarget removes a target's blocks of every context.
func (d *Directory) clearTarget(t uint32) {
	for i := range d.entries {
		if d.entries[i].blocksAt(t) > 0 {
			d.entries[i].setBlocksAt(t, 0, d.params.MaxTargetsPerContext)
		}
	}
}
