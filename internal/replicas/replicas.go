// Package replicas holds what a daemon knows of the replicas behind it: which ones exist, their current
// load, and their recent health.
//
// Load counts the requests that this daemon has in flight and those that its peers report. Health is
// derived from answers to callers' requests. A replica is probed, by opening a connection, only after a
// connection to it failed or a peer reported that it accepts none.
package replicas

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/monotime"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

const (
	// dialTimeout is how long a request waits for a connection. A healthy replica accepts one within
	// milliseconds. A lost packet is retransmitted only after a second, so trying the next replica is
	// faster.
	dialTimeout = 250 * time.Millisecond
	maxIdle     = 16 // idle connections to one replica
	// probeResultTTL is how long the result of IsDown is reused.
	probeResultTTL = 300 * time.Millisecond
	// refusalBackoff is how long a replica that refused to run a request is avoided. Loading weights or
	// waiting for a free slot in a batch takes some hundred milliseconds.
	refusalBackoff = 300 * time.Millisecond
	// expiryGrace is how long a replica is still used after its entry expired in an outage. Most replicas
	// write their entries again within two seconds of the end of the outage. A replica that has
	// terminated instead must get no requests later than two seconds after its entry was removed.
	expiryGrace = 1500 * time.Millisecond
)

// Info is a replica's entry in the registry.
type Info struct {
	ID            request.TargetID
	Service       routing.ServiceID
	Address       string
	FailureDomain string
	Slots         int
	Software      string // version of the replica's software, not of its weights
	// SoftwareUnknown is set if the version of the process that Started identifies is not known: Software is that of an earlier
	// process, or of an entry without Started.
	SoftwareUnknown bool
	Leaving         bool // it accepts no new requests
	Weights         map[request.Model]uint64
	// Started is when the replica's process started by its own clock, in Unix milliseconds, or zero if
	// the replica does not report it. It identifies an incarnation but does not order incarnations: the
	// clock may be set back between two of them.
	Started       int64
	ColdRemaining time.Duration // how much longer it accepts few requests, as it reported
}

// Replica is one incarnation (process) of a replica. A replica that restarts under its id is a new
// Replica: neither its cache contents nor any assumed state carry over from the previous incarnation.
type Replica struct {
	Pool   *upstream.Pool
	Load   Load
	Health Health

	id            request.TargetID
	hash          uint64     // of the id and the incarnation
	earlierStarts []int64    // Started of previous incarnations of this id, newest last
	listeners     *listeners // those of its set
	tracked       *trackedStates
	listed        bool              // it is in the view, or will be in the next one; guarded by the set's mutex
	listedAs      routing.ServiceID // service of the list that contains it
	probeMu       sync.Mutex
	probedAt      time.Time // time of the last probe by IsDown
	down          bool
	info          atomic.Pointer[Info]
	weights       sync.Map         // request.Model -> uint64, from answers newer than the registry
	busyUntil     monotime.Instant // accepts no requests until then
	backoffUntil  monotime.Instant // accepts no requests of this daemon until then
	coldUntil     monotime.Instant // accepts few requests until then
	limit         rateLimit
	brittle       brittleness
	leaving       atomic.Bool // set by an answer
	proven        atomic.Bool // it was reached
	coldFor       func(routing.ServiceID) time.Duration
	confirm       ConfirmFunc // nil: the process is taken to be the one of the entry
}

// Info returns the latest entry in the registry.
func (r *Replica) Info() *Info { return r.info.Load() }

// WeightsVersion returns the version of a model's weights that the replica serves, zero if it is unknown.
func (r *Replica) WeightsVersion(m request.Model) uint64 {
	listed := r.Info().Weights[m]
	if seen, ok := r.weights.Load(m); ok {
		return max(listed, seen.(uint64))
	}
	return listed
}

// ObserveWeights records the version that an answer reported. Versions never decrease.
func (r *Replica) ObserveWeights(m request.Model, version uint64) {
	if version > r.WeightsVersion(m) {
		r.weights.Store(m, version)
	}
}

