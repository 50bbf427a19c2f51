// Package borrowing exchanges the room of groups of replicas between daemons, and offers that of other groups to
// the placement of prompts. Package policy/borrow decides; this one counts, sends and receives.
//
// Correctness never depends on it: without digests, a daemon uses the replicas of its own group alone.
package borrowing

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/bluebellscale/bluebellscale/internal/loadshare"
	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/borrow"
	"github.com/bluebellscale/bluebellscale/internal/policy/subset"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	checkInterval = 100 * time.Millisecond
	// digestInterval is how often each sender of a group sends the group's room.
	digestInterval = 500 * time.Millisecond
	// senders is the number of daemons of a group that send its room, and sendersKey the hash key that selects
	// them. They are two, so that digests go on while one of them is stalled or stopped.
	senders    = 2
	sendersKey = 3
	// receiverKeys plus the index of the sending group is the hash key that selects the receiver in a group.
	receiverKeys = 1 << 32
	// settleTime is how long a daemon sends no digests after its start, after a stall and in a new group: it does not
	// know yet what its peers run at the group's replicas, and would offer room that they use.
	settleTime = time.Second
	// maxTickGap is the gap between two ticks from which this daemon counts as stalled.
	maxTickGap = 500 * time.Millisecond
	// roomTTL is how long a counted room is reused.
	roomTTL = 100 * time.Millisecond
	// shortShare is the share of its capacity below which a group passes digests on, so that its daemons know them
	// before it is full.
	shortShare = 0.5
	// borrowerTime is how long after it borrowed a group counts as in need.
	borrowerTime = time.Second
	logInterval  = time.Second
)

// Fleet is the division of daemons and replicas into groups. All of it may change at any time.
type Fleet interface {
	Place() borrow.Place
	// Services returns the services whose replicas are divided among groups.
	Services() []*routing.Service
	// Replicas returns the replicas of a group.
	Replicas(service routing.ServiceID, group int) []*replicas.Replica
	// Daemons returns the names of the daemons of a group, and Address the address of one.
	Daemons(group int) []string
	Address(daemon string) (netip.AddrPort, bool)
	// Borrowed returns the other groups at whose replicas this daemon has work.
	Borrowed() []int
}

// Sender sends rooms to other daemons. loadshare.Reporter implements it.
type Sender interface {
	SendRooms(rooms []loadshare.GroupRoom, to netip.AddrPort)
	PassOnRooms(rooms []loadshare.GroupRoom)
}

