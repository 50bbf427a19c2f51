package loadshare

import (
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// maxSenders bounds the names in which reports are accepted at the same time.
	maxSenders = 4096
	// maxSenderBytes is the longest such name: that of a daemon is a part of a key.
	maxSenderBytes = bounds.MaxKeyBytes
	// senderTTL is how long a name is remembered without a report.
	senderTTL = 10 * time.Second
	// sweepInterval is the shortest time between two searches for names that have expired, while there is no room.
	sweepInterval = time.Second
)

// senders are the names in which reports have come: anybody who reaches the port can send in any name, and for each something is remembered. The
// zero value is ready to use; it is safe for concurrent use.
type senders struct {
	mu      sync.Mutex
	heard   map[request.DaemonID]time.Time
	sweptAt time.Time
}

// admit reports whether a report in a name is accepted, and returns the names that have expired. Known names are always accepted.
func (s *senders) admit(now time.Time, name request.DaemonID) (expired []request.DaemonID, ok bool) {
	if len(name) > maxSenderBytes {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = map[request.DaemonID]time.Time{}
	}
	if _, known := s.heard[name]; !known && len(s.heard) >= maxSenders {
		if expired = s.sweep(now); len(expired) == 0 {
			return nil, false
		}
	}
	s.heard[name] = now
	return expired, true
}

// sweep removes and returns the names that have expired. The mutex must be held.
func (s *senders) sweep(now time.Time) (expired []request.DaemonID) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return nil
	}
	s.sweptAt = now
	for name, at := range s.heard {
		if now.Sub(at) > senderTTL {
			delete(s.heard, name)
			expired = append(expired, name)
		}
	}
	return expired
}
