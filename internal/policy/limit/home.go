package limit

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Outcome says what becomes of a request.
type Outcome string

const (
	// Admitted lets the request pass. Done must follow.
	Admitted Outcome = "admitted"
	// Pending means that a slice is needed first. Admit again after OnSlice or
	// OnSliceFailed.
	Pending Outcome = "pending"
	// Refused is final: the organisation is over its limit.
	Refused Outcome = "refused"
)

// Decision answers Admit.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // with Refused
	// SliceRequest is to be sent to the steward now, whatever the verdict. Nil: nothing.
	SliceRequest *SliceRequest
}

// Home admits requests of organisations on one daemon.
type Home struct {
	params   Params
	daemons  int
	accounts map[request.OrgID]*account
}

// account is the home's part of one organisation's limits.
type account struct {
	limits Limits
	slices []heldSlice // earliest first

	places      int64
	placesUntil time.Time
	running     int64
	debt        int64 // output tokens that no slice has covered yet

	asking   bool
	askedAt  time.Time
	waiting  int64 // pending requests, not yet in an ask that was answered
	waitSize int64 // their tokens

	refusedUntil time.Time
	demand       demand
	seen         time.Time
	lost         *fallback // nil: the steward answers
}

type heldSlice struct {
	requests int64
	tokens   int64
	expires  time.Time
}

// NewHome returns the home's part of one daemon. daemons is the size of the fleet.
func NewHome(params Params, daemons int) *Home {
	params.setDefaults()
	return &Home{params: params, daemons: max(daemons, 1), accounts: make(map[request.OrgID]*account)}
}

// OnMembershipChange is told the size of the fleet, counted as for Steward.OnMembers.
func (h *Home) OnMembershipChange(known int) { h.daemons = max(known, 1) }

// Admit decides on a request of the given number of prompt tokens.
func (h *Home) Admit(now time.Time, org request.OrgID, limits Limits, tokens int64) Decision {
	a := h.account(now, org, limits)
	if limits == (Limits{}) {
		a.running++
		return Decision{Outcome: Admitted}
	}
	h.checkAnswer(now, a)
	if a.lost != nil {
		return h.admitLost(now, org, a, tokens)
	}
	if a.covers(now, tokens) {
		a.take(tokens)
		a.demand.add(now, tokens)
		return Decision{Outcome: Admitted, SliceRequest: h.askAhead(now, org, a)}
	}
	if now.Before(a.refusedUntil) {
		return Decision{Outcome: Refused, RetryAfter: h.params.clamp(a.refusedUntil.Sub(now))}
	}
	a.waiting++
	a.waitSize += tokens
	if a.asking {
		return Decision{Outcome: Pending}
	}
	return Decision{Outcome: Pending, SliceRequest: h.ask(now, org, a)}
}

// OnSlice takes the steward's answer. The slice counts from when it was asked for,
// so that it has lapsed here before the steward counts it as lapsed.
//
// "More later" refuses requests only until a slice covers one. After a change of membership
// a steward gives one place at a time: a home that asked for one place ahead, and got the
// one that it needs, would refuse its next requests with nothing running.
func (h *Home) OnSlice(now time.Time, org request.OrgID, slice Slice) {
	a, ok := h.accounts[org]
	if !ok || !a.asking {
		return
	}
	a.answered()
	a.lost = nil
	expires := a.askedAt.Add(slice.TTL)
	a.slices = append(a.slices, heldSlice{requests: slice.Requests, tokens: slice.Tokens, expires: expires})
	a.places, a.placesUntil = slice.Concurrency, expires
	a.payDebt()
	a.refusedUntil = time.Time{}
	if slice.RetryAfter > 0 && !a.covers(now, 1) {
		a.refusedUntil = now.Add(slice.RetryAfter)
	}
}

// OnSliceFailed is told that the steward could not be asked.
func (h *Home) OnSliceFailed(now time.Time, org request.OrgID) {
	if a, ok := h.accounts[org]; ok && a.asking {
		h.lose(now, a)
	}
}

// Done ends a request that was admitted. output is its number of output tokens,
// which are charged to the next slices.
func (h *Home) Done(now time.Time, org request.OrgID, output int64) {
	a, ok := h.accounts[org]
	if !ok {
		return
	}
	a.seen = now
	a.running = max(0, a.running-1)
	if a.limits.TokensPerSecond > 0 {
		a.debt += max(output, 0)
		a.prune(now)
		a.payDebt()
	}
}

