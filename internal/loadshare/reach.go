package loadshare

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	maxLost = 32 // lost services in one datagram, 8 bytes each
	// reachTTL is how long a peer's report of lost services counts. A peer repeats it with each full report; the one that
	// says that it reaches them again may be lost.
	reachTTL = 3*fullReportInterval + reportInterval
)

// ownReach is what this daemon last reported of its own reach. The Reporter's mutex guards it.
type ownReach struct {
	lost   []uint64
	sentAt time.Time
}

// due returns what to report of the services that this daemon has lost, nil if nothing. While it has lost none, it reports
// that once.
func (o *ownReach) due(now time.Time, lost []routing.ServiceID) *Reach {
	if len(lost) == 0 && len(o.lost) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, min(len(lost), maxLost))
	for _, id := range lost[:min(len(lost), maxLost)] {
		hashes = append(hashes, uint64(HashService(id)))
	}
	if slices.Equal(hashes, o.lost) && now.Sub(o.sentAt) < fullReportInterval-reportSlack {
		return nil
	}
	o.lost, o.sentAt = hashes, now
	return &Reach{Lost: hashes}
}

// peerReach is which services' replicas peers do not reach. The zero value is ready to use; it is safe for concurrent use.
type peerReach struct {
	mu   sync.Mutex
	lost map[request.DaemonID]lostServices
}

type lostServices struct {
	hashes []uint64
	at     time.Time
}

// apply records what a peer reports, nil if it reports nothing of its reach.
func (p *peerReach) apply(now time.Time, peer request.DaemonID, r *Reach) {
	if r == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(r.Lost) == 0 {
		delete(p.lost, peer)
		return
	}
	if p.lost == nil {
		p.lost = map[request.DaemonID]lostServices{}
	}
	for id, reported := range p.lost {
		if now.Sub(reported.at) > reachTTL {
			delete(p.lost, id)
		}
	}
	p.lost[peer] = lostServices{hashes: slices.Clone(r.Lost[:min(len(r.Lost), maxLost)]), at: now}
}

// has reports whether a peer has lost a service.
func (p *peerReach) has(now time.Time, peer request.DaemonID, service routing.ServiceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported, lost := p.lost[peer]
	return lost && now.Sub(reported.at) <= reachTTL && slices.Contains(reported.hashes, uint64(HashService(service)))
}

// count returns the number of services that a peer has lost.
func (p *peerReach) count(now time.Time, peer request.DaemonID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reported, lost := p.lost[peer]; lost && now.Sub(reported.at) <= reachTTL {
		return len(reported.hashes)
	}
	return 0
}

// PeerHasLost reports whether a peer says that it reaches no replica of a service.
func (s *Reporter) PeerHasLost(peer request.DaemonID, service routing.ServiceID) bool {
	return s.peerReach.has(time.Now(), peer, service)
}

// LostByPeer returns how many services a peer says that it reaches no replica of.
func (s *Reporter) LostByPeer(peer request.DaemonID) int { return s.peerReach.count(time.Now(), peer) }
