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

// spread is a world with one replica in each of some failure domains, named region-number.
func spread(domains ...string) *world {
	w := newWorld(0)
	for i, domain := range domains {
		w.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{
			ID: request.TargetID(domain), Service: "llm", Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: domain,
			Weights: map[request.Model]uint64{model: 1},
		}}})
	}
	w.engine.Region = func(domain string) routing.Region {
		if len(domain) < 2 {
			return ""
		}
		return routing.Region(domain[:2])
	}
	return w
}

func where(t *testing.T, w *world, j *relay.Job) string {
	t.Helper()
	p, err := w.engine.Place(context.Background(), j, nil)
	if err != nil {
		return ""
	}
	done(p)
	return string(p.Replica.Info().ID)
}

// getsNothing checks that of two replicas only the other one gets requests, be it their first try or
// the one after that replica has failed.
func getsNothing(t *testing.T, w *world, other string) {
	t.Helper()
	for range 20 {
		if got := where(t, w, job("s")); got != other {
			t.Fatalf("went to %q", got)
		}
	}
	if p, err := w.engine.Place(context.Background(), job("s"), []request.TargetID{request.TargetID(other)}); err == nil {
		t.Errorf("a second try went to %s", p.Replica.Info().ID)
	}
}

// A failure domain is evacuated: no request goes there, be it its first try or a later one, also
// if its replicas are the only ones that hold the context, or that are not busy.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	w := spread("eu-1", "eu-2")
	w.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-1"}})
	w.set.Get("eu-2").SetBusy(time.Now().Add(time.Minute))
	getsNothing(t, w, "eu-2")
	w.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-2"}})
	if _, err := w.engine.Place(context.Background(), job("s"), nil); err == nil {
		t.Error("the last domain gets a request while it is evacuated")
	}
}

// A replica says in its answers that it leaves: it gets nothing more, also if it alone holds the
// context, or is the last that is there, or was not tried for a request that failed elsewhere.
func TestReplicaThatLeavesGetsNothing(t *testing.T) {
	w := spread("eu-1", "eu-2")
	w.set.Get("eu-1").ObserveLeaving()
	w.set.Get("eu-2").SetBusy(time.Now().Add(time.Minute))
	getsNothing(t, w, "eu-2")
	plain := &Plain{Eligibility: w.engine.Eligibility, Domain: "a"}
	w.set.Get("eu-2").ObserveLeaving()
	if _, err := plain.Place(context.Background(), job("s"), nil); err == nil {
		t.Error("the last replica gets a call while it leaves")
	}
}

// A replica turned a request of this daemon away with Retry-After: it gets none until that is over,
// also if it alone holds the context, or the others are busy. With none left callers are refused.
func TestReplicaGetsNothingBeforeItsRetryAfter(t *testing.T) {
	const backoff = 200 * time.Millisecond
	w := spread("eu-1", "eu-2")
	w.set.Get("eu-1").BackOff(time.Now().Add(time.Minute))
	w.set.Get("eu-2").SetBusy(time.Now().Add(time.Minute))
	getsNothing(t, w, "eu-2")
	until := time.Now().Add(backoff)
	w.set.Get("eu-2").BackOff(until)
	plain := &Plain{Eligibility: w.engine.Eligibility, Domain: "a"}
	if _, err := plain.Place(context.Background(), job("s"), nil); err == nil && time.Now().Before(until) {
		t.Error("a call goes to a replica that is to be left alone")
	}
	time.Sleep(time.Until(until))
	if got := where(t, w, job("s")); got != "eu-2" {
		t.Errorf("after that: %q", got)
	}
}

// The group of a daemon has no replica left that may be used: those of other groups serve.
func TestOtherGroupsServeWhereAllOfTheOwnAreEvacuated(t *testing.T) {
	w := spread("eu-1", "eu-2")
	w.engine.Assigned = func(routing.ServiceID) []*replicas.Replica { return []*replicas.Replica{w.set.Get("eu-1")} }
	w.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-1"}})
	if got := where(t, w, job("s")); got != "eu-2" {
		t.Errorf("went to %q", got)
	}
}

// A request with homes goes to none but these, and is refused where their capacity is gone. A
// failure domain whose region nobody knows is no home.
func TestHomesAreKept(t *testing.T) {
	for _, c := range []struct {
		name       string
		route, org []routing.Region
		want       string
	}{
		{"of the route", []routing.Region{"us"}, nil, "us-1"},
		{"of the organisation", nil, []routing.Region{"as"}, "as-1"},
		{"of both", []routing.Region{"eu", "us"}, []routing.Region{"us", "as"}, "us-1"},
		{"without a region in common", []routing.Region{"eu"}, []routing.Region{"as"}, ""},
		{"that nobody knows", []routing.Region{"af"}, nil, ""},
	} {
		w := spread("eu-1", "us-1", "as-1", "?")
		j := job("s")
		j.Route.Homes, j.Org = c.route, &routing.Org{ID: "o", Homes: c.org}
		for range 10 {
			if got := where(t, w, j); got != c.want {
				t.Errorf("homes %s: went to %q, want %q", c.name, got, c.want)
			}
		}
		if c.want == "" {
			continue
		}
		w.set.Get(request.TargetID(c.want)).Load.Begin(45_000, 40_000)
		if got := where(t, w, j); got != "" && got != c.want {
			t.Errorf("homes %s: a full home's request went to %q", c.name, got)
		}
	}
}

// A prompt with homes is not saved to a store outside of them, and what was allowed is given back.
func TestNothingIsSavedOutsideOfHomes(t *testing.T) {
	w := spread("us-1")
	j := job("s")
	j.Route.Homes = []routing.Region{"us"} // the store stands in failure domain "a"
	p := place(t, w, j)
	for i, to := range p.Send.SaveTo {
		if to != "" {
			t.Errorf("part %d is saved to %s", i, to)
		}
	}
	if len(w.shelf.released) == 0 {
		t.Error("leave to save is kept")
	}
}
