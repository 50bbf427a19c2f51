package contextstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// LifePrefix begins the keys under which keepers write down what they know of a store's
	// running process.
	LifePrefix = "store-life/"
	// lifeTimeout bounds reading and writing one of them.
	lifeTimeout = 500 * time.Millisecond
)

// life is what keepers tell their successors of a store. Its times are on the replicas'
// clock, in ms: those of daemons may be set.
type life struct {
	Epoch uint64 `json:"epoch"` // of the store's process
	Seen  int64  `json:"seen"`  // when that was known
	// Readers is until when a keeper whose lease ran out may give leave.
	Readers int64 `json:"readers"`
}

// lives reads and writes what keepers know of stores.
type lives struct{ kv platform.KV }

func (l lives) read(ctx context.Context, store routing.ServiceID) (life, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, lifeTimeout)
	defer cancel()
	entry, err := l.kv.Get(ctx, LifePrefix+string(store))
	if errors.Is(err, platform.ErrNotFound) {
		return life{}, 0, nil
	}
	if err != nil {
		return life{}, 0, errors.Wrap(err, "contextstore: read a store's life")
	}
	var known life
	if err := json.Unmarshal(entry.Value, &known); err != nil {
		return life{}, entry.Revision, nil // whatever it was, it is written anew
	}
	return known, entry.Revision, nil
}

func (l lives) write(ctx context.Context, store routing.ServiceID, known life, at platform.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, lifeTimeout)
	defer cancel()
	value, err := json.Marshal(known)
	if err != nil {
		return errors.Wrap(err, "contextstore: encode a store's life")
	}
	_, err = l.kv.CompareAndSwap(ctx, LifePrefix+string(store), at, value, "")
	return errors.Wrap(err, "contextstore: write a store's life")
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
	known, revision, err := k.lives.read(ctx, k.id)
	if err != nil {
		return err
	}
	k.mu.Lock()
	now := time.Now()
	clock := k.replicaClock(now)
	next := life{Epoch: k.epoch, Seen: clock, Readers: max(known.Readers, k.replicaClock(k.room.Readers()))}
	sameProcess := known.Epoch == k.epoch
	if sameProcess {
		next.Seen = known.Seen
	}
	if sameProcess && time.Duration(clock-known.Seen)*time.Millisecond > storeroom.LeaveSeenFor {
		k.room.OnSameProcess(now)
	}
	k.room.OnReaders(now.Add(time.Duration(known.Readers-clock) * time.Millisecond))
	k.mu.Unlock()
	if next != known {
		if err := k.lives.write(ctx, k.id, next, revision); err != nil {
			return err
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inherited = k.epoch == next.Epoch // else the store has restarted meanwhile
	return nil
}
