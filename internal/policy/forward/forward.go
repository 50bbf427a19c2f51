// Package forward decides when a daemon sends a caller's request to another daemon instead of a replica, and to which.
//
// A daemon that is partitioned from the replicas still reaches the daemons that are not. Invariants: a request is forwarded
// by the daemon that its caller chose and by no other, to MaxPeers daemons at most, one after the other; and never to a
// daemon that is known to have lost the same replicas. When all daemons have, nothing is forwarded, and callers are refused
// at once.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package forward

import "github.com/cespare/xxhash/v2"

// MaxPeers is the number of daemons to which a request may be forwarded. The first may have lost the replicas a moment ago.
const MaxPeers = 2

// Situation is what a daemon knows when it is to send a request.
type Situation struct {
	Received  bool // another daemon forwarded the request to this one
	Lost      bool // this daemon reaches none of the service's replicas
	Suspected bool // this daemon may have lost the path to all replicas
	// Unplaced is set if this daemon knows no replica for the request.
	Unplaced bool
	Unsent   int // attempts of the request that reached no replica
	Peers    int // daemons to which the request was forwarded
}

// Forwards reports whether the request goes to another daemon. While the loss is only suspected, a request goes there once
// it was itself held up by it. One for which no replica is left after some could not be reached goes there in any case: open
// connections may live on while new ones are refused, so that the path works for others.
func (s Situation) Forwards() bool {
	switch {
	case s.Received || s.Peers >= MaxPeers:
		return false
	case s.Lost || s.Unplaced && s.Unsent > 0:
		return true
	default:
		return s.Suspected && (s.Unplaced || s.Unsent > 0)
	}
}

// Peer is another daemon.
type Peer struct {
	Name     string
	InFlight int     // requests that this daemon has forwarded to it and that have not ended
	Weight   float64 // what it can carry, relative to others; not positive: unknown
	// Lost is set if it does not reach the service's replicas, or has refused a request of this daemon just now.
	Lost bool
}

// Choose returns the index of the peer that gets a request, and false if none may. It is the one with the fewest requests of
// this daemon for what it can carry. Equal ones are told apart by the request, so that daemons that lose the replicas
// together do not all choose the same.
func Choose(peers []Peer, requestKey uint64) (index int, found bool) {
	var least float64
	var lowest uint64
	for i, p := range peers {
		if p.Lost {
			continue
		}
		load, score := float64(p.InFlight+1)/p.weight(), hash(requestKey, p.Name)
		if !found || load < least || load == least && score < lowest {
			index, found, least, lowest = i, true, load, score
		}
	}
	return index, found
}

func (p *Peer) weight() float64 {
	if p.Weight > 0 {
		return p.Weight
	}
	return 1
}

func hash(key uint64, name string) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(name) // never fails
	return d.Sum64()
}
