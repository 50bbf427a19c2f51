// Package quota bounds the rate of requests that a replica receives from all daemons together.
//
// A replica that has just started or is overloaded crashes, with all requests it runs, if it receives
// many requests at once. Daemons learn of each other's requests only after the fact, and a partitioned
// or stalled daemon learns nothing. Therefore no global count exists: each daemon keeps to a share of
// its own.
//
// Invariant: in any window, daemons with the same membership view send a replica at most half of
// Burst. Burst therefore also holds while there are two different views, for example after a daemon
// has died, or while partitioned daemons use an older list. Only some daemons send to a replica; they
// are selected by a hash of the daemon's and the replica's name.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package quota

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/subset"
)

// Limits bounds the requests that one replica accepts.
type Limits struct {
	PerSecond  float64       // sustained requests per second; zero: unlimited
	Burst      float64       // requests in any Window; at least what PerSecond allows in it
	Window     time.Duration // must be positive
	MaxSenders int           // daemons that may send to the replica; zero: bounded only by the rate
}

// maxColdStartSenders bounds the daemons that send to a replica during its cold start. A few senders
// tolerate the loss of some. With many, the interval between a daemon's requests would be so long that
// most requests would find no daemon that may send.
const maxColdStartSenders = 4

// ColdStartLimits returns the limits of a replica that has just started: a sustained rate per second,
// and a burst in any one second.
func ColdStartLimits(perSecond, burst float64) Limits {
	return Limits{PerSecond: perSecond, Burst: burst, Window: time.Second, MaxSenders: maxColdStartSenders}
}

// Bounded reports whether the limits bound the rate.
func (l Limits) Bounded() bool { return l.PerSecond > 0 }

// minUtilization is the least share of the window's capacity that must stay usable. More senders waste
// more of it, since each sends an integral number of requests per window.
const minUtilization = 0.75

// Share is the maximum number of requests that a daemon sends to a replica in any window, evenly spaced.
type Share struct {
	Requests int // at least one
	Window   time.Duration
}

// Gap returns the minimum interval between two requests.
func (s Share) Gap() time.Duration { return s.Window / time.Duration(s.Requests) }

// Shares returns the number of senders to one replica, at least one, and the share of each.
func (l Limits) Shares(daemons int) (senders int, each Share) {
	capacity := l.capacity()
	if capacity < 1 {
		return 1, l.onePer(1 / capacity)
	}
	whole := int(capacity)
	senders = daemons
	if l.MaxSenders > 0 {
		senders = min(senders, l.MaxSenders)
	}
	for ; senders > 1; senders-- {
		if requests := whole / senders; float64(senders*requests) >= minUtilization*capacity {
			return senders, Share{Requests: requests, Window: l.Window}
		}
	}
	return 1, Share{Requests: whole, Window: l.Window}
}

// IsolatedShare returns the share of a daemon that does not know the other daemons, given an upper bound
// of their number.
func (l Limits) IsolatedShare(daemons int) Share { return l.onePer(float64(daemons) / l.capacity()) }

// maxCapacity is above the requests that all daemons send to a replica in a window. A larger number may not fit in an integer.
const maxCapacity = 1 << 30

// capacity returns the requests that all senders together may send in one window.
func (l Limits) capacity() float64 {
	return min(l.PerSecond*l.Window.Seconds(), l.Burst/2, maxCapacity)
}

// onePer returns the share of one request in the given number of windows.
func (l Limits) onePer(windows float64) Share {
	return Share{Requests: 1, Window: time.Duration(float64(l.Window) * windows)}
}

// IsSender reports whether a daemon is one of the senders to a replica, among the daemons that use it.
func IsSender(self string, daemons []string, replica uint64, senders int) bool {
	return slices.Contains(daemons, self) && subset.IsSelected(self, daemons, replica, senders)
}

// maxRecordedSends bounds the recorded requests. A daemon's share of a window is smaller, except under
// limits so high that the gaps alone enforce them.
const maxRecordedSends = 64

// Pacer records the recent requests of one daemon to one replica. The zero Pacer has no requests.
type Pacer struct{ sent []time.Time }

// Ready reports whether a share allows a request now.
func (p *Pacer) Ready(now time.Time, s Share) bool {
	n := len(p.sent)
	if n > 0 && now.Sub(p.sent[n-1]) < s.Gap() {
		return false
	}
	return n < s.Requests || now.Sub(p.sent[n-s.Requests]) >= s.Window
}

// RecordSent records a request.
func (p *Pacer) RecordSent(now time.Time) {
	if len(p.sent) == maxRecordedSends {
		copy(p.sent, p.sent[1:])
		p.sent = p.sent[:maxRecordedSends-1]
	}
	p.sent = append(p.sent, now)
}

// LastSent returns the time of the last request, or the zero time if there was none.
func (p *Pacer) LastSent() time.Time {
	if len(p.sent) == 0 {
		return time.Time{}
	}
	return p.sent[len(p.sent)-1]
}
