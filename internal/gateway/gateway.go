// Package gateway implements the caller API. It answers route queries, runs each request
// through the filters, relays the answer and releases the resources of the request.
//
// A request passes through these steps:
//
//	accept -> identify -> limit -> place -> queue -> once -> dispatch -> relay -> settle
//
// The steps from identify to dispatch are filters of package pipeline, which make the
// decisions. The steps accept, relay and settle run on the goroutine of the caller's
// connection, so token bytes never pass through an actor.
//
// The once step, which records the call in the journal, follows the queue step. A call that
// is refused for lack of capacity therefore has no recorded intent: it certainly did not
// run, and the refusal causes no load on the key-value service.
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

// Tables provides the current snapshot of the table that operators edit.
type Tables interface {
	Current() *table.Snapshot
}

// Members provides the live daemons and the assignment of keys to them by rendezvous
// hashing.
type Members interface {
	Self() *peer.Member
	Live() []*peer.Member
	// Owner returns the daemon to which key is assigned.
	Owner(key string) *peer.Member
	// Rank returns the n daemons that rank highest for key.
	Rank(key string, n int) []*peer.Member
}

// Limiter enforces the limits of an organisation across all daemons.
type Limiter interface {
	// Admit requests admission of one request with the given number of prompt tokens. It
	// may send a request to a peer.
	Admit(ctx context.Context, org *table.Organisation, tokens int64) *request.Error
	// Done reports the end of an admitted request and its output tokens.
	Done(org request.OrgID, outputTokens int64)
}

// Journal ensures that a call that is not idempotent runs at most once.
type Journal interface {
	Partition(org request.OrgID, key string) int
	Holder(ctx context.Context, partition int) (journal.Holder, error)
	// ReportNotHolder reports that the daemon returned by Holder refused a call.
	ReportNotHolder(partition int)
	Begin(ctx context.Context, call journal.Call) (*journal.Ticket, *journal.Result, error)
	Finish(ctx context.Context, t *journal.Ticket, r journal.Result) error
	Abort(ctx context.Context, t *journal.Ticket) error
	MarkInDoubt(ctx context.Context, t *journal.Ticket) error
}

// Choice is a target to which a request may be sent.
type Choice struct {
	Target table.Target
	// Recompute is the number of prompt tokens that the target is expected to compute.
	Recompute int
	// Import describes the blocks to import from a store before dispatch; nil if none.
	Import *Import
}

// Import describes leading blocks to import from a copy in a store.
type Import struct {
	Copy Copy
	To   int // end of the range of blocks to import: [From, To)
	// From is the first block to import. If it is not 0, the target computes the preceding
	// blocks in the meantime, and RunImport returns immediately.
	From    int
	Bytes   int64         // size of the blocks that are not estimated to be cached at the target
	Timeout time.Duration // time after which the target prefills instead
}

// Copy identifies a committed manifest in a store.
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

// CompletionStats describes a finished completion, for the planner's estimates.
type CompletionStats struct {
	Target       request.TargetID
	CachedTokens int
	PromptTokens int
	FirstToken   time.Duration // from dispatch to the first frame
	QueuedTokens int64         // prefill tokens queued at the target ahead of the prompt when it was placed
}

// Contexts tracks where contexts are cached or stored, and selects targets for prompts.
type Contexts interface {
	// Choose ranks the targets that may serve the prompt, best first.
	Choose(ctx context.Context, c Context, exclude map[request.TargetID]bool) []Choice
	// Version returns the weight version that the largest number of a model's available
	// targets have loaded, judged by a bounded number of them. It returns false if none
	// of these reports a version.
	Version(ctx context.Context, model request.Model) (request.Version, bool)
	// RunImport executes the import of a choice. If it fails, the target prefills instead.
	RunImport(ctx context.Context, c Context, choice Choice)
	// OnAnswer updates the estimates from a target's answer and decides what to store.
	OnAnswer(c Context, a CompletionStats)
}

