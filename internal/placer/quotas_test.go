package placer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/quota"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

func setColdQuotas(f *fixture, group ...string) {
	limits := quota.ColdStartLimits(9.8, 19.7)
	f.set.SetColdStarts(map[routing.ServiceID]time.Duration{"llm": time.Minute})
	f.placer.Quotas = &Quotas{
		Self: "d0", Daemons: func(*replicas.Replica) []string { return group },
		ColdLimits: func(routing.ServiceID) quota.Limits { return limits },
	}
}

// rateLimits returns the limits of a replica that reported a rate limit.
func rateLimits(perSecond float64) quota.Limits {
	return quota.Limits{PerSecond: perSecond, Burst: 6*perSecond + 5, Window: 4 * time.Second}
}

func setRateQuotas(f *fixture, self string, group ...string) {
	f.placer.Quotas = &Quotas{
		Self: self, Daemons: func(*replicas.Replica) []string { return group },
		ColdLimits: func(routing.ServiceID) quota.Limits { return quota.Limits{} }, RateLimits: rateLimits,
	}
}

// An overloaded replica reports a rate limit for all daemons together. Without sharing, each of eight
// daemons whose callers have their context there would use the whole limit.
func TestDaemonsShareRateLimit(t *testing.T) {
	const perSecond = 2
	group := []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	var total int
	for _, self := range group {
		f := newFixture(2)
		setRateQuotas(f, self, group...)
		f.set.Get("r0").UpdateLimit(time.Now(), perSecond)
		for i := range 20 {
			switch placedAt(t, f, job(fmt.Sprint("s", i))) {
			case "r0":
				total++
			case "":
				t.Fatalf("%s refuses a request with a replica available", self)
			}
		}
	}
	if total > 4*perSecond {
		t.Errorf("%d requests at once", total)
	}
	if total == 0 {
		t.Error("the replica gets no requests")
	}
}

// All replicas are overloaded: the requests that they accept together are sent, all others refused.
func TestRateLimitsOfAllReplicasAreRespected(t *testing.T) {
	f := newFixture(2)
	setRateQuotas(f, "d0", "d0")
	f.set.Get("r0").UpdateLimit(time.Now(), 1)
	f.set.Get("r1").UpdateLimit(time.Now(), 1)
	served := 0
	for range 20 {
		if placedAt(t, f, job("s")) != "" {
			served++
		}
	}
	if served == 0 || served > 2 {
		t.Errorf("%d requests served at once", served)
	}
}

// The daemons that send to a rate-limited replica have stopped or are partitioned, so that no report
// of the limit arrives. A daemon that is not a sender probes with one request whether it still holds.
func TestNonSenderProbesStaleRateLimit(t *testing.T) {
	group := []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	f := newFixture(1)
	r := f.set.Get("r0")
	senders, _ := rateLimits(0.5).Shares(len(group))
	for _, self := range group {
		if !quota.IsSender(self, group, r.Hash(), senders) {
			setRateQuotas(f, self, group...)
			break
		}
	}
	if f.placer.Quotas == nil {
		t.Fatal("all daemons are senders")
	}
	r.UpdateLimit(time.Now().Add(-minLimitTTL+time.Second), 0.5)
	if got := placedAt(t, f, job("s")); got != "" {
		t.Error("a non-sender sends before the limit is stale")
	}
	f.set.Apply(time.Now(), replicas.Change{Removed: []request.TargetID{"r0"}})
	f.put(0, 1)
	f.set.Get("r0").UpdateLimit(time.Now().Add(-2*minLimitTTL-time.Second), 0.5)
	if got := placedAt(t, f, job("s")); got != "r0" {
		t.Error("it never probes the limit")
	}
	if got := placedAt(t, f, job("s")); got != "" {
		t.Error("it sends more than one probe")
	}
}

// A third of the replicas has just started. Cold replicas get requests up to their bound, the other
// replicas get the rest, and no request is refused.
func TestColdReplicasGetBoundedRequests(t *testing.T) {
	f := newFixture(6)
	setColdQuotas(f, "d0")
	for _, r := range []request.TargetID{"r0", "r1"} {
		f.set.Get(r).AssumeCold(time.Now())
	}
	got := map[request.TargetID]int{}
	for i := range 18 {
		p, err := f.placer.Place(context.Background(), job(fmt.Sprint("s", i)), nil)
		if err != nil {
			t.Fatal(err)
		}
		got[p.Replica.Info().ID]++
	}
	if got["r0"] > 2 || got["r1"] > 2 {
		t.Errorf("cold replicas got %d and %d requests at once", got["r0"], got["r1"])
	}
	if got["r0"]+got["r1"] == 0 {
		t.Error("cold replicas got no requests")
	}
}

// A daemon that has just started does not know the number of other daemons. It prefers warm replicas,
// and uses cold ones only if no other replica is available.
func TestStartingDaemonPrefersWarmReplicas(t *testing.T) {
	f := newFixture(2)
	setColdQuotas(f)
	f.set.Get("r0").AssumeCold(time.Now())
	for i := range 20 {
		if got := placedAt(t, f, job(fmt.Sprint("s", i))); got != "r1" {
			t.Fatalf("went to %q", got)
		}
	}
	f.set.Get("r1").AssumeCold(time.Now())
	if got := placedAt(t, f, job("s")); got == "" {
		t.Error("refused with cold replicas idle")
	}
}

// Replicas of plain services may be cold as well.
func TestPlainCallsRespectColdReplicaBound(t *testing.T) {
	f := newFixture(1)
	setColdQuotas(f, "d0")
	f.set.Get("r0").AssumeCold(time.Now())
	p := &PlainPlacer{Eligibility: f.placer.Eligibility, Domain: "a"}
	j := &relay.Job{Service: &routing.Service{ID: "llm"}, Route: &routing.Route{}}
	if _, err := p.Place(context.Background(), j, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Place(context.Background(), j, nil); err == nil {
		t.Error("a cold replica got two calls at once")
	}
}

// A replica accepts one request in ten seconds. Its record is retained for that time, and dropped once
// no bound holds.
func TestPaceIsRetainedWhileBoundNeedsIt(t *testing.T) {
	f := newFixture(1)
	setRateQuotas(f, "d0", "d0")
	q, r, now := f.placer.Quotas, f.set.Get("r0"), time.Now()
	q.Take(now, r, func() *replicas.Flight { return r.Load.Begin(0, 0) })
	r.UpdateLimit(now, 0.1)
	later := now.Add(8 * time.Second)
	q.Prune(later)
	if q.Ready(later, r) {
		t.Error("a second request is permitted after eight seconds")
	}
	r.UpdateLimit(later, 0)
	q.Prune(later)
	if len(q.paces) != 0 {
		t.Error("the record is retained without a bound")
	}
}

// A request is refused because its wait would be too long. It must not consume the only request that
// an overloaded replica accepts in several seconds.
func TestRefusedRequestConsumesNoRateLimit(t *testing.T) {
	f := newFixture(1)
	setRateQuotas(f, "d0", "d0")
	r := f.set.Get("r0")
	r.UpdateLimit(time.Now(), 0.2)
	work := r.Load.Begin(10_000, 1_000_000)
	if got := placedAt(t, f, job("s")); got != "" {
		t.Fatal("not refused")
	}
	work.End()
	if got := placedAt(t, f, job("s")); got != "r0" {
		t.Error("the idle replica gets no request")
	}
}
