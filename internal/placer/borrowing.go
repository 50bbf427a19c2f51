package placer

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/borrow"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Lenders knows the room of other groups of replicas.
type Lenders interface {
	// Offers returns the groups at which this daemon may take room for a service, the first to be tried in front, or
	// the reason why there is none. Without both, nothing is ever borrowed.
	Offers(service routing.ServiceID) ([]LenderOffer, borrow.Reason)
	// Few returns the replicas that this daemon uses among those that it may borrow.
	UsedReplicas(borrowable []*replicas.Replica) []*replicas.Replica
	// Take counts a prompt with the given tokens to compute at a group, unless there is no room for it any more. Return
	// gives the room back.
	Take(service routing.ServiceID, group, tokens int) (taken bool)
	Return(service routing.ServiceID, group, tokens int)
	// Refused counts a request for which nothing could be borrowed.
	Refused(service routing.ServiceID, reason borrow.Reason)
}

// LenderOffer is a group of replicas at which this daemon may take room.
type LenderOffer struct {
	borrow.Offer
	Replicas []*replicas.Replica
}

// Loan is room at replicas of another group. It counts as used from Borrow on.
type Loan struct {
	Replicas []*replicas.Replica
	giveBack func()
}

// Cancel gives the room back, because the request was not placed at any of the replicas.
func (l *Loan) Cancel() { l.giveBack() }

// CanBorrow reports whether another group has room for a request.
func (pp *PromptPlacer) CanBorrow(j *relay.Job, tried []request.TargetID) bool {
	found, _ := pp.findLender(j, tried, func(*LenderOffer, int) bool { return true })
	return found
}

// Borrow takes room at another group for a request for which this daemon's own group has none. It returns nil if no
// group has room for it.
func (pp *PromptPlacer) Borrow(j *relay.Job, tried []request.TargetID) *Loan {
	var loan *Loan
	_, reason := pp.findLender(j, tried, func(offer *LenderOffer, tokens int) bool {
		if !pp.Lenders.Take(j.Service.ID, offer.Group, tokens) {
			return false
		}
		loan = &Loan{
			Replicas: offer.Replicas,
			giveBack: func() { pp.Lenders.Return(j.Service.ID, offer.Group, tokens) },
		}
		return true
	})
	if loan == nil && reason != "" {
		pp.Lenders.Refused(j.Service.ID, reason)
	}
	return loan
}

// findLender calls accept for the groups that have room for a request, with the replicas that may be used there and the
// tokens that they compute for it, until one is accepted. If none is, it returns the reason.
func (pp *PromptPlacer) findLender(j *relay.Job, tried []request.TargetID, accept func(offer *LenderOffer, tokens int) bool) (found bool, reason borrow.Reason) {
	if pp.Lenders == nil {
		return false, ""
	}
	now := time.Now()
	offers, reason := pp.Lenders.Offers(j.Service.ID)
	for _, offer := range offers {
		usable := pp.withUsableWeights(pp.borrowable(now, j, offer.Replicas, tried), j.Model)
		if len(usable) == 0 {
			reason = borrow.ReasonNoReplica
			continue
		}
		offer.Replicas = pp.Lenders.UsedReplicas(usable)
		if !pp.anyInTime(j, offer.Replicas) {
			reason = borrow.ReasonNoReplica
			continue
		}
		if tokens := pp.tokensAt(j, offer.Replicas); tokens <= offer.Room.Tokens && accept(&offer, tokens) {
			return true, ""
		}
		reason = borrow.ReasonShare
	}
	return false, reason
}

// borrowable returns the replicas that may get a request of a daemon of another group. A cold or limited replica
// accepts requests of a few daemons only, which its own group selects. One that is avoided for another reason has
// no room.
func (e *Eligibility) borrowable(now time.Time, j *relay.Job, from []*replicas.Replica, tried []request.TargetID) []*replicas.Replica {
	var fit []*replicas.Replica
	for _, r := range from {
		limit, _ := r.Limit()
		if !r.Cold(now) && limit == 0 && !r.IsBrittle() && e.availability(now, j, r, tried) == ready {
			fit = append(fit, r)
		}
	}
	return fit
}

// tokensAt returns the tokens of a prompt that are computed at the one of some replicas that holds most of it.
func (pp *PromptPlacer) tokensAt(j *relay.Job, at []*replicas.Replica) int {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	least := j.PromptTokens
	for _, r := range at {
		tokens, memory := j.PromptTokens, pp.memoryEstimates[r]
		salt := pp.CacheSalt(j.Model, r.WeightsVersion(j.Model), j.Org)
		for _, p := range j.Parts {
			if memory != nil && memory.Contains(partKey(salt, p.ID)) {
				tokens -= p.Tokens
			}
		}
		least = min(least, tokens)
	}
	return max(1, least)
}
