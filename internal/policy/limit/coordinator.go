package limit

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Coordinator leases slices of organisations' limits to homes.
type Coordinator struct {
	params  Params
	changed time.Time // last change of membership
	live    int
	known   int
	ledgers map[request.OrgID]*ledger
}

// ledger is what the steward knows of one organisation.
type ledger struct {
	requests bucket
	tokens   bucket
	limits   Limits
	asked    time.Time
	places   map[request.DaemonID]placeLease
	// cautious is set while places that an earlier steward leased may be in use.
	cautious time.Time
}

// placeLease is the number of places of one home.
type placeLease struct {
	places  int64
	expires time.Time
}

// NewCoordinator returns the steward's part of one daemon. It serves any organisation
// that the daemon is asked for.
func NewCoordinator(now time.Time, params Params) *Coordinator {
	params.setDefaults()
	return &Coordinator{params: params, changed: now, live: 1, known: 1, ledgers: make(map[request.OrgID]*ledger)}
}

// OnMembershipChange is told how many daemons this one sees alive, itself included, and how
// many there are: those alive in the last minute or on the VM list, whichever is
// more.
//
// A steward gives out the share live/known of each limit. When the network splits,
// each side has a steward of its own; without this each would give out the whole
// limit.
func (s *Coordinator) OnMembershipChange(now time.Time, live, known int) {
	live = max(live, 1)
	known = max(known, live)
	if live != s.live || known != s.known {
		s.changed = now
	}
	s.live, s.known = live, known
}

// OnAssignmentsChanged is told that organisations may have another steward than before,
// although as many daemons live: one left while another came.
func (s *Coordinator) OnAssignmentsChanged(now time.Time) { s.changed = now }

// ConfirmRetained is told, after a change, which organisations had this steward before it and have
// it still. Nobody else can have given out anything of theirs. Without this every change
// of membership, several an hour in a large fleet, would hold all organisations to one
// place at a time for SettleTTL.
func (s *Coordinator) ConfirmRetained(now time.Time, kept func(request.OrgID) bool) {
	for org, l := range s.ledgers {
		if kept(org) && !l.asked.Before(l.cautious) {
			l.asked = now
		}
	}
}

// Resign forgets an organisation that another daemon is now the steward of. It only
// saves memory: an organisation that comes back is treated as a new one.
func (s *Coordinator) Resign(org request.OrgID) { delete(s.ledgers, org) }

// Orgs returns how many organisations have a ledger.
func (s *Coordinator) Orgs() int { return len(s.ledgers) }

// Slice answers a home. Requests and tokens are taken from the organisation's
// buckets, so that what lapses unused is lost and never given twice.
func (s *Coordinator) Slice(now time.Time, from request.DaemonID, org request.OrgID, limits Limits, want SliceRequest) Slice {
	l := s.ledger(now, org, limits)
	l.limits = limits
	out := Slice{TTL: s.params.SliceTTL}
	var wait time.Duration
	out.Requests, wait = s.sliceRequests(now, l, limits, want.Requests)
	out.RetryAfter = max(out.RetryAfter, wait)
	out.Tokens, wait = s.sliceTokens(now, l, limits, want.Tokens)
	out.RetryAfter = max(out.RetryAfter, wait)
	out.Concurrency, wait = s.slicePlaces(now, l, from, limits, want)
	out.RetryAfter = max(out.RetryAfter, wait)
	if out.RetryAfter > 0 {
		out.RetryAfter = s.params.clamp(out.RetryAfter)
	}
	return out
}

// Tick forgets organisations whose buckets are full and places free, as a new
// ledger would be.
func (s *Coordinator) Tick(now time.Time) {
	for org, l := range s.ledgers {
		l.requests.fill(now, l.limits.RequestsPerSecond*s.share(), l.limits.burst())
		l.tokens.fill(now, l.limits.TokensPerSecond*s.share(), l.limits.tokenBurst())
		l.prune(now)
		full := l.requests.level >= l.limits.burst() || l.limits.RequestsPerSecond <= 0
		full = full && l.tokens.level >= l.limits.tokenBurst()
		if full && len(l.places) == 0 && now.Sub(s.changed) > s.params.SettleTTL {
			delete(s.ledgers, org)
		}
	}
}

