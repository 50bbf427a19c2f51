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

// A caller is answered from blocks of another context. The manifest that is read back
// is of a context that shares only some leading blocks with the prompt, or none.
func TestLeadingBlocksAreOfTheContext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []block.Hash {
			words := rapid.StringOfN(rapid.RuneFrom([]rune("xy")), 0, 6, -1).Draw(t, name)
			var prompt string
			for _, w := range words {
				prompt += text(string(w), 1)
			}
			return contextOf(testScope, prompt).Chain
		}
		chain, written := draw("prompt"), draw("manifest")
		var m store.Manifest
		for _, h := range written {
			m.Blocks = append(m.Blocks, engineapi.ExportedBlock{Hash: h})
		}
		n := rapid.IntRange(0, 8).Draw(t, "wanted")
		got := leadingOf(m, chain, n)
		for i, b := range got {
			if b.Hash != chain[i] {
				t.Fatalf("block %d is of another context", i)
			}
		}
		next := len(got)
		if next < min(n, len(chain), len(written)) && chain[next] == written[next] {
			t.Fatalf("stopped at %d of %d although the next block is the context's", next, n)
		}
	})
}

// After a mix-up the directory names an export of another organisation, or of another
// context of the same one, for a prompt. None of its blocks may be brought for it.
func TestImportOfAnotherContextBringsNothing(t *testing.T) {
	w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
	p := w.planner()
	w.exported(p, text("context", 10))
	choice := w.choice(p, contextOf(testScope, text("context", 10)))
	choice.Import.Deadline = testTimeout
	for name, c := range map[string]gateway.Context{
		"organisation": contextOf("temper", text("context", 10)),
		"context":      contextOf(testScope, text("other", 10)),
	} {
		p.RunImport(w.ctx, c, *choice)
		if s := w.engines[1].Stats(); s.ImportedBlocks != 0 {
			t.Fatalf("another %s was given %d blocks", name, s.ImportedBlocks)
		}
	}
}

// A caller returns, and the store VM that holds its context is at fault. In each case
// the caller must go on soon and be prefilled, and nobody may be sent to the same
// fault again: content that is gone is forgotten, a store VM that is dead or too slow
// is left alone for a while.
func TestImportFallsBackAndTeaches(t *testing.T) {
	tears := 3 // the manifest is read first
	slow := 1e9
	for name, story := range map[string]struct {
		strike    func(w *world, c gateway.Context, p *Planner)
		deadline  time.Duration
		forgotten bool // or else the link is left alone
	}{
		"torn block": {
			strike: func(w *world, _ gateway.Context, _ *Planner) {
				w.switches.Apply(fault.Command{TearReads: &tears})
			},
			deadline: testTimeout, forgotten: true,
		},
		"freed export": {
			strike: func(w *world, c gateway.Context, p *Planner) {
				ref, err := parseReference(p.locate(c).Copies[0].Manifest)
				w.check(err)
				m, err := w.client.PeekManifest(w.ctx, c.Scope, ref.generation, ref.tail)
				w.check(err)
				w.check(w.client.DeleteExport(w.ctx, m))
			},
			deadline: testTimeout, forgotten: true,
		},
		"dead store": {
			strike:   func(w *world, _ gateway.Context, _ *Planner) { w.check(w.store.Close()) },
			deadline: testTimeout,
		},
		"slow store": {
			strike:   func(w *world, _ gateway.Context, _ *Planner) { w.switches.Apply(fault.Command{Slow: &slow}) },
			deadline: 50 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, standin.Options{MemoryBytes: 1 << 30, LinkBytesPerSec: 1 << 30})
			p := w.planner()
			c := w.exported(p, text("context", 20))
			choice := w.choice(p, c)
			if choice == nil {
				t.Fatal("no import was planned before the fault")
			}
			choice.Import.Deadline = story.deadline
			story.strike(w, c, p)

			p.RunImport(w.ctx, c, *choice)
			if w.ctx.Err() != nil {
				t.Fatal("the caller waited until the test's end")
			}
			located := p.locate(c)
			if story.forgotten != (len(located.Copies) == 0) {
				t.Fatalf("copies after the fault: %+v", located.Copies)
			}
			if down := p.links.State("store-1", time.Now()).Down; down == story.forgotten {
				t.Fatalf("link down: %t", down)
			}
		})
	}
}

