package table

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// NeverConfirmed is the value that Staleness returns before the first confirmation.
const NeverConfirmed = time.Duration(math.MaxInt64)

// maxResponseBytes bounds the pages in one response to a peer; the peer requests the rest.
const maxResponseBytes = 1 << 20

// ReplicaOptions configures a Replica. Zero durations stand for the defaults.
type ReplicaOptions struct {
	KV      platform.KV
	Logger  hclog.Logger     // nil: no logs
	Metrics tally.Scope      // nil: no metrics
	Now     func() time.Time // nil: time.Now
	Timing  Timing
}

// Replica is a daemon's copy of the table. It replaces a page only by a higher revision,
// from the key-value service or from a peer, so that an older copy never reverts an accepted
// edit that the replica has applied. It is safe for concurrent use.
//
// The replica is confirmed at the latest time at which its table was known to equal the one
// in the key-value service.
type Replica struct {
	kv      platform.KV
	log     hclog.Logger
	metrics tally.Scope
	now     func() time.Time
	timing  Timing

	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // guards the fields below and replacement of current
	changed     chan struct{}
	confirmedAt time.Time // zero: never
}

// NewReplica returns an empty replica that has never been confirmed.
func NewReplica(o ReplicaOptions) *Replica {
	r := &Replica{kv: o.KV, log: o.Logger, metrics: o.Metrics, now: o.Now, timing: o.Timing.withDefaults()}
	if r.log == nil {
		r.log = hclog.NewNullLogger()
	}
	if r.metrics == nil {
		r.metrics = tally.NoopScope
	}
	if r.now == nil {
		r.now = time.Now
	}
	r.changed = make(chan struct{})
	r.current.Store(newSnapshot(nil))
	return r
}

// Current returns the replica's latest snapshot.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// Changed returns a channel that is closed at the next change of Current. Callers must call
// Changed before Current in order not to miss a change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Merge applies the pages that are newer than the replica's own and returns their number. It
// skips a page that can't be decoded and keeps the earlier one.
func (r *Replica) Merge(pages []*peer.Page) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged, _ := r.merge(pages)
	return merged
}

// merge also returns how many pages it rejected as undecodable. The caller holds r.mu.
func (r *Replica) merge(pages []*peer.Page) (merged, rejected int) {
	held := r.current.Load().pages
	next := maps.Clone(held)
	if next == nil {
		next = make(map[string]*decodedPage)
	}
	for _, p := range pages {
		if old, ok := next[p.Name]; ok && old.revision >= p.Revision {
			continue
		}
		decoded, err := decodePageRows(p.Name, p.Revision, p.Value)
		if err != nil {
			r.log.Error("Page cannot be decoded; earlier revision kept", "page", p.Name, "revision", p.Revision, "error", err)
			r.metrics.Counter("table_pages_refused").Inc(1)
			rejected++
			continue
		}
		next[p.Name] = decoded
		merged++
	}
	if merged > 0 {
		r.publish(newSnapshot(next))
	}
	return merged, rejected
}

func (r *Replica) publish(s *Snapshot) {
	r.current.Store(s)
	close(r.changed)
	r.changed = make(chan struct{})
	r.metrics.Gauge("table_revision").Update(float64(s.revision))
	r.log.Info("Table updated", "revision", s.revision, "hash", s.hash)
}

// Digest returns the hash over all pages, and each page's revision ordered by page name.
func (r *Replica) Digest() (uint64, []*peer.PageDigest) {
	s := r.current.Load()
	return s.hash, s.digest()
}

func (s *Snapshot) digest() []*peer.PageDigest {
	digest := make([]*peer.PageDigest, 0, len(s.pages))
	for _, p := range sortedValues(s.pages) {
		digest = append(digest, &peer.PageDigest{Page: p.name, Revision: p.revision})
	}
	return digest
}

// PagesNewerThan returns the replica's pages whose revisions are higher than those listed in
// have. The result is bounded in bytes; a caller merges it and calls again for the rest.
func (r *Replica) PagesNewerThan(have []*peer.PageDigest) []*peer.Page {
	known := make(map[string]uint64, len(have))
	for _, d := range have {
		known[d.Page] = d.Revision
	}
	var pages []*peer.Page
	size := 0
	for _, p := range sortedValues(r.current.Load().pages) {
		if p.revision <= known[p.name] {
			continue
		}
		size += len(p.value)
		if size > maxResponseBytes && len(pages) > 0 {
			break
		}
		pages = append(pages, &peer.Page{Name: p.name, Revision: p.revision, Value: p.value})
	}
	return pages
}

// IsBehind reports whether a digest lists a page at a higher revision than the replica has.
func (r *Replica) IsBehind(theirs []*peer.PageDigest) bool {
	held := r.current.Load().pages
	for _, d := range theirs {
		p, ok := held[d.Page]
		if !ok || p.revision < d.Revision {
			return true
		}
	}
	return false
}

// Staleness returns the time since the replica was confirmed, or NeverConfirmed. A daemon
// accepts no new requests while its replica is staler than its settings allow, because it
// may have missed an accepted edit.
func (r *Replica) Staleness(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt.IsZero() {
		return NeverConfirmed
	}
	return max(0, now.Sub(r.confirmedAt))
}

// PeerConfirmation is a peer's latest confirmation as its response to a request carries it.
type PeerConfirmation struct {
	Age   time.Duration // staleness of the peer's replica when it responded
	Hash  uint64
	Pages []*peer.PageDigest // may be empty if the hashes are equal
}

// ConfirmFromPeer adopts the confirmation in a peer's response to a request that was sent at
// sent, and reports whether it is valid. The confirmation is valid for this replica only if
// the replica has every page revision that the peer has. Its age counts from the sending of
// the request, so that network delay makes the confirmation older, never younger.
// Confirmations in a peer's requests are not adopted, since their time in transit is unknown.
func (r *Replica) ConfirmFromPeer(sent time.Time, p PeerConfirmation) bool {
	if p.Age == NeverConfirmed {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Hash != r.current.Load().hash {
		if len(p.Pages) == 0 || r.IsBehind(p.Pages) {
			return false
		}
	}
	r.confirm(sent.Add(-p.Age))
	return true
}

func (r *Replica) confirm(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}
