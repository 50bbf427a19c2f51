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
	// refuseAt is the number of targets that may fall to one request. Two may die by
	// chance with the same request in flight, when many crash at once.
	refuseAt = 3
	// storeAt is the number of deaths from which a finding is written to the key-value
	// service. One death makes suspects of all that was in flight; few have two.
	storeAt = 2
)

// CountingOptions are the options of NewCounted.
type CountingOptions struct {
	KV       platform.KV
	Follower *mirror.Follower          // of the service; its owner runs it
	Notify   func(quarantine.Sighting) // tells all daemons soon; nil: nobody
	Logger   hclog.Logger
	Now      func() time.Time // nil: time.Now
}

// CountingRegistry refuses requests at which targets died too often, for daemons that can't empty a
// target for a suspect. Suspects run like all others; one that a target answers is cleared.
// It is safe for concurrent use.
//
// Sightings are told to all daemons at once; findings of two deaths and more lie in the
// key-value service as well, so that they outlive all daemons.
type CountingRegistry struct {
	o      CountingOptions
	keeper *Registry // holds the register, and reads and writes its pages
	mirror *mirror.Mirror
	any    atomic.Bool // there are findings
}

// NewCountingRegistry returns a register that knows nothing.
func NewCountingRegistry(o CountingOptions) *CountingRegistry {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	c := &CountingRegistry{
		o: o, keeper: New(Options{KV: o.KV, Logger: o.Logger, Now: o.Now, Params: quarantine.Params{Counted: refuseAt}}),
	}
	c.o.Logger = o.Logger.Named("suspect")
	c.mirror = o.Follower.Mirror(keyPrefix, c.apply)
	return c
}

// Mirror returns the mirror of stored findings, whose copies peers may ask for.
func (c *CountingRegistry) Mirror() *mirror.Mirror { return c.mirror }

func (c *CountingRegistry) apply(u mirror.Update) {
	for _, e := range u.Entries {
		if !e.Deleted {
			c.keeper.mergeValue(e.Value)
		}
	}
	c.any.Store(c.keeper.count() > 0)
}

// Check returns the final answer to a request that has brought down too many targets; nil
// if it may run. fingerprint is called only where there are findings at all.
func (c *CountingRegistry) Check(fingerprint func() quarantine.Fingerprint) *request.Error {
	if !c.any.Load() {
		return nil
	}
	return c.keeper.gate(fingerprint()).Err
}

// RecordCrash notes that a target died while it ran a request here, and tells the other daemons. It
// returns once a finding of several deaths is written, or the write has failed.
func (c *CountingRegistry) RecordCrash(ctx context.Context, s quarantine.Sighting) {
	found := c.note(s)
	if c.o.Notify != nil {
		c.o.Notify(s)
	}
	c.store(ctx, found)
}

// OnPeerReport notes a sighting of another daemon, which writes it if it must be written.
func (c *CountingRegistry) OnPeerReport(s quarantine.Sighting) { c.note(s) }

func (c *CountingRegistry) note(s quarantine.Sighting) []quarantine.Finding {
	c.any.Store(true)
	c.keeper.mu.Lock()
	defer c.keeper.mu.Unlock()
	return c.keeper.register.OnSighting(c.keeper.opts.Now(), s)
}

// RecordSuccess notes that a target ran a request to its end.
func (c *CountingRegistry) RecordSuccess(ctx context.Context, fingerprint func() quarantine.Fingerprint) {
	if !c.any.Load() {
		return
	}
	fp := fingerprint()
	c.keeper.mu.Lock()
	found := c.keeper.register.OnAnswered(c.keeper.opts.Now(), fp)
	c.keeper.mu.Unlock()
	c.store(ctx, found)
}

// store writes the findings that must outlive this daemon.
func (c *CountingRegistry) store(ctx context.Context, found []quarantine.Finding) {
	for _, f := range found {
		if len(f.Deaths) < storeAt {
			continue
		}
		c.o.Logger.Warn("Targets died while they ran the same request", "fingerprint", f.Fingerprint, "deaths", f.Deaths, "answered", f.Answered)
		if err := c.keeper.write(ctx, pageOf(f.Fingerprint), []quarantine.Finding{f}); err != nil {
			c.o.Logger.Warn("Findings were not written; the other daemons were told", "error", err)
		}
	}
}

// State returns the findings for a dump.
func (c *CountingRegistry) State() any { return c.keeper.State() }
