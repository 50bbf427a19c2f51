package isolation

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/cachepool"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// RecordPrefix precedes the keys in the key-value service that name the organisations that are kept apart. There is one key
// for each section of organisations that has any.
const RecordPrefix = "apart/"

const (
	// maxRecorded bounds the organisations in a record. Those beyond it are kept apart by the daemons that saw them isolated.
	maxRecorded = 1024
	// ReturnAfter is how long an organisation is kept apart after its isolation ended, and the least time between two returns.
	// Each return leaves the cache of the organisation's group.
	ReturnAfter = time.Hour
	// maxGeneration is above the returns that a section can have: one each ReturnAfter for a hundred years.
	maxGeneration = 1 << 20
	// checkInterval is how often a daemon looks for records that it is to write.
	checkInterval = 200 * time.Millisecond
	// writeDelay, multiplied by a daemon's rank, is how long it leaves a write to the daemons before it.
	writeDelay   = 500 * time.Millisecond
	writeTimeout = time.Second
)

// section is what the key-value service holds of a section of organisations.
type section struct {
	stored     map[request.OrgID]bool
	generation uint64 // stored
	revision   platform.Revision
	lacksSince time.Time // since when the record has lacked something; zero: it does not
	full       bool      // was logged
}

// recordValue is the value of a key below RecordPrefix.
type recordValue struct {
	Organisations []request.OrgID `json:"organisations"` // sorted
	// Generation counts how often organisations of the section were allowed to share again.
	Generation uint64 `json:"generation"`
}

func recordKey(n int) string { return RecordPrefix + strconv.Itoa(n) }

// sectionOf returns the section whose record a key holds. Another spelling of its number is no key of a record.
func sectionOf(key string) (n int, known bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, RecordPrefix))
	return n, err == nil && n >= 0 && n < cachepool.Sections && key == recordKey(n)
}

// applyRecords applies changes of the records.
func (t *Tracker) applyRecords(u mirror.Update) { t.onRecords(time.Now(), u) }

// onRecords applies changes of the records. What a record no longer holds, because the key-value service was restored from a
// backup, stays known and is written again.
func (t *Tracker) onRecords(now time.Time, u mirror.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Full {
		t.listed = true
		for n := range t.sections {
			t.sections[n].clear()
		}
	}
	for _, e := range u.Entries {
		t.applyRecord(now, e)
	}
	t.update(now)
}

func (s *section) clear() { s.stored, s.generation, s.revision = nil, 0, 0 }

func (t *Tracker) applyRecord(now time.Time, e platform.Entry) {
	n, known := sectionOf(e.Key)
	if !known {
		t.o.Logger.Warn("Ignoring a record of isolated organisations with an unknown key", "key", bounds.BriefKey(e.Key))
		t.o.Metrics.Counter("invalid_isolation_records").Inc(1)
		return
	}
	s := &t.sections[n]
	s.clear()
	if e.Deleted {
		return
	}
	s.revision = e.Revision
	v, err := decodeRecord(n, e.Value)
	if err != nil {
		t.o.Logger.Warn("Ignoring an invalid record of isolated organisations", "key", e.Key, "error", err)
		t.o.Metrics.Counter("invalid_isolation_records").Inc(1)
		return // the next write replaces it
	}
	s.generation = v.Generation
	s.stored = make(map[request.OrgID]bool, len(v.Organisations))
	for _, org := range v.Organisations {
		s.stored[org] = true
	}
	t.adopt(now, n)
}

// adopt takes over a record. One of a later generation decides who is kept apart. Otherwise all are that any daemon names.
func (t *Tracker) adopt(now time.Time, n int) {
	s := &t.sections[n]
	if s.generation > t.generations[n] {
		t.generations[n], t.returnedAt = s.generation, now
		for org := range t.apart {
			if cachepool.Section(org) == n && !s.stored[org] && !t.isolated[org] {
				delete(t.apart, org)
			}
		}
	}
	if s.generation < t.generations[n] {
		return // of a backup
	}
	for org := range s.stored {
		if _, known := t.apart[org]; !known {
			t.apart[org] = time.Time{}
		}
	}
}

