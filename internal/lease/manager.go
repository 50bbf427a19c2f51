package lease

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	defaultTTL    = 10 * time.Second
	defaultMargin = 2 * time.Second
	beatsPerTTL   = 3
	checksPerTTL  = 20
)

// Options of NewManager.
type Options struct {
	KV      platform.KV
	Self    request.DaemonID
	Address string        // peer address of this process, told to others
	TTL     time.Duration // of the session; zero: 10 s
	Margin  time.Duration // for clock rates and delays, taken off the TTL; zero: 2 s
	// OwnsAddress is set by a process that listens at Address: another one with this Self
	// and Address has ended, or it would listen there still. What it held is free at once.
	OwnsAddress bool
	// WaitAfterTakeover is how long the new holder of a name that was not released
	// waits before MayAct allows an order: at least the longest order timeout.
	WaitAfterTakeover time.Duration
	// Restored returns when this process learnt that the service had come back from a copy that
	// may lack what was written last, and whether it did; nil: it never does.
	Restored func() (at time.Time, ok bool)
	Now      func() time.Time // nil: time.Now, which carries the monotonic clock
	Logger   hclog.Logger
	Metrics  tally.Scope
}

// Manager holds names for one process. It is safe for concurrent use.
type Manager struct {
	opts Options

	acquiring sync.Mutex // serialises Acquire: one claim of a name at a time; taken before beating
	beating   sync.Mutex // serialises renewals

	mu        sync.Mutex
	session   *session // nil: none
	held      map[string]*Lease
	unsettled map[string]platform.Revision  // names whose record may wrongly name this session, with the revision that the write in question expected
	former    map[platform.LeaseID]struct{} // sessions of this process that it gave up
	idle      int                           // beats in a row at which nothing was held
}

// NewManager returns a manager without a session; the first Beat or Acquire starts one.
func NewManager(opts Options) *Manager {
	if opts.TTL <= 0 {
		opts.TTL = defaultTTL
	}
	if opts.Margin <= 0 {
		opts.Margin = defaultMargin
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Restored == nil {
		opts.Restored = func() (time.Time, bool) { return time.Time{}, false }
	}
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	opts.Logger = opts.Logger.Named("lease")
	opts.Metrics = opts.Metrics.SubScope("lease")
	return &Manager{
		opts:      opts,
		held:      map[string]*Lease{},
		unsettled: map[string]platform.Revision{},
		former:    map[platform.LeaseID]struct{}{},
	}
}

// Run renews the session until ctx ends. Another goroutine watches the deadline, so
// that a renewal stuck in the service does not hide that the time is up.
func (m *Manager) Run(ctx context.Context) error {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		every(ctx, m.opts.TTL/checksPerTTL, m.CheckDeadline)
	}()
	m.beatOnce(ctx)
	every(ctx, m.opts.TTL/beatsPerTTL, func() { m.beatOnce(ctx) })
	<-watched
	return nil
}

func (m *Manager) beatOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TTL)
	defer cancel()
	if m.rest(ctx) {
		return
	}
	if err := m.Heartbeat(ctx); err != nil {
		m.opts.Logger.Warn("Session not renewed", "error", err)
	}
}

func every(ctx context.Context, d time.Duration, do func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the session and with it all leases: others can take them at once.
func (m *Manager) Close(ctx context.Context) error {
	s := m.current()
	if s == nil {
		return nil
	}
	if m.drop(s) {
		m.opts.Logger.Info("Session closed", "session", s.id)
	}
	return errors.Wrap(m.opts.KV.RevokeLease(ctx, s.id), "revoke session")
}

// Acquire takes a name, or reports ErrHeld with the holder, or ErrUnavailable. A name
// that this process holds already is returned as it is.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	m.acquiring.Lock()
	defer m.acquiring.Unlock()
	s, err := m.ensureSession(ctx)
	if err != nil {
		return nil, err
	}
	if l := m.lookup(name); l != nil {
		return l, nil
	}
	if err := m.checkSettled(); err != nil {
		return nil, err
	}
	current, revision, err := m.read(ctx, name)
	if err != nil {
		return nil, err
	}
	takeover, err := m.checkFree(ctx, current, s)
	if err != nil {
		return nil, err
	}
	return m.claim(ctx, name, s, current, revision, takeover)
}

