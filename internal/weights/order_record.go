package weights

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	recordKey     = "weights-plan"
	recordTimeout = 700 * time.Millisecond
)

// orderRecord is the stored record of the replicas that may have received an order recently. The
// lease holder adds a replica to the record before it sends the order. The next holder takes the
// record over, which makes further writes of the previous holder fail. It must wait before it sends
// orders to the recorded replicas and may send orders to all others at once.
type orderRecord struct {
	Epoch   uint64             `json:"epoch"`
	Ordered []request.TargetID `json:"ordered"`
	// WaitMs is how long the next holder must wait, in milliseconds from when it takes the record over, for replicas whose orders
	// became older before the record was written. Without an entry it is the whole order lease.
	WaitMs map[request.TargetID]int64 `json:"wait_ms,omitempty"`

	revision platform.Revision
	lost     bool // another writer replaced the record; any replica may have been ordered
}

// errRecordTakenOver reports that another daemon has taken the record over.
var errRecordTakenOver = errors.New("weights: order record was taken over by another daemon")

// takeOverRecord writes the record under a new epoch and returns it with the replicas that the
// previous holder may have ordered to load.
func takeOverRecord(ctx context.Context, kv platform.KV, epoch uint64) (*orderRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	entry, err := kv.Get(ctx, recordKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrap(err, "weights: read the order record")
	}
	p := &orderRecord{}
	if entry.Revision > 0 {
		if err := bounds.Decode(entry.Value, p); err != nil || p.Epoch > lease.MaxEpoch(entry.Revision) {
			*p = orderRecord{lost: true}
		}
	}
	if p.Epoch > epoch {
		return nil, errRecordTakenOver
	}
	p.Epoch, p.revision = epoch, entry.Revision
	return p, p.write(ctx, kv)
}

// wait returns how long the next holder must wait before it orders a recorded replica.
func (p *orderRecord) wait(id request.TargetID, orderLease time.Duration) time.Duration {
	ms, known := p.WaitMs[id]
	if !known || ms < 0 || ms > orderLease.Milliseconds() {
		return orderLease
	}
	return time.Duration(ms) * time.Millisecond
}

// replaceReplicas replaces the replicas in the stored record.
func (p *orderRecord) replaceReplicas(ctx context.Context, kv platform.KV, ids []request.TargetID) error {
	return p.replace(ctx, kv, ids, nil)
}

// replace replaces the replicas in the stored record, and how long the next holder must wait for some of them.
func (p *orderRecord) replace(ctx context.Context, kv platform.KV, ids []request.TargetID, waitMs map[request.TargetID]int64) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	next := orderRecord{Epoch: p.Epoch, Ordered: ids, WaitMs: waitMs, revision: p.revision}
	if err := next.write(ctx, kv); err != nil {
		return err
	}
	*p = next
	return nil
}

func (p *orderRecord) write(ctx context.Context, kv platform.KV) error {
	value, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "weights: encode the order record")
	}
	revision, err := kv.CompareAndSwap(ctx, recordKey, p.revision, value, "")
	if errors.Is(err, platform.ErrConflict) {
		return errRecordTakenOver
	}
	if err != nil {
		return errors.Wrap(err, "weights: write the order record")
	}
	p.revision = revision
	return nil
}
