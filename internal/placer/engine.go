package placer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/pause"
	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/policy/waitlimit"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// crossDomainFactor is how much longer a transfer takes between failure domains. The time that it
	// waits for the link is the same.
	crossDomainFactor = 2
	// outdatedPenalty is the quality loss, from 0 to 1, that the cost of an answer on replaced weights
	// includes. The real loss is a fifth, ten times as much, but the caches of the new weights are
	// empty at first: if the replicas on new weights were preferred, the few of them would have to
	// compute all prompts, and all answers would miss their objective.
	outdatedPenalty = 0.02
	// maxPriority is the largest Request-Priority that replicas accept, the least urgent. A replica
	// gives priority 5 to a request without one.
	maxPriority = 9
	// fetchOverdueAfter is how late a first token must be for its fetch to count as overdue. On an idle
	// replica the time to the first token varies by about 100 ms.
	fetchOverdueAfter = 250 * time.Millisecond
	// fetchSlack is how much longer than its estimate a fetch may always take, unless its read permit
	// ends before.
	fetchSlack        = 100 * time.Millisecond
	idlePrefillTokens = 4000 // queued prompt tokens up to which a replica counts as idle
	idleMemoryShare   = 0.7  // share of its memory up to which a replica counts as idle
	// longOutputTokens is the expected output length from which a request counts as long. At 5 ms a token
	// such an output takes half a second.
	longOutputTokens = 100
)

// OutdatedSince reports whether a version of a model's weights is older than the newest requested one, and
// since when.
type OutdatedSince func(m request.Model, version uint64) (since time.Time, outdated bool)

// PartOffer is what a context store offers for one prompt part: a fetch, a save or neither.
type PartOffer struct {
	Store         routing.ServiceID
	Address       string // of the store; empty if there is none
	FailureDomain string
	Fetch         bool          // the part may be fetched from the store
	Save          bool          // the part should be saved to the store
	FetchTime     time.Duration // to a replica in the store's failure domain, including QueueTime
	QueueTime     time.Duration // wait for the store's link before the fetch
	Claim         int64         // identifies the transfer on the store's link; zero if none is counted
}

// Stores claims transfers of prompt parts from and to the context stores.
type Stores interface {
	// Claim returns an entry for each part, and until when fetches may start, on the replicas' clock.
	Claim(ctx context.Context, salt string, parts []relay.Part, expectResident []bool) (offers []PartOffer, until int64)
	// Release gives back transfers that Claim permitted under a salt and that are not made. It does not block.
	Release(salt string, parts []relay.Part, unused []PartOffer)
	// ReportFetch reports the outcome of a fetch to the owner of the store. It does not block.
	ReportFetch(store routing.ServiceID, f storecache.FetchResult)
}

// PromptPlacer places prompts on model replicas. It implements relay.Placer.
type PromptPlacer struct {
	Eligibility
	// Assigned returns the replicas of a service that are assigned to this daemon.
	Assigned      func(routing.ServiceID) []*replicas.Replica
	Domain        string // failure domain of this daemon
	OutdatedSince OutdatedSince
	// CacheSalt returns under which salt a replica with a version of a model's weights keeps the KV cache of an organisation's
	// request. org is nil if the request has none. The salt separates models, different weights and isolated organisations,
	// and may change at any time.
	CacheSalt func(model request.Model, weights uint64, org *routing.Org) string
	Stores    Stores
	Lenders   Lenders                                                              // nil: only assigned replicas are used
	OnPlaced  func(replica *replicas.Replica, parts []PlacedPart, otherTokens int) // notifies peers; nil: no notification
	// OldWeightsUsableFor is how long replaced weights still get requests, and OldWeightsBeginWithin
	// the time within which an answer on them must begin. Both count from the request for the successor
	// version. Zero means no bound.
	OldWeightsUsableFor, OldWeightsBeginWithin time.Duration
	Speeds                                     *Speeds     // nil: speeds are not learned
	Metrics                                    tally.Scope // nil: no metrics of pauses

	pauseGauges pauseGauges

	mu              sync.Mutex
	memoryTokens    int // KV cache capacity of one replica
	memoryEstimates map[*replicas.Replica]*residency.MemoryEstimate
	waitLimits      map[routing.ServiceID]*waitlimit.Limiter
	pauses          map[routing.ServiceID]*pause.Model
}

