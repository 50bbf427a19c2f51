package mirror

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// servePeer serves a group's copies and returns its address.
func servePeer(t *testing.T, g *Group) string {
	t.Helper()
	h, err := g.Handler()
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// filledMirror returns a mirror that no follower updates, with the given entries at revision at.
func filledMirror(at platform.Revision, values map[string]string) (*Mirror, *recordedCopy) {
	c := newCopy()
	m := New(Options{KV: kv.NewFake(time.Now).Client("a")}).AddMirror("p/", c.apply)
	var entries []platform.Entry
	for key, value := range values {
		entries = append(entries, platform.Entry{Key: key, Value: []byte(value), Revision: at})
	}
	m.applyListing(content{entries: entries, complete: at})
	return m, c
}

// reportUntil reports revision at to a group on behalf of peers, many times a second, until the
// copy has the wanted value.
func reportUntil(t *testing.T, g *Group, c *recordedCopy, at uint64, key, want string, peers ...string) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); c.get(key) != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is %q, want %q", key, c.get(key), want)
		}
		for _, peer := range peers {
			g.HandleRevisions(context.Background(), peer, []uint64{at})
		}
	}
}

// A daemon fetches a copy from a peer with a saturated link, and the transfer is slow. The daemon
// must fetch from another peer before the first fetch times out, or the change is applied late.
func TestSlowPeerDoesNotBlockFetchFromAnother(t *testing.T) {
	ahead, _ := filledMirror(5, map[string]string{"p/1": "new"})
	behind, c := filledMirror(1, map[string]string{"p/1": "old"})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		piece := make([]byte, 8<<10) // sent every 100 ms, which counts as progress
		w.Header().Set("Content-Type", "application/protobuf")
		for r.Context().Err() == nil {
			if _, err := w.Write(piece); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}))
	defer slow.Close()
	defer slow.CloseClientConnections()
	g := newGroup(behind)
	slowAddress := strings.TrimPrefix(slow.URL, "http://")
	for deadline := time.Now().Add(5 * time.Second); !isFetching(g, "p/"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no fetch from the first peer started")
		}
		g.HandleRevisions(context.Background(), slowAddress, []uint64{5})
	}
	started := time.Now()
	reportUntil(t, g, c, 5, "p/1", "new", servePeer(t, newGroup(ahead)))
	if took := time.Since(started); took > nextFetchDelay+time.Second {
		t.Errorf("the change was applied after %s", took)
	}
}

func isFetching(g *Group, prefix string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lags[prefix].fetches > 0
}

// Peers report a newer change continuously, and the first fetch takes seconds. The start of the
// lag must not be reset meanwhile, or the daemon would never fetch from another peer.
func TestLagContinuesDuringFetch(t *testing.T) {
	var l lag
	start := time.Now()
	lastFetch := time.Duration(0)
	for at := time.Duration(0); at < 3*time.Second; at += 60 * time.Millisecond {
		fetch := l.recordReport(start.Add(at), 5, fetchDelay)
		if !l.since.Equal(start) {
			t.Fatalf("the start of the lag was reset after %s", at)
		}
		if !fetch {
			continue
		}
		l.fetches++
		l.lastFetch = start.Add(at)
		if l.fetches == 1 && (at < fetchDelay || at > 2*fetchDelay) {
			t.Errorf("the first fetch started after %s", at)
		}
		lastFetch = at
	}
	if l.fetches != maxFetches || lastFetch > fetchDelay+nextFetchDelay+200*time.Millisecond {
		t.Errorf("%d fetches started, the last after %s", l.fetches, lastFetch)
	}
	m, _ := filledMirror(5, map[string]string{"p/1": "new"})
	l.clearIfApplied(m)
	if l.recordReport(start.Add(4*time.Second), 6, fetchDelay); !l.since.Equal(start.Add(4 * time.Second)) {
		t.Error("the lag continues from a change that is applied")
	}
}

// A peer reports a change and terminates before its copy can be fetched. Another change follows
// much later. The watch must get fetchDelay to deliver it before the daemon fetches from peers.
func TestUnreportedLagExpires(t *testing.T) {
	var l lag
	start := time.Now()
	l.recordReport(start, 5, fetchDelay)
	if l.recordReport(start.Add(lagExpiry+time.Millisecond), 6, fetchDelay) {
		t.Error("a fetch starts without fetchDelay")
	}
}

