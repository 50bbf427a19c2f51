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
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	// defaultWatchTimeout bounds one watch. A watch connection can fail silently; the follower
	// then detects missed changes with its next watch, and the daemon reports them to its peers.
	defaultWatchTimeout = 8 * time.Second
	minBackoff          = 100 * time.Millisecond // first delay between failed calls
	// maxBackoff is the longest delay, multiplied by the number of daemons that try as well.
	maxBackoff = time.Second
	// recoveryGrace is how long after the listing that ends an outage a removed entry may belong to
	// a lease that expired in the outage while its owner was alive. The owner of an entry that is
	// removed later has left.
	recoveryGrace = time.Second
	// outageThreshold is how long calls must fail to count as an outage. An interrupted watch
	// that resumes at once does not count.
	outageThreshold = 500 * time.Millisecond
	// watchJitter is the random fraction of a watch's timeout. It prevents the watches of many
	// daemons from ending at the same time.
	watchJitter = 0.2
	// shortestWatch is the fraction of a watch's timeout, as its inverse, that is left after a long batch delay.
	shortestWatch = 4
	// relayCheckInterval is how often a follower checks whether peers still relay changes.
	relayCheckInterval = 200 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	KV platform.KV
	// Prefix is the prefix of all watched keys. The prefix of each mirror must begin with it.
	// Empty: all keys.
	Prefix string
	// WatchTimeout returns the longest duration of one watch; nil: 8 s. It bounds the delay of a
	// change, because a watch whose connection failed silently is detected after this time.
	WatchTimeout func() time.Duration
	// BatchDelay returns how long to wait for more changes after a change, so that many
	// concurrent changes don't cost a call each; nil: no wait.
	BatchDelay func() time.Duration
	// Relayed returns for how long the follower need not watch unless peers report anew, because they relay all
	// changes; zero or less: it must watch. nil: always.
	Relayed func() time.Duration
	// OnAnswer is called when the key-value service answers the follower; nil: nobody is told.
	OnAnswer func()
	// OnApplied is called when a mirror has applied changes; nil: nobody is told.
	OnApplied func()
	// SettleTime returns how long a process waits after its first listing for peers that relay changes, before
	// it watches; nil: not at all.
	SettleTime func() time.Duration
	// Pollers returns how many daemons, including this one, try to reach a service that does not answer them,
	// and would tell this one of its return; nil: one.
	Pollers func() int
	// Lists reports whether this daemon reads all pages of a paged mirror from the key-value service; nil:
	// always. Other daemons ask peers for a copy with AskPeer first.
	Lists func(prefix string) bool
	// AskPeer asks one peer for its copy of a prefix and applies it. It need not find one that has it.
	AskPeer func(ctx context.Context, prefix string)
	Logger  hclog.Logger
}

// Follower keeps mirrors up to date with the key-value service.
type Follower struct {
	opts      Options
	mirrors   []*Mirror
	connected atomic.Bool
	watching  atomic.Bool   // the follower watches, and its last watch succeeded
	answers   ReportTracker // answers of the service that have begun
	wake      chan struct{}
	listed    atomic.Bool   // the first listing is done
	refreshes atomic.Uint64 // listings requested so far
	refreshed atomic.Uint64 // value of refreshes at the start of the last complete listing
	// firstRefreshed is the value of refreshes at the start of the last listing of the first mirror.
	firstRefreshed atomic.Uint64
	compacted      bool                      // the history of the last watch is gone; used by Run only
	loads          map[*Mirror]chan struct{} // running loads of paged mirrors, closed at their end; used by Run only

	mu            sync.Mutex
	recovering    bool      // an outage or a restore happened, and no listing has completed since
	graceEnds     time.Time // until then, a removal may be an expiry in an outage
	failingSince  time.Time // time of the first failed call; zero: calls succeed
	outageEndedAt time.Time // end of the last outage; zero: there was none
	listingSince  time.Time // start of the running listing; zero: none runs
}

// State describes a follower's connection to the key-value service.
type State struct {
	Connected  bool  `json:"connected"`            // the last call succeeded
	FailingFor int64 `json:"failing_ms,omitempty"` // milliseconds in which no call succeeded
	ListingFor int64 `json:"listing_ms,omitempty"` // milliseconds since the start of the running listing
}

