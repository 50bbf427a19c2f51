package table

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// ErrRead reports that the table could not be read from the key-value service.
var ErrRead = errors.New("table: read failed")

// Timing holds the periods of Run. Zero values stand for the defaults.
type Timing struct {
	WatchWait      time.Duration // maximum duration of one watch; default 2 s
	CallTimeout    time.Duration // timeout of a call, added to WatchWait; default 3 s
	PollInterval   time.Duration // interval at which a daemon checks whether it is a watcher; default 250 ms
	FirstReadDelay time.Duration // a daemon without a confirmation from its peers reads the table itself after this time; default 2 s
	MaxStaleness   time.Duration // a daemon whose replica is staler reads the table itself; default 8 s
	RereadInterval time.Duration // interval at which every daemon reads the table itself, before jitter; default 10 min
	BackoffMin     time.Duration // first backoff after a failed read; default 200 ms
	BackoffMax     time.Duration // maximum backoff after a failed read; default 10 s
}

// DefaultTiming returns the periods that Run uses by default.
func DefaultTiming() Timing { return Timing{}.withDefaults() }

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, fallback time.Duration) {
		if *d == 0 {
			*d = fallback
		}
	}
	set(&t.WatchWait, 2*time.Second)
	set(&t.CallTimeout, 3*time.Second)
	set(&t.PollInterval, 250*time.Millisecond)
	set(&t.FirstReadDelay, 2*time.Second)
	set(&t.MaxStaleness, 8*time.Second)
	set(&t.RereadInterval, 10*time.Minute)
	set(&t.BackoffMin, 200*time.Millisecond)
	set(&t.BackoffMax, 10*time.Second)
	return t
}

// Run reads the table from the key-value service until ctx ends. While watcher returns true,
// the daemon watches the service for changes. Otherwise it reads the table only if its peers
// provide no recent confirmation, and at the long RereadInterval. The number of calls to the service
// thus grows with the number of watchers, not of daemons.
func (r *Replica) Run(ctx context.Context, watcher func() bool) error {
	loop := &runLoop{replica: r, started: r.now(), backoff: backoff.NewExponentialBackOff()}
	loop.backoff.InitialInterval = r.timing.BackoffMin
	loop.backoff.MaxInterval = r.timing.BackoffMax
	loop.lastRead = loop.started
	loop.setRereadJitter()
	for ctx.Err() == nil {
		wait := loop.step(ctx, watcher())
		_ = sleep.For(ctx, wait) // the loop checks ctx.Err
	}
	return ctx.Err()
}

// Read reads all pages from the key-value service once. It serves callers that control the
// clock, such as fault schedules, in place of Run.
func (r *Replica) Read(ctx context.Context) error {
	loop := &runLoop{replica: r, started: r.now()}
	return loop.read(ctx, 0)
}

// runLoop holds the state of one Run.
type runLoop struct {
	replica      *Replica
	started      time.Time
	lastRead     time.Time
	rereadAfter  time.Duration
	listed       bool              // lastRevision is valid
	listInParts  bool              // list by prefix, since a list of all pages failed
	lastRevision platform.Revision // all changes up to this revision were read
	backoff      *backoff.ExponentialBackOff
}

// setRereadJitter spreads the periodic reads of daemons that started at the same time.
func (l *runLoop) setRereadJitter() {
	l.rereadAfter = l.replica.timing.RereadInterval + rand.N(l.replica.timing.RereadInterval/2)
}

// step makes at most one read and returns the delay before the next step.
func (l *runLoop) step(ctx context.Context, watching bool) time.Duration {
	wait := l.replica.timing.WatchWait
	if !watching {
		if !l.needsRead(l.replica.now()) {
			return l.replica.timing.PollInterval
		}
		wait = 0
	}
	if err := l.read(ctx, wait); err != nil {
		if ctx.Err() == nil {
			l.replica.log.Warn("Cannot read table from the key-value service", "error", err)
			l.replica.metrics.Counter("table_read_errors").Inc(1)
		}
		return l.backoff.NextBackOff()
	}
	l.backoff.Reset()
	if watching {
		return 0
	}
	return l.replica.timing.PollInterval
}

// needsRead reports whether a daemon that is not a watcher should read the table itself.
func (l *runLoop) needsRead(now time.Time) bool {
	age := l.replica.Staleness(now)
	if age == NeverConfirmed {
		return now.Sub(l.started) >= l.replica.timing.FirstReadDelay
	}
	return age >= l.replica.timing.MaxStaleness || now.Sub(l.lastRead) >= l.rereadAfter
}

// read applies the changes in the key-value service since the last read. The new confirmation
// carries the time before the call, because the response shows the table at some later moment.
//
// The call has its own timeout, so that a watch on an unresponsive connection ends and is
// retried. The confirmation ages until a call succeeds.
func (l *runLoop) read(ctx context.Context, wait time.Duration) error {
	timeout := wait + l.replica.timing.CallTimeout
	if l.listInParts {
		timeout *= time.Duration(len(listPrefixes()))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := l.replica.now()
	entries, revision, err := l.fetch(ctx, wait)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read table"), ErrRead)
	}
	if l.listed && revision < l.lastRevision {
		// The service was restored from an older backup. The replica keeps the accepted
		// edits that it has applied, and lists all pages again to get the service's state.
		l.listed = false
		return errors.Mark(errors.Newf("key-value service went back from revision %d to %d", l.lastRevision, revision), ErrRead)
	}
	if err := l.replica.mergeEntries(entries, requestedAt); err != nil {
		l.listed = false
		return err
	}
	l.listed = true
	l.lastRevision = revision
	l.lastRead = requestedAt
	l.setRereadJitter()
	return nil
}

func (l *runLoop) fetch(ctx context.Context, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if l.listed {
		return l.replica.kv.Watch(ctx, KeyPrefix, l.lastRevision, wait)
	}
	if l.listInParts {
		return l.listByPrefix(ctx)
	}
	entries, revision, err := l.replica.kv.List(ctx, KeyPrefix)
	// If the service or the link to it is slow, a list of all pages, which has some
	// megabytes, may exceed the call's timeout in every attempt. The next read therefore
	// lists pages by prefix, in parts of a megabyte.
	l.listInParts = err != nil
	return entries, revision, err
}

// listByPrefix lists the pages in several calls. It returns the revision of the first call,
// so that the next watch reports the changes that happened between the calls.
func (l *runLoop) listByPrefix(ctx context.Context) ([]platform.Entry, platform.Revision, error) {
	var all []platform.Entry
	var first platform.Revision
	for i, prefix := range listPrefixes() {
		entries, revision, err := l.replica.kv.List(ctx, prefix)
		if err != nil {
			return nil, 0, err
		}
		if i == 0 {
			first = revision
		}
		all = append(all, entries...)
	}
	l.listInParts = false
	return all, first, nil
}

// mergeEntries merges pages read from the key-value service. If a page can't be decoded, the
// replica is not confirmed, since the page may contain an accepted edit.
func (r *Replica) mergeEntries(entries []platform.Entry, requestedAt time.Time) error {
	var pages []*peer.Page
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Key, KeyPrefix)
		if entry.Deleted {
			r.log.Error("Page was deleted from the key-value service; replica keeps it", "page", name)
			continue
		}
		pages = append(pages, &peer.Page{Name: name, Revision: uint64(entry.Revision), Value: entry.Value})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, rejected := r.merge(pages)
	if rejected > 0 {
		return errors.Mark(errors.Newf("cannot decode %d pages", rejected), ErrRead)
	}
	r.confirm(requestedAt)
	return nil
}