// checkSettled refuses claims for one TTL after the service came back from a copy. A lease of
// before may be missing there while its holder, which has not heard of the return, relies on it
// still; it was renewed last before the return.
func (m *Manager) checkSettled() error {
	at, ok := m.opts.Restored()
	if left := m.opts.TTL - m.opts.Now().Sub(at); ok && left > 0 {
		return errors.Mark(errors.Newf("lease: the service has come back from a copy; claims wait for %s", left), ErrUnavailable)
	}
	return nil
}

func (m *Manager) ensureSession(ctx context.Context) (*session, error) {
	m.CheckDeadline()
	if s := m.current(); s != nil {
		return s, nil
	}
	if err := m.renew(ctx); err != nil {
		return nil, err
	}
	if s := m.current(); s != nil {
		return s, nil
	}
	return nil, ErrUnavailable
}

func (m *Manager) lookup(name string) *Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[name]
}

func (m *Manager) read(ctx context.Context, name string) (record, platform.Revision, error) {
	e, err := m.opts.KV.Get(ctx, recordPrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, errors.Mark(err, ErrUnavailable)
	}
	r, err := decodeRecord(e.Value)
	return r, e.Revision, err
}

// checkFree reports whether a name may be claimed, and whether that takes it over
// from a holder that did not release it. A session key that is gone never comes back,
// so what is read here stays true until the claim is written.
func (m *Manager) checkFree(ctx context.Context, r record, s *session) (takeover bool, err error) {
	if r.Session == "" || r.Session == s.id {
		return false, nil
	}
	if m.wasMine(r.Session) || m.opts.OwnsAddress && r.Holder == m.opts.Self && r.Address == m.opts.Address {
		return true, nil
	}
	_, err = m.opts.KV.Get(ctx, sessionPrefix+string(r.Session))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return true, nil
	case err != nil:
		return false, errors.Mark(err, ErrUnavailable)
	}
	return false, &HeldError{Holder: r.holder()}
}

func (m *Manager) wasMine(id platform.LeaseID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.former[id]
	return ok
}

func (m *Manager) claim(ctx context.Context, name string, s *session, current record, revision platform.Revision, takeover bool) (*Lease, error) {
	next := current.next(m.self(), s.id)
	next.Epoch = max(next.Epoch, s.leastEpoch())
	got, err := m.opts.KV.CompareAndSwap(ctx, recordPrefix+name, revision, next.encode(), "")
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil, heldBy(conflict)
	}
	if err != nil {
		m.unsettle(name, revision)
		return nil, errors.Mark(err, ErrUnavailable)
	}
	if got.Era() != s.revision.Era() {
		// The service has come back from a copy, and knows nothing of the session.
		return nil, errors.Mark(errors.New("lease: claimed in an era after its session's"), ErrUnavailable)
	}
	l := &Lease{manager: m, name: name, epoch: next.Epoch, session: s, revision: got, done: make(chan struct{})}
	forgotten := m.mayHaveForgotten(s, current)
	if takeover || forgotten {
		l.actAfter = m.opts.Now().Add(m.opts.WaitAfterTakeover)
		l.lapsed = current.Holder
	}
	if forgotten {
		l.lapsed = UnknownHolder
	}
	return l, m.keep(l)
}

// mayHaveForgotten reports whether the service may have lost the record of a later holder: it has
// come back from a copy, and nobody has claimed the name since. The record's epoch tells its era;
// its revision does not, since a copy's entries have those of the new era.
func (m *Manager) mayHaveForgotten(s *session, r record) bool {
	_, returned := m.opts.Restored()
	return returned && r.Epoch < s.leastEpoch()
}

