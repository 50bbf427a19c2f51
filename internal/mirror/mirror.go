// Package mirror keeps a copy of the keys below one prefix of the platform's key-value
// service.
//
// It lists once and then watches. It survives a service that is down, slow or refuses
// this process, and one that has dropped the history that a watch would go on from. What
// was known stays until the service says otherwise: an outage removes nothing. A daemon
// that the service does not answer takes copies from its peers meanwhile (Copies).
package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/pause"
	"github.com/bluebellscale/bluebellscale/internal/platform"
)

const (
	// defaultWait bounds one watch. A watch can be cut without a word; each then begins
	// anew after its wait, and tells its peers what it finds.
	defaultWait = 8 * time.Second
	minPause    = 100 * time.Millisecond // between failed calls, at first
	maxPause    = time.Second
	// returnGrace is how long after an outage a removal may be of a lease that ran out in
	// it, with its owner alive. What is removed later has left.
	returnGrace = time.Second
	// outageAfter is how long calls must fail to count as an outage. A watch that is cut
	// and goes on at once is none.
	outageAfter = 500 * time.Millisecond
)

// Update is a change of the copy.
type Update struct {
	Entries []platform.Entry // changed; all there are, if Full
	Full    bool
	// Lapsing is set in the time after an outage in which a removed entry may be one
	// that lapsed with its owner alive.
	Lapsing bool
}

// Options of New.
type Options struct {
	KV     platform.KV
	Prefix string
	// Wait returns the longest wait of one watch; nil: 8 s. The waits differ by chance, so
	// that of some daemons one soon finds that all their watches were cut.
	Wait func() time.Duration
	// Gather returns how long to wait after a change for more, so that many changes at
	// once don't cost a call each; nil: not at all.
	Gather func() time.Duration
	Apply  func(Update) // called from one goroutine
	Logger hclog.Logger
}

// Mirror follows one prefix.
type Mirror struct {
	o         Options
	failing   time.Time // since when calls fail; zero: they don't
	connected atomic.Bool
	wake      chan struct{}

	mu        sync.Mutex
	entries   map[string]platform.Entry // as read; deleted ones are kept as such for a while
	newest    platform.Revision         // of all changes that are known
	lapseEnds time.Time
}

// New returns a mirror that has read nothing yet.
func New(o Options) *Mirror {
	if o.Wait == nil {
		o.Wait = func() time.Duration { return defaultWait }
	}
	if o.Gather == nil {
		o.Gather = func() time.Duration { return 0 }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("mirror").With("prefix", o.Prefix)
	return &Mirror{o: o, wake: make(chan struct{}, 1), entries: map[string]platform.Entry{}}
}

// Connected reports whether the last call succeeded, so that the copy is as new as the
// service's answers.
func (m *Mirror) Connected() bool { return m.connected.Load() }

// Refresh asks for a new listing, for a process that stood still and must not trust what
// it knows.
func (m *Mirror) Refresh() {
	m.connected.Store(false)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		at, err := m.list(ctx)
		for err == nil {
			at, err = m.watch(ctx, at)
		}
		if err != nil && ctx.Err() == nil {
			m.o.Logger.Debug("The prefix is listed anew", "cause", err)
		}
	}
	return nil
}

var errRefresh = errors.New("mirror: a new listing is asked for")

func (m *Mirror) list(ctx context.Context) (platform.Revision, error) {
	var entries []platform.Entry
	var at platform.Revision
	err := m.retried(ctx, func() (err error) {
		entries, at, err = m.o.KV.List(ctx, m.o.Prefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	m.takeAll(entries, at, m.lapsing())
	return at, nil
}

// watch waits for changes once. After a failure the prefix is listed anew: a list answers
// at once, so that the end of an outage is known when it comes and not when the next watch
// has waited its time.
func (m *Mirror) watch(ctx context.Context, at platform.Revision) (platform.Revision, error) {
	cut, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.cutOnRefresh(cut, cancel)
	longest := m.o.Wait()
	entries, next, err := m.o.KV.Watch(cut, m.o.Prefix, at, longest/2+rand.N(longest/2))
	switch {
	case err != nil && ctx.Err() != nil:
		return at, ctx.Err()
	case err != nil && cut.Err() != nil:
		return at, errRefresh
	case err != nil:
		m.connected.Store(false)
		if !errors.Is(err, platform.ErrCompacted) {
			m.failed(err)
		}
		return at, err
	}
	m.connected.Store(true)
	if len(entries) > 0 {
		m.takeSome(entries, m.lapsing())
		_ = pause.For(ctx, m.o.Gather()) // the loop asks the context itself
	}
	return next, nil
}

func (m *Mirror) cutOnRefresh(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-m.wake:
		cancel()
	case <-ctx.Done():
	}
}

func (m *Mirror) lapsing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.lapseEnds)
}

// retried calls until it succeeds or ctx ends.
func (m *Mirror) retried(ctx context.Context, call func() error) error {
	next := minPause
	for {
		err := call()
		if err == nil {
			m.succeeded()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		m.connected.Store(false)
		m.failed(err)
		_ = pause.For(ctx, next/2+rand.N(next/2)) // the loop asks the context itself
		next = min(2*next, maxPause)
	}
}

func (m *Mirror) succeeded() {
	m.connected.Store(true)
	if m.failing.IsZero() {
		return
	}
	lasted := time.Since(m.failing)
	m.failing = time.Time{}
	if lasted >= outageAfter {
		m.mu.Lock()
		m.lapseEnds = time.Now().Add(returnGrace)
		m.mu.Unlock()
	}
	m.o.Logger.Info("The key-value service answers again", "failed_for_ms", lasted.Milliseconds())
}

func (m *Mirror) failed(err error) {
	if !m.failing.IsZero() {
		return
	}
	m.failing = time.Now()
	m.o.Logger.Warn("The key-value service does not answer", "error", err)
}