// New returns a follower. It reads nothing before Run.
func New(o Options) *Follower {
	if o.WatchTimeout == nil {
		o.WatchTimeout = func() time.Duration { return defaultWatchTimeout }
	}
	if o.BatchDelay == nil {
		o.BatchDelay = func() time.Duration { return 0 }
	}
	if o.Relayed == nil {
		o.Relayed = func() time.Duration { return 0 }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.OnApplied == nil {
		o.OnApplied = func() {}
	}
	if o.OnAnswer == nil {
		o.OnAnswer = func() {}
	}
	if o.SettleTime == nil {
		o.SettleTime = func() time.Duration { return 0 }
	}
	if o.Pollers == nil {
		o.Pollers = func() int { return 1 }
	}
	if o.Lists == nil {
		o.Lists = func(string) bool { return true }
	}
	if o.AskPeer == nil {
		o.AskPeer = func(context.Context, string) {}
	}
	o.Logger = o.Logger.Named("mirror")
	return &Follower{opts: o, wake: make(chan struct{}, 1), loads: map[*Mirror]chan struct{}{}}
}

// AddMirror adds a copy of the keys below a prefix. Prefixes of mirrors must not overlap. apply
// is called from one goroutine at a time. AddMirror must be called before Run. Run lists and
// applies mirrors in the order in which they were added.
func (f *Follower) AddMirror(prefix string, apply func(Update)) *Mirror {
	m := &Mirror{prefix: prefix, apply: apply, onApplied: f.opts.OnApplied, afterOutage: f.afterOutage, entries: map[string]platform.Entry{}}
	f.mirrors = append(f.mirrors, m)
	return m
}

// AddFreshMirror is AddMirror for a prefix of whose entries a process may not learn late: its first listing is as new as all later ones.
func (f *Follower) AddFreshMirror(prefix string, apply func(Update)) *Mirror {
	m := f.AddMirror(prefix, apply)
	m.fresh = true
	return m
}

// Connected reports whether the last call succeeded, which means that the copies are as new as the
// key-value service's responses.
func (f *Follower) Connected() bool { return f.connected.Load() }

// Watching reports whether the follower receives changes from the key-value service itself.
func (f *Follower) Watching() bool { return f.watching.Load() }

// AnswerAge returns the age of the newest answer of the key-value service, and false if the follower does not receive
// changes from the service itself. The mirrors have all changes as of that answer, or receive them: a large answer
// counts from its beginning, so that peers don't all read it from the service while it is transferred.
func (f *Follower) AnswerAge(now time.Time) (age time.Duration, ok bool) {
	age, ok = f.answers.Age(now)
	return age, ok && f.Watching()
}

// recordAnswer records that the key-value service answered at a time.
func (f *Follower) recordAnswer(at time.Time) {
	now := time.Now()
	f.answers.Record(now, now.Sub(at))
	f.opts.OnAnswer()
}

// OutageEndedAt returns the end of the last outage of the key-value service that this daemon noticed; zero: there was none.
func (f *Follower) OutageEndedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageEndedAt
}

// State returns the state of the follower's connection to the key-value service.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Connected: f.Connected(), FailingFor: msSince(f.failingSince), ListingFor: msSince(f.listingSince)}
}

// msSince returns the milliseconds since t, or zero if t is the zero time.
func msSince(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return time.Since(t).Milliseconds()
}

// Refresh requests a new listing. A process calls it after a stall, when its copies may be stale. Peers'
// copies do not replace that listing: reports of peers that were received in the stall are old.
func (f *Follower) Refresh() {
	f.connected.Store(false)
	f.refreshes.Add(1)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Refreshing reports whether the first mirror has not been listed since the last call of Refresh.
func (f *Follower) Refreshing() bool { return f.firstRefreshed.Load() != f.refreshes.Load() }

// ServiceRestored notifies the follower that the key-value service was restored from a backup. The
// follower lists all keys again and treats missing entries as possibly lost while their owners are
// alive.
func (f *Follower) ServiceRestored() {
	f.mu.Lock()
	f.recovering = true
	f.mu.Unlock()
	f.opts.Logger.Warn("The key-value service was restored from a backup")
	f.Refresh()
}

// Run lists and watches the key-value service until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer f.awaitLoads()
	f.startFromPeers(ctx)
	for first := true; ctx.Err() == nil; first = false {
		err := f.list(ctx)
		if first && err == nil {
			f.backOff(ctx, f.opts.SettleTime())
		}
		for err == nil || errors.Is(err, errRelayed) {
			if f.opts.Relayed() > 0 {
				err = f.waitWhileRelayed(ctx)
				continue
			}
			if err != nil {
				break // peers relayed changes for a moment only
			}
			f.watching.Store(true)
			err = f.watch(ctx)
			f.watching.Store(err == nil)
		}
		f.watching.Store(false)
		f.compacted = errors.Is(err, platform.ErrCompacted)
		if err != nil && ctx.Err() == nil {
			f.opts.Logger.Info("The follower lists all keys again", "cause", err)
		}
	}
	return nil
}

