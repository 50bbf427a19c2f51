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

// counting starts a daemon's register that follows a key-value service.
func counting(t *testing.T, fake *kv.Fake, name string, tell func(quarantine.Sighting)) *CountingRegistry {
	t.Helper()
	client := fake.Client(name)
	follower := mirror.New(mirror.Options{KV: client, Wait: func() time.Duration { return 10 * time.Millisecond }})
	c := NewCountingRegistry(CountingOptions{KV: client, Follower: follower, Notify: tell})
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { _ = follower.Run(ctx) }) // ends with ctx
	t.Cleanup(func() {
		cancel()
		run.Wait()
	})
	return c
}

func fixed(fp quarantine.Fingerprint) func() quarantine.Fingerprint {
	return func() quarantine.Fingerprint { return fp }
}

func death(fp quarantine.Fingerprint, n int) quarantine.Sighting {
	return quarantine.Sighting{Fingerprint: fp, Target: request.TargetID(fmt.Sprint("r", n)), Incarnation: 1}
}

// A request crashes each replica that runs it, and its caller sends it again, each time to
// another daemon. After three replicas all daemons must refuse it, also one that starts when
// the others are gone.
func TestRequestThatCrashesReplicasIsRefusedEverywhere(t *testing.T) {
	fake := kv.NewFake(time.Now)
	var all []*CountingRegistry
	tell := func(s quarantine.Sighting) {
		for _, c := range all {
			c.OnPeerReport(s)
		}
	}
	for i := range 3 {
		all = append(all, counting(t, fake, fmt.Sprint("d", i), tell))
	}
	const poison = quarantine.Fingerprint("ab12")
	for n, c := range all {
		if err := c.Check(fixed(poison)); err != nil {
			t.Fatalf("refused after %d deaths", n)
		}
		c.RecordCrash(context.Background(), death(poison, n))
	}
	for i, c := range all {
		if err := c.Check(fixed(poison)); err == nil || err.RetryAfter <= 0 || err.Ran != request.NotRun {
			t.Errorf("daemon %d: %+v", i, err)
		}
		if err := c.Check(fixed("cd34")); err != nil {
			t.Errorf("another request is refused: %v", err)
		}
	}
	late := counting(t, fake, "late", nil)
	for deadline := time.Now().Add(5 * time.Second); late.Check(fixed(poison)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a daemon that starts later lets it run")
		}
	}
}

// Many replicas crash at once, three times in a row, and a harmless request was in flight at
// one each time. It was answered in between, which what crashes replicas never is.
func TestAnsweredRequestIsCleared(t *testing.T) {
	c := counting(t, kv.NewFake(time.Now), "d", nil)
	const fp = quarantine.Fingerprint("ab12")
	for n := range 2 {
		c.RecordCrash(context.Background(), death(fp, n))
	}
	c.RecordSuccess(context.Background(), fixed(fp))
	for n := range 5 {
		c.RecordCrash(context.Background(), death(fp, 10+n))
	}
	if err := c.Check(fixed(fp)); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// Two daemons see the same death; it is one.
func TestOneDeathCountsOnce(t *testing.T) {
	c := counting(t, kv.NewFake(time.Now), "d", nil)
	const fp = quarantine.Fingerprint("ab12")
	for range 5 {
		c.OnPeerReport(death(fp, 1))
	}
	if err := c.Check(fixed(fp)); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// The replica that a request crashes is back under its id each time, and the request finds it
// again. Counted by ids that was one death, and the request went on crashing it.
func TestEachStartOfAReplicaCounts(t *testing.T) {
	c := counting(t, kv.NewFake(time.Now), "d", nil)
	const poison = quarantine.Fingerprint("ab12")
	for started := range uint64(3) {
		if err := c.Check(fixed(poison)); err != nil {
			t.Fatalf("refused after %d deaths", started)
		}
		c.RecordCrash(context.Background(), quarantine.Sighting{Fingerprint: poison, Target: "r", Incarnation: 1000 + started})
	}
	if c.Check(fixed(poison)) == nil {
		t.Error("still runs after three deaths of one replica")
	}
}
