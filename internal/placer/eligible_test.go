package placer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// newFixtureIn returns a fixture with one replica in each failure domain, which is named region-number.
func newFixtureIn(domains ...string) *fixture {
	f := newFixture(0)
	for i, domain := range domains {
		f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{
			ID: request.TargetID(domain), Service: "llm", Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: domain,
			Weights: map[request.Model]uint64{model: 1},
		}}})
	}
	f.placer.Region = func(domain string) routing.Region {
		if len(domain) < 2 {
			return ""
		}
		return routing.Region(domain[:2])
	}
	return f
}

func placedAt(t *testing.T, f *fixture, j *relay.Job) string {
	t.Helper()
	p, err := f.placer.Place(context.Background(), j, nil)
	if err != nil {
		return ""
	}
	done(p)
	return string(p.Replica.Info().ID)
}

// expectOnly checks that only the replica other gets requests, both at the first attempt and at a
// second one after other has failed.
func expectOnly(t *testing.T, f *fixture, other string) {
	t.Helper()
	for range 20 {
		if got := placedAt(t, f, job("s")); got != other {
			t.Fatalf("went to %q", got)
		}
	}
	if p, err := f.placer.Place(context.Background(), job("s"), []request.TargetID{request.TargetID(other)}); err == nil {
		t.Errorf("a second attempt went to %s", p.Replica.Info().ID)
	}
}

// No attempt of a request goes to an evacuated failure domain, even if only its replicas hold the
// context or are not busy.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	f := newFixtureIn("eu-1", "eu-2")
	f.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-1"}})
	f.set.Get("eu-2").SetBusy(time.Now().Add(time.Minute))
	expectOnly(t, f, "eu-2")
	f.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-2"}})
	if _, err := f.placer.Place(context.Background(), job("s"), nil); err == nil {
		t.Error("the last domain gets a request while it is evacuated")
	}
}

// A replica announces in its answers that it is leaving. It gets no more requests, even if it alone
// holds the context, is the last replica, or is the only one untried after a failure elsewhere.
func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	f := newFixtureIn("eu-1", "eu-2")
	f.set.Get("eu-1").ObserveLeaving()
	f.set.Get("eu-2").SetBusy(time.Now().Add(time.Minute))
	expectOnly(t, f, "eu-2")
	plain := &PlainPlacer{Eligibility: f.placer.Eligibility, Domain: "a"}
	f.set.Get("eu-2").ObserveLeaving()
	if _, err := plain.Place(context.Background(), job("s"), nil); err == nil {
		t.Error("the last replica gets a call while it is leaving")
	}
}

// A replica rejected a request of this daemon with Retry-After. It gets no requests until that time has
// passed, even if it alone holds the context or the others are busy. Without another replica, callers
// are refused.
func TestNoRequestsBeforeRetryAfter(t *testing.T) {
	const backoff = 200 * time.Millisecond
	f := newFixtureIn("eu-1", "eu-2")
	f.set.Get("eu-1").BackOff(time.Now().Add(time.Minute))
	f.set.Get("eu-2").SetBusy(time.Now().Add(time.Minute))
	expectOnly(t, f, "eu-2")
	until := time.Now().Add(backoff)
	f.set.Get("eu-2").BackOff(until)
	plain := &PlainPlacer{Eligibility: f.placer.Eligibility, Domain: "a"}
	if _, err := plain.Place(context.Background(), job("s"), nil); err == nil && time.Now().Before(until) {
		t.Error("a call goes to a replica that is backing off")
	}
	time.Sleep(time.Until(until))
	if got := placedAt(t, f, job("s")); got != "eu-2" {
		t.Errorf("after the backoff: went to %q", got)
	}
}

// No replica assigned to this daemon is allowed: replicas of other groups serve the request.
func TestFallbackToOtherGroupsWhenOwnIsEvacuated(t *testing.T) {
	f := newFixtureIn("eu-1", "eu-2")
	f.placer.Assigned = func(routing.ServiceID) []*replicas.Replica { return []*replicas.Replica{f.set.Get("eu-1")} }
	f.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-1"}})
	if got := placedAt(t, f, job("s")); got != "eu-2" {
		t.Errorf("went to %q", got)
	}
}

// A request with home regions goes only there, and is refused if they have no capacity. A failure
// domain with an unknown region is no home.
func TestRequestsStayInHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name       string
		route, org []routing.Region
		want       string
	}{
		{"of the route", []routing.Region{"us"}, nil, "us-1"},
		{"of the organisation", nil, []routing.Region{"as"}, "as-1"},
		{"of both", []routing.Region{"eu", "us"}, []routing.Region{"us", "as"}, "us-1"},
		{"without a region in common", []routing.Region{"eu"}, []routing.Region{"as"}, ""},
		{"in an unknown region", []routing.Region{"af"}, nil, ""},
	} {
		f := newFixtureIn("eu-1", "us-1", "as-1", "?")
		j := job("s")
		j.Route.Homes, j.Org = c.route, &routing.Org{ID: "o", Homes: c.org}
		for range 10 {
			if got := placedAt(t, f, j); got != c.want {
				t.Errorf("homes %s: went to %q, want %q", c.name, got, c.want)
			}
		}
		if c.want == "" {
			continue
		}
		f.set.Get(request.TargetID(c.want)).Load.Begin(45_000, 40_000)
		if got := placedAt(t, f, j); got != "" && got != c.want {
			t.Errorf("homes %s: a full home's request went to %q", c.name, got)
		}
	}
}

// A prompt with home regions is not saved to a store outside them, and the claims are released.
func TestNoSavesOutsideHomeRegions(t *testing.T) {
	f := newFixtureIn("us-1")
	j := job("s")
	j.Route.Homes = []routing.Region{"us"} // the store is in failure domain "a"
	p := place(t, f, j)
	for i, to := range p.Meta.SaveTo {
		if to != "" {
			t.Errorf("part %d is saved to %s", i, to)
		}
	}
	if len(f.store.released) == 0 {
		t.Error("the claim to save is not released")
	}
}
