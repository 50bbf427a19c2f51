package reach

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// TestTracker runs the scripts in testdata. Commands: "known service=S replicas=(..)", "reached at=MS service=S",
// "proven replicas=N", "failed at=MS service=S replica=N [unproven]", "state at=MS", and
// "exhausted at=MS service=S".
func TestTracker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tracker, known := &Tracker{}, map[routing.ServiceID][]ReplicaID{}
		var order []routing.ServiceID
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, replica int
			var name string
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "service", &name)
			d.MaybeScanArgs(t, "replica", &replica)
			now, service := time.Unix(1000, 0).Add(time.Duration(at)*time.Millisecond), routing.ServiceID(name)
			switch d.Cmd {
			case "known":
				var count int
				d.ScanArgs(t, "replicas", &count)
				known[service] = nil
				for n := range count {
					known[service] = append(known[service], ReplicaID(n))
				}
				order = append(order, service)
			case "reached":
				tracker.OnReached(now, service)
			case "failed":
				tracker.OnFailed(now, service, ReplicaID(replica), !d.HasArg("unproven"))
			case "exhausted":
				return fmt.Sprint(tracker.Exhausted(now, service, known[service]))
			case "proven":
				var count int
				d.ScanArgs(t, "replicas", &count)
				tracker.SetProven(count)
			case "prune":
				tracker.Prune(now)
			case "state":
				var out strings.Builder
				fmt.Fprintf(&out, "suspected=%t isolated=%t", tracker.Suspected(now), tracker.Isolated(now))
				for _, service := range order {
					fmt.Fprintf(&out, " %s=%t", service, tracker.Lost(now, service, known[service]))
				}
				return out.String()
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// A daemon that has heard of no replica must not believe that it is cut off: no other daemon could help.
func TestServiceWithoutReplicasIsNotLost(t *testing.T) {
	tracker, now := &Tracker{}, time.Unix(1000, 0)
	for n := range isolationFailures {
		tracker.OnFailed(now, "gone", ReplicaID(n), true)
	}
	if tracker.Lost(now, "gone", nil) {
		t.Error("a service without replicas counts as lost")
	}
}

// What is kept is bounded by the replicas that failed lately, also if none is ever reached again.
func TestOldFailuresAreDropped(t *testing.T) {
	tracker, now := &Tracker{}, time.Unix(1000, 0)
	for n := range 1000 {
		tracker.OnFailed(now.Add(time.Duration(n)*time.Second), "s", ReplicaID(n), true)
		tracker.Prune(now.Add(time.Duration(n) * time.Second))
	}
	if n := len(tracker.failed["s"]); n > int(failureTTL/time.Second)+1 {
		t.Errorf("%d failures are kept", n)
	}
}
