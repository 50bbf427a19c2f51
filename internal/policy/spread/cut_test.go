package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// A path that comes and goes must not make callers drop their connections each time.
func TestFlappingCutKeepsAnswersSteady(t *testing.T) {
	var c Cuts
	start := time.Unix(1000, 0)
	if c.Update(start, nil) != nil {
		t.Error("a sound daemon is avoided")
	}
	for n := range 20 {
		var cut []string
		if n%2 == 0 {
			cut = []string{"b"}
		}
		if got := c.Update(start.Add(time.Duration(n)*500*time.Millisecond), cut); !slices.Equal(got, []string{"b"}) {
			t.Errorf("at %d: %v is avoided", n, got)
		}
	}
	if got := c.Update(start.Add(10*time.Second+cutHold), nil); len(got) > 0 {
		t.Errorf("%v is avoided long after the path is back", got)
	}
}

// Callers are led away from daemons that reach no replica, as long as enough others are near. When a whole failure domain is
// cut off they stay there, since its daemons forward their requests.
func TestCallersAvoidCutDaemons(t *testing.T) {
	vms := []VM{
		{Name: "a", Address: "a", FailureDomain: "x", Serves: true, Cut: true}, {Name: "b", Address: "b", FailureDomain: "x", Serves: true},
		{Name: "c", Address: "c", FailureDomain: "x", Serves: true}, {Name: "d", Address: "d", FailureDomain: "y", Serves: true, Cut: true},
		{Name: "e", Address: "e", FailureDomain: "y", Serves: true, Cut: true},
	}
	regionOf := func(string) routing.Region { return "r" }
	f := NewFleet(vms)
	if got := f.Answer(Caller{Key: 1, FailureDomain: "x", Region: "r"}, 10, regionOf); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("in x callers are told of %v", got)
	}
	if got := f.Answer(Caller{Key: 1, FailureDomain: "y", Region: "r"}, 10, regionOf); !slices.Equal(got, []string{"d", "e"}) {
		t.Errorf("in y callers are told of %v", got)
	}
}
