package daemon

import "time"

// freshProof is the age up to which a proof that the table is current tells that the
// service is reached, directly or by way of peers.
const freshProof = 8 * time.Second

// quorum tells an outage of the key-value service from a daemon that is cut off.
//
// Neither has a proof that the table is current. In an outage nobody can edit the table,
// so what the daemons have is current, and refusing every prompt for as long as it lasts
// would help nobody. A daemon that is cut off may miss edits that others follow: callers
// would get two answers to one question, depending on the daemon asked. The difference
// that it can see is its peers: while it still sees more than half of the daemons that
// it saw when it last had a proof, the service is away; else it is the daemon.
//
// What this can not tell: a part with more than half of the daemons that is cut off
// from the service while operators still reach it. It goes on until the outage limit.
type quorum struct {
	window   time.Duration // over which the most daemons seen are remembered, at least
	now, old int           // most seen in the present window and in the one before
	turned   time.Time
}

func newQuorum(window time.Duration) *quorum { return &quorum{window: window} }

// observe takes the number of live daemons and the age of the proof. Only what was seen
// with a fresh proof counts: later the peers are already missing.
func (q *quorum) observe(now time.Time, live int, proof time.Duration) {
	if proof > freshProof {
		return
	}
	if now.Sub(q.turned) > q.window {
		q.now, q.old = 0, q.now
		q.turned = now
	}
	q.now = max(q.now, live)
}

// reached tells whether live daemons are more than half of those seen.
func (q *quorum) reached(live int) bool { return 2*live > max(q.now, q.old) }

func (d *Daemon) observeQuorum() {
	now := time.Now()
	live := len(d.members.Live())
	d.quorumMu.Lock()
	defer d.quorumMu.Unlock()
	d.quorum.observe(now, live, d.table.ProofAge(now))
}

// tableStale tells whether this daemon must not start requests by its table any more.
func (d *Daemon) tableStale() bool {
	age := d.table.ProofAge(time.Now())
	if age <= d.config.Table.StaleAfter {
		return false
	}
	if age > d.config.Table.OutageLimit {
		return true
	}
	d.quorumMu.Lock()
	defer d.quorumMu.Unlock()
	return !d.quorum.reached(len(d.members.Live()))
}
