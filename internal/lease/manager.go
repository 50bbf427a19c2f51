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
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	defaultTTL       = 10 * time.Second
	defaultMargin    = 2 * time.Second
	heartbeatsPerTTL = 3
	checksPerTTL     = 20
)

// Options configures a Manager.
type Options struct {
	KV      platform.KV
	Self    request.DaemonID
	Address string        // peer address of this process, published in its records
	TTL     time.Duration // of the session; zero: 10 s
	Margin  time.Duration // subtracted from TTL to cover clock drift and delays; zero: 2 s
	// OwnsAddress is set by a process that listens at Address. An earlier process with the same
	// Self and Address must have ended, because it would still occupy the address. The names it
	// held are free at once.
	OwnsAddress bool
	// WaitAfterTakeover is how long MayAct returns false for the new holder of a name that was
	// not released. It must be at least the longest order timeout.
	WaitAfterTakeover time.Duration
	// Restored returns when this process detected that the key-value service was restored from a backup,
	// which may lack the last writes, and whether a restore happened; nil: never.
	Restored func() (at time.Time, ok bool)
	// ConfirmEra is called before each claim and returns the lowest epoch of the key-value service's present
	// era. It may detect a restore before this process started. It calls settled to learn whether claims from
	// before a restore that was detected at a time are no longer valid. nil: the era is that of the session.
	ConfirmEra func(ctx context.Context, settled func(detected time.Time) bool) (lowestEpoch uint64, err error)
	Now        func() time.Time // nil: time.Now, whose times include a monotonic reading
	Logger     hclog.Logger
	Metrics    tally.Scope
}

// Manager holds the leases of one process. It is safe for concurrent use.
type Manager struct {
	opts Options

	acquireMu sync.Mutex // serialises Acquire, so that only one claim runs; locked before renewMu
	renewMu   sync.Mutex // serialises renewals of the session

	mu      sync.Mutex
	session *session // nil: none
	held    map[string]*Lease
	// unresolved holds the names whose record may refer to this session although no lease is held: a
	// write had no response, or a release is under way. The value is the revision that the write expected.
	unresolved     map[string]platform.Revision
	formerSessions map[platform.LeaseID]struct{} // earlier sessions of this process that have ended
	idleHeartbeats int                           // consecutive heartbeats without a held name
}

// NewManager returns a manager without a session. The first Heartbeat or Acquire starts one.
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
	if opts.ConfirmEra == nil {
		opts.ConfirmEra = func(context.Context, func(time.Time) bool) (uint64, error) { return 0, nil }
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
		opts:           opts,
		held:           map[string]*Lease{},
		unresolved:     map[string]platform.Revision{},
		formerSessions: map[platform.LeaseID]struct{}{},
	}
}

// Run renews the session until ctx ends. A separate goroutine checks the deadline, so that a
// blocked renewal does not delay the end of the leases.
func (m *Manager) Run(ctx context.Context) error {
	deadlineCheckDone := make(chan struct{})
	go func() {
		defer close(deadlineCheckDone)
		for ctx.Err() == nil {
			m.CheckDeadline()
			_ = sleep.For(ctx, m.deadlineCheckInterval()) // the loop checks ctx
		}
	}()
	m.heartbeatOnce(ctx)
	runEvery(ctx, m.opts.TTL/heartbeatsPerTTL, func() { m.heartbeatOnce(ctx) })
	<-deadlineCheckDone
	return nil
}

// deadlineCheckInterval returns the time until the next check of the deadline. A process without a session
// has none; one that starts meanwhile is checked long before its deadline.
func (m *Manager) deadlineCheckInterval() time.Duration {
	if m.current() == nil {
		return m.opts.TTL / heartbeatsPerTTL
	}
	return m.opts.TTL / checksPerTTL
}

func (m *Manager) heartbeatOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TTL)
	defer cancel()
	if m.closeIfIdle(ctx) {
		return
	}
	if err := m.Heartbeat(ctx); err != nil {
		m.opts.Logger.Warn("Failed to renew the session", "error", err)
	}
}

