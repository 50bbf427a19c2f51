// Package limiter keeps organisations within their limits over all daemons. It runs
// the pure halves of policy/limit: the home, which admits requests from slices, and
// the steward, which leases slices of the organisations that belong to this daemon.
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
	// tickInterval is how often lapsed slices are dropped and asks repeated.
	tickInterval = 100 * time.Millisecond
	// sliceTimeout bounds one question to a steward.
	sliceTimeout = 500 * time.Millisecond
)

// Tables gives the operators' table in force.
type Tables interface {
	Current() *table.Snapshot
}

// Members gives the soft places among the live daemons.
type Members interface {
	Self() *peer.Member
	Live() []*peer.Member
	Members() []*peer.Member
	Owner(key string) *peer.Member
}

// PeerDialer gives the twirp client of a peer.
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

	mu      sync.Mutex
	home    *limit.Home
	steward *limit.Coordinator
	changed map[request.OrgID]chan struct{} // closed when a slice has come or failed
	live    []*peer.Member                  // as of the last tick
	known   int
}

// New returns a limiter.
func New(opts Options) *Limiter {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Limiter{
		opts:    opts,
		log:     opts.Logger.Named("limiter"),
		home:    limit.NewHome(opts.Params, 1),
		steward: limit.NewCoordinator(time.Now(), opts.Params),
		changed: map[request.OrgID]chan struct{}{},
	}
}

// limitsOf takes the limits from an organisation's row.
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
		decision, changed := l.ask(org, tokens)
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

func (l *Limiter) ask(org *table.Organisation, tokens int64) (limit.Decision, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.home.Admit(time.Now(), org.ID, limitsOf(org), tokens)
	changed, ok := l.changed[org.ID]
	if !ok {
		changed = make(chan struct{})
		l.changed[org.ID] = changed
	}
	if decision.SliceRequest != nil {
		l.fetches.Go(func() { l.fetch(*decision.SliceRequest) })
	}
	return decision, changed
}

// fetch asks the organisation's steward for a slice.
func (l *Limiter) fetch(want limit.SliceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), sliceTimeout)
	defer cancel()
	slice, err := l.slice(ctx, want)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.log.Debug("Limit steward was not reached", "organisation", want.Org, "error", err)
		l.home.OnSliceFailed(time.Now(), want.Org)
	} else {
		l.home.OnSlice(time.Now(), want.Org, slice)
	}
	l.wake(want.Org)
}

func (l *Limiter) wake(org request.OrgID) {
	if changed, ok := l.changed[org]; ok {
		close(changed)
		delete(l.changed, org)
	}
}

func (l *Limiter) slice(ctx context.Context, want limit.SliceRequest) (limit.Slice, error) {
	place := l.opts.Members.Owner(placeKey(want.Org))
	if place == nil || place.Id == l.opts.Members.Self().Id {
		return l.sliceHere(l.opts.Members.Self().Id, want), nil
	}
	answer, err := l.opts.Peers.Steward(place).Slice(ctx, &peer.SliceRequest{
		From:            l.opts.Members.Self().Id,
		Organisation:    string(want.Org),
		WantRequests:    want.Requests,
		WantConcurrency: want.Concurrency,
		WantTokens:      want.Tokens,
		UsedConcurrency: want.Used,
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
	}, nil
}

// sliceHere leases a slice as the organisation's steward.
func (l *Limiter) sliceHere(from string, want limit.SliceRequest) limit.Slice {
	var limits limit.Limits
	if org, ok := l.opts.Tables.Current().Organisation(want.Org); ok {
		limits = limitsOf(org)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steward.Slice(time.Now(), request.DaemonID(from), want.Org, limits, want)
}

// Done implements gateway.Limiter.
func (l *Limiter) Done(org request.OrgID, outputTokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.Done(time.Now(), org, outputTokens)
}

// Slice serves peer.Steward.
func (l *Limiter) Slice(_ context.Context, r *peer.SliceRequest) (*peer.SliceResponse, error) {
	slice := l.sliceHere(r.From, limit.SliceRequest{
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
	}, nil
}

// Run follows the members and repeats asks until ctx ends.
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

// Shutdown waits for the questions under way. Nothing may be admitted any more.
func (l *Limiter) Shutdown() { l.fetches.Wait() }

func (l *Limiter) tick() {
	live := l.opts.Members.Live()
	known := len(l.opts.Members.Members())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.followMembers(now, live, known)
	l.steward.Tick(now)
	for _, want := range l.home.Tick(now) {
		l.fetches.Go(func() { l.fetch(want) })
	}
}

// followMembers tells both halves of a change of the fleet. The caller holds l.mu.
func (l *Limiter) followMembers(now time.Time, live []*peer.Member, known int) {
	before := l.live
	if known == l.known && sameDaemons(before, live) {
		return
	}
	l.live, l.known = live, known
	l.home.OnMembershipChange(known)
	l.steward.OnMembershipChange(now, len(live), known)
	l.steward.OnAssignmentsChanged(now)
	self := l.opts.Members.Self().Id
	l.steward.ConfirmRetained(now, func(org request.OrgID) bool {
		return isPlace(before, org, self) && isPlace(live, org, self)
	})
}

func isPlace(live []*peer.Member, org request.OrgID, self string) bool {
	place := membership.Owner(live, placeKey(org))
	return place != nil && place.Id == self
}

// placeKey is the soft place of an organisation's limit steward.
func placeKey(org request.OrgID) string { return "limit/" + string(org) }

// sameDaemons tells whether two lists, ordered by id, name the same starts of daemons.
func sameDaemons(a, b []*peer.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *peer.Member) bool {
		return x.Id == y.Id && x.Incarnation == y.Incarnation
	})
}
