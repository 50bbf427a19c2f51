package origins

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/relay"
)

// startAgain returns a daemon that starts once all others have ended, and reads a list of replicas and the entry.
func (g *group) startAgain(present ...string) *member {
	g.mu.Lock()
	g.members = nil
	g.mu.Unlock()
	m := g.start("again")
	m.applyEntry(g.kv.entry)
	for _, software := range present {
		m.OnSoftware(service, software, true)
	}
	m.OnListed(time.Now())
	return m
}

// TestEntryIsNotCreatedWithoutVersionOfStreams guards against an entry that a daemon creates before it knows of a version at which streams have begun at others.
func TestEntryIsNotCreatedWithoutVersionOfStreams(t *testing.T) {
	g := newGroup(t, 2)
	g.kv.entry = platform.Entry{}
	for _, m := range g.members {
		m.applyHistory(mirror.Update{Full: true})
	}
	late, first := g.members[0], g.members[1]
	first.OnSoftware(service, "v2", true)
	first.Began(context.Background(), stream(1), relay.BoundTo("v2"))
	for _, w := range late.dueWrites(time.Now(), keepTime, firstRank) {
		late.write(context.Background(), w)
	}
	g.mustEnd(g.startAgain("v1"), 1)
}

// TestEntryOfTooManyVersionsTellsNothing guards against an entry that is not written any more because there are too many versions, and still names one alone.
func TestEntryOfTooManyVersionsTellsNothing(t *testing.T) {
	g := newGroup(t, 1)
	m := g.members[0]
	m.applyEntry(g.kv.entry)
	for n := range maxVersions + 1 {
		m.OnSoftware(service, fmt.Sprint("odd-", n), true)
	}
	for _, w := range m.dueWrites(time.Now(), keepTime, firstRank) {
		m.write(context.Background(), w)
	}
	m.Began(context.Background(), stream(1), relay.BoundTo("odd-1"))
	g.mustEnd(g.startAgain("v1"), 1)
}
