package replicas

import (
	"maps"
	"slices"
	"sync"
)

// tracked is a set of replicas in a certain state. Work that recurs several times a second visits a
// tracked set, because it must not cost more the more replicas exist. It is safe for concurrent use.
type tracked struct {
	mu      sync.Mutex
	members map[*Replica]struct{}
}

func (t *tracked) add(r *Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = map[*Replica]struct{}{}
	}
	t.members[r] = struct{}{}
}

func (t *tracked) remove(r *Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, r)
}

// retainIf drops a member unless a condition holds, and reports whether it holds. It removes the member
// before the check, so that one that enters the state meanwhile stays in the set.
func (t *tracked) retainIf(r *Replica, holds func() bool) bool {
	t.remove(r)
	if !holds() {
		return false
	}
	t.add(r)
	return true
}

func (t *tracked) list() []*Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.members))
}

// trackedStates are the replicas of a set that recurring work visits.
type trackedStates struct {
	loaded  tracked // this daemon has requests in flight there
	down    tracked // may accept no connections
	limited tracked // reported a rate limit that may still hold
	brittle tracked // announced a limit on rejections
}

// forget drops a replica that was removed. Its requests in flight stay tracked until they end.
func (t *trackedStates) forget(r *Replica) {
	t.down.remove(r)
	t.limited.remove(r)
	t.brittle.remove(r)
}

// WithOwnWork returns the replicas at which this daemon has requests in flight.
func (s *Set) WithOwnWork() []*Replica { return s.tracked.loaded.list() }