// PlacedPart is a prompt part that a replica now holds in memory.
type PlacedPart struct {
	Key    residency.Key
	Tokens int
}

// Place implements relay.Placer.
func (pp *PromptPlacer) Place(ctx context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	usable := pp.eligible(j, pp.Assigned(j.Service.ID), tried)
	usable = pp.withUsableWeights(usable, j.Model)
	if len(usable) == 0 {
		return nil, pp.noneNow(j, tried)
	}
	s := search{job: j, tried: tried, need: pp.pickRequest(j), maxWait: pp.recordAndLimitWait(j)}
	c, err := pp.choosePreferred(ctx, s, usable)
	if hasNoRoom(err) {
		if c = pp.chooseBorrowed(ctx, s); c != nil {
			err = nil
		}
	}
	if err != nil {
		return nil, err
	}
	return pp.placeAt(ctx, s, c), nil
}

func hasNoRoom(err error) bool {
	var noRoom *relay.NoRoomError
	return errors.As(err, &noRoom)
}

// search is a request for which a replica is looked for.
type search struct {
	job     *relay.Job
	tried   []request.TargetID
	need    pick.Request
	maxWait time.Duration // at the replica
}

// choice is a replica for a request, and the transfers that are claimed for the request's parts.
type choice struct {
	replica   *replicas.Replica
	candidate *pick.Candidate
	flight    *replicas.Flight
	salt      string // under which the transfers are claimed
	offers    []PartOffer
	until     int64 // when fetches may start at the latest, on the replicas' clock
}

// choosePreferred chooses one of the replicas at which the request should begin, and one of all if none of those has room.
func (pp *PromptPlacer) choosePreferred(ctx context.Context, s search, usable []*replicas.Replica) (*choice, error) {
	preferred := pp.preferred(s.job, usable)
	c, err := pp.claimAndChoose(ctx, s, preferred)
	if hasNoRoom(err) && len(preferred) < len(usable) {
		return pp.claimAndChoose(ctx, s, usable)
	}
	return c, err
}

// claimAndChoose claims transfers and chooses one of some replicas. It keeps no claims if it returns an error.
func (pp *PromptPlacer) claimAndChoose(ctx context.Context, s search, usable []*replicas.Replica) (*choice, error) {
	c := &choice{salt: pp.CacheSalt(s.job.Model, newestVersion(usable, s.job.Model), s.job.Org)}
	c.offers, c.until = pp.claimTransfers(ctx, s.job, c.salt, usable)
	var err error
	if c.replica, c.candidate, c.flight, err = pp.choose(s, usable, c.salt, c.offers); err != nil {
		pp.release(c.salt, s.job, c.offers)
		return nil, err
	}
	return c, nil
}

// chooseBorrowed chooses a replica of another group, nil if none has room. Transfers are claimed anew, since the
// replicas there may serve other weights.
func (pp *PromptPlacer) chooseBorrowed(ctx context.Context, s search) *choice {
	loan := pp.Borrow(s.job, s.tried)
	if loan == nil {
		return nil
	}
	c, err := pp.choosePreferred(ctx, s, loan.Replicas)
	if err != nil {
		loan.Cancel() // the caller says why the own group has no room
		return nil
	}
	return c
}

