// Package roster maintains the list of live daemons in the platform's key-value service.
//
// Each daemon has one entry under its own lease. If an entry is removed while the service is
// available, its daemon has terminated. Entries that expired in an outage are kept for as long as
// their owners need to write them again, so that callers still get addresses after the service
// recovers without entries.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// minLeaseTTL and maxLeaseTTL bound how long a daemon that died is still listed. Callers that cannot
	// reach a daemon try another address, which costs them time: one of a few daemons must be unlisted soon.
	// One of hundreds is given to few callers, while each renewal of hundreds is a call; see leaseTTL.
	minLeaseTTL = 4 * time.Second
	maxLeaseTTL = 12 * time.Second
	// daemonsPerSecond is how many daemons lengthen the time to live by a second.
	daemonsPerSecond = 25
	// renewalsPerTTL is how often a lease is renewed within its time to live.
	renewalsPerTTL = 4
	// retryInterval is how often a daemon checks whether to renew its lease, and how soon it retries.
	retryInterval = time.Second
	// rewriteGrace is how long an entry that was removed after an outage is kept, until its owner has
	// written it again.
	rewriteGrace = 4 * time.Second
	// lostRetention is how long a daemon whose entry was removed, and that did not say that it leaves, counts as one that may still
	// run, unless it reports later: it may only be cut off from the key-value service, and a partition takes seconds to minutes.
	lostRetention = 10 * time.Minute
	// discoveryTime is how long a daemon may take to discover the others. Until then it assumes many.
	discoveryTime = 3 * time.Second
	callTimeout   = 2 * time.Second
)

// leaseTTL returns the time to live of the entries of a number of daemons.
func leaseTTL(daemons int) time.Duration {
	return min(maxLeaseTTL, max(minLeaseTTL, time.Duration(daemons)*time.Second/daemonsPerSecond))
}