var (
	errRefreshRequested = errors.New("mirror: a new listing was requested")
	// errRelayed ends a listing during which peers began to relay changes. Their copies replace it.
	errRelayed = errors.New("mirror: peers relay changes")
)

// list reads the prefixes one by one, in the order in which their mirrors were added. Each prefix is
// applied as soon as it was read. In a single listing of all keys, the desired state would have to wait
// for the pages of hundreds of replicas, and would be read again if the call for the last page failed.
func (f *Follower) list(ctx context.Context) error {
	started, refreshes := time.Now(), f.refreshes.Load()
	f.setListingSince(started)
	defer f.setListingSince(time.Time{})
	total := 0
	for _, m := range f.mirrors {
		n, err := f.listMirror(ctx, m)
		if err != nil {
			return err
		}
		total += n
	}
	f.listed.Store(true)
	f.refreshed.Store(refreshes)
	f.endRecovery()
	f.opts.Logger.Info("The follower listed all keys", "entries", total, "after_ms", time.Since(started).Milliseconds())
	return nil
}

// isKnown reports whether a mirror need not be listed: a peer gave a copy of it at the start, a watch still
// reports its changes, or a part is known and the rest is loaded in the background. After a stall or a restore
// all mirrors are listed.
func (f *Follower) isKnown(ctx context.Context, m *Mirror) bool {
	switch {
	case f.compacted || f.refreshes.Load() != f.refreshed.Load():
		return false
	case m.InSync():
		return m.paged || !f.listed.Load()
	case m.paged && !m.isEmpty():
		f.startLoad(ctx, m, nil)
		return true
	}
	return false
}

