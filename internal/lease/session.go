package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// session is the key-value service's lease that all leases held by this process depend on.
type session struct {
	id       platform.LeaseID
	revision platform.Revision // of its key

	mu       sync.Mutex
	validity validity
}

func (s *session) remaining(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validity.remaining(now)
}

// minEpoch returns the lowest epoch of a lease under the session. A record that the key-value
// service lost may have had any epoch of an earlier era. The epochs of an era begin above all of
// these, whatever the restored record contains.
func (s *session) minEpoch() uint64 { return uint64(platform.NewRevision(s.revision.Era(), 0)) }

// recordRenewal records a successful keep-alive and the time at which it was sent.
func (s *session) recordRenewal(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.After(s.validity.sent) {
		s.validity.sent = sent
	}
}

// Heartbeat renews the session, or starts one if there is none, and completes releases that
// could not be written before. Run calls it; tests call it directly.
func (m *Manager) Heartbeat(ctx context.Context) error {
	if err := m.renew(ctx); err != nil {
		return err
	}
	m.repairUnresolved(ctx)
	return nil
}

func (m *Manager) renew(ctx context.Context) error {
	m.renewMu.Lock()
	defer m.renewMu.Unlock()
	s := m.current()
	if s == nil {
		return m.startSession(ctx)
	}
	sent := m.opts.Now()
	err := m.opts.KV.KeepAlive(ctx, s.id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		m.loseSession(s, "The session expired")
		return m.startSession(ctx)
	case err != nil:
		m.CheckDeadline()
		return errors.Mark(err, ErrUnavailable)
	}
	s.recordRenewal(sent)
	return nil
}

// startSession obtains a platform lease and attaches the session key to it. The key must exist
// before any record refers to the session, because other processes interpret its absence as the
// end of the session.
func (m *Manager) startSession(ctx context.Context) error {
	sent := m.opts.Now()
	id, err := m.opts.KV.GrantLease(ctx, m.opts.TTL)
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	value, _ := json.Marshal(m.self()) // plain fields: can't fail
	at, err := m.opts.KV.CompareAndSwap(ctx, sessionPrefix+string(id), 0, value, id)
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	s := &session{id: id, revision: at, validity: validity{sent: sent, ttl: m.opts.TTL, margin: m.opts.Margin}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session = s
	m.opts.Logger.Info("The session started", "session", id)
	return nil
}

// CheckDeadline ends the session and its leases if the session was not renewed in time, even if
// the key-value service still has it. A holder that missed the deadline must acquire its names
// again, under higher epochs.
func (m *Manager) CheckDeadline() {
	s := m.current()
	if s != nil && s.remaining(m.opts.Now()) <= 0 {
		m.loseSession(s, "The session was not renewed in time")
	}
}

// current returns the session, or nil.
func (m *Manager) current() *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session
}

// maxIdleHeartbeats is how many consecutive heartbeats a session is kept without a held name.
const maxIdleHeartbeats = 2 * heartbeatsPerTTL

// closeIfIdle ends a session under which no name has been held for maxIdleHeartbeats, and reports
// whether there is no session to renew. The number of calls to the key-value service therefore
// grows with the holders of names and not with all processes. The next Acquire starts a new
// session.
//
// closeIfIdle does not wait for a running claim. With a slow key-value service, waiting would delay the
// renewal until the held leases expire.
func (m *Manager) closeIfIdle(ctx context.Context) bool {
	if !m.acquireMu.TryLock() {
		return false
	}
	defer m.acquireMu.Unlock()
	m.mu.Lock()
	used := len(m.held)+len(m.unresolved) > 0
	none := m.session == nil
	m.idleHeartbeats++
	if used {
		m.idleHeartbeats = 0
	}
	idle := m.idleHeartbeats
	m.mu.Unlock()
	if used || none || idle < maxIdleHeartbeats {
		return none && !used
	}
	if err := m.Close(ctx); err != nil {
		m.opts.Logger.Warn("Failed to close the idle session; it will expire", "error", err)
	}
	return true
}

// loseSession ends a session that expired or missed its deadline, and records the loss.
func (m *Manager) loseSession(s *session, reason string) {
	if m.endSession(s) {
		m.opts.Metrics.Counter("sessions_lost").Inc(1)
		m.opts.Logger.Warn(reason, "session", s.id)
	}
}

// endSession ends a session and all its leases. It returns false if the session had ended before.
func (m *Manager) endSession(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != s {
		return false
	}
	m.session = nil
	m.formerSessions[s.id] = struct{}{}
	clear(m.unresolved)
	for name, l := range m.held {
		l.end()
		delete(m.held, name)
	}
	return true
}
