// Package coldstart bounds how many requests a replica gets while it is cold, over all daemons.
//
// A replica that has just started crashes if it gets many requests in a second, with all that
// run there. Daemons learn of each other's requests only after the fact, and one that is cut
// off or stands still learns nothing, so nobody counts for all: each daemon keeps to a share of
// its own.
//
// The invariant: in any second the replica gets at most half of Burst from daemons that agree on
// who sends to it, so that Burst holds also while they are of two minds: where one has died, or a
// part of them is cut off and goes by an older list. Few daemons send at all, chosen by a hash of
// their names and the replica's.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package coldstart

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/subset"
)

// Limits are what one cold replica bears.
type Limits struct {
	PerSecond float64 // requests, lasting; zero: there is no bound
	Burst     float64 // requests in any one second, PerSecond or more
}

// Bounded reports whether there is a bound at all.
func (l Limits) Bounded() bool { return l.PerSecond > 0 }

const (
	// maxSenders bounds the senders to one replica. A few bear the loss of some; with many each
	// could send so seldom that most requests would not find a sender.
	maxSenders = 4
	// usedShare is the least part of what the senders may send together that is given up for
	// having more of them: each sends a whole number of requests a second.
	usedShare = 0.75
)

// Shares returns how many of some daemons send to one cold replica, one at least, and the least
// time between two requests of one of them.
func (l Limits) Shares(daemons int) (senders int, gap time.Duration) {
	room := l.lasting()
	if room < 1 {
		return 1, gapFor(room)
	}
	for senders = min(daemons, maxSenders); senders > 1; senders-- {
		if each := int(room) / senders; float64(senders*each) >= usedShare*room {
			return senders, gapFor(float64(each))
		}
	}
	return 1, gapFor(float64(int(room)))
}

// AloneGap returns the least time between two requests of a daemon that does not know the others,
// if there may be so many.
func (l Limits) AloneGap(daemons int) time.Duration { return gapFor(l.lasting() / float64(daemons)) }

// lasting returns the requests a second that all senders may send together.
func (l Limits) lasting() float64 { return min(l.PerSecond, l.Burst/2) }

func gapFor(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// IsSender reports whether a daemon is among the senders to a replica, of some daemons.
func IsSender(self string, daemons []string, replica uint64, senders int) bool {
	return subset.IsAmong(self, daemons, replica, senders)
}

// Pace is one daemon's share of one cold replica. The zero Pace has sent nothing.
type Pace struct{ next time.Time }

// Ready reports whether a request may be sent now.
func (p *Pace) Ready(now time.Time) bool { return !now.Before(p.next) }

// Take takes leave to send one request now, and reports whether there is any.
func (p *Pace) Take(now time.Time, gap time.Duration) bool {
	if !p.Ready(now) {
		return false
	}
	p.next = now.Add(gap)
	return true
}
