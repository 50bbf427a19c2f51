package suspect

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// refuseDeaths is the number of deaths at which a request is refused. When many targets
	// die at once, two of them may have had the same harmless request in flight.
	refuseDeaths = 3
	// storeDeaths is the least number of deaths with which a crash record is written to the key-value
	// service. One death makes all requests in flight suspects, but few of them see a second one.
	storeDeaths = 2
)

// CountingOptions configures a CountingRegistry.
type CountingOptions struct {
	KV       platform.KV
	Follower *mirror.Follower             // follows the key-value service; the caller runs it
	Notify   func(quarantine.CrashReport) // sends a crash report to all daemons; may be nil
	Logger   hclog.Logger
	Now      func() time.Time // nil: time.Now
}

// CountingRegistry refuses requests that were in flight at too many deaths. It serves daemons that
// can't drain a target to run a suspect request alone. Suspects run without restrictions, and a
// suspect that a target answers is cleared. It is safe for concurrent use.
//
// Crash reports are sent to all daemons at once. Crash records with two or more deaths are also
// written to the key-value service, where they outlive all daemons.
type CountingRegistry struct {
	o          CountingOptions
	registry   *Registry // holds the crash records, and reads and writes them in the key-value service
	mirror     *mirror.Mirror
	hasRecords atomic.Bool // there are crash records
}

// NewCountingRegistry returns an empty registry.
func NewCountingRegistry(o CountingOptions) *CountingRegistry {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	c := &CountingRegistry{
		o: o, registry: New(Options{KV: o.KV, Logger: o.Logger, Now: o.Now, Params: quarantine.Params{UnprovenDeaths: refuseDeaths}}),
	}
	c.o.Logger = o.Logger.Named("suspect")
	c.mirror = o.Follower.AddMirror(keyPrefix, c.apply)
	return c
}

// Mirror returns the mirror of the stored crash records, whose copies peers may request.
func (c *CountingRegistry) Mirror() *mirror.Mirror { return c.mirror }

func (c *CountingRegistry) apply(u mirror.Update) {
	for _, e := range u.Entries {
		if !e.Deleted {
			c.registry.mergePage(e.Value)
		}
	}
	c.hasRecords.Store(c.registry.count() > 0)
}

// Check returns the error for a request that has crashed too many targets, or nil if it may run. It
// calls fingerprint only if there are crash records.
func (c *CountingRegistry) Check(fingerprint func() quarantine.Fingerprint) *request.Error {
	if !c.hasRecords.Load() {
		return nil
	}
	return c.registry.gate(fingerprint()).Err
}

// RecordCrash records that a target died while it ran a request of this daemon, and reports it to the
// other daemons. It returns after a crash record with several deaths is written or the write has
// failed.
func (c *CountingRegistry) RecordCrash(ctx context.Context, report quarantine.CrashReport) {
	records := c.addReport(report)
	if c.o.Notify != nil {
		c.o.Notify(report)
	}
	c.store(ctx, records)
}

// OnPeerReport records a crash that another daemon reported. The reporting daemon writes the crash
// record to the key-value service if necessary.
func (c *CountingRegistry) OnPeerReport(report quarantine.CrashReport) { c.addReport(report) }

func (c *CountingRegistry) addReport(report quarantine.CrashReport) []quarantine.CrashRecord {
	c.hasRecords.Store(true)
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	return c.registry.crashRecords.OnCrashReport(c.registry.opts.Now(), report)
}

// RecordSuccess records that a target completed a request.
func (c *CountingRegistry) RecordSuccess(ctx context.Context, fingerprint func() quarantine.Fingerprint) {
	if !c.hasRecords.Load() {
		return
	}
	fp := fingerprint()
	c.registry.mu.Lock()
	records := c.registry.crashRecords.OnAnswered(c.registry.opts.Now(), fp)
	c.registry.mu.Unlock()
	c.store(ctx, records)
}

// store writes the crash records that must outlive this daemon.
func (c *CountingRegistry) store(ctx context.Context, records []quarantine.CrashRecord) {
	for _, record := range records {
		if len(record.Deaths) < storeDeaths {
			continue
		}
		c.o.Logger.Warn("Targets died while they ran the same request", "fingerprint", record.Fingerprint, "deaths", record.Deaths, "answered", record.Answered)
		if err := c.registry.writePage(ctx, pageKey(record.Fingerprint), []quarantine.CrashRecord{record}); err != nil {
			c.o.Logger.Warn("Failed to write a crash record; the other daemons were notified", "error", err)
		}
	}
}

// State returns the crash records for a debug dump.
func (c *CountingRegistry) State() any { return c.registry.State() }
