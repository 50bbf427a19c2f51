package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// Request returns the membership part of an exchange with a peer.
func (c *Core) Request(to Peer) *peer.ExchangeRequest {
	c.exchanges++
	r := &peer.ExchangeRequest{From: c.self.Id, Updates: c.takeRumours()}
	// A suspect or dead member must hear of it to answer.
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

// digest covers this daemon and all members that are not dead here.
func (c *Core) digest() []*peer.MemberDigest {
	digest := []*peer.MemberDigest{toDigest(c.self)}
	for _, e := range c.entries.sorted {
		if e.deadSince.IsZero() {
			digest = append(digest, toDigest(e.record))
		}
	}
	return digest
}

// takeRumours returns the news for one message.
func (c *Core) takeRumours() []*peer.Member {
	var news []*peer.Member
	for _, id := range c.rumours.take(maxRumours) {
		if m := c.record(id); m != nil {
			news = append(news, m)
		}
	}
	return news
}

// record returns a member's record, nil if it is not known.
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

// OnExchange takes a peer's request and returns the answer.
func (c *Core) OnExchange(now time.Time, r *peer.ExchangeRequest) *peer.ExchangeResponse {
	c.mergeAll(now, r.Updates)
	response := &peer.ExchangeResponse{From: c.self.Id}
	if len(r.Digest) > 0 {
		response.Updates, response.Wanted = c.compare(now, r.Digest)
	}
	response.Updates = c.addUpdates(response.Updates, c.takeRumours())
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

// compare returns what the sender of a digest lacks, and what is lacking here.
func (c *Core) compare(now time.Time, digest []*peer.MemberDigest) (updates []*peer.Member, wanted []string) {
	named := make(map[string]bool, len(digest))
	for _, d := range digest {
		named[d.Id] = true
		if d.Id == c.self.Id {
			c.answerSuspicion(versionOfDigest(d), c.self.PeerAddress)
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
		case ours.after(theirs):
			updates = append(updates, m)
		case theirs.after(ours):
			wanted = append(wanted, d.Id)
		}
	}
	if !named[c.self.Id] {
		updates = append(updates, c.Self())
	}
	for _, e := range c.entries.sorted {
		if !named[e.record.Id] && e.deadSince.IsZero() {
			updates = append(updates, e.record)
		}
	}
	return updates, wanted
}

// OnReply takes a peer's answer. It returns the records that the peer asked for; they go
// to it in one more exchange.
func (c *Core) OnReply(now time.Time, to Peer, r *peer.ExchangeResponse) []*peer.Member {
	if r.From == c.self.Id {
		return nil
	}
	c.noteContact(now)
	c.mergeAll(now, r.Updates)
	if e, ok := c.entries.get(r.From); ok && e.record.PeerAddress == to.Address {
		before := e.state()
		e.answered()
		c.noteState(before, e)
	}
	var wanted []*peer.Member
	for _, id := range r.Wanted {
		if m := c.record(id); m != nil {
			wanted = append(wanted, m)
		}
	}
	return wanted
}

// noteContact notes that somebody answered.
//
// The failure: this daemon was cut off from everybody and found all others dead. When
// the cut ends it would find them alive one by one, as it tries one of the dead now and
// then. If nobody at all answered for some time, the fault was on this side, so the first
// answer takes back the suspicions of its own; whoever is really gone is found again.
func (c *Core) noteContact(now time.Time) {
	silence := now.Sub(c.contactAt)
	c.contactAt = now
	if silence < c.params.SuspectAfter {
		return
	}
	for _, e := range c.entries.sorted {
		before := e.state()
		if !e.failedSince.IsZero() {
			e.answered()
			c.noteState(before, e)
		}
	}
}

// OnFailure notes that a peer did not answer an exchange.
func (c *Core) OnFailure(now time.Time, to Peer) {
	e, ok := c.entries.get(to.ID)
	if !ok || e.record.PeerAddress != to.Address {
		return
	}
	e.failed(now)
	if e.deadSince.IsZero() && !slices.Contains(c.retry, to.ID) {
		c.retry = append(c.retry, to.ID)
	}
}

// mergeAll takes the records of one message. More of them than news in a message come
// from the comparison with a digest: what is new here is old elsewhere, and a fleet that
// starts at once would tell all of it again.
func (c *Core) mergeAll(now time.Time, records []*peer.Member) {
	news := len(records) <= maxRumours
	for _, m := range records {
		if c.merge(now, m) && news {
			c.spread(m.Id)
		}
	}
}

// merge takes a record if it is newer than the one held, and tells whether it did.
func (c *Core) merge(now time.Time, m *peer.Member) bool {
	if m.State == dead {
		m = suspectCopy(m)
	}
	if m.Id == c.self.Id {
		c.answerSuspicion(versionOfMember(m), m.PeerAddress)
		return false
	}
	e, known := c.entries.get(m.Id)
	if !known {
		// A suspect that is unknown here was forgotten or is about to be.
		if m.State == suspect {
			return false
		}
		c.join(m)
		return true
	}
	if !versionOfMember(m).after(versionOfMember(e.record)) {
		return false
	}
	before := e.state()
	e.replace(m, now)
	c.noteState(before, e)
	return true
}

func (c *Core) join(m *peer.Member) {
	c.entries.add(&entry{record: m})
	// Anywhere in the order, so that not all daemons turn to the new one at once.
	c.order = slices.Insert(c.order, c.rng.IntN(len(c.order)+1), m.Id)
	c.changes++
}

func (c *Core) noteState(before peer.MemberState, e *entry) {
	if after := e.state(); after != before {
		c.changes++
		// Peers must stop to send a leaving daemon new work.
		c.urgent = c.urgent || after == leaving
	}
}

// answerSuspicion reacts to what others hold of this daemon: a suspicion is answered by a
// higher heartbeat, and a record of an earlier process with this id by a higher
// incarnation. The latter happens if the wall clock was set back between two starts.
//
// The failure: an old process of this id still runs elsewhere. The one with the lower
// incarnation must not outbid the other; it finds out that it was replaced.
func (c *Core) answerSuspicion(theirs version, address string) {
	ours := versionOfMember(c.self)
	if !theirs.after(ours) {
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
	c.spread(c.self.Id)
}
