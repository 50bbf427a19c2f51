// Package replicas holds what a daemon knows of the replicas behind it: which there are,
// what they carry now, and how they answered lately.
//
// Loads count what this daemon has in flight, and what its peers said they have. Health
// comes from answers to callers' requests alone; no replica is asked for it.
package replicas

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/steady"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

const (
	// dialTimeout is how long a request waits for a connection. A replica that is up accepts
	// within some ms, a lost packet is sent again after a second only, and another replica
	// is tried at once.
	dialTimeout = 250 * time.Millisecond
	maxIdle     = 16 // idle connections to one replica
	// lookAgain is how long the outcome of a look at a replica holds.
	lookAgain = 300 * time.Millisecond
	// refusedFor is how long a replica is left alone that would not run a request. Loads of
	// weights and places in a batch take some hundred ms.
	refusedFor = 300 * time.Millisecond
	// lapseGrace is how long a replica whose entry lapsed in an outage is still used. Most
	// write their entries again within two seconds of its end; one that has left instead
	// may get no requests two seconds after its entry went.
	lapseGrace = 1500 * time.Millisecond
)

// Info is what the registry tells of a replica.
type Info struct {
	ID            request.TargetID
	Service       routing.ServiceID
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool // it takes no new requests
	Weights       map[request.Model]uint64
	// Started is when the replica's process started, as its own clock told, in Unix
	// milliseconds; zero: it does not tell. It names the start and orders nothing: the
	// clock may have been set back between two of them.
	Started       int64
	ColdRemaining time.Duration // how much longer it bears few requests only, as it told
}

// Replica is one start of a replica. A replica that starts again under its id is another
// Replica: it holds nothing of what the one before held, and nothing that was believed of
// that one holds for it.
type Replica struct {
	Pool   *upstream.Pool
	Load   Load
	Health Health

	hash     uint64     // of id and start
	earlier  []int64    // starts of this id before, the newest last
	on       *listeners // of its set
	lookMu   sync.Mutex
	lookedAt time.Time // by Dead
	dead     bool
	info     atomic.Pointer[Info]
	weights  sync.Map      // request.Model -> uint64, from answers newer than the registry
	busy     steady.Moment // until when it takes no requests
	backoff  steady.Moment // until when it wants no requests of this daemon
	cold     steady.Moment // until when it bears few requests only
	limit    rateLimit
	leaving  atomic.Bool // an answer said so
	coldFor  func(routing.ServiceID) time.Duration
}

// Info returns what the registry told last.
func (r *Replica) Info() *Info { return r.info.Load() }

// Weights returns the version of a model's weights that the replica serves, zero if
// that is not known.
func (r *Replica) Weights(m request.Model) uint64 {
	listed := r.Info().Weights[m]
	if seen, ok := r.weights.Load(m); ok {
		return max(listed, seen.(uint64))
	}
	return listed
}

// ObserveWeights notes the version that an answer named. Versions only grow.
func (r *Replica) ObserveWeights(m request.Model, version uint64) {
	if version > r.Weights(m) {
		r.weights.Store(m, version)
	}
}

// Set is all replicas. It is safe for concurrent use.
type Set struct {
	on *listeners

	mu       sync.Mutex
	byID     map[request.TargetID]*Replica
	lapsing  map[request.TargetID]time.Time
	left     map[request.TargetID]left
	services map[routing.ServiceID]bool // nil: all
	view     atomic.Pointer[View]

	coldMu    sync.Mutex
	coldAfter map[routing.ServiceID]time.Duration // how long a start is cold
	evacuated atomic.Pointer[map[string]bool]     // failure domains whose replicas get nothing new

	evacuationEnds map[string]time.Time // by failure domain: when one ends that may have been lost
}

// View is the replicas that take requests at one time. It must not be changed.
type View struct {
	ByService map[routing.ServiceID][]*Replica // ordered by id
	ByHash    map[uint64]*Replica
}

// Hash is the short name among daemons of one start of a replica. What a peer tells of an
// earlier start, late, names nobody.
func (r *Replica) Hash() uint64 { return r.hash }

func hashOf(info Info) uint64 {
	name := string(info.ID)
	if info.Started != 0 {
		name += "@" + strconv.FormatInt(info.Started, 10)
	}
	return xxhash.Sum64String(name)
}

// listeners are told what this daemon itself finds out about a replica.
type listeners struct{ down, refused, limit, leaving func(*Replica) }

// NewSet returns an empty set.
func NewSet() *Set {
	nobody := func(*Replica) {}
	s := &Set{on: &listeners{down: nobody, refused: nobody, limit: nobody, leaving: nobody}, byID: map[request.TargetID]*Replica{}, lapsing: map[request.TargetID]time.Time{}, left: map[request.TargetID]left{}, evacuationEnds: map[string]time.Time{}}
	s.evacuated.Store(&map[string]bool{})
	s.publish()
	return s
}

// OnDown has a function called when this daemon finds that a replica accepts no connection.
// It must be set before the first Apply.
func (s *Set) OnDown(f func(*Replica)) { s.on.down = f }

// OnRefused has a function called when a replica would not run a request of this daemon. It
// must be set before the first Apply.
func (s *Set) OnRefused(f func(*Replica)) { s.on.refused = f }

// OfService returns the replicas of a service that take requests, ordered by id. The slice
// must not be changed.
func (s *Set) OfService(service routing.ServiceID) []*Replica { return s.View().ByService[service] }

