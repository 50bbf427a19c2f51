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

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// Update is a change of a copy.
type Update struct {
	Entries []platform.Entry // changed; all there are, if Full
	Full    bool
	// Lapsing is set in the time after an outage in which a removed entry may be one
	// that lapsed with its owner alive.
	Lapsing bool
}

// Mirror is the copy of the keys below one prefix. Follower.Mirror makes it.
type Mirror struct {
	prefix  string
	apply   func(Update)
	lapsing func() bool // whether a removal may be a lapse now

	mu      sync.Mutex
	entries map[string]platform.Entry // as read; deleted ones are kept as such for a while
	newest  platform.Revision         // of all changes that are known
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

// takeAll takes all there is below the prefix.
func (m *Mirror) takeAll(entries []platform.Entry, at platform.Revision, lapsing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		m.keep(e)
	}
	for key, e := range m.entries {
		if !present[key] && !e.Deleted && e.Revision <= at {
			m.entries[key] = platform.Entry{Key: key, Revision: at, Deleted: true}
			m.newest = max(m.newest, at)
		}
	}
	m.apply(Update{Entries: m.present(), Full: true, Lapsing: lapsing})
}

// takeSome takes changes, and leaves out those that are known already.
func (m *Mirror) takeSome(entries []platform.Entry, lapsing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []platform.Entry
	for _, e := range entries {
		if m.keep(e) {
			news = append(news, e)
		}
	}
	if len(news) > 0 {
		m.apply(Update{Entries: news, Lapsing: lapsing})
	}
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

// Newest returns the revision of the newest change that is known.
func (m *Mirror) Newest() platform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}
