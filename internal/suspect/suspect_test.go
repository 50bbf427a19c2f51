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

const crashingRequest quarantine.Fingerprint = "a1"

func newTestRegistry(service *kv.Fake, id string) *Registry {
	return New(Options{KV: service.Client(id), Logger: hclog.NewNullLogger()})
}

// killTargets lets targets die while the given request is the only one in flight.
func killTargets(t *testing.T, r *Registry, fp quarantine.Fingerprint, targets ...request.TargetID) {
	t.Helper()
	for _, id := range targets {
		alone := r.Gate(t.Context(), fp).Mode == quarantine.Alone
		if !r.Begin(fp, "r-"+request.ID(id), id, alone) {
			t.Fatalf("the request was not admitted to %s", id)
		}
		r.TargetDied(t.Context(), id, 1)
		r.End("r-" + request.ID(id))
	}
}

func requireMode(t *testing.T, r *Registry, fp quarantine.Fingerprint, want quarantine.Mode) {
	t.Helper()
	decision := r.Gate(t.Context(), fp)
	if decision.Mode != want {
		t.Fatalf("the request %s may run as %q, want %q", fp, decision.Mode, want)
	}
	if want == quarantine.Refuse && decision.Err.RetryAfter <= 0 {
		t.Fatalf("refused without Retry-After: %v", decision.Err)
	}
}

// A request has killed two targets, and all daemons are replaced. A new daemon receives the table
// from a peer before it has loaded the crash records. It must not let the request kill a third
// target in between.
func TestNewDaemonReadsStoredCrashRecords(t *testing.T) {
	service := kv.NewFake(nil)
	killTargets(t, newTestRegistry(service, "d1"), crashingRequest, "t1", "t2")
	fresh := newTestRegistry(service, "d2")
	if naive := fresh.gate(crashingRequest); naive.Mode != quarantine.Unrestricted {
		t.Fatalf("the daemon already has the crash record: %v", naive.Mode)
	}
	requireMode(t, fresh, crashingRequest, quarantine.Refuse)
	requireMode(t, fresh, "b1", quarantine.Unrestricted)
}

// A request kills a target during an outage of the key-value service. The crash record can't be
// written and no daemon can read stored records. The daemons must rely on their exchange with peers,
// and must neither block requests nor forget the crashes.
func TestPeersExchangeCrashRecordsDuringOutage(t *testing.T) {
	service := kv.NewFake(nil)
	service.SetDown(true)
	first, second := newTestRegistry(service, "d1"), newTestRegistry(service, "d2")
	requireMode(t, second, crashingRequest, quarantine.Unrestricted)
	killTargets(t, first, crashingRequest, "t1")
	second.Merge(first.All())
	requireMode(t, second, crashingRequest, quarantine.Alone)
	killTargets(t, second, crashingRequest, "t2")
	first.Merge(second.All())
	requireMode(t, first, crashingRequest, quarantine.Refuse)
	requireMode(t, first, "b1", quarantine.Unrestricted)
}

// During an outage each request on a new daemon would wait for a read that fails. After one failed
// read, further requests must not wait until readRetryDelay has passed.
func TestFailedReadIsNotRepeatedForEachRequest(t *testing.T) {
	service := kv.NewFake(nil)
	reads := 0
	service.SetHook(func(string, bool, string) kv.Fault {
		reads++
		return kv.FaultUnavailable
	})
	now := time.Unix(1000, 0)
	r := New(Options{KV: service.Client("d1"), Logger: hclog.NewNullLogger(), Now: func() time.Time { return now }})
	for range 100 {
		requireMode(t, r, crashingRequest, quarantine.Unrestricted)
	}
	if reads != 1 {
		t.Fatalf("%d reads", reads)
	}
	now = now.Add(readRetryDelay)
	requireMode(t, r, crashingRequest, quarantine.Unrestricted)
	if reads != 2 {
		t.Fatalf("%d reads after the retry delay", reads)
	}
}

// Two daemons detect crashes at the same time and write the same page. A writer that overwrote the
// page with what it had read would remove the other's crash record, and that request could kill two
// more targets after a restart.
func TestConcurrentWritersKeepBothCrashRecords(t *testing.T) {
	service := kv.NewFake(nil)
	first, second := newTestRegistry(service, "d1"), newTestRegistry(service, "d2")
	overlapped := false
	service.SetAfterCall(func(client string) {
		if client == "d1" && !overlapped {
			overlapped = true // d1 has read the page but not written it yet
			killTargets(t, second, "a2", "t2")
		}
	})
	records := []quarantine.CrashRecord{{Fingerprint: crashingRequest, Deaths: []quarantine.Death{"t1@1"}, Expires: time.Now().Add(time.Hour)}}
	first.publish(context.Background(), "t1", records)
	fresh := newTestRegistry(service, "d3")
	if err := fresh.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	requireMode(t, fresh, crashingRequest, quarantine.Alone)
	requireMode(t, fresh, "a2", quarantine.Alone)
	if !overlapped {
		t.Fatal("the writes did not overlap")
	}
}
