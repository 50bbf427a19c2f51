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

// copyOf is what a mirror's owner makes of its updates.
type copyOf struct {
	mu      sync.Mutex
	values  map[string]string
	lapsing bool
	changed chan struct{}
}

func newCopy() *copyOf {
	return &copyOf{values: map[string]string{}, changed: make(chan struct{}, 100)}
}

func (c *copyOf) apply(u Update) {
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
	c.lapsing = u.AfterOutage
	c.changed <- struct{}{}
}

func (c *copyOf) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key]
}

// await waits until a key has a value.
func (c *copyOf) await(t *testing.T, key, want string) {
	t.Helper()
	for deadline := time.After(5 * time.Second); c.get(key) != want; {
		select {
		case <-c.changed:
		case <-deadline:
			t.Fatalf("%s is %q, want %q", key, c.get(key), want)
		}
	}
}

// faulty is a key-value service that can be told to fail.
type faulty struct {
	platform.KV
	mu        sync.Mutex
	err       error // of all calls
	compacted bool  // the next watch finds its history gone
	deaf      bool  // watches hear nothing and end with their wait
}

func (f *faulty) set(change func(*faulty)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faulty) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	f.mu.Lock()
	err := f.err
	f.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	return f.KV.List(ctx, prefix)
}

func (f *faulty) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	f.mu.Lock()
	err, compacted, deaf := f.err, f.compacted, f.deaf
	f.compacted = false
	f.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	if compacted {
		return nil, 0, platform.ErrCompacted
	}
	if deaf {
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

// followed is a follower with one mirror.
type followed struct {
	*Follower
	mirror *Mirror
}

func start(t *testing.T, store platform.KV) (followed, *copyOf) {
	t.Helper()
	c := newCopy()
	m := New(Options{KV: store, WatchTimeout: func() time.Duration { return 50 * time.Millisecond }})
	mirror := m.AddMirror("p/", c.apply)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx) // ends with ctx
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return followed{Follower: m, mirror: mirror}, c
}

func TestMirrorFollows(t *testing.T) {
	store := &faulty{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	put(t, store, "q/1", "elsewhere")
	_, c := start(t, store)
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

// The service drops its history while a key is removed and another written. A watch that
// went on from its old revision would never hear of either.
func TestMirrorListsAnewWhenHistoryIsGone(t *testing.T) {
	store := &faulty{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	_, c := start(t, store)
	c.await(t, "p/1", "one")
	store.set(func(f *faulty) { f.deaf = true })
	e, err := store.KV.Get(context.Background(), "p/1")
	if err != nil {
		t.Fatal(err)
	}
	if err := store.KV.Delete(context.Background(), "p/1", e.Revision); err != nil {
		t.Fatal(err)
	}
	put(t, store, "p/2", "two")
	store.set(func(f *faulty) { f.compacted, f.deaf = true, false })
	c.await(t, "p/2", "two")
	c.await(t, "p/1", "")
}

// An outage takes nothing away, and what is missing just after it may have lapsed with its
// owner alive.
func TestOutageRemovesNothing(t *testing.T) {
	store := &faulty{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	m, c := start(t, store)
	c.await(t, "p/1", "one")
	store.set(func(f *faulty) { f.err = platform.ErrUnavailable })
	for deadline := time.Now().Add(5 * time.Second); m.Connected(); {
		if time.Now().After(deadline) {
			t.Fatal("the outage is not noticed")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(outageAfter + 100*time.Millisecond)
	if c.get("p/1") != "one" {
		t.Error("the outage removed a key")
	}
	put(t, store, "p/2", "two")
	store.set(func(f *faulty) { f.err = nil })
	c.await(t, "p/2", "two")
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lapsing {
		t.Error("an update just after the outage does not say that entries may have lapsed")
	}
}

func newGroup(mirrors ...*Mirror) *Group {
	return NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: mirrors})
}

// The service serves all daemons but one. A key is taken away from a caller, and this
// daemon goes on serving it for as long as the service refuses to tell. It must learn of
// the change from a peer that knows more.
func TestDaemonThatTheServiceRefusesLearnsFromAPeer(t *testing.T) {
	fake := kv.NewFake(time.Now)
	fine, refused := &faulty{KV: fake.Client("a")}, &faulty{KV: fake.Client("b")}
	put(t, fine, "p/1", "old")
	known, _ := start(t, fine)
	behind, c := start(t, refused)
	c.await(t, "p/1", "old")
	refused.set(func(f *faulty) { f.err = platform.ErrUnavailable })
	for deadline := time.Now().Add(5 * time.Second); behind.Connected(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the refusal is not noticed")
		}
	}
	put(t, fine, "p/1", "new")

	peer := httptest.NewServer(NewCopiesServer(newGroup(known.mirror)))
	defer peer.Close()
	group := newGroup(behind.mirror)
	told := newGroup(known.mirror)
	for deadline := time.Now().Add(5 * time.Second); c.get("p/1") != "new"; {
		if time.Now().After(deadline) {
			t.Fatal("the peer's copy was not taken")
		}
		group.HandleRevisions(context.Background(), strings.TrimPrefix(peer.URL, "http://"), told.Revisions())
		time.Sleep(20 * time.Millisecond)
	}

	// What the service tells late is older than the copy, and changes nothing.
	behind.mirror.takeSome([]platform.Entry{{Key: "p/1", Value: []byte("old"), Revision: 1}}, 1, false)
	if got := c.get("p/1"); got != "new" {
		t.Errorf("the copy went back to %q", got)
	}
}

// slowWatch waits as long as it may, as the service does while nothing changes.
type slowWatch struct{ *faulty }

func (s slowWatch) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		entries, next, err := s.faulty.Watch(ctx, prefix, after, 0)
		if err != nil || len(entries) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return entries, next, err
		}
	}
}

