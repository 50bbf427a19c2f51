package cachepool

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/request"
	_ "github.com/bluebellscale/bluebellscale/internal/testseed"
)

// aimedOrganisations is the number of organisations at the size that the project aims at.
const aimedOrganisations = 35_000

func names(n int) []request.OrgID {
	out := make([]request.OrgID, n)
	for i := range out {
		out[i] = request.OrgID(fmt.Sprint("org", i))
	}
	return out
}

func set(orgs ...request.OrgID) map[request.OrgID]struct{} {
	out := map[request.OrgID]struct{}{}
	for _, org := range orgs {
		out[org] = struct{}{}
	}
	return out
}

// TestNoPoolHoldsCacheOfOrganisationsThatAreKeptApart guards against a salt that an organisation used in any earlier state and
// that others use while it is kept apart.
func TestNoPoolHoldsCacheOfOrganisationsThatAreKeptApart(t *testing.T) {
	all := append(names(20), "", "a", "a\"", "a\",\"b", "b", "org.a", "pool.", "group.8-1", "w1", "anonymous")
	counts := []int{0, len(all), minGroup*groupStep - 1, minGroup * groupStep, aimedOrganisations, minGroup * groupStep * groupStep * groupStep}
	rapid.Check(t, func(rt *rapid.T) {
		used := map[string]map[request.OrgID]bool{}
		for range rapid.IntRange(1, 30).Draw(rt, "states") {
			apart := set(rapid.SliceOfN(rapid.SampledFrom(all), 0, 4).Draw(rt, "apart")...)
			var generations Generations
			if rapid.Bool().Draw(rt, "returned") {
				generations[rapid.IntRange(0, Sections-1).Draw(rt, "section")] = rapid.Uint64Range(1, 3).Draw(rt, "generation")
			}
			p := New(rapid.SampledFrom(counts).Draw(rt, "organisations"), apart, &generations)
			weights := rapid.Uint64Range(1, 2).Draw(rt, "weights")
			anonymous := p.Anonymous(weights)
			for _, org := range all {
				salt := p.Salt(weights, org)
				if used[salt] == nil {
					used[salt] = map[request.OrgID]bool{}
				}
				used[salt][org] = true
				for other := range used[salt] {
					_, otherApart := apart[other]
					_, orgApart := apart[org]
					if other != org && (otherApart || orgApart) {
						rt.Fatalf("%q uses %q as %q did; kept apart: %v", org, salt, other, apart)
					}
				}
			}
			for other := range used[anonymous] {
				if _, otherApart := apart[other]; otherApart {
					rt.Fatalf("requests without an organisation use %q as %q did", anonymous, other)
				}
			}
			if used[OwnAnonymous(weights)] != nil {
				rt.Fatalf("organisations use %q", OwnAnonymous(weights))
			}
		}
	})
}

// TestSmallDeploymentsShareOnePool guards against organisations that compute the parts of prompts that they share once each.
func TestSmallDeploymentsShareOnePool(t *testing.T) {
	orgs := names(minGroup*groupStep - 1)
	p := New(len(orgs), set("elsewhere"), &Generations{})
	for _, org := range orgs {
		if salt, want := p.Salt(1, org), p.Salt(1, orgs[0]); salt != want || salt == p.Salt(2, org) {
			t.Fatalf("%s: salt %q, want %q", org, salt, want)
		}
	}
	if salt := New(len(orgs), nil, &Generations{}).Salt(1, orgs[0]); salt != "w1" {
		t.Errorf("salt %q without isolated organisations", salt)
	}
}

// TestChangeLeavesCacheOfOneGroupOnly guards against organisations that lose their cache when one of many others is isolated, or
// may share again.
func TestChangeLeavesCacheOfOneGroupOnly(t *testing.T) {
	orgs := names(aimedOrganisations)
	before := New(len(orgs), set(orgs[7]), &Generations{})
	var generations Generations
	generations[Section(orgs[9])] = 1
	for name, after := range map[string]*Pools{
		"isolated": New(len(orgs), set(orgs[7], orgs[9]), &Generations{}),
		"returned": New(len(orgs), set(orgs[7]), &generations),
	} {
		changed := 0
		for _, org := range orgs {
			if before.Salt(1, org) != after.Salt(1, org) {
				changed++
			}
		}
		if most := 2 * len(orgs) / Sections; changed == 0 || changed > most {
			t.Errorf("%s: %d of %d organisations change their salt, want 1 to %d", name, changed, len(orgs), most)
		}
	}
}

// TestReturnLeadsToPoolsThatWereNeverUsed guards against a group that returns to a pool of an earlier generation, for any number
// of groups.
func TestReturnLeadsToPoolsThatWereNeverUsed(t *testing.T) {
	for groups := 1; groups <= maxGroups; groups *= groupStep {
		count := groups * minGroup
		if got := groupsFor(count); got != uint64(groups) {
			t.Fatalf("%d organisations: %d groups, want %d", count, got, groups)
		}
		for _, org := range names(200) {
			var generations Generations
			generations[Section(org)] = 3
			before, after := New(count, nil, &Generations{}), New(count, nil, &generations)
			if before.Salt(1, org) == after.Salt(1, org) {
				t.Fatalf("%d groups: the salt of %s stays", groups, org)
			}
		}
	}
}

// TestModelsShareNoCache guards against a prompt that goes on from the cache of another model, whose parts have the same names.
func TestModelsShareNoCache(t *testing.T) {
	pools := New(2, nil, &Generations{})
	seen := map[string]bool{}
	for _, base := range []string{pools.Salt(1, "a"), pools.Salt(2, "a"), Own(1, "a"), Own(1, "a.b"), OwnAnonymous(1)} {
		for _, model := range []request.Model{"m", "n", "m.n", ""} {
			salt := ForModel(base, model)
			if seen[salt] {
				t.Errorf("salt %q of model %q is used twice", salt, model)
			}
			seen[salt] = true
		}
	}
}