func (s *Coordinator) share() float64 { return float64(s.live) / float64(s.known) }

// ledger returns an organisation's ledger, to be asked now.
//
// After a change of membership the organisation may have had another steward, which may
// just have given out a full burst. What has filled since the change is this one's to
// give; the one request on top lets a quiet organisation go on at once. Without this a
// steward that got its place back would give a burst that another has given already.
func (s *Coordinator) ledger(now time.Time, org request.OrgID, limits Limits) *ledger {
	l, ok := s.ledgers[org]
	if !ok {
		l = &ledger{places: make(map[request.DaemonID]placeLease)}
		l.requests = bucket{level: limits.burst(), at: now}
		l.tokens = bucket{level: limits.tokenBurst(), at: now}
		s.ledgers[org] = l
	}
	if l.asked.Before(s.changed) {
		age := now.Sub(s.changed).Seconds()
		l.requests.fill(now, limits.RequestsPerSecond*s.share(), min(limits.burst(), 1+age*limits.RequestsPerSecond))
		l.tokens.fill(now, limits.TokensPerSecond*s.share(), min(limits.tokenBurst(), 1+age*limits.TokensPerSecond))
		l.cautious = s.changed.Add(s.params.SettleTTL)
	}
	l.asked = now
	return l
}

func (l *ledger) prune(now time.Time) {
	for home, lease := range l.places {
		if !lease.expires.After(now) {
			delete(l.places, home)
		}
	}
}

// sliceRequests gives at most half of what there is, and at least one, so that one
// home's reserve does not leave the others without.
func (s *Coordinator) sliceRequests(now time.Time, l *ledger, limits Limits, want int64) (int64, time.Duration) {
	if limits.RequestsPerSecond <= 0 || want <= 0 {
		return max(want, 0), 0
	}
	rate := limits.RequestsPerSecond * s.share()
	l.requests.fill(now, rate, limits.burst())
	if l.requests.level < 1 {
		return 0, l.requests.until(1, rate)
	}
	give := min(want, max(1, int64(l.requests.level/2)))
	l.requests.level -= float64(give)
	if give < want && l.requests.level < 1 {
		return give, l.requests.until(1, rate)
	}
	return give, 0
}

// sliceTokens gives what is asked while there is anything, and lets the bucket go
// below zero: a prompt is not divisible, and one larger than the bucket must pass.
// The debt is paid off before anything else is given.
func (s *Coordinator) sliceTokens(now time.Time, l *ledger, limits Limits, want int64) (int64, time.Duration) {
	if limits.TokensPerSecond <= 0 || want <= 0 {
		return max(want, 0), 0
	}
	rate := limits.TokensPerSecond * s.share()
	l.tokens.fill(now, rate, limits.tokenBurst())
	if l.tokens.level <= 0 {
		return 0, l.tokens.until(1, rate)
	}
	l.tokens.level -= float64(want)
	return want, 0
}

// slicePlaces leases places up to the limit, less what other homes hold. A home gets
// at most half of what is free above what it uses, and keeps what it holds unless it
// asks for less: it may have admitted requests since it sent its ask.
func (s *Coordinator) slicePlaces(now time.Time, l *ledger, from request.DaemonID, limits Limits, want SliceRequest) (int64, time.Duration) {
	if limits.Concurrency <= 0 {
		return max(want.Concurrency, 0), 0
	}
	l.prune(now)
	free := max(1, int64(float64(limits.Concurrency)*s.share())) - want.Used
	for home, lease := range l.places {
		if home != from {
			free -= lease.places
		}
	}
	free = max(free, 0)
	if now.Before(l.cautious) {
		free = min(free, 1)
	}
	give := want.Used + min(max(want.Concurrency-want.Used, 0), max(min(free, 1), free/2))
	give = max(give, min(l.places[from].places, want.Concurrency))
	l.places[from] = placeLease{places: give, expires: now.Add(s.params.SliceTTL)}
	if give < want.Concurrency && free <= 1 {
		return give, s.params.SliceTTL / 2
	}
	return give, 0
}