// placeAt begins a request at the chosen replica.
func (pp *PromptPlacer) placeAt(ctx context.Context, s search, c *choice) *relay.Placement {
	j, r, chosen := s.job, c.replica, c.candidate
	version := r.WeightsVersion(j.Model)
	ownSalt := pp.CacheSalt(j.Model, version, j.Org)
	meta := relay.AttemptMeta{WeightsVersion: version, CacheSalt: ownSalt, Priority: min(maxPriority, j.Priority())}
	if ownSalt != c.salt {
		// During a rollout the chosen replica may serve other weights than the claims were made for, and an organisation may
		// have become isolated since.
		pp.release(c.salt, j, c.offers)
		c.offers, c.until = pp.claimTransfers(ctx, j, ownSalt, []*replicas.Replica{r})
	}
	costs := pick.DefaultCosts.At(chosen)
	sources := costs.Sources(chosen.Parts)
	pp.setTransfers(&meta, j, c.offers, c.until, r)
	meta.FetchUntil = fetchDeadline(meta.FetchUntil, j, chosen, sources)
	pp.release(ownSalt, j, cancelFetches(&meta, chosen, sources, c.offers))
	pp.announcePlacement(r, j, ownSalt)
	onFirstEvent, stop := pp.watchFetch(chosen, s.need, sources, c.offers)
	onLongestGap, observePauses := pp.watchPauses(j, r)
	return &relay.Placement{
		Replica: r, Meta: meta, StartDeadline: pp.beginBy(j.Model, version), OnFirstEvent: onFirstEvent, OnLongestGap: onLongestGap,
		OnEnd: pp.onEnded(stop, observePauses, ownSalt, j, c.offers), Reason: placementReason(chosen, &meta, j.OutputTokens),
		Flight: c.flight,
		Stream: pp.observe(j, s.need, r, chosen, sources, &meta),
	}
}

// choose begins a request at the cheapest of a sample of the replicas that can serve it in time, or returns the
// reason why none can. If a concurrent request has used up the quota of that replica, choose tries again
// without it. It places a resumed stream whatever the wait, since the caller would otherwise lose the
// part of the response that it has received.
func (pp *PromptPlacer) choose(s search, usable []*replicas.Replica, salt string, offers []PartOffer) (*replicas.Replica, *pick.Candidate, *replicas.Flight, error) {
	j, pickReq, maxWait := s.job, s.need, s.maxWait
	for len(usable) > 0 {
		candidates := pp.candidates(j, usable, salt, offers)
		kept := inTime(pickReq, candidates, maxWait)
		if len(kept) == 0 && !j.ResponseStarted {
			return nil, nil, nil, &relay.NoRoomError{Service: j.Service.ID, Wait: shortestWait(pickReq, candidates) - maxWait}
		}
		if len(kept) > 0 {
			usable, candidates = selectIndexes(usable, kept), selectIndexes(candidates, kept)
		}
		n := pick.BestSampled(pick.DefaultCosts, pickReq, candidates)
		r, chosen := usable[n], &candidates[n]
		if flight := pp.Quotas.Take(time.Now(), r, func() *replicas.Flight { return beginFlight(r, pickReq, chosen) }); flight != nil {
			return r, chosen, flight, nil
		}
		usable = slices.Delete(usable, n, n+1)
	}
	return nil, nil, nil, pp.noneNow(j, s.tried)
}

// onEnded returns the OnEnd function of an attempt, which releases the claims that the attempt did not
// use. If the attempt did not run, the function releases all claims. If the attempt ended before its
// first token, because the replica crashed or the caller disconnected, the function releases the
// claims of fetches, which do not show how fast the link is, and keeps those of saves, which the
// replica may have made.
func (pp *PromptPlacer) onEnded(stop func() (fetchEnded bool), observePauses func(), salt string, j *relay.Job, offers []PartOffer) func(ran bool) {
	return func(ran bool) {
		observePauses()
		fetchEnded := stop()
		switch {
		case !ran:
			pp.release(salt, j, offers)
		case !fetchEnded:
			pp.release(salt, j, onlyFetches(offers))
		}
	}
}

// onlyFetches returns a copy of offers that keeps only the parts to be fetched.
func onlyFetches(offers []PartOffer) []PartOffer {
	out := make([]PartOffer, len(offers))
	for i, s := range offers {
		if s.Fetch {
			out[i] = s
		}
	}
	return out
}

// release gives back claims that were made under a salt.
func (pp *PromptPlacer) release(salt string, j *relay.Job, unused []PartOffer) {
	if pp.Stores != nil {
		pp.Stores.Release(salt, j.Parts, unused)
	}
}

