package mirror

import (
	"sync"
	"time"
)

// relayFresh is how long a peer's word counts that the service tells it of changes. Daemons repeat
// it more than twice in it.
const relayFresh = time.Second

// RelayTracker decides whether a daemon watches the service itself.
//
// Each change costs a call for each daemon that watches, so a few of a group do, and tell the
// others what is new. The failure: those few die, stand still, or are cut off from the service or
// from their peers, and a change passes the others by. Why the guard holds: a daemon leaves the
// watch to peers only while one of them has said within relayFresh that it watches and is
// answered; else it watches, whatever its rank. It is safe for concurrent use.
type RelayTracker struct {
	mu    sync.Mutex
	heard time.Time // when a peer said so last
}

// RecordWatcher notes that a peer watches and is answered.
func (r *RelayTracker) RecordWatcher(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
}

// PeerWatching reports whether some peer watches.
func (r *RelayTracker) PeerWatching(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.heard.IsZero() && now.Sub(r.heard) < relayFresh
}
