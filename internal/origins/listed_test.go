package origins

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// listKV is a key-value service that holds the entry of one service.
type listKV struct {
	platform.KV
	mu     sync.Mutex
	entry  platform.Entry
	silent bool          // it answers nothing
	refuse bool          // it refuses writes
	writes int           // that were tried
	takes  time.Duration // until it answers a read
	reads  int
}

func newListKV(versions ...string) *listKV {
	kv := &listKV{}
	kv.list(versions...)
	return kv
}

// list replaces the entry.
func (kv *listKV) list(versions ...string) {
	value, err := json.Marshal(historyEntry{Versions: versions})
	if err != nil {
		panic(err)
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.entry = platform.Entry{Key: HistoryPrefix + service, Value: value, Revision: kv.entry.Revision + 1}
}

func (kv *listKV) setSilent(silent bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.silent = silent
}

func (kv *listKV) writeCount() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.writes
}

func (kv *listKV) setRefuse(refuse bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.refuse = refuse
}

func (kv *listKV) readCount() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.reads
}

// await returns the current entry once the service answers.
func (kv *listKV) await(ctx context.Context) (platform.Entry, error) {
	kv.mu.Lock()
	kv.reads++
	entry, silent, takes := kv.entry, kv.silent, kv.takes
	kv.mu.Unlock()
	if silent {
		<-ctx.Done()
		return platform.Entry{}, ctx.Err()
	}
	time.Sleep(takes)
	return entry, nil
}

// Get implements platform.KV.
func (kv *listKV) Get(ctx context.Context, _ string) (platform.Entry, error) { return kv.await(ctx) }

// CompareAndSwap implements platform.KV.
func (kv *listKV) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	if _, err := kv.await(ctx); err != nil {
		return 0, err
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.writes++
	if kv.refuse {
		return 0, platform.ErrUnavailable
	}
	if kv.entry.Revision != expect {
		return 0, &platform.ConflictError{Current: kv.entry}
	}
	kv.entry = platform.Entry{Key: key, Value: value, Revision: expect + 1}
	return kv.entry.Revision, nil
}

// versions returns what is listed.
func (kv *listKV) versions() []string {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	versions, err := decodeHistory(kv.entry.Value)
	if err != nil {
		panic(err)
	}
	return versions
}

// TestFirstEventWaitsUntilItsVersionIsListed guards against a version at which streams begin before any daemon that starts later can learn of
// it.
func TestFirstEventWaitsUntilItsVersionIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		e := newListingExchange(kv)
		ctx, stop := e.runHistory(t)
		defer stop()
		e.applyEntry(kv.entry)
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v1", true)
		e.OnSoftware(service, "v2", true)
		began := time.Now()
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2"}) || time.Since(began) > listDelay {
			t.Errorf("the first event is delivered after %s, and listed are %v", time.Since(began), got)
		}
		began = time.Now()
		e.Began(ctx, stream(2), relay.BoundTo("v2"))
		e.Began(ctx, stream(3), relay.BoundTo("v1"))
		if took := time.Since(began); took > 0 {
			t.Errorf("streams of listed versions waited for %s", took)
		}
	})
}

// TestSilentServiceDelaysNoFirstEventForLong guards against callers that wait for a key-value service that does not answer.
func TestSilentServiceDelaysNoFirstEventForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		e := newListingExchange(kv)
		ctx, stop := e.runHistory(t)
		defer stop()
		e.applyEntry(kv.entry)
		kv.setSilent(true)
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v2", true)
		began := time.Now()
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		if took := time.Since(began); took > listTimeout {
			t.Errorf("the first event waited for %s", took)
		}
		e.o.Reachable = func() bool { return false }
		began = time.Now()
		e.Began(ctx, stream(2), relay.BoundTo("v2"))
		if took := time.Since(began); took > 0 {
			t.Errorf("with the service known to be away the first event waited for %s", took)
		}
	})
}

// newListingExchange returns an exchange of a daemon of the last rank, the only one that runs.
func newListingExchange(kv *listKV) *member {
	m := &member{}
	m.Exchange = New(Options{
		Self: "vm", Region: "r", Peers: func() []Peer { return nil }, Current: func() bool { return true },
		Keep: func() time.Duration { return keepTime }, Params: DefaultParams, Resumable: isTestService, Rank: func(string) int { return 5 },
	})
	m.o.KV = kv
	return m
}

