// Package planner selects the targets of prompts. It applies the pure policies (contextdir,
// placement, retention) to the reports of coordinators and store VMs, and runs imports and
// exports.
//
// Each context is assigned to one daemon, its home, by rendezvous hashing, and the home
// places its prompts. The directory of a daemon covers all contexts assigned to it unless
// assignments have changed. A new home starts with an incomplete directory, so prompts are
// recomputed more often, but answers stay correct, because the target itself decides which
// blocks it has.
package planner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/coordinator"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// diskRateShare is the assumed speed of a store VM's disk as a share of its link rate. The
// table has no column for it yet.
const diskRateShare = 0.3

// maxCandidates bounds the number of targets that are considered for one prompt; sample
// selects them.
const maxCandidates = 24

// Coordinators provides the coordinators' views of targets.
type Coordinators interface {
	Views(ctx context.Context, ids []request.TargetID, p coordinator.Prompt) map[request.TargetID]coordinator.View
}

// Tables provides the current snapshot of the table that operators edit.
type Tables interface {
	Current() *table.Snapshot
}

// Targets provides the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Options configures a Planner.
type Options struct {
	Params       placement.Params
	Tables       Tables
	Coordinators Coordinators
	Targets      Targets
	// OwnsStore reports whether this daemon is assigned to manage a store VM's space.
	OwnsStore func(id request.StoreID) bool
	// Instance differs for every start of every daemon. It is part of the names of exports.
	Instance string
	Seed     uint64
	Logger   hclog.Logger
	Metrics  tally.Scope
}

// Planner implements gateway.Contexts.
type Planner struct {
	opts       Options
	log        hclog.Logger
	stores     *storePool
	exporting  chan struct{} // semaphore: one element per running export
	background sync.WaitGroup
	ctx        context.Context // cancelled by Shutdown
	cancel     context.CancelFunc

	mu             sync.Mutex
	directory      *contextdir.Directory
	links          *placement.Links
	prefillRates   *placement.PrefillRates
	random         *rand.Rand
	budgets        map[request.StoreID]*retention.Budget
	generation     uint64
	pendingDeletes []pendingDelete               // oldest first
	lastConsidered map[request.StoreID]time.Time // when an import from the store VM was last considered

	imports, failedImports, recovered      tally.Counter
	exports, failedExports, droppedExports tally.Counter
	deferredChunks                         tally.Counter // the link was not available
}

// New returns a planner.
func New(opts Options) *Planner {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	log := opts.Logger.Named("planner")
	ctx, cancel := context.WithCancel(context.Background())
	return &Planner{
		opts:           opts,
		log:            log,
		stores:         newStorePool(log),
		exporting:      make(chan struct{}, maxExports),
		ctx:            ctx,
		cancel:         cancel,
		directory:      contextdir.New(contextdir.Params{}),
		links:          placement.NewLinks(),
		lastConsidered: map[request.StoreID]time.Time{},
		budgets:        map[request.StoreID]*retention.Budget{},
		prefillRates:   placement.NewPrefillRates(0),
		random:         rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		imports:        opts.Metrics.Counter("imports"),
		failedImports:  opts.Metrics.Counter("imports_failed"),
		recovered:      opts.Metrics.Counter("exports_recovered"),
		exports:        opts.Metrics.Counter("exports"),
		failedExports:  opts.Metrics.Counter("exports_failed"),
		droppedExports: opts.Metrics.Counter("exports_dropped"),
		deferredChunks: opts.Metrics.Counter("export_chunks_deferred"),
	}
}

// Shutdown cancels background work and waits until it has ended.
func (p *Planner) Shutdown() {
	p.cancel()
	p.background.Wait()
	p.stores.close()
}

// Choose implements gateway.Contexts.
func (p *Planner) Choose(ctx context.Context, c gateway.Context, exclude map[request.TargetID]bool) []gateway.Choice {
	snapshot := p.opts.Tables.Current()
	rows := p.engines(snapshot, c, exclude)
	if len(rows) == 0 {
		return nil
	}
	located := p.locate(c)
	if located.KnownBlocks == 0 {
		located = p.recover(ctx, snapshot, c)
	}
	rows = p.sample(snapshot, c.Scope.Version, rows, located)
	var queues sync.WaitGroup
	queues.Go(func() { p.readQueues(ctx, snapshot, located) })
	views := p.opts.Coordinators.Views(ctx, targetIDs(rows), coordinator.Prompt{Org: c.Scope.Org, Chain: c.Chain, Tokens: c.Tokens})
	queues.Wait()
	plan := p.plan(snapshot, c, rows, located, views)
	return choicesOf(snapshot, plan, located)
}

