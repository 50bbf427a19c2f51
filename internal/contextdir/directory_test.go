package contextdir

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_000_000, 0)

// chainOf returns a chain whose block i depends on the first i letters of text.
func chainOf(text string) []block.Hash {
	chain := make([]block.Hash, len(text))
	for i := range chain {
		copy(chain[i][:], block.Chain(text[:i+1], make([]byte, block.BytesPerBlock))[0][:])
	}
	return chain
}

func pick(chain []block.Hash, positions []int) []block.Hash {
	out := make([]block.Hash, 0, len(positions))
	for _, p := range positions {
		out = append(out, chain[p-1])
	}
	return out
}

func TestDirectory(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		d := New(Params{MaxContexts: 3, MaxTargetsPerContext: 2})
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			return runCommand(t, d, td)
		})
	})
}

func runCommand(t *testing.T, d *Directory, td *datadriven.TestData) string {
	var org, text, target, store, manifest string
	var at, cached, blocks, seq, next, incarnation int
	var positions []int
	kind := string(engineapi.BlocksStored)
	td.MaybeScanArgs(t, "org", &org)
	td.MaybeScanArgs(t, "text", &text)
	td.MaybeScanArgs(t, "target", &target)
	td.MaybeScanArgs(t, "store", &store)
	td.MaybeScanArgs(t, "manifest", &manifest)
	td.MaybeScanArgs(t, "at", &at)
	td.MaybeScanArgs(t, "cached", &cached)
	td.MaybeScanArgs(t, "blocks", &blocks)
	td.MaybeScanArgs(t, "seq", &seq)
	td.MaybeScanArgs(t, "next", &next)
	td.MaybeScanArgs(t, "incarnation", &incarnation)
	td.MaybeScanArgs(t, "kind", &kind)
	if arg, ok := td.Arg("positions"); ok {
		for _, v := range arg.Vals {
			p, err := strconv.Atoi(v)
			if err != nil {
				t.Fatal(err)
			}
			positions = append(positions, p)
		}
	}
	scope := block.Scope{Org: request.OrgID(org), Model: "verdict", Version: "v1"}
	chain := chainOf(text)
	now := epoch.Add(time.Duration(at) * time.Second)
	id := request.TargetID(target)
	switch td.Cmd {
	case "lookup":
		return formatLookup(d.Lookup(scope, chain))
	case "used":
		return formatActions(d.OnUse(scope, chain, now))
	case "answered":
		c := d.OnAnswer(id, scope, chain, cached*block.TokensPerBlock, now)
		return fmt.Sprintf("believed=%d actual=%d\n%s", c.Assumed, c.Actual, formatActions(c.Actions))
	case "stored":
		return formatActions(d.OnManifestCommitted(scope, chain, Copy{
			Manifest: manifest, Store: request.StoreID(store), Tier: storeapi.TierMemory, Blocks: blocks, Bytes: int64(blocks) * 100,
		}))
	case "moved":
		d.OnManifestMoved(manifest, storeapi.TierDisk)
	case "freed":
		d.OnManifestFreed(manifest)
	case "store-lost":
		d.OnStoreLost(request.StoreID(store))
	case "target-lost":
		d.OnTargetLost(id)
	case "event":
		page := engineapi.EventPage{Incarnation: uint64(incarnation), Next: uint64(next)}
		if seq > 0 {
			page.Events = []engineapi.CacheEvent{{Seq: uint64(seq), Kind: engineapi.EventKind(kind), Blocks: pick(chain, positions)}}
		}
		return formatActions(d.OnEvents(id, page))
	case "snapshot":
		d.OnSnapshot(id, engineapi.Snapshot{Incarnation: uint64(incarnation), Seq: uint64(seq), Blocks: pick(chain, positions)})
		return fmt.Sprintf("after=%d\n", d.LastEventSeq(id))
	case "dump":
		dump := d.Dump()
		return fmt.Sprintf("contexts=%d scopes=%d manifests=%d\n", dump.Contexts, dump.Scopes, dump.Manifests)
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	return ""
}

func formatLookup(l LookupResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "known=%d gaps=%d\n", l.KnownBlocks, l.Gaps.Count())
	sort.Slice(l.Resident, func(i, j int) bool { return l.Resident[i].Target < l.Resident[j].Target })
	for _, r := range l.Resident {
		fmt.Fprintf(&b, "target %s blocks=%d unsure=%t\n", r.Target, r.Blocks, r.Unconfirmed)
	}
	for _, c := range l.Copies {
		fmt.Fprintf(&b, "copy %s %s %s blocks=%d bytes=%d shared=%t\n", c.Manifest, c.Store, c.Tier, c.Blocks, c.Bytes, c.Shared)
	}
	return b.String()
}