// Options configures an Exchange.
type Options struct {
	Fleet  Fleet
	Sender Sender
	// Usable reports whether new requests may be sent to a replica.
	Usable func(*replicas.Replica) bool
	// Capacity returns how many tokens a replica computes within borrow.TokenWindow.
	Capacity func(*replicas.Replica) int
	// OnRoom is called when a digest tells that another group has room for a service, so that a waiting request may be
	// tried again. It must not block. Nil: nobody is told.
	OnRoom func(routing.ServiceID)
	// Waiting returns how many requests wait for a service in this daemon's group; nil: none do.
	Waiting func(routing.ServiceID) int
	Enabled func() bool // nil: always
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Exchange is a daemon's part in borrowing. It implements placer.Lenders. It is safe for concurrent use.
type Exchange struct {
	o Options

	mu       sync.Mutex
	services map[routing.ServiceID]*service
	takenAt  map[int]time.Time // when room was taken last at each group, within borrowerTime
	tickedAt time.Time         // last tick

	// Used by tick only.
	group, groups int       // of this daemon, at the last tick
	settled       time.Time // when this daemon knows its group's load

	badRoomLog, borrowLog, refusalLog rate.Sometimes
}

// service is what is known for one service.
type service struct {
	ledger       borrow.Ledger
	own          groupRoom
	sentAt       time.Time // of the last digest of the own group
	sentInNeed   bool      // what that digest said
	sentWithheld []uint64  // what that digest said
	lastBorrowed time.Time
}

// groupRoom is the room of this daemon's group.
type groupRoom struct {
	free, capacity borrow.Room
	withheld       []uint64 // hashes of replicas that accept no requests of other groups for longer
	countedAt      time.Time
}

// lendable returns what the group may lend: nothing if it can't name all replicas that must not be used.
func (g groupRoom) lendable() borrow.Room {
	if len(g.withheld) > borrow.MaxWithheld {
		return borrow.Room{}
	}
	return borrow.Lendable(g.free, g.capacity)
}

// named returns the withheld replicas as a digest can name them.
func (g groupRoom) named() []uint64 { return g.withheld[:min(len(g.withheld), borrow.MaxWithheld)] }

// short reports whether the group may soon have no room.
func (g groupRoom) short() bool {
	return float64(g.free.Slots) < shortShare*float64(g.capacity.Slots) || float64(g.free.Tokens) < shortShare*float64(g.capacity.Tokens)
}

// New returns an exchange.
func New(o Options) *Exchange {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("borrowing")
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Waiting == nil {
		o.Waiting = func(routing.ServiceID) int { return 0 }
	}
	if o.OnRoom == nil {
		o.OnRoom = func(routing.ServiceID) {}
	}
	if o.Enabled == nil {
		o.Enabled = func() bool { return true }
	}
	return &Exchange{
		o: o, services: map[routing.ServiceID]*service{}, takenAt: map[int]time.Time{},
		badRoomLog: rate.Sometimes{Interval: logInterval}, borrowLog: rate.Sometimes{Interval: logInterval}, refusalLog: rate.Sometimes{Interval: logInterval},
	}
}

// Run sends the room of this daemon's group to other groups until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.tick(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Exchange) tick(now time.Time) {
	p := e.o.Fleet.Place()
	settled := e.hasSettled(now, p)
	if !e.o.Enabled() || p.Groups < 2 {
		return
	}
	services := e.o.Fleet.Services()
	e.prune(services)
	e.reportAges(now)
	if !settled || !slices.Contains(p.Daemons, p.Self) || !subset.IsSelected(p.Self, p.Daemons, sendersKey, senders) {
		return
	}
	rooms := e.dueRooms(now, p, services)
	if len(rooms) == 0 {
		return
	}
	for _, group := range borrow.Listeners(p.Group, p.Groups) {
		if to, known := e.receiver(p, group); known {
			e.o.Sender.SendRooms(rooms, to)
		}
	}
}

// hasSettled reports whether this daemon has heard of its peers' work long enough to count the group's room.
func (e *Exchange) hasSettled(now time.Time, p borrow.Place) bool {
	e.mu.Lock()
	stalled := !e.awake(now) // also at the first tick
	e.tickedAt = now
	e.mu.Unlock()
	if stalled {
		e.HandleStall()
	}
	if stalled || p.Group != e.group || p.Groups != e.groups {
		e.settled = now.Add(settleTime)
	}
	e.group, e.groups = p.Group, p.Groups
	return !now.Before(e.settled)
}

// awake reports whether this process has not been stalled. Until the first tick after a stall, which drops all digests,
// nothing is learned or offered. The caller holds the lock.
func (e *Exchange) awake(now time.Time) bool { return now.Sub(e.tickedAt) <= maxTickGap }

// prune drops what is known of services that are no longer divided.
func (e *Exchange) prune(current []*routing.Service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.services {
		if !slices.ContainsFunc(current, func(s *routing.Service) bool { return s.ID == id }) {
			delete(e.services, id)
		}
	}
}

// reportAges updates the metric of the age of the newest digest of each service.
func (e *Exchange) reportAges(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.services {
		digests := s.ledger.Digests()
		if len(digests) == 0 {
			continue
		}
		newest := slices.MaxFunc(digests, func(a, b borrow.Digest) int { return a.CountedAt.Compare(b.CountedAt) })
		e.o.Metrics.Tagged(map[string]string{"service": string(id)}).Gauge("borrow_digest_age_ms").Update(float64(now.Sub(newest.CountedAt).Milliseconds()))
	}
}

