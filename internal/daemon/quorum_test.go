package daemon

import (
	"testing"
	"time"
)

// The key-value service is away for an hour. A daemon without a proof for five minutes
// refused every prompt, and so did all others: nobody was served for 55 minutes
// although nobody could have edited the table. A daemon that is cut off from its peers
// too must still refuse, since others may follow edits that it misses.
func TestOutageIsNotTakenForACut(t *testing.T) {
	const fleet = 8
	start := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name  string
		live  int // seen once the service is not reached
		going bool
	}{
		{"outage for all", fleet, true},
		{"outage, and three daemons died", fleet - 3, true},
		{"cut off alone", 1, false},
		{"cut off with half of the fleet", fleet / 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newQuorum(5 * time.Minute)
			now := start
			for ; now.Sub(start) < 30*time.Minute; now = now.Add(time.Second) {
				q.observe(now, fleet, 3*time.Second)
			}
			lost := now
			for ; now.Sub(lost) < time.Hour; now = now.Add(time.Second) {
				live := fleet
				if now.Sub(lost) > 2*time.Second {
					live = c.live
				}
				q.observe(now, live, now.Sub(lost))
			}
			if q.reached(c.live) != c.going {
				t.Fatalf("after an hour with %d of %d daemons in sight: going on is %v", c.live, fleet, !c.going)
			}
		})
	}
}
