package subset

import (
	"fmt"
	"slices"
	"testing"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint(prefix, i)
	}
	return out
}

// The load: a datagram to each other daemon every 60 ms. With 71 daemons in one group that
// were 83,000 a second; in groups each daemon talks to as few as in a small fleet.
func TestGroupsStaySmall(t *testing.T) {
	for _, c := range []struct{ daemons, replicas, groups int }{
		{8, 18, 1}, {12, 18, 1}, {71, 140, 8}, {87, 140, 8}, {390, 1300, 32}, {87, 6, 1}, {1, 1, 1},
	} {
		got := Groups(c.daemons, c.replicas)
		if got != c.groups {
			t.Errorf("%d daemons, %d replicas: %d groups, want %d", c.daemons, c.replicas, got, c.groups)
		}
	}
}

// Every daemon and replica is in one group, the groups are even, and the loss of one
// changes the group of few.
func TestGroupsAreEvenAndStable(t *testing.T) {
	all := names("d", 87)
	const groups = 4
	seen := map[string]int{}
	for g := range groups {
		part := Part(all, g, groups)
		if len(part) < 87/groups || len(part) > 87/groups+1 {
			t.Errorf("group %d has %d", g, len(part))
		}
		for _, name := range part {
			seen[name]++
			if Of(all, name, groups) != g {
				t.Errorf("%s is in two groups", name)
			}
		}
	}
	if len(seen) != 87 {
		t.Errorf("%d of 87 are in a group", len(seen))
	}
	moved := 0
	fewer := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == "d40" })
	for _, name := range fewer {
		if Of(all, name, groups) != Of(fewer, name, groups) {
			moved++
		}
	}
	if moved > groups {
		t.Errorf("%d changed their group", moved)
	}
}
