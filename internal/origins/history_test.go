package origins

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/relay"
)

// apply makes the entry of the key-value service known to a daemon.
func (m *member) apply(revision platform.Revision, value string) {
	m.applyHistory(mirror.Update{Entries: []platform.Entry{{Key: HistoryPrefix + service, Value: []byte(value), Revision: revision}}})
}

func firstRank(string) int { return 0 }

// TestVersionsOutliveAllDaemons guards against streams that end, or go on anywhere, after all daemons were killed together.
func TestVersionsOutliveAllDaemons(t *testing.T) {
	for _, c := range []struct {
		entry  string
		goesOn bool
	}{
		{`{"versions":["v2"]}`, true},
		{`{"versions":["v1","v2"]}`, false}, // the last replica of v1 left while no daemon lived
		{`{"versions":["v1"]}`, false},
		{`{"versions":[]}`, false},
		{`{"versions":"v2"}`, false},
	} {
		g := &group{t: t, kv: newListKV("v2")}
		g.kv.entry.Value = []byte(c.entry)
		m := g.start("vm")
		m.o.Params.Wait = 50 * time.Millisecond
		m.applyEntry(g.kv.entry)
		m.OnSoftware(service, "v2", true)
		m.OnListed(time.Now())
		if c.goesOn {
			g.mustGoOn(m, 1, "v2")
		} else {
			g.mustEnd(m, 1)
		}
		g.kv.setSilent(true)
		g.mustEnd(m, 1) // what it read at its start may be old
	}
}

// TestEntryIsWrittenWhenVersionsChange guards against an entry that misses a version, or forgets one whose streams may go on.
func TestEntryIsWrittenWhenVersionsChange(t *testing.T) {
	g := &group{t: t}
	m := g.start("vm")
	m.OnSoftware(service, "v1", true)
	start := time.Now()
	due := func(after time.Duration) []string {
		now := start.Add(after)
		for _, v := range m.versions {
			v.Prune(now, keepTime)
		}
		writes := m.dueWrites(now, keepTime, firstRank)
		if len(writes) == 0 {
			return nil
		}
		return writes[0].versions
	}
	m.OnSoftware("plain", "v1", true)
	if got := due(0); got != nil {
		t.Errorf("before the list of replicas is complete: %v", got)
	}
	m.OnListed(start)
	if got := due(time.Second); !slices.Equal(got, []string{origin.UnknownSoftware, "v1"}) {
		t.Errorf("a daemon that has just started creates %q", got)
	}
	m.apply(7, `{"versions":["v1"]}`)
	if got := due(keepTime); got != nil {
		t.Errorf("nothing has changed: %v", got)
	}
	m.OnSoftware(service, "v2", true)
	if got := due(keepTime); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("a second version: %v", got)
	}
	m.apply(8, `{"versions":["v1","v2"]}`)
	m.OnSoftware(service, "v1", false)
	if got := due(time.Second); got != nil {
		t.Errorf("the last replica has just left: %v", got)
	}
	if got := due(2 * keepTime); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("its streams have ended: %v", got)
	}
}

// TestOneDaemonWritesTheEntry guards against a write of each daemon for each version.
func TestOneDaemonWritesTheEntry(t *testing.T) {
	g := &group{t: t}
	m := g.start("vm")
	m.OnSoftware(service, "v1", true)
	start := time.Now()
	m.OnListed(start)
	second := func(string) int { return 1 }
	if writes := m.dueWrites(start.Add(keepTime), keepTime, second); len(writes) != 0 {
		t.Errorf("the second daemon writes at once: %+v", writes)
	}
	if writes := m.dueWrites(start.Add(keepTime+writeDelay), keepTime, second); len(writes) != 1 {
		t.Errorf("the second daemon does not stand in for the first: %+v", writes)
	}
}

