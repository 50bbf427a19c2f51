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

// filled returns a mirror that nobody keeps up, with some entries at revision at.
func filled(at platform.Revision, values map[string]string) (*Mirror, *copyOf) {
	c := newCopy()
	m := New(Options{KV: kv.NewFake(time.Now).Client("a")}).AddMirror("p/", c.apply)
	var entries []platform.Entry
	for key, value := range values {
		entries = append(entries, platform.Entry{Key: key, Value: []byte(value), Revision: at})
	}
	m.takeAll(content{entries: entries, complete: at})
	return m, c
}

// tellUntil has a group hear of a newer change from some peers, as they tell it many times a
// second, until a copy has a value.
func tellUntil(t *testing.T, g *Group, c *copyOf, at uint64, key, want string, peers ...string) {
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

// A daemon is behind and asks a peer, whose link is full: the copy trickles in. Another peer has
// the change too, and must be asked before the first is given up, or the change comes late.
func TestAnotherPeerIsAskedWhereTheFirstIsSlow(t *testing.T) {
	knows, _ := filled(5, map[string]string{"p/1": "new"})
	behind, c := filled(1, map[string]string{"p/1": "old"})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		piece := make([]byte, 8<<10) // every tenth of a second: enough to count as progress
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
	for deadline := time.Now().Add(5 * time.Second); !asking(g, "p/"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first peer is not asked")
		}
		g.HandleRevisions(context.Background(), slowAddress, []uint64{5})
	}
	begun := time.Now()
	tellUntil(t, g, c, 5, "p/1", "new", servePeer(t, newGroup(knows)))
	if took := time.Since(begun); took > askAgainAfter+time.Second {
		t.Errorf("the change was known after %s", took)
	}
}

func asking(g *Group, prefix string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lags[prefix].asks > 0
}

// Peers tell of a newer change all the while, and the copy of the first that is asked takes
// seconds. The time since which this daemon is behind must not begin anew meanwhile: no other
// peer would ever be asked.
func TestTimeBehindRunsOnWhileACopyComes(t *testing.T) {
	var l lag
	start := time.Now()
	asked := time.Duration(0)
	for at := time.Duration(0); at < 3*time.Second; at += 60 * time.Millisecond {
		ask := l.note(start.Add(at), 5, behindFor)
		if !l.since.Equal(start) {
			t.Fatalf("after %s the time behind begins anew", at)
		}
		if !ask {
			continue
		}
		l.asks++
		l.asked = start.Add(at)
		if l.asks == 1 && (at < behindFor || at > 2*behindFor) {
			t.Errorf("asked first after %s", at)
		}
		asked = at
	}
	if l.asks != maxAsks || asked > behindFor+askAgainAfter+200*time.Millisecond {
		t.Errorf("%d peers asked, the last after %s", l.asks, asked)
	}
	m, _ := filled(5, map[string]string{"p/1": "new"})
	l.caughtUp(m)
	if l.note(start.Add(4*time.Second), 6, behindFor); !l.since.Equal(start.Add(4 * time.Second)) {
		t.Error("the time behind runs on from a change that is known by now")
	}
}

// A peer knew of a change and was gone before it could give its copy. Another change comes much
// later: the watch has its time to tell of it before peers are asked.
func TestWhatNobodyTellsAnyMoreIsForgotten(t *testing.T) {
	var l lag
	start := time.Now()
	l.note(start, 5, behindFor)
	if l.note(start.Add(forgetAfter+time.Millisecond), 6, behindFor) {
		t.Error("a peer is asked at once")
	}
}

