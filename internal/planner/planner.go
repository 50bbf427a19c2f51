// Package planner decides where prompts go. It joins the pure decisions (contextdir,
// placement, retention) with what stewards and stores report, and carries out imports
// and exports.
//
// A context's home daemon plans for it, so what the directory holds is complete for
// the contexts that live here as long as soft places do not move. After a move the
// new home knows less and recomputes more; it never answers wrongly, since the target
// itself decides which blocks it has.
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
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/steward"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// diskShare is a disk's assumed speed as a part of its store VM's link, until the
// table has a column for it.
const diskShare = 0.3

// maxLooked bounds how many targets are considered for one prompt. Beyond it, those
// that hold the context and a random sample of the rest are.
const maxLooked = 24

// Looker gives the stewards' views of targets.
type Looker interface {
	Look(ctx context.Context, ids []request.TargetID, p steward.Prompt) map[request.TargetID]steward.View
}

// Tables gives the operators' table in force.
type Tables interface {
	Current() *table.Snapshot
}

// Targets gives the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Options configures a Planner.
type Options struct {
	Params  placement.Params
	Tables  Tables
	Looker  Looker
	Targets Targets
	// Keeps tells whether the care of a store VM has its soft place here.
	Keeps func(id request.StoreID) bool
	// Instance differs for every start of every daemon. Names of exports carry it.
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
	exporting  chan struct{} // one for each export that runs
	background sync.WaitGroup
	ctx        context.Context // ends at Shutdown
	cancel     context.CancelFunc

	mu         sync.Mutex
	directory  *contextdir.Directory
	links      *placement.Links
	costs      *placement.PrefillRates
	random     *rand.Rand
	budgets    map[request.StoreID]*retention.Budget
	generation uint64
	unfreed    []unfreed                     // oldest first
	weighed    map[request.StoreID]time.Time // when an import from it was last weighed

	imports, failedImports, recovered      tally.Counter
	exports, failedExports, droppedExports tally.Counter
	deferredChunks                         tally.Counter // the link was another's
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
		weighed:        map[request.StoreID]time.Time{},
		budgets:        map[request.StoreID]*retention.Budget{},
		costs:          placement.NewPrefillRates(0),
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

// Shutdown ends background work.
func (p *Planner) Shutdown() {
	p.cancel()
	p.background.Wait()
	p.stores.close()
}

// Choose implements gateway.Contexts.
func (p *Planner) Choose(ctx context.Context, c gateway.Context, exclude map[request.TargetID]bool) []gateway.Choice {
	sheet := p.opts.Tables.Current()
	rows := p.engines(sheet, c, exclude)
	if len(rows) == 0 {
		return nil
	}
	located := p.locate(c)
	if located.KnownBlocks == 0 {
		located = p.recover(ctx, sheet, c)
	}
	rows = p.sample(sheet, c.Scope.Version, rows, located)
	var queues sync.WaitGroup
	queues.Go(func() { p.readQueues(ctx, sheet, located) })
	views := p.opts.Looker.Look(ctx, targetIDs(rows), steward.Prompt{Org: c.Scope.Org, Chain: c.Chain, Tokens: c.Tokens})
	queues.Wait()
	plan := p.plan(sheet, c, rows, located, views)
	return choicesOf(sheet, plan, located)
}

// engines returns the model's engines. Which version each has loaded shows only in
// its steward's view: while a version is rolled out it differs from the table.
func (p *Planner) engines(sheet *table.Snapshot, c gateway.Context, exclude map[request.TargetID]bool) []*table.Target {
	var out []*table.Target
	for _, t := range sheet.EnginesFor(c.Scope.Model) {
		if !exclude[t.ID] {
			out = append(out, t)
		}
	}
	return out
}

// Serving implements gateway.Contexts: the version that most of a model's engines
// have loaded now.
func (p *Planner) Serving(ctx context.Context, model request.Model) (request.Version, bool) {
	rows := p.opts.Tables.Current().EnginesFor(model)
	if len(rows) > maxLooked {
		rows = rows[:maxLooked]
	}
	count := map[request.Version]int{}
	var best request.Version
	for _, v := range p.opts.Looker.Look(ctx, targetIDs(rows), steward.Prompt{}) {
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
	// queueKept is how old a link's queue may be when an import over it is weighed.
	queueKept = 100 * time.Millisecond
	// queueTimeout bounds the wait for it.
	queueTimeout = 50 * time.Millisecond
)

// readQueues asks the store VMs that hold the context how long their links' queues are.
// Imports of other daemons show only there; with a queue that is a second old, two
// daemons plan for the same idle link and both imports take twice as long as planned.
func (p *Planner) readQueues(ctx context.Context, sheet *table.Snapshot, l contextdir.LookupResult) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, s := range sheet.Stores() {
		if !slices.ContainsFunc(l.Copies, func(c contextdir.Copy) bool { return c.Store == s.ID }) {
			continue
		}
		reads.Go(func() {
			status, err := p.stores.statusWithin(ctx, s, queueKept)
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

// sample keeps the cost of one placement flat when there are many targets.
func (p *Planner) sample(
	sheet *table.Snapshot, wanted request.Version, rows []*table.Target, located contextdir.LookupResult,
) []*table.Target {
	if len(rows) <= maxLooked {
		return rows
	}
	holders := map[request.TargetID]bool{}
	for _, r := range located.Resident {
		holders[r.Target] = true
	}
	rank := func(t *table.Target) int {
		return 2*firstIf(sheet.TargetVersion(t) == wanted) + firstIf(holders[t.ID])
	}
	p.mu.Lock()
	p.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	p.mu.Unlock()
	slices.SortStableFunc(rows, func(a, b *table.Target) int {
		return rank(a) - rank(b)
	})
	return rows[:maxLooked]
}

func firstIf(first bool) int {
	if first {
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
	sheet *table.Snapshot,
	c gateway.Context,
	rows []*table.Target,
	located contextdir.LookupResult,
	views map[request.TargetID]steward.View,
) placement.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := make([]placement.Candidate, 0, len(rows))
	for _, t := range rows {
		v, seen := views[t.ID]
		if v.Version == "" {
			v.Version = sheet.TargetVersion(t)
		}
		candidates = append(candidates, p.candidate(t, v, seen, located))
	}
	r := placement.Request{Tokens: c.Tokens, Version: c.Scope.Version, TieBreak: p.random.Uint64()}
	if model, ok := sheet.Model(c.Scope.Model); ok {
		r.BytesPerToken = model.BytesPerToken
	}
	return placement.Choose(p.opts.Params, r, candidates, p.copies(located, time.Now()))
}

// candidate joins what the directory remembers with what the steward sees. The
// steward reads the target's cache events; unless it is unsure its word counts.
func (p *Planner) candidate(t *table.Target, v steward.View, seen bool, l contextdir.LookupResult) placement.Candidate {
	resident, unsure := remembered(l, t.ID)
	if seen && !v.Unsure {
		resident, unsure = v.ResidentBlocks, false
	}
	rate := p.costs.PrefillRate(t.ID)
	return placement.Candidate{
		ID:                  t.ID,
		FailureDomain:       t.FailureDomain,
		Version:             v.Version,
		QueuedPrefillTokens: int(v.Wait.Seconds() * rate),
		Running:             v.Running,
		Waiting:             v.Waiting,
		ResidentBlocks:      resident,
		Unconfirmed:         unsure,
		Down:                v.Down,
		Leaving:             v.Leaving,
		PrefillRate:         rate,
	}
}

func remembered(l contextdir.LookupResult, id request.TargetID) (blocks int, unsure bool) {
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
		p.weighed[c.Store] = now
		link := p.links.State(c.Store, now)
		copied := placement.Copy{Store: c.Store, Blocks: c.Blocks, Link: link}
		if c.Tier == storeapi.TierDisk {
			copied.TierBytesPerSec = link.BytesPerSec * diskShare
		}
		out = append(out, copied)
	}
	return out
}

func choicesOf(sheet *table.Snapshot, plan placement.Plan, l contextdir.LookupResult) []gateway.Choice {
	if !plan.Found {
		return nil
	}
	out := make([]gateway.Choice, 0, 1+len(plan.Alternatives))
	for i, o := range append([]placement.Option{plan.Option}, plan.Alternatives...) {
		t, ok := sheet.Target(o.Target)
		if !ok {
			continue
		}
		choice := gateway.Choice{Target: *t, Recompute: o.Recomputed}
		if o.ImportBlocks > 0 && i == 0 {
			choice.Import = importOf(sheet, o, plan.ImportDeadline, l)
		}
		out = append(out, choice)
	}
	return out
}

func importOf(sheet *table.Snapshot, o placement.Option, deadline time.Duration, l contextdir.LookupResult) *gateway.Import {
	for _, s := range sheet.Stores() {
		if s.ID != o.Store {
			continue
		}
		for _, c := range l.Copies {
			if c.Store == o.Store {
				from, to := importSpan(o, c.Blocks)
				return &gateway.Import{
					Copy:     gateway.Copy{Store: s.ID, Address: s.Address, Manifest: c.Manifest, Tier: c.Tier},
					From:     from,
					Blocks:   to,
					Bytes:    o.LinkBytes,
					Deadline: deadline,
				}
			}
		}
	}
	return nil
}

// OnAnswer implements gateway.Contexts.
func (p *Planner) OnAnswer(c gateway.Context, a gateway.CompletionStats) {
	p.keep(c, a.Target, p.learn(c, a))
}

func (p *Planner) learn(c gateway.Context, a gateway.CompletionStats) []contextdir.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	freed := p.directory.OnUse(c.Scope, c.Chain, now)
	p.directory.OnAnswer(a.Target, c.Scope, c.Chain, a.CachedTokens, now)
	if a.QueuedTokens == 0 {
		p.costs.ObservePrefill(a.Target, a.PromptTokens-a.CachedTokens, a.FirstToken)
	}
	return freed
}

// State returns the dump of the directory.
func (p *Planner) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directory.Dump()
}
