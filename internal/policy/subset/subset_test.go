package subset

import (
	"fmt"
	"slices"
	"testing"
)

// members returns some members, spread over the failure domains in turn.
func members(prefix string, n, domains int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Name: fmt.Sprint(prefix, i), FailureDomain: fmt.Sprint("fd", i%domains)}
	}
	return out
}

// The load: a datagram to each other daemon every 60 ms. With 71 daemons in one group that
// were 83,000 a second; in groups each daemon talks to as few as in a small fleet.
func TestGroupsStaySmall(t *testing.T) {
	for _, c := range []struct{ daemons, replicas, groups int }{
		{8, 18, 1}, {12, 18, 1}, {71, 140, 8}, {87, 140, 8}, {390, 1300, 32}, {87, 6, 1}, {1, 1, 1},
	} {
		got := GroupCount(c.daemons, c.replicas)
		if got != c.groups {
			t.Errorf("%d daemons, %d replicas: %d groups, want %d", c.daemons, c.replicas, got, c.groups)
		}
	}
}

// Every daemon and replica is in one group, the groups are even, and the loss of one
// changes the group of few.
func TestGroupsAreEvenAndStable(t *testing.T) {
	all := members("d", 87, 1)
	const groups = 4
	seen := map[string]int{}
	for g := range groups {
		part := GroupMembers(all, g, groups)
		if len(part) < 87/groups || len(part) > 87/groups+1 {
			t.Errorf("group %d has %d", g, len(part))
		}
		for _, name := range part {
			seen[name]++
			if GroupOf(all, name, groups) != g {
				t.Errorf("%s is in two groups", name)
			}
		}
	}
	if len(seen) != 87 {
		t.Errorf("%d of 87 are in a group", len(seen))
	}
	moved := 0
	fewer := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Name == "d40" })
	for _, m := range fewer {
		if GroupOf(all, m.Name, groups) != GroupOf(fewer, m.Name, groups) {
			moved++
		}
	}
	if moved > groups {
		t.Errorf("%d changed their group", moved)
	}
}

// The load: 53 replicas in five failure domains and in eight groups, whose contexts lie in
// stores of one domain. A fetch from another domain takes the store's link twice as long. By
// their hashes alone two of the groups had no replica near the stores, and fetched all that
// they needed from afar.
func TestEachGroupHasItsShareOfEachFailureDomain(t *testing.T) {
	const replicas, domains = 53, 5
	groups := GroupCount(95, replicas)
	all := members("i-", replicas, domains)
	domainOf := map[string]string{}
	for _, m := range all {
		domainOf[m.Name] = m.FailureDomain
	}
	for g := range groups {
		count := map[string]int{}
		for _, name := range GroupMembers(all, g, groups) {
			count[domainOf[name]]++
		}
		for d := range domains {
			if n := count[fmt.Sprint("fd", d)]; n < 1 || n > 2 {
				t.Errorf("group %d has %d replicas of domain %d", g, n, d)
			}
		}
	}
}

// A daemon of one failure domain goes. At each cut between two groups one of its domain may
// change sides, and one or two of others that keep the groups even.
func TestFewChangeTheirGroupAcrossFailureDomains(t *testing.T) {
	const groups, atEachCut = 8, 3
	all := members("d", 95, 5)
	for _, gone := range all {
		fewer := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m == gone })
		moved := 0
		for _, m := range fewer {
			if GroupOf(all, m.Name, groups) != GroupOf(fewer, m.Name, groups) {
				moved++
			}
		}
		if moved > atEachCut*(groups-1) {
			t.Errorf("without %s %d changed their group", gone.Name, moved)
		}
	}
}