// View returns all replicas that take requests now.
func (s *Set) View() *View { return s.view.Load() }

// Get returns a replica by its id.
func (s *Set) Get(id request.TargetID) *Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// All returns all replicas that take requests.
func (s *Set) All() []*Replica {
	var all []*Replica
	for _, of := range s.View().ByService {
		all = append(all, of...)
	}
	return all
}

// SetServices limits the view to replicas of the services that there are: an entry of any
// other names no replica to use.
func (s *Set) SetServices(services map[routing.ServiceID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services != nil && maps.Equal(s.services, services) {
		return
	}
	s.services = services
	s.publish()
}

// Change is an update of the registry.
type Change struct {
	Present []Info
	Removed []request.TargetID
	// Unreadable are entries that name no replica to use. They are neither the removal nor
	// a change of a replica that is known: another writer may have made them.
	Unreadable []request.TargetID
	Full       bool // Present and Unreadable are all there are
	// MayHaveExpired is set if a missing entry may have lapsed in an outage with its replica
	// alive: the replica is used a while longer.
	MayHaveExpired bool
}

// Apply takes an update.
func (s *Set) Apply(now time.Time, c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[request.TargetID]bool, len(c.Present))
	for _, id := range c.Unreadable {
		present[id] = true
		if r := s.byID[id]; r != nil {
			r.AssumeCold(now) // it may be what the entry was to tell
		}
	}
	for _, info := range c.Present {
		present[info.ID] = true
		s.put(now, info)
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

func (s *Set) put(now time.Time, info Info) {
	r := s.byID[info.ID]
	if r != nil && slices.Contains(r.earlier, info.Started) {
		return // a late word of an earlier start
	}
	delete(s.lapsing, info.ID)
	switch {
	case r == nil:
		s.start(info, nil)
	case info.Started != 0 && info.Started != r.Info().Started:
		s.restart(r, info)
	default:
		info.Started = r.Info().Started
		r.info.Store(&info)
	}
	if info.ColdRemaining > 0 {
		s.byID[info.ID].cold.Extend(now.Add(info.ColdRemaining))
	}
}

// maxEarlier is the number of starts of one id that are remembered to tell late words of
// them. What is under way is some seconds old, a replica that crashes starts once in
// seconds.
const maxEarlier = 8

// start adds a replica whose id had some earlier starts.
func (s *Set) start(info Info, earlier []int64) {
	r := &Replica{
		Pool: upstream.NewPool(info.Address, dialTimeout, maxIdle), hash: hashOf(info), earlier: earlier,
		on: s.on, coldFor: s.coldFor,
	}
	r.info.Store(&info)
	r.leaving.Store(s.hasLeft(info.ID, info.Started))
	s.byID[info.ID] = r
}

// restart puts the new start of a replica in place of the one before.
//
// The failure: a replica crashes and is back under its id within a second. Its entry never
// went, so that daemons send it prompts for a context that it holds no more, have others
// fetch from it, and leave it alone for what the dead process did. Why the guard holds: the
// start is another Replica, and whatever is believed is kept with a Replica or by its Hash.
func (s *Set) restart(r *Replica, info Info) {
	earlier := slices.Clone(r.earlier)
	if known := r.Info().Started; known != 0 {
		earlier = append(earlier, known)
	}
	s.start(info, earlier[max(0, len(earlier)-maxEarlier):])
	r.Pool.Close()
}

// ObserveStart notes which start of a replica answered, and reports whether it is the one that
// was asked. A replica may say that it started again before the registry does.
func (s *Set) ObserveStart(r *Replica, started int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := *r.Info()
	if started == 0 || started == info.Started {
		return true
	}
	if s.byID[info.ID] != r || slices.Contains(r.earlier, started) {
		return false
	}
	info.Started, info.ColdRemaining = started, 0 // what the registry told was of the start before
	s.restart(r, info)
	s.byID[info.ID].AssumeCold(time.Now())
	s.publish()
	return false
}

func (s *Set) remove(now time.Time, id request.TargetID, lapsing bool) {
	r, ok := s.byID[id]
	if !ok {
		return
	}
	if lapsing {
		if _, waits := s.lapsing[id]; !waits {
			s.lapsing[id] = now.Add(lapseGrace)
		}
		return
	}
	delete(s.lapsing, id)
	delete(s.byID, id)
	s.noteLeft(now, r)
	r.Pool.Close()
}

// Tick forgets replicas whose entries, and evacuations that, did not come back after an outage.
func (s *Set) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickEvacuations(now)
	s.tickLeft(now)
	changed := false
	for id, until := range s.lapsing {
		if now.After(until) {
			s.remove(now, id, false)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// CloseIdle drops idle connections to all replicas.
func (s *Set) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byID {
		r.Pool.CloseIdle()
	}
}

func (s *Set) publish() {
	v := &View{ByService: map[routing.ServiceID][]*Replica{}, ByHash: map[uint64]*Replica{}}
	for _, r := range s.byID {
		if info := r.Info(); !info.Leaving && (s.services == nil || s.services[info.Service]) {
			v.ByService[info.Service] = append(v.ByService[info.Service], r)
			v.ByHash[r.hash] = r
		}
	}
	for _, of := range v.ByService {
		slices.SortFunc(of, func(a, b *Replica) int { return cmp.Compare(a.Info().ID, b.Info().ID) })
	}
	s.view.Store(v)
}