// Set is the set of all known replicas. It is safe for concurrent use.
type Set struct {
	listeners *listeners
	tracked   *trackedStates
	wrapDial  func(upstream.DialFunc) upstream.DialFunc // nil: connections are opened directly
	confirm   ConfirmFunc
	isWatched func() bool                // the registry would show a restart soon; nil: it would
	settled   func(since time.Time) bool // see SettleWith; nil: never

	mu         sync.Mutex
	byID       map[request.TargetID]*Replica
	expiring   map[request.TargetID]time.Time
	departures map[request.TargetID]departure
	software   map[softwareOf]int         // number of registered replicas
	services   map[routing.ServiceID]bool // services in the view; nil: all
	view       atomic.Pointer[View]
	update     viewUpdate // changes since the view

	hashMu sync.RWMutex
	byHash map[uint64]*Replica

	coldMu       sync.Mutex
	coldDuration map[routing.ServiceID]time.Duration // duration of the cold period after a start
	evacuated    atomic.Pointer[map[string]bool]     // failure domains whose replicas get no new requests

	evacuationExpiry map[string]time.Time // by failure domain; end of an evacuation that the key-value service may have lost
}

// Hash identifies an incarnation in messages between daemons. A delayed report of an earlier
// incarnation therefore matches no known replica.
func (r *Replica) Hash() uint64 { return r.hash }

func hashOf(info Info) uint64 {
	name := string(info.ID)
	if info.Started != 0 {
		name += "@" + strconv.FormatInt(info.Started, 10)
	}
	return xxhash.Sum64String(name)
}

// listeners are notified of what this daemon itself observes at a replica.
type listeners struct {
	down, refused, limit, leaving func(*Replica)
	reached, failed               func(*Replica) // outcome of a connection
	restarted                     func(*Replica) // called with the incarnation that has ended
	brittle                       func(r *Replica, now time.Time, perSecond float64)
	software                      func(service routing.ServiceID, version string, present bool)
	ownWork                       func() // the work of this daemon changed
	room                          func(*Replica)
}

// NewSet returns an empty set.
func NewSet() *Set {
	ignore := func(*Replica) {}
	s := &Set{
		listeners: &listeners{down: ignore, refused: ignore, limit: ignore, leaving: ignore, reached: ignore, failed: ignore, restarted: ignore, ownWork: func() {}, room: ignore, software: func(routing.ServiceID, string, bool) {}}, tracked: &trackedStates{}, update: newViewUpdate(),
		byID: map[request.TargetID]*Replica{}, byHash: map[uint64]*Replica{},
		expiring: map[request.TargetID]time.Time{}, departures: map[request.TargetID]departure{}, software: map[softwareOf]int{}, evacuationExpiry: map[string]time.Time{},
	}
	s.listeners.brittle = s.announceToService
	s.evacuated.Store(&map[string]bool{})
	s.view.Store(&View{ByService: map[routing.ServiceID][]*Replica{}})
	return s
}

// WrapDial replaces how connections to replicas are opened by what wrap makes of it. It must be called before the first
// Apply.
func (s *Set) WrapDial(wrap func(upstream.DialFunc) upstream.DialFunc) { s.wrapDial = wrap }

// OnDown registers a function that is called when this daemon finds that a replica accepts no
// connections. It must be called before the first Apply.
func (s *Set) OnDown(f func(*Replica)) { s.listeners.down = f }

// OnRestarted registers a function that is called when an answer reveals that a replica restarted, with the incarnation that has ended.
// It must be called before the first Apply.
func (s *Set) OnRestarted(f func(*Replica)) { s.listeners.restarted = f }

// OnReached registers a function that is called when a replica answers or accepts a connection, and OnFailed one that is
// called whenever a connection to a replica could not be opened. Both must be called before the first Apply, and their
// functions must not block.
func (s *Set) OnReached(f func(*Replica)) { s.listeners.reached = f }

// OnFailed is described at OnReached.
func (s *Set) OnFailed(f func(*Replica)) { s.listeners.failed = f }

// OnRefused registers a function that is called when a replica refuses to run a request of this daemon.
// It must be called before the first Apply.
func (s *Set) OnRefused(f func(*Replica)) { s.listeners.refused = f }