// Operators write some thousand routes, and a VM with a small link gives its copy to many. What
// goes over the link must be a small part of it, or their copies come late and callers wait.
func TestCopiesAreCompressed(t *testing.T) {
	var routes strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&routes, `{"name":"r-%x","host":"h%x.example","kind":"safe","timeout_ms":800,"target_latency_ms":300},`, i*7919, i*104729)
	}
	knows, _ := filled(5, map[string]string{"p/1": routes.String()})
	r, err := http.NewRequest(http.MethodPost, "http://"+servePeer(t, newGroup(knows))+CopiesPathPrefix+"Read", strings.NewReader(`{"prefix":"p/"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept-Encoding", "gzip") // as net/http does by itself, but then it hides the size
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
		t.Errorf("%d bytes for a copy of %d", size, routes.Len())
	}
}

// A replica registers while a peer lists page by page: it has passed the replica's page, and
// reads of a later change on another one. Its copy lacks the replica, and is newer all the same.
// The replica must not be taken for gone by a daemon that knows it: no watch tells of it again.
func TestCopyOfAPeerThatStillListsTakesNothingAway(t *testing.T) {
	knows, _ := filled(0, nil)
	knows.takeAll(content{entries: []platform.Entry{{Key: "p/9", Value: []byte("later"), Revision: 120}}, complete: 100})
	behind, c := filled(0, nil)
	behind.takeAll(content{entries: []platform.Entry{{Key: "p/1", Value: []byte("replica"), Revision: 110}}, complete: 110})
	tellUntil(t, newGroup(behind), c, 120, "p/9", "later", servePeer(t, newGroup(knows)))
	if got := c.get("p/1"); got != "replica" {
		t.Errorf("the replica's entry is %q", got)
	}
}

// One daemon notices by a listing that a key is gone, the others heard of the removal. The
// first can't know its revision, takes that of the listing, and tells it to the others: a
// change they know must not have them ask for copies for ever.
func TestKnownRemovalIsNotAskedFor(t *testing.T) {
	lister, _ := filled(1, map[string]string{"p/1": "one"})
	lister.takeAll(content{complete: 50})
	watcher, _ := filled(1, map[string]string{"p/1": "one"})
	watcher.takeSome([]platform.Entry{{Key: "p/1", Revision: 40, Deleted: true}}, 50, false)
	g, told := newGroup(watcher), newGroup(lister).Revisions()
	peer := servePeer(t, newGroup(lister))
	var first time.Time
	for range 60 {
		g.HandleRevisions(context.Background(), peer, told)
		time.Sleep(10 * time.Millisecond)
		g.mu.Lock()
		asked := g.lags["p/"].asked
		g.mu.Unlock()
		if first.IsZero() {
			first = asked
		}
		if !asked.Equal(first) {
			t.Fatal("a copy is asked for again")
		}
	}
	if g.Lag("p/") > 0 {
		t.Error("the removal counts as unknown")
	}
}

// Weights are named: a few bytes beside a desired state of a megabyte. A daemon that learns of it
// from a peer must not wait for the megabyte that it has, and a key that went meanwhile must go.
func TestOnlyWhatChangedCrossesTheLink(t *testing.T) {
	before := map[string]string{"p/state": "large", "p/weights": "1", "p/gone": "x"}
	knows, _ := filled(5, before)
	knows.takeSome([]platform.Entry{{Key: "p/weights", Value: []byte("2"), Revision: 7}, {Key: "p/gone", Revision: 8, Deleted: true}}, 9, false)
	behind, c := filled(5, before)
	g := newGroup(knows)
	answer, err := g.Read(context.Background(), &ReadRequest{Prefix: "p/", NewerThan: 5, Changes: true})
	if err != nil {
		t.Fatal(err)
	}
	if len(answer.Entries) != 1 || answer.Entries[0].Key != "p/weights" || len(answer.Unchanged) != 1 || answer.Complete != 9 {
		t.Errorf("the answer is %v", answer)
	}
	tellUntil(t, newGroup(behind), c, 8, "p/weights", "2", servePeer(t, g))
	if c.get("p/state") != "large" || c.get("p/gone") != "" {
		t.Errorf("the copy is %v", c.values)
	}
	old, err := g.Read(context.Background(), &ReadRequest{Prefix: "p/", NewerThan: 5})
	if err != nil || len(old.Entries) != 2 {
		t.Errorf("a daemon of an older release gets %v, %v", old, err)
	}
}

// A large change is being applied, which takes a small VM a while. Requests ask meanwhile whether
// peers know more, and peers are told what is known here: neither may wait for it.
func TestNobodyWaitsForAChangeThatIsBeingApplied(t *testing.T) {
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
		m.takeAll(content{entries: []platform.Entry{{Key: "p/1", Revision: 5}}, complete: 5})
	}()
	<-applying
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if g.Lag("p/") == 0 {
			t.Error("the change counts as known before it is in force")
		}
		if told := g.Revisions(); told[0] != 0 {
			t.Errorf("peers are told of revision %d before it is in force", told[0])
		}
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Error("a request waits")
	}
	close(applied)
	<-done
	<-answered
	if g.Lag("p/") != 0 {
		t.Error("the change is not known")
	}
}

// A watch heard nothing for a second while a key was taken away, and told that it was complete. A
// daemon that believed it would serve the key's holder until the next change: its peers know more.
func TestChangeThatAWatchSkippedIsLearntFromAPeer(t *testing.T) {
	knows, _ := filled(5, map[string]string{"p/1": "old"})
	knows.takeSome([]platform.Entry{{Key: "p/1", Value: []byte("new"), Revision: 40}}, 50, false)
	skipped, c := filled(5, map[string]string{"p/1": "old"})
	skipped.takeSome(nil, 50, false)
	tellUntil(t, newGroup(skipped), c, uint64(knows.Newest()), "p/1", "new", servePeer(t, newGroup(knows)))
}
