package table

import (
	"sync"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// testKV is an in-process key-value service with a hook that runs once, before the service
// handles the next write.
type testKV struct {
	platform.KV
	*kv.Fake

	mu          sync.Mutex
	beforeWrite func()
}

func newTestKV() *testKV {
	t := &testKV{Fake: kv.NewFake(nil)}
	t.SetHook(func(_ string, write bool, _ string) kv.Fault {
		if write {
			t.runHook()
		}
		return kv.FaultNone
	})
	t.KV = t.Client("test")
	return t
}

func (t *testKV) runHook() {
	t.mu.Lock()
	hook := t.beforeWrite
	t.beforeWrite = nil
	t.mu.Unlock()
	if hook != nil {
		hook()
	}
}
