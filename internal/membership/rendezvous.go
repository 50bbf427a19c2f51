package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// Rank returns the n members with the highest weights for a key, in descending order
// (rendezvous hashing). When a member is removed, only the keys that it owned move, and a
// new member only takes over keys. For n = 1, Rank does not sort, because each daemon looks
// up the owner of every target several times a second.
func Rank(members []*peer.Member, key string, n int) []*peer.Member {
	if n == 1 && len(members) > 0 {
		return []*peer.Member{Owner(members, key)}
	}
	keyHash := xxhash.Sum64String(key)
	ranked := make([]weighted, len(members))
	for i, m := range members {
		ranked[i] = weighted{member: m, weight: weight(keyHash, m.Id)}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	ranked = ranked[:min(n, len(ranked))]
	first := make([]*peer.Member, len(ranked))
	for i, w := range ranked {
		first[i] = w.member
	}
	return first
}

// Owner returns the first member of Rank without sorting, or nil if there are no members.
func Owner(members []*peer.Member, key string) *peer.Member {
	keyHash := xxhash.Sum64String(key)
	var best weighted
	for _, m := range members {
		w := weighted{member: m, weight: weight(keyHash, m.Id)}
		if best.member == nil || w.before(best) {
			best = w
		}
	}
	return best.member
}

// RankOf returns the index of a member in Rank, without sorting: the number of members that precede it.
// It returns the number of members if id is not one of them.
func RankOf(members []*peer.Member, key, id string) int {
	keyHash := xxhash.Sum64String(key)
	self := weighted{member: &peer.Member{Id: id}, weight: weight(keyHash, id)}
	preceding, isMember := 0, false
	for _, m := range members {
		switch {
		case m.Id == id:
			isMember = true
		case (weighted{member: m, weight: weight(keyHash, m.Id)}).before(self):
			preceding++
		}
	}
	if !isMember {
		return len(members)
	}
	return preceding
}

type weighted struct {
	member *peer.Member
	weight uint64
}

func (w weighted) before(v weighted) bool {
	if w.weight != v.weight {
		return w.weight > v.weight
	}
	return strings.Compare(w.member.Id, v.member.Id) < 0
}

// weight mixes both hashes with the finalizer of SplitMix64 (Steele, Lea and Flood,
// "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014).
func weight(keyHash uint64, id string) uint64 {
	x := keyHash ^ (xxhash.Sum64String(id) * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