// runHistory writes the entries that are due until stop is called, which waits for the end.
func (m *member) runHistory(t *testing.T) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = m.RunHistory(ctx) }()
	return ctx, func() {
		cancel()
		synctest.Wait()
	}
}

// applyEntry makes the entry of the key-value service known to a daemon.
func (m *member) applyEntry(entry platform.Entry) { m.apply(entry.Revision, string(entry.Value)) }

// TestConflictKeepsWriteUrgent guards against a first event that waits in vain because another daemon wrote the entry at the same time.
func TestConflictKeepsWriteUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		e := newListingExchange(kv)
		ctx, stop := e.runHistory(t)
		defer stop()
		e.applyEntry(kv.entry)
		kv.list("v1", "v3")
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v1", true)
		e.OnSoftware(service, "v2", true)
		began := time.Now()
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2", "v3"}) {
			t.Errorf("the first event is delivered after %s, and listed are %v", time.Since(began), got)
		}
	})
}

// TestVersionThatAnotherDaemonRemovedIsListedAgain guards against a version with replicas that is not listed for a second, because a daemon
// that knew none of them removed it.
func TestVersionThatAnotherDaemonRemovedIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1", "v2")
		e := newListingExchange(kv)
		e.o.Rank = firstRank
		_, stop := e.runHistory(t)
		defer stop()
		e.applyEntry(kv.entry)
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v1", true)
		e.OnSoftware(service, "v2", true)
		synctest.Wait()
		kv.list("v1")
		e.applyEntry(kv.entry)
		synctest.Wait()
		if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2"}) {
			t.Errorf("listed are %v", got)
		}
	})
}

// TestVersionIsListedWhileListOfReplicasIsOld guards against a first event that waits for no entry, because this daemon is told of a change
// among the replicas that it doesn't have yet.
func TestVersionIsListedWhileListOfReplicasIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v0", "v1")
		e := newListingExchange(kv)
		e.o.Current = func() bool { return false }
		ctx, stop := e.runHistory(t)
		defer stop()
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v0", true)
		e.OnSoftware(service, "v0", false)
		time.Sleep(2 * keepTime)
		e.prune(time.Now())
		e.applyEntry(kv.entry)
		e.OnSoftware(service, "v2", true)
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		if got := kv.versions(); !slices.Equal(got, []string{"v0", "v1", "v2"}) {
			t.Errorf("listed are %v", got)
		}
		time.Sleep(2 * keepTime)
		if got := kv.versions(); !slices.Equal(got, []string{"v0", "v1", "v2"}) {
			t.Errorf("a daemon with an old list removed versions: %v", got)
		}
	})
}

// TestVersionsBeyondBoundAreSeveral guards against an entry that keeps listing one version, and first events that wait in vain, because there are
// more versions than an entry holds.
func TestVersionsBeyondBoundAreSeveral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v0")
		e := newListingExchange(kv)
		e.o.Rank = firstRank
		ctx, stop := e.runHistory(t)
		defer stop()
		e.applyEntry(kv.entry)
		e.OnListed(time.Now().Add(-time.Hour))
		const versions = maxVersions + 1
		for n := range versions {
			e.OnSoftware(service, fmt.Sprint("v", n), true)
		}
		synctest.Wait()
		revision := kv.entry.Revision
		began := time.Now()
		for n := range versions {
			e.Began(ctx, stream(n), relay.BoundTo(fmt.Sprint("v", n)))
		}
		if took, listed := time.Since(began), kv.versions(); took > 0 || len(listed) < 2 {
			t.Errorf("first events waited for %s, and listed are %v", took, listed)
		}
		time.Sleep(10 * historyInterval)
		if kv.entry.Revision != revision {
			t.Error("the entry is written again and again")
		}
	})
}

