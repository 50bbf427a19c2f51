package roster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// All leases expire during an outage, and the key-value service recovers without entries. Callers
// that query the directory then must not get only one address, or none.
func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
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
	for id := range r.expiring {
		r.expiring[id] = time.Now().Add(-time.Second)
	}
	r.mu.Unlock()
	r.removeExpired()
	if got := ids(r); got != "ab" {
		t.Errorf("after the grace period: %s", got)
	}
}

// TestDaemonWhoseEntryExpiredMayRun guards against counting a daemon that is cut off from the key-value service as one that has ended, and
// against counting one for good that said that it leaves.
func TestDaemonWhoseEntryExpiredMayRun(t *testing.T) {
	r := newRoster(kv.NewFake(time.Now).Client("a"), "a")
	leaves := platform.Entry{Key: "d/c", Value: []byte(`{"id":"c","leaving":true,"caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81"}`), Revision: 2}
	for _, c := range []struct {
		name    string
		entries []platform.Entry
		want    int
	}{
		{"three are listed", []platform.Entry{entry("a"), entry("b"), entry("c")}, 3},
		{"one leaves", []platform.Entry{entry("a"), entry("b"), leaves}, 3},
		{"the one that left has ended, another one's entry has expired", []platform.Entry{entry("a")}, 2},
		{"this daemon's own entry has expired too", nil, 2},
		{"the daemons are listed again", []platform.Entry{entry("a"), entry("b")}, 2},
	} {
		r.apply(mirror.Update{Full: true, Entries: c.entries})
		if got := r.MayRun(); got != c.want {
			t.Errorf("%s: %d daemons may run, want %d", c.name, got, c.want)
		}
	}
}

// TestDaemonThatReportsStaysLost guards against forgetting a daemon that the key-value service does not answer while it still reports.
func TestDaemonThatReportsStaysLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster(kv.NewFake(time.Now).Client("a"), "a")
		r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("b"), entry("c")}})
		r.apply(mirror.Update{Full: true})
		time.Sleep(lostRetention / 2)
		if !r.OnReport("b") || r.OnReport("x") {
			t.Error("a report does not tell which daemon is lost")
		}
		time.Sleep(lostRetention/2 + time.Second)
		r.removeExpired()
		if lost := r.Lost(); len(lost) != 1 || lost[0].ID != "b" || r.MayRun() != 2 {
			t.Errorf("%v are lost and %d may run, want b alone, and it and this daemon", lost, r.MayRun())
		}
	})
}

// A daemon whose entry is removed while the key-value service is available is unlisted at once.
func TestTerminatedDaemonIsUnlistedAtOnce(t *testing.T) {
	r := newRoster(kv.NewFake(time.Now).Client("a"), "a")
	r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("b")}})
	r.apply(mirror.Update{Entries: []platform.Entry{{Key: "d/b", Deleted: true, Revision: 2}}})
	if got := ids(r); got != "a" {
		t.Errorf("live: %s", got)
	}
}

// A daemon restarts on its VM before the entry of its previous process has expired. The new
// process must own the entry, which must not be removed with the old lease.
func TestRestartedDaemonKeepsItsEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	fake := kv.NewFake(func() time.Time { return now })
	store := fake.Client("a")
	ctx := context.Background()
	first := newRoster(store, "a")
	if err := first.renew(ctx); err != nil {
		t.Fatal(err)
	}
	now = now.Add(maxLeaseTTL / 2)
	second := newRoster(store, "a")
	if err := second.renew(ctx); err != nil {
		t.Fatal(err)
	}
	now = now.Add(maxLeaseTTL * 3 / 4) // the first lease has expired
	fake.Expire()
	if err := second.renew(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Get(ctx, "d/a"); err != nil {
		t.Errorf("reading the restarted daemon's entry: %v", err)
	}
}

// A leaving daemon does not list itself, and other daemons do not list it either.
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

// Another writer stores an invalid value below the daemons' prefix, or overwrites a daemon's entry.
// Callers must not be directed to an invalid address, and a live daemon must not be unlisted.
func TestInvalidEntryIsIgnored(t *testing.T) {
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

// countingKV counts renewals and remembers the time to live of the last lease.
type countingKV struct {
	platform.KV
	renewals atomic.Int64
	ttl      atomic.Int64
}

func (c *countingKV) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	c.renewals.Add(1)
	return c.KV.KeepAlive(ctx, id)
}

func (c *countingKV) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	c.ttl.Store(int64(ttl))
	return c.KV.GrantLease(ctx, ttl)
}

// A thousand daemons renew a lease each second, which costs more calls than all their other work. In a small
// fleet a dead daemon must still be unlisted soon, since callers are given its address often.
func TestLargeFleetRenewsLessOften(t *testing.T) {
	for _, c := range []struct {
		daemons  int
		ttl      time.Duration
		renewals int64 // in a minute
	}{{8, 4 * time.Second, 60}, {95, 4 * time.Second, 60}, {985, 12 * time.Second, 20}, {2000, 12 * time.Second, 20}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingKV{KV: kv.NewFake(time.Now).Client("a")}
				r := newRoster(store, "a")
				var others []platform.Entry
				for i := range c.daemons - 1 {
					others = append(others, entry(fmt.Sprint("other", i)))
				}
				r.apply(mirror.Update{Full: true, Entries: others})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = r.Run(ctx) }() // ends with ctx
				time.Sleep(2 * discoveryTime)
				store.renewals.Store(0)
				time.Sleep(time.Minute)
				synctest.Wait()
				ttl, renewals := time.Duration(store.ttl.Load()), store.renewals.Load()
				if ttl != c.ttl || renewals < c.renewals-2 || renewals > c.renewals+2 {
					t.Errorf("lease of %s, %d renewals a minute; want %s and %d", ttl, renewals, c.ttl, c.renewals)
				}
			})
		})
	}
}
