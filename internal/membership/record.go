package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

const (
	alive   = peer.MemberState_MEMBER_STATE_ALIVE
	suspect = peer.MemberState_MEMBER_STATE_SUSPECT
	leaving = peer.MemberState_MEMBER_STATE_LEAVING
	dead    = peer.MemberState_MEMBER_STATE_DEAD
)

// version orders the records of one member. A later field counts only if the earlier ones
// are equal: a higher incarnation is a new process, leaving is permanent for an
// incarnation, and a higher heartbeat refutes a suspicion.
type version struct {
	incarnation uint64
	leaving     bool
	heartbeat   uint64
	suspect     bool
}

func versionOf(incarnation, heartbeat uint64, state peer.MemberState) version {
	return version{
		incarnation: incarnation,
		leaving:     state == leaving,
		heartbeat:   heartbeat,
		suspect:     state == suspect || state == dead,
	}
}

func versionOfMember(m *peer.Member) version {
	return versionOf(m.Incarnation, m.Heartbeat, m.State)
}

func versionOfDigest(d *peer.MemberDigest) version {
	return versionOf(d.Incarnation, d.Heartbeat, d.State)
}

// supersedes reports whether v replaces w.
func (v version) supersedes(w version) bool {
	if v.incarnation != w.incarnation {
		return v.incarnation > w.incarnation
	}
	if v.leaving != w.leaving {
		return v.leaving
	}
	if v.heartbeat != w.heartbeat {
		return v.heartbeat > w.heartbeat
	}
	return v.suspect && !w.suspect
}

// entry holds another member's record and this daemon's observations of the member. The
// record is shared between daemons; the times are local. A daemon never broadcasts that a
// member is dead: each daemon waits for the refutation itself, so that a daemon that
// declared all others dead during a network partition does not spread this afterwards.
type entry struct {
	record          *peer.Member // state alive, suspect or leaving; replaced, never modified
	failedSince     time.Time    // first failed exchange since the last successful one; zero: none
	failures        int          // failed exchanges since the last successful one
	suspectSince    time.Time    // zero: not suspect
	deadSince       time.Time    // zero: not dead
	suspicionSentAt time.Time    // when this daemon last broadcast its suspicion
	unlistedSince   time.Time    // missing from the VM list; zero: listed or unknown
}

// state returns the member's state in this daemon's view.
func (e *entry) state() peer.MemberState {
	switch {
	case !e.deadSince.IsZero():
		return dead
	case e.record.State == leaving:
		return leaving
	case !e.suspectSince.IsZero():
		return suspect
	default:
		return alive
	}
}

// localRecord returns the record with the state in this daemon's view.
func (e *entry) localRecord() *peer.Member {
	if e.state() == e.record.State {
		return e.record
	}
	m := proto.CloneOf(e.record)
	m.State = e.state()
	return m
}

// replace stores a newer record.
func (e *entry) replace(m *peer.Member, now time.Time) {
	restarted := m.Incarnation > e.record.Incarnation
	e.record = m
	if restarted {
		e.clearFailures()
		e.suspicionSentAt = time.Time{}
	}
	if m.State == suspect {
		e.beginSuspicion(now)
		return
	}
	// The record is alive or leaving, but a daemon that cannot reach the member itself
	// keeps its own suspicion.
	if e.failedSince.IsZero() || restarted {
		e.clearSuspicion()
	}
}

func (e *entry) beginSuspicion(now time.Time) {
	if e.suspectSince.IsZero() {
		e.suspectSince = now
	}
}

func (e *entry) clearSuspicion() {
	e.suspectSince = time.Time{}
	e.deadSince = time.Time{}
}

func (e *entry) recordFailure(now time.Time) {
	e.failures++
	if e.failedSince.IsZero() {
		e.failedSince = now
	}
}

func (e *entry) clearFailures() {
	e.failures = 0
	e.failedSince = time.Time{}
}

// unresponsive reports whether the member has not answered this daemon for at least limit.
// A single failed exchange is not enough, however long ago it was.
func (e *entry) unresponsive(now time.Time, limit time.Duration) bool {
	return e.failures >= minFailures && now.Sub(e.failedSince) >= limit
}

// recordSuccess records that the member answered an exchange.
func (e *entry) recordSuccess() {
	e.clearFailures()
	if e.record.State != suspect {
		e.clearSuspicion()
	}
}

func toDigest(m *peer.Member) *peer.MemberDigest {
	return &peer.MemberDigest{Id: m.Id, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, State: m.State}
}
