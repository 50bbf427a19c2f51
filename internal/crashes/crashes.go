// Package crashes records which traits the requests had that were in flight when replicas died, and refuses requests that would
// crash further ones. Package policy/poison decides.
//
// Each daemon tells all others of the deaths and of the answers that it sees, in datagrams. Records with several deaths are also
// written to the key-value service, where they outlive all daemons. While that does not answer, daemons pass them on to each other
// again and again, so that a daemon that starts learns them.
package crashes

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	// tickInterval is how often answers are told to the other daemons, and records written.
	tickInterval = 200 * time.Millisecond
	// gossipInterval is how often poisonous traits are sent to two other daemons while the key-value service does not answer.
	gossipInterval = 2 * time.Second
	// pruneInterval is how often old records are dropped.
	pruneInterval = 30 * time.Second
	// toldDeaths is the least number of deaths of a trait of whose answers the other daemons are told. Few of the traits that are
	// accused at one death see a second one.
	toldDeaths = 2
	// lostTrialRetry is the Retry-After of a request that would have been a trial, if another daemon began one.
	lostTrialRetry = 5 * time.Second
)

// TraitsFunc returns the traits of a request; withContent adds those for which its whole content is hashed.
type TraitsFunc func(withContent bool) []poison.Trait

// Options configures New.
type Options struct {
	KV       platform.KV
	Follower *mirror.Follower // follows the key-value service; the caller runs it
	// SendDeath sends a death, and SendRecords records, to all daemons; Gossip sends records to two daemons, chosen at random. They do
	// not block and may be nil.
	SendDeath           func(poison.Report)
	SendRecords, Gossip func([]poison.Record)
	// Rank returns this daemon's rank for a key: daemons write in the order of their ranks, and most find that another has written.
	// Nil: always the first.
	Rank func(key string) int
	// Failing reports whether the key-value service does not answer; nil: it does.
	Failing func() bool
	Params  poison.Params
	Logger  hclog.Logger
	Metrics tally.Scope
	Now     func() time.Time // nil: time.Now
	// Jitter returns a random time below a bound; nil: uniformly distributed.
	Jitter func(bound time.Duration) time.Duration
}