// receiver returns the daemon of another group that receives this group's digests. It is the same for both senders,
// so that each digest is passed on once, and another one for each group, so that no daemon receives those of all.
func (e *Exchange) receiver(p borrow.Place, group int) (netip.AddrPort, bool) {
	selected := subset.Select(e.o.Fleet.Daemons(group), receiverKeys+uint64(p.Group), 1)
	if len(selected) == 0 {
		return netip.AddrPort{}, false
	}
	return e.o.Fleet.Address(selected[0])
}

// dueRooms returns the rooms of this daemon's group that other groups are to be told now: at intervals, and at once
// when the group begins to need its room itself.
func (e *Exchange) dueRooms(now time.Time, p borrow.Place, services []*routing.Service) []loadshare.GroupRoom {
	var out []loadshare.GroupRoom
	for _, service := range services {
		room := e.ownRoom(now, p, service)
		waiting := e.o.Waiting(service.ID)
		e.mu.Lock()
		s := e.service(service.ID)
		if now.Sub(s.lastBorrowed) < borrowerTime {
			waiting++ // a group that borrows needs its room itself
		}
		d := borrow.Digest{Group: p.Group, Groups: p.Groups, Room: room.lendable(), Waiting: waiting, Withheld: room.named(), CountedAt: room.countedAt}
		if now.Sub(s.sentAt) >= digestInterval || s.urgent(d) {
			s.sentAt, s.sentInNeed, s.sentWithheld = now, d.InNeed(), d.Withheld
			out = append(out, loadshare.GroupRoom{Service: loadshare.HashService(service.ID), Digest: d})
		}
		e.mu.Unlock()
		tags := map[string]string{"service": string(service.ID)}
		e.o.Metrics.Tagged(tags).Gauge("group_free_slots").Update(float64(room.free.Slots))
		e.o.Metrics.Tagged(tags).Gauge("group_free_tokens").Update(float64(room.free.Tokens))
	}
	return out
}

// urgent reports whether other groups must hear of a digest at once: they could otherwise send requests to replicas
// that have no room for them or may not get them.
func (s *service) urgent(d borrow.Digest) bool {
	return d.InNeed() && !s.sentInNeed || slices.ContainsFunc(d.Withheld, func(hash uint64) bool { return !slices.Contains(s.sentWithheld, hash) })
}

// service returns what is known for a service. The caller holds the lock.
func (e *Exchange) service(id routing.ServiceID) *service {
	if e.services[id] == nil {
		e.services[id] = &service{}
	}
	return e.services[id]
}

// ownRoom returns the room of this daemon's group, counted at most roomTTL ago.
func (e *Exchange) ownRoom(now time.Time, p borrow.Place, s *routing.Service) groupRoom {
	e.mu.Lock()
	known := e.service(s.ID).own
	e.mu.Unlock()
	if now.Sub(known.countedAt) < roomTTL {
		return known
	}
	room := e.count(now, s, e.o.Fleet.Replicas(s.ID, p.Group))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service(s.ID).own = room
	return room
}

// count adds up the room of replicas. It ignores those that accept no requests from other groups.
func (e *Exchange) count(now time.Time, s *routing.Service, group []*replicas.Replica) groupRoom {
	room := groupRoom{countedAt: now}
	for _, r := range group {
		limit, _ := r.Limit()
		if limit > 0 || r.IsBrittle() || r.Leaving() {
			room.withheld = append(room.withheld, r.Hash())
		}
		if limit > 0 || r.IsBrittle() || r.Cold(now) || r.Busy(now) || r.Health.BackingOff(now) || !e.o.Usable(r) {
			continue
		}
		capacity, load := e.o.Capacity(r), r.Load.Total(now)
		room.capacity.Slots += s.Engine.Slots
		room.capacity.Tokens += capacity
		slots := freeSlots(s.Engine, load)
		if slots == 0 {
			continue
		}
		room.free.Slots += slots
		room.free.Tokens += max(0, capacity-load.Prefill)
	}
	return room
}

// freeSlots returns how many requests of the mean size a replica could start.
func freeSlots(engine *routing.Engine, load replicas.Work) int {
	free := max(0, engine.Slots-load.Requests)
	if load.Requests == 0 || load.Tokens <= 0 {
		return free
	}
	freeMemory := max(0, engine.MemoryTokens-load.Tokens)
	return min(free, freeMemory*load.Requests/load.Tokens)
}