// keep notes a lease unless its session ended while it was claimed.
func (m *Manager) keep(l *Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != l.session {
		l.end()
		return ErrUnavailable
	}
	m.held[l.name] = l
	delete(m.unsettled, l.name)
	m.opts.Metrics.Counter("acquired").Inc(1)
	m.opts.Logger.Info("Lease acquired", "name", l.name, "epoch", l.epoch)
	return nil
}

func heldBy(conflict *platform.ConflictError) error {
	r, err := decodeRecord(conflict.Current.Value)
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return &HeldError{Holder: r.holder()}
}

func (m *Manager) release(ctx context.Context, l *Lease) error {
	m.mu.Lock()
	ours := m.held[l.name] == l
	if ours {
		delete(m.held, l.name)
		m.unsettled[l.name] = l.revision
	}
	m.mu.Unlock()
	if !ours {
		return nil
	}
	free := record{Epoch: l.epoch}
	_, err := m.opts.KV.CompareAndSwap(ctx, recordPrefix+l.name, l.revision, free.encode(), "")
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		if names(conflict.Current, l.session.id) {
			return nil // still unsettled: the next beat frees it
		}
	default:
		return errors.Mark(err, ErrUnavailable)
	}
	m.settle(l.name)
	return nil
}

// names reports whether an entry is a record of this session.
func names(e platform.Entry, session platform.LeaseID) bool {
	r, err := decodeRecord(e.Value)
	return err == nil && r.Session == session
}

func (m *Manager) unsettle(name string, expected platform.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unsettled[name] = expected
}

func (m *Manager) settle(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unsettled, name)
}

// cleanUp frees names whose record may still name this session after a write with
// unknown outcome: the session stays alive, so nobody else could ever take them.
func (m *Manager) cleanUp(ctx context.Context) {
	m.acquiring.Lock()
	defer m.acquiring.Unlock()
	s := m.current()
	for _, u := range m.unsettledNames() {
		if s == nil || m.free(ctx, s, u) != nil {
			return
		}
	}
}

// unsettledName is a name with the revision that its unsettled write expected.
type unsettledName struct {
	name     string
	expected platform.Revision
}

// free settles one name. A record at the expected revision is written again although
// it looks free, so that the delayed write can't land later. A record that moved on and
// names another session is left alone: a write would take the holder's revision away.
func (m *Manager) free(ctx context.Context, s *session, u unsettledName) error {
	r, revision, err := m.read(ctx, u.name)
	if err != nil {
		return err
	}
	ours := r.Session == s.id
	if !ours && revision != u.expected {
		m.settle(u.name)
		return nil
	}
	if ours {
		r = r.released()
	}
	_, err = m.opts.KV.CompareAndSwap(ctx, recordPrefix+u.name, revision, r.encode(), "")
	if err == nil {
		m.settle(u.name)
	}
	return err
}

func (m *Manager) unsettledNames() []unsettledName {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []unsettledName
	for _, name := range sortedKeys(m.unsettled) {
		out = append(out, unsettledName{name: name, expected: m.unsettled[name]})
	}
	return out
}

// Holders returns the holders of all held names below prefix. It costs two calls,
// however many names there are.
func (m *Manager) Holders(ctx context.Context, prefix string) (map[string]Holder, error) {
	records, _, err := m.opts.KV.List(ctx, recordPrefix+prefix)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	sessions, _, err := m.opts.KV.List(ctx, sessionPrefix)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	live := make(map[string]bool, len(sessions))
	for _, e := range sessions {
		live[strings.TrimPrefix(e.Key, sessionPrefix)] = true
	}
	out := map[string]Holder{}
	for _, e := range records {
		r, err := decodeRecord(e.Value)
		if err == nil && live[string(r.Session)] {
			out[strings.TrimPrefix(e.Key, recordPrefix)] = r.holder()
		}
	}
	return out, nil
}

func (m *Manager) self() Holder { return Holder{ID: m.opts.Self, Address: m.opts.Address} }
