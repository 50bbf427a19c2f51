package isolation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/cachepool"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// service is the key-value service: the newest desired state, and the records.
type service struct {
	revision platform.Revision
	isolated []request.OrgID
	records  map[string]platform.Entry
}

func newService() *service { return &service{records: map[string]platform.Entry{}} }

func (s *service) backup() service {
	c := service{revision: s.revision, isolated: slices.Clone(s.isolated), records: map[string]platform.Entry{}}
	for key, e := range s.records {
		c.records[key] = e
	}
	return c
}

func (s *service) list() mirror.Update {
	u := mirror.Update{Full: true}
	for _, e := range s.records {
		u.Entries = append(u.Entries, e)
	}
	return u
}

// write writes the records that a daemon is to write, if their revisions are as it knows them.
func (s *service) write(t *testing.T, now time.Time, d *Tracker, rank int) (written int) {
	t.Helper()
	for _, w := range d.dueWrites(now, func(string) int { return rank }) {
		if s.records[w.key].Revision != w.revision {
			continue
		}
		value, err := json.Marshal(w.value)
		if err != nil {
			t.Fatal(err)
		}
		s.revision++
		s.records[w.key] = platform.Entry{Key: w.key, Value: value, Revision: s.revision}
		written++
	}
	return written
}

var organisations = []request.OrgID{"a", "b", "c"}

func desired(isolated ...request.OrgID) []*routing.Org {
	var out []*routing.Org
	for _, org := range organisations {
		out = append(out, &routing.Org{ID: org, Isolated: slices.Contains(isolated, org)})
	}
	return out
}

// start starts a daemon that knows what the service holds.
func start(now time.Time, s *service) *Tracker {
	d := New(Options{})
	d.OnDesired(now, 1, desired(s.isolated...))
	d.onRecords(now, s.list())
	return d
}

func salt(d *Tracker, org request.OrgID) string { return d.Salt(1, &routing.Org{ID: org}) }

// TestNothingIsSharedBeforeRecordsAreKnown guards against a daemon that has just started and lets an organisation that was
// isolated use what others share.
func TestNothingIsSharedBeforeRecordsAreKnown(t *testing.T) {
	d := New(Options{})
	d.OnDesired(time.Now(), 1, desired())
	if a, b := salt(d, "a"), salt(d, "b"); a == b || a != cachepool.Own(1, "a") {
		t.Errorf("salts %q and %q", a, b)
	}
	if d.Salt(1, nil) != cachepool.OwnAnonymous(1) {
		t.Errorf("salt %q without an organisation", d.Salt(1, nil))
	}
	d.onRecords(time.Now(), mirror.Update{Full: true})
	if a, b := salt(d, "a"), salt(d, "b"); a != b || a != "w1" || d.Salt(1, nil) != a {
		t.Errorf("salts %q, %q and %q", a, b, d.Salt(1, nil))
	}
}

// TestRecordsAreNotWaitedForWithoutEnd guards against a daemon that starts while the key-value service is away, and whose
// organisations share nothing until it returns.
func TestRecordsAreNotWaitedForWithoutEnd(t *testing.T) {
	now, s := time.Now(), newService()
	recorded := start(now, s)
	recorded.OnDesired(now, 1, desired("a"))
	s.write(t, now, recorded, 0)
	d := New(Options{})
	d.onTime(now)
	d.OnDesired(now.Add(time.Minute), 1, desired("c"))
	now = now.Add(time.Minute)
	d.onTime(now.Add(recordsWait - 1))
	if salt(d, "a") == salt(d, "b") {
		t.Errorf("a and b use %q before the wait has ended", salt(d, "a"))
	}
	d.onTime(now.Add(recordsWait))
	if a, b, c := salt(d, "a"), salt(d, "b"), salt(d, "c"); a != b || c != cachepool.Own(1, "c") {
		t.Errorf("after the wait: salts %q, %q and %q", a, b, c)
	}
	if len(d.dueWrites(now.Add(time.Hour), func(string) int { return 0 })) > 0 {
		t.Error("a record is written before it was read")
	}
	d.onRecords(now, s.list())
	if salt(d, "a") != cachepool.Own(1, "a") {
		t.Errorf("a uses %q once the records are known", salt(d, "a"))
	}
}

