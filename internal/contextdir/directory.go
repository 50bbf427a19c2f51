package contextdir

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Directory remembers where contexts lie. It is not safe for concurrent use.
type Directory struct {
	params    Params
	scopes    scopes
	index     map[block.Hash]int32 // anchors
	manifests map[string]int32     // owned copies
	entries   []entry
	spare     []int32
	newest    int32
	oldest    int32
	targetIDs map[request.TargetID]uint32
	targets   []targetState
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

// Len returns the number of contexts remembered.
func (d *Directory) Len() int { return len(d.entries) - len(d.spare) }

// Lookup returns what is known about the longest remembered prefix of chain.
func (d *Directory) Lookup(scope block.Scope, chain []block.Hash) LookupResult {
	i, known := d.match(scope, chain)
	if i == none {
		return LookupResult{}
	}
	return d.located(i, known)
}

// OnUse records that a prompt with this chain arrived. It returns manifests to free if
// another context had to be forgotten.
func (d *Directory) OnUse(scope block.Scope, chain []block.Hash, now time.Time) []Action {
	if len(chain) == 0 {
		return nil
	}
	_, actions := d.use(scope, chain, now)
	return actions
}

// OnAnswer records a finished answer: the target reported cachedTokens of the prompt
// as not recomputed, and holds the whole prompt now.
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
	c.Actions = append(c.Actions, d.judge(t, c)...)
	return c
}

// OnImport records that a target confirmed an import or a prefetch: it holds the
// leading blocks of chain. A context that is not remembered stays so.
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

// judge doubts a target whose answers keep showing less than remembered: its events
// were lost without a visible gap.
func (d *Directory) judge(t uint32, c Correction) []Action {
	state := &d.targets[t]
	if c.Actual >= c.Assumed {
		state.wrong = 0
		return nil
	}
	state.wrong++
	if state.wrong < wrongAnswersBeforeSnapshot {
		return nil
	}
	state.wrong = 0
	state.unsure = true
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
		// Two organisations or weight versions never share a context, even if a hash
		// were equal by a fault or on purpose.
		if ok && d.entries[i].scope == id {
			return i, n
		}
	}
	return none, 0
}

func (d *Directory) located(i int32, known int) LookupResult {
	e := &d.entries[i]
	l := LookupResult{KnownBlocks: known, LastUse: time.Unix(0, e.lastUse), Gaps: e.gaps}
	l.Resident = make([]Resident, 0, len(e.resident))
	for _, r := range e.resident {
		t := &d.targets[r.target]
		l.Resident = append(l.Resident, Resident{Target: t.id, Blocks: min(int(r.blocks), known), Unconfirmed: t.unsure})
	}
	for _, c := range e.copies {
		// A shared copy outlives its manifest here when the owner replaced or freed it.
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

// use finds or creates the entry of chain and makes it the newest.
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

// create adds an entry and forgets the least recently used one if there is no room.
func (d *Directory) create(scope block.Scope, chain []block.Hash, now time.Time) (int32, []Action) {
	var actions []Action
	if d.Len() >= d.params.MaxContexts {
		actions = d.forget(d.oldest)
	}
	i := d.free()
	d.entries[i] = entry{scope: d.scopes.take(scope), lastUse: now.UnixNano(), older: none, newer: none}
	d.pushNewest(i)
	d.extend(i, chain)
	return i, actions
}

// fork adds an entry for a prompt that leaves a remembered context in the middle. It
// starts with the shared part of what is known.
func (d *Directory) fork(parent int32, known int, scope block.Scope, chain []block.Hash, now time.Time) (int32, []Action) {
	from := d.located(parent, known)
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

// extend makes chain the entry's chain and indexes its anchors.
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

// unindex removes the entry's anchors, but leaves those that a fork has taken over.
func (d *Directory) unindex(i int32) {
	for _, a := range d.entries[i].anchors {
		if d.index[a.hash] == i {
			delete(d.index, a.hash)
		}
	}
}

func (d *Directory) free() int32 {
	if n := len(d.spare); n > 0 {
		i := d.spare[n-1]
		d.spare = d.spare[:n-1]
		return i
	}
	d.entries = append(d.entries, entry{})
	return int32(len(d.entries) - 1)
}

// forget drops an entry and returns its manifests to free.
func (d *Directory) forget(i int32) []Action {
	var actions []Action
	for _, c := range d.entries[i].copies {
		actions = append(actions, d.disown(c)...)
	}
	d.unindex(i)
	d.unlink(i)
	d.scopes.release(d.entries[i].scope)
	d.entries[i] = entry{}
	d.spare = append(d.spare, i)
	return actions
}

// disown returns the action that frees a copy, unless another context owns it.
func (d *Directory) disown(c Copy) []Action {
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

// target returns the short number of a target.
func (d *Directory) target(id request.TargetID) uint32 {
	t, ok := d.targetIDs[id]
	if !ok {
		t = uint32(len(d.targets))
		d.targetIDs[id] = t
		d.targets = append(d.targets, targetState{id: id})
	}
	return t
}
