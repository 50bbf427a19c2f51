package replicas

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/brittle"
)

// brittleness is what is known of the rejections that a replica withstands. It is safe for concurrent use.
type brittleness struct {
	present atomic.Bool // there is a limit

	mu    sync.Mutex
	state brittle.State
}

// use calls do with the state and the load of the replica.
func (b *brittleness) use(now time.Time, r *Replica, do func(s *brittle.State, load brittle.Load)) {
	load := brittle.Load{Own: r.Load.Own().Requests, Total: r.Load.Total(now).Requests, Slots: r.Info().Slots}
	b.mu.Lock()
	defer b.mu.Unlock()
	do(&b.state, load)
}

// ObserveBrittle records how many rejections a second an answer of the replica says that it withstands, zero if it does not
// say so. The replicas of a service become brittle together. It reports whether that begins or ends.
func (r *Replica) ObserveBrittle(now time.Time, perSecond float64) (changed bool) {
	if perSecond <= 0 && !r.IsBrittle() {
		return false
	}
	if changed = r.announceBrittle(now, perSecond); changed {
		r.listeners.brittle(r, now, perSecond)
	}
	return changed
}

func (r *Replica) announceBrittle(now time.Time, perSecond float64) (changed bool) {
	r.brittle.use(now, r, func(s *brittle.State, load brittle.Load) {
		changed = s.Announce(now, perSecond, load)
		r.brittle.present.Store(s.Limit() > 0)
	})
	if r.IsBrittle() {
		r.tracked.brittle.add(r)
	}
	return changed
}

// IsBrittle reports whether the replica falls over if it rejects many requests.
func (r *Replica) IsBrittle() bool { return r.brittle.present.Load() }

// Brittle returns how many rejections a second the replica withstands, zero if there is no limit.
func (r *Replica) Brittle() float64 {
	r.brittle.mu.Lock()
	defer r.brittle.mu.Unlock()
	return r.brittle.state.Limit()
}

// BrittleBase returns how many requests at a time the replica is known to accept, zero if it is not brittle.
func (r *Replica) BrittleBase() int {
	r.brittle.mu.Lock()
	defer r.brittle.mu.Unlock()
	return r.brittle.state.Base()
}

// MayRisk reports whether a request may be sent to the replica, if it is brittle, although it might reject it.
func (r *Replica) MayRisk(now time.Time, share brittle.Share) (may bool) {
	r.brittle.use(now, r, func(s *brittle.State, load brittle.Load) { may = s.Allows(now, load, share) })
	return may
}

// RecordRisk records that a request for which MayRisk was true is sent.
func (r *Replica) RecordRisk(now time.Time) {
	if r.IsBrittle() {
		r.brittle.use(now, r, func(s *brittle.State, load brittle.Load) { s.OnSent(now, load) })
	}
}

// recordAccepted records that the replica, if it is brittle, accepted a request.
func (r *Replica) recordAccepted(now time.Time) {
	if r.IsBrittle() {
		r.brittle.use(now, r, func(s *brittle.State, load brittle.Load) { s.OnAccepted(now, load) })
	}
}

// recordRejected records that the replica, if it is brittle, rejected a request of this daemon.
func (r *Replica) recordRejected(now time.Time) {
	if r.IsBrittle() {
		r.brittle.use(now, r, func(s *brittle.State, load brittle.Load) { s.OnRejected(now, load) })
	}
}

// RecordPeerRefusal records that the replica refused to run a request of another daemon.
func (r *Replica) RecordPeerRefusal(now time.Time, avoidFor time.Duration) {
	r.AvoidFor(now, avoidFor)
	if r.IsBrittle() {
		r.brittle.use(now, r, func(s *brittle.State, load brittle.Load) { s.OnPeerRejected(load) })
	}
}

// announceToService lets the other replicas of a service begin to be brittle, or end, as one of them says. They say the same, but
// this daemon may have had no answer of them.
func (s *Set) announceToService(r *Replica, now time.Time, perSecond float64) {
	for _, other := range s.ByService(r.Info().Service) {
		if other != r {
			other.announceBrittle(now, perSecond)
		}
	}
}

// Brittle returns the number of brittle replicas.
func (s *Set) Brittle() int {
	n := 0
	for _, r := range s.tracked.brittle.list() {
		if s.tracked.brittle.retainIf(r, func() bool { return s.Get(r.id) == r && r.IsBrittle() }) {
			n++
		}
	}
	return n
}
