package engine_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	testScale   = 0.01
	testTimeout = 30 * time.Second
	// endless is a number of tokens that no request of a test reaches.
	endless = 1_000_000
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func start(t *testing.T, o engine.Options) (*engine.Engine, *target.Client) {
	t.Helper()
	o.Model, o.Version, o.TimeScale = "verdict", "v1", testScale
	e, server, err := engine.Start("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	client := target.New(target.Options{ID: "t1", Address: server.Address(), StreamIdleTimeout: testTimeout})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		e.Close()
	})
	return e, client
}

func completion(id request.ID, prompt string, tokens int) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{
		RequestID: id,
		Model:     "verdict",
		Version:   "v1",
		CacheSalt: "salt",
		Prompt:    prompt,
		MaxTokens: tokens,
	}
}

// readStream reads a stream to its end and returns its text and its last frame.
func readStream(ctx context.Context, s *target.Stream) (string, engineapi.Frame, error) {
	defer s.Close()
	var text strings.Builder
	for {
		f, err := s.Next(ctx)
		if err != nil || f.Done {
			return text.String(), f, err
		}
		text.WriteString(f.Text)
	}
}

func complete(t *testing.T, client *target.Client, req engineapi.CompletionRequest) engineapi.Usage {
	t.Helper()
	ctx := testContext(t)
	s, err := client.Complete(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	text, last, err := readStream(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	if want := engine.ExpectedText(req.Prompt, req.MaxTokens); text != want {
		t.Fatalf("text %q, want %q", text, want)
	}
	if _, err := s.Next(ctx); !errors.Is(err, io.EOF) {
		t.Fatalf("after the last frame: %v", err)
	}
	return *last.Usage
}

func prompt(blocks int, letter string) string {
	return strings.Repeat(letter, blocks*block.BytesPerBlock)
}

func TestAnswersAreCompleteAndReuseIsCounted(t *testing.T) {
	_, client := start(t, engine.Options{})
	var requests sync.WaitGroup
	for _, letter := range []string{"a", "b", "c", "d"} {
		requests.Go(func() { complete(t, client, completion(request.ID(letter), prompt(40, letter), 20)) })
	}
	requests.Wait()
	again := complete(t, client, completion("again", prompt(40, "a")+"tail", 5))
	if again.CachedTokens != 40*block.TokensPerBlock || again.PromptTokens != 40*block.TokensPerBlock+1 {
		t.Fatalf("usage %+v", again)
	}
	other := completion("other", prompt(40, "a"), 5)
	other.CacheSalt = "another organisation"
	if got := complete(t, client, other); got.CachedTokens != 0 {
		t.Fatalf("reuse across salts: %+v", got)
	}
}

// TestTornBlockIsCacheMiss imports a context from a store VM in which one block is
// truncated, because the store died during a write or a read. If the engine cached the
// block, the user would receive an answer computed from corrupt data.
func TestTornBlockIsCacheMiss(t *testing.T) {
	ctx := testContext(t)
	switches := fault.New(fault.Options{})
	contextStore := store.New(store.Options{MemoryBytes: 1 << 40, Switches: switches})
	server, err := fault.Serve("127.0.0.1:0", switches, contextStore.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	_, first := start(t, engine.Options{})
	_, second := start(t, engine.Options{})
	complete(t, first, completion("kept", prompt(20, "a"), 1))

	export, err := first.Export(ctx, engineapi.ExportRequest{
		StoreAddress: server.Address(),
		Prefix:       "org/v1/1/",
		Blocks:       block.Chain("salt", []byte(prompt(21, "a"))),
	})
	if err != nil || len(export.Written) != 20 {
		t.Fatalf("export wrote %d blocks: %v", len(export.Written), err)
	}
	imports := engineapi.ImportRequest{
		StoreAddress: server.Address(),
		Prefix:       "org/v1/1/",
		CacheSalt:    "salt",
		Version:      "v1",
		Blocks:       export.Written[:5],
	}
	if got, err := second.Import(ctx, imports); err != nil || got.Imported != 5 {
		t.Fatalf("import %+v: %v", got, err)
	}
	tears := 1
	switches.Apply(fault.Command{TearReads: &tears})
	imports.Blocks = export.Written[:6]
	if got, err := second.Import(ctx, imports); err != nil || got.Imported != 5 || got.Corrupt != 1 {
		t.Fatalf("torn import %+v: %v", got, err)
	}
	if got := complete(t, second, completion("back", prompt(20, "a"), 3)); got.CachedTokens != 5*block.TokensPerBlock {
		t.Fatalf("usage %+v", got)
	}
	imports.Version = "v2"
	if _, err := second.Import(ctx, imports); !errors.Is(err, target.ErrRefused) {
		t.Fatalf("import of another version: %v", err)
	}
}

// TestVersionSwap swaps weights while one request runs, one is queued and one arrives. A
// user must not receive tokens of two versions, or tokens computed from the cache of the
// old version.
func TestVersionSwap(t *testing.T) {
	ctx := testContext(t)
	_, client := start(t, engine.Options{MaxRunning: 1, ChecksEpoch: true})
	running, err := client.Complete(ctx, completion("running", prompt(10, "a"), endless))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := running.Next(ctx); err != nil {
		t.Fatal(err)
	}
	waiting, err := client.Complete(ctx, completion("waiting", prompt(10, "a"), 5))
	if err != nil {
		t.Fatal(err)
	}
	swap := engineapi.Order{OperationID: "1", Epoch: 7, Kind: engineapi.OrderLoadVersion, Version: "v2"}
	if _, err := client.Order(ctx, swap); err != nil {
		t.Fatal(err)
	}
	if _, last, err := readStream(ctx, waiting); err != nil || last.Error == nil || last.Error.Started {
		t.Fatalf("waiting request: %+v, %v", last, err)
	}
	if state, err := client.State(ctx); err != nil || state.Version != "v2" {
		t.Fatalf("state %+v: %v", state, err)
	}
	if _, err := client.Complete(ctx, completion("late", prompt(10, "a"), 5)); !target.NotStarted(err) {
		t.Fatalf("old version after the swap: %v", err)
	}
	if err := client.Cancel(ctx, "running"); err != nil {
		t.Fatal(err)
	}
	for done := false; !done; {
		f, err := running.Next(ctx)
		if err != nil || f.Version != "v1" {
			t.Fatalf("running request: %+v, %v", f, err)
		}
		done = f.Done
	}
	stale := engineapi.Order{OperationID: "2", Epoch: 6, Kind: engineapi.OrderSetRole, Role: "prefill"}
	var refused *engineapi.Error
	if _, err := client.Order(ctx, stale); !errors.As(err, &refused) || refused.Code != engineapi.CodeStaleEpoch {
		t.Fatalf("stale order: %v", err)
	}
}

func TestLowerPriorityNumberRunsFirst(t *testing.T) {
	ctx := testContext(t)
	_, client := start(t, engine.Options{MaxRunning: 1})
	open := func(id request.ID, priority int) *target.Stream {
		t.Helper()
		req := completion(id, string(id), endless)
		req.Priority = priority
		s, err := client.Complete(ctx, req)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	running := open("running", 5)
	if _, err := running.Next(ctx); err != nil {
		t.Fatal(err)
	}
	open("first come", 5)
	urgent := open("urgent", 1)
	if err := client.Cancel(ctx, "running"); err != nil {
		t.Fatal(err)
	}
	// The batch holds one request, and no request ends by itself.
	if f, err := urgent.Next(ctx); err != nil || f.Done {
		t.Fatalf("urgent request: %+v, %v", f, err)
	}
}

func TestCrashOnMarkedRequest(t *testing.T) {
	ctx := testContext(t)
	e, client := start(t, engine.Options{})
	marker := "poison"
	e.Switches().Apply(fault.Command{CrashMarker: &marker})
	complete(t, client, completion("innocent", "hello", 2))
	s, err := client.Complete(ctx, completion("guilty", "some poison", 2))
	if err == nil {
		_, _, err = readStream(ctx, s)
	}
	if !errors.Is(err, target.ErrConnectionLost) || target.NotStarted(err) {
		t.Fatalf("crash: %v", err)
	}
}

func TestSkippedEventsLeaveAGap(t *testing.T) {
	ctx := testContext(t)
	e, client := start(t, engine.Options{EventLag: time.Nanosecond})
	complete(t, client, completion("1", prompt(2, "a"), 1))
	skip := 1
	e.Switches().Apply(fault.Command{SkipEvents: &skip})
	complete(t, client, completion("2", prompt(2, "b"), 1))
	complete(t, client, completion("3", prompt(2, "c"), 1))
	page, err := client.Events(ctx, 0)
	if err != nil || len(page.Events) != 2 {
		t.Fatalf("page %+v: %v", page, err)
	}
	if page.Events[0].Seq != 1 || page.Events[1].Seq != 3 || page.Next != 3 {
		t.Fatalf("page %+v", page)
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil || len(snapshot.Blocks) != 6 || snapshot.Seq != 3 {
		t.Fatalf("snapshot %+v: %v", snapshot, err)
	}
}
