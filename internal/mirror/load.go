package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	// askInterval is the time between two requests for a peer's copy.
	askInterval = 300 * time.Millisecond
	// askTimeout bounds one request, so that a slow peer does not keep a daemon from asking another.
	askTimeout = 4 * time.Second
	// minLoadPatience is how long a daemon waits at least for a peer's copy before it reads all pages
	// itself. It waits up to twice as long, so that not all daemons of a fleet read them at once.
	minLoadPatience = 8 * time.Second
	// startPatience is how long a daemon that starts asks peers before it lists, startAskInterval the time
	// between its attempts.
	startPatience    = time.Second
	startAskInterval = 100 * time.Millisecond
	// minNear is the number of near keys from which a daemon reads only these first. With fewer the fleet
	// is small, or its keys are not named alike.
	minNear = 8
)

// AddPagedMirror is AddMirror for a prefix with so many keys that a listing takes many calls. If all
// daemons of a fleet read all pages after a restart, they would occupy the key-value service's link for
// longer than callers wait. A daemon therefore applies the first page, which suffices to serve callers,
// and gets the rest from a peer while Options.Lists does not select it to read it. If some keys have the
// prefix near, which begins with prefix, it reads only these first.
func (f *Follower) AddPagedMirror(prefix, near string, apply func(Update)) *Mirror {
	m := f.AddMirror(prefix, apply)
	m.paged, m.nearPrefix = true, near
	return m
}

// readNear reads the near keys of the paged mirrors. It returns a mirror whose near keys name enough peers to
// start from, or nil.
func (f *Follower) readNear(ctx context.Context) (found *Mirror) {
	pager, pages := f.opts.KV.(platform.Pager)
	if !pages {
		return nil
	}
	for _, m := range f.mirrors {
		if m.nearPrefix == "" {
			continue
		}
		page, err := pager.ListPage(ctx, m.nearPrefix, "", true)
		if err != nil {
			f.opts.Logger.Debug("A list call failed", "prefix", m.nearPrefix, "error", err)
			continue // the listing that follows retries
		}
		if len(page.Entries) >= minNear {
			found = m
			f.startLoad(ctx, m, page.Entries)
		}
	}
	return found
}

// startFromPeers asks the peers that the near keys name for copies, so that daemons that restart together do
// not all read the same entries from the key-value service. A daemon that is to list the near mirror reads all
// entries from the service for the others. What a daemon has not got within startPatience it lists.
func (f *Follower) startFromPeers(ctx context.Context) {
	near := f.readNear(ctx)
	if near == nil || f.opts.Lists(near.prefix) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for ctx.Err() == nil {
		for _, m := range f.mirrors {
			if !m.InSync() {
				f.opts.AskPeer(ctx, m.prefix)
			}
		}
		if f.canServe() {
			return
		}
		_ = sleep.For(ctx, startAskInterval) // the loop checks ctx
	}
}

// canServe reports whether the first mirror is in sync and no paged one is empty.
func (f *Follower) canServe() bool {
	for _, m := range f.mirrors {
		if m.paged && m.isEmpty() {
			return false
		}
	}
	return f.mirrors[0].InSync()
}

// startLoad applies the first page of a listing and gets the rest in the background. A mirror that was in
// sync stays so while peers relay changes, because their copies contain what changed meanwhile.
func (f *Follower) startLoad(ctx context.Context, m *Mirror, first []platform.Entry) {
	if m.InSync() && f.opts.Relayed() > 0 {
		return
	}
	afterOutage := f.afterOutage()
	m.applyPage(first, afterOutage)
	if running := f.loads[m]; running != nil && !isClosed(running) {
		return
	}
	done := make(chan struct{})
	f.loads[m] = done
	go func() {
		defer close(done)
		f.load(ctx, m, afterOutage)
	}()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitLoads returns when all loads have ended.
func (f *Follower) awaitLoads() {
	for _, done := range f.loads {
		<-done
	}
}

// load brings a mirror into sync with a peer's copy or a complete listing. It returns when the mirror is in
// sync or ctx ends. afterOutage is that of listAll.
func (f *Follower) load(ctx context.Context, m *Mirror, afterOutage bool) {
	started := time.Now()
	patience := minLoadPatience + rand.N(minLoadPatience)
	for ctx.Err() == nil {
		if m.InSync() {
			f.opts.Logger.Info("The follower has all keys of a prefix", "prefix", m.prefix, "after_ms", time.Since(started).Milliseconds())
			return
		}
		if f.opts.Lists(m.prefix) || time.Since(started) > patience {
			f.listAll(ctx, m, afterOutage)
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		f.opts.AskPeer(askCtx, m.prefix)
		cancel()
		if !m.InSync() {
			_ = sleep.For(ctx, askInterval/2+rand.N(askInterval)) // the loop checks ctx
		}
	}
}

// listAll applies a complete listing of a mirror. afterOutage says whether an outage ended just before the
// load began: entries that were written again since may be missing from the first pages.
func (f *Follower) listAll(ctx context.Context, m *Mirror, afterOutage bool) {
	var entries []platform.Entry
	var at platform.Revision
	err := f.retry(ctx, func() (err error) {
		entries, at, err = f.opts.KV.List(ctx, m.prefix)
		return err
	})
	if err == nil { // otherwise ctx has ended, or a peer's copy is to be expected
		m.applyListing(content{entries: entries, complete: at, afterOutage: afterOutage})
	}
}
