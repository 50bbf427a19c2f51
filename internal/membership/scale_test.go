package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fleet is the size of a simulated deployment.
type fleet struct {
	size, regions int
}

// propagationTimeout limits the time until all daemons have applied an accepted edit.
const propagationTimeout = 12 * time.Second

// TestEditPropagationTime measures, over several edits, the time from the event of the
// watchers' watch until the last daemon has applied the edit.
func TestEditPropagationTime(t *testing.T) {
	t.Parallel()
	const edits = 9
	for _, f := range []fleet{{3, 1}, {8, 1}, {390, 7}} {
		t.Run(fmt.Sprintf("%d daemons", f.size), func(t *testing.T) {
			s := newSim(uint64(f.size), f.size, f.regions)
			if !s.converge(f.size) {
				t.Fatal("daemons did not find each other")
			}
			s.runFor(5 * time.Second)
			var times []time.Duration
			for edit := range edits {
				if err := s.edit(edit + 1); err != nil {
					t.Fatal(err)
				}
				took, ok := s.runUntil(propagationTimeout, func() bool { return s.editApplied(edit + 1) })
				if !ok {
					t.Fatalf("edit %d not applied everywhere after %v", edit, propagationTimeout)
				}
				times = append(times, took)
				s.runFor(time.Duration(s.rng.Int64N(int64(time.Second))))
			}
			slices.Sort(times)
			t.Logf("in_force_p50=%v in_force_max=%v edits=%d", times[edits/2], times[edits-1], edits)
		})
	}
}

// TestControlBytes measures the bytes that an idle daemon sends and receives for membership
// and the digests of the table, including HTTP headers.
func TestControlBytes(t *testing.T) {
	t.Parallel()
	const budget = 10 << 10 // bytes per second of control traffic of a daemon
	rates := make(map[int]float64)
	for _, f := range []fleet{{8, 1}, {50, 2}, {150, 4}, {390, 7}} {
		s := newSim(uint64(f.size), f.size, f.regions)
		if !s.converge(f.size) {
			t.Fatalf("%d daemons did not find each other", f.size)
		}
		s.runFor(20 * time.Second)
		before, reads := s.bytes(), s.reads
		const span = 20 * time.Second
		var oldest time.Duration
		for range int(span / time.Second) {
			s.runFor(time.Second)
			oldest = max(oldest, s.maxStaleness())
		}
		rate := float64(s.bytes()-before) / span.Seconds() / float64(f.size)
		rates[f.size] = rate
		calls := float64(s.reads-reads) / span.Seconds()
		t.Logf("daemons=%d bytes_per_daemon_s=%.0f table_calls_s=%.2f oldest_proof=%v", f.size, rate, calls, oldest)
		if oldest >= timing.MaxStaleness {
			t.Errorf("%d daemons: staleness %v in a healthy fleet, want below %v", f.size, oldest, timing.MaxStaleness)
		}
		if rate > budget {
			t.Errorf("%d daemons: %.0f bytes/s per daemon, want at most %d", f.size, rate, budget)
		}
	}
	if rates[390] > 2*rates[50] {
		t.Errorf("%.0f bytes/s per daemon in a fleet of 390, %.0f in a fleet of 50: the rate grows with the fleet", rates[390], rates[50])
	}
}

// maxStaleness returns the greatest staleness of any daemon's table.
func (s *sim) maxStaleness() time.Duration {
	var oldest time.Duration
	for _, n := range s.nodes {
		oldest = max(oldest, n.replica.Staleness(s.now))
	}
	return oldest
}

func (s *sim) bytes() int64 {
	var sum int64
	for _, n := range s.nodes {
		sum += n.bytes
	}
	return sum
}
