package suspect

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

const crasher quarantine.Fingerprint = "a1"

func newKeeper(service *kv.Fake, id string) *Keeper {
	return New(Options{KV: service.Client(id), Logger: hclog.NewNullLogger()})
}

// falls lets targets die with a request in flight, and nothing beside it.
func falls(t *testing.T, k *Keeper, fp quarantine.Fingerprint, targets ...request.TargetID) {
	t.Helper()
	for _, id := range targets {
		alone := k.Gate(t.Context(), fp).Mode == quarantine.Alone
		if !k.Begin(fp, "r-"+request.ID(id), id, alone) {
			t.Fatalf("the request was not let to %s", id)
		}
		k.TargetDied(t.Context(), id, 1)
		k.End("r-" + request.ID(id))
	}
}

func wantMode(t *testing.T, k *Keeper, fp quarantine.Fingerprint, want quarantine.Mode) {
	t.Helper()
	v := k.Gate(t.Context(), fp)
	if v.Mode != want {
		t.Fatalf("the request %s may run as %q, want %q", fp, v.Mode, want)
	}
	if want == quarantine.Refuse && v.Err.RetryAfter <= 0 {
		t.Fatalf("refused without a time to come back: %v", v.Err)
	}
}

// A request has killed two targets, and all daemons are replaced. The table reaches a
// new daemon through a peer before it has read the findings; the request comes again
// in between and a third target falls.
func TestFindingsHoldOnDaemonsThatHaveJustStarted(t *testing.T) {
	service := kv.NewFake(nil)
	falls(t, newKeeper(service, "d1"), crasher, "t1", "t2")
	fresh := newKeeper(service, "d2")
	if naive := fresh.gate(crasher); naive.Mode != quarantine.Unrestricted {
		t.Fatalf("the daemon knows of it already: %v", naive.Mode)
	}
	wantMode(t, fresh, crasher, quarantine.Refuse)
	wantMode(t, fresh, "b1", quarantine.Unrestricted)
}

// A request kills a target in an outage of the service. Its finding can't be written,
// and no daemon can read; the daemons must go on with what they tell each other, and
// neither hold requests nor forget the deaths.
func TestInAnOutagePeersCarryFindings(t *testing.T) {
	service := kv.NewFake(nil)
	service.SetDown(true)
	first, second := newKeeper(service, "d1"), newKeeper(service, "d2")
	wantMode(t, second, crasher, quarantine.Unrestricted)
	falls(t, first, crasher, "t1")
	second.Merge(first.All())
	wantMode(t, second, crasher, quarantine.Alone)
	falls(t, second, crasher, "t2")
	first.Merge(second.All())
	wantMode(t, first, crasher, quarantine.Refuse)
	wantMode(t, first, "b1", quarantine.Unrestricted)
}

// In an outage each request on a daemon that has just started would wait for a read
// that fails, one after the other.
func TestOutageIsNotWaitedForByEachRequest(t *testing.T) {
	service := kv.NewFake(nil)
	reads := 0
	service.SetHook(func(string, bool, string) kv.Fault {
		reads++
		return kv.FaultUnavailable
	})
	now := time.Unix(1000, 0)
	k := New(Options{KV: service.Client("d1"), Logger: hclog.NewNullLogger(), Now: func() time.Time { return now }})
	for range 100 {
		wantMode(t, k, crasher, quarantine.Unrestricted)
	}
	if reads != 1 {
		t.Fatalf("%d reads", reads)
	}
	now = now.Add(readPause)
	wantMode(t, k, crasher, quarantine.Unrestricted)
	if reads != 2 {
		t.Fatalf("%d reads after the pause", reads)
	}
}

// Two daemons see deaths at the same moment and write the same page. A writer that put
// back what it had read would take away the other's finding: that request would have
// two more targets to kill after a restart.
func TestTwoWritersOfOnePageKeepBothFindings(t *testing.T) {
	service := kv.NewFake(nil)
	first, second := newKeeper(service, "d1"), newKeeper(service, "d2")
	met := false
	service.SetAfterCall(func(client string) {
		if client == "d1" && !met {
			met = true // d1 has read the page and not written it yet
			falls(t, second, "a2", "t2")
		}
	})
	found := []quarantine.CrashRecord{{Fingerprint: crasher, Deaths: []quarantine.Death{"t1@1"}, Expires: time.Now().Add(time.Hour)}}
	first.publish(context.Background(), "t1", found)
	fresh := newKeeper(service, "d3")
	if err := fresh.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantMode(t, fresh, crasher, quarantine.Alone)
	wantMode(t, fresh, "a2", quarantine.Alone)
	if !met {
		t.Fatal("the writers did not meet")
	}
}
