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

// An organisation's prompts all begin with the same long instructions. Daemons are
// replaced, and a context returns whose export lies in the store beside those of a
// hundred others with the same first block. A list cut at 64 holds those that were
// unused longest, never the one that comes back soon: it was computed again.
func TestRecoverFindsAContextAmongManyWithOneHead(t *testing.T) {
	for _, shared := range []int{1, 40, 128} {
		t.Run(fmt.Sprint(shared), func(t *testing.T) {
			w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
			former := w.planner()
			head := text("instructions", shared)
			for i := range 100 {
				w.commit(former, contextOf(testScope, head+text(fmt.Sprint("other ", i), 2*shared)))
			}
			wanted := head + text("wanted", 2*shared)
			earlier := w.commit(former, contextOf(testScope, wanted))
			later := w.commit(former, contextOf(testScope, wanted+text("answer", 3)))
			w.commit(former, contextOf("temper", wanted+text("answer", 3)))
			c := contextOf(testScope, wanted+text("answer", 3)+text("question", 2))

			naive, err := w.client.List(w.ctx, store.GenerationsPrefix(c.Scope, generationStart(c.Chain)), store.ManifestMark, maxRecovered)
			w.check(err)
			for _, l := range naive {
				if l.Name == later.Name() || l.Name == earlier.Name() {
					t.Fatal("the cut list was expected to lack the context")
				}
			}

			located := w.planner().recover(w.ctx, w.tables.Current(), c)
			if len(located.Copies) != 1 || located.Copies[0].Manifest != later.Name() || located.Copies[0].Blocks != 3*shared+3 {
				t.Fatalf("found %+v, want %s", located.Copies, later.Name())
			}
		})
	}
}

// Whatever a context's length, a longer prompt that asks depth by depth meets its depth.
func TestDepthOfAHeadIsMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.IntRange(1, 5000).Draw(t, "blocks")
		prompt := rapid.IntRange(blocks, 6000).Draw(t, "prompt")
		want := depthOf(blocks)
		if want > blocks || 5*want < 4*blocks {
			t.Fatalf("%d blocks have depth %d", blocks, want)
		}
		asked := 1
		depth := depthOf(prompt)
		for depth > want {
			depth = depthOf(depth - 1)
			asked++
		}
		if depth != want || asked > 50 {
			t.Fatalf("a prompt of %d blocks never asks for depth %d; it asked %d times", prompt, want, asked)
		}
	})
}

// Two exports never share a name, and no export's names begin with another's: a reader
// that holds an old manifest would be given another export's blocks.
func TestGenerationsNeverRepeat(t *testing.T) {
	scope := block.Scope{Org: testScope, Model: "verdict", Version: "v1"}
	chains := [][]block.Hash{contextOf(testScope, text("a", 3)).Chain, contextOf(testScope, text("b", 9)).Chain}
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		daemons := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z0-9.-]{1,4}"), 1, 4, rapid.ID[string]).Draw(t, "daemons")
		for _, daemon := range daemons {
			for incarnation := range 3 {
				p := &Planner{opts: Options{Instance: fmt.Sprintf("%s.%x", daemon, incarnation)}}
				for n := range 12 {
					prefix := store.Prefix(scope, p.nextGeneration(chains[n%len(chains)]))
					if seen[prefix] {
						t.Fatalf("%q was given twice", prefix)
					}
					seen[prefix] = true
				}
			}
		}
		for a := range seen {
			for n := 1; n < len(a); n++ {
				if seen[a[:n]] {
					t.Fatalf("%q begins %q", a[:n], a)
				}
			}
		}
	})
}

// A name read from a store VM is taken for a reference only if it is exactly the name
// that the reference stands for: what is freed by it would else be another export.
func FuzzParseReference(f *testing.F) {
	c := contextOf(testScope, text("a", 3))
	f.Add(store.ManifestName(c.Scope, "g.1", c.Chain[2]))
	f.Add(store.ManifestName(block.Scope{Org: request.OrgID("a/b%"), Model: "=", Version: ".."}, "", c.Chain[0]))
	f.Add("o=/m=/v=/g=/manifest-")
	f.Add("o=%zz/m=a/v=b/g=c/manifest-00")
	f.Fuzz(func(t *testing.T, name string) {
		r, err := parseReference(name)
		if err == nil && r.String() != name {
			t.Fatalf("%q was read as %q", name, r)
		}
	})
}