// TestEntryOfManyVersionsIsCreatedValid guards against an entry that is created with more versions than it may have, which all daemons ignore.
func TestEntryOfManyVersionsIsCreatedValid(t *testing.T) {
	e := newListingExchange(&listKV{})
	for n := range maxVersions {
		e.OnSoftware(service, fmt.Sprint("v", n), true)
	}
	e.OnListed(time.Now())
	due := e.dueWrites(time.Now(), keepTime, firstRank)
	if len(due) != 1 {
		t.Errorf("%d writes are due", len(due))
	}
	for _, w := range due {
		value, err := json.Marshal(historyEntry{Versions: w.versions})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeHistory(value); err != nil {
			t.Error(err)
		}
	}
}

// TestVersionThatReturnsIsListedAnew guards against a daemon that has seen no replica of a version for long, and removes it from the entry while
// streams begin at replicas that have joined since.
func TestVersionThatReturnsIsListedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1", "v2")
		e := newListingExchange(kv)
		ctx, stop := e.runHistory(t)
		defer stop()
		e.applyEntry(kv.entry)
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v1", true)
		e.OnSoftware(service, "v2", true)
		e.OnSoftware(service, "v2", false)
		before := kv.entry.Revision
		e.OnSoftware(service, "v2", true)
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		if _, err := kv.CompareAndSwap(ctx, "", before, []byte(`{"versions":["v1"]}`), ""); err == nil {
			t.Error("a removal by an old view is applied after a stream of the version began")
		}
		if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2"}) {
			t.Errorf("listed are %v", got)
		}
	})
}

// TestListingKeepsRenewalDue guards against a version that counts as listed again because the same entry was read once more before it was renewed.
func TestListingKeepsRenewalDue(t *testing.T) {
	for _, full := range []bool{false, true} {
		kv := newListKV("v1", "v2")
		e := newListingExchange(kv)
		e.applyEntry(kv.entry)
		e.OnSoftware(service, "v2", true)
		e.OnSoftware(service, "v2", false)
		e.OnSoftware(service, "v2", true)
		e.applyHistory(mirror.Update{Full: full, Entries: []platform.Entry{kv.entry}})
		if _, listed := e.isListed(service, "v2"); listed {
			t.Errorf("full=%v: the version counts as listed before its entry was written anew", full)
		}
	}
}

// TestReturnOfForgottenVersionRenewsItsEntry guards against streams that begin at a version which has replicas again while its removal from the list,
// by a daemon that has forgotten it, is still under way.
func TestReturnOfForgottenVersionRenewsItsEntry(t *testing.T) {
	kv := newListKV("v1", "v2")
	e := newListingExchange(kv)
	e.OnSoftware(service, "v1", true)
	e.OnSoftware(service, "v2", true)
	e.OnListed(time.Now())
	e.applyEntry(kv.entry)
	e.OnSoftware(service, "v2", false)
	e.prune(time.Now().Add(2 * keepTime))
	e.OnSoftware(service, "v2", true)
	if _, listed := e.isListed(service, "v2"); listed {
		t.Error("the version counts as listed before its entry was written anew")
	}
	if got := e.Preferred(service); !maps.Equal(got, map[string]bool{"v1": true}) {
		t.Errorf("streams should begin at %v", got)
	}
}

// TestOldListingHidesNoWriteOfThisDaemon guards against a version that counts as listed although this daemon has removed it, because an older copy of
// the entries, or an older removal of one, is applied after its write.
func TestOldListingHidesNoWriteOfThisDaemon(t *testing.T) {
	written := platform.Entry{Key: HistoryPrefix + service, Value: []byte(`{"versions":["v1"]}`), Revision: 12}
	before := platform.Entry{Key: HistoryPrefix + service, Value: []byte(`{"versions":["v1","v2"]}`), Revision: 11}
	for name, old := range map[string]mirror.Update{
		"listing":     {Full: true, Entries: []platform.Entry{before}},
		"watch":       {Entries: []platform.Entry{before}},
		"old removal": {Entries: []platform.Entry{{Key: before.Key, Revision: 11, Deleted: true}}},
	} {
		e := newListingExchange(newListKV("v1"))
		e.OnListed(time.Now().Add(-time.Hour))
		e.OnSoftware(service, "v1", true)
		e.applyEntry(written)
		e.OnSoftware(service, "v2", true)
		e.applyHistory(old)
		if _, listed := e.isListed(service, "v2"); listed {
			t.Errorf("%s: the version counts as listed", name)
		}
	}
}

