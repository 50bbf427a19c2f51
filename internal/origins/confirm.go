package origins

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// restoreGrace is how long after a restore of the key-value service from a backup its entries may lack versions that were listed
// before. Daemons that know them list them again.
const restoreGrace = 3 * time.Second

// keeperReadShare is the part of Params.Wait, as its inverse, for which a daemon that is asked reads, so that its answer is in time without.
const keeperReadShare = 2

// mayReadList reports whether a read of the versions that the key-value service lists may add to what this daemon knows. A daemon that
// the service did not answer last leaves the read to others.
func (e *Exchange) mayReadList(v origin.View) bool {
	return e.o.KV != nil && v.Certainty != origin.Several && e.o.Current()
}

// listedNow returns the versions of a service that the key-value service lists, as of a time after the call began; nil if there is no
// answer in time, or if it tells nothing.
func (e *Exchange) listedNow(ctx context.Context, service routing.ServiceID) []string {
	ctx, cancel := context.WithTimeout(ctx, e.o.Params.Wait)
	defer cancel()
	return e.reads.get(ctx, service, func() []string { return e.readListed(service) })
}

// readListed reads the versions that the key-value service lists; nil: it tells nothing.
func (e *Exchange) readListed(service routing.ServiceID) []string {
	ctx, cancel := context.WithTimeout(context.Background(), e.o.Params.Wait)
	defer cancel()
	entry, err := e.o.KV.Get(ctx, HistoryPrefix+string(service))
	answered := err == nil || errors.Is(err, platform.ErrNotFound)
	e.readFailed.Store(!answered)
	if !answered {
		e.o.Logger.Debug("Failed to read the versions of a service's software", "service", service, "error", err)
	}
	if err != nil {
		return nil
	}
	if at, restored := e.o.RestoredAt(); restored && time.Since(at) < restoreGrace {
		return nil
	}
	versions, err := decodeHistory(entry.Value)
	if err != nil {
		return nil // applyHistory logs it
	}
	return versions
}

// freshReads shares reads of the key-value service between lookups. A lookup shares only a read that begins after it did: an earlier
// one may have been answered before the stream came back. It is safe for concurrent use.
type freshReads struct {
	mu      sync.Mutex
	running map[routing.ServiceID]bool
	next    map[routing.ServiceID]*freshRead
}

// freshRead is a read that has not begun.
type freshRead struct {
	done     chan struct{}
	versions []string // valid once done is closed
}

func newFreshReads() *freshReads {
	return &freshReads{running: map[routing.ServiceID]bool{}, next: map[routing.ServiceID]*freshRead{}}
}

// get returns the result of a read that begins after the call, nil if ctx ends before.
func (f *freshReads) get(ctx context.Context, service routing.ServiceID, read func() []string) []string {
	r := f.join(service, read)
	select {
	case <-r.done:
		return r.versions
	case <-ctx.Done():
		return nil
	}
}

// join returns the next read, which begins when the running one has ended.
func (f *freshReads) join(service routing.ServiceID, read func() []string) *freshRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.next[service]
	if r == nil {
		r = &freshRead{done: make(chan struct{})}
		f.next[service] = r
	}
	if !f.running[service] {
		f.running[service] = true
		go f.run(service, read)
	}
	return r
}

// run reads until no lookup waits.
func (f *freshReads) run(service routing.ServiceID, read func() []string) {
	for r := f.begin(service); r != nil; r = f.begin(service) {
		r.versions = read()
		close(r.done)
	}
}

// begin returns the next read, which later lookups can't share any more; nil: no lookup waits.
func (f *freshReads) begin(service routing.ServiceID) *freshRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.next[service]
	delete(f.next, service)
	if r == nil {
		delete(f.running, service)
	}
	return r
}