// OnOwnWork registers a function that is called when the work of this daemon at a replica changes. It must be
// called before the first Apply, and must not block.
func (s *Set) OnOwnWork(f func()) { s.listeners.ownWork = f }

// OnRoom registers a function that is called when work at a replica ends, here or as a peer reports, so that
// the replica may have room for a waiting request. It must be called before the first Apply. f must neither
// block nor use the replica's load.
func (s *Set) OnRoom(f func(*Replica)) { s.listeners.room = f }

// ByService returns the replicas of a known service that their registry entries do not mark as leaving,
// ordered by id. The slice must not be modified.
func (s *Set) ByService(service routing.ServiceID) []*Replica { return s.View().ByService[service] }

// View returns the current snapshot of the replicas.
func (s *Set) View() *View { return s.view.Load() }

// Get returns a replica by its id.
func (s *Set) Get(id request.TargetID) *Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// ByHash returns the replica of the view with a hash, or nil if there is none.
func (s *Set) ByHash(hash uint64) *Replica {
	s.hashMu.RLock()
	defer s.hashMu.RUnlock()
	return s.byHash[hash]
}

// NotLeaving returns the replicas of known services that their registry entries do not mark as leaving.
func (s *Set) NotLeaving() []*Replica {
	var all []*Replica
	for _, rs := range s.View().ByService {
		all = append(all, rs...)
	}
	return all
}

// SetServices limits the view to replicas of the existing services. Entries of other services are
// ignored.
func (s *Set) SetServices(services map[routing.ServiceID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services != nil && maps.Equal(s.services, services) {
		return
	}
	s.services = services
	for _, r := range s.byID {
		s.relist(r)
	}
	s.publish()
}

// Change is an update of the registry.
type Change struct {
	Present []Info
	Removed []request.TargetID
	// Unreadable are the ids of invalid entries. Such an entry neither removes nor changes a known
	// replica, because another writer may have written it.
	Unreadable []request.TargetID
	Full       bool // Present and Unreadable are the complete list
	// MayHaveExpired is set if a missing entry may have expired in an outage while its replica is
	// alive. The replica is then used for another expiryGrace.
	MayHaveExpired bool
}

// Apply applies an update of the registry.
func (s *Set) Apply(now time.Time, c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[request.TargetID]bool, len(c.Present))
	for _, id := range c.Unreadable {
		present[id] = true
		if r := s.byID[id]; r != nil {
			r.AssumeCold(now) // the entry may have been written at a restart
			r.Pool.Doubt()
		}
	}
	for _, info := range c.Present {
		present[info.ID] = true
		s.upsert(now, info)
	}
	for _, id := range c.Removed {
		s.remove(now, id, c.MayHaveExpired)
	}
	if c.Full {
		for id := range s.byID {
			if !present[id] {
				s.remove(now, id, c.MayHaveExpired)
			}
		}
	}
	s.publish()
}

func (s *Set) upsert(now time.Time, info Info) {
	r := s.byID[info.ID]
	if r != nil && slices.Contains(r.earlierStarts, info.Started) {
		return // a delayed entry of an earlier incarnation
	}
	delete(s.expiring, info.ID)
	if r != nil && info.Started == 0 && r.Info().Started != 0 {
		info = r.withoutStart(info)
	}
	switch {
	case r == nil:
		s.add(info, nil)
	case info.Started != r.Info().Started, info.Software != r.Info().Software && !info.SoftwareUnknown && !r.completes(info):
		s.restart(r, info)
	default:
		s.countSoftware(&info, 1)
		s.countSoftware(r.Info(), -1) // the entry may name another service
		r.info.Store(&info)
		s.relist(r)
	}
	if info.ColdRemaining > 0 {
		s.byID[info.ID].coldUntil.Extend(now.Add(info.ColdRemaining))
	}
}

// maxEarlierStarts is the number of incarnations of one id that are remembered to detect delayed
// messages about them. Messages are delayed by seconds, and a crashing replica starts once in several
// seconds.
const maxEarlierStarts = 8

