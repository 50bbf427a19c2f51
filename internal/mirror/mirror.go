// Package mirror maintains local copies of keys in the platform's key-value service.
//
// A Follower lists the keys once and then watches for changes. Each Mirror is the copy of the
// keys below one prefix. All mirrors share one watch, because each watch is a call to the
// service, and changes that must be applied within seconds require frequent watches anyway.
//
// A Follower tolerates a service that is down, slow or refuses this process, and one that has
// compacted the history from which a watch would continue. Entries stay until the service
// reports their removal, so an outage removes none. A daemon that cannot reach the service
// fetches copies from its peers (service Copies).
package mirror

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// Update is a change to a Mirror.
type Update struct {
	Entries []platform.Entry // changed entries; all existing entries if Full
	Full    bool
	// AfterOutage is set shortly after an outage, when a removed entry may have expired while
	// its owner was alive.
	AfterOutage bool
}

// Mirror is the copy of the keys below one prefix. Follower.AddMirror creates it.
type Mirror struct {
	prefix      string
	apply       func(Update)
	onApplied   func()      // called after each update; nil: not at all
	afterOutage func() bool // reports whether a removal may be an expiry

	// paged is set for a prefix whose listing may take many calls; see Follower.AddPagedMirror.
	paged bool
	// fresh is set for a prefix whose first listing may not be old either; see Follower.AddFreshMirror.
	fresh bool
	// nearPrefix is the prefix of the keys of a paged mirror that are read first; see
	// Follower.AddPagedMirror.
	nearPrefix string

	mu      sync.Mutex
	entries map[string]platform.Entry // by key; deleted entries stay with Deleted set
	// inSync is set while complete holds. It is not while entries of a listing are missing that this
	// daemon reads from a peer or in the background.
	inSync bool
	newest platform.Revision // revision of the newest known change
	// removalsKnownAfter is the revision after which all removals are recorded in entries.
	removalsKnownAfter platform.Revision
	// complete is the revision up to which all changes are known. It usually exceeds newest,
	// because other keys change too. It is below newest while the later pages of a listing hold
	// changes that the earlier pages lack.
	complete platform.Revision

	// applied is the value of newest after the last applied update. It is read without mu, because
	// a small VM needs 200 ms to apply a large desired state, and each request checks whether
	// peers have newer changes.
	applied atomic.Uint64
}

// content is a source's view of the keys below a prefix.
type content struct {
	entries     []platform.Entry
	unchanged   []string          // keys whose entries the mirror already has
	complete    platform.Revision // the source has all changes up to this revision
	newest      platform.Revision // revision of the newest change that the source has
	afterOutage bool              // missing entries may have expired in an outage
}

// matching returns the entries whose keys have the mirror's prefix.
func (m *Mirror) matching(entries []platform.Entry) []platform.Entry {
	var out []platform.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, m.prefix) {
			out = append(out, e)
		}
	}
	return out
}

// applyListing merges a source's complete listing of the prefix. A key that the source lacks was
// removed if the source is complete up to the key's last change. Otherwise the source may not
// have received that change yet.
func (m *Mirror) applyListing(c content) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(c.entries)+len(c.unchanged))
	for _, key := range c.unchanged {
		present[key] = true
	}
	for _, e := range c.entries {
		present[e.Key] = true
		m.merge(e)
	}
	for key, e := range m.entries {
		if !present[key] && !e.Deleted && e.Revision <= c.complete {
			m.entries[key] = platform.Entry{Key: key, Revision: c.complete, Deleted: true}
			m.newest = max(m.newest, c.complete)
		}
	}
	if m.removalsKnownAfter == 0 {
		m.removalsKnownAfter = c.complete
	}
	m.complete, m.inSync = max(m.complete, c.complete), true
	if c.newest <= c.complete {
		m.newest = max(m.newest, c.newest) // a removal may have a different revision here
	}
	m.apply(Update{Entries: m.existing(), Full: true, AfterOutage: c.afterOutage})
	m.publishNewest()
}

// publishNewest makes newest visible to Newest. Callers invoke it after they have applied an update.
func (m *Mirror) publishNewest() {
	newest := m.newest
	if !m.inSync {
		newest = 0
	}
	if m.applied.Swap(uint64(newest)) != uint64(newest) && m.onApplied != nil {
		m.onApplied()
	}
}