// TestDaemonWithoutRecordsSharesNoCacheFromBefore guards against a daemon whose listing of the records hangs, and which lets organisations find
// cache that another one made while it was isolated, through a daemon that learned late of it.
func TestDaemonWithoutRecordsSharesNoCacheFromBefore(t *testing.T) {
	now := time.Now()
	unsure := func(revision platform.Revision, isolated ...request.OrgID) *Tracker {
		d := New(Options{})
		d.OnDesired(now, revision, desired(isolated...))
		d.onTime(now.Add(recordsWait))
		return d
	}
	late, lateAndUnsure := start(now, newService()), unsure(1)
	made := []string{salt(late, "a"), salt(lateAndUnsure, "a")} // while a is isolated by the desired state of revision 2
	d, other := unsure(3), unsure(3)
	for _, org := range []request.OrgID{"b", "a"} {
		if got := salt(d, org); slices.Contains(made, got) {
			t.Errorf("%s uses %q, under which a made cache while it was isolated", org, got)
		}
	}
	if a, b := salt(d, "a"), salt(other, "b"); a != b {
		t.Errorf("organisations share nothing: a uses %q, b %q", a, b)
	}
	if got := d.Salt(1, nil); got == late.Salt(1, nil) {
		t.Errorf("requests without an organisation use %q", got)
	}
	if got := salt(unsure(3, "a"), "b"); got == salt(d, "b") {
		t.Errorf("b uses %q whether a is isolated or not", got)
	}
}

// TestOrganisationIsolatedAtItsRequestUsesNoPool guards against a request that was accepted while its organisation was isolated,
// and placed when it no longer was.
func TestOrganisationIsolatedAtItsRequestUsesNoPool(t *testing.T) {
	d := start(time.Now(), newService())
	if got := d.Salt(1, &routing.Org{ID: "a", Isolated: true}); got != cachepool.Own(1, "a") {
		t.Errorf("salt %q", got)
	}
}

// TestCacheMadeThroughLateDaemonIsNotFound guards against cache that an isolated organisation made through a daemon that did not
// yet know of its isolation, and that others find after the isolation, also when all daemons were restarted meanwhile.
func TestCacheMadeThroughLateDaemonIsNotFound(t *testing.T) {
	now, s := time.Now(), newService()
	prompt, late := start(now, s), start(now, s)
	s.isolated = []request.OrgID{"a"}
	prompt.OnDesired(now, 1, desired("a"))
	made := salt(late, "a")
	s.write(t, now, prompt, 0)
	s.isolated = nil
	prompt.OnDesired(now, 1, desired())
	for name, d := range map[string]*Tracker{"same": prompt, "restarted": start(now, s)} {
		if got := salt(d, "b"); got == made {
			t.Errorf("%s daemon: b uses %q, under which a made cache while it was isolated", name, got)
		}
		for passed := time.Duration(0); passed < 2*ReturnAfter; passed += ReturnAfter / 4 {
			s.write(t, now.Add(passed), d, 0)
			d.onRecords(now.Add(passed), s.list())
		}
		if got := salt(d, "b"); got == made || got != salt(d, "a") {
			t.Errorf("%s daemon: after the return b uses %q, and a %q", name, got, salt(d, "a"))
		}
	}
}

// TestRowOfChangesLeavesOneCache guards against organisations that compute their prompts anew each time another one is isolated or
// no longer isolated.
func TestRowOfChangesLeavesOneCache(t *testing.T) {
	now, s := time.Now(), newService()
	d := start(now, s)
	var salts []string
	for n := range 40 {
		now = now.Add(time.Minute)
		s.isolated = []request.OrgID{"a"}[:n%2]
		d.OnDesired(now, 1, desired(s.isolated...))
		s.write(t, now, d, 0)
		d.onRecords(now, s.list())
		if got := salt(d, "b"); !slices.Contains(salts, got) {
			salts = append(salts, got)
		}
	}
	if len(salts) != 2 {
		t.Errorf("b used the salts %q", salts)
	}
}

// TestOrganisationSharesAgainAfterAWhile guards against an organisation that stays apart for ever, and one that returns to a pool
// that was used before or while it is isolated.
func TestOrganisationSharesAgainAfterAWhile(t *testing.T) {
	now, s := time.Now(), newService()
	d, other := start(now, s), start(now, s)
	all := []*Tracker{d, other}
	step := func(after time.Duration, isolated ...request.OrgID) {
		now = now.Add(after)
		s.isolated = isolated
		for _, d := range all {
			d.OnDesired(now, 1, desired(isolated...))
		}
		s.write(t, now, d, 0)
		for _, d := range all {
			d.onRecords(now, s.list())
		}
	}
	used := map[string]bool{salt(d, "b"): true}
	step(time.Second, "a")
	used[salt(d, "b")] = true
	step(3*ReturnAfter, "a")
	step(time.Second)
	step(ReturnAfter - time.Second)
	if salt(d, "a") != cachepool.Own(1, "a") || !used[salt(d, "b")] {
		t.Errorf("too early: a uses %q, b %q", salt(d, "a"), salt(d, "b"))
	}
	step(2 * time.Second)
	for _, d := range all {
		if a, b := salt(d, "a"), salt(d, "b"); a != b || used[a] {
			t.Errorf("after its return a uses %q, b %q", a, b)
		}
	}
	if restarted := start(now, s); salt(restarted, "a") != salt(d, "a") {
		t.Errorf("a restarted daemon uses %q", salt(restarted, "a"))
	}
}

