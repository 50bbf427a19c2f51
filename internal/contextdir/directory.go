package contextdir

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Directory records where contexts are stored. It is not safe for concurrent use.
type Directory struct {
	params      Params
	scopes      scopes
	index       map[block.Hash]int32 // anchors
	manifests   map[string]int32     // owned copies
	entries     []entry
	freeEntries []int32
	newest      int32
	oldest      int32
	targetIDs   map[request.TargetID]uint32
	targets     []targetState
}

// New returns an empty directory.
func New(p Params) *Directory {
	return &Directory{
		params:    p.withDefaults(),
		scopes:    scopes{ids: map[block.Scope]uint32{}},
		index:     map[block.Hash]int32{},
		manifests: map[string]int32{},
		targetIDs: map[request.TargetID]uint32{},
		newest:    none,
		oldest:    none,
	}
}

// Len returns the number of recorded contexts.
func (d *Directory) Len() int { return len(d.entries) - len(d.freeEntries) }

// Lookup returns the recorded state of the longest known prefix of chain.
func (d *Directory) Lookup(scope block.Scope, chain []block.Hash) LookupResult {
	i, known := d.match(scope, chain)
	if i == none {
		return LookupResult{}
	}
	return d.lookupResult(i, known)
}

// OnUse records the arrival of a prompt with this chain. If it evicts another context, it
// returns the manifests to free.
func (d *Directory) OnUse(scope block.Scope, chain []block.Hash, now time.Time) []Action {
	if len(chain) == 0 {
		return nil
	}
	_, actions := d.use(scope, chain, now)
	return actions
}

// OnAnswer records a finished answer. The target reported that it did not recompute
// cachedTokens of the prompt, and it now holds the whole prompt.
func (d *Directory) OnAnswer(target request.TargetID, scope block.Scope, chain []block.Hash, cachedTokens int, now time.Time) Correction {
	c := Correction{Actual: cachedTokens / block.TokensPerBlock}
	if len(chain) == 0 {
		return c
	}
	t := d.target(target)
	i, known := d.match(scope, chain)
	if i != none {
		c.Assumed = min(int(d.entries[i].blocksAt(t)), known)
	}
	if i == none || known < len(chain) {
		i, c.Actions = d.use(scope, chain, now)
	}
	e := &d.entries[i]
	held := max(int32(len(chain)), min(e.blocksAt(t), e.length))
	if c.Actual < c.Assumed {
		held = int32(len(chain))
	}
	e.setBlocksAt(t, held, d.params.MaxTargetsPerContext)
	c.Actions = append(c.Actions, d.checkEstimate(t, c)...)
	return c
}

// OnImport records that a target confirmed an import or a prefetch and holds the leading
// blocks of chain. It ignores a context that is not recorded.
func (d *Directory) OnImport(target request.TargetID, scope block.Scope, chain []block.Hash, blocks int) {
	i, known := d.match(scope, chain)
	if i == none {
		return
	}
	t := d.target(target)
	e := &d.entries[i]
	if held := int32(min(blocks, known)); held > e.blocksAt(t) {
		e.setBlocksAt(t, held, d.params.MaxTargetsPerContext)
	}
}

// checkEstimate marks a target as unconfirmed after overestimatesBeforeSnapshot
// consecutive answers with fewer cached blocks than recorded. Events of such a target were
// lost without a visible gap.
func (d *Directory) checkEstimate(t uint32, c Correction) []Action {
	state := &d.targets[t]
	if c.Actual >= c.Assumed {
		state.overestimates = 0
		return nil
	}
	state.overestimates++
	if state.overestimates < overestimatesBeforeSnapshot {
		return nil
	}
	state.overestimates = 0
	state.unconfirmed = true
	return []Action{{Kind: RequestSnapshot, Target: state.id}}
}

// match returns the entry that holds the longest indexed prefix of chain and the
// prefix's length in blocks.
func (d *Directory) match(scope block.Scope, chain []block.Hash) (int32, int) {
	id, ok := d.scopes.ids[scope]
	if !ok {
		return none, 0
	}
	for n := len(chain); n > 0; n-- {
		i, ok := d.index[chain[n-1]]
		// Organisations or weight versions never share a context, even if hashes collide
		// by a fault or an attack.
		if ok && d.entries[i].scope == id {
			return i, n
		}
	}
	return none, 0
}

func (d *Directory) lookupResult(i int32, known int) LookupResult {
	e := &d.entries[i]
	l := LookupResult{KnownBlocks: known, LastUse: time.Unix(0, e.lastUse), Gaps: e.gaps}
	l.Resident = make([]Resident, 0, len(e.resident))
	for _, r := range e.resident {
		t := &d.targets[r.target]
		l.Resident = append(l.Resident, Resident{Target: t.id, Blocks: min(int(r.blocks), known), Unconfirmed: t.unconfirmed})
	}
	for _, c := range e.copies {
		// The owner of a shared copy may have replaced or freed its manifest.
		if _, committed := d.manifests[c.Manifest]; committed {
			l.Copies = append(l.Copies, truncated(c, known))
		}
	}
	return l
}