// Tracker holds the records of one daemon. It is safe for concurrent use.
type Tracker struct {
	o         Options
	mirror    *mirror.Mirror
	poisonous atomic.Int64 // number of poisonous traits
	active    atomic.Bool  // there are records
	wake      chan struct{}

	mu       sync.Mutex
	registry *poison.Registry
	stored   map[poison.Trait]poison.Record // as the key-value service has them
	unsent   map[poison.Trait]bool          // records with answers of which the other daemons are to be told
	unstored map[poison.Trait]time.Time     // records to be written, and since when
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.SendDeath == nil {
		o.SendDeath = func(poison.Report) {}
	}
	if o.SendRecords == nil {
		o.SendRecords = func([]poison.Record) {}
	}
	if o.Gossip == nil {
		o.Gossip = func([]poison.Record) {}
	}
	if o.Rank == nil {
		o.Rank = func(string) int { return 0 }
	}
	if o.Failing == nil {
		o.Failing = func() bool { return false }
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	o.Logger = o.Logger.Named("crashes")
	t := &Tracker{
		o: o, wake: make(chan struct{}, 1), registry: poison.New(o.Params), stored: map[poison.Trait]poison.Record{},
		unsent: map[poison.Trait]bool{}, unstored: map[poison.Trait]time.Time{},
	}
	t.mirror = o.Follower.AddMirror(keyPrefix, t.applyStored)
	return t
}

// Mirror returns the mirror of the stored records, whose copies peers may request.
func (t *Tracker) Mirror() *mirror.Mirror { return t.mirror }

// Refuses returns the error for a request that must not run now, nil if it may.
func (t *Tracker) Refuses(traits TraitsFunc) *request.Error {
	v := t.check(traits)
	if !v.Refused {
		return nil
	}
	return t.refusal(v)
}

// Admit is Refuses for a request that is sent if there is no error. A request that may run as a trial waits until the key-value
// service has recorded that.
func (t *Tracker) Admit(ctx context.Context, traits TraitsFunc) *request.Error {
	v := t.check(traits)
	if !v.Refused && len(v.Trials) > 0 && !t.beginTrial(ctx, v.Trials) {
		v = poison.Verdict{Refused: true, Cause: v.Trials[0], RetryAfter: lostTrialRetry}
	}
	if !v.Refused {
		return nil
	}
	return t.refusal(v)
}

func (t *Tracker) check(traits TraitsFunc) poison.Verdict {
	if t.poisonous.Load() == 0 {
		return poison.Verdict{}
	}
	all := traits(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Check(t.o.Now(), all)
}

func (t *Tracker) refusal(v poison.Verdict) *request.Error {
	t.o.Metrics.Tagged(map[string]string{"trait": v.Cause.Kind.String()}).Counter("poisonous_refused").Inc(1)
	return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, v.RetryAfter,
		"replicas died while they ran requests with the same %s", v.Cause.Kind)
}

// beginTrial records that a request with some traits is sent as their trial. It reports whether no other daemon has begun one.
func (t *Tracker) beginTrial(ctx context.Context, traits []poison.Trait) bool {
	for _, trait := range traits {
		if err := t.claimTrial(ctx, trait); err != nil {
			t.o.Logger.Info("No trial of a trait that crashed replicas", "trait", trait.Kind, "key", keyText(trait), "error", err)
			return false
		}
	}
	t.o.Metrics.Counter("poisonous_trials").Inc(1)
	t.o.Logger.Warn("A request is sent to find out whether its trait still crashes replicas", "trait", traits[0].Kind, "key", keyText(traits[0]))
	t.mu.Lock()
	changed := t.registry.OnTrial(t.o.Now(), traits)
	t.mu.Unlock()
	t.o.SendRecords(changed)
	return true
}

// RecordCrash records that a replica died while it ran a request of this daemon, and tells the other daemons.
func (t *Tracker) RecordCrash(report poison.Report) {
	t.applyDeath(report)
	t.o.SendDeath(report)
}

// OnPeerDeath records a death that another daemon reports.
func (t *Tracker) OnPeerDeath(report poison.Report) { t.applyDeath(report) }

func (t *Tracker) applyDeath(report poison.Report) {
	now := t.o.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteChanged(now, t.registry.OnDeath(now, report))
}

// RecordSuccess records that a replica completed a request.
func (t *Tracker) RecordSuccess(traits TraitsFunc) {
	now := t.o.Now()
	remembered, all := traits(false), []poison.Trait(nil)
	if t.active.Load() {
		all = traits(true)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.registry.OnAnswered(now, all, remembered)
	for _, r := range changed {
		if len(r.Deaths) >= toldDeaths {
			t.unsent[r.Trait] = true
		}
	}
	t.noteChanged(now, changed)
}

// Suspicion returns the highest suspicion of a request's traits.
func (t *Tracker) Suspicion(traits TraitsFunc) poison.Suspicion {
	if !t.active.Load() {
		return poison.Unsuspected
	}
	all := traits(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Suspicion(all)
}

// OnPeerRecords merges the records of another daemon.
func (t *Tracker) OnPeerRecords(records []poison.Record) {
	now := t.o.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.registry.Merge(now, records) {
		if r.Answered.IsZero() || len(r.Deaths) < toldDeaths {
			continue
		}
		t.unsent[r.Trait] = true // the other daemon does not know of an answer
	}
	for _, r := range records {
		if own, ok := t.registry.Record(r.Trait); ok && !own.Answered.After(r.Answered) {
			delete(t.unsent, r.Trait) // all daemons have been told
		}
	}
	t.noteChanged(now, t.known(records))
}

// known returns this daemon's records of the traits of others. The mutex must be held.
func (t *Tracker) known(records []poison.Record) (out []poison.Record) {
	for _, r := range records {
		if own, ok := t.registry.Record(r.Trait); ok {
			out = append(out, own)
		}
	}
	return out
}

// noteChanged logs which traits have become poisonous or have ceased to be, and queues records to be written. The mutex must be
// held.
func (t *Tracker) noteChanged(now time.Time, changed []poison.Record) {
	for _, r := range changed {
		if !t.isDue(r) {
			continue
		}
		if t.unstored[r.Trait].IsZero() {
			t.unstored[r.Trait] = now
		}
		t.logRecord(r)
	}
	t.countRecords()
}

// isDue reports whether a record is to be written: the trait is on the way to be poisonous, or no longer is although the key-value
// service says so. The mutex must be held.
func (t *Tracker) isDue(r poison.Record) bool {
	stored := t.stored[r.Trait]
	if t.o.Params.IsHalfWay(r) {
		return !poison.Covers(stored, r)
	}
	return t.o.Params.IsHalfWay(stored)
}

func (t *Tracker) logRecord(r poison.Record) {
	message := "Requests with the same trait were in flight at several deaths"
	if t.registry.IsPoisonous(r.Trait) {
		message = "Requests with the same trait crash replicas and are refused"
	}
	t.o.Logger.Warn(message, "trait", r.Trait.Kind, "key", keyText(r.Trait), "deaths", len(r.Deaths), "independent", t.registry.Held(r.Trait), "answered", !r.Answered.IsZero())
}

// countRecords updates what is read without the mutex, which must be held.
func (t *Tracker) countRecords() {
	n := len(t.registry.Poisonous())
	t.poisonous.Store(int64(n))
	t.active.Store(t.registry.Len() > 0)
	t.o.Metrics.Gauge("poisonous_traits").Update(float64(n))
	t.o.Metrics.Gauge("crash_records").Update(float64(t.registry.Len()))
	if t.registry.Len() > 0 {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// Run sends and writes records until ctx ends. It sleeps while there are none.
func (t *Tracker) Run(ctx context.Context) error {
	var gossiped, pruned time.Time
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return nil
		}
		for t.active.Load() && ctx.Err() == nil {
			// The random part keeps daemons that see answers at the same time from all telling the others.
			if sleep.For(ctx, tickInterval/2+t.o.Jitter(tickInterval)) != nil {
				return nil
			}
			now := t.o.Now()
			t.sendAnswers()
			t.writeDue(ctx, now)
			if now.Sub(gossiped) >= gossipInterval && t.o.Failing() {
				gossiped = now
				t.gossip()
			}
			if now.Sub(pruned) >= pruneInterval {
				pruned = now
				t.prune(now)
			}
		}
	}
}

// sendAnswers tells all daemons of answers that they may not know.
func (t *Tracker) sendAnswers() {
	t.mu.Lock()
	var records []poison.Record
	for trait := range t.unsent {
		if r, ok := t.registry.Record(trait); ok {
			r.Deaths = nil
			records = append(records, r)
		}
	}
	clear(t.unsent)
	t.mu.Unlock()
	if len(records) > 0 {
		t.o.SendRecords(records)
	}
}

func (t *Tracker) gossip() {
	t.mu.Lock()
	records := t.registry.Poisonous()
	t.mu.Unlock()
	if len(records) > 0 {
		t.o.Gossip(records)
	}
}

func (t *Tracker) prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Prune(now)
	t.countRecords()
}
