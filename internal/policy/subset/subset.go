// Package subset divides daemons and replicas into groups, so that each daemon uses a few replicas and
// shares them with a few daemons. The state, messages and connections of a daemon then do not grow
// with the fleet.
//
// Daemons and replicas are ordered by a hash of their names and divided into equal slices. Adding or
// removing one moves the boundaries by one position, so that few members change their group.
//
// Each group has its share of every failure domain. Without this, some groups had no replica near
// their context stores, so that each fetch occupied the stores' links for twice as long, and some
// groups lost half of their replicas with one failure domain.
//
// The package is pure.
package subset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minDaemonsPerGroup is the least average number of daemons per group; once groups average twice as
// many, they are split if there are enough replicas. A group of this size tolerates the loss of some
// daemons, and each daemon reports its load to few others.
const minDaemonsPerGroup = 7.5

// minReplicas is the least number of replicas in a group. In a smaller group, the failure of one
// replica takes away too much of the capacity.
const minReplicas = 6

// GroupCount returns the number of groups, a power of two. It has no hysteresis: the number changes
// whenever daemons or replicas cross a threshold, for example between 14 and 15 daemons.
func GroupCount(daemons, replicas int) int {
	groups := 1
	for float64(daemons) >= 2*float64(groups)*minDaemonsPerGroup && replicas >= 2*groups*minReplicas {
		groups *= 2
	}
	return groups
}

// Member is a daemon or a replica.
type Member struct{ Name, FailureDomain string }

// rankedMember is a member with its relative position in the order, from 0 to 1.
type rankedMember struct {
	name     string
	hash     uint64
	position float64
}

// orderedNames orders the members of each failure domain by hash and interleaves the domains, so that
// each domain is spread evenly over the whole order.
func orderedNames(members []Member) []string {
	domains := map[string][]rankedMember{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], rankedMember{name: m.Name, hash: xxhash.Sum64String(m.Name)})
	}
	merged := make([]rankedMember, 0, len(members))
	for _, domain := range domains {
		slices.SortFunc(domain, byHash)
		for i := range domain {
			domain[i].position = (float64(i) + 0.5) / float64(len(domain))
		}
		merged = append(merged, domain...)
	}
	slices.SortFunc(merged, func(a, b rankedMember) int { return cmp.Or(cmp.Compare(a.position, b.position), byHash(a, b)) })
	names := make([]string, len(merged))
	for i, p := range merged {
		names[i] = p.name
	}
	return names
}

func byHash(a, b rankedMember) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// groupSlice returns the slice of ordered names that forms a group.
func groupSlice(ordered []string, group, groups int) []string {
	return ordered[group*len(ordered)/groups : (group+1)*len(ordered)/groups]
}

// GroupMembers returns the names of the members of one group.
func GroupMembers(members []Member, group, groups int) []string {
	return groupSlice(orderedNames(members), group, groups)
}

// AllGroups returns the names of the members of each group.
func AllGroups(members []Member, groups int) [][]string {
	ordered := orderedNames(members)
	out := make([][]string, groups)
	for group := range out {
		out[group] = groupSlice(ordered, group, groups)
	}
	return out
}

// GroupOf returns the group of a member, or 0 if the name is not a member.
func GroupOf(members []Member, name string, groups int) int {
	ordered := orderedNames(members)
	for group := range groups {
		if slices.Contains(groupSlice(ordered, group, groups), name) {
			return group
		}
	}
	return 0
}

// IsSelected reports whether rendezvous hashing selects a name: whether it is among the first count
// names in an order that depends on the key.
func IsSelected(name string, names []string, key uint64, count int) bool {
	own := rendezvousHash(name, key)
	lowerRanked := 0
	for _, other := range names {
		if other != name && cmp.Or(cmp.Compare(rendezvousHash(other, key), own), cmp.Compare(other, name)) < 0 {
			lowerRanked++
		}
	}
	return lowerRanked < count
}

func rendezvousHash(name string, key uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name) // never fails
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, key))
	return digest.Sum64()
}
