package store_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"
)

var conche = block.Scope{Org: "conche", Model: "verdict", Version: "v1"}

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

func manifestOf(generation store.Generation, hashes []block.Hash) store.Manifest {
	m := store.Manifest{Org: conche.Org, Model: conche.Model, Version: conche.Version}
	return m.Extend(generation, exported(hashes))
}

// Guards against a caller that reads partially written content. A context is freed and
// exported again while the caller still holds the old manifest. If names consisted of the
// content's hash alone, the old names would refer to content of the new, incomplete
// export. Since names contain the generation, the old names are misses, and the store VM
// refuses them permanently.
func TestFreedBlockOfHeldManifestIsAMiss(t *testing.T) {
	naive := map[string]string{}
	hash := chain(conche, 1)[0]
	held := hash.String() // a reader has this name from the manifest
	naive[held] = "old"
	delete(naive, held)
	naive[hash.String()] = "half of new"
	if naive[held] != "half of new" {
		t.Fatal("the naive names were expected to return another export's content")
	}

	ctx := testContext(t)
	_, client := start(t, standin.Options{MemoryBytes: 1 << 20}, 0)
	old := exportContext(t, client, 4, "g1")
	if err := client.PutManifest(ctx, old); err != nil {
		t.Fatal(err)
	}
	if err := client.DeleteExport(ctx, old); err != nil {
		t.Fatal(err)
	}
	renewed := exportContext(t, client, 4, "g2")
	if err := client.PutManifest(ctx, renewed); err != nil {
		t.Fatal(err)
	}
	_, err := client.GetManifest(ctx, old.Scope(), old.Generation, old.Tail())
	wantMiss(t, err, store.MissFreed)
	for i, b := range old.Blocks {
		_, err := client.GetBlock(ctx, old, b)
		wantMiss(t, err, store.MissFreed)
		if _, err := client.GetBlock(ctx, renewed, renewed.Blocks[i]); err != nil {
			t.Fatal(err)
		}
	}
}

func TestManifestBelongsToOneContext(t *testing.T) {
	hashes := chain(conche, 6)
	first := manifestOf("g1", hashes[:4])
	second := first.Extend("g2", exported(hashes[4:]))
	if err := second.Check(conche, hashes); err != nil || len(second.Blocks) != 6 || second.Bytes() != 600 {
		t.Fatalf("%d blocks, %d bytes, %v", len(second.Blocks), second.Bytes(), err)
	}
	if runs := second.Runs(); len(runs) != 2 || len(runs[0].Blocks) != 4 || runs[0].Generation != "g1" || len(runs[1].Blocks) != 2 {
		t.Fatalf("runs %+v", runs)
	}
	names := second.BlockNames()
	for i, name := range first.BlockNames() {
		if names[i] != name {
			t.Fatalf("block %d is %q in the first manifest and %q in the second", i, name, names[i])
		}
	}
	other := conche
	other.Org = "temper"
	noDigest := manifestOf("g1", hashes[:2])
	noDigest.Blocks[1].Digest = ""
	for name, err := range map[string]error{
		"another organisation": second.Check(other, chain(other, 6)),
		"another chain":        second.Check(conche, hashes[1:]),
		"a longer one":         second.Check(conche, hashes[:5]),
		"a gap":                manifestOf("g1", []block.Hash{hashes[0], hashes[2]}).Check(conche, hashes),
		"no digest":            noDigest.Check(conche, hashes),
		"nothing":              manifestOf("g1", nil).Check(conche, hashes),
	} {
		if !errors.Is(err, store.ErrBadManifest) {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, client := start(t, standin.Options{MemoryBytes: 1 << 20}, 0)
	if err := client.PutManifest(testContext(t), noDigest); !errors.Is(err, store.ErrBadManifest) {
		t.Fatalf("committed blocks that no reader can verify: %v", err)
	}
}