func runEvery(ctx context.Context, d time.Duration, do func()) {
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

// Close ends the session and all its leases. Other processes can acquire the names at once.
func (m *Manager) Close(ctx context.Context) error {
	s := m.current()
	if s == nil {
		return nil
	}
	if m.endSession(s) {
		m.opts.Logger.Info("The manager closed the session", "session", s.id)
	}
	return errors.Wrap(m.opts.KV.RevokeLease(ctx, s.id), "revoke session")
}

// Acquire acquires a name. It returns a HeldError if another process holds the name, and
// ErrUnavailable if the key-value service gave no definite response. For a name that this process
// holds, it returns the existing lease.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	m.acquireMu.Lock()
	defer m.acquireMu.Unlock()
	m.CheckDeadline()
	if l := m.lookup(name); l != nil {
		return l, nil
	}
	if err := m.checkRestoreWait(); err != nil {
		return nil, err
	}
	current, revision, err := m.read(ctx, name)
	if err != nil {
		return nil, err
	}
	takeover, err := m.checkFree(ctx, current)
	if err != nil {
		return nil, err
	}
	// A process that acquires nothing starts no session, whose start and end would be two writes that end the
	// watches of others.
	s, err := m.ensureSession(ctx)
	if err != nil {
		return nil, err
	}
	lowestEpoch, err := m.opts.ConfirmEra(ctx, m.settled)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	// The calls may have shown a restore that this process did not know of.
	if err := m.checkRestoreWait(); err != nil {
		return nil, err
	}
	return m.claim(ctx, name, s, max(lowestEpoch, s.minEpoch()), current, revision, takeover)
}

