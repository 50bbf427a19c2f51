package table

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastTiming shortens the periods of Run for tests.
var fastTiming = Timing{
	WatchWait: 20 * time.Millisecond, PollInterval: time.Millisecond, FirstReadDelay: time.Millisecond,
	BackoffMin: time.Millisecond, BackoffMax: 2 * time.Millisecond,
}

// runReplica runs a replica until the test ends.
func runReplica(t *testing.T, r *Replica, watcher bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx, func() bool { return watcher })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// waitFor waits until the replica meets a condition or the test's timeout ends.
func waitFor(t *testing.T, r *Replica, condition func() bool) {
	t.Helper()
	for {
		changed := r.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Millisecond): // a new confirmation does not signal Changed
		case <-t.Context().Done():
			t.Fatal("condition not met")
		}
	}
}

// TestRestartDuringOutageLearnsFromPeers: a daemon restarts with an empty replica while the
// key-value service is down. Its first peer has missed the last edit. The daemon must merge
// the newer pages of the second peer, keep them when the first peer sends its old pages again,
// and adopt a confirmation that is no younger than that of the up-to-date peer.
func TestRestartDuringOutageLearnsFromPeers(t *testing.T) {
	kv := newTestKV()
	editor := applySample(t, kv)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	read := func() *Replica {
		r := NewReplica(ReplicaOptions{KV: kv, Now: clock})
		if err := r.Read(t.Context()); err != nil {
			t.Fatal(err)
		}
		return r
	}
	old := read()
	mustSet(t, editor, "acme", "weight", "77")
	now = now.Add(10 * time.Second)
	current := read()
	kv.SetDown(true)
	now = now.Add(20 * time.Second)

	restarted := NewReplica(ReplicaOptions{KV: kv, Now: clock})
	pullFrom := func(from *Replica) {
		_, have := restarted.Digest()
		restarted.Merge(from.PagesNewerThan(have))
		hash, pages := from.Digest()
		restarted.ConfirmFromPeer(now, PeerConfirmation{Age: from.Staleness(now), Hash: hash, Pages: pages})
	}
	naive := map[string][]byte{}
	for _, from := range []*Replica{old, current, old} {
		pullFrom(from)
		for _, p := range from.PagesNewerThan(nil) {
			naive[p.Name] = p.Value // replaces pages regardless of their revision
		}
	}
	if o, _ := restarted.Current().Organisation("acme"); o == nil || o.Weight != 77 {
		t.Fatalf("acme after the restart: %+v", o)
	}
	name := PageName(SheetOrganisations, "acme")
	if decoded, err := decodePageRows(name, 1, naive[name]); err != nil || decoded.organisations["acme"].Weight == 77 {
		t.Fatal("the naive copy did not revert; the test no longer shows the fault")
	}
	if age := restarted.Staleness(now); age != 20*time.Second {
		t.Fatalf("confirmation is %v old, want 20s", age)
	}
	if age := old.Staleness(now); age != 30*time.Second {
		t.Fatalf("confirmation of the daemon that missed the edit is %v old, want 30s", age)
	}
	hash, pages := restarted.Digest()
	if old.ConfirmFromPeer(now, PeerConfirmation{Age: 0, Hash: hash, Pages: pages}) {
		t.Fatal("a daemon that is behind its peer adopted the peer's confirmation")
	}
}

// TestWatcherRecoversAfterOutage: the key-value service fails and recovers while a replica
// watches it. The replica must apply an edit made right after the outage, although its watch
// failed in between.
func TestWatcherRecoversAfterOutage(t *testing.T) {
	kv := newTestKV()
	editor := applySample(t, kv)
	replica := NewReplica(ReplicaOptions{KV: kv, Timing: fastTiming})
	runReplica(t, replica, true)
	weight := func() int {
		o, ok := replica.Current().Organisation("acme")
		if !ok {
			return 0
		}
		return o.Weight
	}
	waitFor(t, replica, func() bool { return weight() == 10 })
	kv.SetDown(true)
	kv.SetDown(false)
	mustSet(t, editor, "acme", "weight", "55")
	waitFor(t, replica, func() bool { return weight() == 55 })
}

// TestUndecodablePageKeepsRowsAndConfirmation checks that the replica keeps the earlier rows
// and its earlier confirmation if it can't decode a page, as when a newer version of the
// program wrote it.
func TestUndecodablePageKeepsRowsAndConfirmation(t *testing.T) {
	kv := newTestKV()
	applySample(t, kv)
	now := time.Unix(1000, 0)
	replica := NewReplica(ReplicaOptions{KV: kv, Now: func() time.Time { return now }})
	loop := &runLoop{replica: replica}
	if err := loop.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	key := KeyPrefix + PageName(SheetOrganisations, "acme")
	entry, err := kv.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kv.CompareAndSwap(t.Context(), key, entry.Revision, []byte("{"), ""); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	if err := loop.read(t.Context(), 0); err == nil {
		t.Fatal("an undecodable page was read without an error")
	}
	if _, ok := replica.Current().Organisation("acme"); !ok {
		t.Fatal("acme was removed")
	}
	if age := replica.Staleness(now); age != time.Minute {
		t.Fatalf("confirmation is %v old, want 1m", age)
	}
}

// partialListKV fails a list of all pages, as a slow link does for some megabytes.
type partialListKV struct{ *testKV }

func (kv partialListKV) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if prefix == KeyPrefix {
		return nil, 0, platform.ErrUnavailable
	}
	return kv.testKV.List(ctx, prefix)
}

// TestReadsInPartsWhenFullListFails: all daemons start while the link to the key-value service
// is slow, so that a list of the whole table always times out. Without a table the daemons
// would reject all requests. A replica must list the pages by prefix and then watch for
// changes from there.
func TestReadsInPartsWhenFullListFails(t *testing.T) {
	kv := newTestKV()
	editor := applySample(t, kv)
	replica := NewReplica(ReplicaOptions{KV: partialListKV{kv}, Timing: fastTiming})
	runReplica(t, replica, true)
	weight := func() int {
		o, ok := replica.Current().Organisation("acme")
		if !ok {
			return 0
		}
		return o.Weight
	}
	waitFor(t, replica, func() bool { return weight() == 10 })
	mustSet(t, editor, "acme", "weight", "55")
	waitFor(t, replica, func() bool { return weight() == 55 })
}