// Operators write thousands of routes, and a VM with a small link serves its copy to many daemons.
// Compression must reduce the traffic to a small fraction, or the copies arrive late and callers
// wait.
func TestCopiesAreCompressed(t *testing.T) {
	var routes strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&routes, `{"name":"r-%x","host":"h%x.example","kind":"safe","timeout_ms":800,"target_latency_ms":300},`, i*7919, i*104729)
	}
	ahead, _ := filledMirror(5, map[string]string{"p/1": routes.String()})
	r, err := http.NewRequest(http.MethodPost, "http://"+servePeer(t, newGroup(ahead))+CopiesPathPrefix+"Read", strings.NewReader(`{"prefix":"p/"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept-Encoding", "gzip") // net/http sets it by default, but then hides the compressed size
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	size, err := io.Copy(io.Discard, answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	if size == 0 || size > int64(routes.Len()/4) {
		t.Errorf("the response has %d bytes for a copy of %d bytes", size, routes.Len())
	}
}

// A replica registers while a peer lists page by page. The peer has passed the replica's page and
// reads a later change on another page, so its copy is newer but lacks the replica. A daemon that
// has the replica's entry must keep it, because no watch would deliver the entry again.
func TestIncompletePeerCopyRemovesNoEntries(t *testing.T) {
	ahead, _ := filledMirror(0, nil)
	ahead.applyListing(content{entries: []platform.Entry{{Key: "p/9", Value: []byte("later"), Revision: 120}}, complete: 100})
	behind, c := filledMirror(0, nil)
	behind.applyListing(content{entries: []platform.Entry{{Key: "p/1", Value: []byte("replica"), Revision: 110}}, complete: 110})
	reportUntil(t, newGroup(behind), c, 120, "p/9", "later", servePeer(t, newGroup(ahead)))
	if got := c.get("p/1"); got != "replica" {
		t.Errorf("the replica's entry is %q", got)
	}
}

// One daemon detects by a listing that a key was removed; the others received the removal from
// their watches. The first does not know the revision of the removal, uses that of the listing and
// reports it to the others. They must not fetch copies forever for a change that they have.
func TestKnownRemovalIsNotFetched(t *testing.T) {
	lister, _ := filledMirror(1, map[string]string{"p/1": "one"})
	lister.applyListing(content{complete: 50})
	watcher, _ := filledMirror(1, map[string]string{"p/1": "one"})
	watcher.applyChanges([]platform.Entry{{Key: "p/1", Revision: 40, Deleted: true}}, 50, false)
	g, revisions := newGroup(watcher), newGroup(lister).Revisions()
	peer := servePeer(t, newGroup(lister))
	var first time.Time
	for range 60 {
		g.HandleRevisions(context.Background(), peer, revisions)
		time.Sleep(10 * time.Millisecond)
		g.mu.Lock()
		lastFetch := g.lags["p/"].lastFetch
		g.mu.Unlock()
		if first.IsZero() {
			first = lastFetch
		}
		if !lastFetch.Equal(first) {
			t.Fatal("the copy is fetched again")
		}
	}
	if g.Lag("p/") > 0 {
		t.Error("the lag does not end although the removal is applied")
	}
}

// A requested weight version takes a few bytes, the desired state a megabyte. A daemon that
// fetches the version from a peer must not transfer the desired state that it already has, and it
// must remove a key that was removed in the meantime.
func TestOnlyChangesAreTransferred(t *testing.T) {
	before := map[string]string{"p/state": "large", "p/weights": "1", "p/gone": "x"}
	ahead, _ := filledMirror(5, before)
	ahead.applyChanges([]platform.Entry{{Key: "p/weights", Value: []byte("2"), Revision: 7}, {Key: "p/gone", Revision: 8, Deleted: true}}, 9, false)
	behind, c := filledMirror(5, before)
	g := newGroup(ahead)
	answer, err := g.Read(context.Background(), &ReadRequest{Prefix: "p/", NewerThan: 5, Changes: true})
	if err != nil {
		t.Fatal(err)
	}
	if len(answer.Entries) != 1 || answer.Entries[0].Key != "p/weights" || len(answer.Unchanged) != 1 || answer.Complete != 9 {
		t.Errorf("the response is %v", answer)
	}
	reportUntil(t, newGroup(behind), c, 8, "p/weights", "2", servePeer(t, g))
	if c.get("p/state") != "large" || c.get("p/gone") != "" {
		t.Errorf("the copy is %v", c.values)
	}
	old, err := g.Read(context.Background(), &ReadRequest{Prefix: "p/", NewerThan: 5})
	if err != nil || len(old.Entries) != 2 {
		t.Errorf("a daemon of an older release gets %v, %v", old, err)
	}
}

// Applying a large change takes a small VM a while. Meanwhile requests check whether peers have
// newer changes, and the daemon reports its revisions to peers. Neither may block.
func TestApplyDoesNotBlockReaders(t *testing.T) {
	applying, applied := make(chan struct{}), make(chan struct{})
	m := New(Options{KV: kv.NewFake(time.Now).Client("a")}).AddMirror("p/", func(Update) {
		close(applying)
		<-applied
	})
	g := newGroup(m)
	g.HandleRevisions(context.Background(), "127.0.0.1:1", []uint64{5})
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.applyListing(content{entries: []platform.Entry{{Key: "p/1", Revision: 5}}, complete: 5})
	}()
	<-applying
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if g.Lag("p/") == 0 {
			t.Error("the lag ended before the change was applied")
		}
		if revisions := g.Revisions(); revisions[0] != 0 {
			t.Errorf("revision %d is reported to peers before it is applied", revisions[0])
		}
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Error("a reader blocks while a change is being applied")
	}
	close(applied)
	<-done
	<-answered
	if g.Lag("p/") != 0 {
		t.Error("the lag did not end after the change was applied")
	}
}

// A watch misses the revocation of a key but claims to be complete. If the daemon relied on this
// claim, it would serve the key's holder until the next change. It must fetch the change from its
// peers.
func TestChangeMissedByWatchIsFetchedFromPeer(t *testing.T) {
	ahead, _ := filledMirror(5, map[string]string{"p/1": "old"})
	ahead.applyChanges([]platform.Entry{{Key: "p/1", Value: []byte("new"), Revision: 40}}, 50, false)
	skipped, c := filledMirror(5, map[string]string{"p/1": "old"})
	skipped.applyChanges(nil, 50, false)
	reportUntil(t, newGroup(skipped), c, uint64(ahead.Newest()), "p/1", "new", servePeer(t, newGroup(ahead)))
}

// The registry of a large fleet changes many times a second. Reports of each change would be most of what
// daemons send, while a change of the desired state must be reported at once.
func TestManyChangesAreReportedAtIntervals(t *testing.T) {
	const interval = 500 * time.Millisecond
	f := New(Options{KV: kv.NewFake(time.Now).Client("a")})
	g := NewGroup(GroupOptions{
		Mirrors: []*Mirror{f.AddMirror("op/", func(Update) {}), f.AddMirror("servers/", func(Update) {})},
		FetchInterval: func(prefix string) time.Duration {
			if prefix == "servers/" {
				return interval
			}
			return 0
		},
	})
	if g.ReportDue([]uint64{1, 5}, []uint64{1, 6}, interval/2-1) || !g.ReportDue([]uint64{1, 5}, []uint64{1, 6}, interval/2) {
		t.Error("a change of the registry is not reported at half of the interval")
	}
	if !g.ReportDue([]uint64{1, 5}, []uint64{2, 5}, 0) || g.ReportDue([]uint64{1, 5}, []uint64{1, 5}, time.Hour) {
		t.Error("only a change of the desired state must be reported at once")
	}
	begun := 0
	for tick := range 100 { // in ten seconds, each with a newer revision
		if g.beginFetch(time.Unix(1000, 0).Add(time.Duration(tick)*interval/5), "servers/", platform.Revision(tick+1)) {
			begun++
			g.lags["servers/"].fetches--
		}
	}
	if begun > 20 {
		t.Errorf("%d fetches in ten seconds", begun)
	}
}

// TestUnansweredFetchesOfChange guards against a daemon that relies on peers whose changes it hears of and can't fetch, and against one that
// relies on them no more because they refuse for a moment, or because fetches of an earlier change failed.
func TestUnansweredFetchesOfChange(t *testing.T) {
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	dead := strings.TrimPrefix(unreachable.URL, "http://")
	ahead, _ := filledMirror(5, map[string]string{"p/1": "new"})
	peers := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{ahead}})
	peer := servePeer(t, peers)
	for range maxServed {
		peers.serving <- struct{}{}
	}
	behind, _ := filledMirror(1, map[string]string{"p/1": "old"})
	g := NewGroup(GroupOptions{Client: http.DefaultClient, Mirrors: []*Mirror{behind}, Relayed: func() bool { return true }})
	ctx := context.Background()
	isUnanswered := func() bool { return g.UnansweredFor() > 0 }
	report := func(peer string) {
		if g.beginFetch(time.Now(), "p/", 5) {
			g.fetch(ctx, peer, "p/")
		}
	}
	g.Ask(ctx, dead, "p/")
	if isUnanswered() {
		t.Error("a fetch counts although no peer reported a change")
	}
	report(peer)
	if isUnanswered() {
		t.Error("a peer that refuses counts as one that does not answer")
	}
	report(dead)
	if !isUnanswered() {
		t.Error("a fetch of a change that failed does not count")
	}
	first := g.UnansweredFor()
	report(dead)
	if g.UnansweredFor() < first {
		t.Error("the second fetch that failed counts as the first")
	}
	for range maxServed {
		<-peers.serving
	}
	report(peer)
	if isUnanswered() || !behind.hasApplied(5) {
		t.Error("fetches count as failed although the change was applied")
	}
}
