package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// Request returns the membership part of an exchange request to a peer.
func (c *Core) Request(to Peer) *peer.ExchangeRequest {
	c.exchanges++
	r := &peer.ExchangeRequest{From: c.self.Id, Updates: c.takeUpdates()}
	// A suspect or dead member must receive the suspicion to be able to refute it.
	if e, ok := c.entries.get(to.ID); ok && e.state() != alive && e.record.State != leaving {
		r.Updates = append(r.Updates, suspectCopy(e.record))
	}
	period := uint64(c.entries.len()/digestBudget + 1)
	if c.exchanges%period == 0 {
		r.Digest = c.digest()
	}
	return r
}

func suspectCopy(m *peer.Member) *peer.Member {
	copied := proto.CloneOf(m)
	copied.State = suspect
	return copied
}

// digest returns the versions of this daemon and of all members that it does not consider
// dead.
func (c *Core) digest() []*peer.MemberDigest {
	digest := []*peer.MemberDigest{toDigest(c.self)}
	for _, e := range c.entries.sorted {
		if e.deadSince.IsZero() {
			digest = append(digest, toDigest(e.record))
		}
	}
	return digest
}

// takeUpdates returns the queued records for one message.
func (c *Core) takeUpdates() []*peer.Member {
	var updates []*peer.Member
	for _, id := range c.updates.take(maxUpdates) {
		if m := c.record(id); m != nil {
			updates = append(updates, m)
		}
	}
	return updates
}

// record returns a member's record, or nil if the member is unknown.
func (c *Core) record(id string) *peer.Member {
	if id == c.self.Id {
		return c.Self()
	}
	e, ok := c.entries.get(id)
	if !ok {
		return nil
	}
	return e.record
}

// OnExchange handles a peer's exchange request and returns the response.
func (c *Core) OnExchange(now time.Time, r *peer.ExchangeRequest) *peer.ExchangeResponse {
	c.mergeAll(now, r.Updates)
	response := &peer.ExchangeResponse{From: c.self.Id}
	if len(r.Digest) > 0 {
		response.Updates, response.Wanted = c.compare(now, r.Digest)
	}
	response.Updates = c.addUpdates(response.Updates, c.takeUpdates())
	if _, known := c.entries.get(r.From); !known && r.From != c.self.Id && !slices.Contains(response.Wanted, r.From) {
		response.Wanted = append(response.Wanted, r.From)
	}
	return response
}

func (c *Core) addUpdates(updates, more []*peer.Member) []*peer.Member {
	for _, m := range more {
		if !slices.ContainsFunc(updates, func(u *peer.Member) bool { return u.Id == m.Id }) {
			updates = append(updates, m)
		}
	}
	return updates
}

// compare returns the records that the sender of a digest lacks, and the ids of the records
// that this daemon lacks.
func (c *Core) compare(now time.Time, digest []*peer.MemberDigest) (updates []*peer.Member, wanted []string) {
	listed := make(map[string]bool, len(digest))
	for _, d := range digest {
		listed[d.Id] = true
		if d.Id == c.self.Id {
			c.refute(versionOfDigest(d), c.self.PeerAddress)
		}
		m := c.record(d.Id)
		if m == nil {
			if d.State == alive {
				wanted = append(wanted, d.Id)
			}
			continue
		}
		theirs, ours := versionOfDigest(d), versionOfMember(m)
		switch {
		case ours.supersedes(theirs):
			updates = append(updates, m)
		case theirs.supersedes(ours):
			wanted = append(wanted, d.Id)
		}
	}
	if !listed[c.self.Id] {
		updates = append(updates, c.Self())
	}
	for _, e := range c.entries.sorted {
		if !listed[e.record.Id] && e.deadSince.IsZero() {
			updates = append(updates, e.record)
		}
	}
	return updates, wanted
}

// OnReply handles a peer's response. It returns the records that the peer requested, which
// the caller sends to it in a second exchange.
func (c *Core) OnReply(now time.Time, to Peer, r *peer.ExchangeResponse) []*peer.Member {
	if r.From == c.self.Id {
		return nil
	}
	c.recordContact(now)
	c.mergeAll(now, r.Updates)
	if e, ok := c.entries.get(r.From); ok && e.record.PeerAddress == to.Address {
		before := e.state()
		e.recordSuccess()
		c.recordStateChange(before, e)
	}
	var wanted []*peer.Member
	for _, id := range r.Wanted {
		if m := c.record(id); m != nil {
			wanted = append(wanted, m)
		}
	}
	return wanted
}

