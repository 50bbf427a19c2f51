package steward

import (
	"sync"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// places remembers the steward of each target while the live daemons stay the same.
// Every daemon looks at all targets at each poll interval; without it, that costs the
// product of daemons and targets each time.
type places struct {
	mu       sync.Mutex
	live     []*peer.Member // that the answers hold for
	stewards map[request.TargetID]*peer.Member
}

// find returns the daemon that has a target's place, this one if none is live.
func (p *places) find(members Members, id request.TargetID) *peer.Member {
	live := members.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stewards == nil || !sameSlice(live, p.live) {
		p.live = live
		p.stewards = map[request.TargetID]*peer.Member{}
	}
	if m, ok := p.stewards[id]; ok {
		return m
	}
	m := members.Owner(placeKey(id))
	if m == nil {
		m = members.Self()
	}
	p.stewards[id] = m
	return m
}

// sameSlice tells whether both are one slice, not only equal ones.
func sameSlice(a, b []*peer.Member) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
