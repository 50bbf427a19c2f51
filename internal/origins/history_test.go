package origins

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
)

// apply makes the entry of the key-value service known to a daemon.
func (m *member) apply(revision platform.Revision, value string) {
	m.applyHistory(mirror.Update{Entries: []platform.Entry{{Key: HistoryPrefix + service, Value: []byte(value), Revision: revision}}})
}

func firstRank(string) int { return 0 }

// TestVersionsOutliveAllDaemons guards against streams that end, or go on anywhere, after all daemons were killed together.
func TestVersionsOutliveAllDaemons(t *testing.T) {
	for _, c := range []struct {
		entry string
		want  origin.Certainty
	}{
		{`{"versions":["v2"]}`, origin.Sole},
		{`{"versions":["v1","v2"]}`, origin.Several}, // the last replica of v1 left while no daemon lived
		{`{"versions":["v1"]}`, origin.Several},
		{`{"versions":[]}`, origin.Unsure},
		{`{"versions":"v2"}`, origin.Unsure},
	} {
		g := &group{t: t}
		m := g.start("vm")
		m.apply(5, c.entry)
		m.OnSoftware(service, "v2", true)
		m.OnListed(time.Now())
		if got := m.testimony(service, 1).View; got.Certainty != c.want {
			t.Errorf("%s: %+v, want %v", c.entry, got, c.want)
		}
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
	if got := due(time.Second); got != nil {
		t.Errorf("a daemon that has just started creates %v", got)
	}
	if got := due(keepTime); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("after a while: %v", got)
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
