package subset

import (
	"fmt"
	"slices"
	"testing"
)

// members returns n members, assigned to the failure domains in turn.
func members(prefix string, n, domains int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Name: fmt.Sprint(prefix, i), FailureDomain: fmt.Sprint("fd", i%domains)}
	}
	return out
}

// Each daemon sends a datagram to each other daemon of its group every 60 ms. A single group of 71
// daemons would send 83,000 datagrams per second; in groups, each daemon has as few peers as in a
// small fleet.
func TestGroupCount(t *testing.T) {
	for _, c := range []struct{ daemons, replicas, groups int }{
		{8, 18, 1}, {12, 18, 1}, {71, 140, 8}, {87, 140, 8}, {390, 1300, 32}, {87, 6, 1}, {1, 1, 1},
	} {
		got := GroupCount(c.daemons, c.replicas)
		if got != c.groups {
			t.Errorf("%d daemons, %d replicas: %d groups, want %d", c.daemons, c.replicas, got, c.groups)
		}
	}
}

// Each member is in exactly one group, the groups have equal sizes, and the removal of a member
// changes the group of few others.
func TestGroupsAreEvenAndStable(t *testing.T) {
	all := members("d", 87, 1)
	const groups = 4
	seen := map[string]int{}
	for g := range groups {
		part := GroupMembers(all, g, groups)
		if len(part) < 87/groups || len(part) > 87/groups+1 {
			t.Errorf("group %d has %d members", g, len(part))
		}
		for _, name := range part {
			seen[name]++
			if GroupOf(all, name, groups) != g {
				t.Errorf("%s is a member of two groups", name)
			}
		}
	}
	if len(seen) != 87 {
		t.Errorf("%d of 87 members are in a group", len(seen))
	}
	moved := 0
	fewer := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Name == "d40" })
	for _, m := range fewer {
		if GroupOf(all, m.Name, groups) != GroupOf(fewer, m.Name, groups) {
			moved++
		}
	}
	if moved > groups {
		t.Errorf("%d members changed their group", moved)
	}
}

// 53 replicas in five failure domains form eight groups, with contexts in stores of one domain. A
// fetch from another domain occupies the context store's link for twice as long. When the groups were formed
// by hash alone, two of them had no replica near the context stores and fetched all contexts across domains.
func TestGroupsSpanAllFailureDomains(t *testing.T) {
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
				t.Errorf("group %d has %d replicas of failure domain %d", g, n, d)
			}
		}
	}
}

// A daemon of one failure domain is removed. At each boundary between two groups, one member of that
// domain may change its group, and one or two of other domains that keep the sizes equal.
func TestRemovalMovesFewMembersAcrossFailureDomains(t *testing.T) {
	const groups, atEachCut = 8, 3
	all := members("d", 95, 5)
	for _, removed := range all {
		fewer := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m == removed })
		moved := 0
		for _, m := range fewer {
			if GroupOf(all, m.Name, groups) != GroupOf(fewer, m.Name, groups) {
				moved++
			}
		}
		if moved > atEachCut*(groups-1) {
			t.Errorf("after removal of %s, %d members changed their group", removed.Name, moved)
		}
	}
}
