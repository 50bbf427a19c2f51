package mirror

import (
	"sync"
	"time"
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