func formatActions(actions []Action) string {
	var b strings.Builder
	for _, a := range actions {
		fmt.Fprintf(&b, "%s %s%s\n", a.Kind, a.Target, a.Copy.Manifest)
	}
	return b.String()
}

// TestEventGapTriggersSnapshot guards against a caller that waits for a full prefill at a
// target that no longer holds its context. The target evicted the blocks, and the page with
// the removal events was lost. A naive directory applies later events and records the blocks
// indefinitely. Directory must detect the gap in the sequence, mark the target as
// unconfirmed and request a snapshot.
func TestEventGapTriggersSnapshot(t *testing.T) {
	scope := block.Scope{Org: "conche", Model: "verdict", Version: "v1"}
	chain := chainOf("abcdefgh")
	stored := engineapi.CacheEvent{Seq: 1, Kind: engineapi.BlocksStored, Blocks: chain}
	// Event 2, the removal of all blocks, is lost.
	unrelated := engineapi.CacheEvent{Seq: 3, Kind: engineapi.BlocksStored, Blocks: chainOf("z")}
	snapshot := engineapi.Snapshot{Incarnation: 1, Seq: 3, Blocks: chainOf("z")}

	naive := naiveResidency{}
	naive.apply(stored)
	naive.apply(unrelated)
	if !naive[chain[7]] {
		t.Fatal("the naive directory should still record the evicted blocks as resident")
	}

	d := New(Params{})
	d.OnUse(scope, chain, epoch)
	d.OnEvents("t1", engineapi.EventPage{Incarnation: 1, Next: 1, Events: []engineapi.CacheEvent{stored}})
	if l := d.Lookup(scope, chain); len(l.Resident) != 1 || l.Resident[0].Blocks != 8 || l.Resident[0].Unconfirmed {
		t.Fatalf("before the gap: %+v", l.Resident)
	}
	actions := d.OnEvents("t1", engineapi.EventPage{Incarnation: 1, Next: 3, Events: []engineapi.CacheEvent{unrelated}})
	if len(actions) != 1 || actions[0].Kind != RequestSnapshot || actions[0].Target != "t1" {
		t.Fatalf("after the gap: actions %v", actions)
	}
	if l := d.Lookup(scope, chain); len(l.Resident) != 1 || !l.Resident[0].Unconfirmed {
		t.Fatalf("after the gap: %+v", l.Resident)
	}
	d.OnSnapshot("t1", snapshot)
	if l := d.Lookup(scope, chain); len(l.Resident) != 0 {
		t.Fatalf("after the snapshot: %+v", l.Resident)
	}
}

// naiveResidency applies events without checking their sequence numbers.
type naiveResidency map[block.Hash]bool

func (n naiveResidency) apply(e engineapi.CacheEvent) {
	for _, h := range e.Blocks {
		n[h] = e.Kind == engineapi.BlocksStored
	}
}

