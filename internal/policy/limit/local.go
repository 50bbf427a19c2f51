package limit

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// maxHold bounds the time for which requests wait instead of being refused while a coordinator settles. It is a small part of the time in which
// callers expect the first token.
const maxHold = 250 * time.Millisecond

// Outcome is the result of an admission decision.
type Outcome string

const (
	// Admitted means that the request may run. The caller must call Done when it ends.
	Admitted Outcome = "admitted"
	// Pending means that the LocalLimiter needs a slice first. The caller must call Admit again
	// after OnSlice or OnSliceFailed.
	Pending Outcome = "pending"
	// Refused is final and means that the organisation exceeds its limit.
	Refused Outcome = "refused"
)

// Decision is the answer of LocalLimiter.Admit.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // set with Refused
	// SliceRequest must be sent to the coordinator now, whatever the outcome. Nil means
	// that there is nothing to send.
	SliceRequest *SliceRequest
}

// LocalLimiter admits one daemon's requests against slices that it obtains from the
// coordinator.
type LocalLimiter struct {
	params   Params
	daemons  int
	accounts map[request.OrgID]*account
}

// account is a LocalLimiter's state of one organisation's limits.
type account struct {
	limits Limits
	slices []heldSlice // earliest expiry first

	slots           int64
	slotsExpire     time.Time
	running         int64
	uncoveredTokens int64 // prompt and output tokens not yet charged to a slice

	requesting    bool
	requestedAt   time.Time
	pending       int64 // requests that got Pending since the last slice request ended
	pendingTokens int64 // tokens of the pending requests

	refusedUntil time.Time
	heldUntil    time.Time // requests that get no slice wait instead of being refused
	holdEnds     time.Time // bounds heldUntil, from the first of several refusals on
	demand       demand
	lastUsed     time.Time
	fallback     *fallback // nil while the coordinator is reachable
}

type heldSlice struct {
	requests int64
	tokens   int64
	expires  time.Time
}

// NewLocalLimiter returns the LocalLimiter of one daemon. daemons is the size of the fleet.
func NewLocalLimiter(params Params, daemons int) *LocalLimiter {
	params.setDefaults()
	return &LocalLimiter{params: params, daemons: max(daemons, 1), accounts: make(map[request.OrgID]*account)}
}

// OnMembershipChange sets the number of daemons in the fleet: the larger of the number of
// daemons alive in the last minute and the number on the VM list, as in
// Coordinator.OnMembershipChange.
func (l *LocalLimiter) OnMembershipChange(known int) { l.daemons = max(known, 1) }

// Admit decides whether a request with the given number of prompt tokens may run.
func (l *LocalLimiter) Admit(now time.Time, org request.OrgID, limits Limits, tokens int64) Decision {
	a := l.account(now, org, limits)
	if limits == (Limits{}) {
		a.running++
		return Decision{Outcome: Admitted}
	}
	l.checkTimeout(now, a)
	if a.fallback != nil {
		return l.admitInFallback(now, org, a, tokens)
	}
	if a.covers(now, tokens) {
		a.charge(tokens)
		a.demand.add(now, tokens)
		return Decision{Outcome: Admitted, SliceRequest: l.requestSliceAhead(now, org, a)}
	}
	if now.Before(a.refusedUntil) {
		return Decision{Outcome: Refused, RetryAfter: l.params.clamp(a.refusedUntil.Sub(now))}
	}
	a.pending++
	a.pendingTokens += tokens
	if a.requesting || now.Before(a.heldUntil) {
		return Decision{Outcome: Pending}
	}
	return Decision{Outcome: Pending, SliceRequest: l.requestSlice(now, org, a)}
}

