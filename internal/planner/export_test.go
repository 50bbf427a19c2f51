package planner

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
)

// TestExportOutlivesSilentStore guards against contexts that are never exported because the store VM did not answer one status request.
func TestExportOutlivesSilentStore(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	p := env.planner()
	prompt := text("context", 16)
	c := contextOf(testOrg, prompt)
	env.compute(c, prompt)
	frozen, thawed := true, false
	env.switches.Apply(fault.Command{Freeze: &frozen})
	p.exportInBackground(c, "engine-1", p.recordAnswer(c, gateway.CompletionStats{Target: "engine-1", PromptTokens: c.Tokens, FirstToken: time.Second}))
	time.Sleep(statusTimeout + 100*time.Millisecond)
	env.switches.Apply(fault.Command{Freeze: &thawed})
	deadline := time.Now().Add(10 * time.Second)
	for env.exportCount() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if n := env.exportCount(); n != 1 {
		t.Errorf("%d exports", n)
	}
}

// TestSilentStoreDelaysNoOtherExport guards against contexts that are exported already, and wait for a silent store VM that they do not need: they
// keep others from being exported.
func TestSilentStoreDelaysNoOtherExport(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	env.check(err)
	env.check(l.Close()) // nothing answers there
	env.loadTable(tabletest.Rows{
		Models:  "verdict,v1,1024,2\n",
		Targets: fmt.Sprintf("engine-1,engine,%s,conche,verdict,,,true,false,8\n", env.row(1).Address),
		Stores:  fmt.Sprintf("store-1,%s,pack,1000000000\nstore-2,%s,pack,1000000000\n", env.store.Address(), l.Addr()),
	})
	p := env.planner()
	c := env.export(p, text("context", 16))
	begin := time.Now()
	env.check(p.export(env.ctx, c, "engine-1"))
	if took := time.Since(begin); took > statusMaxAge {
		t.Errorf("a context that is exported already took %s", took)
	}
}

// TestStatusOutlivesItsCaller guards against a store VM that counts as down because a caller left while its status was read.
func TestStatusOutlivesItsCaller(t *testing.T) {
	env := newTestEnv(t, standin.Options{MemoryBytes: 1 << 30})
	p := env.planner()
	row := env.tables.Current().Stores()[0]
	left, leave := context.WithCancel(env.ctx)
	leave()
	if _, err := p.stores.status(left, row); err == nil {
		t.Fatal("the status was read for a caller that had left")
	}
	if _, err := p.stores.status(env.ctx, row); err != nil {
		t.Errorf("the next caller: %v", err)
	}
}
