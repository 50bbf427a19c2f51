package mirror

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// The peers that watch die: a daemon that left the watch to them watches again within a second.
func TestDaemonWatchesAgainWhenItsPeersFallSilent(t *testing.T) {
	var r RelayTracker
	now := time.Unix(1000, 0)
	if r.PeerWatching(now) {
		t.Fatal("covered by nobody")
	}
	r.RecordWatcher(now)
	if !r.PeerWatching(now.Add(relayFresh-time.Millisecond)) || r.PeerWatching(now.Add(relayFresh)) {
		t.Error("covered for another time than a peer's word is fresh")
	}
}

// While peers watch, a daemon asks the service for nothing, and goes on from where it was once
// they fall silent.
func TestRelayedDaemonAsksForNothing(t *testing.T) {
	kv := newModelService()
	counted := &countedWatches{faultlessKV{kv}, sync.Mutex{}, 0}
	relayed := make(chan bool, 1)
	relayed <- true
	is := func() bool { v := <-relayed; relayed <- v; return v }
	f := New(Options{KV: counted, Relayed: is})
	applied := make(chan Update, 10)
	f.AddMirror("a/", func(u Update) { applied <- u })
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	defer func() { cancel(); done.Wait() }()
	<-applied // the listing
	kv.put("a/1", nil)
	select {
	case u := <-applied:
		t.Fatalf("told of %+v", u)
	case <-time.After(3 * relayedEvery):
	}
	if counted.count() > 0 || f.Watching() {
		t.Error("it watches")
	}
	<-relayed
	relayed <- false
	if u := <-applied; len(u.Entries) != 1 || u.Entries[0].Key != "a/1" {
		t.Errorf("got %+v", u)
	}
}

// faultlessKV is the model's service without faults.
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

// A peer's copy carries removals and no key that did not change.
func TestCopyCarriesRemovals(t *testing.T) {
	source, target := testMirror(), testMirror()
	source.takeAll(content{entries: []platform.Entry{{Key: "a/1", Revision: 1}, {Key: "a/2", Revision: 2}}, complete: 2, newest: 2})
	target.takeAll(content{entries: []platform.Entry{{Key: "a/1", Revision: 1}, {Key: "a/2", Revision: 2}}, complete: 2, newest: 2})
	source.takeSome([]platform.Entry{{Key: "a/1", Revision: 5, Deleted: true}, {Key: "a/3", Revision: 6}}, 6, false)
	group := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{source}})
	handler, err := group.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	asking := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{target}})
	asking.ask(context.Background(), server.Listener.Addr().String(), "a/")
	if len(target.present()) != 2 || target.Newest() != 6 || !target.entries["a/1"].Deleted {
		t.Errorf("got %+v at %d", target.entries, target.Newest())
	}
	c, all := source.changesSince(2)
	if !all || len(c.entries) != 2 {
		t.Errorf("carried %+v, all %t", c.entries, all)
	}
	if _, all := source.changesSince(1); all {
		t.Error("what was removed before the first listing counts as known")
	}
}

func testMirror() *Mirror {
	return &Mirror{prefix: "a/", apply: func(Update) {}, lapsing: func() bool { return false }, entries: map[string]platform.Entry{}}
}

// A peer that has not heard of the service's return tells of a higher number of the era before, and
// gives what it knows of that: neither must count as newer. A peer that has heard is believed.
func TestCopiesOfAnEraBeforeAreNotTaken(t *testing.T) {
	m := testMirror()
	before, after := platform.NewRevision(1, 900), platform.NewRevision(2, 480)
	m.takeAll(content{entries: []platform.Entry{{Key: "a/1", Value: []byte("new"), Revision: after}}, complete: after, newest: after})
	group := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{m}, Relayed: func() bool { return true }})
	now := time.Unix(1000, 0)
	if group.beginAsk(now, "a/", before) {
		t.Error("a peer of the era before is asked")
	}
	m.takeAll(content{entries: []platform.Entry{{Key: "a/1", Value: []byte("old"), Revision: before}}, complete: before, newest: before})
	m.takeSome([]platform.Entry{{Key: "a/1", Revision: before, Deleted: true}}, before, false)
	if got := m.present(); len(got) != 1 || string(got[0].Value) != "new" || m.Newest() != after {
		t.Errorf("got %+v at %d", got, m.Newest())
	}
	if !group.beginAsk(now, "a/", platform.NewRevision(3, 1)) {
		t.Error("a peer of the era after is not asked")
	}
}