// Daemon is a daemon's entry in the roster.
type Daemon struct {
	ID            request.DaemonID `json:"id"`
	Incarnation   int64            `json:"incarnation"`
	FailureDomain string           `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	PeerAddress   string           `json:"peer_address"`
	Leaving       bool             `json:"leaving"`
	Capacity      Capacity         `json:"capacity,omitzero"`
}

// Options configures a Roster.
type Options struct {
	KV       platform.KV
	Follower *mirror.Follower // of the key-value service; the caller of New runs it
	Prefix   string           // of the entries' keys
	Self     Daemon
	Logger   hclog.Logger
	Metrics  tally.Scope // nil: none
}

// Roster is the list of daemons, and keeps this daemon's own entry. It is safe for concurrent use.
type Roster struct {
	opts    Options
	mirror  *mirror.Mirror
	live    atomic.Pointer[[]Daemon] // sorted by ID; includes this daemon unless it leaves
	renewMu sync.Mutex
	lease   platform.LeaseID
	ttl     time.Duration // of lease; guarded by renewMu
	renewed time.Time     // when lease was last renewed; guarded by renewMu
	started time.Time

	self     Daemon            // guarded by renewMu
	revision platform.Revision // of this daemon's entry as last written; guarded by renewMu

	leaving atomic.Bool

	mayRun   atomic.Int64             // number of daemons; see MayRun
	unlisted atomic.Pointer[[]Daemon] // see Lost

	mu       sync.Mutex
	known    map[string]Daemon
	expiring map[string]time.Time // when entries removed after an outage are dropped from known
	lost     map[string]lostDaemon
}

// lostDaemon is a daemon whose entry was removed although it did not say that it leaves.
type lostDaemon struct {
	Daemon
	at time.Time // of the removal, or of the last report since
}

// New returns a roster that contains this daemon only.
func New(o Options) *Roster {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("roster")
	r := &Roster{opts: o, started: time.Now(), self: o.Self, known: map[string]Daemon{}, expiring: map[string]time.Time{}, lost: map[string]lostDaemon{}}
	r.mirror = o.Follower.AddPagedMirror(o.Prefix, o.Prefix+commonName(o.Self.ID), r.apply)
	r.publish()
	return r
}

// commonName returns the beginning that the names of some other VMs presumably share with this one: VMs are
// often numbered.
func commonName(id request.DaemonID) string { return string(id[:max(0, len(id)-1)]) }

// Live returns the daemons that accept callers, including this one unless it leaves. The list is
// replaced only when it changes.
func (r *Roster) Live() []Daemon { return *r.live.Load() }

// MayRun returns how many daemons may be running, including this one: those that are listed, also while they leave, and those whose
// entries were removed although they did not say that they leave.
func (r *Roster) MayRun() int { return int(r.mayRun.Load()) }

// Lost returns the daemons whose entries were removed although they did not say that they leave, and that may still run.
func (r *Roster) Lost() []Daemon { return *r.unlisted.Load() }

// OnReport records that a daemon reports to this one, and returns whether it is one of Lost.
func (r *Roster) OnReport(id request.DaemonID) (lost bool) {
	if len(r.Lost()) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d, lost := r.lost[string(id)]
	if lost {
		d.at = time.Now()
		r.lost[string(id)] = d
	}
	return lost
}

// Mirror returns the mirror of the entries, for the exchange of copies with peers.
func (r *Roster) Mirror() *mirror.Mirror { return r.mirror }

// Run keeps this daemon listed until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		if err := r.renew(ctx); err != nil && ctx.Err() == nil {
			r.opts.Logger.Warn("The daemon failed to renew its roster entry", "error", err)
		}
		select {
		case <-tick.C:
			r.removeExpired()
		case <-ctx.Done():
			return nil
		}
	}
}

// renew renews the lease of this daemon's entry if it is due, or writes the entry under a new lease.
func (r *Roster) renew(ctx context.Context) error {
	r.renewMu.Lock()
	defer r.renewMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	if r.lease != "" && r.ttl <= 2*r.suitableTTL(now) {
		if now.Sub(r.renewed) < r.ttl/renewalsPerTTL-retryInterval/2 {
			return nil
		}
		err := r.opts.KV.KeepAlive(ctx, r.lease)
		if err == nil {
			r.renewed = now
		}
		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	r.lease = ""
	return r.writeEntry(ctx)
}

// suitableTTL returns the time to live for this daemon's lease.
func (r *Roster) suitableTTL(now time.Time) time.Duration {
	if now.Sub(r.started) < discoveryTime {
		return maxLeaseTTL
	}
	return leaseTTL(len(r.Live()))
}

func (r *Roster) writeEntry(ctx context.Context) error {
	if r.lease == "" {
		now := time.Now()
		ttl := r.suitableTTL(now)
		lease, err := r.opts.KV.GrantLease(ctx, ttl)
		if err != nil {
			return errors.Wrap(err, "roster: lease")
		}
		r.lease, r.ttl, r.renewed = lease, ttl, now
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return errors.Wrap(err, "roster: encode")
	}
	if err := r.swapEntry(ctx, value); err != nil {
		r.lease = ""
		return errors.Wrap(err, "roster: write")
	}
	r.opts.Logger.Info("The daemon wrote its roster entry", "leaving", r.self.Leaving, "ttl_ms", r.ttl.Milliseconds())
	return nil
}

// swapEntry replaces this daemon's entry, whatever its content is: most daemons have none when they start,
// and know the revision of their own afterwards.
func (r *Roster) swapEntry(ctx context.Context, value []byte) error {
	key := r.opts.Prefix + string(r.self.ID)
	revision, err := r.opts.KV.CompareAndSwap(ctx, key, r.revision, value, r.lease)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		revision, err = r.opts.KV.CompareAndSwap(ctx, key, conflict.Current.Revision, value, r.lease)
	}
	if err != nil {
		return err
	}
	r.revision = revision
	return nil
}

// Leave marks this daemon as leaving, so that the other daemons direct no new callers to it.
func (r *Roster) Leave(ctx context.Context) error {
	r.renewMu.Lock()
	defer r.renewMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.self.Leaving = true
	r.leaving.Store(true)
	r.publish()
	return r.writeEntry(ctx)
}

// Withdraw removes this daemon's entry. The daemon calls it just before it terminates.
func (r *Roster) Withdraw(ctx context.Context) error {
	r.renewMu.Lock()
	defer r.renewMu.Unlock()
	if r.lease == "" {
		return nil
	}
	return r.opts.KV.RevokeLease(ctx, r.lease)
}

func (r *Roster) apply(u mirror.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range u.Entries {
		id := strings.TrimPrefix(e.Key, r.opts.Prefix)
		if e.Deleted {
			r.remove(id, u.AfterOutage)
			continue
		}
		seen[id] = true
		d, err := decode(id, e.Value)
		if err != nil {
			r.opts.Metrics.Counter("invalid_roster_entries").Inc(1)
			r.opts.Logger.Warn("Ignoring an invalid roster entry", "key", bounds.BriefKey(e.Key), "error", err)
			continue
		}
		if invalid := d.Capacity.invalid; invalid != "" && r.known[id].Capacity.invalid != invalid {
			r.opts.Logger.Warn("Ignoring an invalid capacity in a roster entry", "key", e.Key, "fields", invalid)
		}
		r.known[id] = d
		delete(r.expiring, id)
		delete(r.lost, id)
	}
	if u.Full {
		for id := range r.known {
			if !seen[id] {
				r.remove(id, u.AfterOutage)
			}
		}
	}
	r.publishLocked()
}

// decode decodes and validates a daemon's entry. An entry without valid addresses would direct
// callers and peers to an unusable address. Its error is brief and names the field.
func decode(id string, value []byte) (Daemon, error) {
	var d Daemon
	if err := bounds.Decode(value, &d); err != nil {
		return Daemon{}, errors.Wrap(err, "roster: entry")
	}
	return d, bounds.Brief(errors.Wrap(d.validate(id), "roster: entry"))
}

// validate returns an error that names the first invalid field. id is that of the key.
func (d *Daemon) validate(id string) error {
	if string(d.ID) != id {
		return errors.Newf("id: %.40q: must be that of the key", d.ID)
	}
	if d.Incarnation < 0 {
		return errors.New("incarnation: must be at least 0")
	}
	for _, field := range []struct {
		name string
		err  error
	}{
		{"id", bounds.CheckID(id)}, {"failure_domain", checkDomain(d.FailureDomain)},
		{"caller_address", bounds.CheckAddress(d.CallerAddress)}, {"peer_address", bounds.CheckAddress(d.PeerAddress)},
	} {
		if field.err != nil {
			return errors.Wrap(field.err, field.name)
		}
	}
	return nil
}

// checkDomain checks the name of a failure domain, which older daemons may omit.
func checkDomain(name string) error {
	if name == "" {
		return nil
	}
	return bounds.CheckName(name)
}

func (r *Roster) remove(id string, afterOutage bool) {
	if !afterOutage {
		r.drop(id)
		return
	}
	if _, ok := r.expiring[id]; !ok {
		r.expiring[id] = time.Now().Add(rewriteGrace)
	}
}

// drop removes a daemon whose entry is gone.
func (r *Roster) drop(id string) {
	if d, known := r.known[id]; known && !d.Leaving && d.ID != r.opts.Self.ID {
		r.lost[id] = lostDaemon{Daemon: d, at: time.Now()}
	}
	delete(r.known, id)
}

func (r *Roster) removeExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, until := range r.expiring {
		if now.After(until) {
			delete(r.expiring, id)
			r.drop(id)
		}
	}
	maps.DeleteFunc(r.lost, func(_ string, d lostDaemon) bool { return now.Sub(d.at) > lostRetention })
	r.publishLocked()
}

func (r *Roster) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishLocked()
}

func (r *Roster) publishLocked() {
	r.publishLost()
	var live []Daemon
	for id, d := range r.known {
		if id != string(r.opts.Self.ID) && !d.Leaving {
			live = append(live, d)
		}
	}
	if !r.leaving.Load() {
		live = append(live, r.opts.Self)
	}
	slices.SortFunc(live, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	if old := r.live.Load(); old == nil || !slices.Equal(*old, live) {
		r.live.Store(&live)
	}
}

// publishLost publishes which daemons that are not listed may run, and how many may run in all.
func (r *Roster) publishLost() {
	var lost []Daemon
	for _, d := range r.lost {
		lost = append(lost, d.Daemon)
	}
	r.unlisted.Store(&lost)
	n := len(r.known) + len(r.lost)
	if _, listed := r.known[string(r.opts.Self.ID)]; !listed {
		n++
	}
	r.mayRun.Store(int64(n))
}