// engines returns the model's engines. The version that an engine has loaded is known only
// to its coordinator: during a rollout it differs from the table.
func (p *Planner) engines(snapshot *table.Snapshot, c gateway.Context, exclude map[request.TargetID]bool) []*table.Target {
	var out []*table.Target
	for _, t := range snapshot.EnginesFor(c.Scope.Model) {
		if !exclude[t.ID] {
			out = append(out, t)
		}
	}
	return out
}

// Version implements gateway.Contexts. It returns the version that the largest number of
// the model's available engines have loaded, judged by at most maxCandidates of them. It
// returns false if none of these reports a version.
func (p *Planner) Version(ctx context.Context, model request.Model) (request.Version, bool) {
	rows := p.opts.Tables.Current().EnginesFor(model)
	if len(rows) > maxCandidates {
		rows = rows[:maxCandidates]
	}
	count := map[request.Version]int{}
	var best request.Version
	for _, v := range p.opts.Coordinators.Views(ctx, targetIDs(rows), coordinator.Prompt{}) {
		if v.Down || v.Leaving || v.Version == "" {
			continue
		}
		count[v.Version]++
		if n := count[v.Version]; n > count[best] || n == count[best] && v.Version > best {
			best = v.Version
		}
	}
	return best, best != ""
}

const (
	// maxQueueAge is the maximum age of a link's queue length when an import over the link
	// is considered.
	maxQueueAge = 100 * time.Millisecond
	// queueTimeout bounds the wait for the queue lengths.
	queueTimeout = 50 * time.Millisecond
)

// readQueues reads the lengths of the link queues from the store VMs that hold the context.
// Imports of other daemons are visible only there. With a value that is a second old, two
// daemons would plan for the same idle link, and both imports would take twice as long as
// planned.
func (p *Planner) readQueues(ctx context.Context, snapshot *table.Snapshot, l contextdir.LookupResult) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, s := range snapshot.Stores() {
		if !slices.ContainsFunc(l.Copies, func(c contextdir.Copy) bool { return c.Store == s.ID }) {
			continue
		}
		reads.Go(func() {
			status, err := p.stores.statusWithin(ctx, s, maxQueueAge)
			if err != nil {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.links.OnQueueReport(s.ID, status.LinkQueueBytes, time.Now())
		})
	}
	reads.Wait()
}

func (p *Planner) locate(c gateway.Context) contextdir.LookupResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directory.Lookup(c.Scope, c.Chain)
}

// sample returns at most maxCandidates targets, which bounds the cost of one placement.
// Targets with the requested version come first, and among equals those that hold the
// context; ties are broken at random.
func (p *Planner) sample(
	snapshot *table.Snapshot, version request.Version, rows []*table.Target, located contextdir.LookupResult,
) []*table.Target {
	if len(rows) <= maxCandidates {
		return rows
	}
	holders := map[request.TargetID]bool{}
	for _, r := range located.Resident {
		holders[r.Target] = true
	}
	rank := func(t *table.Target) int {
		return 2*zeroIf(snapshot.TargetVersion(t) == version) + zeroIf(holders[t.ID])
	}
	p.mu.Lock()
	p.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	p.mu.Unlock()
	slices.SortStableFunc(rows, func(a, b *table.Target) int {
		return rank(a) - rank(b)
	})
	return rows[:maxCandidates]
}

func zeroIf(condition bool) int {
	if condition {
		return 0
	}
	return 1
}

func targetIDs(rows []*table.Target) []request.TargetID {
	out := make([]request.TargetID, 0, len(rows))
	for _, t := range rows {
		out = append(out, t.ID)
	}
	return out
}

func (p *Planner) plan(
	snapshot *table.Snapshot,
	c gateway.Context,
	rows []*table.Target,
	located contextdir.LookupResult,
	views map[request.TargetID]coordinator.View,
) placement.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := make([]placement.Candidate, 0, len(rows))
	for _, t := range rows {
		v, reported := views[t.ID]
		if v.Version == "" {
			v.Version = snapshot.TargetVersion(t)
		}
		candidates = append(candidates, p.candidate(t, v, reported, located))
	}
	r := placement.Request{Tokens: c.Tokens, Version: c.Scope.Version, TieBreak: p.random.Uint64()}
	if model, ok := snapshot.Model(c.Scope.Model); ok {
		r.BytesPerToken = model.BytesPerToken
	}
	return placement.Choose(p.opts.Params, r, candidates, p.copies(located, time.Now()))
}

