package steward

import (
	"fmt"
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/membership"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// movingMembers are live daemons that a test changes.
type movingMembers struct{ live []*peer.Member }

func (m *movingMembers) Self() *peer.Member            { return &peer.Member{Id: "self"} }
func (m *movingMembers) Live() []*peer.Member          { return m.live }
func (m *movingMembers) Owner(key string) *peer.Member { return membership.Owner(m.live, key) }

func daemons(n int) []*peer.Member {
	out := make([]*peer.Member, n)
	for i := range out {
		out[i] = &peer.Member{Id: fmt.Sprint("daemon-", i)}
	}
	return out
}

// A daemon dies and a caller waits for a target that nobody polls any more: the
// remembered places still name the dead one.
func TestRememberedPlacesFollowTheLiveDaemons(t *testing.T) {
	m := &movingMembers{}
	var p places
	for _, live := range [][]*peer.Member{daemons(5), daemons(4), daemons(4), nil, daemons(5)} {
		m.live = live
		for i := range 200 {
			id := request.TargetID(fmt.Sprint("engine-", i%100))
			want := m.Owner(placeKey(id))
			if want == nil {
				want = m.Self()
			}
			if got := p.find(m, id); got.Id != want.Id {
				t.Fatalf("%d live: steward of %s is %s, want %s", len(live), id, got.Id, want.Id)
			}
		}
	}
}

// BenchmarkReconcilePlaces is one look at the stewards of all targets.
func BenchmarkReconcilePlaces(b *testing.B) {
	m := &movingMembers{live: daemons(390)}
	ids := make([]request.TargetID, 1300)
	for i := range ids {
		ids[i] = request.TargetID(fmt.Sprintf("engine-%04d", i))
	}
	b.Run("remembered", func(b *testing.B) {
		var p places
		for b.Loop() {
			for _, id := range ids {
				p.find(m, id)
			}
		}
	})
	b.Run("computed", func(b *testing.B) {
		for b.Loop() {
			for _, id := range ids {
				m.Owner(placeKey(id))
			}
		}
	})
}
