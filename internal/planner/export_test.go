package planner

import (
	"context"
	"testing"

	standin "github.com/bluebellscale/bluebellscale/internal/standin/store"
)

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
