// Package subset divides daemons and replicas into groups, so that each daemon uses a few
// replicas and shares them with a few daemons. What a daemon knows, tells and keeps open
// then does not grow with the fleet.
//
// Both are put in an order by a hash of their names and cut into as many even parts. One
// that comes or goes moves the cuts by one place, so that few change their group.
//
// The package is pure.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minDaemons is the least number of daemons in a group; there are up to twice as many. A
// group of this size bears the loss of some, and each tells few others of its load.
const minDaemons = 7.5

// minReplicas is the least number of replicas in a group: with fewer one that fails takes
// too much with it.
const minReplicas = 6

// Groups returns the number of groups. It changes only when the fleet doubles.
func Groups(daemons, replicas int) int {
	groups := 1
	for float64(daemons) >= 2*float64(groups)*minDaemons && replicas >= 2*groups*minReplicas {
		groups *= 2
	}
	return groups
}

// order puts names in the order of their hashes.
func order(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return out
}

// cut returns one of some even parts of names in their order.
func cut(ordered []string, group, groups int) []string {
	return ordered[group*len(ordered)/groups : (group+1)*len(ordered)/groups]
}

// Part returns the names in one of some groups.
func Part(names []string, group, groups int) []string {
	return cut(order(names), group, groups)
}

// Of returns the group in which a name is, 0 if it is in none.
func Of(names []string, name string, groups int) int {
	ordered := order(names)
	for group := range groups {
		if slices.Contains(cut(ordered, group, groups), name) {
			return group
		}
	}
	return 0
}
