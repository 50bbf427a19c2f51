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
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// minDaemonsPerGroup is the least average number of daemons per group; once groups average twice as
// many, they are split if there are enough replicas. A group of this size tolerates the loss of some
// daemons, and each daemon reports its load to few others.
const minDaemonsPerGroup = 7.5

// minReplicas is the least number of replicas in a group. In a smaller group, the failure of one
// replica takes away too much of the capacity.
const minReplicas = 6

// GroupCount returns the number of groups, a power of two. It changes whenever daemons or replicas cross a
// threshold, for example between 14 and 15 daemons; see Hold.
func GroupCount(daemons, replicas int) int {
	groups := 1
	for float64(daemons) >= 2*float64(groups)*minDaemonsPerGroup && replicas >= 2*groups*minReplicas {
		groups *= 2
	}
	return groups
}

// CellCount returns the number of cells, a power of two: the smallest groups into which daemons are
// divided, whatever the replicas. Cells lie within groups: with the same order of daemons, each cell is
// part of one group.
func CellCount(daemons int) int { return GroupCount(daemons, math.MaxInt) }

// Member is a daemon or a replica.
type Member struct{ Name, FailureDomain string }

// hashedName is a member with the hash that orders it in its failure domain.
type hashedName struct {
	name string
	hash uint64
}

func (a hashedName) compare(b hashedName) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// Order is the order of daemons or of replicas whose slices are the groups. The members of each failure
// domain are ordered by hash, and the domains interleaved, so that each is spread evenly over the whole
// order. A change and a group cost little more the more members there are. It is not safe for concurrent
// use.
type Order struct {
	domains map[string][]hashedName // each sorted
	size    int
}

// NewOrder returns the order of the given members.
func NewOrder(members []Member) *Order {
	o := &Order{domains: map[string][]hashedName{}, size: len(members)}
	for _, m := range members {
		o.domains[m.FailureDomain] = append(o.domains[m.FailureDomain], hashed(m.Name))
	}
	for _, domain := range o.domains {
		slices.SortFunc(domain, hashedName.compare)
	}
	return o
}

func hashed(name string) hashedName { return hashedName{name: name, hash: xxhash.Sum64String(name)} }

// InDomain returns the order of the members of one failure domain. It is valid until o changes.
func (o *Order) InDomain(domain string) *Order {
	members := o.domains[domain]
	return &Order{domains: map[string][]hashedName{domain: members}, size: len(members)}
}

// Add adds a member that the order does not contain.
func (o *Order) Add(m Member) {
	h := hashed(m.Name)
	domain := o.domains[m.FailureDomain]
	n, _ := slices.BinarySearchFunc(domain, h, hashedName.compare)
	o.domains[m.FailureDomain] = slices.Insert(domain, n, h)
	o.size++
}

// Remove removes a member. It does nothing if the order does not contain it.
func (o *Order) Remove(m Member) {
	domain := o.domains[m.FailureDomain]
	n, found := slices.BinarySearchFunc(domain, hashed(m.Name), hashedName.compare)
	if !found {
		return
	}
	if len(domain) == 1 {
		delete(o.domains, m.FailureDomain)
	} else {
		o.domains[m.FailureDomain] = slices.Delete(domain, n, n+1)
	}
	o.size--
}

// placed is a member with its relative position in the order, from 0 to 1.
type placed struct {
	hashedName
	position float64
}

func (a placed) compare(b placed) int {
	return cmp.Or(cmp.Compare(a.position, b.position), a.hashedName.compare(b.hashedName))
}

// placedAt returns the nth member of a failure domain.
func placedAt(domain []hashedName, n int) placed {
	return placed{hashedName: domain[n], position: (float64(n) + 0.5) / float64(len(domain))}
}

// Group returns the names of the members of one group.
func (o *Order) Group(group, groups int) []string {
	from, to := group*o.size/groups, (group+1)*o.size/groups
	window, before := o.around(from, to)
	names := make([]string, 0, to-from)
	for _, m := range window[from-before : to-before] {
		names = append(names, m.name)
	}
	return names
}

// around returns consecutive members that include those from index from to index to of the order, and the
// number of members before the first of them. A member's index differs from its relative position times
// the number of members by less than two for each failure domain.
func (o *Order) around(from, to int) (window []placed, before int) {
	margin := 2 * float64(len(o.domains))
	low := (float64(from) - margin) / float64(o.size)
	high := (float64(to) + margin) / float64(o.size)
	for _, domain := range o.domains {
		first := sort.Search(len(domain), func(n int) bool { return placedAt(domain, n).position >= low })
		before += first
		for n := first; n < len(domain) && placedAt(domain, n).position <= high; n++ {
			window = append(window, placedAt(domain, n))
		}
	}
	slices.SortFunc(window, placed.compare)
	return window, before
}

// Len returns the number of members.
func (o *Order) Len() int { return o.size }

// GroupOf returns the group of a member, and false if the order does not contain it.
func (o *Order) GroupOf(m Member, groups int) (group int, ok bool) {
	domain := o.domains[m.FailureDomain]
	n, found := slices.BinarySearchFunc(domain, hashed(m.Name), hashedName.compare)
	if !found {
		return 0, false
	}
	self, index := placedAt(domain, n), 0
	for _, domain := range o.domains {
		index += sort.Search(len(domain), func(n int) bool { return placedAt(domain, n).compare(self) >= 0 })
	}
	return ((index+1)*groups - 1) / o.size, true
}

// Select returns the names that rendezvous hashing selects: the first count names in an order that depends
// on the key.
func Select(names []string, key uint64, count int) []string {
	var out []string
	for _, name := range names {
		if IsSelected(name, names, key, count) {
			out = append(out, name)
		}
	}
	return out
}

// IsSelected reports whether rendezvous hashing selects a name: whether it is among the first count
// names in an order that depends on the key.
func IsSelected(name string, names []string, key uint64, count int) bool {
	return Rank(name, names, key) < count
}

// Rank returns the position of a name in the order of rendezvous hashing, which depends on the key.
func Rank(name string, names []string, key uint64) int {
	own := rendezvousHash(name, key)
	rank := 0
	for _, other := range names {
		if other != name && cmp.Or(cmp.Compare(rendezvousHash(other, key), own), cmp.Compare(other, name)) < 0 {
			rank++
		}
	}
	return rank
}

func rendezvousHash(name string, key uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name) // never fails
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, key))
	return digest.Sum64()
}
