package membership

import "time"

// Params are the settings of a Core. Zero values stand for the defaults.
type Params struct {
	Interval            time.Duration // between ticks; 1 s
	SuspectAfter        time.Duration // a daemon that has not answered for this long is suspect; 2 s
	DeadAfter           time.Duration // a suspect that has not answered for this long is dead; 5 s
	ForgetAfter         time.Duration // a dead daemon is forgotten after this; 10 min
	ForgetUnlistedAfter time.Duration // the same for one that is gone from the VM list; 90 s
	Fanout              int           // exchanges begun in each interval; 2
	Seed                uint64        // of the choice of peers
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
	// digestBudget is the average number of members whose digest goes with an exchange:
	// a fleet of N sends its whole digest with every N/digestBudget-th exchange.
	digestBudget = 32
	// maxRumours bounds the news in one message.
	maxRumours = 12
	// reconnectTicks is how often a tick tries a dead member or a seed besides.
	reconnectTicks = 5
	// rumourHold is how long a daemon that was suspected is not suspected aloud again by
	// the same peer: one broken path must not cause news without end.
	rumourHold = time.Minute
	// minFailures is how many exchanges must fail before a member is suspect.
	minFailures = 2
	// urgentFanout is how many peers are told at once of news that can't wait.
	urgentFanout = 3
)