// AcquireRequest is a request for a grant to use a target.
type AcquireRequest struct {
	Request  request.ID
	Target   request.TargetID
	Org      request.OrgID
	Tokens   int64
	Deadline time.Time
	Suspect  bool // run it exclusively
	// Fingerprint identifies the content of the request, in case the target dies.
	Fingerprint quarantine.Fingerprint
}

// Grant is the permission to send one request to a target.
type Grant struct {
	ID          string
	Target      request.TargetID
	Incarnation uint64 // of the target, as known to its coordinator; 0 if unknown
	Priority    int    // at the engine; lower values run first
}

// Release ends a grant.
type Release struct {
	PrefillTokens int64
	TargetFailed  bool
}

// Coordinators requests grants from the coordinators of targets.
type Coordinators interface {
	Acquire(ctx context.Context, req AcquireRequest) (Grant, *request.Error)
	Release(g Grant, r Release)
	// RankInstances ranks the instances of a plain service, least loaded first.
	RankInstances(ctx context.Context, service string, exclude map[request.TargetID]bool) []table.Target
}

// Targets provides the client of a target.
type Targets interface {
	Client(t table.Target) *target.Client
}

// Quarantine limits the number of targets that one request can crash.
type Quarantine interface {
	// Gate decides, before placement, how a request may run.
	Gate(ctx context.Context, fp quarantine.Fingerprint) quarantine.Decision
	// Begin registers an attempt that is about to be sent. If it returns false, the
	// attempt must not be sent now.
	Begin(fp quarantine.Fingerprint, id request.ID, t request.TargetID, alone bool) bool
	// End reports that an attempt is no longer in flight.
	End(id request.ID)
	// TargetDied marks all requests in flight at a target as suspects.
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
	Stale             func() bool   // reports whether the table may be outdated; nil if it never is
	RouteTTL          time.Duration // how long callers may cache a route answer
	MaxResumes        int
	Seed              uint64        // seed of the retry jitter
	StreamIdleTimeout time.Duration // time without a frame after which a stream is idle
	FirstFrameTimeout time.Duration // the same for the first frame, which includes the prefill
	HopIdleTimeout    time.Duration // time without data from a peer after which the hop fails
	WriteTimeout      time.Duration // timeout of one write to a caller
	BodyTimeout       time.Duration // timeout for reading a request body; 0 means 30 s
}

// Gateway serves the caller API.
type Gateway struct {
	opts         Options
	log          hclog.Logger
	pipeline     *pipeline.Pipeline[*Job]
	hops         *hopClient
	stats        stats
	retryBudgets *retryBudgets
	poison       *poisonRecords
	cancels      sync.WaitGroup // pending cancellations of streams at targets
}

// New starts a Gateway.
func New(opts Options) *Gateway {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = defaultBodyTimeout
	}
	g := &Gateway{
		opts:         opts,
		log:          opts.Logger.Named("gateway"),
		hops:         newHopClient(),
		stats:        newStats(opts.Metrics),
		retryBudgets: newRetryBudgets(opts.Seed),
		poison:       newPoisonRecords(opts.Logger.Named("gateway"), opts.Metrics),
	}
	g.pipeline = pipeline.New(pipeline.Options[*Job]{
		Filters: g.filters(),
		Credits: opts.Credits,
		Logger:  opts.Logger.Named("pipeline"),
		Metrics: opts.Metrics,
	})
	return g
}

func (g *Gateway) filters() []pipeline.Filter[*Job] {
	return []pipeline.Filter[*Job]{
		&identifyFilter{g},
		&limitFilter{g},
		&placeFilter{g},
		&queueFilter{g},
		&permitFilter{g},
		&journalFilter{g},
		&dispatchFilter{g},
	}
}

// InFlight returns the number of requests that hold a credit.
func (g *Gateway) InFlight() int { return g.pipeline.InFlight() }

// Shutdown stops the filters. It must be called only when no request is in flight.
func (g *Gateway) Shutdown() {
	g.cancels.Wait()
	g.pipeline.Shutdown()
	g.hops.close()
}
