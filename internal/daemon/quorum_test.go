package daemon

import (
	"testing"
	"time"
)

// The key-value service is down for an hour. Every daemon refused all prompts once its last
// confirmation was five minutes old, so callers had an outage of 55 minutes although operators
// could not edit the table. A daemon that is also partitioned from its peers must still
// refuse prompts, since other daemons may apply edits that it misses.
func TestQuorumDistinguishesOutageFromNetworkPartition(t *testing.T) {
	const fleet = 8
	start := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name    string
		live    int // live daemons seen after contact with the service is lost
		serving bool
	}{
		{"outage for every daemon", fleet, true},
		{"outage and crash of three daemons", fleet - 3, true},
		{"isolated daemon", 1, false},
		{"partition with half of the fleet", fleet / 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newQuorum(5 * time.Minute)
			now := start
			for ; now.Sub(start) < 30*time.Minute; now = now.Add(time.Second) {
				q.observe(now, fleet, 3*time.Second)
			}
			outageStart := now
			for ; now.Sub(outageStart) < time.Hour; now = now.Add(time.Second) {
				live := fleet
				if now.Sub(outageStart) > 2*time.Second {
					live = c.live
				}
				q.observe(now, live, now.Sub(outageStart))
			}
			if q.hasMajority(c.live) != c.serving {
				t.Fatalf("after an hour with %d of %d daemons live: got serving %v", c.live, fleet, !c.serving)
			}
		})
	}
}