// newListingFleet returns the exchanges of daemons that know two versions, of which one is listed, with ranks from 0.
func newListingFleet(kv *listKV, daemons int) []*member {
	peers := make([]Peer, daemons)
	for i := range peers {
		peers[i] = Peer{Member: origin.Member{Name: fmt.Sprint("vm", i)}, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	}
	fleet := make([]*member, daemons)
	for i := range fleet {
		e := newListingExchange(kv)
		e.o.Self, e.o.Peers, e.o.Send = peers[i].Name, func() []Peer { return peers }, func(netip.AddrPort, []origin.Record) {}
		e.o.Rank = func(string) int { return i }
		e.OnSoftware(service, "v1", true)
		e.OnListed(time.Now().Add(-time.Hour))
		e.applyEntry(kv.entry)
		e.OnSoftware(service, "v2", true)
		fleet[i] = e
	}
	return fleet
}

// TestRefusedWritesGrowNotWithDaemons guards against a key-value service that can't recover from overload because each daemon keeps writing the
// list of versions.
func TestRefusedWritesGrowNotWithDaemons(t *testing.T) {
	const observed = 20 * time.Second
	for _, daemons := range []int{10, 100} {
		synctest.Test(t, func(t *testing.T) {
			kv := newListKV("v1")
			kv.setRefuse(true)
			ctx, cancel := context.WithCancel(t.Context())
			var all sync.WaitGroup
			fleet := newListingFleet(kv, daemons)
			for _, e := range fleet {
				all.Go(func() { _ = e.RunHistory(ctx) })
				all.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						e.Preferred(service)
						e.Began(ctx, stream(n), relay.BoundTo("v2"))
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			time.Sleep(10 * time.Second)
			before := kv.writeCount()
			time.Sleep(observed)
			rate := float64(kv.writeCount()-before) / observed.Seconds()
			t.Logf("%d daemons try %.1f writes a second", daemons, rate)
			if most := 1.5 * float64(time.Second/writeSpacing); rate > most {
				t.Errorf("%d daemons try %.1f writes a second, want at most %.0f", daemons, rate, most)
			}
			kv.setRefuse(false)
			time.Sleep(historyInterval)
			if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2"}) {
				t.Errorf("%d daemons: a second after writes are taken again, listed are %v", daemons, got)
			}
			cancel()
			all.Wait()
		})
	}
}

// TestOneDaemonListsVersionThatStreamsPassOver guards against a write of each daemon, all but one in vain, for each version that joins.
func TestOneDaemonListsVersionThatStreamsPassOver(t *testing.T) {
	const daemons, newsTake = 100, 2 * listDelay
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		fleet := newListingFleet(kv, daemons)
		for i, e := range fleet {
			if i < daemons/2 { // the others have no streams, or are dead
				continue
			}
			all.Go(func() { _ = e.RunHistory(ctx) })
			all.Go(func() {
				for ctx.Err() == nil {
					e.Preferred(service)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		for kv.writeCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(newsTake)
		for _, e := range fleet {
			e.applyEntry(kv.entry)
		}
		synctest.Wait()
		if writes := kv.writeCount(); writes > 1+int(newsTake/writeSpacing)+1 {
			t.Errorf("%d writes of one version", writes)
		}
		cancel()
		all.Wait()
	})
}

// TestRemovalThatConflictsIsNotRepeated guards against a daemon that removes a version although another one has listed it anew, because it takes only
// the revision from the conflict, and has seen no replica of the version for long.
func TestRemovalThatConflictsIsNotRepeated(t *testing.T) {
	for name, conflictAfter := range map[string]time.Duration{
		"its removal conflicts":                keepTime + time.Millisecond,
		"a write of another version conflicts": keepTime - historyInterval,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRemovalThatConflicts(t, conflictAfter) })
		})
	}
}

