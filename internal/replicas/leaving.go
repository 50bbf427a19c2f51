package replicas

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// departureRetention is how long the incarnations of leaving replicas are remembered after their entries
// were removed. An entry that expired, or that an older copy of the registry holds, reappears within seconds.
const departureRetention = 10 * time.Minute

// unnamedDepartureRetention is departureRetention for replicas whose entries don't say which process they are of: one that starts
// again under its id can't be told from the one that left.
const unnamedDepartureRetention = 30 * time.Second

// departure is an incarnation of a replica that announced that it is leaving, and whose entry was removed.
type departure struct {
	started int64
	at      time.Time
}

// ObserveLeaving records that an answer of the replica announced that it accepts no new requests, and
// notifies the listener. It reports whether the state changed.
func (r *Replica) ObserveLeaving() (changed bool) {
	changed = r.MarkLeaving()
	r.listeners.leaving(r)
	return changed
}

// MarkLeaving records that the replica accepts no new requests, and reports whether the state changed.
// Leaving is final for an incarnation of a replica.
func (r *Replica) MarkLeaving() (changed bool) { return !r.leaving.Swap(true) }

// Leaving reports whether the replica accepts no new requests, by its own answers or by the registry.
func (r *Replica) Leaving() bool { return r.leaving.Load() || r.Info().Leaving }

// OnLeaving registers a function that is called when an answer to this daemon announces that its replica
// is leaving. It must be called before the first Apply.
func (s *Set) OnLeaving(f func(*Replica)) { s.listeners.leaving = f }

// recordDeparture remembers a leaving replica when its entry is removed.
func (s *Set) recordDeparture(now time.Time, r *Replica) {
	if r.leaving.Load() {
		info := r.Info()
		s.departures[info.ID] = departure{started: info.Started, at: now}
	}
}

// hasDeparted reports whether an incarnation of a replica was leaving when its entry was removed.
func (s *Set) hasDeparted(id request.TargetID, started int64) bool {
	l, known := s.departures[id]
	return known && l.started == started
}

// pruneDepartures drops replicas that left long ago.
func (s *Set) pruneDepartures(now time.Time) {
	for id, l := range s.departures {
		if now.Sub(l.at) > l.retention() {
			delete(s.departures, id)
		}
	}
}

func (d departure) retention() time.Duration {
	if d.started == 0 {
		return unnamedDepartureRetention
	}
	return departureRetention
}