// OnRooms records what a daemon reports of groups' room. What comes from another group is passed on in this one
// while this group may soon need it.
func (e *Exchange) OnRooms(from request.DaemonID, rooms []loadshare.GroupRoom) {
	e.onRooms(time.Now(), from, rooms)
}

func (e *Exchange) onRooms(now time.Time, from request.DaemonID, rooms []loadshare.GroupRoom) {
	p := e.o.Fleet.Place()
	if !e.o.Enabled() || p.Groups < 2 {
		return
	}
	fromGroup := slices.Contains(p.Daemons, string(from))
	services := e.o.Fleet.Services()
	var passOn []loadshare.GroupRoom
	for _, room := range rooms {
		n := slices.IndexFunc(services, func(s *routing.Service) bool { return loadshare.HashService(s.ID) == room.Service })
		if n < 0 {
			e.badRoomLog.Do(func() { e.o.Logger.Warn("Ignoring the room of a group: service is unknown", "from", from) })
			continue
		}
		news := e.learn(now, p, services[n].ID, room.Digest)
		if news && !room.InNeed() {
			e.o.OnRoom(services[n].ID)
		}
		if news && !fromGroup && e.ownRoom(now, p, services[n]).short() {
			passOn = append(passOn, room)
		}
	}
	if len(passOn) > 0 {
		e.o.Sender.PassOnRooms(passOn)
	}
}

func (e *Exchange) learn(now time.Time, p borrow.Place, id routing.ServiceID, d borrow.Digest) (news bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.awake(now) && e.service(id).ledger.Learn(now, p, d)
}

// Offers implements placer.Lenders.
func (e *Exchange) Offers(id routing.ServiceID) ([]placer.LenderOffer, borrow.Reason) {
	return e.offers(time.Now(), id)
}

func (e *Exchange) offers(now time.Time, id routing.ServiceID) ([]placer.LenderOffer, borrow.Reason) {
	p := e.o.Fleet.Place()
	if !e.o.Enabled() || p.Groups < 2 {
		return nil, ""
	}
	borrowed := e.o.Fleet.Borrowed()
	e.mu.Lock()
	if !e.awake(now) {
		e.mu.Unlock()
		return nil, borrow.ReasonNoDigest
	}
	offers, reason := e.service(id).ledger.Offers(now, p)
	open := e.openLenders(now, borrowed)
	e.mu.Unlock()
	offers = preferOpen(offers, open)
	if len(offers) == 0 {
		return nil, cmp.Or(reason, borrow.ReasonShare)
	}
	out := make([]placer.LenderOffer, len(offers))
	for i, offer := range offers {
		out[i] = placer.LenderOffer{Offer: offer, Replicas: e.lent(id, offer.Group)}
	}
	return out, reason
}

// openLenders returns the groups at which this daemon has work or took room a moment ago, given those at which it has
// work. The caller holds the lock.
func (e *Exchange) openLenders(now time.Time, borrowed []int) []int {
	open := slices.Clone(borrowed)
	for group, at := range e.takenAt {
		if now.Sub(at) >= borrowerTime {
			delete(e.takenAt, group)
			continue
		}
		if !slices.Contains(open, group) {
			open = append(open, group)
		}
	}
	return open
}

// mayOpen reports whether a daemon with the given open lenders may borrow from a group.
func mayOpen(open []int, group int) bool {
	return len(open) < borrow.MaxLenders || slices.Contains(open, group)
}

// preferOpen puts the open lenders in front, and drops those that may not be opened besides them.
func preferOpen(offers []borrow.Offer, open []int) []borrow.Offer {
	offers = slices.DeleteFunc(offers, func(o borrow.Offer) bool { return !mayOpen(open, o.Group) })
	slices.SortStableFunc(offers, func(a, b borrow.Offer) int {
		return cmp.Compare(rankOf(open, a.Group), rankOf(open, b.Group))
	})
	return offers
}

