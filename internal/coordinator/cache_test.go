package coordinator

import (
	"fmt"
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/membership"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// changingMembers is a set of live daemons that a test changes.
type changingMembers struct{ live []*peer.Member }

func (m *changingMembers) Self() *peer.Member            { return &peer.Member{Id: "self"} }
func (m *changingMembers) Live() []*peer.Member          { return m.live }
func (m *changingMembers) Owner(key string) *peer.Member { return membership.Owner(m.live, key) }

func daemons(n int) []*peer.Member {
	out := make([]*peer.Member, n)
	for i := range out {
		out[i] = &peer.Member{Id: fmt.Sprint("daemon-", i)}
	}
	return out
}

// Guards against a stale cache: if it still listed a dead daemon as a target's coordinator,
// no daemon would poll the target and its callers would wait.
func TestCachedCoordinatorsFollowLiveDaemons(t *testing.T) {
	m := &changingMembers{}
	var p coordinatorCache
	for _, live := range [][]*peer.Member{daemons(5), daemons(4), daemons(4), nil, daemons(5)} {
		m.live = live
		for i := range 200 {
			id := request.TargetID(fmt.Sprint("engine-", i%100))
			want := m.Owner(assignmentKey(id))
			if want == nil {
				want = m.Self()
			}
			if got := p.lookup(m, id); got.Id != want.Id {
				t.Fatalf("%d live: coordinator of %s is %s, want %s", len(live), id, got.Id, want.Id)
			}
		}
	}
}

// BenchmarkReconcileCoordinators measures finding the coordinators of all targets once.
func BenchmarkReconcileCoordinators(b *testing.B) {
	m := &changingMembers{live: daemons(390)}
	ids := make([]request.TargetID, 1300)
	for i := range ids {
		ids[i] = request.TargetID(fmt.Sprintf("engine-%04d", i))
	}
	b.Run("cached", func(b *testing.B) {
		var p coordinatorCache
		for b.Loop() {
			for _, id := range ids {
				p.lookup(m, id)
			}
		}
	})
	b.Run("computed", func(b *testing.B) {
		for b.Loop() {
			for _, id := range ids {
				m.Owner(assignmentKey(id))
			}
		}
	})
}
