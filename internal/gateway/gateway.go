// Package gateway serves callers: it answers which address to use, runs each request
// through the filters, relays answers and settles what a request has taken.
//
// The way of a request:
//
//	accept -> identify -> limit -> place -> queue -> once -> dispatch -> relay -> settle
//
// The steps from identify to dispatch are filters of package pipeline and decide;
// accept, relay and settle run on the goroutine of the caller's connection, so token
// bytes never pass through an actor.
//
// The journal step comes after the queue: a call that is refused for want of room then
// has no intent, so "not run" is certain and costs the key-value service nothing.
package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/pipeline"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// Tables gives the operators' table in force.
type Tables interface {
	Current() *table.Snapshot
}

// Members gives the live daemons and the soft places among them.
type Members interface {
	Self() *peer.Member
	Live() []*peer.Member
	// Place returns the daemon that key belongs to.
	Place(key string) *peer.Member
	// Rank returns the n daemons that come first for key.
	Rank(key string, n int) []*peer.Member
}

// Limiter keeps an organisation within its limits over all daemons.
type Limiter interface {
	// Admit asks for one request of the given prompt tokens. It may ask a peer.
	Admit(ctx context.Context, org *table.Organisation, tokens int64) *request.Error
	// Done ends an admitted request and counts its output tokens.
	Done(org request.OrgID, outputTokens int64)
}

// Journal keeps calls that are not idempotent at most once.
type Journal interface {
	Partition(org request.OrgID, key string) int
	Holder(ctx context.Context, partition int) (journal.Holder, error)
	// OnHolderRefused is told that the daemon that Holder named refused a call.
	OnHolderRefused(partition int)
	Begin(ctx context.Context, call journal.Call) (*journal.Ticket, *journal.Result, error)
	Finish(ctx context.Context, t *journal.Ticket, r journal.Result) error
	Abort(ctx context.Context, t *journal.Ticket) error
	MarkInDoubt(ctx context.Context, t *journal.Ticket) error
}

// Choice is one target that a request may go to, best first.
type Choice struct {
	Target table.Target
	// Recompute is how many prompt tokens the target is expected to compute.
	Recompute int
	// Import names what to bring from a store before dispatch; nil for nothing.
	Import *Import
}

// Import is a copy of leading blocks in a store.
type Import struct {
	Copy   Copy
	Blocks int // leading blocks that the copy is to provide
	// From is the first of them that is brought. If it is not 0, the target computes the
	// blocks before it meanwhile, and Bring returns at once.
	From     int
	Bytes    int64         // of those that the target does not seem to have
	Deadline time.Duration // after this long the target prefills instead
}

// Copy names a committed manifest in a store.
type Copy struct {
	Store    request.StoreID
	Address  string // host:port
	Manifest string
	Tier     storeapi.Tier
}

// Context identifies the context of a prompt.
type Context struct {
	Scope  block.Scope
	Chain  []block.Hash
	Tokens int // prompt tokens
}

// CompletionStats is what a target said about a finished completion.
type CompletionStats struct {
	Target       request.TargetID
	CachedTokens int
	PromptTokens int
	FirstToken   time.Duration // from dispatch to the first frame
	QueuedTokens int64         // prefill work seen ahead at placement
}

// Contexts knows where contexts lie and decides where a prompt goes.
type Contexts interface {
	// Choose ranks the targets that may serve the prompt.
	Choose(ctx context.Context, c Context, exclude map[request.TargetID]bool) []Choice
	// Serving returns the weight version that most of a model's targets have loaded.
	Serving(ctx context.Context, model request.Model) (request.Version, bool)
	// RunImport carries out an import; a failure only means that the target prefills.
	RunImport(ctx context.Context, c Context, choice Choice)
	// OnAnswer takes the truth from an answer and decides what to keep.
	OnAnswer(c Context, a CompletionStats)
}

