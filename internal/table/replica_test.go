package table

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastTiming makes Run look at once where a daemon would take its time.
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

// waitFor waits until the replica fulfils a condition; the test's own timeout ends it.
func waitFor(t *testing.T, r *Replica, condition func() bool) {
	t.Helper()
	for {
		changed := r.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Millisecond): // a proof may come without a change
		case <-t.Context().Done():
			t.Fatal("condition not met")
		}
	}
}

// A daemon restarts while the key-value service is down. It has nothing, and the peer it
// meets first is one that missed the last edits. It must take the newer pages from the
// second peer, keep them when the first tells its old ones again, and count itself
// current only as long ago as the peer that was.
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
	learn := func(from *Replica) {
		_, have := restarted.Digest()
		restarted.Merge(from.PagesNewerThan(have))
		hash, pages := from.Digest()
		restarted.AdoptPeerProof(now, PeerProof{Age: from.ProofAge(now), Hash: hash, Pages: pages})
	}
	naive := map[string][]byte{}
	for _, from := range []*Replica{old, current, old} {
		learn(from)
		for _, p := range from.PagesNewerThan(nil) {
			naive[p.Name] = p.Value // takes whatever it is told
		}
	}
	if o, _ := restarted.Current().Organisation("acme"); o == nil || o.Weight != 77 {
		t.Fatalf("acme after the restart: %+v", o)
	}
	name := PageName(SheetOrganisations, "acme")
	if live, err := decodeLive(name, 1, naive[name]); err != nil || live.organisations["acme"].Weight == 77 {
		t.Fatal("the naive copy did not revert; the story no longer shows the fault")
	}
	if age := restarted.ProofAge(now); age != 20*time.Second {
		t.Fatalf("proof is %v old, want 20s", age)
	}
	if age := old.ProofAge(now); age != 30*time.Second {
		t.Fatalf("the daemon that missed the edit counts its proof %v old, want 30s", age)
	}
	hash, pages := restarted.Digest()
	if old.AdoptPeerProof(now, PeerProof{Age: 0, Hash: hash, Pages: pages}) {
		t.Fatal("a daemon that lacks a page took a proof")
	}
}

// The service goes away and comes back while a watcher waits on it. The edit made right
// after must come into force there, although the watch in between failed.
func TestWatcherOutlivesOutage(t *testing.T) {
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

// A page that a newer program wrote can't be read here. The rows in force stay, and the
// daemon must not count itself current.
func TestUndecodablePageKeepsRowsAndProof(t *testing.T) {
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
		t.Fatal("a bad page was read without an error")
	}
	if _, ok := replica.Current().Organisation("acme"); !ok {
		t.Fatal("acme is gone")
	}
	if age := replica.ProofAge(now); age != time.Minute {
		t.Fatalf("proof is %v old, want 1m", age)
	}
}

// smallListKV fails lists of everything, as a slow link does with some megabytes.
type smallListKV struct{ *testKV }

func (kv smallListKV) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if prefix == KeyPrefix {
		return nil, 0, platform.ErrUnavailable
	}
	return kv.testKV.List(ctx, prefix)
}

// All daemons start while the link to the service is slow: a list of the whole table never
// comes in time. Without any table they would refuse everybody; they must read it in
// parts, and go on with watches from there.
func TestReadsInPartsWhenTheListIsTooSlow(t *testing.T) {
	kv := newTestKV()
	editor := applySample(t, kv)
	replica := NewReplica(ReplicaOptions{KV: smallListKV{kv}, Timing: fastTiming})
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
