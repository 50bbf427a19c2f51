package planner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// A manifest may be that of a context that shares only some leading blocks with the
// prompt, or none. Without the check, the caller would be answered from the blocks of
// another context.
func TestMatchingBlocksBelongToTheContext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []block.Hash {
			words := rapid.StringOfN(rapid.RuneFrom([]rune("xy")), 0, 6, -1).Draw(t, name)
			var prompt string
			for _, w := range words {
				prompt += text(string(w), 1)
			}
			return contextOf(testOrg, prompt).Chain
		}
		chain, written := draw("prompt"), draw("manifest")
		var m store.Manifest
		for _, h := range written {
			m.Blocks = append(m.Blocks, engineapi.ExportedBlock{Hash: h})
		}
		n := rapid.IntRange(0, 8).Draw(t, "wanted")
		got := matchingBlocks(m, chain, n)
		for i, b := range got {
			if b.Hash != chain[i] {
				t.Fatalf("block %d belongs to another context", i)
			}
		}
		next := len(got)
		if next < min(n, len(chain), len(written)) && chain[next] == written[next] {
			t.Fatalf("stopped at %d of %d although the next block belongs to the context", next, n)
		}
	})
}

// The directory erroneously lists an export of another organisation, or of another context
// of the same organisation, for a prompt. None of its blocks may be imported.
func TestImportRejectsAnotherContext(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	p := env.planner()
	env.export(p, text("context", 10))
	choice := env.planImport(p, contextOf(testOrg, text("context", 10)))
	choice.Import.Timeout = testTimeout
	for name, c := range map[string]gateway.Context{
		"organisation": contextOf("temper", text("context", 10)),
		"context":      contextOf(testOrg, text("other", 10)),
	} {
		p.RunImport(env.ctx, c, *choice)
		if s := env.engines[1].Stats(); s.ImportedBlocks != 0 {
			t.Fatalf("another %s received %d blocks", name, s.ImportedBlocks)
		}
	}
}

// A caller returns while the store VM that holds its context is faulty. In each case the
// import must end soon, so that the target prefills the prompt, and later requests must
// avoid the fault: the directory drops missing or corrupt content, and the planner backs
// off from a store VM that is unreachable or too slow.
func TestFailedImportFallsBackToPrefill(t *testing.T) {
	tornReads := 3 // the manifest is read first
	slow := 1e9
	for name, tc := range map[string]struct {
		injectFault func(env *testEnv, c gateway.Context, p *Planner)
		deadline    time.Duration
		dropped     bool // the directory drops the copy; otherwise the planner backs off from the link
	}{
		"corrupt block": {
			injectFault: func(env *testEnv, _ gateway.Context, _ *Planner) {
				env.switches.Apply(fault.Command{TearReads: &tornReads})
			},
			deadline: testTimeout, dropped: true,
		},
		"deleted export": {
			injectFault: func(env *testEnv, c gateway.Context, p *Planner) {
				ref, err := parseReference(p.locate(c).Copies[0].Manifest)
				env.check(err)
				m, err := env.client.PeekManifest(env.ctx, c.Scope, ref.generation, ref.tail)
				env.check(err)
				env.check(env.client.DeleteExport(env.ctx, m))
			},
			deadline: testTimeout, dropped: true,
		},
		"unreachable store": {
			injectFault: func(env *testEnv, _ gateway.Context, _ *Planner) { env.check(env.store.Close()) },
			deadline:    testTimeout,
		},
		"slow store": {
			injectFault: func(env *testEnv, _ gateway.Context, _ *Planner) { env.switches.Apply(fault.Command{Slow: &slow}) },
			deadline:    50 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30, LinkBytesPerSec: 1 << 30})
			p := env.planner()
			c := env.export(p, text("context", 20))
			choice := env.planImport(p, c)
			if choice == nil {
				t.Fatal("no import was planned before the fault")
			}
			choice.Import.Timeout = tc.deadline
			tc.injectFault(env, c, p)

			p.RunImport(env.ctx, c, *choice)
			if env.ctx.Err() != nil {
				t.Fatal("the caller waited until the test timed out")
			}
			located := p.locate(c)
			if tc.dropped != (len(located.Copies) == 0) {
				t.Fatalf("copies after the fault: %+v", located.Copies)
			}
			if down := p.links.State("store-1", time.Now()).Down; down == tc.dropped {
				t.Fatalf("link down: %t", down)
			}
		})
	}
}

