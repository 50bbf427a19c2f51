package crashes

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
)

const (
	// keyPrefix precedes the pages of records. A page holds the records whose keys have the same first digit, which makes conflicts
	// between writers rare.
	keyPrefix = "poison/"
	// maxPageRecords bounds the records in a page. At about 2 KB each they stay well below the limit on values, and below what
	// daemons may receive for one change.
	maxPageRecords = 32
	// writeDelay, multiplied by a daemon's rank, is how long it leaves a write to the daemons before it; lastWriter is the last rank
	// that writes.
	writeDelay = 400 * time.Millisecond
	lastWriter = 3
	// maxWriteAttempts bounds the attempts to write one page that other daemons write as well.
	maxWriteAttempts = 5
	// ioTimeout bounds reading and writing one page.
	ioTimeout = 2 * time.Second
)

// errTrialBegun means that another daemon has begun a trial.
var errTrialBegun = errors.New("crashes: another daemon has begun a trial")

// storedRecord is a record in a page. Times are in Unix milliseconds.
type storedRecord struct {
	Kind     poison.Kind   `json:"kind"`
	Org      poison.Org    `json:"org,omitempty"`
	Key      string        `json:"key"`
	Deaths   []storedDeath `json:"deaths"`
	Answered int64         `json:"answered,omitempty"`
	Trial    int64         `json:"trial,omitempty"`
}

type storedDeath struct {
	ID   string     `json:"id"`
	Org  poison.Org `json:"org"`
	Sent int64      `json:"sent"`
	At   int64      `json:"at"`
}

func keyText(t poison.Trait) string { return hex.EncodeToString(t.Key[:]) }

// pageKey returns the key of the page that holds a trait's record.
func pageKey(t poison.Trait) string { return keyPrefix + keyText(t)[:1] }

func storedRecords(records []poison.Record) []storedRecord {
	out := make([]storedRecord, len(records))
	for i, r := range records {
		out[i] = storedRecord{Kind: r.Trait.Kind, Org: r.Trait.Org, Key: keyText(r.Trait), Answered: poison.UnixMilli(r.Answered), Trial: poison.UnixMilli(r.Trial)}
		for _, d := range r.Deaths {
			out[i].Deaths = append(out[i].Deaths, storedDeath{ID: d.ID, Org: d.Org, Sent: d.Sent.UnixMilli(), At: d.At.UnixMilli()})
		}
	}
	return out
}

// decodePage decodes a page. Its error names the field.
func decodePage(value []byte) ([]poison.Record, error) {
	var stored []storedRecord
	if err := bounds.Decode(value, &stored); err != nil {
		return nil, errors.Wrap(err, "crashes: page")
	}
	if len(stored) > maxPageRecords {
		return nil, errors.Newf("crashes: page: has %d records, want at most %d", len(stored), maxPageRecords)
	}
	out := make([]poison.Record, len(stored))
	for i, r := range stored {
		key, err := hex.DecodeString(r.Key)
		if err != nil || len(key) != poison.KeyBytes {
			return nil, errors.Newf("crashes: page: key: %.40q: want %d bytes in hexadecimal", r.Key, poison.KeyBytes)
		}
		if !r.Kind.Valid() {
			return nil, errors.Newf("crashes: page: kind: %d is unknown", r.Kind)
		}
		if err := r.validateTimes(); err != nil {
			return nil, errors.Wrap(err, "crashes: page")
		}
		out[i] = poison.Record{Trait: poison.Trait{Kind: r.Kind, Org: r.Org, Key: poison.Key(key)}, Answered: poison.FromUnixMilli(r.Answered), Trial: poison.FromUnixMilli(r.Trial)}
		for _, d := range r.Deaths {
			out[i].Deaths = append(out[i].Deaths, poison.Death{ID: d.ID, Org: d.Org, Sent: time.UnixMilli(d.Sent), At: time.UnixMilli(d.At)})
		}
	}
	return out, nil
}

// validateTimes returns an error that names the first time that can't be.
func (r *storedRecord) validateTimes() error {
	times := map[string]int64{"answered": r.Answered, "trial": r.Trial}
	for _, d := range r.Deaths {
		times["sent"], times["at"] = max(times["sent"], d.Sent), max(times["at"], d.At)
	}
	for name, ms := range times {
		if ms > bounds.MaxUnixMilli {
			return errors.Newf("%s: %d, want at most %d", name, ms, int64(bounds.MaxUnixMilli))
		}
	}
	return nil
}

