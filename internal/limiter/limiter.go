// Package limiter enforces the limits of organisations across all daemons. It runs the pure
// parts of policy/limit: the LocalLimiter, which admits requests against slices, and the
// coordinator, which leases slices for the organisations that are assigned to this daemon.
package limiter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/membership"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/limit"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// tickInterval is the interval at which expired slices are removed and slice requests
	// are repeated.
	tickInterval = 100 * time.Millisecond
	// sliceTimeout bounds one slice request to a coordinator.
	sliceTimeout = 500 * time.Millisecond
)

// Tables provides the current snapshot of the table that operators edit.
type Tables interface {
	Current() *table.Snapshot
}

// Members provides the daemons and the hashed assignments among the live ones.
type Members interface {
	Self() *peer.Member
	Live() []*peer.Member
	Members() []*peer.Member
	Owner(key string) *peer.Member
}

// PeerDialer provides the twirp client of a peer.
type PeerDialer interface {
	Steward(m *peer.Member) peer.Steward
}

// Options configures a Limiter.
type Options struct {
	Tables  Tables
	Members Members
	Peers   PeerDialer
	Params  limit.Params
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Limiter implements gateway.Limiter and the Slice call of peer.Steward.
type Limiter struct {
	opts Options
	log  hclog.Logger

	fetches sync.WaitGroup

	mu          sync.Mutex
	local       *limit.LocalLimiter
	coordinator *limit.Coordinator
	changed     map[request.OrgID]chan struct{} // closed when a slice request has succeeded or failed
	live        []*peer.Member                  // as of the last tick
	known       int
}

// New returns a limiter.
func New(opts Options) *Limiter {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Limiter{
		opts:        opts,
		log:         opts.Logger.Named("limiter"),
		local:       limit.NewLocalLimiter(opts.Params, 1),
		coordinator: limit.NewCoordinator(time.Now(), opts.Params),
		changed:     map[request.OrgID]chan struct{}{},
	}
}

// limitsOf returns the limits in an organisation's row.
func limitsOf(o *table.Organisation) limit.Limits {
	return limit.Limits{
		RequestsPerSecond: o.RequestsPerSecond,
		Burst:             o.Burst,
		Concurrency:       o.Concurrency,
		TokensPerSecond:   o.TokensPerSecond,
	}
}

// Admit implements gateway.Limiter.
func (l *Limiter) Admit(ctx context.Context, org *table.Organisation, tokens int64) *request.Error {
	for {
		decision, changed := l.tryAdmit(org, tokens)
		switch decision.Outcome {
		case limit.Admitted:
			return nil
		case limit.Refused:
			return request.Refuse(request.CodeOverLimit, http.StatusTooManyRequests, decision.RetryAfter,
				"organisation %s is over its limits", org.ID)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return request.Refuse(request.CodeCancelled, http.StatusServiceUnavailable, 0, "the caller left")
		}
	}
}

func (l *Limiter) tryAdmit(org *table.Organisation, tokens int64) (limit.Decision, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.local.Admit(time.Now(), org.ID, limitsOf(org), tokens)
	changed, ok := l.changed[org.ID]
	if !ok {
		changed = make(chan struct{})
		l.changed[org.ID] = changed
	}
	if decision.SliceRequest != nil {
		l.fetches.Go(func() { l.fetchSlice(*decision.SliceRequest) })
	}
	return decision, changed
}

// fetchSlice requests a slice from the organisation's coordinator.
func (l *Limiter) fetchSlice(req limit.SliceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), sliceTimeout)
	defer cancel()
	slice, err := l.requestSlice(ctx, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.log.Debug("Slice request to the limit coordinator failed", "organisation", req.Org, "error", err)
		l.local.OnSliceFailed(time.Now(), req.Org)
	} else {
		l.local.OnSlice(time.Now(), req.Org, slice)
	}
	l.wakeWaiters(req.Org)
}

func (l *Limiter) wakeWaiters(org request.OrgID) {
	if changed, ok := l.changed[org]; ok {
		close(changed)
		delete(l.changed, org)
	}
}