// listMirror reads a prefix, or the first page of a paged mirror, and returns the number of entries.
func (f *Follower) listMirror(ctx context.Context, m *Mirror) (int, error) {
	if f.isKnown(ctx, m) {
		return 0, nil
	}
	var page platform.Page
	callCtx, refreshes := ctx, f.refreshes.Load()
	if m == f.mirrors[0] {
		// The watch that follows returns what the other mirrors lack at once.
		callCtx = platform.WithOnAnswer(ctx, func() { f.recordAnswer(time.Now()) })
	}
	err := f.retry(ctx, func() (err error) {
		page, err = f.firstPage(callCtx, m)
		if err != nil {
			f.opts.Logger.Debug("A list call failed", "prefix", m.prefix, "error", err)
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	if !page.More {
		m.applyListing(content{entries: page.Entries, complete: page.Revision, afterOutage: f.afterOutage()})
		if m == f.mirrors[0] {
			f.firstRefreshed.Store(refreshes)
		}
		return len(page.Entries), nil
	}
	f.startLoad(ctx, m, page.Entries)
	return len(page.Entries), nil
}

// firstPage returns all entries of a mirror, or the first page of a paged one. The first listing of a
// process may be some seconds old, except that of the first mirror and of fresh ones: the watch or the copies of
// peers that follow it bring what it lacks.
func (f *Follower) firstPage(ctx context.Context, m *Mirror) (platform.Page, error) {
	pager, pages := f.opts.KV.(platform.Pager)
	stale := !f.listed.Load() && m != f.mirrors[0] && !m.fresh
	if pages && m.paged {
		return pager.ListPage(ctx, m.prefix, "", stale)
	}
	if pages && stale {
		if page, err := pager.ListPage(ctx, m.prefix, "", stale); err != nil || !page.More {
			return page, err
		}
	}
	entries, at, err := f.opts.KV.List(ctx, m.prefix)
	return platform.Page{Entries: entries, Revision: at}, err
}

func (f *Follower) setListingSince(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listingSince = since
}

// watch waits for changes once. After an error the caller lists all keys again: a list call
// returns at once and detects the end of an outage immediately, whereas a new watch would detect
// it at its timeout.
func (f *Follower) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelOnRefresh(watchCtx, cancel)
	at := f.watchFrom()
	wait, sent := f.nextWatchTimeout(), time.Now()
	answerCtx := platform.WithOnAnswer(watchCtx, func() { f.recordAnswer(earlier(time.Now(), sent.Add(wait+WatchSlack))) })
	entries, next, err := f.opts.KV.Watch(answerCtx, f.opts.Prefix, at, wait)
	switch {
	case err != nil && ctx.Err() != nil:
		return ctx.Err()
	case err != nil && watchCtx.Err() != nil:
		return errRefreshRequested
	case err != nil:
		f.connected.Store(false)
		if !errors.Is(err, platform.ErrCompacted) {
			f.recordFailure(err)
		}
		return err
	}
	f.connected.Store(true)
	for _, m := range f.mirrors {
		m.applyWatched(m.matching(entries), at, next, f.afterOutage())
	}
	if len(entries) > 0 {
		_ = sleep.For(ctx, f.opts.BatchDelay()) // the loop checks ctx
	}
	return nil
}

// watchFrom returns the revision from which a watch misses no change of any mirror in sync.
func (f *Follower) watchFrom() platform.Revision {
	from, found := platform.Revision(0), false
	for _, m := range f.mirrors {
		if at, inSync := m.watchFrom(); inSync && (!found || at < from) {
			from, found = at, true
		}
	}
	return from
}

// waitWhileRelayed blocks without calls to the key-value service while peers relay all changes. The
// next watch continues from the revision up to which the mirrors are complete.
func (f *Follower) waitWhileRelayed(ctx context.Context) error {
	f.watching.Store(false)
	f.recordSuccess()
	f.endRecovery()
	for {
		left := f.opts.Relayed()
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(min(left, relayCheckInterval)):
		case <-f.wake:
			return errRefreshRequested
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextWatchTimeout returns the timeout of the next watch. The time since the last answer counts, so that answers
// are never further apart than one watch.
func (f *Follower) nextWatchTimeout() time.Duration {
	longest := f.opts.WatchTimeout()
	if age, ok := f.answers.Age(time.Now()); ok && age < longest {
		longest = max(longest-age, longest/shortestWatch)
	}
	return longest - time.Duration(watchJitter*rand.Float64()*float64(longest))
}

func (f *Follower) cancelOnRefresh(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-f.wake:
		cancel()
	case <-ctx.Done():
	}
}

func (f *Follower) afterOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recovering || time.Now().Before(f.graceEnds)
}

// endRecovery starts recoveryGrace when the first listing after an outage is complete. It starts
// no earlier, because only then all prefixes were read and owners whose entries are missing can
// be distinguished from those that left.
func (f *Follower) endRecovery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recovering {
		f.recovering = false
		f.graceEnds = time.Now().Add(recoveryGrace)
	}
}

// retry repeats call with backoff until it succeeds or ctx ends, or until peers relay changes to a daemon
// that listed all keys before.
func (f *Follower) retry(ctx context.Context, call func() error) error {
	backoff := minBackoff
	for {
		err := call()
		if err == nil {
			f.recordSuccess()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.connected.Store(false)
		f.recordFailure(err)
		if f.backOff(ctx, backoff/2+rand.N(backoff/2)) {
			return errRelayed
		}
		backoff = min(2*backoff, maxBackoff*time.Duration(f.opts.Pollers()))
	}
}

// mayRelyOnPeers reports whether peers' copies can replace a listing.
func (f *Follower) mayRelyOnPeers() bool {
	return f.listed.Load() && f.refreshes.Load() == f.refreshed.Load()
}

// backOff sleeps, and reports whether peers relay changes instead.
func (f *Follower) backOff(ctx context.Context, d time.Duration) (relayed bool) {
	for end := time.Now().Add(d); ; {
		if f.mayRelyOnPeers() && f.opts.Relayed() > 0 {
			return true
		}
		left := time.Until(end)
		if left <= 0 || sleep.For(ctx, min(relayCheckInterval, left)) != nil {
			return false
		}
	}
}

func (f *Follower) recordSuccess() {
	f.connected.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return
	}
	now := time.Now()
	outage := now.Sub(f.failingSince)
	f.failingSince = time.Time{}
	if outage >= outageThreshold {
		f.recovering, f.outageEndedAt = true, now
	}
	f.opts.Logger.Info(loglines.KVRecovered, "failed_for_ms", outage.Milliseconds())
}

func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failingSince.IsZero() {
		return
	}
	f.failingSince = time.Now()
	f.opts.Logger.Warn(loglines.KVUnavailable, "error", err)
}
