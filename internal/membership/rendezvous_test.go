package membership

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

func fleetOf(size int) []*peer.Member {
	members := make([]*peer.Member, size)
	for i := range members {
		members[i] = &peer.Member{Id: fmt.Sprintf("daemon-%03d", i)}
	}
	return members
}

// TestRankOfOneIsOwner checks Rank with n = 1, which does not sort, against the full order.
func TestRankOfOneIsOwner(t *testing.T) {
	for _, size := range []int{0, 1, 2, 390} {
		members := fleetOf(size)
		for i := range 100 {
			key := fmt.Sprint("target/", i)
			all := Rank(members, key, size)
			one := Rank(members, key, 1)
			if size == 0 {
				if len(one) != 0 {
					t.Fatalf("rank among no members: %v", one)
				}
				continue
			}
			if len(one) != 1 || one[0] != all[0] || one[0] != Owner(members, key) {
				t.Fatalf("%d members, key %s: first of all is %s, rank of one is %v", size, key, all[0].Id, one)
			}
		}
	}
}

// TestRankOfIsIndexInRank checks RankOf, which does not sort, against the full order.
func TestRankOfIsIndexInRank(t *testing.T) {
	for _, size := range []int{0, 1, 2, 50} {
		members := fleetOf(size)
		for i := range 20 {
			key := fmt.Sprint("store/", i)
			for want, m := range Rank(members, key, size) {
				if got := RankOf(members, key, m.Id); got != want {
					t.Errorf("%s has rank %d among %d for %s, want %d", m.Id, got, size, key, want)
				}
			}
			if got := RankOf(members, key, "unknown"); got != size {
				t.Errorf("an unknown member has rank %d among %d", got, size)
			}
		}
	}
}

// BenchmarkRankOfOne measures the lookup of a target's coordinator.
func BenchmarkRankOfOne(b *testing.B) {
	for _, size := range []int{8, 50, 150, 390} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			members := fleetOf(size)
			b.ReportAllocs()
			for b.Loop() {
				Rank(members, "target/engine-0001", 1)
			}
		})
	}
}
