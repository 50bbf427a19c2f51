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
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/steward"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	testTimeout = 60 * time.Second
	testScope   = "conche"
	// blockLength is the simulated length of one block, in bytes.
	blockLength = block.TokensPerBlock << 10
)

// world is two engines, a store VM and a table; planners come and go in it.
type world struct {
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

func newWorld(t *testing.T, o standin.Options) *world {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	w := &world{t: t, ctx: ctx, switches: fault.New(fault.Options{}), metrics: tally.NewTestScope("", nil)}
	var rows strings.Builder
	for i := range 2 {
		e, server, err := engine.Start("127.0.0.1:0", engine.Options{
			Model: "verdict", Version: "v1", TimeScale: 0.001, KVBytesPerToken: 1 << 10, Incarnation: uint64(i + 1),
		})
		w.check(err)
		t.Cleanup(func() { _ = server.Close(); e.Close() })
		w.engines = append(w.engines, e)
		fmt.Fprintf(&rows, "engine-%d,engine,%s,conche,verdict,,,true,false,8\n", i+1, server.Address())
	}
	o.Switches = w.switches
	var err error
	w.store, err = fault.Serve("127.0.0.1:0", o.Switches, standin.New(o).Handler())
	w.check(err)
	w.client = store.New(store.Options{ID: "store-1", Address: w.store.Address()})
	t.Cleanup(func() { w.client.Close(); _ = w.store.Close() })
	w.loadTable(tabletest.Rows{
		Models:  "verdict,v1,1024,2\n",
		Targets: rows.String(),
		Stores:  fmt.Sprintf("store-1,%s,pack,1000000000\n", w.store.Address()),
	})
	return w
}

// loadTable puts rows in force.
func (w *world) loadTable(rows tabletest.Rows) {
	w.t.Helper()
	client := kv.NewFake(time.Now).Client("test")
	tabletest.Write(w.t, client, rows)
	w.tables = table.NewReplica(table.ReplicaOptions{KV: client})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.tables.Run(ctx, func() bool { return true })
	}()
	w.t.Cleanup(func() { stop(); <-done })
	w.await("the table to be in force", func() bool { return len(w.tables.Current().Stores()) > 0 })
}

func (w *world) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// await waits for a condition.
func (w *world) await(what string, condition func() bool) {
	w.t.Helper()
	for !condition() {
		if w.ctx.Err() != nil {
			w.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// clients implements Targets.
type clients struct{}

func (clients) Client(t table.Target) *target.Client {
	return target.New(target.Options{ID: t.ID, Address: t.Address})
}

// idle is a Looker to which every target but the busy ones is free.
type idle struct {
	busy map[request.TargetID]time.Duration
}

func (l idle) Look(_ context.Context, ids []request.TargetID, _ steward.Prompt) map[request.TargetID]steward.View {
	out := map[request.TargetID]steward.View{}
	for _, id := range ids {
		out[id] = steward.View{Target: id, Wait: l.busy[id], Version: "v1"}
	}
	return out
}

func (w *world) planner() *Planner {
	w.planners++
	params := placement.Fonografos()
	// Imports are worth while in any time that a busy machine takes.
	params.MaxImportSlowdown = 1000
	params.RecomputeWeight = 1
	p := New(Options{
		Params:   params,
		Tables:   w.tables,
		Looker:   idle{},
		Targets:  clients{},
		Keeps:    func(request.StoreID) bool { return true },
		Instance: fmt.Sprintf("d%d.1", w.planners),
		Logger:   hclog.NewNullLogger(),
		Metrics:  w.metrics,
	})
	w.t.Cleanup(p.Shutdown)
	return p
}

func (w *world) row(i int) table.Target {
	row, ok := w.tables.Current().Target(request.TargetID(fmt.Sprintf("engine-%d", i)))
	if !ok {
		w.t.Fatalf("no row of engine %d", i)
	}
	return *row
}

// contextOf returns the context of a text in a scope, at most one for each text.
func contextOf(org request.OrgID, text string) gateway.Context {
	scope := block.Scope{Org: org, Model: "verdict", Version: "v1"}
	return gateway.Context{
		Scope:  scope,
		Chain:  block.Chain(scope.Salt(), []byte(text)),
		Tokens: block.Tokens(len(text)),
	}
}

// text returns a text of some blocks that begins with a name.
func text(name string, blocks int) string {
	return strings.Repeat(fmt.Sprintf("%-*s", block.BytesPerBlock, name), blocks)
}

// compute has the first engine compute a context.
func (w *world) compute(c gateway.Context, prompt string) {
	w.t.Helper()
	client := clients{}.Client(w.row(1))
	defer client.Close()
	s, err := client.Complete(w.ctx, engineapi.CompletionRequest{
		RequestID: request.ID(c.Chain[len(c.Chain)-1].String()),
		Model:     c.Scope.Model,
		Version:   c.Scope.Version,
		CacheSalt: c.Scope.Salt(),
		Prompt:    prompt,
		MaxTokens: 1,
	})
	w.check(err)
	defer s.Close()
	_, err = s.Next(w.ctx)
	w.check(err)
}

// exported computes a text at the first engine and has a planner export it.
func (w *world) exported(p *Planner, prompt string) gateway.Context {
	w.t.Helper()
	c := contextOf(testScope, prompt)
	w.compute(c, prompt)
	p.learn(c, gateway.Answered{Target: "engine-1", PromptTokens: c.Tokens, FirstToken: time.Second})
	w.check(p.export(w.ctx, c, "engine-1"))
	return c
}

// choice returns the import of a context into the second engine, as a planner that
// knows it or searches for it plans it; nil if there is none.
func (w *world) choice(p *Planner, c gateway.Context) *gateway.Choice {
	w.t.Helper()
	choices := p.Choose(w.ctx, c, map[request.TargetID]bool{"engine-1": true})
	if len(choices) == 0 || choices[0].Target.ID != "engine-2" {
		w.t.Fatalf("choices %+v", choices)
	}
	if choices[0].Import == nil {
		return nil
	}
	return &choices[0]
}

// brought has the second engine import a context and returns the blocks that came.
func (w *world) brought(p *Planner, c gateway.Context) int {
	w.t.Helper()
	before := w.engines[1].Stats().ImportedBlocks
	if choice := w.choice(p, c); choice != nil {
		choice.Import.Deadline = testTimeout
		p.Bring(w.ctx, c, *choice)
	}
	return int(w.engines[1].Stats().ImportedBlocks - before)
}

// commit writes a manifest whose blocks have no content, for searches.
func (w *world) commit(p *Planner, c gateway.Context) store.Manifest {
	w.t.Helper()
	m := store.Manifest{Org: c.Scope.Org, Model: c.Scope.Model, Version: c.Scope.Version}
	var blocks []engineapi.ExportedBlock
	for _, h := range c.Chain {
		blocks = append(blocks, engineapi.ExportedBlock{Hash: h, Length: blockLength, Digest: "digest"})
	}
	m = m.Extend(p.nextGeneration(c.Chain), blocks)
	w.check(w.client.PutManifest(w.ctx, m))
	return m
}
