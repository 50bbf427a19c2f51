package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/platform"
)

const (
	// defaultWait bounds one watch. A watch can be cut without a word; each then begins
	// anew after its wait, and tells its peers what it finds.
	defaultWait = 8 * time.Second
	minPause    = 100 * time.Millisecond // between failed calls, at first
	maxPause    = time.Second
	// returnGrace is how long after the listing that ends an outage a removal may be of a lease
	// that ran out in it, with its owner alive. What is removed later has left.
	returnGrace = time.Second
	// outageAfter is how long calls must fail to count as an outage. A watch that is cut
	// and goes on at once is none.
	outageAfter = 500 * time.Millisecond
	// spread is the part of a watch's wait that is left to chance, so that the watches of
	// many daemons don't end together.
	spread = 0.2
	// relayedEvery is how often a process looks whether peers still tell it of changes.
	relayedEvery = 100 * time.Millisecond
)

// Options of New.
type Options struct {
	KV platform.KV
	// Prefix is that of all keys that are watched, and begins the prefix of each mirror; empty:
	// all there are.
	Prefix string
	// Wait returns the longest wait of one watch; nil: 8 s. A watch that was cut without a
	// word is noticed after it, so that it bounds how late a change may be known.
	Wait func() time.Duration
	// Gather returns how long to wait after a change for more, so that many changes at
	// once don't cost a call each; nil: not at all.
	Gather func() time.Duration
	// Relayed reports whether peers tell of all changes now, so that none is asked for; nil: never.
	Relayed func() bool
	Logger  hclog.Logger
}

// Follower keeps mirrors up to date.
type Follower struct {
	o         Options
	mirrors   []*Mirror
	connected atomic.Bool
	watching  atomic.Bool // the service is asked for changes, and has answered last
	wake      chan struct{}

	mu        sync.Mutex
	returning bool      // the first listing after an outage runs
	lapseEnds time.Time // after it, a removal is none of a lease that ran out in an outage
	failing   time.Time // since when calls fail; zero: they don't
	listing   time.Time // since when a listing runs; zero: none does
}

// State tells how a follower stands with the service.
type State struct {
	Connected  bool  `json:"connected"`            // the last call succeeded
	FailingFor int64 `json:"failing_ms,omitempty"` // milliseconds in which no call succeeded
	ListingFor int64 `json:"listing_ms,omitempty"` // milliseconds since a listing began that is not complete
}

// New returns a follower that has read nothing yet.
func New(o Options) *Follower {
	if o.Wait == nil {
		o.Wait = func() time.Duration { return defaultWait }
	}
	if o.Gather == nil {
		o.Gather = func() time.Duration { return 0 }
	}
	if o.Relayed == nil {
		o.Relayed = func() bool { return false }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("mirror")
	return &Follower{o: o, wake: make(chan struct{}, 1)}
}

// Mirror adds a copy of the keys below a prefix, which no other mirror may share. apply is
// called from one goroutine at a time. It must be called before Run. Mirrors are listed in the
// order in which they were added: the first is in force first.
func (f *Follower) Mirror(prefix string, apply func(Update)) *Mirror {
	m := &Mirror{prefix: prefix, apply: apply, lapsing: f.lapsing, entries: map[string]platform.Entry{}}
	f.mirrors = append(f.mirrors, m)
	return m
}

// Connected reports whether the last call succeeded, so that the copies are as new as the
// service's answers.
func (f *Follower) Connected() bool { return f.connected.Load() }

// Watches reports whether the service tells this process itself of changes.
func (f *Follower) Watches() bool { return f.watching.Load() }

// State returns how the follower stands with the service.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Connected: f.Connected(), FailingFor: msSince(f.failing), ListingFor: msSince(f.listing)}
}

// msSince returns the milliseconds since a moment, zero for the zero moment.
func msSince(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return time.Since(t).Milliseconds()
}

// Refresh asks for a new listing, for a process that stood still and must not trust what
// it knows.
func (f *Follower) Refresh() {
	f.connected.Store(false)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// ServiceReturned tells that the service has come back from a copy of some time ago. All is listed
// anew, and what is missing may have been lost with its owner alive.
func (f *Follower) ServiceReturned() {
	f.mu.Lock()
	f.returning = true
	f.mu.Unlock()
	f.o.Logger.Warn("The key-value service has come back from a copy")
	f.Refresh()
}

// Run follows the service until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		at, err := f.list(ctx)
		for err == nil {
			if f.o.Relayed() {
				err = f.leaveToPeers(ctx)
				continue
			}
			at, err = f.watch(ctx, at)
			f.watching.Store(err == nil)
		}
		f.watching.Store(false)
		if err != nil && ctx.Err() == nil {
			f.o.Logger.Info("All is listed anew", "cause", err)
		}
	}
	return nil
}

