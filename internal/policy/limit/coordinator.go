package limit

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Coordinator leases slices of organisations' limits to the LocalLimiters of the daemons.
type Coordinator struct {
	params    Params
	changedAt time.Time // last membership or assignment change
	live      int
	known     int
	ledgers   map[request.OrgID]*ledger
}

// ledger is the coordinator's state of one organisation.
type ledger struct {
	requests    bucket
	tokens      bucket
	limits      Limits
	lastRequest time.Time
	slots       map[request.DaemonID]slotLease
	// cautiousUntil is the time until which slots leased by an earlier coordinator may
	// be in use.
	cautiousUntil time.Time
}

// slotLease is the number of slots leased to one daemon.
type slotLease struct {
	slots   int64
	expires time.Time
}

// NewCoordinator returns the coordinator of one daemon. It serves every organisation for
// which the daemon receives slice requests.
func NewCoordinator(now time.Time, params Params) *Coordinator {
	params.setDefaults()
	return &Coordinator{params: params, changedAt: now, live: 1, known: 1, ledgers: make(map[request.OrgID]*ledger)}
}

// OnMembershipChange updates the number of daemons that this daemon sees alive, itself
// included, and the number of known daemons. The latter is the larger of the number of
// daemons alive in the last minute and the number on the VM list.
//
// A coordinator grants the share live/known of each limit. During a network partition
// each side has its own coordinator, and without this share each of them would grant the
// full limit.
func (c *Coordinator) OnMembershipChange(now time.Time, live, known int) {
	live = max(live, 1)
	known = max(known, live)
	if live != c.live || known != c.known {
		c.changedAt = now
	}
	c.live, c.known = live, known
}

// OnAssignmentsChanged records that organisations may have moved to another coordinator
// although the number of live daemons is unchanged, for example when one daemon left and
// another joined.
func (c *Coordinator) OnAssignmentsChanged(now time.Time) { c.changedAt = now }

// ConfirmRetained records, after a change, the organisations that this coordinator served
// before the change and still serves. No other coordinator can have granted slices of their
// limits. Without this call every membership change, of which a large fleet sees several an
// hour, would restrict all organisations to one slot at a time for SettleTTL.
func (c *Coordinator) ConfirmRetained(now time.Time, retained func(request.OrgID) bool) {
	for org, l := range c.ledgers {
		if retained(org) && !l.lastRequest.Before(l.cautiousUntil) {
			l.lastRequest = now
		}
	}
}

// Resign removes the ledger of an organisation that another daemon now coordinates. It
// only saves memory: an organisation that is assigned here again starts as a new one.
func (c *Coordinator) Resign(org request.OrgID) { delete(c.ledgers, org) }

// Orgs returns the number of organisations that have a ledger.
func (c *Coordinator) Orgs() int { return len(c.ledgers) }

// Slice answers a daemon's slice request. Requests and tokens are taken from the
// organisation's buckets; an amount that expires unused is lost and never granted twice.
func (c *Coordinator) Slice(now time.Time, from request.DaemonID, org request.OrgID, limits Limits, req SliceRequest) Slice {
	l := c.ledger(now, org, limits)
	l.limits = limits
	out := Slice{TTL: c.params.SliceTTL}
	var wait time.Duration
	out.Requests, wait = c.grantRequests(now, l, limits, req.Requests)
	out.RetryAfter = max(out.RetryAfter, wait)
	out.Tokens, wait = c.grantTokens(now, l, limits, req.Tokens)
	out.RetryAfter = max(out.RetryAfter, wait)
	out.Concurrency, wait = c.leaseSlots(now, l, from, limits, req)
	out.RetryAfter = max(out.RetryAfter, wait)
	if out.RetryAfter > 0 {
		out.RetryAfter = c.params.clamp(out.RetryAfter)
		out.Settling = now.Before(l.cautiousUntil)
	}
	return out
}

// Tick removes the ledgers whose buckets are full and whose slots are free, since they
// equal a new ledger.
func (c *Coordinator) Tick(now time.Time) {
	for org, l := range c.ledgers {
		l.requests.fill(now, l.limits.RequestsPerSecond*c.share(), l.limits.burst())
		l.tokens.fill(now, l.limits.TokensPerSecond*c.share(), l.limits.tokenBurst())
		l.pruneSlots(now)
		full := l.requests.level >= l.limits.burst() || l.limits.RequestsPerSecond <= 0
		full = full && l.tokens.level >= l.limits.tokenBurst()
		if full && len(l.slots) == 0 && now.Sub(c.changedAt) > c.params.SettleTTL {
			delete(c.ledgers, org)
		}
	}
}

