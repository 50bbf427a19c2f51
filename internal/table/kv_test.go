package table

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// memoryKV is the key-value service in memory, with switches for its failures. It has no
// leases.
type memoryKV struct {
	platform.KV

	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision platform.Revision
	changed  chan struct{}
	down     bool
	calls    int
	loseNext bool   // the next write takes effect and its outcome stays unknown
	beforeCS func() // runs once, before the next write is looked at
}

func newMemoryKV() *memoryKV {
	return &memoryKV{entries: make(map[string]platform.Entry), changed: make(chan struct{})}
}

func (kv *memoryKV) setDown(down bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.down = down
	kv.wake()
}

func (kv *memoryKV) wake() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

func (kv *memoryKV) begin() error {
	kv.calls++
	if kv.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (kv *memoryKV) Get(_ context.Context, key string) (platform.Entry, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if err := kv.begin(); err != nil {
		return platform.Entry{}, err
	}
	entry, ok := kv.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

func (kv *memoryKV) after(prefix string, revision platform.Revision) []platform.Entry {
	var found []platform.Entry
	for key, entry := range kv.entries {
		if strings.HasPrefix(key, prefix) && entry.Revision > revision {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Revision < found[j].Revision })
	return found
}

func (kv *memoryKV) List(_ context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if err := kv.begin(); err != nil {
		return nil, 0, err
	}
	return kv.after(prefix, 0), kv.revision, nil
}

func (kv *memoryKV) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if err := kv.begin(); err != nil {
		return nil, 0, err
	}
	for {
		if kv.down {
			return nil, 0, platform.ErrUnavailable
		}
		if found := kv.after(prefix, after); len(found) > 0 || ctx.Err() != nil {
			return found, kv.revision, nil
		}
		changed := kv.changed
		kv.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		kv.mu.Lock()
	}
}

func (kv *memoryKV) CompareAndSwap(_ context.Context, key string, expect platform.Revision, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	if hook := kv.takeHook(); hook != nil {
		hook()
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if err := kv.begin(); err != nil {
		return 0, err
	}
	current := kv.entries[key]
	if current.Revision != expect {
		return 0, &platform.ConflictError{Current: current}
	}
	kv.revision++
	kv.entries[key] = platform.Entry{Key: key, Value: value, Revision: kv.revision}
	kv.wake()
	if kv.loseNext {
		kv.loseNext = false
		return 0, platform.ErrUncertain
	}
	return kv.revision, nil
}

func (kv *memoryKV) takeHook() func() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	hook := kv.beforeCS
	kv.beforeCS = nil
	return hook
}