var errRefresh = errors.New("mirror: a new listing is asked for")

// list reads all prefixes, one after the other in the order in which their mirrors were added,
// and returns the revision from which a watch misses nothing. Each is in force when it was read:
// with one listing of all, the desired state would wait for the pages of hundreds of replicas,
// and be read anew when a call for the last page fails.
func (f *Follower) list(ctx context.Context) (platform.Revision, error) {
	begun := time.Now()
	f.setListing(begun)
	defer f.setListing(time.Time{})
	var from platform.Revision
	total, tries := 0, 0
	for i, m := range f.mirrors {
		var entries []platform.Entry
		var at platform.Revision
		err := f.retried(ctx, func() (err error) {
			tries++
			entries, at, err = f.o.KV.List(ctx, m.prefix)
			if err != nil {
				f.o.Logger.Debug("A listing fails", "prefix", m.prefix, "after_ms", time.Since(begun).Milliseconds(), "error", err)
			}
			return err
		})
		if err != nil {
			return 0, err
		}
		m.takeAll(content{entries: entries, complete: at, lapsing: f.lapsing()})
		if i == 0 || at < from {
			from = at
		}
		total += len(entries)
	}
	f.returned()
	f.o.Logger.Info("All was listed", "entries", total, "revision", from, "calls", tries, "after_ms", time.Since(begun).Milliseconds())
	return from, nil
}

func (f *Follower) setListing(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listing = since
}

// watch waits for changes once. After a failure all is listed anew: a list answers
// at once, so that the end of an outage is known when it comes and not when the next watch
// has waited its time.
func (f *Follower) watch(ctx context.Context, at platform.Revision) (platform.Revision, error) {
	cut, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cutOnRefresh(cut, cancel)
	entries, next, err := f.o.KV.Watch(cut, f.o.Prefix, at, f.nextWait())
	switch {
	case err != nil && ctx.Err() != nil:
		return at, ctx.Err()
	case err != nil && cut.Err() != nil:
		return at, errRefresh
	case err != nil:
		f.connected.Store(false)
		if !errors.Is(err, platform.ErrCompacted) {
			f.failed(err)
		}
		return at, err
	}
	f.connected.Store(true)
	for _, m := range f.mirrors {
		m.takeSome(m.below(entries), next, f.lapsing())
	}
	if len(entries) > 0 {
		_ = pause.For(ctx, f.o.Gather()) // the loop asks the context itself
	}
	return next, nil
}

// leaveToPeers asks for nothing while peers tell of all changes. What they told is known already
// when a watch goes on from where this process left it.
func (f *Follower) leaveToPeers(ctx context.Context) error {
	f.watching.Store(false)
	tick := time.NewTicker(relayedEvery)
	defer tick.Stop()
	for f.o.Relayed() {
		select {
		case <-tick.C:
		case <-f.wake:
			return errRefresh
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// nextWait returns how long the next watch may wait.
func (f *Follower) nextWait() time.Duration {
	longest := f.o.Wait()
	return longest - time.Duration(spread*rand.Float64()*float64(longest))
}

func (f *Follower) cutOnRefresh(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-f.wake:
		cancel()
	case <-ctx.Done():
	}
}

func (f *Follower) lapsing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returning || time.Now().Before(f.lapseEnds)
}

// returned notes that a listing is complete. The time for lapses begins then: all prefixes were
// read, so that owners of entries that are missing can be told from those that left.
func (f *Follower) returned() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.returning {
		f.returning = false
		f.lapseEnds = time.Now().Add(returnGrace)
	}
}

// retried calls until it succeeds or ctx ends.
func (f *Follower) retried(ctx context.Context, call func() error) error {
	next := minPause
	for {
		err := call()
		if err == nil {
			f.succeeded()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.connected.Store(false)
		f.failed(err)
		_ = pause.For(ctx, next/2+rand.N(next/2)) // the loop asks the context itself
		next = min(2*next, maxPause)
	}
}

func (f *Follower) succeeded() {
	f.connected.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		return
	}
	lasted := time.Since(f.failing)
	f.failing = time.Time{}
	if lasted >= outageAfter {
		f.returning = true
	}
	f.o.Logger.Info(loglines.KVRecovered, "failed_for_ms", lasted.Milliseconds())
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing.IsZero() {
		return
	}
	f.failing = time.Now()
	f.o.Logger.Warn(loglines.KVUnavailable, "error", err)
}