// TestRecordsOutlastRestore guards against a daemon that forgets, with the key-value service that was restored from a backup,
// which organisations were isolated, or returns to an earlier generation.
func TestRecordsOutlastRestore(t *testing.T) {
	now, s := time.Now(), newService()
	d := start(now, s)
	empty := s.backup()
	d.OnDesired(now, 1, desired("a"))
	s.write(t, now, d, 0)
	d.onRecords(now, s.list())
	d.OnDesired(now, 1, desired())
	isolated := s.backup()
	for _, c := range []struct {
		name   string
		backup service
	}{{"record lost", empty}, {"earlier generation", isolated}} {
		before := salt(d, "b")
		restored := c.backup.backup()
		s = &restored
		d.onRecords(now, s.list())
		if got := salt(d, "b"); got != before {
			t.Errorf("%s: b uses %q after the restore, %q before", c.name, got, before)
		}
		if s.write(t, now, d, 0) != 1 {
			t.Errorf("%s: the record is not written again", c.name)
		}
		d.onRecords(now, s.list())
		if got := salt(start(now, s), "b"); got != before {
			t.Errorf("%s: a restarted daemon uses %q, want %q", c.name, got, before)
		}
		now = now.Add(2 * ReturnAfter) // the next case begins after a's return
		s.write(t, now, d, 0)
		d.onRecords(now, s.list())
	}
}

// TestFirstDaemonWritesRecord guards against daemons that all write at the same time, and against a record that is written by none
// because the first daemon does not.
func TestFirstDaemonWritesRecord(t *testing.T) {
	now, s := time.Now(), newService()
	d := start(now, s)
	d.OnDesired(now, 1, desired("a"))
	if s.write(t, now, d, 2) != 0 || s.write(t, now.Add(2*writeDelay), d, 2) != 1 {
		t.Error("a daemon of rank 2 does not write after two delays")
	}
	d.onRecords(now, s.list())
	if s.write(t, now.Add(time.Minute), d, 0) != 0 {
		t.Error("a complete record is written again")
	}
}

// TestInvalidRecordsAreIgnored guards against a record of another writer that stops a daemon, or lets organisations share that
// must not.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	now, s := time.Now(), newService()
	section := cachepool.Section("a")
	for value, field := range map[string]string{
		`{`: "record", `{"organisations":"a"}`: "organisations", `{"organisations":["a"],"generation":-1}`: "generation",
		`{"organisations":["` + strings.Repeat(`a","`, maxRecorded) + `a"]}`: "organisations",
		fmt.Sprintf(`{"organisations":[%q]}`, elsewhere(section)):            "organisations",
	} {
		if _, err := decodeRecord(section, []byte(value)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%.40s: %v, want an error that names %s", value, err, field)
		}
		d := New(Options{Metrics: tally.NoopScope})
		d.OnDesired(now, 1, desired("a"))
		s.records[recordKey(section)] = platform.Entry{Key: recordKey(section), Value: []byte(value), Revision: 9}
		s.records[RecordPrefix+"x"] = platform.Entry{Key: RecordPrefix + "x", Value: []byte(`{}`), Revision: 9}
		d.onRecords(now, s.list())
		if salt(d, "a") != cachepool.Own(1, "a") || salt(d, "b") != salt(d, "c") {
			t.Errorf("%.40s: salts %q, %q and %q", value, salt(d, "a"), salt(d, "b"), salt(d, "c"))
		}
		if s.write(t, now, d, 0) != 1 {
			t.Errorf("%.40s: the record is not replaced", value)
		}
	}
}

