// Package quota bounds how many requests a replica gets, over all daemons.
//
// A replica that has just started, or is overloaded, fails if it gets many requests at once, with
// all that run there. Daemons learn of each other's requests only after the fact, and one that is cut
// off or stands still learns nothing, so nobody counts for all: each daemon keeps to a share of
// its own.
//
// The invariant: in any window the replica gets at most half of Burst from daemons that agree on
// who sends to it, so that Burst holds also while they are of two minds: where one has died, or a
// part of them is cut off and goes by an older list. Only some daemons send at all, chosen by a hash
// of their names and the replica's.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package quota

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/subset"
)

// Limits are what one replica bears.
type Limits struct {
	PerSecond  float64       // requests, lasting; zero: there is no bound
	Burst      float64       // requests in any one Window, what PerSecond allows there or more
	Window     time.Duration // above zero
	MaxSenders int           // daemons that send at all; zero: as many as may send often enough
}

// maxColdSenders bounds the senders to one cold replica. A few bear the loss of some; with many each
// could send so seldom that most requests would not find a sender.
const maxColdSenders = 4

// ColdStartLimits returns what a replica bears that has just started: some requests a second, lasting, and
// a burst in any one second.
func ColdStartLimits(perSecond, burst float64) Limits {
	return Limits{PerSecond: perSecond, Burst: burst, Window: time.Second, MaxSenders: maxColdSenders}
}

// Bounded reports whether there is a bound at all.
func (l Limits) Bounded() bool { return l.PerSecond > 0 }

// usedShare is the least part of what the senders may send together that is given up for having
// more of them: each sends a whole number of requests in a window.
const usedShare = 0.75

// Share is how many requests a daemon sends to a replica at most in any window, evenly spaced.
type Share struct {
	Requests int // one or more
	Window   time.Duration
}

// Gap returns the least time between two requests.
func (s Share) Gap() time.Duration { return s.Window / time.Duration(s.Requests) }

// Shares returns how many of some daemons send to one replica, one at least, and the share of each.
func (l Limits) Shares(daemons int) (senders int, each Share) {
	room := l.room()
	if room < 1 {
		return 1, l.oneIn(1 / room)
	}
	senders = daemons
	if l.MaxSenders > 0 {
		senders = min(senders, l.MaxSenders)
	}
	for ; senders > 1; senders-- {
		if requests := int(room) / senders; float64(senders*requests) >= usedShare*room {
			return senders, Share{Requests: requests, Window: l.Window}
		}
	}
	return 1, Share{Requests: int(room), Window: l.Window}
}

// IsolatedShare returns the share of a daemon that does not know the others, if there may be so many.
func (l Limits) IsolatedShare(daemons int) Share { return l.oneIn(float64(daemons) / l.room()) }

// room returns the requests that all senders may send together in one window.
func (l Limits) room() float64 { return min(l.PerSecond*l.Window.Seconds(), l.Burst/2) }

// oneIn returns the share of one request in some windows.
func (l Limits) oneIn(windows float64) Share {
	return Share{Requests: 1, Window: time.Duration(float64(l.Window) * windows)}
}

// IsSender reports whether a daemon is among the senders to a replica, of those that use it.
func IsSender(self string, users []string, replica uint64, senders int) bool {
	return slices.Contains(users, self) && subset.IsSelected(self, users, replica, senders)
}

// maxSent bounds the requests that are remembered. A daemon's share of a window is below that but
// for limits so high that the gaps alone keep to them.
const maxSent = 64

// Pacer is what one daemon sent to one replica of late. The zero Pace has sent nothing.
type Pacer struct{ sent []time.Time }

// Ready reports whether a share leaves room for a request now.
func (p *Pacer) Ready(now time.Time, s Share) bool {
	n := len(p.sent)
	if n > 0 && now.Sub(p.sent[n-1]) < s.Gap() {
		return false
	}
	return n < s.Requests || now.Sub(p.sent[n-s.Requests]) >= s.Window
}

// RecordSent notes a request.
func (p *Pacer) RecordSent(now time.Time) {
	if len(p.sent) == maxSent {
		copy(p.sent, p.sent[1:])
		p.sent = p.sent[:maxSent-1]
	}
	p.sent = append(p.sent, now)
}

// LastSent returns when the last request was sent; the zero time: never.
func (p *Pacer) LastSent() time.Time {
	if len(p.sent) == 0 {
		return time.Time{}
	}
	return p.sent[len(p.sent)-1]
}
