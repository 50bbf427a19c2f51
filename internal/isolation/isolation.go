// Package isolation decides under which salt a request's KV cache is kept, so that no organisation uses cache of another one
// while either is isolated.
//
// An organisation that was isolated is kept apart for a while longer: it keeps a salt of its own also when it is no longer
// isolated, so that the others keep their cache. The key-value service holds the names of these organisations, since a
// daemon that starts later does not see them in the desired state. Package cachepool names the pools of the others; its names
// keep the rule also where daemons know different organisations.
package isolation

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/cachepool"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// recordsWait is how long after its first desired state a daemon waits for the records. While the key-value service is away it gets
// them from others, except if there are none. After that its organisations share provisional pools, which hold no cache from before.
const recordsWait = 2 * time.Second

// Options configures New.
type Options struct {
	KV       platform.KV
	Follower *mirror.Follower // nil: no records are kept
	// Rank returns this daemon's rank for a key; the first one writes it.
	Rank    func(key string) int
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Tracker tracks the organisations that are kept apart. It is safe for concurrent use.
type Tracker struct {
	o      Options
	mirror *mirror.Mirror // of the records; nil: none are kept
	pools  atomic.Pointer[cachepool.Pools]

	mu            sync.Mutex
	listed        bool      // the records were read
	waited        bool      // for the records, for long enough
	desiredAt     time.Time // when the first desired state was applied; zero: none was
	organisations int       // in the desired state
	desired       platform.Revision
	isolated      map[request.OrgID]bool
	apart         map[request.OrgID]time.Time // since when each has not been isolated, zero if it is
	generations   cachepool.Generations
	sections      [cachepool.Sections]section
	returnedAt    time.Time // when organisations were last allowed to share again
}

// New returns a Tracker.
func New(o Options) *Tracker {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("isolation")
	t := &Tracker{o: o, apart: map[request.OrgID]time.Time{}}
	if o.Follower != nil {
		t.mirror = o.Follower.AddMirror(RecordPrefix, t.applyRecords)
	}
	return t
}

// Mirror returns the mirror of the records; nil if none are kept.
func (t *Tracker) Mirror() *mirror.Mirror { return t.mirror }

// OnDesired records the organisations of a desired state. It must be called before requests see that state.
func (t *Tracker) OnDesired(now time.Time, revision platform.Revision, organisations []*routing.Org) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.desiredAt.IsZero() {
		t.desiredAt = now
	}
	t.organisations, t.desired = len(organisations), revision
	t.isolated = map[request.OrgID]bool{}
	for _, org := range organisations {
		if org.Isolated {
			t.isolated[org.ID] = true
			t.apart[org.ID] = time.Time{}
		}
	}
	t.update(now)
}

// onTime ends the wait for the records when it is due.
func (t *Tracker) onTime(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed || t.waited || t.desiredAt.IsZero() || now.Sub(t.desiredAt) < recordsWait {
		return
	}
	t.waited = true
	t.o.Logger.Warn("The records of isolated organisations are not known; organisations share cache of the desired state alone")
	t.update(now)
}

// update publishes the pools if the records are known or no longer waited for. The mutex must be held.
func (t *Tracker) update(now time.Time) {
	for org, since := range t.apart {
		if !t.isolated[org] && since.IsZero() {
			t.apart[org] = now
		}
	}
	t.compare(now)
	t.o.Metrics.Gauge("organisations_kept_apart").Update(float64(len(t.apart)))
	switch {
	case t.listed:
		t.pools.Store(cachepool.New(t.organisations, names(t.apart), &t.generations))
	case t.waited:
		t.pools.Store(cachepool.NewProvisional(t.organisations, names(t.apart), strconv.FormatUint(uint64(t.desired), 10)))
	}
}

func names(apart map[request.OrgID]time.Time) map[request.OrgID]struct{} {
	out := make(map[request.OrgID]struct{}, len(apart))
	for org := range apart {
		out[org] = struct{}{}
	}
	return out
}

// Salt returns the salt of a request of an organisation, nil if it has none, at a replica with a version of the weights. Until
// the records are known or no longer waited for, organisations share nothing.
func (t *Tracker) Salt(weights uint64, org *routing.Org) string {
	p := t.pools.Load()
	switch {
	case org == nil && p == nil:
		return cachepool.OwnAnonymous(weights)
	case org == nil:
		return p.Anonymous(weights)
	case org.Isolated || p == nil:
		return cachepool.Own(weights, org.ID)
	}
	return p.Salt(weights, org.ID)
}

// State describes a Tracker.
type State struct {
	Known      bool `json:"known"`                // the records were read
	Apart      int  `json:"kept_apart"`           // organisations
	Unrecorded int  `json:"incomplete,omitempty"` // records that lack an organisation
}

// State returns a dump of the tracker's state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Known: t.listed, Apart: len(t.apart)}
	for i := range t.sections {
		if !t.sections[i].lacksSince.IsZero() {
			s.Unrecorded++
		}
	}
	return s
}

// Run writes the records that this daemon is to write until ctx is cancelled.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		t.onTime(now)
		for _, w := range t.dueWrites(now, t.o.Rank) {
			t.write(ctx, w)
		}
	}
}
