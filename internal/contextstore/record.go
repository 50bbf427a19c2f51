package contextstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// RecordPrefix is the prefix of the keys under which owners record what they know about a
	// store's running process.
	RecordPrefix = "store-record/"
	// recordTimeout bounds each read and write of a record.
	recordTimeout = 500 * time.Millisecond
	// adoptRecordInterval is the time between attempts while the key-value service does not respond.
	adoptRecordInterval = time.Second
)

// record is what owners pass on to their successors about a store. Its times are on the
// replicas' clock (see Content.ClockMs), in ms, because the wall clocks of daemons may be set.
type record struct {
	StoreEpoch uint64 `json:"epoch"` // of the store's process
	Seen       int64  `json:"seen"`  // when this process was first seen
	// OtherOwnerUntil is until when an owner whose lease expired may grant permits.
	OtherOwnerUntil int64 `json:"readers"`
}

// maxPermitsAhead is longer than any owner may grant permits without its lease, by clocks that differ.
const maxPermitsAhead = 2 * storecache.ReadOnlyGrace

// possible reports whether an owner can have written the record before a time on the replicas' clock.
func (r record) possible(clock int64) bool {
	return r.Seen >= 0 && r.OtherOwnerUntil >= 0 && r.OtherOwnerUntil <= clock+maxPermitsAhead.Milliseconds()
}

// errUnreadableRecord marks a record that was not written by an owner.
var errUnreadableRecord = errors.New("contextstore: unreadable record")

// recordStore reads and writes records in the key-value service.
type recordStore struct{ kv platform.KV }

func (r recordStore) read(ctx context.Context, store routing.ServiceID) (record, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	entry, err := r.kv.Get(ctx, RecordPrefix+string(store))
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, errors.Wrap(err, "contextstore: read a store's record")
	}
	var known record
	if err := bounds.Decode(entry.Value, &known); err != nil {
		return record{}, entry.Revision, errors.Mark(errors.Wrap(err, "contextstore: decode a store's record"), errUnreadableRecord)
	}
	return known, entry.Revision, nil
}

func (r recordStore) write(ctx context.Context, store routing.ServiceID, known record, revision platform.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	value, err := json.Marshal(known)
	if err != nil {
		return errors.Wrap(err, "contextstore: encode a store's record")
	}
	_, err = r.kv.CompareAndSwap(ctx, RecordPrefix+string(store), revision, value, "")
	return errors.Wrap(err, "contextstore: write a store's record")
}

// adoptRecord takes over the record of the previous owners' permits: it compares the record with this
// owner's view of the store, and writes what the next owner needs.
//
// A new owner permits no save while permits of the previous owner may be valid. If the store had
// restarted empty in the meantime, a request with a permit for the complete part could read
// one that is being written. If the store's process is known from some time before those
// permits were granted, the store was not empty, and saves need not wait. Otherwise contexts
// that return within 2.8 s after each stop of an owner would not be saved, and would be computed
// again at their next return.
//
// The record also tells until when an owner behind a network partition may grant permits. That
// owner's direct successor knows it from the expired lease. The successor's successor would not,
// and would free parts too early.
func (s *ownedStore) adoptRecord(ctx context.Context) error {
	known, revision, err := s.records.read(ctx, s.id)
	unreadable := errors.Is(err, errUnreadableRecord)
	if err != nil && !unreadable {
		return err
	}
	if unreadable {
		s.log.Warn("The record of a context store is unreadable; writing a new one", "store", s.id, "error", err)
	}
	next := s.reconcile(known, unreadable)
	if next != known {
		if err := s.records.write(ctx, s.id, next, revision); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAdopted = s.storeEpoch == next.StoreEpoch // false if the store has restarted in the meantime
	return nil
}

// reconcile applies a record to the cache and returns the record to be written.
func (s *ownedStore) reconcile(known record, unreadable bool) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	clock := s.replicaClock(now)
	if !known.possible(clock) {
		s.log.Warn("The record of a context store names a time that can't be; writing a new one", "store", s.id)
		known, unreadable = record{}, true
	}
	if unreadable {
		s.cache.OnOtherOwner(now.Add(storecache.ReadOnlyGrace)) // as if an owner had just been partitioned
	}
	s.cache.OnOtherOwner(now.Add(time.Duration(known.OtherOwnerUntil-clock) * time.Millisecond))
	next := record{StoreEpoch: s.storeEpoch, Seen: clock, OtherOwnerUntil: max(known.OtherOwnerUntil, s.replicaClock(s.cache.OtherOwnerUntil()))}
	if known.StoreEpoch != s.storeEpoch {
		return next
	}
	next.Seen = known.Seen
	if time.Duration(clock-known.Seen)*time.Millisecond > storecache.MinProcessAge {
		s.cache.OnSameProcess(now)
	}
	return next
}
