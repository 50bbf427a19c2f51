package membership

import "time"

// Params configures a Core. A zero value selects the default.
type Params struct {
	Interval            time.Duration // time between ticks; default 1 s
	SuspectAfter        time.Duration // a member that has not answered for this long becomes suspect; default 2 s
	DeadAfter           time.Duration // a suspect that has not answered for this long becomes dead; default 5 s
	ForgetAfter         time.Duration // a dead member is removed after this time; default 10 min
	ForgetUnlistedAfter time.Duration // the same for a member missing from the VM list; default 90 s
	Fanout              int           // exchanges started in each interval; default 2
	Seed                uint64        // seed of the random choice of peers
}

func (p Params) withDefaults() Params {
	set := func(d *time.Duration, fallback time.Duration) {
		if *d == 0 {
			*d = fallback
		}
	}
	set(&p.Interval, time.Second)
	set(&p.SuspectAfter, 2*time.Second)
	set(&p.DeadAfter, 5*time.Second)
	set(&p.ForgetAfter, 10*time.Minute)
	set(&p.ForgetUnlistedAfter, 90*time.Second)
	if p.Fanout == 0 {
		p.Fanout = 2
	}
	return p
}

const (
	// digestBudget is the average number of digest entries in an exchange: a daemon of a
	// fleet of N sends its complete digest with every N/digestBudget-th exchange.
	digestBudget = 32
	// maxUpdates limits the queued updates in one message.
	maxUpdates = 12
	// reconnectTicks is the interval, in ticks, at which a daemon additionally contacts a
	// dead member or a seed.
	reconnectTicks = 5
	// suspicionInterval is the minimum time between two broadcasts of one daemon's
	// suspicion of the same member. Without it, a single broken network path would cause
	// an endless stream of updates.
	suspicionInterval = time.Minute
	// minFailures is the number of exchanges that must fail before a member is suspect.
	minFailures = 2
	// urgentFanout is the number of peers that receive an urgent update at once.
	urgentFanout = 3
)
