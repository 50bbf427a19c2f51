package roster

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

func entry(id string) platform.Entry {
	return platform.Entry{Key: "d/" + id, Value: []byte(`{"id":"` + id + `","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81"}`), Revision: 1}
}

func ids(r *Roster) string {
	out := ""
	for _, d := range r.Live() {
		out += string(d.ID)
	}
	return out
}

func newRoster(store platform.KV, id string) *Roster {
	return New(Options{KV: store, Follower: mirror.New(mirror.Options{KV: store}), Prefix: "d/", Self: Daemon{ID: request.DaemonID(id)}})
}

// All leases run out while the service is away, and it comes back empty. Callers that ask
// the directory then must not be left with one address, or none.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	r := newRoster(kv.NewFake(time.Now).Client("a"), "a")
	r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("b"), entry("c")}})
	if got := ids(r); got != "abc" {
		t.Fatalf("live: %s", got)
	}
	r.apply(mirror.Update{Full: true, AfterOutage: true})
	if got := ids(r); got != "abc" {
		t.Errorf("after the outage: %s", got)
	}
	r.apply(mirror.Update{AfterOutage: true, Entries: []platform.Entry{entry("b")}})
	r.mu.Lock()
	for id := range r.lapsing {
		r.lapsing[id] = time.Now().Add(-time.Second)
	}
	r.mu.Unlock()
	r.forgetLapsed()
	if got := ids(r); got != "ab" {
		t.Errorf("after their time: %s", got)
	}
}

// A daemon that goes while the service answers is out at once.
func TestDeadDaemonIsOutAtOnce(t *testing.T) {
	r := newRoster(kv.NewFake(time.Now).Client("a"), "a")
	r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("b")}})
	r.apply(mirror.Update{Entries: []platform.Entry{{Key: "d/b", Deleted: true, Revision: 2}}})
	if got := ids(r); got != "a" {
		t.Errorf("live: %s", got)
	}
}

// A daemon starts anew on its VM while the entry of its last start has not run out. The
// entry must be the new one's, and not go with the old lease.
func TestRestartedDaemonKeepsItsEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	fake := kv.NewFake(func() time.Time { return now })
	store := fake.Client("a")
	ctx := context.Background()
	first := newRoster(store, "a")
	if err := first.beat(ctx); err != nil {
		t.Fatal(err)
	}
	now = now.Add(leaseTTL / 2)
	second := newRoster(store, "a")
	if err := second.beat(ctx); err != nil {
		t.Fatal(err)
	}
	now = now.Add(leaseTTL * 3 / 4) // the first lease is over
	fake.Expire()
	if err := second.beat(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Get(ctx, "d/a"); err != nil {
		t.Errorf("the entry is gone: %v", err)
	}
}

// A daemon that leaves names itself to nobody, and says so to the others.
func TestLeavingDaemonIsNotListed(t *testing.T) {
	store := kv.NewFake(time.Now).Client("a")
	r := newRoster(store, "a")
	if err := r.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := ids(r); got != "" {
		t.Errorf("live: %s", got)
	}
	e, err := store.Get(context.Background(), "d/a")
	if err != nil {
		t.Fatal(err)
	}
	other := newRoster(store, "b")
	other.apply(mirror.Update{Full: true, Entries: []platform.Entry{e}})
	if got := ids(other); got != "b" {
		t.Errorf("the other daemon lists %s", got)
	}
}

// Another writer puts something below the daemons' keys, or over a daemon's entry. Callers
// would be sent to no address, or a daemon that serves would be taken for gone.
func TestEntryThatNamesNoDaemonChangesNothing(t *testing.T) {
	r := newRoster(kv.NewFake(time.Now).Client("a"), "a")
	r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("b")}})
	for _, bad := range []string{
		"", "{", "[]", `{"id":7}`, `{"id":"x"}`, `{"id":"b","caller_address":"10.0.0.1:80"}`,
		`{"id":"b","caller_address":"","peer_address":"10.0.0.1:81"}`,
	} {
		for _, key := range []string{"d/b", "d/x"} {
			r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("b"), {Key: key, Value: []byte(bad), Revision: 2}}})
			if got := ids(r); got != "ab" {
				t.Errorf("%s over %s: live: %s", bad, key, got)
			}
		}
	}
}
