package replicas

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// leftKept is for how long it is remembered which starts of replicas said that they leave, after
// their entries went: an entry that lapsed, or that an older copy of the registry holds, is back
// within seconds.
const leftKept = 10 * time.Minute

// left is a start of a replica that said that it leaves, and whose entry went.
type left struct {
	started int64
	at      time.Time
}

// ObserveLeaving notes that an answer of the replica says that it takes no new requests, and has peers
// told. It reports whether that is news.
func (r *Replica) ObserveLeaving() (changed bool) {
	changed = r.MarkLeaving()
	r.on.leaving(r)
	return changed
}

// MarkLeaving notes that the replica takes no new requests, and reports whether that is news.
// No start of a replica takes it back.
func (r *Replica) MarkLeaving() (changed bool) { return !r.leaving.Swap(true) }

// Leaving reports whether the replica takes no new requests: by its own answers, or by the registry.
func (r *Replica) Leaving() bool { return r.leaving.Load() || r.Info().Leaving }

// OnLeaving has a function called when an answer to this daemon says that its replica leaves. It
// must be set before the first Apply.
func (s *Set) OnLeaving(f func(*Replica)) { s.on.leaving = f }

// noteLeft remembers a replica that leaves, as its entry goes.
func (s *Set) noteLeft(now time.Time, r *Replica) {
	if r.leaving.Load() {
		info := r.Info()
		s.left[info.ID] = left{started: info.Started, at: now}
	}
}

// hasLeft reports whether a start of a replica said that it leaves before its entry went.
func (s *Set) hasLeft(id request.TargetID, started int64) bool {
	l, known := s.left[id]
	return known && l.started == started
}

// tickLeft forgets replicas that left long ago.
func (s *Set) tickLeft(now time.Time) {
	for id, l := range s.left {
		if now.Sub(l.at) > leftKept {
			delete(s.left, id)
		}
	}
}
