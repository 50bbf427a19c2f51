package crashes

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// newTestTracker starts the tracker of one daemon, which follows a key-value service.
func newTestTracker(t *testing.T, fake *kv.Fake, name string, sendDeath func(poison.Report)) *Tracker {
	t.Helper()
	client := fake.Client(name)
	follower := mirror.New(mirror.Options{KV: client, WatchTimeout: func() time.Duration { return 10 * time.Millisecond }})
	c := New(Options{KV: client, Follower: follower, SendDeath: sendDeath, Params: poison.DefaultParams})
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { _ = follower.Run(ctx) }) // ends with ctx
	run.Go(func() { _ = c.Run(ctx) })        // ends with ctx
	t.Cleanup(func() {
		cancel()
		run.Wait()
	})
	return c
}

// requestTrait returns the trait of one request's content.
func requestTrait(content string) poison.Trait {
	return poison.NewTrait(poison.KindRequest, poison.OrgOf("o"), []byte(content))
}

func traitsFunc(traits ...poison.Trait) TraitsFunc {
	return func(withContent bool) []poison.Trait {
		if !withContent {
			return nil
		}
		return traits
	}
}

// crashReport returns the report of a replica that died now, with a request that was sent a moment before.
func crashReport(trait poison.Trait, n int) poison.Report {
	return crashOf(trait, fmt.Sprint("r", n, "@1"), 0)
}

// crashOf returns the report of a replica that died now, with a request that was sent some time before.
func crashOf(trait poison.Trait, death string, sentBefore time.Duration) poison.Report {
	now := time.Now()
	return poison.Report{Death: death, Org: poison.OrgOf("o"), At: now, Accused: []poison.Accused{{Trait: trait, Sent: now.Add(-sentBefore)}}}
}

// A request crashes each replica that runs it, and its caller retries it, each time at another
// daemon. After three crashes all daemons must refuse it, including one that starts later and knows
// only the stored crash records.
func TestRequestThatCrashesReplicasIsRefusedByAllDaemons(t *testing.T) {
	fake := kv.NewFake(time.Now)
	var all []*Tracker
	notify := func(report poison.Report) {
		for _, c := range all {
			c.OnPeerDeath(report)
		}
	}
	for i := range 3 {
		all = append(all, newTestTracker(t, fake, fmt.Sprint("d", i), notify))
	}
	crashing := requestTrait("crashing")
	for n, c := range all {
		if err := c.Refuses(traitsFunc(crashing)); err != nil {
			t.Fatalf("refused after %d deaths", n)
		}
		c.RecordCrash(crashReport(crashing, n))
	}
	for i, c := range all {
		if err := c.Refuses(traitsFunc(crashing)); err == nil || err.RetryAfter <= 0 || err.Ran != request.NotRun {
			t.Errorf("daemon %d: %+v", i, err)
		}
		if err := c.Refuses(traitsFunc(requestTrait("another"))); err != nil {
			t.Errorf("an unrelated request is refused: %v", err)
		}
	}
	late := newTestTracker(t, fake, "late", nil)
	for deadline := time.Now().Add(5 * time.Second); late.Refuses(traitsFunc(crashing)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a daemon that starts later admits the request")
		}
	}
}

// Many replicas crash at once, several times, and the same harmless request was in flight at one of them each time, sent before
// any of them crashed. A replica answered it in between, which clears it: a request that crashes replicas is never answered.
func TestSuccessfulRequestIsCleared(t *testing.T) {
	c := newTestTracker(t, kv.NewFake(time.Now), "d", nil)
	harmless := requestTrait("harmless")
	for n := range 2 {
		c.RecordCrash(crashOf(harmless, fmt.Sprint("r", n, "@1"), time.Second))
	}
	c.RecordSuccess(traitsFunc(harmless))
	for n := range 5 {
		c.RecordCrash(crashOf(harmless, fmt.Sprint("r", 10+n, "@1"), time.Second))
	}
	if err := c.Refuses(traitsFunc(harmless)); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// Several daemons report the same crash, which counts once.
func TestDuplicateReportCountsOnce(t *testing.T) {
	c := newTestTracker(t, kv.NewFake(time.Now), "d", nil)
	harmless := requestTrait("harmless")
	for range 5 {
		c.OnPeerDeath(crashReport(harmless, 1))
	}
	if err := c.Refuses(traitsFunc(harmless)); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// A replica that a request crashes restarts under the same id each time, and the request reaches it
// again. Counting crashes by id alone would count one, and the request would keep crashing it.
func TestEachIncarnationOfReplicaCounts(t *testing.T) {
	c := newTestTracker(t, kv.NewFake(time.Now), "d", nil)
	crashing := requestTrait("crashing")
	for started := range uint64(3) {
		if err := c.Refuses(traitsFunc(crashing)); err != nil {
			t.Fatalf("refused after %d deaths", started)
		}
		c.RecordCrash(crashOf(crashing, fmt.Sprint("r@", 1000+started), 0))
	}
	if c.Refuses(traitsFunc(crashing)) == nil {
		t.Error("the request still runs after three crashes of one replica")
	}
}
