package replicas

import "time"

// limitWord is what was said last of how many requests a replica takes.
type limitWord struct {
	perSecond float64   // from all daemons together; zero: as many as come
	at        time.Time // when it was said
}

// SawLimit notes how many requests a second the replica said at a time that it takes from all
// daemons together, zero for as many as come. It reports whether that is news; what is older than
// what is known is not.
func (r *Replica) SawLimit(at time.Time, perSecond float64) (changed bool) {
	next := &limitWord{perSecond: perSecond, at: at}
	for {
		known := r.limit.Load()
		if known != nil && known.at.After(at) {
			return false
		}
		if r.limit.CompareAndSwap(known, next) {
			return known == nil && perSecond > 0 || known != nil && known.perSecond != perSecond
		}
	}
}

// Limit returns how many requests a second the replica takes from all daemons together, and when
// that was said. Zero: as many as come.
func (r *Replica) Limit() (perSecond float64, at time.Time) {
	known := r.limit.Load()
	if known == nil {
		return 0, time.Time{}
	}
	return known.perSecond, known.at
}

// Limited returns the number of replicas that name a limit.
func (s *Set) Limited() int {
	limited := 0
	for _, r := range s.All() {
		if perSecond, _ := r.Limit(); perSecond > 0 {
			limited++
		}
	}
	return limited
}
