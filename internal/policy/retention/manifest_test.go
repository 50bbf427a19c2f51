package retention

import (
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

var scope = block.Scope{Org: "conche", Model: "verdict", Version: "v1"}

func chain(s block.Scope, blocks int) []block.Hash {
	return block.Chain(s.Salt(), make([]byte, blocks*block.BytesPerBlock))
}

func exported(hashes []block.Hash) []engineapi.ExportedBlock {
	var out []engineapi.ExportedBlock
	for _, h := range hashes {
		out = append(out, engineapi.ExportedBlock{Hash: h, Length: 100, Digest: "digest"})
	}
	return out
}

// objects is a store VM: names to contents.
type objects map[string]string

// A context is freed and exported again while a caller still imports the old export.
// With names made of the content's hash alone and blocks deleted first, the caller,
// holding the old manifest, finds names whose content is of the new export and half
// written, and reads it as its own. Ours deletes the manifest first and never repeats
// a name: the old names read as a miss.
func TestFreedBlockUnderAManifest(t *testing.T) {
	hashes := chain(scope, 4)
	naive := objects{}
	naiveName := func(h block.Hash) string { return "b-" + h.String() }
	naive[naiveName(hashes[0])] = "old"
	held := naiveName(hashes[0]) // a reader took this name from the manifest
	delete(naive, held)
	naive[naiveName(hashes[0])] = "half of new"
	if naive[held] != "half of new" {
		t.Fatal("the naive names were expected to give the reader another export's content")
	}

	store := objects{}
	g := NewGenerations("d1", 7)
	write := func() Manifest {
		name := g.Next(scope)
		for _, h := range hashes {
			store[name.BlockPrefix()+h.String()] = name.Manifest()
		}
		m, err := NewManifest(scope, hashes, nil, name, exported(hashes))
		if err != nil {
			t.Fatal(err)
		}
		store[name.Manifest()] = "manifest"
		return m
	}
	old := write()
	for _, step := range FreeingSteps() {
		if step == DeleteBlocks {
			for _, name := range old.Garbage(nil) {
				delete(store, name)
			}
		}
	}
	write()
	for _, request := range old.Imports("127.0.0.1:1", 0, 4) {
		for _, b := range request.Blocks {
			if content, ok := store[request.Prefix+b.Hash.String()]; ok {
				t.Fatalf("the old manifest leads to %q", content)
			}
		}
	}
	if FreeingSteps()[0] != DeleteManifest {
		t.Fatal("blocks are deleted under a manifest that readers can still find")
	}
}

// Names of all daemons, incarnations and scopes differ, and one prefix never begins another.
func TestNamesNeverRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		daemons := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z0-9-]{1,4}"), 1, 4, rapid.ID[string]).Draw(t, "daemons")
		for _, daemon := range daemons {
			for incarnation := range uint64(3) {
				g := NewGenerations(request.DaemonID(daemon), incarnation)
				for range 12 {
					prefix := g.Next(scope).BlockPrefix()
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

func TestManifestIsOfOneContext(t *testing.T) {
	hashes := chain(scope, 6)
	other := scope
	other.Org = "temper"
	g := NewGenerations("d1", 1)
	first, err := NewManifest(scope, hashes, nil, g.Next(scope), exported(hashes[:4]))
	if err != nil {
		t.Fatal(err)
	}
	second, err := NewManifest(scope, hashes, &first, g.Next(scope), exported(hashes[4:]))
	if err != nil || second.Blocks() != 6 || second.Bytes() != 600 {
		t.Fatalf("%d blocks, %d bytes, %v", second.Blocks(), second.Bytes(), err)
	}
	if requests := second.Imports("s", 2, 5); len(requests) != 2 || len(requests[0].Blocks) != 2 || len(requests[1].Blocks) != 1 {
		t.Fatalf("imports %+v", requests)
	}
	if garbage := first.Garbage(&second); len(garbage) != 0 {
		t.Fatalf("blocks that the newer manifest lists would be deleted: %v", garbage)
	}
	bad := map[string]error{
		"another organisation": second.Check(other, chain(other, 6)),
		"another chain":        second.Check(scope, hashes[1:]),
		"a gap":                gapError(hashes, g),
		"no digest":            digestError(hashes, g),
		"nothing":              Manifest{Salt: scope.Salt(), Version: scope.Version}.Check(scope, hashes),
	}
	for name, err := range bad {
		if !errors.Is(err, ErrBadManifest) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func gapError(hashes []block.Hash, g *Generations) error {
	_, err := NewManifest(scope, hashes, nil, g.Next(scope), exported([]block.Hash{hashes[0], hashes[2]}))
	return err
}

func digestError(hashes []block.Hash, g *Generations) error {
	written := exported(hashes[:2])
	written[1].Digest = ""
	_, err := NewManifest(scope, hashes, nil, g.Next(scope), written)
	return err
}
