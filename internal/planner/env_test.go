package planner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/coordinator"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	testTimeout = 60 * time.Second
	testOrg     = "conche"
	// blockLength is the simulated length of one block, in bytes.
	blockLength = block.TokensPerBlock << 10
)

// testEnv provides two engines, a store VM and a table, in which tests start planners.
type testEnv struct {
	t        *testing.T
	ctx      context.Context
	tables   *table.Replica
	engines  []*engine.Engine
	store    *fault.Server
	switches *fault.Switches // of the store
	client   *store.Client
	metrics  tally.TestScope // of all planners
	planners int
}

func newTestEnv(t *testing.T, o standin.Options) *testEnv {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	env := &testEnv{t: t, ctx: ctx, switches: fault.New(fault.Options{}), metrics: tally.NewTestScope("", nil)}
	var rows strings.Builder
	for i := range 2 {
		e, server, err := engine.Start("127.0.0.1:0", engine.Options{
			Model: "verdict", Version: "v1", TimeScale: 0.001, KVBytesPerToken: 1 << 10, Incarnation: uint64(i + 1),
		})
		env.check(err)
		t.Cleanup(func() { _ = server.Close(); e.Close() })
		env.engines = append(env.engines, e)
		fmt.Fprintf(&rows, "engine-%d,engine,%s,conche,verdict,,,true,false,8\n", i+1, server.Address())
	}
	o.Switches = env.switches
	var err error
	env.store, err = fault.Serve("127.0.0.1:0", o.Switches, standin.New(o).Handler())
	env.check(err)
	env.client = store.New(store.Options{ID: "store-1", Address: env.store.Address()})
	t.Cleanup(func() { env.client.Close(); _ = env.store.Close() })
	env.loadTable(tabletest.Rows{
		Models:  "verdict,v1,1024,2\n",
		Targets: rows.String(),
		Stores:  fmt.Sprintf("store-1,%s,pack,1000000000\n", env.store.Address()),
	})
	return env
}

// loadTable makes the rows effective.
func (env *testEnv) loadTable(rows tabletest.Rows) {
	env.t.Helper()
	client := kv.NewFake(time.Now).Client("test")
	tabletest.Write(env.t, client, rows)
	env.tables = table.NewReplica(table.ReplicaOptions{KV: client})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = env.tables.Run(ctx, func() bool { return true })
	}()
	env.t.Cleanup(func() { stop(); <-done })
	env.await("the table to become effective", func() bool { return len(env.tables.Current().Stores()) > 0 })
}

func (env *testEnv) check(err error) {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
}

