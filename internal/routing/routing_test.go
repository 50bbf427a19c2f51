package routing

import (
	"fmt"
	"testing"
)

func snapshot() *Snapshot {
	routes := []*Route{
		{Name: "root", Host: "a", Prefix: "/"},
		{Name: "deep", Host: "a", Prefix: "/x/y/"},
		{Name: "mid", Host: "a", Prefix: "/x/", Anonymous: true},
		{Name: "other", Host: "b", Prefix: "/x/"},
	}
	orgs := &Organisations{}
	orgs.Add(&Org{ID: "o"}, "k")
	return NewSnapshot(1, routes, nil, orgs, CallerLimits{})
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	s := snapshot()
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "deep"},
		{"A:8080", "/x/y", "mid"},
		{"a", "/xy", "root"},
		{"b", "/x/", "other"},
		{"b", "/", ""},
		{"c", "/x/", ""},
		{"a", "/x%2Fy/", "root"},
	} {
		got := ""
		if r := s.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestKeysIdentifyOrganisations(t *testing.T) {
	s := snapshot()
	if s.OrgOf("k") == nil || s.OrgOf("x") != nil || s.OrgOf("") != nil {
		t.Error("a key maps to the wrong organisation")
	}
	if !s.NeedsKey(s.Match("a", "/")) || s.NeedsKey(s.Match("a", "/x/")) {
		t.Error("the wrong routes need a key")
	}
	if open := NewSnapshot(1, nil, nil, nil, CallerLimits{}); open.NeedsKey(&Route{}) {
		t.Error("a desired state without organisations requires keys")
	}
}

// A session stays with one service while the shares do not change, and each service gets its share.
func TestSplitFollowsTheWeights(t *testing.T) {
	r := &Route{Shares: []Share{{"s1", 90}, {"s2", 10}, {"none", 0}}}
	counts := map[ServiceID]int{}
	for i := range 10_000 {
		key := fmt.Sprint("session", i)
		service := r.ServiceFor(key)
		if service != r.ServiceFor(key) {
			t.Fatal("a session changes its service")
		}
		counts[service]++
	}
	if counts["s2"] < 850 || counts["s2"] > 1150 || counts["none"] != 0 {
		t.Errorf("got %v", counts)
	}
}

// A caller queries the directory with the host as it later sends it, with a port or in capitals. The
// homes must be those of the route that the request then matches.
func TestHomesMatchRouteOfHost(t *testing.T) {
	s := NewSnapshot(1, []*Route{{Name: "r", Host: "h.example", Prefix: "/", Homes: []Region{"eu"}}}, nil, nil, CallerLimits{})
	for _, host := range []string{"h.example", "H.example", "h.example:8080"} {
		if s.Match(host, "/x") == nil {
			t.Errorf("%s: no route", host)
		}
		if homes := s.HomesOf(host); len(homes) != 1 || homes[0] != "eu" {
			t.Errorf("%s: homes %v", host, homes)
		}
	}
}
