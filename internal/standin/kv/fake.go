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

// Fault is the fault that a Fake injects into one call.
type Fault int

const (
	// FaultNone processes the call normally.
	FaultNone Fault = iota
	// FaultUnavailable fails the call without effect. A write returns ErrUncertain, since
	// its caller cannot know whether it took effect.
	FaultUnavailable
	// FaultDroppedResponse lets a write take effect but returns ErrUncertain.
	FaultDroppedResponse
	// FaultDelayed defers a write and returns ErrUncertain. Deliver applies the write
	// later, as if a slow network had delayed it.
	FaultDelayed
)

// Hook selects the fault of one call. It runs without any lock held, so that it may
// itself call the service.
type Hook func(client string, write bool, key string) Fault

// Fake is the service within the process of the test. Its switches and its hook inject
// faults.
type Fake struct {
	*switches
	core      *Core
	hook      Hook
	afterCall func(client string)

	delayedMu sync.Mutex
	delayed   []kvapi.CASRequest
}

// NewFake returns an empty Fake that uses now as its clock (nil: time.Now).
func NewFake(now func() time.Time) *Fake {
	if now == nil {
		now = time.Now
	}
	return &Fake{switches: newSwitches(), core: NewCore(now)}
}

// SetHook sets the fault hook. It must be called before the Fake is used.
func (f *Fake) SetHook(h Hook) { f.hook = h }

// SetAfterCall sets a hook that runs after a call takes effect and before its caller
// receives the response. It must be called before the Fake is used.
func (f *Fake) SetAfterCall(after func(client string)) { f.afterCall = after }

// Deliver applies the i-th delayed write. It returns false if there is no such write.
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

// Expire ends expired leases and deletes their keys, so that watches report the
// deletions.
func (f *Fake) Expire() { f.core.Expire() }

// Client returns a client of the service for the daemon with this id.
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

// Watch implements platform.KV. It waits by the real clock, not by the clock given to
// NewFake.
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
