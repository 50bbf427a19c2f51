package mirror

import (
	"sync"
	"time"
)

// watcherTTL is how long a peer's report that it watches the key-value service stays valid.
// Daemons repeat the report more than twice within it.
const watcherTTL = time.Second

// RelayTracker tracks whether a peer watches the key-value service, which lets a daemon do
// without a watch.
//
// Each change costs one call for each watching daemon. Therefore only a few daemons of a group
// watch and relay changes to the others. These few may die, stall, or be partitioned from the
// service or from their peers, and the others would then miss changes. A daemon relies on its
// peers only while one of them has reported within watcherTTL that it watches and that its last
// watch succeeded. Otherwise the daemon watches, whatever its rank. RelayTracker is safe for
// concurrent use.
type RelayTracker struct {
	mu         sync.Mutex
	lastReport time.Time // last report of a watching peer
}

// RecordWatcher records a peer's report that it watches the key-value service successfully.
func (r *RelayTracker) RecordWatcher(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReport = now
}

// PeerWatching reports whether a peer's report is valid at time now.
func (r *RelayTracker) PeerWatching(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastReport.IsZero() && now.Sub(r.lastReport) < watcherTTL
}