func (l *Limiter) requestSlice(ctx context.Context, req limit.SliceRequest) (limit.Slice, error) {
	coordinator := l.opts.Members.Owner(assignmentKey(req.Org))
	if coordinator == nil || coordinator.Id == l.opts.Members.Self().Id {
		return l.grantSlice(l.opts.Members.Self().Id, req), nil
	}
	answer, err := l.opts.Peers.Steward(coordinator).Slice(ctx, &peer.SliceRequest{
		From:            l.opts.Members.Self().Id,
		Organisation:    string(req.Org),
		WantRequests:    req.Requests,
		WantConcurrency: req.Concurrency,
		WantTokens:      req.Tokens,
		UsedConcurrency: req.Used,
	})
	if err != nil {
		return limit.Slice{}, err
	}
	return limit.Slice{
		Requests:    answer.Requests,
		Concurrency: answer.Concurrency,
		Tokens:      answer.Tokens,
		TTL:         time.Duration(answer.TtlMs) * time.Millisecond,
		RetryAfter:  time.Duration(answer.RetryAfterMs) * time.Millisecond,
		Settling:    answer.Settling,
	}, nil
}

// grantSlice leases a slice as the organisation's coordinator.
func (l *Limiter) grantSlice(from string, req limit.SliceRequest) limit.Slice {
	var limits limit.Limits
	if org, ok := l.opts.Tables.Current().Organisation(req.Org); ok {
		limits = limitsOf(org)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator.Slice(time.Now(), request.DaemonID(from), req.Org, limits, req)
}

// Done implements gateway.Limiter.
func (l *Limiter) Done(org request.OrgID, outputTokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Done(time.Now(), org, outputTokens)
}

// Slice serves peer.Steward.
func (l *Limiter) Slice(_ context.Context, r *peer.SliceRequest) (*peer.SliceResponse, error) {
	slice := l.grantSlice(r.From, limit.SliceRequest{
		Org:         request.OrgID(r.Organisation),
		Requests:    r.WantRequests,
		Concurrency: r.WantConcurrency,
		Tokens:      r.WantTokens,
		Used:        r.UsedConcurrency,
	})
	return &peer.SliceResponse{
		Requests:     slice.Requests,
		Concurrency:  slice.Concurrency,
		Tokens:       slice.Tokens,
		TtlMs:        slice.TTL.Milliseconds(),
		RetryAfterMs: slice.RetryAfter.Milliseconds(),
		Settling:     slice.Settling,
	}, nil
}

// Run tracks the members and repeats slice requests until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.tick()
		}
	}
}

// Shutdown waits for pending slice requests. The caller must have stopped calling Admit.
func (l *Limiter) Shutdown() { l.fetches.Wait() }

func (l *Limiter) tick() {
	live := l.opts.Members.Live()
	known := len(l.opts.Members.Members())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.updateMembership(now, live, known)
	l.coordinator.Tick(now)
	for _, req := range l.local.Tick(now) {
		l.fetches.Go(func() { l.fetchSlice(req) })
	}
}

// updateMembership notifies the LocalLimiter and the Coordinator of membership changes. The
// caller holds l.mu.
func (l *Limiter) updateMembership(now time.Time, live []*peer.Member, known int) {
	previous := l.live
	if known == l.known && sameIncarnations(previous, live) {
		return
	}
	l.live, l.known = live, known
	l.local.OnMembershipChange(known)
	l.coordinator.OnMembershipChange(now, len(live), known)
	l.coordinator.OnAssignmentsChanged(now)
	self := l.opts.Members.Self().Id
	l.coordinator.ConfirmRetained(now, func(org request.OrgID) bool {
		return isCoordinator(previous, org, self) && isCoordinator(live, org, self)
	})
}

func isCoordinator(live []*peer.Member, org request.OrgID, self string) bool {
	coordinator := membership.Owner(live, assignmentKey(org))
	return coordinator != nil && coordinator.Id == self
}

// assignmentKey returns the key by which an organisation is assigned to a limit coordinator.
func assignmentKey(org request.OrgID) string { return "limit/" + string(org) }

// sameIncarnations reports whether two lists, ordered by ID, contain the same incarnations
// of the same daemons.
func sameIncarnations(a, b []*peer.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *peer.Member) bool {
		return x.Id == y.Id && x.Incarnation == y.Incarnation
	})
}