// fetchDeadline returns until when parts may be fetched, on the replicas' clock. The deadline leaves
// enough time to compute the parts within the objective. It is no earlier than the expected fetch time
// plus fetchSlack from now, unless the permit ends before.
//
// A replica processes its prompts in order. Without this deadline, a prompt that waits two seconds for
// its context on a slow link blocks all prompts behind it, and none of them meets its objective.
// Computing the context instead blocks them for a tenth of a second.
func fetchDeadline(permitUntil int64, j *relay.Job, c *pick.Candidate, sources []pick.Source) int64 {
	if permitUntil == 0 {
		return 0
	}
	costs := pick.DefaultCosts.At(c)
	var expected, compute time.Duration
	for i, source := range sources {
		if source == pick.Fetched {
			expected += c.Parts[i].FetchTime
			compute += time.Duration(c.Parts[i].Tokens) * costs.PrefillPerToken
		}
	}
	maxFetch := max(j.Route.Objective-time.Since(j.Start)-compute, expected+fetchSlack)
	return permitUntil - max(0, storecache.ReadPermitTTL-maxFetch).Milliseconds()
}

// beginFlight begins the work of a request at the replica of a candidate.
func beginFlight(r *replicas.Replica, pickReq pick.Request, chosen *pick.Candidate) *replicas.Flight {
	compute := pick.DefaultCosts.At(chosen).TokensToCompute(pickReq, chosen.Parts)
	work := replicas.Work{Requests: 1, Tokens: pickReq.KVTokens, Prefill: compute}
	if pickReq.LongOutput {
		work.LongTokens = pickReq.KVTokens
	}
	if pickReq.Stream {
		work.Streams = 1
	}
	return r.Load.BeginWork(work)
}

// watchFetch reports to the owner of the context store with the longest total fetch time how that
// fetch went: at the first token, and earlier if the fetch is overdue. The time that the replica needs
// for other work before its first token is subtracted. No overdue fetch is reported for a busy
// replica, or for one that also fetches from elsewhere, because these may be the cause: a dead context
// store delays a replica by half a second.
//
// The attempt calls onFirstEvent at its first token, and stop at its end. stop reports whether the
// fetch had ended, that is whether the first token arrived or no fetch was watched.
func (pp *PromptPlacer) watchFetch(c *pick.Candidate, pickReq pick.Request, sources []pick.Source, offers []PartOffer) (onFirstEvent func(), stop func() (fetchEnded bool)) {
	from, expected, all := dominantFetch(c, sources, offers)
	if from.Claim == 0 {
		return func() {}, func() bool { return true }
	}
	costs := pick.DefaultCosts.At(c)
	computing := time.Duration(costs.TokensToCompute(pickReq, c.Parts)+c.QueuedPrefill) * costs.PrefillPerToken
	others := computing + all - expected
	otherDelays := c.QueuedPrefill > idlePrefillTokens || float64(c.KVUsed+pickReq.KVTokens) > idleMemoryShare*float64(c.KVCapacity) || all > expected
	began := time.Now()
	report := func(overdue bool) {
		took := max(0, time.Since(began)-others)
		pp.Stores.ReportFetch(from.Store, storecache.FetchResult{Claim: from.Claim, Took: took, Overdue: overdue, Busy: otherDelays})
	}
	timer := time.AfterFunc(others+expected+fetchOverdueAfter, func() {
		if !otherDelays {
			report(true)
		}
	})
	var ended atomic.Bool
	onFirstEvent = func() {
		timer.Stop()
		ended.Store(true)
		report(false)
	}
	return onFirstEvent, func() bool {
		timer.Stop()
		return ended.Load()
	}
}

// dominantFetch finds the context store with the longest total fetch time. It returns the last part
// that is fetched from that store, the total fetch time of that store, and the fetch time of all stores.
func dominantFetch(c *pick.Candidate, sources []pick.Source, offers []PartOffer) (last PartOffer, fromStore, all time.Duration) {
	fetchTimes := map[routing.ServiceID]time.Duration{}
	for i, source := range sources {
		if source != pick.Fetched {
			continue
		}
		all += c.Parts[i].FetchTime
		if offers[i].Claim == 0 {
			continue
		}
		store := offers[i].Store
		fetchTimes[store] += c.Parts[i].FetchTime
		if fetchTimes[store] >= fromStore {
			last, fromStore = offers[i], fetchTimes[store]
		}
	}
	return last, fromStore, all
}

