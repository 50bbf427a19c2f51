package origin

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a daemon that may keep records.
type Member struct {
	Name          string
	FailureDomain string
	Region        string
}

// Keepers returns the indexes of the daemons that keep the record of a stream, for a daemon in a region: one of the whole
// fleet, which daemons of all regions choose alike, and the others of the region, in distinct failure domains as far as there
// are any. Fewer are returned if there are fewer daemons.
func Keepers(members []Member, key Key, region string, copies int) []int {
	weights := make([]uint64, len(members))
	for i := range members {
		weights[i] = weight(key, members[i].Name)
	}
	c := keeperChoice{members: members, weights: weights, domains: map[string]bool{}}
	c.take(func(*Member) bool { return true })
	for len(c.chosen) < copies && c.take(func(m *Member) bool { return m.Region == region && !c.domains[m.FailureDomain] }) {
	}
	for len(c.chosen) < copies && c.take(func(m *Member) bool { return m.Region == region }) {
	}
	for len(c.chosen) < copies && c.take(func(*Member) bool { return true }) {
	}
	return c.chosen
}

// keeperChoice collects the daemons with the highest weights.
type keeperChoice struct {
	members []Member
	weights []uint64
	chosen  []int
	domains map[string]bool // failure domains of those that are chosen
}

// take chooses the allowed daemon with the highest weight, and reports whether there is one.
func (c *keeperChoice) take(allowed func(*Member) bool) bool {
	best := -1
	for i := range c.members {
		if slices.Contains(c.chosen, i) || !allowed(&c.members[i]) {
			continue
		}
		if best < 0 || c.weights[i] > c.weights[best] {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	c.chosen = append(c.chosen, best)
	c.domains[c.members[best].FailureDomain] = true
	return true
}

func weight(key Key, name string) uint64 {
	d := xxhash.NewWithSeed(uint64(key))
	_, _ = d.WriteString(name) // never fails
	return d.Sum64()
}
