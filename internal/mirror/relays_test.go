package mirror

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// While peers watch, a daemon sends no calls to the key-value service. When they fall silent, it
// continues from its last revision.
func TestRelayedDaemonSendsNoCalls(t *testing.T) {
	kv := newModelService()
	counted := &countedWatches{faultlessKV{kv}, sync.Mutex{}, 0}
	relayed := make(chan bool, 1)
	relayed <- true
	is := func() bool { v := <-relayed; relayed <- v; return v }
	f := New(Options{KV: counted, Relayed: func() time.Duration { return relayedIf(is()) }})
	applied := make(chan Update, 10)
	f.AddMirror("a/", func(u Update) { applied <- u })
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	defer func() { cancel(); done.Wait() }()
	<-applied // from the first listing
	kv.put("a/1", nil)
	select {
	case u := <-applied:
		t.Fatalf("the follower applied %+v while changes are relayed", u)
	case <-time.After(3 * relayCheckInterval):
	}
	if counted.count() > 0 || f.Watching() {
		t.Error("the follower watches while changes are relayed")
	}
	<-relayed
	relayed <- false
	if u := <-applied; len(u.Entries) != 1 || u.Entries[0].Key != "a/1" {
		t.Errorf("got %+v", u)
	}
}

// relayedIf returns the time for which peers relay changes, longer than a test if they do.
func relayedIf(relayed bool) time.Duration {
	if relayed {
		return time.Hour
	}
	return 0
}

// faultlessKV serves the model's service without faults.
type faultlessKV struct{ s *modelService }

func (f faultlessKV) list(prefix string) ([]platform.Entry, platform.Revision, error) {
	entries, at := f.s.list(prefix, "")
	return entries, at, nil
}

type countedWatches struct {
	faultlessKV
	mu      sync.Mutex
	watches int
}

func (c *countedWatches) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watches
}

func (c *countedWatches) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrNotFound
}

func (c *countedWatches) List(_ context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	return c.list(prefix)
}

func (c *countedWatches) CompareAndSwap(context.Context, string, platform.Revision, []byte, platform.LeaseID) (platform.Revision, error) {
	return 0, platform.ErrUnavailable
}

func (c *countedWatches) Delete(context.Context, string, platform.Revision) error {
	return platform.ErrUnavailable
}

func (c *countedWatches) Watch(ctx context.Context, _ string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	c.mu.Lock()
	c.watches++
	c.mu.Unlock()
	events, at, changed, err := c.s.since(after)
	if err != nil || len(events) > 0 {
		return events, at, err
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
	events, at, _, err = c.s.since(after)
	return events, at, err
}

func (c *countedWatches) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	return "", platform.ErrUnavailable
}
func (c *countedWatches) KeepAlive(context.Context, platform.LeaseID) error {
	return platform.ErrNotFound
}
func (c *countedWatches) RevokeLease(context.Context, platform.LeaseID) error {
	return platform.ErrNotFound
}

// A peer's copy includes removals and omits unchanged keys.
func TestCopyIncludesRemovals(t *testing.T) {
	source, target := testMirror(), testMirror()
	source.applyListing(content{entries: []platform.Entry{{Key: "a/1", Revision: 1}, {Key: "a/2", Revision: 2}}, complete: 2, newest: 2})
	target.applyListing(content{entries: []platform.Entry{{Key: "a/1", Revision: 1}, {Key: "a/2", Revision: 2}}, complete: 2, newest: 2})
	source.applyChanges([]platform.Entry{{Key: "a/1", Revision: 5, Deleted: true}, {Key: "a/3", Revision: 6}}, 6, false)
	group := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{source}})
	handler, err := group.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	requester := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{target}})
	requester.fetch(context.Background(), server.Listener.Addr().String(), "a/")
	if len(target.existing()) != 2 || target.Newest() != 6 || !target.entries["a/1"].Deleted {
		t.Errorf("got %+v at %d", target.entries, target.Newest())
	}
	c, all := source.changesSince(2)
	if !all || len(c.entries) != 2 {
		t.Errorf("got changes %+v, complete %t", c.entries, all)
	}
	if _, all := source.changesSince(1); all {
		t.Error("removals before the first listing count as known")
	}
}