// Tick returns the asks that are due without a request: places in use are renewed
// before they lapse, and output tokens are paid. It forgets idle organisations.
// Call it several times within SliceTTL.
func (h *Home) Tick(now time.Time) []SliceRequest {
	var asks []SliceRequest
	for org, a := range h.accounts {
		h.checkAnswer(now, a)
		due := a.limits.Concurrency > 0 && a.running > 0 && a.placesUntil.Sub(now) < h.params.SliceTTL/2
		due = due || (a.debt > 0 && !now.Before(a.refusedUntil))
		if a.lost == nil && !a.asking && due {
			asks = append(asks, *h.ask(now, org, a))
		}
		if a.running == 0 && a.debt == 0 && !a.asking && now.Sub(a.seen) > h.params.FallbackTTL {
			delete(h.accounts, org)
		}
	}
	sortWants(asks)
	return asks
}

func (h *Home) account(now time.Time, org request.OrgID, limits Limits) *account {
	a, ok := h.accounts[org]
	if !ok {
		a = &account{}
		h.accounts[org] = a
	}
	a.limits = limits
	a.seen = now
	a.prune(now)
	return a
}

// checkAnswer takes an ask without answer for lost, so that a caller that forgets to
// report a failure does not block its organisation.
func (h *Home) checkAnswer(now time.Time, a *account) {
	if a.asking && now.Sub(a.askedAt) > h.params.SliceTTL {
		h.lose(now, a)
	}
}

func (h *Home) ask(now time.Time, org request.OrgID, a *account) *SliceRequest {
	a.asking = true
	a.askedAt = now
	requests, tokens := a.demand.ahead(now, h.params.SliceTTL)
	spare := min(requests, 1+a.running/4)
	haveRequests, haveTokens := a.have()
	want := &SliceRequest{
		Org:         org,
		Requests:    max(0, a.waiting+requests-haveRequests),
		Tokens:      max(0, a.waitSize+tokens+a.debt-haveTokens),
		Concurrency: a.running + a.waiting + spare,
		Used:        a.running,
	}
	// The steward counts on this home not going above what it asks for.
	a.places = min(a.places, want.Concurrency)
	return want
}

// askAhead asks before a busy organisation runs out, so that its requests do not
// wait for the steward. One with little demand asks when it needs something.
func (h *Home) askAhead(now time.Time, org request.OrgID, a *account) *SliceRequest {
	requests, _ := a.demand.ahead(now, h.params.SliceTTL)
	if a.asking || requests < 1 || now.Before(a.refusedUntil) {
		return nil
	}
	have, _ := a.have()
	enough := a.limits.RequestsPerSecond <= 0 || have >= (requests+1)/2
	if enough && (a.limits.Concurrency <= 0 || a.running < a.places) {
		return nil
	}
	return h.ask(now, org, a)
}

func (a *account) answered() {
	a.asking = false
	a.waiting, a.waitSize = 0, 0
}

func (a *account) prune(now time.Time) {
	i := 0
	for i < len(a.slices) && !a.slices[i].expires.After(now) {
		i++
	}
	a.slices = a.slices[i:]
}

func (a *account) have() (requests, tokens int64) {
	for _, s := range a.slices {
		requests += s.requests
		tokens += s.tokens
	}
	return requests, tokens
}

// covers reports whether the slices suffice for one more request.
func (a *account) covers(now time.Time, tokens int64) bool {
	requests, have := a.have()
	if a.limits.RequestsPerSecond > 0 && requests < 1 {
		return false
	}
	if a.limits.TokensPerSecond > 0 && have < tokens+a.debt {
		return false
	}
	return a.limits.Concurrency <= 0 || (a.running < a.places && now.Before(a.placesUntil))
}

// take charges one request to the slices, those that lapse first before others.
func (a *account) take(tokens int64) {
	a.running++
	requests := int64(1)
	for i := range a.slices {
		used := min(requests, a.slices[i].requests)
		a.slices[i].requests -= used
		requests -= used
	}
	a.debt += tokens
	a.payDebt()
}

// payDebt charges what is owed to the slices.
func (a *account) payDebt() {
	for i := range a.slices {
		used := min(a.debt, a.slices[i].tokens)
		a.slices[i].tokens -= used
		a.debt -= used
	}
	if a.limits.TokensPerSecond <= 0 {
		a.debt = 0
	}
}

// demand is a decaying measure of what an organisation asks of this home.
type demand struct {
	requests float64 // a second
	tokens   float64 // a second
	at       time.Time
}

// demandWindow is the time over which demand decays.
const demandWindow = 2 * time.Second

func (d *demand) decay(now time.Time) {
	factor := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	if d.at.IsZero() {
		factor = 0
	}
	d.requests *= factor
	d.tokens *= factor
	d.at = now
}

func (d *demand) add(now time.Time, tokens int64) {
	d.decay(now)
	d.requests += 1 / demandWindow.Seconds()
	d.tokens += float64(tokens) / demandWindow.Seconds()
}

// ahead returns what to expect within a time.
func (d *demand) ahead(now time.Time, within time.Duration) (requests, tokens int64) {
	d.decay(now)
	requests = int64(d.requests * within.Seconds())
	if requests < 1 {
		return 0, 0
	}
	return requests, int64(d.tokens * within.Seconds())
}