// await waits until a condition holds.
func (env *testEnv) await(what string, condition func() bool) {
	env.t.Helper()
	for !condition() {
		if env.ctx.Err() != nil {
			env.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// clients implements Targets.
type clients struct{}

func (clients) Client(t table.Target) *target.Client {
	return target.New(target.Options{ID: t.ID, Address: t.Address})
}

// fakeCoordinators implements Coordinators. Targets that are not in waits have no wait.
type fakeCoordinators struct {
	waits map[request.TargetID]time.Duration
}

func (l fakeCoordinators) Views(_ context.Context, ids []request.TargetID, _ coordinator.Prompt) map[request.TargetID]coordinator.View {
	out := map[request.TargetID]coordinator.View{}
	for _, id := range ids {
		out[id] = coordinator.View{Target: id, Wait: l.waits[id], Version: "v1"}
	}
	return out
}

func (env *testEnv) planner() *Planner {
	env.planners++
	params := placement.Fonografos()
	// Imports are planned even if a busy machine delays them.
	params.MaxImportSlowdown = 1000
	params.RecomputeWeight = 1
	p := New(Options{
		Params:       params,
		Tables:       env.tables,
		Coordinators: fakeCoordinators{},
		Targets:      clients{},
		OwnsStore:    func(request.StoreID) bool { return true },
		Instance:     fmt.Sprintf("d%d.1", env.planners),
		Logger:       hclog.NewNullLogger(),
		Metrics:      env.metrics,
	})
	env.t.Cleanup(p.Shutdown)
	return p
}

func (env *testEnv) row(i int) table.Target {
	row, ok := env.tables.Current().Target(request.TargetID(fmt.Sprintf("engine-%d", i)))
	if !ok {
		env.t.Fatalf("no row for engine %d", i)
	}
	return *row
}

// contextOf returns the context of a text in the scope of an organisation.
func contextOf(org request.OrgID, text string) gateway.Context {
	scope := block.Scope{Org: org, Model: "verdict", Version: "v1"}
	return gateway.Context{
		Scope:  scope,
		Chain:  block.Chain(scope.Salt(), []byte(text)),
		Tokens: block.Tokens(len(text)),
	}
}

// text returns a text of the given number of blocks, each of which begins with name.
func text(name string, blocks int) string {
	return strings.Repeat(fmt.Sprintf("%-*s", block.BytesPerBlock, name), blocks)
}

// compute makes the first engine compute a context.
func (env *testEnv) compute(c gateway.Context, prompt string) {
	env.t.Helper()
	client := clients{}.Client(env.row(1))
	defer client.Close()
	s, err := client.Complete(env.ctx, engineapi.CompletionRequest{
		RequestID: request.ID(c.Chain[len(c.Chain)-1].String()),
		Model:     c.Scope.Model,
		Version:   c.Scope.Version,
		CacheSalt: c.Scope.Salt(),
		Prompt:    prompt,
		MaxTokens: 1,
	})
	env.check(err)
	defer s.Close()
	_, err = s.Next(env.ctx)
	env.check(err)
}

// export computes a prompt at the first engine and makes a planner export it.
func (env *testEnv) export(p *Planner, prompt string) gateway.Context {
	env.t.Helper()
	c := contextOf(testOrg, prompt)
	env.compute(c, prompt)
	p.recordAnswer(c, gateway.CompletionStats{Target: "engine-1", PromptTokens: c.Tokens, FirstToken: time.Second})
	env.check(p.export(env.ctx, c, "engine-1"))
	return c
}

// planImport returns a planner's import of a context into the second engine, or nil if the
// planner plans none.
func (env *testEnv) planImport(p *Planner, c gateway.Context) *gateway.Choice {
	env.t.Helper()
	choices := p.Choose(env.ctx, c, map[request.TargetID]bool{"engine-1": true})
	if len(choices) == 0 || choices[0].Target.ID != "engine-2" {
		env.t.Fatalf("choices %+v", choices)
	}
	if choices[0].Import == nil {
		return nil
	}
	return &choices[0]
}

// importedBlocks makes the second engine import a context and returns the number of imported
// blocks.
func (env *testEnv) importedBlocks(p *Planner, c gateway.Context) int {
	env.t.Helper()
	before := env.engines[1].Stats().ImportedBlocks
	if choice := env.planImport(p, c); choice != nil {
		choice.Import.Timeout = testTimeout
		p.RunImport(env.ctx, c, *choice)
	}
	return int(env.engines[1].Stats().ImportedBlocks - before)
}

// commitManifest commits a manifest to the store without storing its blocks. It suffices
// for tests in which the planner only looks up manifests.
func (env *testEnv) commitManifest(p *Planner, c gateway.Context) store.Manifest {
	env.t.Helper()
	m := store.Manifest{Org: c.Scope.Org, Model: c.Scope.Model, Version: c.Scope.Version}
	var blocks []engineapi.ExportedBlock
	for _, h := range c.Chain {
		blocks = append(blocks, engineapi.ExportedBlock{Hash: h, Length: blockLength, Digest: "digest"})
	}
	m = m.Extend(p.nextGeneration(c.Chain), blocks)
	env.check(env.client.PutManifest(env.ctx, m))
	return m
}
