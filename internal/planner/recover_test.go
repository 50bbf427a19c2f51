package planner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// All prompts of an organisation begin with the same long instructions. After daemons are
// replaced, a context returns whose export is stored with those of a hundred others that
// have the same first block. A list truncated to the 64 least recently used exports never
// contains a context that returns soon, so that it would be recomputed.
func TestRecoverFindsContextAmongManyWithSharedPrefix(t *testing.T) {
	for _, shared := range []int{1, 40, 128} {
		t.Run(fmt.Sprint(shared), func(t *testing.T) {
			env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
			previous := env.planner()
			prefix := text("instructions", shared)
			for i := range 100 {
				env.commitManifest(previous, contextOf(testOrg, prefix+text(fmt.Sprint("other ", i), 2*shared)))
			}
			wanted := prefix + text("wanted", 2*shared)
			earlier := env.commitManifest(previous, contextOf(testOrg, wanted))
			later := env.commitManifest(previous, contextOf(testOrg, wanted+text("answer", 3)))
			env.commitManifest(previous, contextOf("temper", wanted+text("answer", 3)))
			c := contextOf(testOrg, wanted+text("answer", 3)+text("question", 2))

			truncated, err := env.client.List(env.ctx, store.GenerationsPrefix(c.Scope, generationPrefix(c.Chain)), store.ManifestMark, maxListed)
			env.check(err)
			for _, l := range truncated {
				if l.Name == later.Name() || l.Name == earlier.Name() {
					t.Fatal("the truncated list contains the context")
				}
			}

			located := env.planner().recover(env.ctx, env.tables.Current(), c)
			if len(located.Copies) != 1 || located.Copies[0].Manifest != later.Name() || located.Copies[0].Blocks != 3*shared+3 {
				t.Fatalf("found %+v, want %s", located.Copies, later.Name())
			}
		})
	}
}

// For each context length, the search for a longer prompt lists the depth of the context.
func TestSearchReachesDepthOfEveryPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.IntRange(1, 5000).Draw(t, "blocks")
		prompt := rapid.IntRange(blocks, 6000).Draw(t, "prompt")
		want := depthOf(blocks)
		if want > blocks || 5*want < 4*blocks {
			t.Fatalf("%d blocks have depth %d", blocks, want)
		}
		listings := 1
		depth := depthOf(prompt)
		for depth > want {
			depth = depthOf(depth - 1)
			listings++
		}
		if depth != want || listings > 50 {
			t.Fatalf("the search for a prompt of %d blocks skips depth %d; it made %d lists", prompt, want, listings)
		}
	})
}

// No two exports have the same name prefix, and no prefix of an export begins with that of
// another. Otherwise a reader that holds an old manifest would read another export's blocks.
func TestGenerationsAreUnique(t *testing.T) {
	scope := block.Scope{Org: testOrg, Model: "verdict", Version: "v1"}
	chains := [][]block.Hash{contextOf(testOrg, text("a", 3)).Chain, contextOf(testOrg, text("b", 9)).Chain}
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		daemons := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z0-9.-]{1,4}"), 1, 4, rapid.ID[string]).Draw(t, "daemons")
		for _, daemon := range daemons {
			for incarnation := range 3 {
				p := &Planner{opts: Options{Instance: fmt.Sprintf("%s.%x", daemon, incarnation)}}
				for n := range 12 {
					prefix := store.Prefix(scope, p.nextGeneration(chains[n%len(chains)]))
					if seen[prefix] {
						t.Fatalf("%q was used twice", prefix)
					}
					seen[prefix] = true
				}
			}
		}
		for a := range seen {
			for n := 1; n < len(a); n++ {
				if seen[a[:n]] {
					t.Fatalf("%q is a prefix of %q", a[:n], a)
				}
			}
		}
	})
}

// A name that is read from a store VM parses only if it is exactly the name of the resulting
// reference. Otherwise the planner could delete another export by that name.
func FuzzParseReference(f *testing.F) {
	c := contextOf(testOrg, text("a", 3))
	f.Add(store.ManifestName(c.Scope, "g.1", c.Chain[2]))
	f.Add(store.ManifestName(block.Scope{Org: request.OrgID("a/b%"), Model: "=", Version: ".."}, "", c.Chain[0]))
	f.Add("o=/m=/v=/g=/manifest-")
	f.Add("o=%zz/m=a/v=b/g=c/manifest-00")
	f.Fuzz(func(t *testing.T, name string) {
		r, err := parseReference(name)
		if err == nil && r.String() != name {
			t.Fatalf("%q was parsed as %q", name, r)
		}
	})
}
