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

// plan is the stored record of the replicas that may have received an order recently. The lease
// holder adds a replica to the plan before it sends the order. The next holder takes the plan
// over, which makes further writes of the previous holder fail. It must wait before it sends
// orders to the recorded replicas and may send orders to all others at once.
type plan struct {
	Epoch   uint64             `json:"epoch"`
	Ordered []request.TargetID `json:"ordered"`

	revision platform.Revision
}

// errPlanLost reports that another daemon has taken the plan over.
var errPlanLost = errors.New("weights: plan was taken over by another daemon")

// takeOverPlan writes the plan under a new epoch and returns it with the replicas that the
// previous holder may have ordered.
func takeOverPlan(ctx context.Context, kv platform.KV, epoch uint64) (*plan, error) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	entry, err := kv.Get(ctx, planKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrap(err, "weights: read the plan")
	}
	p := &plan{}
	if entry.Revision > 0 {
		if err := json.Unmarshal(entry.Value, p); err != nil {
			return nil, errors.Wrap(err, "weights: decode the plan")
		}
	}
	if p.Epoch > epoch {
		return nil, errPlanLost
	}
	p.Epoch, p.revision = epoch, entry.Revision
	return p, p.write(ctx, kv)
}

// replaceOrdered replaces the replicas in the stored plan.
func (p *plan) replaceOrdered(ctx context.Context, kv platform.KV, ordered []request.TargetID) error {
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
