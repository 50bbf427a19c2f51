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

// Peer is where an exchange goes. ID is empty for a seed whose id is not known.
type Peer struct {
	ID      string
	Address string // host:port
}

// Core decides who is live and which exchanges to make. It is pure: it holds no clock and
// no connection, and its seed determines its choices. It is not safe for concurrent use.
type Core struct {
	self      *peer.Member // replaced, never changed in place, as all records
	params    Params
	rng       *rand.Rand
	entries   entries
	order     []string // members in the order of the next exchanges
	retry     []string // members whose last exchange failed, oldest first
	rumours   rumours
	seeds     []string
	ticks     uint64
	exchanges uint64
	contactAt time.Time // last exchange that worked, with anybody
	urgent    bool
	changes   uint64
	replaced  bool
}

// NewCore returns a Core that knows only itself and the peer addresses of some seeds. The
// incarnation in self is the wall clock at the start, in nanoseconds.
func NewCore(self *peer.Member, seeds []string, params Params) *Core {
	params = params.withDefaults()
	c := &Core{
		params:  params,
		rng:     rand.New(rand.NewPCG(params.Seed, 0x9e3779b97f4a7c15)),
		entries: newEntries(),
		rumours: newRumours(),
		seeds:   slices.Clone(seeds),
	}
	c.self = proto.CloneOf(self)
	c.self.State = alive
	c.spread(c.self.Id)
	return c
}

// Self returns this daemon's own record. The caller must not change it.
func (c *Core) Self() *peer.Member { return c.self }

// Replaced tells that another process runs under this daemon's id with a higher
// incarnation and another address; this one no longer counts as a member.
func (c *Core) Replaced() bool { return c.replaced }

// Changes counts changes of Members, so that a caller knows when to read it again.
func (c *Core) Changes() uint64 { return c.changes }

// Members returns all known members and this daemon, ordered by id, with their states as
// they count here. The caller must not change them.
func (c *Core) Members() []*peer.Member {
	members := []*peer.Member{c.Self()}
	for _, e := range c.entries.sorted {
		members = append(members, e.view())
	}
	slices.SortFunc(members, func(a, b *peer.Member) int { return strings.Compare(a.Id, b.Id) })
	return members
}

// Leave announces that this daemon stops. It holds for the rest of the incarnation.
func (c *Core) Leave() {
	if c.self.State == leaving {
		return
	}
	c.self = proto.CloneOf(c.self)
	c.self.State = leaving
	c.spread(c.self.Id)
	c.urgent = true
	c.changes++
}

// MarkUrgent makes the next TakeUrgent begin exchanges at once.
func (c *Core) MarkUrgent() { c.urgent = true }

// TakeUrgent returns exchanges for news that can't wait for the next tick.
func (c *Core) TakeUrgent() []Peer {
	if !c.urgent {
		return nil
	}
	c.urgent = false
	return c.pick(urgentFanout)
}

// Tick moves the timers and returns the exchanges of this interval.
func (c *Core) Tick(now time.Time) []Peer {
	c.ticks++
	c.expire(now)
	peers := c.pick(c.params.Fanout)
	peers = c.addRetry(peers)
	if c.ticks%reconnectTicks == 1 || len(peers) == 0 {
		peers = c.addLost(peers)
	}
	return peers
}

// expire turns suspects dead and forgets the dead.
func (c *Core) expire(now time.Time) {
	for _, e := range slices.Clone(c.entries.sorted) {
		c.expireEntry(now, e)
	}
}

func (c *Core) expireEntry(now time.Time, e *entry) {
	if e.suspectSince.IsZero() && e.silent(now, c.params.SuspectAfter) {
		c.suspectEntry(now, e)
	}
	gone := !e.goneSince.IsZero() && now.Sub(e.goneSince) >= c.params.ForgetUnlistedAfter
	if e.deadSince.IsZero() && !e.suspectSince.IsZero() {
		if gone || now.Sub(e.suspectSince) >= c.params.DeadAfter {
			e.deadSince = now
			c.changes++
		}
	}
	if e.deadSince.IsZero() {
		return
	}
	if gone || now.Sub(e.deadSince) >= c.params.ForgetAfter {
		c.entries.remove(e.record.Id)
		c.rumours.remove(e.record.Id)
		c.changes++
	}
}

// suspectEntry begins this daemon's own suspicion.
//
// The failure: this daemon is cut off, all its exchanges fail, and it would suspect
// everybody. It tells others only if somebody answered since the member stopped to; a
// daemon that nobody answers keeps its suspicions to itself.
func (c *Core) suspectEntry(now time.Time, e *entry) {
	e.beginSuspicion(now)
	c.changes++
	isolated := !c.contactAt.After(e.failedSince)
	held := !e.rumouredAt.IsZero() && now.Sub(e.rumouredAt) < rumourHold
	if isolated || held || e.record.State != alive {
		return
	}
	e.record = suspectCopy(e.record)
	e.rumouredAt = now
	c.spread(e.record.Id)
}

// pick returns the next n members in a shuffled order that visits each once before any
// twice, so that the time until some member notices a failure is bounded.
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

// addRetry tries again the member that failed longest ago.
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

// addLost tries a dead member or a seed that is no member, so that two halves of a fleet
// that were cut apart find each other again.
func (c *Core) addLost(peers []Peer) []Peer {
	var lost []Peer
	known := map[string]bool{c.self.PeerAddress: true}
	for _, e := range c.entries.sorted {
		known[e.record.PeerAddress] = true
		if !e.deadSince.IsZero() {
			lost = append(lost, peerOf(e))
		}
	}
	for _, address := range c.seeds {
		if !known[address] {
			lost = append(lost, Peer{Address: address})
		}
	}
	if len(lost) == 0 {
		return peers
	}
	return addPeer(peers, lost[c.rng.IntN(len(lost))])
}

func addPeer(peers []Peer, p Peer) []Peer {
	if slices.Contains(peers, p) {
		return peers
	}
	return append(peers, p)
}

func peerOf(e *entry) Peer { return Peer{ID: e.record.Id, Address: e.record.PeerAddress} }

// spread makes a member's record news. News told by each daemon a little more often than
// the logarithm of the fleet reaches nearly all; the digests bring it to the rest.
func (c *Core) spread(id string) {
	c.rumours.add(id, bits.Len(uint(c.entries.len()+1))+2)
}

// SetVMs takes the platform's VM list as the peer addresses of entry VMs. The list lags,
// so it is only a hint: addresses on it are tried, and a member that is missing on it
// for long is given up sooner, but only once it does not answer either.
func (c *Core) SetVMs(now time.Time, addresses []string) {
	c.seeds = mergeSeeds(c.seeds, addresses)
	hosts := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		hosts[hostOf(address)] = true
	}
	for _, e := range c.entries.sorted {
		if hosts[hostOf(e.record.PeerAddress)] {
			e.goneSince = time.Time{}
		} else if e.goneSince.IsZero() {
			e.goneSince = now
		}
	}
}

// maxSeeds bounds the addresses kept to try.
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
