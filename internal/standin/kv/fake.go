package kv

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Fault is what happens to one call on a Fake.
type Fault int

const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultUnavailable fails the call without effect; a write reports ErrUncertain,
	// since its caller can't tell.
	FaultUnavailable
	// FaultDroppedResponse lets a write take effect and reports ErrUncertain.
	FaultDroppedResponse
	// FaultDelayed holds a write back and reports ErrUncertain; Deliver lets it reach
	// the service later, as a slow network would.
	FaultDelayed
)

// Hook chooses the fault of one call. It runs without any lock held, so that a test
// may act on the service in between.
type Hook func(client string, write bool, key string) Fault

// Fake is the service in the same process. Its switches and hook set faults.
type Fake struct {
	*switches
	core      *Core
	hook      Hook
	afterCall func(client string)

	delayedMu sync.Mutex
	delayed   []kvapi.CASRequest
}

// NewFake returns an empty service that reads the time from now (nil: time.Now).
func NewFake(now func() time.Time) *Fake {
	if now == nil {
		now = time.Now
	}
	return &Fake{switches: newSwitches(), core: NewCore(now)}
}

// SetHook sets the fault hook; call it before the fake is used.
func (f *Fake) SetHook(h Hook) { f.hook = h }

// SetAfterCall sets a hook that runs after each call took effect and before its caller
// sees the answer; call it before the fake is used.
func (f *Fake) SetAfterCall(after func(client string)) { f.afterCall = after }

// Deliver lets the i-th delayed write reach the service. It reports false if there
// is none.
func (f *Fake) Deliver(i int) bool {
	f.delayedMu.Lock()
	if i >= len(f.delayed) {
		f.delayedMu.Unlock()
		return false
	}
	req := f.delayed[i]
	f.delayed = append(f.delayed[:i:i], f.delayed[i+1:]...)
	f.delayedMu.Unlock()
	_, _ = f.core.CompareAndSwap(req)
	return true
}

func (f *Fake) delay(req kvapi.CASRequest) {
	f.delayedMu.Lock()
	defer f.delayedMu.Unlock()
	f.delayed = append(f.delayed, req)
}

// Expire ends lapsed leases, so that watches learn of it.
func (f *Fake) Expire() { f.core.Expire() }

// Client returns the service as one daemon sees it.
func (f *Fake) Client(id string) platform.KV { return &fakeClient{f: f, id: id} }

type fakeClient struct {
	f  *Fake
	id string
}

var _ platform.KV = (*fakeClient)(nil)

func (c *fakeClient) runAfterCall() {
	if c.f.afterCall != nil {
		c.f.afterCall(c.id)
	}
}

func (c *fakeClient) nextFault(ctx context.Context, write bool, key string, bytes int) Fault {
	class := classRead
	if write {
		class = classWrite
	}
	slow, reachable := c.f.recordCall(c.id, class, bytes)
	if !reachable || sleep.For(ctx, slow) != nil {
		return FaultUnavailable
	}
	if c.f.hook != nil {
		if fault := c.f.hook(c.id, write, key); fault != FaultNone {
			return fault
		}
	}
	if write && c.f.takeDroppedResponse() {
		return FaultDroppedResponse
	}
	return FaultNone
}

// Get implements platform.KV.
func (c *fakeClient) Get(ctx context.Context, key string) (platform.Entry, error) {
	if c.nextFault(ctx, false, key, 0) != FaultNone {
		return platform.Entry{}, platform.ErrUnavailable
	}
	e, err := c.f.core.Get(key)
	c.runAfterCall()
	if err != nil {
		return platform.Entry{}, platform.ErrNotFound
	}
	return fromAPI(e), nil
}

// List implements platform.KV.
func (c *fakeClient) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if c.nextFault(ctx, false, prefix, 0) != FaultNone {
		return nil, 0, platform.ErrUnavailable
	}
	out := c.f.core.List(prefix)
	c.runAfterCall()
	return fromAPIEntries(out.Entries), platform.Revision(out.Revision), nil
}

// CompareAndSwap implements platform.KV.
func (c *fakeClient) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	return c.write(ctx, kvapi.CASRequest{Key: key, Expect: uint64(expect), Value: value, LeaseID: string(lease)})
}

// Delete implements platform.KV.
func (c *fakeClient) Delete(ctx context.Context, key string, expect platform.Revision) error {
	_, err := c.write(ctx, kvapi.CASRequest{Key: key, Expect: uint64(expect), Delete: true})
	return err
}

func (c *fakeClient) write(ctx context.Context, req kvapi.CASRequest) (platform.Revision, error) {
	fault := c.nextFault(ctx, true, req.Key, len(req.Value))
	switch fault {
	case FaultUnavailable:
		return 0, platform.ErrUncertain
	case FaultDelayed:
		c.f.delay(req)
		return 0, platform.ErrUncertain
	}
	revision, err := c.f.core.CompareAndSwap(req)
	c.runAfterCall()
	if fault == FaultDroppedResponse {
		return 0, platform.ErrUncertain
	}
	var conflict *conflictError
	switch {
	case err == nil:
		return platform.Revision(revision), nil
	case errors.As(err, &conflict):
		return 0, &platform.ConflictError{Current: fromAPI(conflict.current)}
	case errors.Is(err, errTooLarge):
		return 0, platform.ErrTooLarge
	default:
		return 0, platform.ErrNotFound
	}
}

// Watch implements platform.KV. The wait is by the real clock.
func (c *fakeClient) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	slow, reachable := c.f.recordCall(c.id, classWatch, 0)
	if !reachable || sleep.For(ctx, slow) != nil {
		return nil, 0, platform.ErrUnavailable
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	out := c.f.core.waitForChanges(waitCtx, prefix, uint64(after))
	if ctx.Err() != nil {
		return nil, 0, errors.Mark(ctx.Err(), platform.ErrUnavailable)
	}
	return fromAPIEntries(out.Entries), platform.Revision(out.Revision), nil
}

// GrantLease implements platform.KV.
func (c *fakeClient) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	fault := c.nextFault(ctx, true, "", 0)
	if fault == FaultUnavailable || fault == FaultDelayed {
		return "", platform.ErrUnavailable
	}
	id := c.f.core.Grant(ttl)
	c.runAfterCall()
	if fault == FaultDroppedResponse {
		return "", platform.ErrUnavailable
	}
	return platform.LeaseID(id), nil
}

// KeepAlive implements platform.KV.
func (c *fakeClient) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	fault := c.nextFault(ctx, true, "", 0)
	if fault == FaultUnavailable || fault == FaultDelayed {
		return platform.ErrUnavailable
	}
	_, err := c.f.core.KeepAlive(string(id))
	c.runAfterCall()
	switch {
	case fault == FaultDroppedResponse:
		return platform.ErrUnavailable
	case err != nil:
		return platform.ErrNotFound
	}
	return nil
}

// RevokeLease implements platform.KV.
func (c *fakeClient) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	if c.nextFault(ctx, true, "", 0) == FaultUnavailable {
		return platform.ErrUnavailable
	}
	c.f.core.Revoke(string(id))
	return nil
}

func fromAPI(e kvapi.Entry) platform.Entry {
	return platform.Entry{
		Key:      e.Key,
		Value:    append([]byte(nil), e.Value...),
		Revision: platform.Revision(e.Revision),
		Lease:    platform.LeaseID(e.LeaseID),
		Deleted:  e.Deleted,
	}
}

func fromAPIEntries(in []kvapi.Entry) []platform.Entry {
	out := make([]platform.Entry, 0, len(in))
	for _, e := range in {
		out = append(out, fromAPI(e))
	}
	return out
}