func testMirror() *Mirror {
	return &Mirror{prefix: "a/", apply: func(Update) {}, afterOutage: func() bool { return false }, entries: map[string]platform.Entry{}}
}

// After a restore of the key-value service, a peer that has not detected it still reports and
// serves revisions of the previous era with higher sequence numbers. Neither may count as newer.
// Reports of the current era must be accepted.
func TestCopiesOfEarlierEraAreRejected(t *testing.T) {
	m := testMirror()
	before, after := platform.NewRevision(1, 900), platform.NewRevision(2, 480)
	m.applyListing(content{entries: []platform.Entry{{Key: "a/1", Value: []byte("new"), Revision: after}}, complete: after, newest: after})
	group := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{m}, Relayed: func() bool { return true }})
	now := time.Unix(1000, 0)
	if group.beginFetch(now, "a/", before) {
		t.Error("a fetch starts from a peer in the previous era")
	}
	m.applyListing(content{entries: []platform.Entry{{Key: "a/1", Value: []byte("old"), Revision: before}}, complete: before, newest: before})
	m.applyChanges([]platform.Entry{{Key: "a/1", Revision: before, Deleted: true}}, before, false)
	if got := m.existing(); len(got) != 1 || string(got[0].Value) != "new" || m.Newest() != after {
		t.Errorf("got %+v at %d", got, m.Newest())
	}
	if !group.beginFetch(now, "a/", platform.NewRevision(3, 1)) {
		t.Error("no fetch starts from a peer in the next era")
	}
}

// In an outage each daemon of a fleet calls the service every second, and all list all keys when it returns.
// Daemons must share these attempts, and rely on the first one that hears from the service again.
func TestDaemonsShareAttemptsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pollers = 8
		var down, relayed atomic.Bool
		service := &outageKV{pagedKV: newPagedKV(manyReplicas), down: &down}
		f := New(Options{KV: service, WatchTimeout: func() time.Duration { return time.Second }, Relayed: func() time.Duration { return relayedIf(relayed.Load()) }, Pollers: func() int { return pollers }})
		f.AddMirror("op/", func(Update) {})
		replicas := f.AddPagedMirror("servers/", "", func(Update) {})
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { _ = f.Run(ctx) }) // ends with ctx
		defer func() { cancel(); done.Wait() }()
		_ = sleep.For(ctx, time.Second)
		down.Store(true) // the next watch is refused
		before := service.calls.Load()
		const outage = time.Minute
		_ = sleep.For(ctx, outage)
		if calls := service.calls.Load() - before; calls > int64(outage/maxBackoff)/2 {
			t.Errorf("%d calls in an outage of %s", calls, outage)
		}
		if f.Connected() {
			t.Error("the follower counts as connected in the outage")
		}
		relayed.Store(true)
		before = service.calls.Load()
		_ = sleep.For(ctx, 2*relayCheckInterval)
		if !f.Connected() || f.State().FailingFor > 0 || replicas.Newest() == 0 {
			t.Errorf("a daemon that peers inform is in state %+v", f.State())
		}
		if calls := service.calls.Load() - before; calls > 0 {
			t.Errorf("%d calls after peers heard from the service", calls)
		}
	})
}

// outageKV refuses all calls while it is down.
type outageKV struct {
	*pagedKV
	down  *atomic.Bool
	calls atomic.Int64
}

func (o *outageKV) refuse() error {
	o.calls.Add(1)
	if o.down.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

func (o *outageKV) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if err := o.refuse(); err != nil {
		return nil, 0, err
	}
	return o.pagedKV.List(ctx, prefix)
}

func (o *outageKV) ListPage(ctx context.Context, prefix, after string, stale bool) (platform.Page, error) {
	if err := o.refuse(); err != nil {
		return platform.Page{}, err
	}
	return o.pagedKV.ListPage(ctx, prefix, after, stale)
}

func (o *outageKV) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if err := o.refuse(); err != nil {
		return nil, 0, err
	}
	return o.pagedKV.Watch(ctx, prefix, after, wait)
}
