// Package suspect tracks the requests that were in flight when a target died (policy/quarantine).
// It stores the resulting crash records in the key-value service and exchanges them with peers.
//
// A crash record is written before any request that was in flight at the crash is retried. During
// an outage of the key-value service that write fails. The record then exists only in this daemon
// and its peers, and is lost only if all of them stop during the outage.
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
	// maxWriteAttempts bounds the attempts to write one page that other daemons write as well.
	maxWriteAttempts = 5
	// ioTimeout bounds reading or writing one page, and thereby how long a suspect request waits.
	ioTimeout = 2 * time.Second
	// readRetryDelay is how long after a failed read no request waits for stored crash records.
	readRetryDelay = time.Second
)

// Options configures a Registry.
type Options struct {
	KV          platform.KV
	NotifyPeers func() // triggers an exchange with peers; may be nil
	Logger      hclog.Logger
	Metrics     tally.Scope
	Now         func() time.Time // nil: time.Now
}

// Registry holds the crash records of one daemon. It is safe for concurrent use.
type Registry struct {
	opts          Options
	log           hclog.Logger
	recordCounter tally.Counter

	mu              sync.Mutex
	crashRecords    *quarantine.Registry
	loaded          bool      // all stored crash records were read once
	lastReadFailure time.Time // when reading a page last failed
}

// New returns an empty registry. Load adds the stored crash records.
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
		opts:          opts,
		log:           opts.Logger.Named("suspect"),
		recordCounter: opts.Metrics.Counter("quarantine_findings"),
		crashRecords:  quarantine.New(quarantine.Params{}),
	}
}

// Gate decides how a request may run. A suspect request is admitted only after the stored crash
// records were read, since another daemon may have recorded a second crash.
func (r *Registry) Gate(ctx context.Context, fp quarantine.Fingerprint) quarantine.Decision {
	decision := r.gate(fp)
	if decision.Mode != quarantine.Alone && !r.needsRead() {
		return decision
	}
	if err := r.readPage(ctx, pageKey(fp)); err != nil {
		r.log.Warn("Failed to read stored crash records; using the known ones", "error", err)
		r.noteReadFailure()
	}
	return r.gate(fp)
}

// needsRead reports whether the stored crash records must be read because Load has not succeeded
// yet. A daemon can serve callers before that, since it also receives the table from peers. A
// request that killed two targets would then run without restrictions on each new daemon.
//
// If the page can't be read, the records received from peers decide how the request runs. Refusing
// all requests of a daemon during an outage would affect every caller, and records are lost only if
// all daemons stop during the outage. Within readRetryDelay of a failed read no request waits for
// another read.
func (r *Registry) needsRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.loaded && r.opts.Now().Sub(r.lastReadFailure) >= readRetryDelay
}

func (r *Registry) noteReadFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReadFailure = r.opts.Now()
}

func (r *Registry) gate(fp quarantine.Fingerprint) quarantine.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashRecords.Check(r.opts.Now(), fp)
}

// Begin registers a request that is about to be sent. If it returns false, the request must not be
// sent now.
func (r *Registry) Begin(fp quarantine.Fingerprint, id request.ID, t request.TargetID, alone bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.crashRecords.Begin(r.opts.Now(), fp, id, t, alone)
	return ok
}

// End removes a request that is no longer in flight.
func (r *Registry) End(id request.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashRecords.End(id)
}

// TargetDied marks the requests that this daemon had in flight at a target as suspects. It returns
// after the crash records are written or the write has failed.
func (r *Registry) TargetDied(ctx context.Context, t request.TargetID, incarnation uint64) {
	r.mu.Lock()
	records := r.crashRecords.OnTargetDied(r.opts.Now(), t, incarnation)
	r.mu.Unlock()
	r.publish(ctx, t, records)
}

// OnCoordinatorReport marks requests that other daemons had in flight at a target as suspects.
func (r *Registry) OnCoordinatorReport(ctx context.Context, t request.TargetID, incarnation uint64, fingerprints []quarantine.Fingerprint) {
	r.mu.Lock()
	records := r.crashRecords.OnCoordinatorReport(r.opts.Now(), t, incarnation, fingerprints)
	r.mu.Unlock()
	r.publish(ctx, t, records)
}

// publish writes crash records and triggers an exchange with peers.
func (r *Registry) publish(ctx context.Context, t request.TargetID, records []quarantine.CrashRecord) {
	if len(records) == 0 {
		return
	}
	r.recordCounter.Inc(int64(len(records)))
	r.log.Warn("Target died with requests in flight", "target", t, "suspects", len(records))
	r.opts.NotifyPeers()
	for name, page := range groupByPage(records) {
		if err := r.writePage(ctx, name, page); err != nil {
			r.log.Warn("Failed to write crash records; peers still receive them", "error", err)
		}
	}
}

// Load reads all stored crash records.
func (r *Registry) Load(ctx context.Context) error {
	entries, _, err := r.opts.KV.List(ctx, keyPrefix)
	if err != nil {
		return errors.Wrap(err, "suspect: load")
	}
	for _, e := range entries {
		r.mergePage(e.Value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
	return nil
}

// Hash returns a hash over All, which peers compare to detect differences.
func (r *Registry) Hash() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashRecords.Hash(r.opts.Now())
}

// All returns the crash records in the form that is sent to peers.
func (r *Registry) All() []*peer.Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*peer.Finding
	for _, record := range r.crashRecords.All(r.opts.Now()) {
		m := &peer.Finding{Fingerprint: string(record.Fingerprint), ExpiresUnixMs: record.Expires.UnixMilli(), Proven: record.Proven}
		for _, d := range record.Deaths {
			m.Targets = append(m.Targets, string(d))
		}
		out = append(out, m)
	}
	return out
}

// Merge adds the crash records of a peer and returns how many were new.
func (r *Registry) Merge(records []*peer.Finding) int {
	in := make([]quarantine.CrashRecord, 0, len(records))
	for _, m := range records {
		record := quarantine.CrashRecord{Fingerprint: quarantine.Fingerprint(m.Fingerprint), Expires: time.UnixMilli(m.ExpiresUnixMs), Proven: m.Proven}
		for _, d := range m.Targets {
			record.Deaths = append(record.Deaths, quarantine.Death(d))
		}
		in = append(in, record)
	}
	return r.merge(in)
}

func (r *Registry) merge(in []quarantine.CrashRecord) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashRecords.Merge(r.opts.Now(), in))
}

// mergePage adds the crash records of a stored page. It skips a page that can't be decoded, which
// the next crash record overwrites.
func (r *Registry) mergePage(value []byte) []quarantine.CrashRecord {
	var stored []quarantine.CrashRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		r.log.Error("Failed to decode stored crash records", "error", err)
		return nil
	}
	r.merge(stored)
	return stored
}

// State returns the crash records for a debug dump.
func (r *Registry) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashRecords.All(r.opts.Now())
}
