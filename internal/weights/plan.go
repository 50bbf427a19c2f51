package weights

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	planKey     = "weights-plan"
	planTimeout = 700 * time.Millisecond
)

// plan is the record of the replicas that may have had an order lately. A holder writes a
// replica down before it orders it. The next one takes the record over, which stops the
// writes of the one before, and so knows which replicas it must leave alone for a while:
// all others it may order at once.
type plan struct {
	Epoch   uint64             `json:"epoch"`
	Ordered []request.TargetID `json:"ordered"`

	revision platform.Revision
}

// errPlanLost says that another daemon has taken the record over.
var errPlanLost = errors.New("weights: another daemon holds the plan")

// takePlan takes the record over and returns the replicas that its holder before may have
// ordered.
func takePlan(ctx context.Context, kv platform.KV, epoch uint64) (*plan, error) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	entry, err := kv.Get(ctx, planKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrap(err, "weights: read the plan")
	}
	p := &plan{}
	if entry.Revision > 0 {
		if err := json.Unmarshal(entry.Value, p); err != nil {
			return nil, errors.Wrap(err, "weights: plan")
		}
	}
	if p.Epoch > epoch {
		return nil, errPlanLost
	}
	p.Epoch, p.revision = epoch, entry.Revision
	return p, p.write(ctx, kv)
}

// set replaces the replicas of the record.
func (p *plan) set(ctx context.Context, kv platform.KV, ordered []request.TargetID) error {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	next := plan{Epoch: p.Epoch, Ordered: ordered, revision: p.revision}
	if err := next.write(ctx, kv); err != nil {
		return err
	}
	*p = next
	return nil
}

func (p *plan) write(ctx context.Context, kv platform.KV) error {
	value, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "weights: encode the plan")
	}
	revision, err := kv.CompareAndSwap(ctx, planKey, p.revision, value, "")
	if errors.Is(err, platform.ErrConflict) {
		return errPlanLost
	}
	if err != nil {
		return errors.Wrap(err, "weights: write the plan")
	}
	p.revision = revision
	return nil
}
