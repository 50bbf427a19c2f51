package spread

import (
	"slices"
	"time"
)

const (
	// silentAfter is how long a peer must not have been heard to count as silent. Peers report several times a
	// second, and datagrams are lost now and then. The lease of a dead daemon lasts longer.
	silentAfter = 2500 * time.Millisecond
	// deafAfter is the time without a report of any peer after which this daemon may be the one that was
	// stalled or cut off.
	deafAfter = time.Second
	// maxSilentShare is the share of the peers that may count as silent. If more are, this daemon is
	// presumably cut off from them.
	maxSilentShare = 1.0 / 3
)

// Silence tracks which peers have stopped to report: they are dead, stalled or cut off. The zero value is ready
// to use; it is not safe for concurrent use.
type Silence struct {
	heard map[string]time.Time // when peers were last heard
	last  time.Time            // when any peer was last heard
	since time.Time            // from when on reports have come without a long break
}

// OnReport records a report of a peer.
func (s *Silence) OnReport(now time.Time, peer string) {
	if s.heard == nil {
		s.heard = map[string]time.Time{}
	}
	if now.Sub(s.last) > deafAfter {
		s.since = now
	}
	s.last, s.heard[peer] = now, now
}

// Silent returns which of the given peers are silent, in their order. Only peers that are given now and were
// heard before can be silent, and none is while this daemon may itself be stalled or cut off.
func (s *Silence) Silent(now time.Time, peers []string) []string {
	s.forget(peers)
	if now.Sub(s.last) > deafAfter || now.Sub(s.since) < silentAfter {
		return nil
	}
	var silent []string
	known := 0
	for _, peer := range peers {
		at, heard := s.heard[peer]
		if !heard {
			continue
		}
		known++
		if now.Sub(at) >= silentAfter {
			silent = append(silent, peer)
		}
	}
	if float64(len(silent)) > maxSilentShare*float64(known) {
		return nil
	}
	return silent
}

// Heard returns how many of the given peers report.
func (s *Silence) Heard(now time.Time, peers []string) int {
	count := 0
	for _, peer := range peers {
		if at, heard := s.heard[peer]; heard && now.Sub(at) < silentAfter {
			count++
		}
	}
	return count
}

// forget removes what is known of other peers.
func (s *Silence) forget(peers []string) {
	if len(s.heard) <= len(peers) {
		return
	}
	for peer := range s.heard {
		if !slices.Contains(peers, peer) {
			delete(s.heard, peer)
		}
	}
}
