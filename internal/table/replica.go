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

// NeverConfirmed is the age that Confirmed returns before the first proof.
const NeverConfirmed = time.Duration(math.MaxInt64)

// maxAnswerBytes bounds the pages in one answer to a peer; the peer asks again.
const maxAnswerBytes = 1 << 20

// ReplicaOptions configures a Replica. Zero durations stand for the defaults.
type ReplicaOptions struct {
	KV      platform.KV
	Logger  hclog.Logger     // nil: no logs
	Metrics tally.Scope      // nil: no metrics
	Now     func() time.Time // nil: time.Now
	Timing  Timing
}

// Replica is a daemon's copy of the table. It takes a page only at a higher revision,
// from the service or from a peer, so an accepted edit that was once in force here is
// never undone by an older copy. It is safe for concurrent use.
type Replica struct {
	kv      platform.KV
	log     hclog.Logger
	metrics tally.Scope
	now     func() time.Time
	timing  Timing

	current atomic.Pointer[Snapshot]

	mu      sync.Mutex // guards what follows and replacing current
	changed chan struct{}
	proof   time.Time // when the table was last known to be the service's; zero: never
}

// NewReplica returns an empty replica that has no proof yet.
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

// Current returns the table in force here.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// Changed returns a channel that is closed at the next change of Current. Take it before
// reading Current, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Merge takes the pages that are newer than those held and returns how many it took. A
// page that can't be decoded is left out, and the earlier one stays in force.
func (r *Replica) Merge(pages []*peer.Page) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken, _ := r.merge(pages)
	return taken
}

// merge also returns how many pages were refused as undecodable.
func (r *Replica) merge(pages []*peer.Page) (taken, refused int) {
	held := r.current.Load().pages
	next := maps.Clone(held)
	if next == nil {
		next = make(map[string]*livePage)
	}
	for _, p := range pages {
		if old, ok := next[p.Name]; ok && old.revision >= p.Revision {
			continue
		}
		live, err := decodeLive(p.Name, p.Revision, p.Value)
		if err != nil {
			r.log.Error("Page refused", "page", p.Name, "revision", p.Revision, "error", err)
			r.metrics.Counter("table_pages_refused").Inc(1)
			refused++
			continue
		}
		next[p.Name] = live
		taken++
	}
	if taken > 0 {
		r.publish(newSnapshot(next))
	}
	return taken, refused
}

func (r *Replica) publish(s *Snapshot) {
	r.current.Store(s)
	close(r.changed)
	r.changed = make(chan struct{})
	r.metrics.Gauge("table_revision").Update(float64(s.revision))
	r.log.Info("Table changed", "revision", s.revision, "hash", s.hash)
}

// Digest returns the hash over all pages and each page's revision, ordered by name.
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

// PagesNewerThan returns pages held here at a higher revision than in have. The answer is bounded
// in bytes: a caller that took some merges them and asks again.
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
		if size > maxAnswerBytes && len(pages) > 0 {
			break
		}
		pages = append(pages, &peer.Page{Name: p.name, Revision: p.revision, Value: p.value})
	}
	return pages
}

// IsBehind tells whether a digest names a page at a higher revision than held here.
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

// ProofAge returns the age of the last proof that the table here was the service's, or
// NeverConfirmed. A daemon whose proof is older than its setting allows takes no new
// requests: it may have missed an accepted edit.
func (r *Replica) ProofAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proof.IsZero() {
		return NeverConfirmed
	}
	return max(0, now.Sub(r.proof))
}

// PeerProof is what a peer's answer says about how current its table is.
type PeerProof struct {
	Age   time.Duration // age of the peer's own proof when it answered
	Hash  uint64
	Pages []*peer.PageDigest // may be empty if the hashes agree
}

// AdoptPeerProof takes a peer's proof from its answer to a question sent at sent. It holds
// here only if this replica has everything that the peer has. The age counts from when
// the question was sent, so a delay on the way makes the proof older, never younger; a
// proof is not taken from a peer's question, whose time on the way is unknown.
func (r *Replica) AdoptPeerProof(sent time.Time, p PeerProof) bool {
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
	if at.After(r.proof) {
		r.proof = at
	}
}
