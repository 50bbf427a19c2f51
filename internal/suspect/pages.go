package suspect

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
)

// maxPageRecords bounds the crash records in a stored page: 2,000 records of about 200 bytes stay
// well below the key-value service's limit on values. The records that expire first are dropped.
const maxPageRecords = 2000

// pageKey returns the key of the page that holds a fingerprint. Pages are divided by the first digit
// of the fingerprint, which makes write conflicts between different records rare.
func pageKey(fp quarantine.Fingerprint) string {
	if fp == "" {
		return keyPrefix + "0"
	}
	return keyPrefix + string(fp[:1])
}

func groupByPage(records []quarantine.CrashRecord) map[string][]quarantine.CrashRecord {
	out := map[string][]quarantine.CrashRecord{}
	for _, record := range records {
		name := pageKey(record.Fingerprint)
		out[name] = append(out[name], record)
	}
	return out
}

func (r *Registry) readPage(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	entry, err := r.opts.KV.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	r.mergePage(entry.Value)
	return nil
}

// writePage merges crash records into a stored page. Merging is idempotent, which allows it to retry
// a write whose outcome is unknown.
func (r *Registry) writePage(ctx context.Context, name string, records []quarantine.CrashRecord) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	var err error
	for range maxWriteAttempts {
		if err = r.tryWritePage(ctx, name, records); err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUncertain) {
			return err
		}
	}
	return err
}

func (r *Registry) tryWritePage(ctx context.Context, name string, records []quarantine.CrashRecord) error {
	var stored []quarantine.CrashRecord
	entry, err := r.opts.KV.Get(ctx, name)
	switch {
	case err == nil:
		stored = r.mergePage(entry.Value)
	case !errors.Is(err, platform.ErrNotFound):
		return err
	}
	value, err := json.Marshal(mergeRecords(r.opts.Now(), stored, records))
	if err != nil {
		return errors.Wrap(err, "suspect: encode")
	}
	_, err = r.opts.KV.CompareAndSwap(ctx, name, entry.Revision, value, "")
	return err
}

// mergeRecords merges crash records by the rules of quarantine.
func mergeRecords(now time.Time, stored, records []quarantine.CrashRecord) []quarantine.CrashRecord {
	merged := quarantine.New(quarantine.Params{MaxRecords: maxPageRecords})
	merged.Merge(now, stored)
	merged.Merge(now, records)
	return merged.All(now)
}
