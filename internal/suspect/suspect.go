// Package suspect keeps a daemon's register of requests that were in flight when a
// target died (policy/quarantine), writes what was found to the key-value service, and
// exchanges it with peers.
//
// A finding is written before any request that was in flight at the death is sent
// again. In an outage of the service that write fails: the finding then lives in this
// daemon and its peers, and is lost only if all of them stop within the outage.
package suspect

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	keyPrefix = "quarantine/"
	// writeTries bounds the compare-and-swap of one page against other daemons.
	writeTries = 5
	// ioTimeout bounds reading or writing one page. A suspect waits that long at most.
	ioTimeout = 2 * time.Second
	// readPause is how long no request waits for stored findings after a failed read.
	readPause = time.Second
)

// Options configures a Keeper.
type Options struct {
	KV          platform.KV
	NotifyPeers func() // tells peers soon; may be nil
	Logger      hclog.Logger
	Metrics     tally.Scope
	Now         func() time.Time // nil: time.Now
	Params      quarantine.Params
}

// Registry holds the register of one daemon. It is safe for concurrent use.
type Registry struct {
	opts     Options
	log      hclog.Logger
	findings tally.Counter

	mu       sync.Mutex
	register *quarantine.Register
	loaded   bool      // all stored findings were read once
	failed   time.Time // when a page could not be read last
}

// New returns a keeper that knows nothing until Load.
func New(opts Options) *Registry {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.NotifyPeers == nil {
		opts.NotifyPeers = func() {}
	}
	return &Registry{
		opts:     opts,
		log:      opts.Logger.Named("suspect"),
		findings: opts.Metrics.Counter("quarantine_findings"),
		register: quarantine.New(opts.Params),
	}
}

// Gate says how a request may run. A suspect is let through only after the stored
// findings were read: another daemon may know of a second death.
func (k *Registry) Gate(ctx context.Context, fp quarantine.Fingerprint) quarantine.Verdict {
	v := k.gate(fp)
	if v.Mode != quarantine.Alone && !k.mustRead() {
		return v
	}
	if err := k.read(ctx, pageOf(fp)); err != nil {
		k.log.Warn("Findings were not read before a request runs", "error", err)
		k.readFailed()
	}
	return k.gate(fp)
}

// mustRead tells whether the stored findings were never loaded. Callers can be served
// before Load has succeeded, since the table comes from peers too. A request that killed
// two targets would then run like any other on each daemon that has just started.
//
// If the page can not be read, the request runs by what peers have told: refusing all
// requests of a daemon for as long as the service is away would cost every caller, and
// findings are lost only if all daemons stop within the outage. After a failed read no
// request waits for another one for a while.
func (k *Registry) mustRead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.loaded && k.opts.Now().Sub(k.failed) >= readPause
}

func (k *Registry) readFailed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = k.opts.Now()
}

func (k *Registry) gate(fp quarantine.Fingerprint) quarantine.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.register.Gate(k.opts.Now(), fp)
}

// Begin enters a request that is about to be sent. If it returns false the request
// must not be sent now.
func (k *Registry) Begin(fp quarantine.Fingerprint, id request.ID, t request.TargetID, alone bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.register.Begin(k.opts.Now(), fp, id, t, alone)
	return ok
}

// End is told that a request is no longer in flight.
func (k *Registry) End(id request.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.register.End(id)
}

// TargetDied makes suspects of what this daemon had in flight at a target. It returns
// once the findings are written, or the write has failed.
func (k *Registry) TargetDied(ctx context.Context, t request.TargetID, incarnation uint64) {
	k.mu.Lock()
	found := k.register.OnTargetDied(k.opts.Now(), t, incarnation)
	k.mu.Unlock()
	k.publish(ctx, t, found)
}

// OnCoordinatorReport makes suspects of requests that other daemons had in flight at a target.
func (k *Registry) OnCoordinatorReport(ctx context.Context, t request.TargetID, incarnation uint64, fingerprints []quarantine.Fingerprint) {
	k.mu.Lock()
	found := k.register.OnWitness(k.opts.Now(), t, incarnation, fingerprints)
	k.mu.Unlock()
	k.publish(ctx, t, found)
}

// publish writes findings and has them sent to peers.
func (k *Registry) publish(ctx context.Context, t request.TargetID, found []quarantine.Finding) {
	if len(found) == 0 {
		return
	}
	k.findings.Inc(int64(len(found)))
	k.log.Warn("Target died with requests in flight", "target", t, "suspects", len(found))
	k.opts.NotifyPeers()
	for name, page := range byPage(found) {
		if err := k.write(ctx, name, page); err != nil {
			k.log.Warn("Findings were not written; peers are told", "error", err)
		}
	}
}

// Load reads all stored findings.
func (k *Registry) Load(ctx context.Context) error {
	entries, _, err := k.opts.KV.List(ctx, keyPrefix)
	if err != nil {
		return errors.Wrap(err, "suspect: load")
	}
	for _, e := range entries {
		k.mergeValue(e.Value)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loaded = true
	return nil
}

// Hash covers All. It serves the exchange with peers.
func (k *Registry) Hash() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.register.Hash(k.opts.Now())
}

// count returns how many findings count now.
func (k *Registry) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.register.All(k.opts.Now()))
}

// All returns the findings for peers.
func (k *Registry) All() []*peer.Finding {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*peer.Finding
	for _, f := range k.register.All(k.opts.Now()) {
		m := &peer.Finding{Fingerprint: string(f.Fingerprint), ExpiresUnixMs: f.Expires.UnixMilli(), Proven: f.Proven}
		for _, d := range f.Deaths {
			m.Targets = append(m.Targets, string(d))
		}
		out = append(out, m)
	}
	return out
}

// Merge takes findings of a peer and returns how many were new.
func (k *Registry) Merge(findings []*peer.Finding) int {
	in := make([]quarantine.Finding, 0, len(findings))
	for _, m := range findings {
		f := quarantine.Finding{Fingerprint: quarantine.Fingerprint(m.Fingerprint), Expires: time.UnixMilli(m.ExpiresUnixMs), Proven: m.Proven}
		for _, d := range m.Targets {
			f.Deaths = append(f.Deaths, quarantine.Death(d))
		}
		in = append(in, f)
	}
	return k.merge(in)
}

func (k *Registry) merge(in []quarantine.Finding) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.register.Merge(k.opts.Now(), in))
}

// mergeValue takes a stored page. One that can't be read is passed over: it is
// written anew with the next finding.
func (k *Registry) mergeValue(value []byte) []quarantine.Finding {
	var stored []quarantine.Finding
	if err := json.Unmarshal(value, &stored); err != nil {
		k.log.Error("Stored findings can not be read", "error", err)
		return nil
	}
	k.merge(stored)
	return stored
}

// State returns the findings for a dump.
func (k *Registry) State() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.register.All(k.opts.Now())
}