// A context is imported into a target whose memory is occupied by running prompts, so that
// only some of its blocks fit. The export is complete. If it were taken for corrupt and
// dropped from the directory, this daemon would never import it again.
func TestImportIntoFullTargetRetainsTheCopy(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	p := env.planner()
	c := env.export(p, text("context", 20))
	full := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(engineapi.ImportResponse{Imported: 2, Bytes: 2 * blockLength})
	}))
	defer full.Close()
	choice := env.planImport(p, c)
	choice.Target.Address = full.Listener.Addr().String()
	choice.Import.Timeout = testTimeout
	p.RunImport(env.ctx, c, *choice)
	if copies := p.locate(c).Copies; len(copies) != 1 {
		t.Fatal("the directory dropped the copy")
	}
	if p.links.State("store-1", time.Now()).Down {
		t.Fatal("the link was marked as down")
	}
}

// An exporting process crashes after it has written the manifest of a longer export and
// before it has freed the earlier one, whose blocks the longer one shares. A new daemon
// finds both exports and must import the longer one completely.
func TestCrashBetweenCommitAndFree(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	earlier, longer := env.crashBeforeFreeing()
	if left := env.exportCount(); left != 2 {
		t.Fatalf("%d exports after the crash", left)
	}
	next := env.planner()
	if n := env.importedBlocks(next, longer); n != 16 {
		t.Fatalf("%d blocks of 16 were imported", n)
	}
	if next.locate(longer).Copies[0].Manifest == earlier.Name() {
		t.Fatal("the earlier export was used")
	}
}

// crashBeforeFreeing exports a context of 10 blocks and then one of 16 that extends it,
// without freeing the first export. It returns the earlier export and the longer context.
func (env *testEnv) crashBeforeFreeing() (store.Manifest, gateway.Context) {
	env.t.Helper()
	p := env.planner()
	earlier := env.manifestOf(p, env.export(p, text("context", 10)))
	stopped, crash := context.WithCancel(context.Background())
	p.ctx = stopped
	crash()
	return earlier, env.export(p, text("context", 16))
}

// In an overlapped import the target computes the first blocks of a prompt while the last
// ones are imported. If the leading blocks were imported, the target would compute them
// too. If the caller waited for the import, an unreachable store VM would delay it although
// none of its blocks is needed yet.
func TestOverlappedImportReadsTheLastBlocks(t *testing.T) {
	option := placement.Option{Kind: placement.ImportHead, Overlapped: true, ReuseBlocks: 4, ImportBlocks: 10, PromptBlocks: 20}
	if from, to := importRange(option, 16); from != 10 || to != 16 {
		t.Fatalf("blocks %d to %d of a copy of 16", from, to)
	}
	if from, to := importRange(option, 30); from != 14 || to != 20 {
		t.Fatalf("blocks %d to %d for a prompt of 20", from, to)
	}
	option.Kind = placement.ImportWhole
	if from, to := importRange(option, 10); from != 0 || to != 10 {
		t.Fatalf("blocks %d to %d of a complete copy", from, to)
	}

	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	p := env.planner()
	env.export(p, text("context", 10))
	c := env.export(p, text("context", 16)) // two runs
	choice := env.planImport(p, c)
	choice.Import.From = 7
	choice.Import.Timeout = testTimeout
	p.RunImport(env.ctx, c, *choice)
	env.await("the last blocks", func() bool { return env.engines[1].Stats().ImportedBlocks == 9 })

	frozen := true
	env.switches.Apply(fault.Command{Freeze: &frozen})
	began := time.Now()
	p.RunImport(env.ctx, c, *choice)
	if time.Since(began) > testTimeout/2 {
		t.Fatal("the caller waited for an unresponsive store")
	}
}