// cancelFetches clears the source of each part that is cheaper to compute than to fetch, whether or not
// the part is assumed to be resident, and of all parts after the first one that is computed although a
// context store offers it. It returns the offers whose fetch it cancelled, and clears their claims in
// offers, so that they are not released again when the attempt ends.
//
// A part that is assumed to be resident is often absent, and would then be fetched without a claim.
// Without this rule, when a link becomes slow, waiting prompts evict the prefixes that prompts share,
// all replicas fetch the prefixes again over that link, and the link stays saturated: each prompt
// waits for the longest time that a fetch may take, for seconds after the link has recovered.
func cancelFetches(meta *relay.AttemptMeta, c *pick.Candidate, sources []pick.Source, offers []PartOffer) []PartOffer {
	costs := pick.DefaultCosts.At(c)
	unused := make([]PartOffer, len(c.Parts))
	computed := false
	for i, source := range sources {
		computed = computed || source == pick.Computed && c.Parts[i].FetchTime > 0
		if !computed && (source != pick.Resident || costs.WorthFetching(c.Parts[i])) {
			continue
		}
		meta.FetchFrom[i] = ""
		if offers[i].Fetch {
			unused[i] = offers[i]
			offers[i].Claim = 0
		}
	}
	return unused
}

// placementReason describes a placement for the log. It has one letter for each part:
//
//   - m: the part is assumed to be in the replica's memory
//   - s: a context store offers the part
//   - r: the part has another source, mostly another replica; it may be a context store if the claims
//     were repeated for the weights of the chosen replica
//   - -: the part has no source
//
// The replica may compute a part with the letter m or s as well: after a gap it computes all parts, and
// it computes a part that takes longer to fetch. A + is appended if the part is saved. The replica's
// load follows.
func placementReason(c *pick.Candidate, meta *relay.AttemptMeta, output int) string {
	var b strings.Builder
	for i, p := range c.Parts {
		switch {
		case p.Resident:
			b.WriteByte('m')
		case p.FetchTime > 0:
			b.WriteByte('s')
		case i < len(meta.FetchFrom) && meta.FetchFrom[i] != "":
			b.WriteByte('r')
		default:
			b.WriteByte('-')
		}
		if i < len(meta.SaveTo) && meta.SaveTo[i] != "" {
			b.WriteByte('+')
		}
	}
	fmt.Fprintf(&b, " out=%d running=%d tokens=%d prefill=%d", output, c.Running, c.KVUsed, c.QueuedPrefill)
	return b.String()
}

func (pp *PromptPlacer) claimTransfers(ctx context.Context, j *relay.Job, salt string, usable []*replicas.Replica) ([]PartOffer, int64) {
	if pp.Stores == nil || len(j.Parts) == 0 {
		return make([]PartOffer, len(j.Parts)), 0
	}
	offers, until := pp.Stores.Claim(ctx, salt, j.Parts, pp.residentOnAny(j, salt, usable))
	pp.release(salt, j, pp.dropSavesOutsideHomes(j, offers))
	return offers, until
}

// dropSavesOutsideHomes removes from offers the saves to context stores outside the request's home
// regions, and returns them.
func (pp *PromptPlacer) dropSavesOutsideHomes(j *relay.Job, offers []PartOffer) []PartOffer {
	unused := make([]PartOffer, len(offers))
	for i, s := range offers {
		if s.Save && !pp.isHome(j, s.FailureDomain) {
			unused[i], offers[i] = s, PartOffer{}
		}
	}
	return unused
}

// setTransfers sets the source and the destination of each part. Parts that are assumed to be resident
// get a source as well: the replica fetches only what it lacks.
func (pp *PromptPlacer) setTransfers(meta *relay.AttemptMeta, j *relay.Job, offers []PartOffer, until int64, to *replicas.Replica) {
	meta.FetchFrom = make([]string, len(j.Parts))
	meta.SaveTo = make([]string, len(j.Parts))
	for i := range j.Parts {
		if offers[i].Fetch {
			meta.FetchFrom[i] = offers[i].Address
			meta.FetchUntil = until
		}
		if offers[i].Save {
			meta.SaveTo[i] = offers[i].Address
		}
	}
	pp.setReplicaSources(meta, j, offers, to)
}
