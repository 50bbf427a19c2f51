package mirror

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// recordedCopy applies a mirror's updates to a map, as the owner of a mirror does.
type recordedCopy struct {
	mu          sync.Mutex
	values      map[string]string
	afterOutage bool
	changed     chan struct{}
}

func newCopy() *recordedCopy {
	return &recordedCopy{values: map[string]string{}, changed: make(chan struct{}, 100)}
}

func (c *recordedCopy) apply(u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Full {
		clear(c.values)
	}
	for _, e := range u.Entries {
		if e.Deleted {
			delete(c.values, e.Key)
			continue
		}
		c.values[e.Key] = string(e.Value)
	}
	c.afterOutage = u.AfterOutage
	c.changed <- struct{}{}
}

func (c *recordedCopy) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key]
}

func (c *recordedCopy) has(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, has := c.values[key]
	return has
}

// await waits until a key has a value.
func (c *recordedCopy) await(t *testing.T, key, want string) {
	t.Helper()
	for deadline := time.After(5 * time.Second); c.get(key) != want; {
		select {
		case <-c.changed:
		case <-deadline:
			t.Fatalf("%s is %q, want %q", key, c.get(key), want)
		}
	}
}

// faultyKV is a key-value service with injected faults.
type faultyKV struct {
	platform.KV
	mu        sync.Mutex
	err       error // returned by all calls
	compacted bool  // the next watch fails with ErrCompacted
	silent    bool  // watches return no changes
}

func (f *faultyKV) set(change func(*faultyKV)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faultyKV) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	f.mu.Lock()
	err := f.err
	f.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	return f.KV.List(ctx, prefix)
}

func (f *faultyKV) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	f.mu.Lock()
	err, compacted, silent := f.err, f.compacted, f.silent
	f.compacted = false
	f.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	if compacted {
		return nil, 0, platform.ErrCompacted
	}
	if silent {
		time.Sleep(5 * time.Millisecond)
		return nil, after, nil
	}
	// The fake does not wait.
	entries, next, err := f.KV.Watch(ctx, prefix, after, wait)
	if err == nil && len(entries) == 0 {
		time.Sleep(2 * time.Millisecond)
	}
	return entries, next, err
}

func put(t *testing.T, store platform.KV, key, value string) {
	t.Helper()
	e, _ := store.Get(context.Background(), key)
	if _, err := store.CompareAndSwap(context.Background(), key, e.Revision, []byte(value), ""); err != nil {
		t.Fatal(err)
	}
}

// testFollower is a follower with one mirror.
type testFollower struct {
	*Follower
	mirror *Mirror
}

func startFollower(t *testing.T, store platform.KV) (testFollower, *recordedCopy) {
	t.Helper()
	c := newCopy()
	f := New(Options{KV: store, WatchTimeout: func() time.Duration { return 50 * time.Millisecond }})
	mirror := f.AddMirror("p/", c.apply)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx) // ends with ctx
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return testFollower{Follower: f, mirror: mirror}, c
}

func TestMirrorFollows(t *testing.T) {
	store := &faultyKV{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	put(t, store, "q/1", "elsewhere")
	_, c := startFollower(t, store)
	c.await(t, "p/1", "one")
	put(t, store, "p/2", "two")
	c.await(t, "p/2", "two")
	e, err := store.Get(context.Background(), "p/1")
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Delete(context.Background(), "p/1", e.Revision); err != nil {
		t.Fatal(err)
	}
	c.await(t, "p/1", "")
	if c.get("q/1") != "" {
		t.Error("a key of another prefix is in the copy")
	}
}

// The key-value service compacts its history while one key is removed and another written. A
// watch that continued from its old revision would miss both changes.
func TestMirrorRelistsAfterCompaction(t *testing.T) {
	store := &faultyKV{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	_, c := startFollower(t, store)
	c.await(t, "p/1", "one")
	store.set(func(f *faultyKV) { f.silent = true })
	e, err := store.KV.Get(context.Background(), "p/1")
	if err != nil {
		t.Fatal(err)
	}
	if err := store.KV.Delete(context.Background(), "p/1", e.Revision); err != nil {
		t.Fatal(err)
	}
	put(t, store, "p/2", "two")
	store.set(func(f *faultyKV) { f.compacted, f.silent = true, false })
	c.await(t, "p/2", "two")
	c.await(t, "p/1", "")
}

// An outage removes no entries, and entries that are missing just after it may have expired while
// their owners were alive.
func TestOutageRemovesNoEntries(t *testing.T) {
	store := &faultyKV{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	m, c := startFollower(t, store)
	c.await(t, "p/1", "one")
	store.set(func(f *faultyKV) { f.err = platform.ErrUnavailable })
	for deadline := time.Now().Add(5 * time.Second); m.Connected(); {
		if time.Now().After(deadline) {
			t.Fatal("the follower did not detect the outage")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(outageThreshold + 100*time.Millisecond)
	if c.get("p/1") != "one" {
		t.Error("the outage removed a key")
	}
	put(t, store, "p/2", "two")
	store.set(func(f *faultyKV) { f.err = nil })
	c.await(t, "p/2", "two")
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.afterOutage {
		t.Error("an update just after the outage does not have AfterOutage set")
	}
}

func newGroup(mirrors ...*Mirror) *Group {
	return NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: mirrors})
}

// The key-value service refuses one daemon and serves the others. If an operator revokes a
// caller's key, this daemon would accept the key for as long as the service refuses the daemon.
// It must fetch the change from a peer that has it.
func TestDaemonRefusedByServiceFetchesFromPeer(t *testing.T) {
	fake := kv.NewFake(time.Now)
	serving, refused := &faultyKV{KV: fake.Client("a")}, &faultyKV{KV: fake.Client("b")}
	put(t, serving, "p/1", "old")
	ahead, _ := startFollower(t, serving)
	behind, c := startFollower(t, refused)
	c.await(t, "p/1", "old")
	refused.set(func(f *faultyKV) { f.err = platform.ErrUnavailable })
	for deadline := time.Now().Add(5 * time.Second); behind.Connected(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the follower did not detect the refusal")
		}
	}
	put(t, serving, "p/1", "new")

	peer := httptest.NewServer(NewCopiesServer(newGroup(ahead.mirror)))
	defer peer.Close()
	group := newGroup(behind.mirror)
	source := newGroup(ahead.mirror)
	for deadline := time.Now().Add(5 * time.Second); c.get("p/1") != "new"; {
		if time.Now().After(deadline) {
			t.Fatal("the peer's copy was not applied within 5 s")
		}
		group.HandleRevisions(context.Background(), strings.TrimPrefix(peer.URL, "http://"), source.Revisions())
		time.Sleep(20 * time.Millisecond)
	}

	// A delayed change from the key-value service is older than the fetched copy and has no
	// effect.
	behind.mirror.applyChanges([]platform.Entry{{Key: "p/1", Value: []byte("old"), Revision: 1}}, 1, false)
	if got := c.get("p/1"); got != "new" {
		t.Errorf("the copy reverted to %q", got)
	}
}

// blockingWatch blocks in Watch until a change or the timeout, as the key-value service does.
type blockingWatch struct{ *faultyKV }

func (s blockingWatch) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		entries, next, err := s.faultyKV.Watch(ctx, prefix, after, 0)
		if err != nil || len(entries) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return entries, next, err
		}
	}
}

