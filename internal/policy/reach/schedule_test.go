package reach

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/routing"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// In any order of failures and answers, over any time, a daemon must not believe that it has lost what it has just reached, nor
// that it has lost a service of which a replica has not failed, unless three replicas failed in a row. When nothing is reached any
// more and all replicas are tried, it must notice.
func TestAnyScheduleOfFailures(t *testing.T) {
	services := map[routing.ServiceID]int{"llm": 7, "app": 2, "one": 1}
	known := map[routing.ServiceID][]ReplicaID{}
	for service, n := range services {
		for r := range n {
			known[service] = append(known[service], ReplicaID(r))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		now := time.Unix(1000, 0)
		inARow := map[string]bool{} // replicas that failed since any was reached
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			service := rapid.SampledFrom([]routing.ServiceID{"llm", "app", "one"}).Draw(t, "service")
			replica := rapid.SampledFrom(known[service]).Draw(t, "replica")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				tracker.OnReached(now, service)
				clear(inARow)
				if tracker.Lost(now, service, known[service]) || tracker.Isolated(now) || tracker.Suspected(now) {
					t.Fatalf("%s counts as lost when it was just reached", service)
				}
			} else {
				tracker.OnFailed(now, service, replica, true)
				inARow[fmt.Sprint(service, replica)] = true
			}
			if rapid.Bool().Draw(t, "prune") {
				tracker.Prune(now)
			}
			if tracker.Isolated(now) && len(inARow) < isolationFailures {
				t.Fatalf("isolated after %d failures in a row", len(inARow))
			}
			for id, replicas := range known {
				if tracker.Lost(now, id, replicas) && !tracker.Isolated(now) && !tracker.allFailed(now, id, replicas) {
					t.Fatalf("%s counts as lost though a replica of it has not failed", id)
				}
			}
		}
		for service, replicas := range known {
			for _, r := range replicas {
				tracker.OnFailed(now, service, r, true)
			}
		}
		for service, replicas := range known {
			if !tracker.Lost(now, service, replicas) {
				t.Fatalf("%s does not count as lost after all of its replicas failed", service)
			}
		}
	})
}
