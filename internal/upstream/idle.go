package upstream

import "time"

const (
	// minBreaks is the number of consecutive reused connections that must break before a limit on the
	// idle time is assumed. A single break may be a lost response.
	minBreaks = 2
	// minIdle is the shortest idle time after which a break counts as evidence of a limit.
	minIdle = 50 * time.Millisecond
	// idleLimitShare is the assumed limit as a share of the idle time of the connection that broke.
	idleLimitShare = 0.7
	// idleLimitTTL is how long a limit is effective. Afterwards connections with longer idle times are reused again.
	idleLimitTTL = 20 * time.Second
)

// idleLimit learns how long a peer keeps idle connections. Some peers drop them silently, long before
// the timeout that they announce. The next request on such a connection is reset, and a call that
// must run at most once fails because it is unknown whether it ran.
type idleLimit struct {
	breaks     int           // consecutive breaks of reused connections
	limit      time.Duration // zero: no limit
	limitUntil time.Time     // expiry of the limit
}

// recordBreak records that a connection broke before a response, after the given idle time.
func (r *idleLimit) recordBreak(now time.Time, idle time.Duration) {
	if idle < minIdle {
		return
	}
	r.breaks++
	if r.breaks < minBreaks {
		return
	}
	limit := time.Duration(idleLimitShare * float64(idle))
	if r.limit == 0 || limit < r.limit || now.After(r.limitUntil) {
		r.limit = limit
	}
	r.limitUntil = now.Add(idleLimitTTL)
}

// recordSuccess records that a connection was usable after the given idle time.
func (r *idleLimit) recordSuccess(idle time.Duration) {
	if idle >= minIdle {
		r.breaks = 0
	}
}

// allows reports whether a connection with the given idle time may be reused.
func (r *idleLimit) allows(now time.Time, idle time.Duration) bool {
	return r.limit == 0 || now.After(r.limitUntil) || idle < r.limit
}