// The key-value service refuses one daemon for a while. Some seconds after it accepts the daemon
// again, a replica terminates and its entry is removed, while the daemon's first watch after the
// outage is still blocked. If the end of that watch counted as the end of the outage, the removal
// would count as an expiry, and the daemon would use the replica for too long.
func TestRemovalLongAfterOutageIsNotExpiry(t *testing.T) {
	store := &faultyKV{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	c := newCopy()
	follower := New(Options{KV: blockingWatch{store}, WatchTimeout: func() time.Duration { return 6 * time.Second }})
	follower.AddMirror("p/", c.apply)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx) // ends with ctx
	}()
	defer func() {
		cancel()
		<-done
	}()
	c.await(t, "p/1", "one")
	store.set(func(f *faultyKV) { f.err = platform.ErrUnavailable })
	time.Sleep(outageThreshold + 300*time.Millisecond)
	store.set(func(f *faultyKV) { f.err = nil })
	time.Sleep(maxBackoff + recoveryGrace + 200*time.Millisecond) // the follower has retried, and recoveryGrace is over
	e, err := store.Get(ctx, "p/1")
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Delete(ctx, "p/1", e.Revision); err != nil {
		t.Fatal(err)
	}
	c.await(t, "p/1", "")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.afterOutage {
		t.Error("the removal counts as an expiry")
	}
}

// failingReplicaPages is a service whose listings fail if they contain entries of replicas.
type failingReplicaPages struct{ platform.KV }

func (s failingReplicaPages) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	entries, at, err := s.KV.List(ctx, prefix)
	for _, e := range entries {
		if strings.HasPrefix(e.Key, "replicas/") {
			return nil, 0, platform.ErrUnavailable
		}
	}
	return entries, at, err
}

// A daemon lists again while the key-value service is slow, and a page of the hundreds of
// replicas fails each time. The desired state is a single key and must be applied at once. In a
// single listing of all keys, it would wait for the replicas' pages.
func TestDesiredStateDoesNotWaitForReplicas(t *testing.T) {
	store := kv.NewFake(time.Now).Client("a")
	put(t, store, "op/state", "new")
	put(t, store, "replicas/1", "ready")
	f := New(Options{KV: failingReplicaPages{store}})
	operators, replicas := newCopy(), newCopy()
	f.AddMirror("op/", operators.apply)
	f.AddMirror("replicas/", replicas.apply)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx) // ends with ctx
	}()
	defer func() {
		cancel()
		<-done
	}()
	operators.await(t, "op/state", "new")
	if got := replicas.get("replicas/1"); got != "" {
		t.Errorf("the replica's entry is %q", got)
	}
}

// TestInSyncDoesNotWaitForUpdates guards against a daemon that stops for good, because a function that applies an update waits for a lock whose
// holder asks whether the mirror is in sync.
func TestInSyncDoesNotWaitForUpdates(t *testing.T) {
	var lock sync.Mutex
	applying, release := make(chan struct{}), make(chan struct{})
	m := New(Options{}).AddMirror("p/", func(Update) {
		close(applying)
		<-release
		lock.Lock()
		defer lock.Unlock()
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.applyListing(content{complete: 1})
	}()
	<-applying
	lock.Lock()
	close(release)
	asked := make(chan bool)
	go func() { asked <- m.InSync() }()
	select {
	case inSync := <-asked:
		if inSync {
			t.Error("the mirror is in sync before its update is applied")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("InSync waits for the update")
	}
	lock.Unlock()
	<-done
	if !m.InSync() {
		t.Error("the mirror is not in sync")
	}
}