// compare updates since when the records lack something. The mutex must be held.
func (t *Tracker) compare(now time.Time) {
	var lacks [cachepool.Sections]bool
	for org := range t.apart {
		n := cachepool.Section(org)
		lacks[n] = lacks[n] || !t.sections[n].stored[org]
	}
	for n := range t.sections {
		s := &t.sections[n]
		switch {
		case !lacks[n] && s.generation == t.generations[n]:
			s.lacksSince = time.Time{}
		case s.lacksSince.IsZero():
			s.lacksSince = now
		}
	}
}

// decodeRecord decodes and validates the record of a section. Its error names the field.
func decodeRecord(n int, value []byte) (recordValue, error) {
	var v recordValue
	if err := bounds.Decode(value, &v); err != nil {
		return v, errors.Wrap(err, "isolation: record")
	}
	if v.Generation > maxGeneration {
		return v, errors.Newf("isolation: record: generation: %d, want at most %d", v.Generation, maxGeneration)
	}
	if count := len(v.Organisations); count > maxRecorded {
		return v, errors.Newf("isolation: record: organisations: %d entries, want at most %d", count, maxRecorded)
	}
	for _, org := range v.Organisations {
		if cachepool.Section(org) != n {
			return v, errors.Newf("isolation: record: organisations: %.40q belongs to section %d", org, cachepool.Section(org))
		}
	}
	return v, nil
}

// dueWrite is a record that this daemon is to write.
type dueWrite struct {
	key      string
	value    recordValue
	revision platform.Revision
}

// dueWrites returns the records that lack something, or from which organisations may be removed, and that no daemon before this
// one has written.
func (t *Tracker) dueWrites(now time.Time, rank func(key string) int) []dueWrite {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed {
		return nil
	}
	var members [cachepool.Sections][]request.OrgID
	for org := range t.apart {
		n := cachepool.Section(org)
		members[n] = append(members[n], org)
	}
	var out []dueWrite
	for n := range t.sections {
		if w, due := t.dueWrite(now, n, members[n], rank); due {
			out = append(out, w)
		}
	}
	return out
}

// dueWrite returns the write of the record of a section whose members are kept apart.
func (t *Tracker) dueWrite(now time.Time, n int, members []request.OrgID, rank func(key string) int) (dueWrite, bool) {
	s := &t.sections[n]
	w := dueWrite{key: recordKey(n), revision: s.revision, value: recordValue{Generation: t.generations[n]}}
	if !s.lacksSince.IsZero() {
		w.value.Organisations = t.recorded(s, members)
		lacks := len(w.value.Organisations) > len(s.stored) || s.generation != w.value.Generation
		return w, lacks && now.Sub(s.lacksSince) >= time.Duration(rank(w.key))*writeDelay
	}
	wait := ReturnAfter + time.Duration(rank(RecordPrefix))*writeDelay // one daemon writes all that are due
	staying := slices.DeleteFunc(slices.Clone(members), func(org request.OrgID) bool {
		return !t.isolated[org] && now.Sub(t.apart[org]) >= wait
	})
	if len(staying) == len(members) || now.Sub(t.returnedAt) < wait || w.value.Generation == maxGeneration {
		return w, false
	}
	w.value.Generation++
	w.value.Organisations = t.recorded(s, staying)
	return w, true
}

// recorded returns the organisations that a record has room for: first those that it holds.
func (t *Tracker) recorded(s *section, orgs []request.OrgID) []request.OrgID {
	slices.SortFunc(orgs, func(a, b request.OrgID) int {
		if s.stored[a] != s.stored[b] {
			if s.stored[a] {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	if len(orgs) > maxRecorded {
		if !s.full {
			t.o.Logger.Warn("A record of isolated organisations is full", "organisations", len(orgs), "most", maxRecorded)
		}
		s.full = true
		orgs = orgs[:maxRecorded]
	}
	slices.Sort(orgs)
	return orgs
}

// write writes a record. A conflict is no error: the record that another daemon wrote arrives soon, and is compared again.
func (t *Tracker) write(ctx context.Context, w dueWrite) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(w.value)
	if err != nil {
		t.o.Logger.Error("Failed to encode a record of isolated organisations", "key", w.key, "error", err)
		return
	}
	_, err = t.o.KV.CompareAndSwap(ctx, w.key, w.revision, value, "")
	switch {
	case err == nil:
		t.o.Logger.Info("Recorded isolated organisations", "key", w.key, "organisations", len(w.value.Organisations), "generation", w.value.Generation)
	case !errors.Is(err, platform.ErrConflict):
		t.o.Logger.Debug("Failed to record isolated organisations", "key", w.key, "error", err)
	}
}