// checkRestoreWait refuses claims for one TTL after a restore of the key-value service. The backup may lack
// a lease whose holder has not detected the restore and still relies on the lease. The holder's
// last renewal was before the restore.
func (m *Manager) checkRestoreWait() error {
	at, ok := m.opts.Restored()
	if wait := m.opts.TTL - m.opts.Now().Sub(at); ok && wait > 0 {
		return errors.Mark(errors.Newf("lease: the key-value service was restored from a backup; claims must wait for %s", wait), ErrUnavailable)
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

// settled reports whether claims from before a restore that was detected at a time are no longer valid, and the
// orders under them have ended.
func (m *Manager) settled(detected time.Time) bool {
	return m.opts.Now().Sub(detected) >= m.opts.TTL+m.opts.WaitAfterTakeover
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
	r, err := decodeRecord(e)
	if err != nil {
		m.opts.Metrics.Counter("records_unreadable").Inc(1)
		m.opts.Logger.Warn("A lease record is of another writer", "name", name, "error", err)
		r = record{Epoch: highestEpoch(e.Revision), unreadable: true}
	}
	return r.claimable(e.Revision), e.Revision, nil
}

// checkFree returns an error unless the name of record r may be claimed. takeover reports whether
// the previous holder did not release the name. A removed session key is never created again, so
// the name stays free of that holder until the claim is written.
func (m *Manager) checkFree(ctx context.Context, r record) (takeover bool, err error) {
	if r.unreadable {
		return true, nil // or no process could ever hold the name again
	}
	if s := m.current(); r.Session == "" || s != nil && r.Session == s.id {
		return false, nil
	}
	if m.isFormerSession(r.Session) || m.opts.OwnsAddress && r.Holder == m.opts.Self && r.Address == m.opts.Address {
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

func (m *Manager) isFormerSession(id platform.LeaseID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.formerSessions[id]
	return ok
}

func (m *Manager) claim(ctx context.Context, name string, s *session, lowestEpoch uint64, current record, revision platform.Revision, takeover bool) (*Lease, error) {
	next := current.next(m.self(), s.id)
	next.Epoch = max(next.Epoch, lowestEpoch)
	got, err := m.opts.KV.CompareAndSwap(ctx, recordPrefix+name, revision, next.encode(), "")
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil, heldBy(conflict)
	}
	if err != nil {
		m.markUnresolved(name, revision)
		return nil, errors.Mark(err, ErrUnavailable)
	}
	if got.Era() != s.revision.Era() {
		// The key-value service was restored from a backup that lacks the session.
		return nil, errors.Mark(errors.New("lease: the key-value service was restored between the start of the session and the claim"), ErrUnavailable)
	}
	l := &Lease{manager: m, name: name, epoch: next.Epoch, session: s, revision: got, done: make(chan struct{})}
	recordLost := m.mayHaveLostRecord(lowestEpoch, current)
	if takeover || recordLost {
		l.actAfter = m.opts.Now().Add(m.opts.WaitAfterTakeover)
		l.expiredHolder = current.Holder
	}
	if recordLost || current.unreadable {
		l.expiredHolder = UnknownHolder
	}
	return l, m.addLease(l)
}

// mayHaveLostRecord reports whether the key-value service may have lost the record of a later holder.
// This is the case if the service was restored and no process has claimed the name since. The era of
// the record is derived from its epoch, because restored entries have revisions of the new era.
func (m *Manager) mayHaveLostRecord(lowestEpoch uint64, r record) bool {
	_, restored := m.opts.Restored()
	return restored && r.Epoch < lowestEpoch
}

// addLease adds a lease to the held ones, unless its session ended during the claim.
func (m *Manager) addLease(l *Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != l.session {
		l.end()
		return ErrUnavailable
	}
	m.held[l.name] = l
	delete(m.unresolved, l.name)
	m.opts.Metrics.Counter("acquired").Inc(1)
	m.opts.Logger.Info("The manager acquired a lease", "name", l.name, "epoch", l.epoch)
	return nil
}

func heldBy(conflict *platform.ConflictError) error {
	r, err := decodeRecord(conflict.Current)
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
		m.unresolved[l.name] = l.revision
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
		if isHeldBy(conflict.Current, l.session.id) {
			return nil // the name stays unresolved: the next heartbeat frees it
		}
	default:
		return errors.Mark(err, ErrUnavailable)
	}
	m.resolve(l.name)
	return nil
}

// isHeldBy reports whether an entry is a record that refers to the session.
func isHeldBy(e platform.Entry, session platform.LeaseID) bool {
	r, err := decodeRecord(e)
	return err == nil && r.Session == session
}

func (m *Manager) markUnresolved(name string, expected platform.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresolved[name] = expected
}

func (m *Manager) resolve(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unresolved, name)
}

// repairUnresolved frees names whose records may still refer to this session after a write with
// unknown outcome. Otherwise no process could acquire them while this session is alive.
func (m *Manager) repairUnresolved(ctx context.Context) {
	m.acquireMu.Lock()
	defer m.acquireMu.Unlock()
	s := m.current()
	for _, u := range m.unresolvedNames() {
		if s == nil || m.repair(ctx, s, u) != nil {
			return
		}
	}
}

// unresolvedName is a name whose last write has an unknown outcome, and the revision that the write
// expected.
type unresolvedName struct {
	name     string
	expected platform.Revision
}

// repair resolves one name. A record at the expected revision is written again even if it is free,
// so that a delayed write can't succeed later. A record at another revision that refers to another
// session is not written, because a write would change the revision that its holder expects.
func (m *Manager) repair(ctx context.Context, s *session, u unresolvedName) error {
	r, revision, err := m.read(ctx, u.name)
	if err != nil {
		return err
	}
	ours := r.Session == s.id
	if !ours && revision != u.expected {
		m.resolve(u.name)
		return nil
	}
	if ours {
		r = r.released()
	}
	_, err = m.opts.KV.CompareAndSwap(ctx, recordPrefix+u.name, revision, r.encode(), "")
	if err == nil {
		m.resolve(u.name)
	}
	return err
}

func (m *Manager) unresolvedNames() []unresolvedName {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []unresolvedName
	for _, name := range sortedKeys(m.unresolved) {
		out = append(out, unresolvedName{name: name, expected: m.unresolved[name]})
	}
	return out
}

// Holders returns the holders of all held names below prefix. It makes two calls, irrespective of
// the number of names.
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
		r, err := decodeRecord(e)
		if err == nil && live[string(r.Session)] {
			out[strings.TrimPrefix(e.Key, recordPrefix)] = r.holder()
		}
	}
	return out, nil
}

func (m *Manager) self() Holder { return Holder{ID: m.opts.Self, Address: m.opts.Address} }
