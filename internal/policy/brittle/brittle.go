// Package brittle bounds how many requests a replica has to reject.
//
// A brittle replica falls over, with all that it runs, if it rejects more requests in a second than it announces. How many it
// accepts is not announced, and may be fewer than it has slots. Daemons learn of each other's requests only after the fact.
//
// Each daemon therefore keeps to its share of what the replica is known to accept, its base. Beyond that it sends probes, rarely,
// whose outcome raises or lowers the base. Invariant: of daemons with the same view of each other, requests within the base are
// rejected at most a quarter as often as announced, probes a quarter, and requests of daemons without a share in these at most
// half: who has used up its share rests.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package brittle

import "time"

const (
	// window is the time in which a replica counts rejections.
	window = time.Second
	// probeTime is how long a request without an answer may still be rejected. A replica rejects within a round trip.
	probeTime = 250 * time.Millisecond
	// capacityShare is the part of the announced rejections that daemons with one view of each other use.
	capacityShare = 0.25
	// withoutShare is the part of the announced rejections that daemons without a share may cause together.
	withoutShare = 0.5
	// turnTime is the length of a turn: by the next one, daemons know of the requests of the last.
	turnTime = 100 * time.Millisecond
	// probePause is how long a daemon whose probe was rejected sends no other one.
	probePause = 2 * time.Second
	// endDelay is how long answers must not have announced a limit for it to end. Answers overtake each other.
	endDelay = time.Second
	// keptShare is the part of its load with which a replica rejected a request that it is expected to accept.
	keptShare = 0.875
	// maxRecorded bounds the recorded rejections and probes. Larger shares are cut.
	maxRecorded = 64
)

// Share is a daemon's place among those that use a replica.
type Share struct {
	Daemons int // at least one
	Rank    int // of this daemon for the replica, from 0; no two daemons have the same
}

// of returns this daemon's part of a number of places.
func (s Share) of(places int) int {
	daemons := max(1, s.Daemons)
	part := places / daemons
	if s.Rank < places%daemons {
		part++
	}
	return part
}

// Load is the number of requests at a replica.
type Load struct {
	Own   int // of this daemon
	Total int // of all daemons, as far as this one knows
	Slots int // that the replica names; zero: unknown
}

// State is what a daemon knows of one replica's limit on rejections. The zero value has no limit. It is not safe for
// concurrent use.
type State struct {
	share       Share       // of this daemon, as in the last call of Allows
	limit       float64     // rejections in any second; zero: no limit
	announcedAt time.Time   // when an answer last announced a limit
	base        int         // requests that the replica is known to accept at the same time
	restUntil   time.Time   // this daemon sends nothing until then
	probeAfter  time.Time   // it sends no probe before
	raisedAt    time.Time   // when the base last followed the load
	rejected    []time.Time // rejections of requests within the base
	probes      []time.Time // requests beyond the base whose outcome is not known, oldest first
}

// Limit returns the announced limit, zero if there is none.
func (s *State) Limit() float64 { return s.limit }

// Base returns the number of requests that the replica is known to accept at the same time.
func (s *State) Base() int { return s.base }

// Announce records the limit that an answer announces, zero for none, and reports whether a limit begins or ends.
func (s *State) Announce(now time.Time, limit float64, load Load) (changed bool) {
	switch {
	case limit > 0:
		changed = s.limit == 0
		if changed {
			s.base = max(load.Total, 1)
		}
		s.limit, s.announcedAt = limit, now
	case s.limit > 0 && now.Sub(s.announcedAt) > endDelay:
		*s = State{}
		changed = true
	}
	return changed
}

// Allows reports whether this daemon may send the replica a request now.
func (s *State) Allows(now time.Time, load Load, share Share) bool {
	if s.limit == 0 {
		return true
	}
	s.share = share
	s.follow(now, load)
	switch {
	case now.Before(s.restUntil):
		return false
	case s.withinBase(now, load):
		return true
	case load.Slots > 0 && load.Total >= load.Slots:
		return false
	}
	s.expire(now)
	return !now.Before(s.probeAfter) && len(s.probes) < min(maxRecorded, share.of(s.capacity()))
}

// follow raises the base slowly to a load that the replica carries: other daemons may know that it accepts more.
func (s *State) follow(now time.Time, load Load) {
	if load.Total > s.base && now.Sub(s.raisedAt) >= turnTime {
		s.base++
		s.raisedAt = now
	}
}

// withinBase reports whether one more request of this daemon is within its share of the base. More daemons than there are
// places take turns, as many at a time as places are free as far as each knows.
func (s *State) withinBase(now time.Time, load Load) bool {
	share := s.share
	if share.Daemons <= s.base {
		return load.Own < share.of(s.base)
	}
	turn := (int64(share.Rank) + now.UnixMilli()/turnTime.Milliseconds()) % int64(share.Daemons)
	return load.Own == 0 && turn < int64(s.base-load.Total)
}

// capacity returns the rejections that all daemons together may cause in any second. One daemon may always probe: without
// probes nobody would learn that the replica accepts more.
func (s *State) capacity() int { return max(1, int(s.limit*capacityShare)) }

// OnSent records a request for which Allows was true.
func (s *State) OnSent(now time.Time, load Load) {
	if s.limit > 0 && !s.withinBase(now, load) {
		s.probes = append(s.probes, now)
	}
}

// OnAccepted records that the replica accepted a request.
func (s *State) OnAccepted(now time.Time, load Load) {
	if s.limit == 0 {
		return
	}
	s.expire(now)
	if len(s.probes) > 0 {
		s.probes = s.probes[1:]
	}
	s.base = max(s.base, load.Total)
	if load.Slots > 0 {
		s.base = min(s.base, load.Slots)
	}
}

// OnRejected records that the replica rejected a request of this daemon.
func (s *State) OnRejected(now time.Time, load Load) {
	if s.limit == 0 {
		return
	}
	s.expire(now)
	if len(s.probes) > 0 {
		s.probes = s.probes[1:]
		s.probeAfter = now.Add(probePause)
		s.lowerTo(load.Total - 1)
		return
	}
	if len(s.rejected) < maxRecorded {
		s.rejected = append(s.rejected, now)
	}
	s.lowerTo(min(s.base-1, int(keptShare*float64(load.Total))))
	if own := s.share.of(s.capacity()); len(s.rejected) >= own {
		s.restUntil = now.Add(s.rest(own))
	}
}

// rest returns how long a daemon sends nothing once it has used up its share of the rejections.
func (s *State) rest(own int) time.Duration {
	if own > 0 {
		return window
	}
	perSecond := max(1, s.limit*withoutShare)
	return time.Duration(float64(max(1, s.share.Daemons)) / perSecond * float64(window))
}

// OnPeerRejected records that the replica rejected a request of another daemon.
func (s *State) OnPeerRejected(load Load) {
	if s.limit > 0 {
		s.lowerTo(load.Total - 1)
	}
}

func (s *State) lowerTo(base int) { s.base = max(1, min(s.base, base)) }

// expire drops rejections and probes that no longer count.
func (s *State) expire(now time.Time) {
	s.rejected = since(s.rejected, now.Add(-window))
	s.probes = since(s.probes, now.Add(-probeTime))
}

// since returns the times of an ascending list that are not before a given one.
func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}
