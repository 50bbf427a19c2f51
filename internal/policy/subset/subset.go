// Package subset divides daemons and replicas into groups, so that each daemon uses a few
// replicas and shares them with a few daemons. What a daemon knows, tells and keeps open
// then does not grow with the fleet.
//
// Both are put in an order by a hash of their names and cut into as many even parts. One
// that comes or goes moves the cuts by one place, so that few change their group.
//
// Each group has its share of every failure domain. Left to chance, some groups had no
// replica near their context stores, so that each fetch took their links for twice as long,
// and some bore the loss of a failure domain with half of their replicas.
//
// The package is pure.
package subset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minDaemons is the least number of daemons in a group; there are up to twice as many. A
// group of this size bears the loss of some, and each tells few others of its load.
const minDaemons = 7.5

// minReplicas is the least number of replicas in a group: with fewer one that fails takes
// too much with it.
const minReplicas = 6

// GroupCount returns the number of groups. It changes only when the fleet doubles.
func GroupCount(daemons, replicas int) int {
	groups := 1
	for float64(daemons) >= 2*float64(groups)*minDaemons && replicas >= 2*groups*minReplicas {
		groups *= 2
	}
	return groups
}

// Member is a daemon or a replica.
type Member struct{ Name, FailureDomain string }

// placed is a member at its place in the order, from 0 to 1.
type placed struct {
	name string
	hash uint64
	at   float64
}

// order puts members in the order of their hashes within their failure domain, and merges the
// domains so that each is spread evenly over the whole.
func order(members []Member) []string {
	domains := map[string][]placed{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], placed{name: m.Name, hash: xxhash.Sum64String(m.Name)})
	}
	merged := make([]placed, 0, len(members))
	for _, domain := range domains {
		slices.SortFunc(domain, byHash)
		for i := range domain {
			domain[i].at = (float64(i) + 0.5) / float64(len(domain))
		}
		merged = append(merged, domain...)
	}
	slices.SortFunc(merged, func(a, b placed) int { return cmp.Or(cmp.Compare(a.at, b.at), byHash(a, b)) })
	names := make([]string, len(merged))
	for i, p := range merged {
		names[i] = p.name
	}
	return names
}

func byHash(a, b placed) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// cut returns one of some even parts of names in their order.
func cut(ordered []string, group, groups int) []string {
	return ordered[group*len(ordered)/groups : (group+1)*len(ordered)/groups]
}

// GroupMembers returns the names of the members in one of some groups.
func GroupMembers(members []Member, group, groups int) []string {
	return cut(order(members), group, groups)
}

// AllGroups returns the names of the members in each of some groups.
func AllGroups(members []Member, groups int) [][]string {
	ordered := order(members)
	out := make([][]string, groups)
	for group := range out {
		out[group] = cut(ordered, group, groups)
	}
	return out
}

// GroupOf returns the group in which a name is, 0 if it is in none.
func GroupOf(members []Member, name string, groups int) int {
	ordered := order(members)
	for group := range groups {
		if slices.Contains(cut(ordered, group, groups), name) {
			return group
		}
	}
	return 0
}

// IsSelected reports whether a name is among the first few of some names, in an order that is another
// one for each key.
func IsSelected(name string, names []string, key uint64, few int) bool {
	own := rank(name, key)
	before := 0
	for _, other := range names {
		if other != name && cmp.Or(cmp.Compare(rank(other, key), own), cmp.Compare(other, name)) < 0 {
			before++
		}
	}
	return before < few
}

func rank(name string, key uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name) // a digest takes everything
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, key))
	return digest.Sum64()
}
