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
	WatchWait      time.Duration // longest wait of one watch; 2 s
	CallTimeout    time.Duration // on top of WatchWait; 3 s
	PollInterval   time.Duration // how often a daemon looks whether it is a watcher; 250 ms
	FirstReadDelay time.Duration // a daemon that peers told nothing reads for itself after this; 2 s
	MaxProofAge    time.Duration // a daemon whose proof is older reads for itself; 8 s
	RereadInterval time.Duration // every daemon reads for itself once in this time; 10 min
	BackoffMin     time.Duration // first pause after a failed read; 200 ms
	BackoffMax     time.Duration // longest pause after a failed read; 10 s
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
	set(&t.MaxProofAge, 8*time.Second)
	set(&t.RereadInterval, 10*time.Minute)
	set(&t.BackoffMin, 200*time.Millisecond)
	set(&t.BackoffMax, 10*time.Second)
	return t
}

// Run reads the table from the service until ctx ends. While watcher returns true this
// daemon waits for changes there; otherwise it reads only when peers leave it without a
// proof, and rarely in any case. The service's calls so grow with the number of watchers,
// not of daemons.
func (r *Replica) Run(ctx context.Context, watcher func() bool) error {
	loop := &runLoop{replica: r, started: r.now(), pause: backoff.NewExponentialBackOff()}
	loop.pause.InitialInterval = r.timing.BackoffMin
	loop.pause.MaxInterval = r.timing.BackoffMax
	loop.lastRead = loop.started
	loop.setRereadJitter()
	for ctx.Err() == nil {
		wait := loop.step(ctx, watcher())
		_ = sleep.For(ctx, wait) // the loop asks the context itself
	}
	return ctx.Err()
}

// Read reads all pages from the service once. Run does so by itself; it is for callers that
// hold the clock, such as fault schedules.
func (r *Replica) Read(ctx context.Context) error {
	loop := &runLoop{replica: r, started: r.now()}
	return loop.read(ctx, 0)
}

// runLoop is the state of one Run.
type runLoop struct {
	replica  *Replica
	started  time.Time
	lastRead time.Time
	reread   time.Duration
	listed   bool              // after is valid
	inParts  bool              // list in several calls, since a list of all failed
	after    platform.Revision // everything up to here was read
	pause    *backoff.ExponentialBackOff
}

// setRereadJitter spreads the rare reads of a fleet that started at once.
func (l *runLoop) setRereadJitter() {
	l.reread = l.replica.timing.RereadInterval + rand.N(l.replica.timing.RereadInterval/2)
}

// step does at most one call and returns how long to wait before the next step.
func (l *runLoop) step(ctx context.Context, watching bool) time.Duration {
	wait := l.replica.timing.WatchWait
	if !watching {
		if !l.due(l.replica.now()) {
			return l.replica.timing.PollInterval
		}
		wait = 0
	}
	if err := l.read(ctx, wait); err != nil {
		if ctx.Err() == nil {
			l.replica.log.Warn("Table was not read", "error", err)
			l.replica.metrics.Counter("table_read_errors").Inc(1)
		}
		return l.pause.NextBackOff()
	}
	l.pause.Reset()
	if watching {
		return 0
	}
	return l.replica.timing.PollInterval
}

// due tells whether a daemon that is no watcher should read for itself.
func (l *runLoop) due(now time.Time) bool {
	age := l.replica.ProofAge(now)
	if age == NeverConfirmed {
		return now.Sub(l.started) >= l.replica.timing.FirstReadDelay
	}
	return age >= l.replica.timing.MaxProofAge || now.Sub(l.lastRead) >= l.reread
}

// read takes what changed in the service. The proof dates from before the call: the
// answer shows the table at some moment after that.
//
// The failure: a connection to the service gone silent. The call has its own timeout, so
// the watch ends and the next one is tried; until one answers, the proof grows old.
func (l *runLoop) read(ctx context.Context, wait time.Duration) error {
	limit := wait + l.replica.timing.CallTimeout
	if l.inParts {
		limit *= time.Duration(len(partPrefixes()))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := l.replica.now()
	entries, revision, err := l.fetch(ctx, wait)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read table"), ErrRead)
	}
	if l.listed && revision < l.after {
		// The failure: the service was restored from an older copy. What was accepted and
		// is in force here stays; everything is listed again to see what the service has.
		l.listed = false
		return errors.Mark(errors.Newf("service went back from revision %d to %d", l.after, revision), ErrRead)
	}
	if err := l.replica.takeEntries(entries, asked); err != nil {
		l.listed = false
		return err
	}
	l.listed = true
	l.after = revision
	l.lastRead = asked
	l.setRereadJitter()
	return nil
}

func (l *runLoop) fetch(ctx context.Context, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if l.listed {
		return l.replica.kv.Watch(ctx, KeyPrefix, l.after, wait)
	}
	if l.inParts {
		return l.listParts(ctx)
	}
	entries, revision, err := l.replica.kv.List(ctx, KeyPrefix)
	// The failure: the service or the link to it is slow, and a list of all pages, some
	// megabytes, does not come within a call's timeout, now or later. The next read asks
	// for parts of a megabyte.
	l.inParts = err != nil
	return entries, revision, err
}

// listParts lists the pages in several calls. What changes between them shows in a watch
// after the revision of the first.
func (l *runLoop) listParts(ctx context.Context) ([]platform.Entry, platform.Revision, error) {
	var all []platform.Entry
	var first platform.Revision
	for i, prefix := range partPrefixes() {
		entries, revision, err := l.replica.kv.List(ctx, prefix)
		if err != nil {
			return nil, 0, err
		}
		if i == 0 {
			first = revision
		}
		all = append(all, entries...)
	}
	l.inParts = false
	return all, first, nil
}

// takeEntries merges pages read from the service. A page that can't be decoded leaves the
// replica without a new proof, since an accepted edit may be in it.
func (r *Replica) takeEntries(entries []platform.Entry, asked time.Time) error {
	var pages []*peer.Page
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Key, KeyPrefix)
		if entry.Deleted {
			r.log.Error("Page was deleted from the service; it is kept here", "page", name)
			continue
		}
		pages = append(pages, &peer.Page{Name: name, Revision: uint64(entry.Revision), Value: entry.Value})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, refused := r.merge(pages)
	if refused > 0 {
		return errors.Mark(errors.Newf("%d pages refused", refused), ErrRead)
	}
	r.confirm(asked)
	return nil
}
