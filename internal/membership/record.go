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

// version is what orders two records of one member. Later fields count only where the
// earlier ones are equal: a higher incarnation is a new process; leaving holds for the
// rest of an incarnation; a higher heartbeat answers a suspicion.
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

// after tells whether v replaces w.
func (v version) after(w version) bool {
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

// entry is one other member with what this daemon saw of it. The record is shared news;
// the times are this daemon's own. That a member is dead is never told to others: each
// daemon waits for the answer to the suspicion itself, so that a daemon that was cut off
// and declared all others dead does not spread this when it comes back.
type entry struct {
	record       *peer.Member // state alive, suspect or leaving; replaced, never changed in place
	failedSince  time.Time    // first of the exchanges failed since the last that worked; zero: none
	failures     int          // exchanges failed since the last that worked
	suspectSince time.Time    // zero: not suspect
	deadSince    time.Time    // zero: not dead
	rumouredAt   time.Time    // when this daemon last told others of its suspicion
	goneSince    time.Time    // missing from the VM list; zero: listed or not known
}

// state is how the member counts here.
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

// view returns the record with the state as it counts here.
func (e *entry) view() *peer.Member {
	if e.state() == e.record.State {
		return e.record
	}
	m := proto.CloneOf(e.record)
	m.State = e.state()
	return m
}

// replace takes a newer record.
func (e *entry) replace(m *peer.Member, now time.Time) {
	restarted := m.Incarnation > e.record.Incarnation
	e.record = m
	if restarted {
		e.clearFailures()
		e.rumouredAt = time.Time{}
	}
	if m.State == suspect {
		e.beginSuspicion(now)
		return
	}
	// The record is alive or leaving again, but a daemon that can't reach the member
	// itself keeps its own suspicion.
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

func (e *entry) failed(now time.Time) {
	e.failures++
	if e.failedSince.IsZero() {
		e.failedSince = now
	}
}

func (e *entry) clearFailures() {
	e.failures = 0
	e.failedSince = time.Time{}
}

// silent tells whether the member stopped to answer this daemon for some time. One
// exchange that failed is not enough, however long ago.
func (e *entry) silent(now time.Time, limit time.Duration) bool {
	return e.failures >= minFailures && now.Sub(e.failedSince) >= limit
}

// answered notes that the member answered an exchange.
func (e *entry) answered() {
	e.clearFailures()
	if e.record.State != suspect {
		e.clearSuspicion()
	}
}

func toDigest(m *peer.Member) *peer.MemberDigest {
	return &peer.MemberDigest{Id: m.Id, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, State: m.State}
}