// TestLookupNeverCrossesScopes checks that a lookup returns only state of its own
// organisation and version, even if equal hashes occur in several scopes, and never more
// blocks than the true common prefix. The reference stores all chains in full.
func TestLookupNeverCrossesScopes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Params{MaxContexts: rapid.IntRange(1, 8).Draw(t, "max")})
		reference := map[block.Scope][][]block.Hash{}
		owner := map[string]block.Scope{}
		scopes := []block.Scope{
			{Org: "conche", Model: "m", Version: "v1"}, {Org: "temper", Model: "m", Version: "v1"}, {Org: "conche", Model: "m", Version: "v2"},
		}
		now := epoch
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			scope := rapid.SampledFrom(scopes).Draw(t, "scope")
			chain := chainOf(rapid.StringMatching("[ab]{1,9}").Draw(t, "text"))
			target := request.TargetID(scope.Org) + "-" + request.TargetID(scope.Version)
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				d.OnUse(scope, chain, now)
				reference[scope] = append(reference[scope], chain)
			case 1:
				d.OnAnswer(target, scope, chain, 0, now)
				reference[scope] = append(reference[scope], chain)
			case 2:
				name := fmt.Sprint("manifest-", step)
				owner[name] = scope
				d.OnManifestCommitted(scope, chain, Copy{Manifest: name, Store: "s1", Blocks: len(chain), Bytes: int64(len(chain))})
			case 3:
				d.OnTargetLost(target)
			}
			probe := rapid.SampledFrom(scopes).Draw(t, "probe")
			l := d.Lookup(probe, chain)
			if limit := longestPrefix(reference[probe], chain); l.KnownBlocks > limit {
				t.Fatalf("scope %v: known %d, but the common prefix has only %d blocks", probe, l.KnownBlocks, limit)
			}
			own := request.TargetID(probe.Org) + "-" + request.TargetID(probe.Version)
			for _, r := range l.Resident {
				if r.Target != own || r.Blocks > l.KnownBlocks {
					t.Fatalf("lookup in scope %v returned %+v with known %d", probe, r, l.KnownBlocks)
				}
			}
			for _, c := range l.Copies {
				if owner[c.Manifest] != probe || c.Blocks > l.KnownBlocks {
					t.Fatalf("lookup in scope %v returned copy %+v with known %d", probe, c, l.KnownBlocks)
				}
			}
		}
	})
}

func longestPrefix(chains [][]block.Hash, chain []block.Hash) int {
	longest := 0
	for _, c := range chains {
		n := 0
		for n < len(c) && n < len(chain) && c[n] == chain[n] {
			n++
		}
		longest = max(longest, n)
	}
	return longest
}

// syntheticChain returns a chain of pseudo-random hashes.
func syntheticChain(r *rand.Rand, blocks int) []block.Hash {
	chain := make([]block.Hash, blocks)
	for i := range chain {
		binary.LittleEndian.PutUint64(chain[i][:], r.Uint64())
		binary.LittleEndian.PutUint64(chain[i][8:], r.Uint64())
	}
	return chain
}

// TestMemoryPerContext checks that the default number of contexts, each with a copy and
// two targets, needs at most 128 MB.
func TestMemoryPerContext(t *testing.T) {
	const contexts = 10_000
	const limit = 128 << 20
	r := rand.New(rand.NewSource(1))
	before := heapBytes()
	d := New(Params{})
	for i := range contexts {
		scope := block.Scope{Org: request.OrgID(fmt.Sprint("org-", i%100)), Model: "m", Version: "v1"}
		chain := syntheticChain(r, 312)
		d.OnUse(scope, chain, epoch)
		d.OnAnswer("t1", scope, chain, 0, epoch)
		d.OnAnswer("t2", scope, chain, 0, epoch)
		d.OnManifestCommitted(scope, chain, Copy{Manifest: fmt.Sprintf("m-%064x-%d", i, i), Store: "s1", Tier: storeapi.TierMemory, Blocks: 312})
	}
	perContext := float64(heapBytes()-before) / contexts
	t.Logf("%.0f bytes per context", perContext)
	if perContext*defaultMaxContexts > limit {
		t.Fatalf("%.0f bytes per context make %.0f MB for %d contexts", perContext, perContext*defaultMaxContexts/(1<<20), defaultMaxContexts)
	}
	runtime.KeepAlive(d)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkLookup(b *testing.B) {
	for _, contexts := range []int{1_000, 10_000, 210_000} {
		b.Run(strconv.Itoa(contexts), func(b *testing.B) {
			r := rand.New(rand.NewSource(1))
			d := New(Params{MaxContexts: contexts})
			scope := block.Scope{Org: "o", Model: "m", Version: "v1"}
			chains := make([][]block.Hash, 0, 500)
			for i := range contexts {
				chain := syntheticChain(r, 312)
				d.OnAnswer("t1", scope, chain, 0, epoch)
				if i%(contexts/500) == 0 {
					chains = append(chains, append(chain, syntheticChain(r, 8)...))
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				d.Lookup(scope, chains[i%len(chains)])
			}
		})
	}
}