// TestOutageHidesReturnOfVersion guards against a version that is removed from its entry too early, by a daemon that missed in an outage that
// replicas of it came back and left again.
func TestOutageHidesReturnOfVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &member{Exchange: New(Options{Current: func() bool { return true }, Keep: func() time.Duration { return keepTime }, Params: DefaultParams, Resumable: isTestService})}
		m.OnListed(time.Now().Add(-time.Hour))
		m.OnSoftware(service, "v1", true)
		m.OnSoftware(service, "v2", true)
		const listed = `{"versions":["v1","v2"]}`
		m.apply(7, listed)
		m.OnSoftware(service, "v2", false)
		time.Sleep(keepTime - time.Second)
		m.applyHistory(mirror.Update{Full: true, AfterOutage: true, Entries: []platform.Entry{{Key: HistoryPrefix + service, Value: []byte(listed), Revision: 7}}})
		time.Sleep(keepTime - time.Second)
		if writes := m.dueWrites(time.Now(), keepTime, firstRank); len(writes) != 0 {
			t.Errorf("written is %v", writes[0].versions)
		}
		time.Sleep(2 * time.Second)
		if writes := m.dueWrites(time.Now(), keepTime, firstRank); len(writes) != 1 {
			t.Errorf("the version stays for ever: %+v", writes)
		}
	})
}

// TestCreatedEntryProvesNothingAtFirst guards against an entry that is created while streams go on that began before versions were listed.
func TestCreatedEntryProvesNothingAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &listKV{}
		e := newListingExchange(kv)
		e.o.Rank = firstRank
		_, stop := e.runHistory(t)
		defer stop()
		e.OnListed(time.Now())
		e.OnSoftware(service, "v1", true)
		time.Sleep(2 * historyInterval)
		if got := kv.versions(); !slices.Equal(got, []string{origin.UnknownSoftware, "v1"}) {
			t.Errorf("created is %q", got)
		}
		time.Sleep(keepTime - 3*historyInterval)
		if got := kv.versions(); len(got) != 2 {
			t.Errorf("before streams of then have ended: %q", got)
		}
		time.Sleep(4 * historyInterval)
		if got := kv.versions(); !slices.Equal(got, []string{"v1"}) {
			t.Errorf("after they have: %q", got)
		}
	})
}

// TestStreamsGoOnWithoutEntry guards against streams that are not recorded, and then end, while a service has no entry that confirms its version.
func TestStreamsGoOnWithoutEntry(t *testing.T) {
	g := &group{t: t, kv: &listKV{}}
	for i := range 8 {
		m := g.start(fmt.Sprint("vm", i))
		m.OnListed(time.Now().Add(-time.Hour))
		m.OnSoftware(service, "v1", true)
	}
	for n := range 10 {
		g.members[0].Began(t.Context(), stream(n), relay.BoundTo("v1"))
	}
	g.kill(g.members[0])
	for n := range 10 {
		g.mustGoOn(g.members[1+n%7], n, "v1")
	}
}

// TestVersionThatCannotBeMakesEntryUnknown guards against a list of another writer that daemons take for versions, or log at length.
func TestVersionThatCannotBeMakesEntryUnknown(t *testing.T) {
	for _, value := range []string{
		`{"versions":["` + strings.Repeat("v", 65) + `"]}`, `{"versions":` + strings.Repeat("9", 1<<20) + `}`, strings.Repeat("[", 20_000),
		`{"versions":["v"` + strings.Repeat(`,"v"`, maxVersions) + `]}`, "null", "",
	} {
		if _, err := decodeHistory([]byte(value)); err == nil || len(err.Error()) > 400 {
			t.Errorf("%.40s: got %.400v", value, err)
		}
	}
	if got, err := decodeHistory([]byte(`{"versions":["` + strings.Repeat("v", 64) + `"],"new":1}`)); err != nil || len(got) != 1 {
		t.Errorf("the longest version: %v, %v", got, err)
	}
}

// FuzzHistory guards against bytes in a list that end the daemon.
func FuzzHistory(f *testing.F) {
	f.Add([]byte(`{"versions":["v1"]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if got, err := decodeHistory(raw); err == nil && (len(got) == 0 || len(got) > maxVersions) {
			t.Errorf("%s is decoded as %q", raw, got)
		}
	})
}
