package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// session is the platform lease of this process, which all its names share.
type session struct {
	id       platform.LeaseID
	revision platform.Revision // of its key

	mu       sync.Mutex
	validity validity
}

func (s *session) left(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validity.left(now)
}

// leastEpoch is the least epoch of a lease under the session. A record that the service lost may
// have had any epoch of an earlier era; those of an era begin above all of them, whatever the
// copy tells.
func (s *session) leastEpoch() uint64 { return uint64(platform.NewRevision(s.revision.Era(), 0)) }

// renewed notes a keep-alive that was sent at a time and answered.
func (s *session) renewed(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.After(s.validity.sent) {
		s.validity.sent = sent
	}
}

// Heartbeat renews the session, or starts one if there is none, and finishes releases
// that could not be written before. Run calls it; tests call it themselves.
func (m *Manager) Heartbeat(ctx context.Context) error {
	if err := m.renew(ctx); err != nil {
		return err
	}
	m.cleanUp(ctx)
	return nil
}

func (m *Manager) renew(ctx context.Context) error {
	m.beating.Lock()
	defer m.beating.Unlock()
	s := m.current()
	if s == nil {
		return m.start(ctx)
	}
	sent := m.opts.Now()
	err := m.opts.KV.KeepAlive(ctx, s.id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		m.lose(s, "Session lapsed")
		return m.start(ctx)
	case err != nil:
		m.CheckDeadline()
		return errors.Mark(err, ErrUnavailable)
	}
	s.renewed(sent)
	return nil
}

// start grants a platform lease and attaches the session key to it. The key must
// exist before any record names the session: its absence is what others read as the
// end of the session.
func (m *Manager) start(ctx context.Context) error {
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
	m.opts.Logger.Info("Session started", "session", id)
	return nil
}

// CheckDeadline ends the leases if the session was not renewed in time. The session
// is then given up even if the service still knows it: a holder that was late once
// acquires again, under a higher epoch.
func (m *Manager) CheckDeadline() {
	s := m.current()
	if s != nil && s.left(m.opts.Now()) <= 0 {
		m.lose(s, "Session was not renewed in time")
	}
}

// current returns the session, or nil.
func (m *Manager) current() *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session
}

// idleBeats is how many beats in a row a session is kept although nothing is held.
const idleBeats = 2 * beatsPerTTL

// rest ends a session under which nothing has been held for a while, and reports that
// there is none to renew. The service's calls so grow with the holders of names, not
// with the processes; the next Acquire starts a session.
//
// It does not wait for a claim under way: with a slow service that would hold up the
// renewal, and leases that are held would lapse.
func (m *Manager) rest(ctx context.Context) bool {
	if !m.acquiring.TryLock() {
		return false
	}
	defer m.acquiring.Unlock()
	m.mu.Lock()
	used := len(m.held)+len(m.unsettled) > 0
	none := m.session == nil
	m.idle++
	if used {
		m.idle = 0
	}
	idle := m.idle
	m.mu.Unlock()
	if used || none || idle < idleBeats {
		return none && !used
	}
	if err := m.Close(ctx); err != nil {
		m.opts.Logger.Warn("Idle session not closed; it lapses", "error", err)
	}
	return true
}

// lose drops a session that ended before it was given up.
func (m *Manager) lose(s *session, why string) {
	if m.drop(s) {
		m.opts.Metrics.Counter("sessions_lost").Inc(1)
		m.opts.Logger.Warn(why, "session", s.id)
	}
}

// drop ends a session and all its leases. It reports false if that was done before.
func (m *Manager) drop(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != s {
		return false
	}
	m.session = nil
	m.former[s.id] = struct{}{}
	clear(m.unsettled)
	for name, l := range m.held {
		l.end()
		delete(m.held, name)
	}
	return true
}