// recordContact records that a peer answered.
//
// A daemon that was partitioned from all its peers has declared them dead. After the
// partition heals, its reconnect attempts would find them alive only one by one. If no
// peer answered for SuspectAfter, the fault was on this daemon's side, so the first
// response clears all suspicions that rest on its own failed exchanges. Members that are
// really down are detected again.
func (c *Core) recordContact(now time.Time) {
	sinceContact := now.Sub(c.lastContact)
	c.lastContact = now
	if sinceContact < c.params.SuspectAfter {
		return
	}
	for _, e := range c.entries.sorted {
		before := e.state()
		if !e.failedSince.IsZero() {
			e.recordSuccess()
			c.recordStateChange(before, e)
		}
	}
}

// OnFailure records that a peer did not answer an exchange.
func (c *Core) OnFailure(now time.Time, to Peer) {
	e, ok := c.entries.get(to.ID)
	if !ok || e.record.PeerAddress != to.Address {
		return
	}
	e.recordFailure(now)
	if e.deadSince.IsZero() && !slices.Contains(c.retry, to.ID) {
		c.retry = append(c.retry, to.ID)
	}
}

// mergeAll merges the records of one message and broadcasts the changed ones. A message
// with more than maxUpdates records comes from a comparison with a digest. Its records are
// new only to this daemon, and in a fleet that starts all at once every daemon would
// broadcast all of them again.
func (c *Core) mergeAll(now time.Time, records []*peer.Member) {
	rebroadcast := len(records) <= maxUpdates
	for _, m := range records {
		if c.merge(now, m) && rebroadcast {
			c.queueUpdate(m.Id)
		}
	}
}

// merge stores a record if it is newer than the one held, and reports whether it did.
func (c *Core) merge(now time.Time, m *peer.Member) bool {
	if m.State == dead {
		m = suspectCopy(m)
	}
	if m.Id == c.self.Id {
		c.refute(versionOfMember(m), m.PeerAddress)
		return false
	}
	e, known := c.entries.get(m.Id)
	if !known {
		// An unknown suspect has been removed here or will soon be removed by its peers.
		if m.State == suspect || !c.hasRoom(m) {
			return false
		}
		c.addMember(m)
		return true
	}
	if !versionOfMember(m).supersedes(versionOfMember(e.record)) {
		return false
	}
	before := e.state()
	e.replace(m, now)
	c.recordStateChange(before, e)
	return true
}

const (
	// maxMembers bounds the daemons that are known. Anybody who reaches the port of peers can name some that don't exist.
	maxMembers = 4096
	// maxMemberBytes bounds the record of one.
	maxMemberBytes = 1024
)

// hasRoom reports whether one more member may be known.
func (c *Core) hasRoom(m *peer.Member) bool {
	return c.entries.len() < maxMembers && proto.Size(m) <= maxMemberBytes
}

func (c *Core) addMember(m *peer.Member) {
	c.entries.add(&entry{record: m})
	// The random position keeps the daemons from all contacting the new member at once.
	c.order = slices.Insert(c.order, c.rng.IntN(len(c.order)+1), m.Id)
	c.changes++
}

func (c *Core) recordStateChange(before peer.MemberState, e *entry) {
	if after := e.state(); after != before {
		c.changes++
		// Peers must promptly stop sending new work to a leaving daemon.
		c.urgent = c.urgent || after == leaving
	}
}

// refute responds to a peer's record of this daemon that supersedes its own. It answers a
// suspicion with a higher heartbeat, and a record of an earlier process with this id with a
// higher incarnation. The latter occurs if the wall clock was set back between two starts.
//
// An old process with this id may still run at another address. The process with the lower
// incarnation must not raise it above the other's; it marks itself as replaced instead.
func (c *Core) refute(theirs version, address string) {
	ours := versionOfMember(c.self)
	if !theirs.supersedes(ours) {
		return
	}
	replacing := proto.CloneOf(c.self)
	if theirs.incarnation > ours.incarnation || theirs.leaving != ours.leaving {
		if address != c.self.PeerAddress && !theirs.suspect && !theirs.leaving {
			c.replaced = true
			return
		}
		replacing.Incarnation = theirs.incarnation + 1
	} else {
		replacing.Heartbeat = max(ours.heartbeat, theirs.heartbeat) + 1
	}
	c.self = replacing
	c.replaced = false
	c.changes++
	c.queueUpdate(c.self.Id)
}