// candidate combines the directory's estimate with the coordinator's view of a target. The
// coordinator reads the target's cache events, so its view takes precedence unless it is
// unconfirmed.
func (p *Planner) candidate(t *table.Target, v coordinator.View, reported bool, l contextdir.LookupResult) placement.Candidate {
	resident, unconfirmed := directoryEstimate(l, t.ID)
	if reported && !v.Unconfirmed {
		resident, unconfirmed = v.ResidentBlocks, false
	}
	rate := p.prefillRates.PrefillRate(t.ID)
	return placement.Candidate{
		ID:                  t.ID,
		FailureDomain:       t.FailureDomain,
		Version:             v.Version,
		QueuedPrefillTokens: int(v.Wait.Seconds() * rate),
		Running:             v.Running,
		Waiting:             v.Waiting,
		ResidentBlocks:      resident,
		Unconfirmed:         unconfirmed,
		Down:                v.Down,
		Leaving:             v.Leaving,
		PrefillRate:         rate,
	}
}

func directoryEstimate(l contextdir.LookupResult, id request.TargetID) (blocks int, unconfirmed bool) {
	for _, r := range l.Resident {
		if r.Target == id {
			return r.Blocks, r.Unconfirmed
		}
	}
	return 0, false
}

func (p *Planner) copies(l contextdir.LookupResult, now time.Time) []placement.Copy {
	out := make([]placement.Copy, 0, len(l.Copies))
	for _, c := range l.Copies {
		p.lastConsidered[c.Store] = now
		link := p.links.State(c.Store, now)
		available := placement.Copy{Store: c.Store, Blocks: c.Blocks, Link: link}
		if c.Tier == storeapi.TierDisk {
			available.TierBytesPerSec = link.BytesPerSec * diskRateShare
		}
		out = append(out, available)
	}
	return out
}

func choicesOf(snapshot *table.Snapshot, plan placement.Plan, l contextdir.LookupResult) []gateway.Choice {
	if !plan.Found {
		return nil
	}
	out := make([]gateway.Choice, 0, 1+len(plan.Alternatives))
	for i, o := range append([]placement.Option{plan.Option}, plan.Alternatives...) {
		t, ok := snapshot.Target(o.Target)
		if !ok {
			continue
		}
		choice := gateway.Choice{Target: *t, Recompute: o.Recomputed}
		if o.ImportBlocks > 0 && i == 0 {
			choice.Import = importOf(snapshot, o, plan.ImportDeadline, l)
		}
		out = append(out, choice)
	}
	return out
}

func importOf(snapshot *table.Snapshot, o placement.Option, deadline time.Duration, l contextdir.LookupResult) *gateway.Import {
	for _, s := range snapshot.Stores() {
		if s.ID != o.Store {
			continue
		}
		for _, c := range l.Copies {
			if c.Store == o.Store {
				from, to := importRange(o, c.Blocks)
				return &gateway.Import{
					Copy:    gateway.Copy{Store: s.ID, Address: s.Address, Manifest: c.Manifest, Tier: c.Tier},
					From:    from,
					To:      to,
					Bytes:   o.LinkBytes,
					Timeout: deadline,
				}
			}
		}
	}
	return nil
}

// OnAnswer implements gateway.Contexts.
func (p *Planner) OnAnswer(c gateway.Context, a gateway.CompletionStats) {
	p.exportInBackground(c, a.Target, p.recordAnswer(c, a))
}

func (p *Planner) recordAnswer(c gateway.Context, a gateway.CompletionStats) []contextdir.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	actions := p.directory.OnUse(c.Scope, c.Chain, now)
	p.directory.OnAnswer(a.Target, c.Scope, c.Chain, a.CachedTokens, now)
	if a.QueuedTokens == 0 {
		p.prefillRates.ObservePrefill(a.Target, a.PromptTokens-a.CachedTokens, a.FirstToken)
	}
	return actions
}

// State returns the dump of the directory.
func (p *Planner) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directory.Dump()
}