// AcquireRequest is a request for leave to use a target.
type AcquireRequest struct {
	Request  request.ID
	Target   request.TargetID
	Org      request.OrgID
	Tokens   int64
	Deadline time.Time
	Suspect  bool // run it with nothing beside it
	// Fingerprint names the request's content, for the case that the target dies.
	Fingerprint quarantine.Fingerprint
}

// Grant is leave to use a target.
type Grant struct {
	ID          string
	Target      request.TargetID
	Incarnation uint64 // of the target, as its steward knows it; 0: unknown
	Priority    int    // for the engine; lower runs first
}

// Release ends a grant.
type Release struct {
	PrefillTokens int64
	TargetFailed  bool
}

// Coordinators grants work on targets.
type Coordinators interface {
	Acquire(ctx context.Context, ask AcquireRequest) (Grant, *request.Error)
	Release(g Grant, r Release)
	// RankInstances ranks the instances of a plain service, least loaded first.
	RankInstances(ctx context.Context, service string, exclude map[request.TargetID]bool) []table.Target
}

// Targets gives the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Quarantine keeps a request that crashes targets from crashing many.
type Quarantine interface {
	// Gate says how a request may run, before it is placed.
	Gate(ctx context.Context, fp quarantine.Fingerprint) quarantine.Decision
	// Begin enters a try that is about to be sent; false: it must not be sent now.
	Begin(fp quarantine.Fingerprint, id request.ID, t request.TargetID, alone bool) bool
	// End is told that a try is no longer in flight.
	End(id request.ID)
	// TargetDied makes suspects of all that is in flight at a target.
	TargetDied(ctx context.Context, t request.TargetID, incarnation uint64)
}

// Options configures a Gateway.
type Options struct {
	Tables            Tables
	Members           Members
	Limiter           Limiter
	Journal           Journal
	Contexts          Contexts
	Coordinators      Coordinators
	Targets           Targets
	Quarantine        Quarantine
	Logger            hclog.Logger
	Metrics           tally.Scope
	Credits           int
	MaxBody           int
	DefaultDeadline   time.Duration
	Stale             func() bool   // tells whether the table can not be relied on; nil: it always can
	RouteTTL          time.Duration // how long callers keep a route answer
	MaxResumes        int
	Seed              uint64        // of the jitter of retries
	StreamIdleTimeout time.Duration // no frame for this long makes a stream silent
	FirstFrameTimeout time.Duration // the same for the first frame, which waits for the prefill
	HopIdleTimeout    time.Duration // no sign of life from a peer for this long fails the hop
	WriteTimeout      time.Duration // of one write to a caller
	BodyTimeout       time.Duration // of reading a request's body; 0: 30 s
}

// Gateway serves callers.
type Gateway struct {
	opts    Options
	log     hclog.Logger
	line    *pipeline.Pipeline[*Job]
	hops    *hopClient
	stats   stats
	budgets *budgets
	cancels sync.WaitGroup // orders to targets to stop a stream
}

// New starts a gateway.
func New(opts Options) *Gateway {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = defaultBodyTimeout
	}
	g := &Gateway{
		opts:    opts,
		log:     opts.Logger.Named("gateway"),
		hops:    newHopClient(),
		stats:   newStats(opts.Metrics),
		budgets: newBudgets(opts.Seed),
	}
	g.line = pipeline.New(pipeline.Options[*Job]{
		Filters: g.filters(),
		Credits: opts.Credits,
		Logger:  opts.Logger.Named("pipeline"),
		Metrics: opts.Metrics,
	})
	return g
}

func (g *Gateway) filters() []pipeline.Filter[*Job] {
	return []pipeline.Filter[*Job]{
		&identify{g},
		&limit{g},
		&place{g},
		&queue{g},
		&once{g},
		&dispatch{g},
	}
}

// InFlight returns the number of requests that hold a credit.
func (g *Gateway) InFlight() int { return g.line.InFlight() }

// Shutdown stops the filters. No request may be in flight.
func (g *Gateway) Shutdown() {
	g.cancels.Wait()
	g.line.Shutdown()
	g.hops.close()
}
