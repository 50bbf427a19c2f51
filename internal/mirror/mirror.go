// Package mirror keeps copies of the platform's key-value service.
//
// A Follower lists once and then watches; each Mirror is the copy of the keys below one
// prefix. One watch serves all of them, since each is a call to the service, and what must
// be in force within seconds is asked for that often anyway.
//
// A Follower survives a service that is down, slow or refuses this process, and one that
// has dropped the history that a watch would go on from. What was known stays until the
// service says otherwise: an outage removes nothing. A daemon that the service does not
// answer takes copies from its peers meanwhile (Copies).
package mirror

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// Update is a change of a copy.
type Update struct {
	Entries []platform.Entry // changed; all there are, if Full
	Full    bool
	// AfterOutage is set in the time after an outage in which a removed entry may be one
	// that lapsed with its owner alive.
	AfterOutage bool
}

// Mirror is the copy of the keys below one prefix. Follower.Mirror makes it.
type Mirror struct {
	prefix  string
	apply   func(Update)
	lapsing func() bool // whether a removal may be a lapse now

	mu      sync.Mutex
	entries map[string]platform.Entry // as read; deleted ones are kept as such
	newest  platform.Revision         // of all changes that are known
	// removals is the revision after which all removed keys are known as such.
	removals platform.Revision
	// complete is the revision up to which all changes are known. It is mostly above newest, since
	// other keys change too; below it while a listing's later pages tell of changes that its
	// earlier ones lack.
	complete platform.Revision

	// inForce is newest as of the last update that was applied. It is read without the lock: applying
	// a large desired state takes a small VM a fifth of a second, and each request asks whether
	// peers know more.
	inForce atomic.Uint64
}

// content is what a source knows of the keys below a prefix.
type content struct {
	entries   []platform.Entry
	unchanged []string          // further keys, whose entries the mirror has
	complete  platform.Revision // the source knows all changes up to it
	newest    platform.Revision // newest change that the source knows
	lapsing   bool              // entries may be missing that lapsed in an outage
}

// below returns the entries that the mirror copies.
func (m *Mirror) below(entries []platform.Entry) []platform.Entry {
	var out []platform.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, m.prefix) {
			out = append(out, e)
		}
	}
	return out
}

// takeAll takes all there is below the prefix. A key that the source lacks was removed if the
// source is complete up to the key's last change; else the source may not have heard of it yet.
func (m *Mirror) takeAll(c content) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(c.entries)+len(c.unchanged))
	for _, key := range c.unchanged {
		present[key] = true
	}
	for _, e := range c.entries {
		present[e.Key] = true
		m.keep(e)
	}
	for key, e := range m.entries {
		if !present[key] && !e.Deleted && e.Revision <= c.complete {
			m.entries[key] = platform.Entry{Key: key, Revision: c.complete, Deleted: true}
			m.newest = max(m.newest, c.complete)
		}
	}
	if m.removals == 0 {
		m.removals = c.complete
	}
	m.complete = max(m.complete, c.complete)
	if c.newest <= c.complete {
		m.newest = max(m.newest, c.newest) // also where it was a removal that had another revision here
	}
	m.apply(Update{Entries: m.present(), Full: true, AfterOutage: c.lapsing})
	m.publish()
}

// publish tells what is in force. Who applies an update calls it after.
func (m *Mirror) publish() {
	m.inForce.Store(uint64(m.newest))
}

// takeSome takes all changes up to a revision that came after those that are known, and leaves
// out what is known already.
func (m *Mirror) takeSome(entries []platform.Entry, complete platform.Revision, lapsing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complete = max(m.complete, complete)
	var news []platform.Entry
	for _, e := range entries {
		if m.keep(e) {
			news = append(news, e)
		}
	}
	if len(news) > 0 {
		m.apply(Update{Entries: news, AfterOutage: lapsing})
	}
	m.publish()
}

// since returns what a mirror that knows all changes up to a revision needs to be like this
// one, without entries if there is no newer change.
func (m *Mirror) since(revision platform.Revision) content {
	c := content{lapsing: m.lapsing()}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.complete, c.newest = m.complete, m.newest
	if m.newest <= revision {
		return c
	}
	for _, e := range m.present() {
		if e.Revision > revision {
			c.entries = append(c.entries, e)
		} else {
			c.unchanged = append(c.unchanged, e.Key)
		}
	}
	return c
}

// changesSince returns all changes after a revision, removals among them, and whether they are all:
// what was removed before this mirror's first listing is not known here.
func (m *Mirror) changesSince(revision platform.Revision) (c content, all bool) {
	c = content{lapsing: m.lapsing()}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.complete, c.newest = m.complete, m.newest
	if m.removals == 0 || revision < m.removals {
		return c, false
	}
	for _, e := range m.entries {
		if e.Revision > revision {
			c.entries = append(c.entries, e)
		}
	}
	return c, true
}

// keep notes an entry and reports whether it is news. A copy of a peer may have told it
// before.
func (m *Mirror) keep(e platform.Entry) bool {
	if known, ok := m.entries[e.Key]; ok && known.Revision >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	m.newest = max(m.newest, e.Revision)
	return true
}

func (m *Mirror) present() []platform.Entry {
	out := make([]platform.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		if !e.Deleted {
			out = append(out, e)
		}
	}
	return out
}

// Newest returns the revision of the newest change that is in force.
func (m *Mirror) Newest() platform.Revision { return platform.Revision(m.inForce.Load()) }

// knows reports whether a change of some revision is in force here. It goes by the changes that
// were heard of and not by how far the service says it told all: peers are a check on that.
func (m *Mirror) knows(revision platform.Revision) bool { return revision <= m.Newest() }

// knownTo returns a revision up to which all changes are known, by the service's word and by
// what was heard of.
func (m *Mirror) knownTo() platform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(m.complete, m.newest)
}