// truncated limits a copy to the leading blocks that a prompt shares with it.
func truncated(c Copy, blocks int) Copy {
	if c.Blocks > blocks {
		c.Bytes = c.Bytes / int64(c.Blocks) * int64(blocks)
		c.Blocks = blocks
	}
	return c
}

// use finds or creates the entry of chain and marks it as most recently used.
func (d *Directory) use(scope block.Scope, chain []block.Hash, now time.Time) (int32, []Action) {
	i, known := d.match(scope, chain)
	switch {
	case i == none:
		return d.create(scope, chain, now)
	case known == len(chain):
		d.touch(i, now)
		return i, nil
	case int32(known) == d.entries[i].length:
		d.touch(i, now)
		d.extend(i, chain)
		return i, nil
	default:
		return d.fork(i, known, scope, chain, now)
	}
}

// create adds an entry and evicts the least recently used one if the directory is full.
func (d *Directory) create(scope block.Scope, chain []block.Hash, now time.Time) (int32, []Action) {
	var actions []Action
	if d.Len() >= d.params.MaxContexts {
		actions = d.evict(d.oldest)
	}
	i := d.allocate()
	d.entries[i] = entry{scope: d.scopes.acquire(scope), lastUse: now.UnixNano(), older: none, newer: none}
	d.pushNewest(i)
	d.extend(i, chain)
	return i, actions
}

// fork adds an entry for a prompt that shares only a prefix with a recorded context. The
// entry starts with the residencies and copies of the shared prefix.
func (d *Directory) fork(parent int32, known int, scope block.Scope, chain []block.Hash, now time.Time) (int32, []Action) {
	from := d.lookupResult(parent, known)
	i, actions := d.create(scope, chain, now)
	e := &d.entries[i]
	for _, r := range from.Resident {
		e.setBlocksAt(d.target(r.Target), int32(r.Blocks), d.params.MaxTargetsPerContext)
	}
	for _, c := range from.Copies {
		c.Shared = true
		e.copies = append(e.copies, c)
	}
	return i, actions
}

// extend replaces the entry's chain by chain and indexes its anchors.
func (d *Directory) extend(i int32, chain []block.Hash) {
	e := &d.entries[i]
	d.unindex(i)
	e.length = int32(len(chain))
	e.anchors = make([]anchor, 0, anchorCount(len(chain)))
	for n := 1; n < len(chain); n *= 2 {
		e.anchors = append(e.anchors, anchor{hash: chain[n-1], position: int32(n)})
	}
	e.anchors = append(e.anchors, anchor{hash: chain[len(chain)-1], position: int32(len(chain))})
	for _, a := range e.anchors {
		d.index[a.hash] = i
	}
}

func anchorCount(blocks int) int {
	count := 1
	for n := 1; n < blocks; n *= 2 {
		count++
	}
	return count
}

// unindex removes the entry's anchors from the index, except those that now refer to a
// fork.
func (d *Directory) unindex(i int32) {
	for _, a := range d.entries[i].anchors {
		if d.index[a.hash] == i {
			delete(d.index, a.hash)
		}
	}
}

func (d *Directory) allocate() int32 {
	if n := len(d.freeEntries); n > 0 {
		i := d.freeEntries[n-1]
		d.freeEntries = d.freeEntries[:n-1]
		return i
	}
	d.entries = append(d.entries, entry{})
	return int32(len(d.entries) - 1)
}

// evict removes an entry and returns its manifests to free.
func (d *Directory) evict(i int32) []Action {
	var actions []Action
	for _, c := range d.entries[i].copies {
		actions = append(actions, d.releaseCopy(c)...)
	}
	d.unindex(i)
	d.unlink(i)
	d.scopes.release(d.entries[i].scope)
	d.entries[i] = entry{}
	d.freeEntries = append(d.freeEntries, i)
	return actions
}

// releaseCopy returns the action that frees a copy, or none if another context owns it.
func (d *Directory) releaseCopy(c Copy) []Action {
	if c.Shared {
		return nil
	}
	delete(d.manifests, c.Manifest)
	return []Action{{Kind: FreeManifest, Copy: c}}
}

func (d *Directory) touch(i int32, now time.Time) {
	e := &d.entries[i]
	if gap := now.UnixNano() - e.lastUse; gap > 0 {
		e.gaps.Add(time.Duration(gap))
		e.lastUse = now.UnixNano()
	}
	d.unlink(i)
	d.pushNewest(i)
}

func (d *Directory) pushNewest(i int32) {
	e := &d.entries[i]
	e.newer = none
	e.older = d.newest
	if d.newest != none {
		d.entries[d.newest].newer = i
	}
	d.newest = i
	if d.oldest == none {
		d.oldest = i
	}
}

func (d *Directory) unlink(i int32) {
	e := &d.entries[i]
	if e.newer != none {
		d.entries[e.newer].older = e.older
	} else {
		d.newest = e.older
	}
	if e.older != none {
		d.entries[e.older].newer = e.newer
	} else {
		d.oldest = e.newer
	}
}

// target returns the number of a target and assigns one to a new target.
func (d *Directory) target(id request.TargetID) uint32 {
	t, ok := d.targetIDs[id]
	if !ok {
		t = uint32(len(d.targets))
		d.targetIDs[id] = t
		d.targets = append(d.targets, targetState{id: id})
	}
	return t
}