// A context comes back to a target whose memory running prompts hold, and only part of
// it finds room. The export is whole; taken for torn and forgotten, it would never be
// brought back by this daemon again.
func TestImportWithoutRoomKeepsTheCopy(t *testing.T) {
	w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
	p := w.planner()
	c := w.exported(p, text("context", 20))
	full := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(engineapi.ImportResponse{Imported: 2, Bytes: 2 * blockLength})
	}))
	defer full.Close()
	choice := w.choice(p, c)
	choice.Target.Address = full.Listener.Addr().String()
	choice.Import.Deadline = testTimeout
	p.RunImport(w.ctx, c, *choice)
	if copies := p.locate(c).Copies; len(copies) != 1 {
		t.Fatal("the copy was forgotten")
	}
	if p.links.State("store-1", time.Now()).Down {
		t.Fatal("the link was blamed")
	}
}

// The process that exports dies after it has written the manifest of a longer export
// and before it has freed the earlier one. A new daemon finds both, and must bring the
// longer one whole: it shares the earlier one's blocks.
func TestCrashBetweenCommitAndFreeing(t *testing.T) {
	w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
	earlier, longer := w.crashBeforeFreeing()
	if left := w.exportsLeft(); left != 2 {
		t.Fatalf("%d exports after the crash", left)
	}
	next := w.planner()
	if n := w.brought(next, longer); n != 16 {
		t.Fatalf("%d blocks of 16 were brought", n)
	}
	if next.locate(longer).Copies[0].Manifest == earlier.Name() {
		t.Fatal("the earlier export was used")
	}
}

// crashBeforeFreeing exports a context of 10 blocks and then one of 16 that extends it,
// and frees nothing. It returns the earlier export and the longer context.
func (w *world) crashBeforeFreeing() (store.Manifest, gateway.Context) {
	w.t.Helper()
	p := w.planner()
	earlier := w.manifestOf(p, w.exported(p, text("context", 10)))
	stopped, crash := context.WithCancel(context.Background())
	p.ctx = stopped
	crash()
	return earlier, w.exported(p, text("context", 16))
}

// A target computes the first blocks of a prompt while the rest is brought. Were the
// leading blocks brought, it would compute them too; were the caller to wait for the
// import, a dead store would hold it although nothing is needed from there yet.
func TestOverlappedImportBringsTheLastBlocks(t *testing.T) {
	option := placement.Option{Kind: placement.ImportHead, Overlapped: true, ReuseBlocks: 4, ImportBlocks: 10, PromptBlocks: 20}
	if from, to := importSpan(option, 16); from != 10 || to != 16 {
		t.Fatalf("blocks %d to %d of a copy of 16", from, to)
	}
	if from, to := importSpan(option, 30); from != 14 || to != 20 {
		t.Fatalf("blocks %d to %d for a prompt of 20", from, to)
	}
	option.Kind = placement.ImportWhole
	if from, to := importSpan(option, 10); from != 0 || to != 10 {
		t.Fatalf("blocks %d to %d of a whole copy", from, to)
	}

	w := newWorld(t, standin.Options{MemoryBytes: 1 << 30})
	p := w.planner()
	w.exported(p, text("context", 10))
	c := w.exported(p, text("context", 16)) // two runs
	choice := w.choice(p, c)
	choice.Import.From = 7
	choice.Import.Deadline = testTimeout
	p.RunImport(w.ctx, c, *choice)
	w.await("the last blocks", func() bool { return w.engines[1].Stats().ImportedBlocks == 9 })

	frozen := true
	w.switches.Apply(fault.Command{Freeze: &frozen})
	began := time.Now()
	p.RunImport(w.ctx, c, *choice)
	if time.Since(began) > testTimeout/2 {
		t.Fatal("the caller waited for a store that does not answer")
	}
}