// OnSlice applies the coordinator's answer. The TTL of the slice starts at the time of the
// slice request, so that the slice expires here before it expires at the coordinator.
//
// Slice.RetryAfter takes effect only if the held slices and slots admit no further request.
// After a membership change a coordinator leases one slot at a time, and it sets RetryAfter
// if the LocalLimiter requested one more ahead. Without the check the LocalLimiter would
// then refuse its next requests although its slot is free.
func (l *LocalLimiter) OnSlice(now time.Time, org request.OrgID, slice Slice) {
	a, ok := l.accounts[org]
	if !ok || !a.requesting {
		return
	}
	a.endRequest()
	a.fallback = nil
	expires := a.requestedAt.Add(slice.TTL)
	a.slices = append(a.slices, heldSlice{requests: slice.Requests, tokens: slice.Tokens, expires: expires})
	a.slots, a.slotsExpire = slice.Concurrency, expires
	a.chargeUncovered()
	a.refusedUntil, a.heldUntil = time.Time{}, time.Time{}
	if slice.RetryAfter > 0 && !a.covers(now, 1) {
		a.refuse(now, slice)
	} else {
		a.holdEnds = time.Time{}
	}
}

// refuse applies the coordinator's refusal. While it settles it refuses organisations that are far below their limits: their requests wait,
// for maxHold in all.
func (a *account) refuse(now time.Time, slice Slice) {
	until := now.Add(slice.RetryAfter)
	if slice.Settling && a.holdEnds.IsZero() {
		a.holdEnds = now.Add(maxHold)
	}
	if slice.Settling && !until.After(a.holdEnds) {
		a.heldUntil = until
		return
	}
	a.refusedUntil = until
}

// OnSliceFailed switches the organisation to the fallback limits until the coordinator
// answers a slice request.
func (l *LocalLimiter) OnSliceFailed(now time.Time, org request.OrgID) {
	if a, ok := l.accounts[org]; ok && a.requesting {
		l.enterFallback(now, a)
	}
}

// Done ends an admitted request. output is its number of output tokens. They are charged to
// the held slices; tokens that these do not cover are charged to later ones.
func (l *LocalLimiter) Done(now time.Time, org request.OrgID, output int64) {
	a, ok := l.accounts[org]
	if !ok {
		return
	}
	a.lastUsed = now
	a.running = max(0, a.running-1)
	if a.limits.TokensPerSecond > 0 {
		a.uncoveredTokens += max(output, 0)
		a.pruneSlices(now)
		a.chargeUncovered()
	}
}

// Tick returns the slice requests that are due independently of new requests: renewals of
// slots in use before they expire, and requests for tokens to cover earlier prompts and
// output, and for slices for held requests. It removes idle organisations. Call it several
// times per SliceTTL.
func (l *LocalLimiter) Tick(now time.Time) []SliceRequest {
	var requests []SliceRequest
	for org, a := range l.accounts {
		l.checkTimeout(now, a)
		due := a.limits.Concurrency > 0 && a.running > 0 && a.slotsExpire.Sub(now) < l.params.SliceTTL/2
		due = due || (a.uncoveredTokens > 0 && !now.Before(a.refusedUntil))
		due = due || a.pending > 0
		if a.fallback == nil && !a.requesting && due && !now.Before(a.heldUntil) {
			requests = append(requests, *l.requestSlice(now, org, a))
		}
		if a.running == 0 && a.uncoveredTokens == 0 && !a.requesting && now.Sub(a.lastUsed) > l.params.FallbackTTL {
			delete(l.accounts, org)
		}
	}
	sortSliceRequests(requests)
	return requests
}

func (l *LocalLimiter) account(now time.Time, org request.OrgID, limits Limits) *account {
	a, ok := l.accounts[org]
	if !ok {
		a = &account{}
		l.accounts[org] = a
	}
	a.limits = limits
	a.lastUsed = now
	a.pruneSlices(now)
	return a
}

// checkTimeout treats a slice request as failed after SliceTTL without an answer, so that a
// caller that omits OnSliceFailed does not block its organisation.
func (l *LocalLimiter) checkTimeout(now time.Time, a *account) {
	if a.requesting && now.Sub(a.requestedAt) > l.params.SliceTTL {
		l.enterFallback(now, a)
	}
}