// applyPage merges the first page of a listing. The mirror is out of sync until the other pages or a
// peer's copy are applied.
func (m *Mirror) applyPage(entries []platform.Entry, afterOutage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inSync = false
	m.mergeAndApply(entries, m.complete, afterOutage)
}

// applyPartial merges a part of a peer's entries. A mirror that is in sync skips them: some may have been removed
// before its listing.
func (m *Mirror) applyPartial(entries []platform.Entry, afterOutage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.inSync {
		m.mergeAndApply(entries, m.complete, afterOutage)
	}
}

// applyWatched merges the changes after a revision, up to revision complete.
func (m *Mirror) applyWatched(entries []platform.Entry, after, complete platform.Revision, afterOutage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after > m.complete {
		complete = m.complete // the changes before are still to be read
	}
	m.mergeAndApply(entries, complete, afterOutage)
}

// watchFrom returns the revision from which a watch misses no change, and false if the mirror is out of
// sync.
func (m *Mirror) watchFrom() (platform.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete, m.inSync
}

// applyChanges merges the changes that follow the known ones, up to revision complete, and skips
// those that are known already.
func (m *Mirror) applyChanges(entries []platform.Entry, complete platform.Revision, afterOutage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeAndApply(entries, complete, afterOutage)
}

// mergeAndApply is applyChanges under the lock.
func (m *Mirror) mergeAndApply(entries []platform.Entry, complete platform.Revision, afterOutage bool) {
	m.complete = max(m.complete, complete)
	var changed []platform.Entry
	for _, e := range entries {
		if m.merge(e) {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		m.apply(Update{Entries: changed, AfterOutage: afterOutage})
	}
	m.publishNewest()
}

// contentSince returns what a mirror that has all changes up to revision needs to match this one.
// The result has no entries if there is no newer change, or if this mirror is out of sync.
func (m *Mirror) contentSince(revision platform.Revision) content {
	c := content{afterOutage: m.afterOutage()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.inSync {
		return c
	}
	c.complete, c.newest = m.complete, m.newest
	if m.newest <= revision {
		return c
	}
	for _, e := range m.existing() {
		if e.Revision > revision {
			c.entries = append(c.entries, e)
		} else {
			c.unchanged = append(c.unchanged, e.Key)
		}
	}
	return c
}

// changesSince returns the changes after revision, removals included. ok is false if removals after
// revision may be unknown, as are those before this mirror's first listing.
func (m *Mirror) changesSince(revision platform.Revision) (c content, ok bool) {
	c = content{afterOutage: m.afterOutage()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.inSync {
		return c, true
	}
	c.complete, c.newest = m.complete, m.newest
	if m.removalsKnownAfter == 0 || revision < m.removalsKnownAfter {
		return c, false
	}
	for _, e := range m.entries {
		if e.Revision > revision {
			c.entries = append(c.entries, e)
		}
	}
	return c, true
}

// merge stores an entry and reports whether it is newer than the stored one. A peer's copy may
// have delivered the entry before.
func (m *Mirror) merge(e platform.Entry) bool {
	if known, ok := m.entries[e.Key]; ok && known.Revision >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	m.newest = max(m.newest, e.Revision)
	return true
}

func (m *Mirror) existing() []platform.Entry {
	out := make([]platform.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		if !e.Deleted {
			out = append(out, e)
		}
	}
	return out
}

// partialEntries returns the entries of a mirror that is out of sync, and false if it is in sync or has none.
func (m *Mirror) partialEntries() ([]platform.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inSync {
		return nil, false
	}
	entries := m.existing()
	return entries, len(entries) > 0
}

// isEmpty reports whether no entry is known.
func (m *Mirror) isEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries) == 0
}

// InSync reports whether the mirror has all entries, up to some revision.
func (m *Mirror) InSync() bool {
	_, inSync := m.watchFrom()
	return inSync
}

// Newest returns the revision of the newest applied change; zero if the mirror is out of sync.
func (m *Mirror) Newest() platform.Revision { return platform.Revision(m.applied.Load()) }

// hasApplied reports whether the change with the given revision is applied here. It relies on the
// received changes and not on the revision up to which the key-value service claims completeness,
// because reports of peers serve as a check on that claim.
func (m *Mirror) hasApplied(revision platform.Revision) bool { return revision <= m.Newest() }

// completeUpTo returns the revision up to which all changes are known, according to both the
// key-value service and the received changes; zero if the mirror is out of sync.
func (m *Mirror) completeUpTo() platform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.inSync {
		return 0
	}
	return min(m.complete, m.newest)
}
