package daemon

import "time"

// maxFreshStaleness is the staleness of the table up to which the confirmation shows that
// this daemon reaches the key-value service, directly or through peers.
const maxFreshStaleness = 8 * time.Second

// quorum distinguishes an outage of the key-value service from a network partition that
// isolates this daemon.
//
// In both cases the daemon has no recent confirmation that its table is current. In an
// outage operators can't edit the table, so the daemons' copies are current, and refusing
// prompts for the length of the outage would only harm callers. A partitioned daemon may
// miss edits that other daemons apply, and callers would get different answers from
// different daemons. The daemon decides by its peers: while it sees more than half of the
// daemons that it saw when it last had a fresh confirmation, it assumes an outage;
// otherwise it assumes that it is partitioned.
//
// The quorum can't detect a partition that separates more than half of the daemons from
// the service while operators still reach the service. These daemons continue to serve
// until the outage limit.
type quorum struct {
	window                  time.Duration // minimum time for which the highest number of live daemons is kept
	currentMax, previousMax int           // highest number of live daemons in the current and the previous window
	windowStart             time.Time
}

func newQuorum(window time.Duration) *quorum { return &quorum{window: window} }

// observe records the number of live daemons if the confirmation is fresh. With an older one
// a partition may already hide peers, so the number would be too low.
func (q *quorum) observe(now time.Time, live int, staleness time.Duration) {
	if staleness > maxFreshStaleness {
		return
	}
	if now.Sub(q.windowStart) > q.window {
		q.currentMax, q.previousMax = 0, q.currentMax
		q.windowStart = now
	}
	q.currentMax = max(q.currentMax, live)
}

// hasMajority reports whether live is more than half of the highest recorded number.
func (q *quorum) hasMajority(live int) bool { return 2*live > max(q.currentMax, q.previousMax) }

func (d *Daemon) observeQuorum() {
	now := time.Now()
	live := len(d.members.Live())
	d.quorumMu.Lock()
	defer d.quorumMu.Unlock()
	d.quorum.observe(now, live, d.table.Staleness(now))
}

// tableStale reports whether this daemon's table is too old to start requests with.
func (d *Daemon) tableStale() bool {
	age := d.table.Staleness(time.Now())
	if age <= d.config.Table.StaleAfter {
		return false
	}
	if age > d.config.Table.OutageLimit {
		return true
	}
	d.quorumMu.Lock()
	defer d.quorumMu.Unlock()
	return !d.quorum.hasMajority(len(d.members.Live()))
}
