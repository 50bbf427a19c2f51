package suspect

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// newTestCountingRegistry starts the registry of one daemon, which follows a key-value service.
func newTestCountingRegistry(t *testing.T, fake *kv.Fake, name string, notify func(quarantine.CrashReport)) *CountingRegistry {
	t.Helper()
	client := fake.Client(name)
	follower := mirror.New(mirror.Options{KV: client, WatchTimeout: func() time.Duration { return 10 * time.Millisecond }})
	c := NewCountingRegistry(CountingOptions{KV: client, Follower: follower, Notify: notify})
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { _ = follower.Run(ctx) }) // ends with ctx
	t.Cleanup(func() {
		cancel()
		run.Wait()
	})
	return c
}

func fingerprintFunc(fp quarantine.Fingerprint) func() quarantine.Fingerprint {
	return func() quarantine.Fingerprint { return fp }
}

func crashReport(fp quarantine.Fingerprint, n int) quarantine.CrashReport {
	return quarantine.CrashReport{Fingerprint: fp, Target: request.TargetID(fmt.Sprint("r", n)), Incarnation: 1}
}

// A request crashes each replica that runs it, and its caller retries it, each time at another
// daemon. After three crashes all daemons must refuse it, including one that starts later and knows
// only the stored crash records.
func TestRequestThatCrashesReplicasIsRefusedByAllDaemons(t *testing.T) {
	fake := kv.NewFake(time.Now)
	var all []*CountingRegistry
	notify := func(report quarantine.CrashReport) {
		for _, c := range all {
			c.OnPeerReport(report)
		}
	}
	for i := range 3 {
		all = append(all, newTestCountingRegistry(t, fake, fmt.Sprint("d", i), notify))
	}
	const crashing = quarantine.Fingerprint("ab12")
	for n, c := range all {
		if err := c.Check(fingerprintFunc(crashing)); err != nil {
			t.Fatalf("refused after %d deaths", n)
		}
		c.RecordCrash(context.Background(), crashReport(crashing, n))
	}
	for i, c := range all {
		if err := c.Check(fingerprintFunc(crashing)); err == nil || err.RetryAfter <= 0 || err.Ran != request.NotRun {
			t.Errorf("daemon %d: %+v", i, err)
		}
		if err := c.Check(fingerprintFunc("cd34")); err != nil {
			t.Errorf("an unrelated request is refused: %v", err)
		}
	}
	late := newTestCountingRegistry(t, fake, "late", nil)
	for deadline := time.Now().Add(5 * time.Second); late.Check(fingerprintFunc(crashing)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a daemon that starts later admits the request")
		}
	}
}

// Many replicas crash at once, several times, and the same harmless request was in flight at one of
// them each time. A replica answered it in between, which clears it: a request that crashes replicas
// is never answered.
func TestSuccessfulRequestIsCleared(t *testing.T) {
	c := newTestCountingRegistry(t, kv.NewFake(time.Now), "d", nil)
	const fp = quarantine.Fingerprint("ab12")
	for n := range 2 {
		c.RecordCrash(context.Background(), crashReport(fp, n))
	}
	c.RecordSuccess(context.Background(), fingerprintFunc(fp))
	for n := range 5 {
		c.RecordCrash(context.Background(), crashReport(fp, 10+n))
	}
	if err := c.Check(fingerprintFunc(fp)); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// Several daemons report the same crash, which counts once.
func TestDuplicateReportCountsOnce(t *testing.T) {
	c := newTestCountingRegistry(t, kv.NewFake(time.Now), "d", nil)
	const fp = quarantine.Fingerprint("ab12")
	for range 5 {
		c.OnPeerReport(crashReport(fp, 1))
	}
	if err := c.Check(fingerprintFunc(fp)); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// A replica that a request crashes restarts under the same id each time, and the request reaches it
// again. Counting crashes by id alone would count one, and the request would keep crashing it.
func TestEachIncarnationOfReplicaCounts(t *testing.T) {
	c := newTestCountingRegistry(t, kv.NewFake(time.Now), "d", nil)
	const crashing = quarantine.Fingerprint("ab12")
	for started := range uint64(3) {
		if err := c.Check(fingerprintFunc(crashing)); err != nil {
			t.Fatalf("refused after %d deaths", started)
		}
		c.RecordCrash(context.Background(), quarantine.CrashReport{Fingerprint: crashing, Target: "r", Incarnation: 1000 + started})
	}
	if c.Check(fingerprintFunc(crashing)) == nil {
		t.Error("the request still runs after three crashes of one replica")
	}
}
