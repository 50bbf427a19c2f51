package crashes

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

func partTrait(name string) poison.Trait {
	return poison.NewTrait(poison.KindPart, poison.OrgOf("o"), []byte(name))
}

// TestTrialIsBegunOnce guards against a trial by each daemon, of which each one would crash a replica.
func TestTrialIsBegunOnce(t *testing.T) {
	fake := kv.NewFake(time.Now)
	p := poison.DefaultParams
	p.TrialAfter, p.MaxTrialAfter = 20*time.Millisecond, time.Hour
	var all []*Tracker
	for i := range 4 {
		client := fake.Client(fmt.Sprint("d", i))
		c := New(Options{KV: client, Follower: mirror.New(mirror.Options{KV: client}), Params: p})
		for n := range p.PartDeaths {
			c.OnPeerDeath(crashReport(partTrait("x"), n))
		}
		all = append(all, c)
	}
	for _, c := range all {
		if c.Refuses(traitsFunc(partTrait("x"))) == nil {
			t.Fatal("a daemon admits the part before the trial")
		}
	}
	time.Sleep(2 * p.TrialAfter)
	admitted := 0
	for _, c := range all {
		if err := c.Admit(t.Context(), traitsFunc(partTrait("x"))); err == nil {
			admitted++
		} else if err.RetryAfter <= 0 {
			t.Errorf("no time to come back: %+v", err)
		}
	}
	if admitted != 1 {
		t.Errorf("%d daemons begin a trial", admitted)
	}
}

// TestDaemonLearnsWhileServiceIsAway guards against a daemon that starts during an outage of the key-value service and admits what the
// others refuse.
func TestDaemonLearnsWhileServiceIsAway(t *testing.T) {
	client := kv.NewFake(time.Now).Client("d")
	var late *Tracker
	c := New(Options{
		KV: client, Follower: mirror.New(mirror.Options{KV: client}), Params: poison.DefaultParams,
		Failing: func() bool { return true }, Gossip: func(records []poison.Record) { late.OnPeerRecords(records) },
	})
	late = New(Options{KV: client, Follower: mirror.New(mirror.Options{KV: client}), Params: poison.DefaultParams})
	for n := range poison.DefaultParams.PartDeaths {
		c.RecordCrash(crashReport(partTrait("x"), n))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx) // ends with ctx
	}()
	for deadline := time.Now().Add(5 * time.Second); late.Refuses(traitsFunc(partTrait("x"))) == nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the daemon that started late admits the part")
		}
	}
	cancel()
	<-done
}

// TestAnswerElsewhereClears guards against a popular part that a daemon refuses although another one has answered it.
func TestAnswerElsewhereClears(t *testing.T) {
	fake := kv.NewFake(time.Now)
	var first, second *Tracker
	first = newTestTracker(t, fake, "first", func(r poison.Report) { second.OnPeerDeath(r) })
	second = newTestTracker(t, fake, "second", nil)
	first.o.SendRecords = func(records []poison.Record) { second.OnPeerRecords(records) }
	for n := range poison.DefaultParams.PartDeaths - 1 {
		first.RecordCrash(crashReport(partTrait("shared"), n))
	}
	time.Sleep(2 * time.Millisecond) // records have times in milliseconds
	first.RecordSuccess(traitsFunc(partTrait("shared")))
	for deadline := time.Now().Add(5 * time.Second); second.Suspicion(traitsFunc(partTrait("shared"))) > poison.Unsuspected; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other daemon does not learn of the answer")
		}
	}
}

// TestInvalidPageNamesItsField guards against a page that is dropped without a word on what is wrong with it.
func TestInvalidPageNamesItsField(t *testing.T) {
	for page, field := range map[string]string{
		`{`:                         "page",
		`[{"kind":2,"key":"zz"}]`:   "key",
		`[{"kind":9,"key":"%32s"}]`: "kind",
		`[` + strings.Repeat(`{},`, maxPageRecords) + `{}]`:                        "33 records",
		`[{"kind":2,"key":"%32s","answered":9223372036854775807}]`:                 "answered",
		`[{"kind":2,"key":"%32s","deaths":[{"id":"r","at":9223372036854775807}]}]`: "at",
		`[{"kind":2,"key":"` + strings.Repeat("z", 1<<20) + `"}]`:                  "key",
		`[{"kind":2,"key":"%32s","trial":` + strings.Repeat("9", 1<<20) + `}]`:     "trial",
	} {
		if strings.Contains(page, "%32s") {
			page = fmt.Sprintf(page, strings.Repeat("0", 2*poison.KeyBytes))
		}
		if _, err := decodePage([]byte(page)); err == nil || !strings.Contains(err.Error(), field) || len(err.Error()) > 400 {
			t.Errorf("%.80s: %.400v, want an error that names %s", page, err, field)
		}
	}
}
