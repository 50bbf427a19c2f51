package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/target"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func start(t *testing.T, o standin.Options, callTimeout time.Duration) (*fault.Switches, *store.Client) {
	t.Helper()
	o.Switches = fault.New(fault.Options{})
	server, err := fault.Serve("127.0.0.1:0", o.Switches, standin.New(o).Handler())
	if err != nil {
		t.Fatal(err)
	}
	client := store.New(store.Options{ID: "s1", Address: server.Address(), CallTimeout: callTimeout})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return o.Switches, client
}

// exportContext makes an engine compute and export a context of the given number of blocks.
func exportContext(t *testing.T, client *store.Client, blocks int, generation store.Generation) store.Manifest {
	t.Helper()
	ctx := testContext(t)
	scope := block.Scope{Org: "a/b", Model: "verdict", Version: "v1"}
	e, server, err := engine.Start("127.0.0.1:0", engine.Options{Model: "verdict", Version: "v1", TimeScale: 0.001, KVBytesPerToken: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	defer server.Close()
	target := target.New(target.Options{ID: "t1", Address: server.Address()})
	defer target.Close()
	prompt := make([]byte, blocks*block.BytesPerBlock)
	for i := range prompt {
		prompt[i] = 'x'
	}
	s, err := target.Complete(ctx, engineapi.CompletionRequest{
		RequestID: "1",
		Model:     "verdict",
		Version:   "v1",
		CacheSalt: scope.Salt(),
		Prompt:    string(prompt),
		MaxTokens: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(ctx); err != nil {
		t.Fatal(err)
	}
	out, err := target.Export(ctx, engineapi.ExportRequest{
		StoreAddress: client.Address(),
		Prefix:       store.Prefix(scope, generation),
		Blocks:       block.Chain(scope.Salt(), prompt),
	})
	if err != nil {
		t.Fatal(err)
	}
	return store.Manifest{Org: scope.Org, Model: scope.Model, Version: scope.Version, Generation: generation, Blocks: out.Written}
}

func wantMiss(t *testing.T, err error, reason store.MissReason) {
	t.Helper()
	var miss *store.MissError
	if !errors.As(err, &miss) || miss.Reason != reason || !errors.Is(err, store.ErrMiss) {
		t.Fatalf("%v, want a miss that is %s", err, reason)
	}
}

// Guards against a caller whose answer is computed from corrupt content: a block or a
// manifest is read while it is incomplete, or after it was freed and its space reused.
func TestCorruptAndFreedContentIsAMiss(t *testing.T) {
	ctx := testContext(t)
	switches, client := start(t, standin.Options{MemoryBytes: 1 << 20, DiskBytes: 1 << 20}, 0)
	m := exportContext(t, client, 4, "g1")
	if len(m.Blocks) != 4 {
		t.Fatalf("exported %d blocks", len(m.Blocks))
	}
	_, err := client.GetManifest(ctx, m.Scope(), m.Generation, m.Tail())
	wantMiss(t, err, store.MissAbsent)
	if err := client.PutManifest(ctx, m); err != nil {
		t.Fatal(err)
	}
	got, err := client.GetManifest(ctx, m.Scope(), m.Generation, m.Tail())
	if err != nil || got.Name() != m.Name() || got.Bytes() != m.Bytes() {
		t.Fatalf("manifest %+v: %v", got, err)
	}
	if _, err := client.GetBlock(ctx, m, m.Blocks[0]); err != nil {
		t.Fatal(err)
	}

	tears := 2
	switches.Apply(fault.Command{TearReads: &tears})
	_, err = client.GetManifest(ctx, m.Scope(), m.Generation, m.Tail())
	wantMiss(t, err, store.MissCorrupt)
	_, err = client.GetBlock(ctx, m, m.Blocks[0])
	wantMiss(t, err, store.MissCorrupt)

	if err := client.Tier(ctx, m.BlockNames(), storeapi.TierDisk); err != nil {
		t.Fatal(err)
	}
	if err := client.Pin(ctx, m.BlockNames()[3:], time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := client.DeleteExport(ctx, m); !errors.Is(err, store.ErrPinned) {
		t.Fatalf("delete of a pinned block: %v", err)
	}
	_, err = client.GetManifest(ctx, m.Scope(), m.Generation, m.Tail())
	wantMiss(t, err, store.MissFreed)
	_, err = client.GetBlock(ctx, m, m.Blocks[0])
	wantMiss(t, err, store.MissFreed)
	if _, err := client.GetBlock(ctx, m, m.Blocks[3]); err != nil {
		t.Fatalf("pinned block: %v", err)
	}
	wantMiss(t, client.Pin(ctx, m.BlockNames(), time.Hour), store.MissFreed)
	if err := client.PutManifest(ctx, m); !errors.Is(err, store.ErrNameTaken) {
		t.Fatalf("second use of a freed name: %v", err)
	}
	status, err := client.Status(ctx)
	if err != nil || status.DiskUsed != m.Blocks[3].Length || status.MemoryUsed != 0 {
		t.Fatalf("status %+v: %v", status, err)
	}
}

// Guards against a store VM that fills up permanently although little of it is in use. An
// export that runs out of space midway must not leave blocks that its response does not
// list, since no daemon would ever free them.
func TestFullStoreRefusesAndLeaksNothing(t *testing.T) {
	ctx := testContext(t)
	options := standin.Options{MemoryBytes: 3 * block.TokensPerBlock}
	_, client := start(t, options, 0)
	partial := exportContext(t, client, 6, "g1")
	status, err := client.Status(ctx)
	if err != nil || len(partial.Blocks) > 3 || status.MemoryUsed != partial.Bytes() {
		t.Fatalf("listed %d blocks, status %+v: %v", len(partial.Blocks), status, err)
	}

	_, client = start(t, options, 0)
	complete := exportContext(t, client, 3, "g1")
	if len(complete.Blocks) != 3 {
		t.Fatalf("exported %d blocks into space for 3", len(complete.Blocks))
	}
	if err := client.PutManifest(ctx, complete); !errors.Is(err, store.ErrFull) {
		t.Fatalf("manifest into a full store: %v", err)
	}
	if err := client.Tier(ctx, complete.BlockNames(), storeapi.TierDisk); !errors.Is(err, store.ErrFull) {
		t.Fatalf("demotion without a disk: %v", err)
	}
}

// TestStalledConnectionsAreReplaced checks that the client replaces pooled connections that
// no longer deliver data. Otherwise each call that gets one of them times out, and contexts
// cannot be read although the store VM is healthy.
func TestStalledConnectionsAreReplaced(t *testing.T) {
	ctx := testContext(t)
	switches, client := start(t, standin.Options{MemoryBytes: 1}, 500*time.Millisecond)
	if _, err := client.Status(ctx); err != nil {
		t.Fatal(err)
	}
	switches.Apply(fault.Command{Blackhole: true})
	if _, err := client.Status(ctx); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("silent connection: %v", err)
	}
	for {
		_, err := client.Status(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
	}
}

// Two scopes or generations never share a name, whatever characters they contain.
func TestNamesAreDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringOfN(rapid.RuneFrom([]rune("a/.=%-")), 0, 4, -1)
		draw := func(name string) (block.Scope, store.Generation) {
			return block.Scope{
				Org:     request.OrgID(part.Draw(t, name+" org")),
				Model:   request.Model(part.Draw(t, name+" model")),
				Version: request.Version(part.Draw(t, name+" version")),
			}, store.Generation(part.Draw(t, name+" generation"))
		}
		s1, g1 := draw("first")
		s2, g2 := draw("second")
		same := s1 == s2 && g1 == g2
		if (store.Prefix(s1, g1) == store.Prefix(s2, g2)) != same {
			t.Fatalf("%v %q and %v %q: %q", s1, g1, s2, g2, store.Prefix(s1, g1))
		}
	})
}

// TestBrokenReadIsNoContent guards against a manifest or a block of which a part arrived and that counts as whole, or as corrupt in its
// store, so that the directory forgets a sound copy.
func TestBrokenReadIsNoContent(t *testing.T) {
	ctx := testContext(t)
	switches, client := start(t, standin.Options{MemoryBytes: 1 << 20, DiskBytes: 1 << 20}, 200*time.Millisecond)
	m := exportContext(t, client, 2, "g1")
	if err := client.PutManifest(ctx, m); err != nil {
		t.Fatal(err)
	}
	one := 1
	for _, f := range []fault.Framing{fault.FramingLength, fault.FramingChunks, fault.FramingNone} {
		for _, end := range []fault.End{fault.EndCut, fault.EndReset, fault.EndSilent} {
			switches.Apply(fault.Command{Framing: &f, BreakAnswers: &one, BreakEnd: &end})
			if _, err := client.GetManifest(ctx, m.Scope(), m.Generation, m.Tail()); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("%s/%s: a part of a manifest: %v", f, end, err)
			}
			switches.Apply(fault.Command{BreakAnswers: &one})
			if _, err := client.GetBlock(ctx, m, m.Blocks[0]); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("%s/%s: a part of a block: %v", f, end, err)
			}
			if _, err := client.GetBlock(ctx, m, m.Blocks[0]); err != nil {
				t.Errorf("%s/%s: the next read: %v", f, end, err)
			}
		}
	}
}
