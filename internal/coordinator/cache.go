package coordinator

import (
	"sync"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// coordinatorCache caches the coordinator of each target until the set of live daemons
// changes. Every daemon checks all targets at each poll interval; without the cache each
// check costs time proportional to the product of daemons and targets.
type coordinatorCache struct {
	mu           sync.Mutex
	live         []*peer.Member // members for which the entries are valid
	coordinators map[request.TargetID]*peer.Member
}

// lookup returns the daemon that coordinates a target, or this daemon if none is live.
func (p *coordinatorCache) lookup(members Members, id request.TargetID) *peer.Member {
	live := members.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinators == nil || !sameSlice(live, p.live) {
		p.live = live
		p.coordinators = map[request.TargetID]*peer.Member{}
	}
	if m, ok := p.coordinators[id]; ok {
		return m
	}
	m := members.Owner(assignmentKey(id))
	if m == nil {
		m = members.Self()
	}
	p.coordinators[id] = m
	return m
}

// sameSlice reports whether a and b share the same backing array, not only equal elements.
func sameSlice(a, b []*peer.Member) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
