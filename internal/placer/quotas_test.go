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

func withCold(w *world, group ...string) {
	limits := quota.ColdStart(9.8, 19.7)
	w.set.SetColdStarts(map[routing.ServiceID]time.Duration{"llm": time.Minute})
	w.engine.Quotas = &Quotas{
		Self: "d0", Users: func(*replicas.Replica) []string { return group },
		ColdLimits: func(routing.ServiceID) quota.Limits { return limits },
	}
}

// namedLimits is what a replica bears that named a limit.
func namedLimits(perSecond float64) quota.Limits {
	return quota.Limits{PerSecond: perSecond, Burst: 6*perSecond + 5, Window: 4 * time.Second}
}

func withNamed(w *world, self string, group ...string) {
	w.engine.Quotas = &Quotas{
		Self: self, Users: func(*replicas.Replica) []string { return group },
		ColdLimits: func(routing.ServiceID) quota.Limits { return quota.Limits{} }, RateLimits: namedLimits,
	}
}

// An overloaded replica names a limit for all daemons together, and each of eight daemons, with the
// context of its callers there, keeps to the whole of it.
func TestDaemonsShareANamedLimit(t *testing.T) {
	const perSecond = 2
	group := []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	var total int
	for _, self := range group {
		w := newWorld(2)
		withNamed(w, self, group...)
		w.set.Get("r0").UpdateLimit(time.Now(), perSecond)
		for i := range 20 {
			switch where(t, w, job(fmt.Sprint("s", i))) {
			case "r0":
				total++
			case "":
				t.Fatalf("%s refuses with a replica left", self)
			}
		}
	}
	if total > 4*perSecond {
		t.Errorf("%d requests in a moment", total)
	}
	if total == 0 {
		t.Error("the replica gets none")
	}
}

// All replicas are overloaded: what they take together is sent, the rest is refused at once.
func TestLimitsOfAllReplicasAreKept(t *testing.T) {
	w := newWorld(2)
	withNamed(w, "d0", "d0")
	w.set.Get("r0").UpdateLimit(time.Now(), 1)
	w.set.Get("r1").UpdateLimit(time.Now(), 1)
	served := 0
	for range 20 {
		if where(t, w, job("s")) != "" {
			served++
		}
	}
	if served == 0 || served > 2 {
		t.Errorf("%d requests served in a moment", served)
	}
}

// Nobody hears any more whether a limit still holds, as its senders have gone or are cut off: a
// daemon that is none of them finds out by itself, with a request of its own.
func TestDaemonFindsOutWhetherALimitStillHolds(t *testing.T) {
	group := []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	w := newWorld(1)
	r := w.set.Get("r0")
	senders, _ := namedLimits(0.5).Shares(len(group))
	for _, self := range group {
		if !quota.IsSender(self, group, r.Hash(), senders) {
			withNamed(w, self, group...)
			break
		}
	}
	if w.engine.Quotas == nil {
		t.Fatal("all daemons send")
	}
	r.UpdateLimit(time.Now().Add(-limitHolds+time.Second), 0.5)
	if got := where(t, w, job("s")); got != "" {
		t.Error("it sends though others do")
	}
	w.set.Apply(time.Now(), replicas.Change{Removed: []request.TargetID{"r0"}})
	w.put(0, 1)
	w.set.Get("r0").UpdateLimit(time.Now().Add(-2*limitHolds-time.Second), 0.5)
	if got := where(t, w, job("s")); got != "r0" {
		t.Error("it never finds out")
	}
	if got := where(t, w, job("s")); got != "" {
		t.Error("it sends more than one")
	}
}

// A third of the replicas has just started. They get some requests, within their bound, and the
// others the rest; nobody is refused.
func TestColdReplicasGetAFewRequests(t *testing.T) {
	w := newWorld(6)
	withCold(w, "d0")
	for _, r := range []request.TargetID{"r0", "r1"} {
		w.set.Get(r).AssumeCold(time.Now())
	}
	got := map[request.TargetID]int{}
	for i := range 18 {
		p, err := w.engine.Place(context.Background(), job(fmt.Sprint("s", i)), nil)
		if err != nil {
			t.Fatal(err)
		}
		got[p.Replica.Info().ID]++
	}
	if got["r0"] > 2 || got["r1"] > 2 {
		t.Errorf("cold replicas got %d and %d requests in a moment", got["r0"], got["r1"])
	}
	if got["r0"]+got["r1"] == 0 {
		t.Error("cold replicas got none")
	}
}

// A daemon that has just started does not know how many others there are: it sends to warm
// replicas, and to cold ones only where no other is left.
func TestStartingDaemonPrefersWarmReplicas(t *testing.T) {
	w := newWorld(2)
	withCold(w)
	w.set.Get("r0").AssumeCold(time.Now())
	for i := range 20 {
		if got := where(t, w, job(fmt.Sprint("s", i))); got != "r1" {
			t.Fatalf("went to %q", got)
		}
	}
	w.set.Get("r1").AssumeCold(time.Now())
	if got := where(t, w, job("s")); got == "" {
		t.Error("refused with cold replicas idle")
	}
}

// Plain services may have cold replicas, too.
func TestPlainCallsKeepToTheBoundOfColdReplicas(t *testing.T) {
	w := newWorld(1)
	withCold(w, "d0")
	w.set.Get("r0").AssumeCold(time.Now())
	p := &Plain{Eligibility: w.engine.Eligibility, Domain: "a"}
	j := &relay.Job{Service: &routing.Service{ID: "llm"}, Route: &routing.Route{}}
	if _, err := p.Place(context.Background(), j, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Place(context.Background(), j, nil); err == nil {
		t.Error("two at once")
	}
}

// A replica takes one request in ten seconds. What was sent is remembered for as long, and not for
// ever where no bound holds.
func TestWhatWasSentIsRememberedAsLongAsABoundNeeds(t *testing.T) {
	w := newWorld(1)
	withNamed(w, "d0", "d0")
	q, r, now := w.engine.Quotas, w.set.Get("r0"), time.Now()
	q.Take(now, r)
	r.UpdateLimit(now, 0.1)
	later := now.Add(8 * time.Second)
	q.Prune(later)
	if q.Ready(later, r) {
		t.Error("a second request after eight seconds")
	}
	r.UpdateLimit(later, 0)
	q.Prune(later)
	if len(q.paces) != 0 {
		t.Error("what was sent is kept without a bound")
	}
}

// A request is refused since its wait would be too long: it must not use up the one that a replica in
// need takes in seconds.
func TestRefusedRequestTakesNothingOfALimit(t *testing.T) {
	w := newWorld(1)
	withNamed(w, "d0", "d0")
	r := w.set.Get("r0")
	r.UpdateLimit(time.Now(), 0.2)
	work := r.Load.Begin(10_000, 1_000_000)
	if got := where(t, w, job("s")); got != "" {
		t.Fatal("not refused")
	}
	work.End()
	if got := where(t, w, job("s")); got != "r0" {
		t.Error("the replica is idle, and gets nothing")
	}
}
