package mirror

import (
	"maps"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// reportTTL is how long a peer's report that the key-value service answers it, or does not, stays valid. Daemons
// repeat the report more than twice within it.
const reportTTL = time.Second

// prunedPeers is the number of remembered peers from which on each report drops those that are no longer valid.
const prunedPeers = 1024

// PeerTracker counts the peers that made a report recently. It is safe for concurrent use.
type PeerTracker struct {
	mu         sync.Mutex
	lastReport map[request.DaemonID]time.Time
}

// Record records a peer's report.
func (p *PeerTracker) Record(now time.Time, peer request.DaemonID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastReport == nil {
		p.lastReport = map[request.DaemonID]time.Time{}
	}
	if len(p.lastReport) >= prunedPeers {
		p.prune(now)
	}
	p.lastReport[peer] = now
}

// Reports reports whether a peer's report is valid at time now.
func (p *PeerTracker) Reports(now time.Time, peer request.DaemonID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	_, reports := p.lastReport[peer]
	return reports
}

// Count returns the number of peers whose report is valid at time now.
func (p *PeerTracker) Count(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	return len(p.lastReport)
}

// prune drops reports that are no longer valid.
func (p *PeerTracker) prune(now time.Time) {
	maps.DeleteFunc(p.lastReport, func(_ request.DaemonID, at time.Time) bool { return now.Sub(at) >= reportTTL })
}