// add adds a replica. earlierStarts identifies the previous incarnations of its id.
func (s *Set) add(info Info, earlierStarts []int64) {
	r := &Replica{
		Pool: upstream.NewPool(info.Address, dialTimeout, maxIdle), id: info.ID, hash: hashOf(info), earlierStarts: earlierStarts,
		listeners: s.listeners, tracked: s.tracked, coldFor: s.coldFor, confirm: s.confirm,
	}
	r.Pool.WatchProcess(s.isWatched)
	r.Pool.AskAgain() // the entry may be of a process that has ended since
	if s.wrapDial != nil {
		r.Pool.WrapDial(s.wrapDial)
	}
	if info.Started == 0 {
		r.Pool.WatchSigns(s.settled, func() { s.listeners.restarted(r) })
	}
	r.Load.replica = r
	r.info.Store(&info)
	r.leaving.Store(s.hasDeparted(info.ID, info.Started))
	s.byID[info.ID] = r
	s.countSoftware(&info, 1)
	s.relist(r)
}

// restart replaces a replica by its new incarnation.
//
// A replica may crash and restart under its id within a second, before its entry expires. If its state
// were kept, daemons would send it prompts for a context that it no longer holds, have other replicas
// fetch from it, and avoid it for the behaviour of the old process. An incarnation is therefore a new
// Replica, and all assumed state is kept per Replica or by its Hash.
func (s *Set) restart(r *Replica, info Info) {
	earlierStarts := slices.Clone(r.earlierStarts)
	if known := r.Info().Started; known != 0 && known != info.Started {
		earlierStarts = append(earlierStarts, known)
	}
	s.forget(r)
	s.add(info, earlierStarts[max(0, len(earlierStarts)-maxEarlierStarts):])
	r.Pool.Close()
}

// forget drops an incarnation.
func (s *Set) forget(r *Replica) {
	delete(s.byID, r.id)
	s.countSoftware(r.Info(), -1)
	s.relist(r)
	s.tracked.forget(r)
}

// setHash sets the replica of a hash; nil: there is none.
func (s *Set) setHash(hash uint64, r *Replica) {
	s.hashMu.Lock()
	defer s.hashMu.Unlock()
	if r == nil {
		delete(s.byHash, hash)
		return
	}
	s.byHash[hash] = r
}

// ObserveStart records which incarnation of a replica answered, and reports whether it is r's.
// An answer may reveal a restart before the registry does. The version of the new process is not known until its entry says it.
func (s *Set) ObserveStart(r *Replica, started int64) bool {
	same, restarted := s.observeStart(r, started)
	if restarted {
		s.listeners.restarted(r)
	}
	return same
}

// observeStart reports whether the incarnation is r's, and whether it is one that was not known.
func (s *Set) observeStart(r *Replica, started int64) (same, restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := *r.Info()
	if started == 0 || started == info.Started {
		return true, false
	}
	if s.byID[info.ID] != r || slices.Contains(r.earlierStarts, started) {
		return false, false
	}
	// The registry's entry is of the previous incarnation, or says of none.
	info.Started, info.ColdRemaining, info.SoftwareUnknown = started, 0, info.Started != 0
	s.restart(r, info)
	s.byID[info.ID].AssumeCold(time.Now())
	s.publish()
	return false, true
}

func (s *Set) remove(now time.Time, id request.TargetID, mayHaveExpired bool) {
	r, ok := s.byID[id]
	if !ok {
		return
	}
	r.Pool.Doubt()
	if mayHaveExpired {
		if _, expires := s.expiring[id]; !expires {
			s.expiring[id] = now.Add(expiryGrace)
		}
		return
	}
	delete(s.expiring, id)
	s.forget(r)
	s.recordDeparture(now, r)
	r.Pool.Close()
}

// Tick removes replicas and evacuations that were not written again after an outage.
func (s *Set) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireEvacuations(now)
	s.pruneDepartures(now)
	changed := false
	for id, until := range s.expiring {
		if now.After(until) {
			s.remove(now, id, false)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// CloseIdle closes idle connections to all replicas.
func (s *Set) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byID {
		r.Pool.CloseIdle()
	}
}
