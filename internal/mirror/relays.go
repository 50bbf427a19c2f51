package mirror

import (
	"maps"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// reportTTL is how long a peer's report that it watches the key-value service, or hears a daemon that
// does, stays valid. Daemons repeat the report more than twice within it.
const reportTTL = time.Second

// ReportTracker tracks the reports of peers that pass on changes of the key-value service, which lets a
// daemon do without a watch.
//
// Each change costs one call for each watching daemon. Therefore only a few daemons watch and pass
// changes on to the others. These few may die, stall, or be partitioned from the service or from
// their peers, and the others would then miss changes. A daemon relies on its peers only while one of
// them has reported within reportTTL that its last watch succeeded, or that it heard of such a daemon
// within reportTTL. Otherwise the daemon watches, whatever its place. ReportTracker is safe for
// concurrent use.
type ReportTracker struct {
	mu         sync.Mutex
	lastReport time.Time
}

// Record records a report.
func (r *ReportTracker) Record(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReport = now
}

// Recent reports whether a report is valid at time now.
func (r *ReportTracker) Recent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastReport.IsZero() && now.Sub(r.lastReport) < reportTTL
}

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
	p.lastReport[peer] = now
}

// Count returns the number of peers whose report is valid at time now.
func (p *PeerTracker) Count(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lastReport, func(_ request.DaemonID, at time.Time) bool { return now.Sub(at) >= reportTTL })
	return len(p.lastReport)
}
