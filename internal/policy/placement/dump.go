package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// LinkDump is the entry of one link in a daemon's state dump.
type LinkDump struct {
	Store       request.StoreID `json:"store"`
	BytesPerSec float64         `json:"bytes_per_sec"`
	QueuedBytes int64           `json:"queued_bytes"`
	Down        bool            `json:"down"`
	Failures    int             `json:"failures"`
}

// Dump returns the state of all links, sorted by store.
func (l *Links) Dump(now time.Time) []LinkDump {
	dump := make([]LinkDump, 0, len(l.links))
	for store, k := range l.links {
		s := l.State(store, now)
		dump = append(dump, LinkDump{Store: store, BytesPerSec: s.BytesPerSec, QueuedBytes: s.QueuedBytes, Down: s.Down, Failures: k.failures})
	}
	slices.SortFunc(dump, func(a, b LinkDump) int { return cmp.Compare(a.Store, b.Store) })
	return dump
}
