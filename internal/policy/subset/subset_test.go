package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
	"pgregory.net/rapid"
)

// members returns n members, assigned to the failure domains in turn.
func members(prefix string, n, domains int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Name: fmt.Sprint(prefix, i), FailureDomain: fmt.Sprint("fd", i%domains)}
	}
	return out
}

// groupOf returns the group of a member by its name.
func groupOf(all []Member, name string, groups int) int {
	n := slices.IndexFunc(all, func(m Member) bool { return m.Name == name })
	if n < 0 {
		return 0
	}
	group, _ := NewOrder(all).GroupOf(all[n], groups)
	return group
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
		part := NewOrder(all).Group(g, groups)
		if len(part) < 87/groups || len(part) > 87/groups+1 {
			t.Errorf("group %d has %d members", g, len(part))
		}
		for _, name := range part {
			seen[name]++
			if groupOf(all, name, groups) != g {
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
		if groupOf(all, m.Name, groups) != groupOf(fewer, m.Name, groups) {
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
		for _, name := range NewOrder(all).Group(g, groups) {
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
			if groupOf(all, m.Name, groups) != groupOf(fewer, m.Name, groups) {
				moved++
			}
		}
		if moved > atEachCut*(groups-1) {
			t.Errorf("after removal of %s, %d members changed their group", removed.Name, moved)
		}
	}
}

// sortedOrder is the order by its definition: members sorted by their relative position in their failure
// domain.
func sortedOrder(members []Member) []string {
	domains := map[string][]hashedName{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], hashed(m.Name))
	}
	var all []placed
	for _, domain := range domains {
		slices.SortFunc(domain, hashedName.compare)
		for n := range domain {
			all = append(all, placedAt(domain, n))
		}
	}
	slices.SortFunc(all, placed.compare)
	var names []string
	for _, m := range all {
		names = append(names, m.name)
	}
	return names
}

// Daemons that joined at different times must agree on the groups, although each updates its order by the
// differences that it saw.
func TestGroupsDoNotDependOnHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order, present := NewOrder(nil), map[string]Member{}
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			name := fmt.Sprint("m", rapid.IntRange(0, 60).Draw(t, "name"))
			if m, has := present[name]; has {
				order.Remove(m)
				delete(present, name)
				continue
			}
			m := Member{Name: name, FailureDomain: fmt.Sprint("fd", rapid.IntRange(0, 3).Draw(t, "domain"))}
			order.Add(m)
			present[name] = m
		}
		members := slices.Collect(maps.Values(present))
		want := sortedOrder(members)
		groups := rapid.IntRange(1, 9).Draw(t, "groups")
		var got []string
		for g := range groups {
			names := order.Group(g, groups)
			for _, name := range names {
				if of, ok := order.GroupOf(present[name], groups); of != g || !ok {
					t.Fatalf("%s of group %d is in group %d", name, g, of)
				}
			}
			if len(names) != (g+1)*len(want)/groups-g*len(want)/groups {
				t.Fatalf("group %d of %d has %d of %d members", g, groups, len(names), len(want))
			}
			got = append(got, names...)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("groups of %v, want %v", got, want)
		}
	})
}

// BenchmarkGroup measures a replaced replica and the group that it may change.
func BenchmarkGroup(b *testing.B) {
	all := members("i-", 20_000, 5)
	order := NewOrder(all)
	b.ReportAllocs()
	for n := range b.N {
		order.Remove(all[n%len(all)])
		order.Add(all[n%len(all)])
		order.Group(17, 256)
	}
}