func (l *LocalLimiter) requestSlice(now time.Time, org request.OrgID, a *account) *SliceRequest {
	a.requesting = true
	a.requestedAt = now
	requests, tokens := a.demand.expected(now, l.params.SliceTTL)
	spare := min(requests, 1+a.running/4)
	haveRequests, haveTokens := a.available()
	req := &SliceRequest{
		Org:         org,
		Requests:    max(0, a.pending+requests-haveRequests),
		Tokens:      max(0, a.pendingTokens+tokens+a.uncoveredTokens-haveTokens),
		Concurrency: a.running + a.pending + spare,
		Used:        a.running,
	}
	// The coordinator relies on this daemon not exceeding the requested slots.
	a.slots = min(a.slots, req.Concurrency)
	return req
}

// requestSliceAhead requests a slice before a busy organisation exhausts its slices, so that
// its requests do not wait for the coordinator. For an organisation with little demand the
// LocalLimiter requests a slice only when a request needs one.
func (l *LocalLimiter) requestSliceAhead(now time.Time, org request.OrgID, a *account) *SliceRequest {
	requests, _ := a.demand.expected(now, l.params.SliceTTL)
	if a.requesting || requests < 1 || now.Before(a.refusedUntil) || now.Before(a.heldUntil) {
		return nil
	}
	have, _ := a.available()
	enough := a.limits.RequestsPerSecond <= 0 || have >= (requests+1)/2
	if enough && (a.limits.Concurrency <= 0 || a.running < a.slots) {
		return nil
	}
	return l.requestSlice(now, org, a)
}

func (a *account) endRequest() {
	a.requesting = false
	a.pending, a.pendingTokens = 0, 0
}

func (a *account) pruneSlices(now time.Time) {
	i := 0
	for i < len(a.slices) && !a.slices[i].expires.After(now) {
		i++
	}
	a.slices = a.slices[i:]
}

func (a *account) available() (requests, tokens int64) {
	for _, s := range a.slices {
		requests += s.requests
		tokens += s.tokens
	}
	return requests, tokens
}

// covers reports whether the slices and slots suffice for one more request.
func (a *account) covers(now time.Time, tokens int64) bool {
	requests, have := a.available()
	if a.limits.RequestsPerSecond > 0 && requests < 1 {
		return false
	}
	if a.limits.TokensPerSecond > 0 && have < tokens+a.uncoveredTokens {
		return false
	}
	return a.limits.Concurrency <= 0 || (a.running < a.slots && now.Before(a.slotsExpire))
}

// charge charges one request to the slices, in order of expiry.
func (a *account) charge(tokens int64) {
	a.running++
	requests := int64(1)
	for i := range a.slices {
		used := min(requests, a.slices[i].requests)
		a.slices[i].requests -= used
		requests -= used
	}
	a.uncoveredTokens += tokens
	a.chargeUncovered()
}

// chargeUncovered charges the uncovered tokens to the slices, in order of expiry.
func (a *account) chargeUncovered() {
	for i := range a.slices {
		used := min(a.uncoveredTokens, a.slices[i].tokens)
		a.slices[i].tokens -= used
		a.uncoveredTokens -= used
	}
	if a.limits.TokensPerSecond <= 0 {
		a.uncoveredTokens = 0
	}
}

// demand is a decaying average of an organisation's demand at this daemon.
type demand struct {
	requests  float64 // a second
	tokens    float64 // a second
	decayedAt time.Time
}

// demandWindow is the time constant of the exponential decay of demand.
const demandWindow = 2 * time.Second

func (d *demand) decay(now time.Time) {
	factor := math.Exp(-now.Sub(d.decayedAt).Seconds() / demandWindow.Seconds())
	if d.decayedAt.IsZero() {
		factor = 0
	}
	d.requests *= factor
	d.tokens *= factor
	d.decayedAt = now
}

func (d *demand) add(now time.Time, tokens int64) {
	d.decay(now)
	d.requests += 1 / demandWindow.Seconds()
	d.tokens += float64(tokens) / demandWindow.Seconds()
}

// expected returns the requests and tokens expected within the given time.
func (d *demand) expected(now time.Time, within time.Duration) (requests, tokens int64) {
	d.decay(now)
	requests = int64(d.requests * within.Seconds())
	if requests < 1 {
		return 0, 0
	}
	return requests, int64(d.tokens * within.Seconds())
}
