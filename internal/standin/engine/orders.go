package engine

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
)

// loadSteps is the number of steps of a weight load. The load reports its progress and
// adapts its speed after each step.
const loadSteps = 20

// applyOrder executes an order. A replica that checks epochs rejects an order with an
// old epoch.
func (e *Engine) applyOrder(o engineapi.Order) *engineapi.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, repeated := e.appliedOrders[o.OperationID]; repeated && o.OperationID != "" {
		return nil
	}
	if e.opts.ChecksEpoch && o.Epoch < e.state.HighestEpoch {
		e.stats.OrdersRefused++
		return newError(engineapi.CodeStaleEpoch, "a higher epoch was seen")
	}
	e.state.HighestEpoch = max(e.state.HighestEpoch, o.Epoch)
	switch o.Kind {
	case engineapi.OrderLoadVersion:
		e.startLoadLocked(o)
	case engineapi.OrderLoadAdapter:
		if !slices.Contains(e.state.Adapters, o.Adapter) {
			e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Adapter)
		}
	case engineapi.OrderSetRole:
		e.state.Role = o.Role
	default:
		return newError(engineapi.CodeBadRequest, "unknown order kind")
	}
	e.appliedOrders[o.OperationID] = struct{}{}
	e.state.LastOrder = o.OperationID
	e.stats.OrdersApplied++
	return nil
}

// startLoadLocked starts to load a version and cancels a load in progress.
func (e *Engine) startLoadLocked(o engineapi.Order) {
	e.cancelWeightLoad()
	ctx, cancel := context.WithCancel(e.ctx)
	e.cancelWeightLoad = cancel
	e.state.Loading = o.Version
	e.work.Add(1)
	go e.loadVersion(ctx, o)
}

func (e *Engine) loadVersion(ctx context.Context, o engineapi.Order) {
	defer e.work.Done()
	defer e.reportWeightLoad(false)
	for progress := 0.0; progress < loadSteps; {
		speed := e.reportWeightLoad(true)
		if !e.sleep(ctx, e.scaleTime(e.opts.WeightLoadTime/loadSteps)) || e.switches.WaitUnfrozen(ctx) != nil {
			return
		}
		progress += speed
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil {
		e.swapVersionLocked(o.Model, o.Version)
	}
}

// reportWeightLoad reports to the weight store whether this replica loads weights, and
// returns the speed of the load as a share of full speed.
func (e *Engine) reportWeightLoad(loading bool) float64 {
	if e.opts.WeightStore == nil {
		return 1
	}
	a := e.opts.WeightStore.Report(vmlist.LoadReport{Replica: e.opts.Name, Loading: loading})
	if a.Cap == 0 || a.Loading <= a.Cap {
		return 1
	}
	return float64(a.Cap) / float64(a.Loading)
}

// swapVersionLocked switches to the loaded weights. Running requests continue with their
// own version and blocks. Queued requests have not started and fail with
// CodeWrongVersion. Unused cached blocks are dropped.
func (e *Engine) swapVersionLocked(model request.Model, version request.Version) {
	if model != "" {
		e.state.Model = model
	}
	e.state.Version = version
	e.state.Loading = ""
	now := time.Now()
	for _, s := range e.queue {
		s.finish(now, nil, newError(engineapi.CodeWrongVersion, "weights were swapped before the request started"))
	}
	e.removeDoneLocked()
	kept := e.cache.clear()
	e.publishEventLocked(engineapi.BlocksCleared, nil)
	e.publishEventLocked(engineapi.BlocksStored, kept)
}