// The service refuses one daemon for a while. Some seconds after it serves that daemon
// again a replica leaves without a word: its entry is removed. The daemon's first watch
// after the refusal is still waiting then, and taken for the end of the outage the entry
// would count as lapsed, and the replica be used for longer than it may.
func TestRemovalLongAfterAnOutageIsNoLapse(t *testing.T) {
	store := &faulty{KV: kv.NewFake(time.Now).Client("a")}
	put(t, store, "p/1", "one")
	c := newCopy()
	m := New(Options{KV: slowWatch{store}, WatchTimeout: func() time.Duration { return 6 * time.Second }})
	m.AddMirror("p/", c.apply)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx) // ends with ctx
	}()
	defer func() {
		cancel()
		<-done
	}()
	c.await(t, "p/1", "one")
	store.set(func(f *faulty) { f.err = platform.ErrUnavailable })
	time.Sleep(outageAfter + 300*time.Millisecond)
	store.set(func(f *faulty) { f.err = nil })
	time.Sleep(maxPause + returnGrace + 200*time.Millisecond) // it was tried again, and the time for lapses is over
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
	if c.lapsing {
		t.Error("the removal counts as lapsed")
	}
}

// slowPages is a service whose listings fail wherever they hold entries of replicas.
type slowPages struct{ platform.KV }

func (s slowPages) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	entries, at, err := s.KV.List(ctx, prefix)
	for _, e := range entries {
		if strings.HasPrefix(e.Key, "replicas/") {
			return nil, 0, platform.ErrUnavailable
		}
	}
	return entries, at, err
}

// A daemon lists anew while the service is slow, and a page of the hundreds of replicas fails each
// time. The desired state is one key, which it reads at once, and must be in force; it waited
// for the replicas' pages, as all was one listing.
func TestDesiredStateDoesNotWaitForReplicas(t *testing.T) {
	store := kv.NewFake(time.Now).Client("a")
	put(t, store, "op/state", "new")
	put(t, store, "replicas/1", "ready")
	f := New(Options{KV: slowPages{store}})
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