// applyStored merges the pages that the key-value service has.
func (t *Tracker) applyStored(u mirror.Update) {
	now := t.o.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Full {
		clear(t.stored)
	}
	for _, e := range u.Entries {
		if e.Deleted {
			continue
		}
		records, err := decodePage(e.Value)
		if err != nil {
			t.o.Metrics.Counter("invalid_crash_pages").Inc(1)
			t.o.Logger.Warn("Ignoring an invalid page of records", "key", bounds.BriefKey(e.Key), "error", err)
			continue
		}
		for _, r := range records {
			t.stored[r.Trait] = r
		}
		t.registry.Merge(now, records)
		t.noteChanged(now, t.known(records))
	}
}

// writeDue writes the records that no daemon of a lower rank has written.
func (t *Tracker) writeDue(ctx context.Context, now time.Time) {
	pages := map[string][]poison.Record{}
	t.mu.Lock()
	for trait, since := range t.unstored {
		r, ok := t.registry.Record(trait)
		if !ok || !t.isDue(r) {
			delete(t.unstored, trait)
			continue
		}
		page := pageKey(trait)
		rank := t.o.Rank(page)
		if rank > lastWriter {
			delete(t.unstored, trait)
			continue
		}
		if now.Sub(since) >= time.Duration(rank)*writeDelay {
			pages[page] = append(pages[page], r)
		}
	}
	t.mu.Unlock()
	for _, page := range slices.Sorted(maps.Keys(pages)) {
		records := pages[page]
		if err := t.writePage(ctx, page, records); err != nil {
			t.o.Logger.Warn("Failed to write records of deaths; the other daemons were told", "page", page, "error", err)
			continue // it stays due
		}
		t.o.Metrics.Counter("crash_records_written").Inc(int64(len(records)))
	}
}

// writePage merges records into a stored page. Merging is idempotent, which allows it to retry a write whose outcome is unknown.
func (t *Tracker) writePage(ctx context.Context, page string, records []poison.Record) error {
	var err error
	for range maxWriteAttempts {
		err = t.tryWritePage(ctx, page, func([]poison.Record) ([]poison.Record, error) { return records, nil })
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUncertain) {
			return err
		}
	}
	return err
}

// claimTrial writes that a trial of a trait begins now, unless one has begun since the last death.
func (t *Tracker) claimTrial(ctx context.Context, trait poison.Trait) error {
	now := t.o.Now()
	t.mu.Lock()
	own, _ := t.registry.Record(trait)
	t.mu.Unlock()
	return t.tryWritePage(ctx, pageKey(trait), func(stored []poison.Record) ([]poison.Record, error) {
		for _, r := range stored {
			if r.Trait == trait && !poison.Covers(own, r) {
				return nil, errTrialBegun // or a death or an answer that is not known here
			}
		}
		own.Trial = now
		return []poison.Record{own}, nil
	})
}

// tryWritePage replaces a page by itself merged with the records that change returns for it.
func (t *Tracker) tryWritePage(ctx context.Context, page string, change func(stored []poison.Record) ([]poison.Record, error)) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	var stored []poison.Record
	entry, err := t.o.KV.Get(ctx, page)
	switch {
	case err == nil:
		if stored, err = decodePage(entry.Value); err != nil {
			t.o.Logger.Warn("Replacing an invalid page of records", "key", page, "error", err)
		}
	case !errors.Is(err, platform.ErrNotFound):
		return err
	}
	records, err := change(stored)
	if err != nil {
		return err
	}
	merged := t.mergePage(stored, records)
	value, err := json.Marshal(storedRecords(merged))
	if err != nil {
		return errors.Wrap(err, "crashes: encode")
	}
	if _, err = t.o.KV.CompareAndSwap(ctx, page, entry.Revision, value, ""); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range merged {
		t.stored[r.Trait] = r
	}
	return nil
}

// mergePage merges records into those of a page and drops the ones that are too old or too many.
func (t *Tracker) mergePage(stored, records []poison.Record) []poison.Record {
	now := t.o.Now()
	p := t.o.Params
	p.MaxRecords = maxPageRecords
	merged := poison.New(p)
	merged.Merge(now, stored)
	merged.Merge(now, records)
	merged.Prune(now)
	out := merged.All()
	slices.SortFunc(out, func(a, b poison.Record) int { return slices.Compare(a.Trait.Key[:], b.Trait.Key[:]) })
	return out
}

// maxDumped bounds the records in a debug dump.
const maxDumped = 100

// State is the state for a debug dump.
type State struct {
	Records   int            `json:"records"`
	Poisonous int            `json:"poisonous"`
	Unstored  int            `json:"unstored"` // records that are to be written
	Most      []storedRecord `json:"most"`     // those with the most deaths
}

// State returns the state for a debug dump.
func (t *Tracker) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.registry.All()
	return State{Records: len(all), Poisonous: len(t.registry.Poisonous()), Unstored: len(t.unstored), Most: storedRecords(all[:min(len(all), maxDumped)])}
}