// checkRemovalThatConflicts lets a write of a daemon conflict with one that lists a version anew, some time after the daemon saw its last replica leave.
func checkRemovalThatConflicts(t *testing.T, conflictAfter time.Duration) {
	kv := newListKV("v1", "v2")
	e := newListingExchange(kv)
	e.o.Rank = firstRank
	e.OnSoftware(service, "v1", true)
	e.OnSoftware(service, "v2", true)
	e.OnListed(time.Now().Add(-time.Hour))
	e.applyEntry(kv.entry)
	e.OnSoftware(service, "v2", false)
	kv.list("v1", "v2") // its replicas have returned, as another daemon knows
	time.Sleep(conflictAfter)
	e.OnSoftware(service, "v3", true)
	_, stop := e.runHistory(t)
	defer stop()
	time.Sleep(3 * historyInterval)
	if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2", "v3"}) {
		t.Errorf("listed are %v", got)
	}
	time.Sleep(keepTime)
	if got := kv.versions(); !slices.Equal(got, []string{"v1", "v3"}) {
		t.Errorf("the version stays for ever: %v", got)
	}
}

// TestEntryOfLowerRevisionIsWritten guards against writes without end, none of which succeeds, after the key-value service lost its newest entries without a
// sign.
func TestEntryOfLowerRevisionIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		e := newListingExchange(kv)
		e.o.Rank = firstRank
		e.OnSoftware(service, "v1", true)
		e.OnListed(time.Now())
		e.applyEntry(platform.Entry{Key: HistoryPrefix + service, Value: []byte(`{"versions":["v1"]}`), Revision: kv.entry.Revision + 7})
		e.OnSoftware(service, "v2", true)
		ctx, stop := e.runHistory(t)
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		stop()
		if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2"}) {
			t.Errorf("listed are %v", got)
		}
		if n := kv.writeCount(); n > 2 {
			t.Errorf("%d writes", n)
		}
	})
}

// hangingKV is a key-value service that answers no write of one key.
type hangingKV struct {
	*listKV
	hangs string
}

// CompareAndSwap implements platform.KV.
func (kv *hangingKV) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	if key == kv.hangs {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return kv.listKV.CompareAndSwap(ctx, key, expect, value, lease)
}

// TestHungWriteHoldsUpNoOtherService guards against streams that wait for the list of their service's versions while the write of another one hangs.
func TestHungWriteHoldsUpNoOtherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		e := newListingExchange(kv)
		e.o.KV = &hangingKV{listKV: kv, hangs: HistoryPrefix + "other"}
		e.o.Rank, e.o.Resumable = firstRank, func(routing.ServiceID) bool { return true }
		e.OnSoftware(service, "v1", true)
		e.OnListed(time.Now())
		e.applyEntry(kv.entry)
		ctx, stop := e.runHistory(t)
		e.OnSoftware("other", "v1", true)
		synctest.Wait()
		e.OnSoftware(service, "v2", true)
		began := time.Now()
		e.Began(ctx, stream(1), relay.BoundTo("v2"))
		if took := time.Since(began); took > listDelay || !slices.Equal(kv.versions(), []string{"v1", "v2"}) {
			t.Errorf("after %s, listed are %v", took, kv.versions())
		}
		stop()
	})
}

// TestVersionThatComesDuringAWriteIsListedNext guards against a version that waits for the next comparison, because it came while the list without it was written.
func TestVersionThatComesDuringAWriteIsListedNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newListKV("v1")
		kv.takes = historyInterval / 50
		e := newListingExchange(kv)
		e.o.Rank = firstRank
		e.o.Logger = hclog.New(&hclog.LoggerOptions{Output: slowWriter{}}) // keeps a write from ending at once
		_, stop := e.runHistory(t)
		defer stop()
		e.OnSoftware(service, "v1", true)
		e.OnListed(time.Now())
		e.applyEntry(kv.entry)
		e.OnSoftware(service, "v2", true)
		synctest.Wait()
		e.OnSoftware(service, "v3", true)
		time.Sleep(4 * kv.takes)
		if got := kv.versions(); !slices.Equal(got, []string{"v1", "v2", "v3"}) {
			t.Errorf("listed are %v", got)
		}
	})
}

// slowWriter takes a moment for each write.
type slowWriter struct{}

// Write implements io.Writer.
func (slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(p), nil
}
