package membership

import (
	"math/bits"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// Peer addresses the daemon that receives an exchange. ID is empty for a seed whose id is
// not known.
type Peer struct {
	ID      string
	Address string // host:port
}

// Core tracks which daemons are live and selects the exchanges to send. It holds no clock
// and no connection, and Params.Seed determines its random choices. Core is not safe for
// concurrent use.
type Core struct {
	self        *peer.Member // immutable like all records; a change replaces it
	params      Params
	rng         *rand.Rand
	entries     entries
	order       []string // ids of members in the order of the next exchanges
	retry       []string // ids of members whose last exchange failed, oldest first
	updates     updateQueue
	seeds       []string
	ticks       uint64
	exchanges   uint64
	lastContact time.Time // last successful exchange with any peer
	urgent      bool
	changes     uint64
	replaced    bool
}

// NewCore returns a Core whose only member is self and that contacts the peer addresses in
// seeds. The incarnation in self is the wall clock at process start, in nanoseconds.
func NewCore(self *peer.Member, seeds []string, params Params) *Core {
	params = params.withDefaults()
	c := &Core{
		params:  params,
		rng:     rand.New(rand.NewPCG(params.Seed, 0x9e3779b97f4a7c15)),
		entries: newEntries(),
		updates: newUpdateQueue(),
		seeds:   slices.Clone(seeds),
	}
	c.self = proto.CloneOf(self)
	c.self.State = alive
	c.queueUpdate(c.self.Id)
	return c
}

// Self returns this daemon's own record. The caller must not modify it.
func (c *Core) Self() *peer.Member { return c.self }

// Replaced reports whether another process runs under this daemon's id with a higher
// incarnation and another address. If so, this process is no longer a member.
func (c *Core) Replaced() bool { return c.replaced }

// Changes returns the number of changes to the result of Members, so that a caller can
// detect when to read it again.
func (c *Core) Changes() uint64 { return c.changes }

// Members returns all known members, including this daemon, ordered by id. Their states
// are this daemon's view of them. The caller must not modify the records.
func (c *Core) Members() []*peer.Member {
	members := []*peer.Member{c.Self()}
	for _, e := range c.entries.sorted {
		members = append(members, e.localRecord())
	}
	slices.SortFunc(members, func(a, b *peer.Member) int { return strings.Compare(a.Id, b.Id) })
	return members
}

// Leave announces that this daemon is shutting down. The leaving state is permanent for
// the incarnation.
func (c *Core) Leave() {
	if c.self.State == leaving {
		return
	}
	c.self = proto.CloneOf(c.self)
	c.self.State = leaving
	c.queueUpdate(c.self.Id)
	c.urgent = true
	c.changes++
}

// MarkUrgent makes the next call of TakeUrgent return peers.
func (c *Core) MarkUrgent() { c.urgent = true }

// TakeUrgent returns the peers to exchange with now, because an update must not wait for the
// next tick. It returns none if no update is urgent.
func (c *Core) TakeUrgent() []Peer {
	if !c.urgent {
		return nil
	}
	c.urgent = false
	return c.pick(urgentFanout)
}

// Tick evaluates the timeouts and returns the peers to exchange with in this interval.
func (c *Core) Tick(now time.Time) []Peer {
	c.ticks++
	c.expire(now)
	peers := c.pick(c.params.Fanout)
	peers = c.addRetry(peers)
	if c.ticks%reconnectTicks == 1 || len(peers) == 0 {
		peers = c.addReconnect(peers)
	}
	return peers
}

// expire declares members suspect or dead and removes dead ones as their timeouts pass.
func (c *Core) expire(now time.Time) {
	for _, e := range slices.Clone(c.entries.sorted) {
		c.expireEntry(now, e)
	}
}

func (c *Core) expireEntry(now time.Time, e *entry) {
	if e.suspectSince.IsZero() && e.unresponsive(now, c.params.SuspectAfter) {
		c.suspectEntry(now, e)
	}
	unlisted := !e.unlistedSince.IsZero() && now.Sub(e.unlistedSince) >= c.params.ForgetUnlistedAfter
	if e.deadSince.IsZero() && !e.suspectSince.IsZero() {
		if unlisted || now.Sub(e.suspectSince) >= c.params.DeadAfter {
			e.deadSince = now
			c.changes++
		}
	}
	if e.deadSince.IsZero() {
		return
	}
	if unlisted || now.Sub(e.deadSince) >= c.params.ForgetAfter {
		c.entries.remove(e.record.Id)
		c.updates.remove(e.record.Id)
		c.changes++
	}
}

// suspectEntry starts this daemon's own suspicion of a member.
//
// A daemon behind a network partition fails all its exchanges and would suspect every
// other member. suspectEntry therefore broadcasts the suspicion only if some peer has
// answered since the member's first failed exchange; an isolated daemon keeps its
// suspicions local.
func (c *Core) suspectEntry(now time.Time, e *entry) {
	e.beginSuspicion(now)
	c.changes++
	isolated := !c.lastContact.After(e.failedSince)
	recentlyAnnounced := !e.suspicionSentAt.IsZero() && now.Sub(e.suspicionSentAt) < suspicionInterval
	if isolated || recentlyAnnounced || e.record.State != alive {
		return
	}
	e.record = suspectCopy(e.record)
	e.suspicionSentAt = now
	c.queueUpdate(e.record.Id)
}

// pick returns the next n members of a shuffled order in which each member appears once
// before any appears again. This bounds the time until some daemon detects a failure.
func (c *Core) pick(n int) []Peer {
	var peers []Peer
	for range len(c.order) + c.entries.len() {
		if len(peers) == n {
			break
		}
		if len(c.order) == 0 {
			c.shuffle()
		}
		if len(c.order) == 0 {
			break
		}
		id := c.order[0]
		c.order = c.order[1:]
		e, ok := c.entries.get(id)
		if ok && e.deadSince.IsZero() {
			peers = addPeer(peers, peerOf(e))
		}
	}
	return peers
}

func (c *Core) shuffle() {
	for _, e := range c.entries.sorted {
		c.order = append(c.order, e.record.Id)
	}
	c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// addRetry adds the member whose failed exchange has waited longest for a retry.
func (c *Core) addRetry(peers []Peer) []Peer {
	for len(c.retry) > 0 {
		id := c.retry[0]
		c.retry = c.retry[1:]
		e, ok := c.entries.get(id)
		if ok && !e.failedSince.IsZero() && e.deadSince.IsZero() {
			return addPeer(peers, peerOf(e))
		}
	}
	return peers
}

// addReconnect adds a dead member or a seed that is not a member, so that the two sides of
// a network partition reconnect after it heals.
func (c *Core) addReconnect(peers []Peer) []Peer {
	var candidates []Peer
	known := map[string]bool{c.self.PeerAddress: true}
	for _, e := range c.entries.sorted {
		known[e.record.PeerAddress] = true
		if !e.deadSince.IsZero() {
			candidates = append(candidates, peerOf(e))
		}
	}
	for _, address := range c.seeds {
		if !known[address] {
			candidates = append(candidates, Peer{Address: address})
		}
	}
	if len(candidates) == 0 {
		return peers
	}
	return addPeer(peers, candidates[c.rng.IntN(len(candidates))])
}

func addPeer(peers []Peer, p Peer) []Peer {
	if slices.Contains(peers, p) {
		return peers
	}
	return append(peers, p)
}

func peerOf(e *entry) Peer { return Peer{ID: e.record.Id, Address: e.record.PeerAddress} }

// queueUpdate queues a member's record for the next outgoing messages. If each daemon sends
// an update slightly more than log2(n) times in a fleet of n, it reaches nearly all daemons;
// the digests deliver it to the rest.
func (c *Core) queueUpdate(id string) {
	c.updates.add(id, bits.Len(uint(c.entries.len()+1))+2)
}

// SetListedAddresses sets the peer addresses of the VMs in the platform's VM list. The list
// lags behind the fleet, so it is only a hint: the Core contacts the listed addresses, and
// it removes an unresponsive member earlier if the list has lacked it for
// ForgetUnlistedAfter.
func (c *Core) SetListedAddresses(now time.Time, addresses []string) {
	c.seeds = mergeSeeds(c.seeds, addresses)
	hosts := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		hosts[hostOf(address)] = true
	}
	for _, e := range c.entries.sorted {
		if hosts[hostOf(e.record.PeerAddress)] {
			e.unlistedSince = time.Time{}
		} else if e.unlistedSince.IsZero() {
			e.unlistedSince = now
		}
	}
}

// maxSeeds limits the seed addresses that a Core retains.
const maxSeeds = 1024

func mergeSeeds(seeds, addresses []string) []string {
	merged := slices.Clone(addresses)
	for _, seed := range seeds {
		if !slices.Contains(merged, seed) {
			merged = append(merged, seed)
		}
	}
	return merged[:min(len(merged), maxSeeds)]
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