// rankOf returns 0 for an open lender and 1 for another one.
func rankOf(open []int, group int) int {
	if slices.Contains(open, group) {
		return 0
	}
	return 1
}

// lent returns the replicas of a group that it lends.
func (e *Exchange) lent(id routing.ServiceID, group int) []*replicas.Replica {
	all := e.o.Fleet.Replicas(id, group)
	e.mu.Lock()
	defer e.mu.Unlock()
	ledger := &e.service(id).ledger
	out := make([]*replicas.Replica, 0, len(all))
	for _, r := range all {
		if !ledger.Withheld(group, r.Hash()) {
			out = append(out, r)
		}
	}
	return out
}

// UsedReplicas implements placer.Lenders.
func (e *Exchange) UsedReplicas(borrowable []*replicas.Replica) []*replicas.Replica {
	return borrow.UsedReplicas(e.o.Fleet.Place().Self, borrowable, (*replicas.Replica).Hash)
}

// Take implements placer.Lenders.
func (e *Exchange) Take(id routing.ServiceID, group, tokens int) bool {
	if !e.take(time.Now(), id, group, tokens) {
		return false
	}
	e.o.Metrics.Counter("borrowed_requests").Inc(1)
	e.borrowLog.Do(func() {
		e.o.Logger.Info("Borrowing room of another group", "service", id, "group", group, "tokens", tokens)
	})
	return true
}

func (e *Exchange) take(now time.Time, id routing.ServiceID, group, tokens int) bool {
	p, borrowed := e.o.Fleet.Place(), e.o.Fleet.Borrowed()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(id)
	if !e.awake(now) || !mayOpen(e.openLenders(now, borrowed), group) || !s.ledger.Take(now, p, group, tokens) {
		return false
	}
	s.lastBorrowed = now
	e.takenAt[group] = now
	return true
}

// Borrows reports whether this daemon took room of another group within borrowerTime.
func (e *Exchange) Borrows(id routing.ServiceID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[id]
	return s != nil && time.Since(s.lastBorrowed) < borrowerTime
}

// Return implements placer.Lenders.
func (e *Exchange) Return(id routing.ServiceID, group, tokens int) {
	e.mu.Lock()
	e.service(id).ledger.Return(group, tokens)
	e.mu.Unlock()
	e.o.Metrics.Counter("borrowed_unused").Inc(1)
}

// Refused implements placer.Lenders.
func (e *Exchange) Refused(id routing.ServiceID, reason borrow.Reason) {
	e.o.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("borrow_refused").Inc(1)
	e.refusalLog.Do(func() {
		e.o.Logger.Info("No room could be borrowed", "service", id, "reason", reason)
	})
}

// HandleStall drops what this daemon learned before a stall.
func (e *Exchange) HandleStall() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.ledger.HandleStall(now)
	}
}

// State is a dump of what is known of one service's groups.
type State struct {
	Service    routing.ServiceID `json:"service"`
	FreeSlots  int               `json:"group_free_slots"`  // of the own group, as counted last
	FreeTokens int               `json:"group_free_tokens"` // prompt tokens that it could compute within 100 ms
	Borrowing  bool              `json:"borrowing"`         // this daemon borrowed within the last second
	Others     []LenderState     `json:"other_groups"`
}

// LenderState is the last digest of another group.
type LenderState struct {
	Group   int   `json:"group"`
	Slots   int   `json:"slots"`
	Tokens  int   `json:"tokens"`
	Waiting int   `json:"waiting"`
	AgeMs   int64 `json:"age_ms"`
}

// State returns a dump, ordered by service.
func (e *Exchange) State() []State {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]State, 0, len(e.services))
	for id, s := range e.services {
		state := State{Service: id, FreeSlots: s.own.free.Slots, FreeTokens: s.own.free.Tokens, Borrowing: now.Sub(s.lastBorrowed) < borrowerTime}
		for _, d := range s.ledger.Digests() {
			state.Others = append(state.Others, LenderState{Group: d.Group, Slots: d.Slots, Tokens: d.Tokens, Waiting: d.Waiting, AgeMs: now.Sub(d.CountedAt).Milliseconds()})
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
