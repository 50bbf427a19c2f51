package mirror

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// pagedKV serves the model's service page by page and counts the calls.
type pagedKV struct {
	countedWatches
	pages int // calls of ListPage and List, which counts as many as it reads
}

func newPagedKV(replicas int) *pagedKV {
	s := newModelService()
	s.put("op/config", nil)
	for i := range replicas {
		s.put(fmt.Sprintf("servers/%05d", i), nil)
	}
	return &pagedKV{countedWatches: countedWatches{faultlessKV: faultlessKV{s}}}
}

func (k *pagedKV) ListPage(_ context.Context, prefix, after string, _ bool) (platform.Page, error) {
	k.mu.Lock()
	k.pages++
	k.mu.Unlock()
	entries, at := k.s.list(prefix, after)
	return platform.Page{Entries: entries, Revision: at, More: len(entries) == fleetPageSize}, nil
}

func (k *pagedKV) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	var all []platform.Entry
	var first platform.Revision
	for after := ""; ; after = all[len(all)-1].Key {
		page, err := k.ListPage(ctx, prefix, after, false)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More {
			return all, first, nil
		}
	}
}

func (k *pagedKV) countPages() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pages
}

// loadingDaemon is a daemon with a paged mirror of replicas.
type loadingDaemon struct {
	kv       *pagedKV
	follower *Follower
	replicas *Mirror
	copy     *recordedCopy
}

// newLoading returns a daemon that is not started.
func newLoading(kv *pagedKV, o Options, near string) *loadingDaemon {
	o.KV = kv
	d := &loadingDaemon{kv: kv, follower: New(o), copy: newCopy()}
	d.copy.changed = make(chan struct{}, 10_000)
	d.follower.AddMirror("op/", func(Update) {})
	d.replicas = d.follower.AddPagedMirror("servers/", near, d.copy.apply)
	return d
}

// start starts the daemon, which ends with the test. ask stands for its requests to peers.
func (d *loadingDaemon) start(t *testing.T, ask func()) {
	d.follower.opts.AskPeer = func(_ context.Context, prefix string) {
		if prefix == "servers/" {
			ask()
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = d.follower.Run(ctx) }) // ends with ctx
	t.Cleanup(func() { cancel(); done.Wait() })
}

func (d *loadingDaemon) count() int {
	d.copy.mu.Lock()
	defer d.copy.mu.Unlock()
	return len(d.copy.values)
}

const manyReplicas = 20 * fleetPageSize

// All daemons of a fleet restart at once and each reads the whole registry, so that the service's link is
// occupied for longer than callers wait. A daemon must serve from the first page, and take the rest from a
// peer.
func TestRestartedDaemonReadsOnePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newPagedKV(manyReplicas)
		entries, _, _ := kv.List(t.Context(), "servers/") // never fails
		kv.pages = 0
		asked := 0
		d := newLoading(kv, Options{Lists: func(string) bool { return false }}, "")
		d.start(t, func() {
			if asked++; asked == 3 {
				d.replicas.applyListing(content{entries: entries, complete: manyReplicas + 1})
			}
		})
		_ = sleep.For(t.Context(), askInterval/4)
		if d.count() != fleetPageSize {
			t.Errorf("%d replicas are known after the first page", d.count())
		}
		if d.replicas.Newest() != 0 || d.replicas.contentSince(0).entries != nil {
			t.Error("a daemon without the whole registry offers it to peers")
		}
		_ = sleep.For(t.Context(), 3*askInterval)
		if d.count() != manyReplicas || kv.countPages() != 2 {
			t.Errorf("%d replicas after %d calls to list, want %d after 2", d.count(), kv.countPages(), manyReplicas)
		}
	})
}

// The daemons that are to read the registry are all dead or cut off from the service.
func TestDaemonListsItselfWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLoading(newPagedKV(manyReplicas), Options{Lists: func(string) bool { return false }}, "")
		d.start(t, func() {})
		_ = sleep.For(t.Context(), minLoadPatience-time.Second)
		if d.count() != fleetPageSize {
			t.Errorf("%d replicas are known while the daemon waits for peers", d.count())
		}
		_ = sleep.For(t.Context(), minLoadPatience+2*time.Second)
		if d.count() != manyReplicas {
			t.Errorf("%d replicas are known in the end", d.count())
		}
	})
}

// A replica leaves while a daemon gets its first copy from a peer that is behind. The daemon's watch began
// after that change, and must go back to the revision of the copy: otherwise the daemon uses the replica for
// ever.
func TestChangeBetweenCopyAndWatchIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newPagedKV(manyReplicas)
		entries, at, _ := kv.List(t.Context(), "servers/") // never fails
		kv.s.remove("servers/00700")
		d := newLoading(kv, Options{Lists: func(string) bool { return false }}, "")
		d.start(t, func() { d.replicas.applyListing(content{entries: entries, complete: at}) })
		_ = sleep.For(t.Context(), 2*defaultWatchTimeout)
		if d.count() != manyReplicas-1 {
			t.Errorf("%d replicas are known, want %d", d.count(), manyReplicas-1)
		}
	})
}

// A thousand daemons that restart read the list of all thousand, so that the service's link is occupied for
// seconds. A daemon must read only those named like it, which suffice to find one that has the whole list. In a
// small fleet it must read all at once.
func TestRestartedDaemonReadsNearKeysFirst(t *testing.T) {
	for near, first := range map[string]int{"servers/0010": 10, "servers/nothing": fleetPageSize} {
		synctest.Test(t, func(t *testing.T) {
			d := newLoading(newPagedKV(manyReplicas), Options{Lists: func(string) bool { return false }}, near)
			d.start(t, func() {})
			_ = sleep.For(t.Context(), time.Second)
			if d.count() != first || d.replicas.InSync() {
				t.Errorf("near %s: %d keys are known, in sync: %t", near, d.count(), d.replicas.InSync())
			}
		})
	}
}