func (c *Coordinator) share() float64 { return float64(c.live) / float64(c.known) }

// ledger returns an organisation's ledger for a slice request that arrives now.
//
// After a membership change the organisation may have had another coordinator, which may
// just have granted a full burst. This coordinator therefore grants only the amount that
// refilled since the change, plus one request so that a quiet organisation can continue
// immediately. Without this limit a coordinator that regains an organisation would grant a
// burst that another coordinator has already granted.
func (c *Coordinator) ledger(now time.Time, org request.OrgID, limits Limits) *ledger {
	l, ok := c.ledgers[org]
	if !ok {
		l = &ledger{slots: make(map[request.DaemonID]slotLease)}
		l.requests = bucket{level: limits.burst(), filledAt: now}
		l.tokens = bucket{level: limits.tokenBurst(), filledAt: now}
		c.ledgers[org] = l
	}
	if l.lastRequest.Before(c.changedAt) {
		age := now.Sub(c.changedAt).Seconds()
		l.requests.fill(now, limits.RequestsPerSecond*c.share(), min(limits.burst(), 1+age*limits.RequestsPerSecond))
		l.tokens.fill(now, limits.TokensPerSecond*c.share(), min(limits.tokenBurst(), 1+age*limits.TokensPerSecond))
		l.cautiousUntil = c.changedAt.Add(c.params.SettleTTL)
	}
	l.lastRequest = now
	return l
}

func (l *ledger) pruneSlots(now time.Time) {
	for daemon, lease := range l.slots {
		if !lease.expires.After(now) {
			delete(l.slots, daemon)
		}
	}
}

// grantRequests grants at most half of the available requests, and at least one, so that
// one daemon's reserve does not starve the other daemons.
func (c *Coordinator) grantRequests(now time.Time, l *ledger, limits Limits, want int64) (int64, time.Duration) {
	if limits.RequestsPerSecond <= 0 || want <= 0 {
		return max(want, 0), 0
	}
	rate := limits.RequestsPerSecond * c.share()
	l.requests.fill(now, rate, limits.burst())
	if l.requests.level < 1 {
		return 0, l.requests.timeToReach(1, rate)
	}
	granted := min(want, max(1, int64(l.requests.level/2)))
	l.requests.level -= float64(granted)
	if granted < want && l.requests.level < 1 {
		return granted, l.requests.timeToReach(1, rate)
	}
	return granted, 0
}

// grantTokens grants the full request while the bucket holds any tokens, and lets the level
// become negative: a prompt is not divisible, and a prompt larger than the bucket must be
// admitted. The bucket refills above zero before it grants tokens again.
func (c *Coordinator) grantTokens(now time.Time, l *ledger, limits Limits, want int64) (int64, time.Duration) {
	if limits.TokensPerSecond <= 0 || want <= 0 {
		return max(want, 0), 0
	}
	rate := limits.TokensPerSecond * c.share()
	l.tokens.fill(now, rate, limits.tokenBurst())
	if l.tokens.level <= 0 {
		return 0, l.tokens.timeToReach(1, rate)
	}
	l.tokens.level -= float64(want)
	return want, 0
}

// leaseSlots leases slots up to the limit, less the slots held by other daemons. A daemon gets
// at most half of the free slots in addition to those in use. It keeps the slots that it
// holds unless it requests fewer, because it may have admitted requests since it sent the
// slice request.
func (c *Coordinator) leaseSlots(now time.Time, l *ledger, from request.DaemonID, limits Limits, req SliceRequest) (int64, time.Duration) {
	if limits.Concurrency <= 0 {
		return max(req.Concurrency, 0), 0
	}
	l.pruneSlots(now)
	free := max(1, int64(float64(limits.Concurrency)*c.share())) - req.Used
	for daemon, lease := range l.slots {
		if daemon != from {
			free -= lease.slots
		}
	}
	free = max(free, 0)
	if now.Before(l.cautiousUntil) {
		free = min(free, 1)
	}
	granted := req.Used + min(max(req.Concurrency-req.Used, 0), max(min(free, 1), free/2))
	granted = max(granted, min(l.slots[from].slots, req.Concurrency))
	l.slots[from] = slotLease{slots: granted, expires: now.Add(c.params.SliceTTL)}
	if granted < req.Concurrency && free <= 1 {
		return granted, c.params.SliceTTL / 2
	}
	return granted, 0
}
