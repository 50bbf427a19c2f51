package replicas

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seed in each run
	"pgregory.net/rapid"
)

// manyReplicas is twice the number of replicas of the largest fleet in service.
const manyReplicas = 20_000

// A daemon spends its processor on replicas that it never uses: several times a second it visits all of
// them for its load report, its probes and its metrics.
func TestRecurringWorkVisitsOnlyReplicasInUse(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: infos(manyReplicas)})
	used, limited := s.Get("r7"), s.Get("r9")
	flight := used.Load.Begin(100, 50)
	limited.ObserveLimit(now, 3)
	if got := s.WithOwnWork(); !slices.Equal(got, []*Replica{used}) {
		t.Errorf("%d replicas have own work, want 1", len(got))
	}
	if s.Limited() != 1 {
		t.Errorf("%d replicas are limited, want 1", s.Limited())
	}
	flight.Computed()
	flight.End()
	limited.ObserveLimit(now, 0)
	visited := testing.AllocsPerRun(10, func() {
		s.WithOwnWork()
		s.ProbeDown(t.Context(), now)
		s.Limited()
	})
	if visited > 3 || len(s.WithOwnWork())+s.Limited() != 0 {
		t.Errorf("recurring work of an idle daemon allocates %.0f times", visited)
	}
}

// Each change of one replica makes each daemon build and sort the list of all replicas again.
func TestChangeOfInfoKeepsView(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: infos(manyReplicas)})
	before := s.View()
	reloaded := infos(1)[0]
	reloaded.Weights = map[request.Model]uint64{"m": 2}
	s.Apply(now, Change{Present: []Info{reloaded}})
	if s.View() != before {
		t.Error("new weights of one replica replaced the view")
	}
	if s.Get(reloaded.ID).WeightsVersion("m") != 2 {
		t.Error("the change was not applied")
	}
}

// The view is updated by differences, which must have the same result as a new list.
func TestViewMatchesReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewSet(), time.Unix(1000, 0)
		s.SetServices(map[routing.ServiceID]bool{"s": true, "t": true})
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			s.Apply(now, drawChange(t))
			checkView(t, s)
		}
	})
}

func drawChange(t *rapid.T) Change {
	c := Change{Full: rapid.IntRange(0, 19).Draw(t, "full") == 0}
	for range rapid.IntRange(0, 5).Draw(t, "entries") {
		i := info(fmt.Sprint("r", rapid.IntRange(0, 11).Draw(t, "id")))
		i.Service = rapid.SampledFrom([]routing.ServiceID{"s", "t", "unknown"}).Draw(t, "service")
		i.Leaving = rapid.Bool().Draw(t, "leaving")
		i.Started = int64(rapid.IntRange(0, 2).Draw(t, "started"))
		c.Present = append(c.Present, i)
		if rapid.Bool().Draw(t, "removed") {
			c.Removed = append(c.Removed, i.ID)
		}
	}
	return c
}

func checkView(t *rapid.T, s *Set) {
	t.Helper()
	want := map[routing.ServiceID][]*Replica{}
	listed := 0
	for _, r := range s.byID {
		if i := r.Info(); !i.Leaving && s.services[i.Service] {
			want[i.Service] = append(want[i.Service], r)
			listed++
			if s.ByHash(r.Hash()) != r {
				t.Fatalf("%s is not found by its hash", r.id)
			}
		}
	}
	if len(s.byHash) != listed {
		t.Fatalf("%d hashes of %d replicas", len(s.byHash), listed)
	}
	for _, list := range want {
		slices.SortFunc(list, byID)
	}
	for _, service := range []routing.ServiceID{"s", "t", "unknown"} {
		if !slices.Equal(s.ByService(service), want[service]) {
			t.Fatalf("the view lists %v of %s, want %v", ids(s.ByService(service)), service, ids(want[service]))
		}
	}
}

func ids(list []*Replica) (out []request.TargetID) {
	for _, r := range list {
		out = append(out, r.id)
	}
	return out
}

func infos(n int) []Info {
	out := make([]Info, n)
	for i := range out {
		out[i] = info(fmt.Sprint("r", i))
	}
	return out
}

// BenchmarkReplacement measures a replica that is replaced, as in a release of its software.
func BenchmarkReplacement(b *testing.B) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: infos(manyReplicas)})
	b.ReportAllocs()
	for n := range b.N {
		id := fmt.Sprint("r", n%manyReplicas)
		s.Apply(now, Change{Removed: []request.TargetID{request.TargetID(id)}})
		s.Apply(now, Change{Present: []Info{info(id)}})
	}
}

// BenchmarkOwnWork measures the recurring look at this daemon's own work.
func BenchmarkOwnWork(b *testing.B) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: infos(manyReplicas)})
	s.Get("r7").Load.Begin(100, 50)
	b.ReportAllocs()
	for range b.N {
		s.WithOwnWork()
	}
}

// A replica restarts and is removed in one change of the registry. The view must not keep its earlier start.
func TestRestartAndRemovalInOneChangeLeaveNothing(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Present: []Info{started("a", 1), info("b")}})
	s.Apply(now, Change{Present: []Info{started("a", 2)}, Removed: []request.TargetID{"a"}})
	if got := ids(s.ByService("s")); !slices.Equal(got, []request.TargetID{"b"}) {
		t.Errorf("the view lists %v", got)
	}
}