// All daemons of a fleet restart, and each reads the same desired state and the same page of replicas. Those
// that know a few others by name must get both from these, and read by themselves only if nobody has them.
func TestRestartedDaemonStartsFromPeers(t *testing.T) {
	for name, peersHaveIt := range map[string]bool{"peers have it": true, "nobody has it": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := newPagedKV(manyReplicas)
				operators, _, _ := kv.List(t.Context(), "op/") // never fails
				page, _ := kv.ListPage(t.Context(), "servers/", "", true)
				kv.pages = 0
				var f *Follower
				var op, replicas *Mirror
				f = New(Options{
					KV: kv, Lists: func(string) bool { return false }, Relayed: func() time.Duration { return relayedIf(true) },
					AskPeer: func(_ context.Context, prefix string) {
						switch {
						case !peersHaveIt:
						case prefix == "op/":
							op.applyListing(content{entries: operators, complete: 1})
						case prefix == "servers/":
							replicas.applyPage(page.Entries, false)
						}
					},
				})
				op = f.AddMirror("op/", func(Update) {})
				replicas = f.AddPagedMirror("servers/", "", func(Update) {})
				f.AddPagedMirror("daemons/", "servers/0010", func(Update) {}) // any ten keys
				ctx, cancel := context.WithCancel(t.Context())
				var done sync.WaitGroup
				done.Go(func() { _ = f.Run(ctx) }) // ends with ctx
				defer func() { cancel(); done.Wait() }()
				_ = sleep.For(ctx, startPatience/2)
				if known := op.InSync() && len(replicas.existing()) == fleetPageSize; known != peersHaveIt {
					t.Errorf("the desired state and a page of replicas are known: %t", known)
				}
				if n := kv.countPages(); n != 1 {
					t.Errorf("%d calls to list, want one for the near keys", n)
				}
				_ = sleep.For(ctx, startPatience)
				if !op.InSync() || replicas.isEmpty() {
					t.Error("the daemon cannot serve after its wait for peers")
				}
			})
		})
	}
}

// A daemon that starts may take a part of the registry from a peer that has no more. It must not take the peer's
// word that this is all.
func TestPartialCopyIsNoListing(t *testing.T) {
	has, _ := filledMirror(0, nil)
	has.applyPage([]platform.Entry{{Key: "p/1", Value: []byte("one"), Revision: 5}}, false)
	g := newGroup(has)
	whole, err := g.Read(t.Context(), &ReadRequest{Prefix: "p/", Changes: true, Removals: true})
	if err != nil || len(whole.Entries) != 0 || whole.Newest != 0 {
		t.Errorf("a daemon that asks for all gets %v, %v", whole, err)
	}
	c := newCopy()
	lacks := New(Options{}).AddMirror("p/", c.apply)
	newGroup(lacks).Ask(t.Context(), servePeer(t, g), "p/")
	if c.get("p/1") != "one" || lacks.InSync() || lacks.Newest() != 0 {
		t.Errorf("the copy is %v, in sync: %t", c.values, lacks.InSync())
	}
}

// Watches end with each outage. A daemon that knows the whole registry must not read it again for that.
func TestOutageCostsNoListingOfRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		kv := &outageKV{pagedKV: newPagedKV(manyReplicas), down: &down}
		c := newCopy()
		c.changed = make(chan struct{}, 10_000)
		f := New(Options{KV: kv, WatchTimeout: func() time.Duration { return time.Second }})
		f.AddMirror("op/", func(Update) {})
		f.AddPagedMirror("servers/", "", c.apply)
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { _ = f.Run(ctx) }) // ends with ctx
		defer func() { cancel(); done.Wait() }()
		_ = sleep.For(ctx, time.Second)
		before := kv.countPages()
		down.Store(true)
		_ = sleep.For(ctx, 5*time.Second)
		down.Store(false)
		kv.s.put("servers/new", nil)
		_ = sleep.For(ctx, 3*time.Second)
		if !c.has("servers/new") || kv.countPages() > before+1 {
			t.Errorf("after the outage: %d further calls to list, the new replica is known: %t", kv.countPages()-before, c.has("servers/new"))
		}
		kv.s.put("servers/newer", nil)
		kv.s.compact() // before the watch reports the change
		_ = sleep.For(ctx, time.Second)
		if kv.countPages() < before+manyReplicas/fleetPageSize {
			t.Error("the registry is not read again after its history was compacted")
		}
	})
}

// staleKV serves listings that may be old as they were before the last change.
type staleKV struct{ *pagedKV }

// ListPage implements platform.Pager.
func (k staleKV) ListPage(ctx context.Context, prefix, after string, stale bool) (platform.Page, error) {
	if stale {
		return platform.Page{}, nil
	}
	return k.pagedKV.ListPage(ctx, prefix, after, stale)
}

// TestFreshMirrorStartsFromNoOldListing guards against a process that acts on an old first listing until its watch tells it of changes.
func TestFreshMirrorStartsFromNoOldListing(t *testing.T) {
	kv := staleKV{newPagedKV(1)}
	kv.s.put("software/s", nil)
	f := New(Options{KV: kv})
	f.AddMirror("op/", func(Update) {})
	first := map[string]int{}
	f.AddMirror("servers/", func(u Update) { first["servers/"] = len(u.Entries) })
	f.AddFreshMirror("software/", func(u Update) { first["software/"] = len(u.Entries) })
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	if first["servers/"] != 0 || first["software/"] != 1 {
		t.Errorf("listed first: %v", first)
	}
}
