package contextstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// RecordPrefix begins the keys under which keepers write down what they know of a store's
	// running process.
	RecordPrefix = "store-record/"
	// recordTimeout bounds reading and writing one of them.
	recordTimeout = 500 * time.Millisecond
	// inheritEvery is how often that is tried while the key-value service does not answer.
	inheritEvery = time.Second
)

// record is what keepers tell their successors of a store. Its times are on the replicas'
// clock, in ms: those of daemons may be set.
type record struct {
	Epoch uint64 `json:"epoch"` // of the store's process
	Seen  int64  `json:"seen"`  // when that was known
	// Readers is until when a keeper whose lease ran out may give leave.
	Readers int64 `json:"readers"`
}

// errUnreadable is a record that some other writer made.
var errUnreadable = errors.New("contextstore: unreadable record")

// records reads and writes what keepers know of stores.
type records struct{ kv platform.KV }

func (r records) read(ctx context.Context, store routing.ServiceID) (record, platform.Revision, error) {
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
	if err := json.Unmarshal(entry.Value, &known); err != nil {
		return record{}, entry.Revision, errors.Mark(errors.Wrap(err, "contextstore: a store's record"), errUnreadable)
	}
	return known, entry.Revision, nil
}

func (r records) write(ctx context.Context, store routing.ServiceID, known record, at platform.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	value, err := json.Marshal(known)
	if err != nil {
		return errors.Wrap(err, "contextstore: encode a store's record")
	}
	_, err = r.kv.CompareAndSwap(ctx, RecordPrefix+string(store), at, value, "")
	return errors.Wrap(err, "contextstore: write a store's record")
}

// inherit compares what this keeper sees of the store with what the one before wrote down.
//
// A new keeper has nothing saved for as long as leave of the one before may last: had the
// store come back empty meanwhile, a part that is being written could be read by a request
// that had leave for the whole one. If the store's process is the same as some time before
// that leave was given, the store was not empty, and saves need not wait. All contexts that
// return in that time, 2.8 s after each stop of a keeper, were else not saved and computed
// again at their next return.
//
// It also learns until when a keeper that was cut off may go on to give leave. That keeper's
// own successor knows it from its lease; the one after that would not, and free too soon.
func (k *kept) inherit(ctx context.Context) error {
	known, revision, err := k.records.read(ctx, k.id)
	unreadable := errors.Is(err, errUnreadable)
	if err != nil && !unreadable {
		return err
	}
	if unreadable {
		k.log.Warn("What keepers wrote down of a store can not be read; it is written anew", "store", k.id, "error", err)
	}
	next := k.compare(known, unreadable)
	if next != known {
		if err := k.records.write(ctx, k.id, next, revision); err != nil {
			return err
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inherited = k.epoch == next.Epoch // else the store has restarted meanwhile
	return nil
}

// compare tells the room what a record says, and returns the one to be written.
func (k *kept) compare(known record, unreadable bool) record {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	clock := k.replicaClock(now)
	if unreadable {
		k.room.OnOtherOwner(now.Add(storecache.ReadOnlyGrace)) // as if one had just been cut off
	}
	k.room.OnOtherOwner(now.Add(time.Duration(known.Readers-clock) * time.Millisecond))
	next := record{Epoch: k.epoch, Seen: clock, Readers: max(known.Readers, k.replicaClock(k.room.OtherOwnerUntil()))}
	if known.Epoch != k.epoch {
		return next
	}
	next.Seen = known.Seen
	if time.Duration(clock-known.Seen)*time.Millisecond > storecache.MinProcessAge {
		k.room.OnSameProcess(now)
	}
	return next
}
