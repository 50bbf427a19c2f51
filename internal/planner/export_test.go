package planner

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
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