// TestGenerationThatCannotBeEndsNoIsolation guards against a record of another writer by whose generation organisations share that must not, or no record counts any more.
func TestGenerationThatCannotBeEndsNoIsolation(t *testing.T) {
	now, s := time.Now(), newService()
	section := cachepool.Section("a")
	d := start(now, s)
	d.OnDesired(now, 1, desired("a"))
	s.write(t, now, d, 0)
	d.onRecords(now, s.list())
	d.OnDesired(now, 1, desired()) // a is kept apart for ReturnAfter
	for _, generation := range []string{"18446744073709551615", "1048577", strings.Repeat("9", 1<<20)} {
		value := fmt.Sprintf(`{"organisations":[],"generation":%s}`, generation)
		if _, err := decodeRecord(section, []byte(value)); err == nil || !strings.Contains(err.Error(), "generation") || len(err.Error()) > 400 {
			t.Errorf("%.30s: got %.400v", generation, err)
		}
		s.records[recordKey(section)] = platform.Entry{Key: recordKey(section), Value: []byte(value), Revision: 1000}
		d.onRecords(now, s.list())
		if got := salt(d, "a"); got != cachepool.Own(1, "a") {
			t.Errorf("%.30s: an organisation that is kept apart uses %q", generation, got)
		}
		if s.write(t, now, d, 0) != 1 {
			t.Errorf("%.30s: the record is not replaced", generation)
		}
		d.onRecords(now, s.list())
	}
}

// elsewhere returns an organisation of another section.
func elsewhere(section int) request.OrgID {
	for n := 0; ; n++ {
		if org := request.OrgID(fmt.Sprint("org", n)); cachepool.Section(org) != section {
			return org
		}
	}
}

// TestRecordIsBounded guards against a record that grows without limit, and one that drops organisations when it is full.
func TestRecordIsBounded(t *testing.T) {
	now, s := time.Now(), newService()
	var orgs []*routing.Org
	for n := 0; len(orgs) < maxRecorded+10; n++ {
		if org := request.OrgID(fmt.Sprint("org", n)); cachepool.Section(org) == 0 {
			orgs = append(orgs, &routing.Org{ID: org, Isolated: true})
		}
	}
	d := start(now, s)
	d.OnDesired(now, 1, orgs)
	s.write(t, now, d, 0)
	first := s.records[recordKey(0)]
	d.onRecords(now, s.list())
	if s.write(t, now.Add(time.Hour), d, 0) != 0 {
		t.Error("a full record is written again")
	}
	if v, err := decodeRecord(0, first.Value); err != nil || len(v.Organisations) != maxRecorded {
		t.Errorf("%d organisations, %v", len(v.Organisations), err)
	}
	for _, org := range orgs {
		if got := salt(d, org.ID); got != cachepool.Own(1, org.ID) {
			t.Fatalf("%s uses %q", org.ID, got)
		}
	}
}

// TestOtherSpellingOfSectionReplacesNoRecord guards against an entry of another writer whose key reads as the number of a section, and after
// which the section's own record is never written.
func TestOtherSpellingOfSectionReplacesNoRecord(t *testing.T) {
	n := cachepool.Section("a")
	for _, spelling := range []string{fmt.Sprint("0", n), fmt.Sprint("+", n), fmt.Sprint("00", n)} {
		for _, value := range []string{"{}", "[", `{"organisations":[],"generation":7}`} {
			now, s := time.Now(), newService()
			d := start(now, s)
			s.revision++
			odd := platform.Entry{Key: RecordPrefix + spelling, Value: []byte(value), Revision: s.revision}
			d.onRecords(now, mirror.Update{Entries: []platform.Entry{odd}})
			d.OnDesired(now, 1, desired("a"))
			if s.write(t, now, d, 0) != 1 {
				t.Errorf("%s %s: no record is written", odd.Key, value)
				continue
			}
			d.onRecords(now, s.list())
			d.onRecords(now, mirror.Update{Entries: []platform.Entry{{Key: odd.Key, Revision: s.revision + 1, Deleted: true}}})
			if due := d.dueWrites(now.Add(time.Minute), func(string) int { return 0 }); len(due) != 0 {
				t.Errorf("%s %s: the record is written again: %+v", odd.Key, value, due)
			}
		}
	}
}

// TestLastGenerationIsNotExceeded guards against a record that all daemons take for another writer's, and write again without end.
func TestLastGenerationIsNotExceeded(t *testing.T) {
	now, s := time.Now(), newService()
	d := start(now, s)
	s.revision++
	key := recordKey(cachepool.Section("a"))
	s.records[key] = platform.Entry{Key: key, Value: fmt.Appendf(nil, `{"organisations":["a"],"generation":%d}`, maxGeneration), Revision: s.revision}
	d.onRecords(now, s.list())
	for range 5 {
		now = now.Add(2 * ReturnAfter)
		s.write(t, now, d, 0)
		for _, e := range s.records {
			if _, err := decodeRecord(cachepool.Section("a"), e.Value); err != nil {
				t.Fatalf("a daemon wrote %s: %v", e.Value, err)
			}
		}
		d.onRecords(now, s.list())
	}
	if salt(d, "a") != cachepool.Own(1, "a") {
		t.Error("an organisation shares, although no record says so")
	}
}
