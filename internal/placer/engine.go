package placer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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
	// outdatedPenalty weighs answers on replaced weights. Such answers are worth a fifth less, but the
	// caches of the new weights are empty at first: if those replicas were preferred, the few of them
	// would have to compute all prompts, and all answers would miss their objective.
	outdatedPenalty = 0.02
	// maxUrgency is the last rank that replicas accept. A replica gives rank 5 to a request without one.
	maxUrgency = 9
	// outputShare is the share of the allowed output tokens that a request is expected to generate.
	outputShare = 0.35
	// fetchOverdueAfter is how late a first token must be for its fetch to count as overdue. On an idle
	// replica the time to the first token varies by about 100 ms.
	fetchOverdueAfter = 250 * time.Millisecond
	// fetchSlack is how much longer than its estimate a fetch may always take.
	fetchSlack        = 100 * time.Millisecond
	idlePrefillTokens = 4000 // queued prompt tokens up to which a replica counts as idle
	idleMemoryShare   = 0.7  // share of its memory up to which a replica counts as idle
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused request: at least the time of a
	// few prompts, and well below the callers' timeouts.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
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
	FetchTime     time.Duration // to a replica in the store's failure domain, including Queue
	QueueTime     time.Duration // wait for the store's link before the fetch
	Claim         int64         // identifies the transfer on the store's link; zero if none is counted
}

// Stores claims transfers of prompt parts from and to the context stores.
type Stores interface {
	// Claim returns an entry for each part, and until when fetches may start, on the replicas' clock.
	Claim(ctx context.Context, salt string, parts []relay.Part, expectResident []bool) (stored []PartOffer, until int64)
	// Release gives back transfers that Claim allowed under a salt and that are not made. It does not block.
	Release(salt string, parts []relay.Part, unused []PartOffer)
	// ReportFetch reports the outcome of a fetch to the owner of the store. It does not block.
	ReportFetch(store routing.ServiceID, f storecache.FetchResult)
}

// PromptPlacer places prompts on model replicas.
type PromptPlacer struct {
	Eligibility
	// Assigned returns the replicas of a service that are assigned to this daemon.
	Assigned      func(routing.ServiceID) []*replicas.Replica
	Domain        string // failure domain of this daemon
	OutdatedSince OutdatedSince
	Stores        Stores
	OnPlaced      func(replica *replicas.Replica, parts []PlacedPart, other int) // notifies peers; nil: no notification
	// OldWeightsUsableFor is how long replaced weights still get requests, and OldWeightsBeginWithin
	// the time within which an answer on them must begin. Both count from the request for the successor
	// version. Zero means no bound.
	OldWeightsUsableFor, OldWeightsBeginWithin time.Duration

	mu           sync.Mutex
	memoryTokens int // KV cache capacity of one replica
	models       map[*replicas.Replica]*residency.MemoryEstimate
	waits        map[routing.ServiceID]*waitlimit.Limiter
}

// PlacedPart is a prompt part that a replica now holds in memory.
type PlacedPart struct {
	Key    residency.Key
	Tokens int
}

// Place implements relay.Placer.
func (e *PromptPlacer) Place(ctx context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	usable := e.eligible(j, e.Assigned(j.Service.ID), tried)
	usable = e.onUsableWeights(usable, j.Model)
	if len(usable) == 0 {
		return nil, noReplica()
	}
	salt := cacheSalt(newestVersion(usable, j.Model), j.Org)
	stored, until := e.claimTransfers(ctx, j, salt, usable)
	need := e.pickRequest(j)
	r, chosen, err := e.choose(j, need, usable, salt, stored)
	if err != nil {
		e.release(salt, j, stored)
		return nil, err
	}
	version := r.Weights(j.Model)
	ownSalt := cacheSalt(version, j.Org)
	send := relay.AttemptMeta{Weights: version, CacheSalt: ownSalt, Priority: min(maxUrgency, j.Priority())}
	if ownSalt != salt {
		// During a rollout the chosen replica may serve other weights than the claims were made for.
		e.release(salt, j, stored)
		stored, until = e.claimTransfers(ctx, j, ownSalt, []*replicas.Replica{r})
	}
	sources := pick.DefaultCosts.Sources(chosen.Parts)
	e.setTransfers(&send, j, stored, until, r)
	send.FetchUntil = fetchDeadline(send.FetchUntil, j, chosen.Parts, sources)
	e.release(ownSalt, j, cancelFetches(&send, chosen.Parts, sources, stored))
	e.announcePlacement(r, j, ownSalt)
	first, stop := e.watchFetch(chosen, need, sources, stored)
	return &relay.Placement{
		Replica: r, Meta: send, StartDeadline: e.beginBy(j.Model, version), OnFirstEvent: first, OnEnd: e.onEnded(stop, ownSalt, j, stored), Reason: placementReason(chosen, &send, j.OutputTokens),
		Flight: beginFlight(r, need, pick.DefaultCosts.TokensToCompute(need, chosen.Parts)),
	}, nil
}

// choose returns the cheapest replica that may get the request now, or the reason why none may. If a
// concurrent request has used up the quota of the cheapest replica, choose tries the next one.
func (e *PromptPlacer) choose(j *relay.Job, need pick.Request, usable []*replicas.Replica, salt string, stored []PartOffer) (*replicas.Replica, *pick.Candidate, error) {
	longest := e.longestWait(j)
	for len(usable) > 0 {
		candidates := e.candidates(j, usable, salt, stored)
		n := pick.BestSampled(pick.DefaultCosts, need, candidates)
		if err := admit(pick.DefaultCosts.ExpectedWait(need, &candidates[n]), longest); err != nil && !j.ResponseStarted {
			return nil, nil, err
		}
		if e.Quotas.Take(time.Now(), usable[n]) {
			return usable[n], &candidates[n], nil
		}
		usable = slices.Delete(usable, n, n+1)
	}
	return nil, nil, noReplica()
}

// onEnded returns the function that ends an attempt. If the attempt did not run, it releases all
// claims. If the attempt ended before its first token, because the replica crashed or the caller
// disconnected, it releases the fetches, as they tell nothing about the link, and keeps the saves,
// which the replica may have made.
func (e *PromptPlacer) onEnded(stop func() (reported bool), salt string, j *relay.Job, stored []PartOffer) func(ran bool) {
	return func(ran bool) {
		reported := stop()
		switch {
		case !ran:
			e.release(salt, j, stored)
		case !reported:
			e.release(salt, j, onlyFetches(stored))
		}
	}
}

// onlyFetches returns a copy of stored that keeps only the parts to be fetched.
func onlyFetches(stored []PartOffer) []PartOffer {
	out := make([]PartOffer, len(stored))
	for i, s := range stored {
		if s.Fetch {
			out[i] = s
		}
	}
	return out
}

// release gives back claims that were made under a salt.
func (e *PromptPlacer) release(salt string, j *relay.Job, unused []PartOffer) {
	if e.Stores != nil {
		e.Stores.Release(salt, j.Parts, unused)
	}
}

// fetchDeadline returns until when parts may be fetched, on the replicas' clock. The deadline leaves
// enough time to compute the parts within the objective, and is never shorter than the expected
// fetch time plus fetchSlack.
//
// A replica processes its prompts in order. A prompt that waited two seconds for its context on a
// slow link blocked all prompts behind it, and none of them met its objective. Computing the context
// instead blocks them for a tenth of a second.
func fetchDeadline(permitUntil int64, j *relay.Job, parts []pick.Part, sources []pick.Source) int64 {
	if permitUntil == 0 {
		return 0
	}
	var expected, compute time.Duration
	for i, source := range sources {
		if source == pick.Fetched {
			expected += parts[i].FetchTime
			compute += time.Duration(parts[i].Tokens) * pick.DefaultCosts.PrefillPerToken
		}
	}
	longest := max(j.Route.Objective-time.Since(j.Start)-compute, expected+fetchSlack)
	return permitUntil - max(0, storecache.ReadPermitTTL-longest).Milliseconds()
}

func beginFlight(r *replicas.Replica, need pick.Request, compute int) *replicas.Flight {
	if need.LongOutput {
		return r.Load.BeginLongOutput(need.KVTokens, compute)
	}
	return r.Load.Begin(need.KVTokens, compute)
}

// longestWait returns how long a request may wait for its replica.
func (e *PromptPlacer) longestWait(j *relay.Job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waits[j.Service.ID]
	if w == nil {
		if e.waits == nil {
			e.waits = map[routing.ServiceID]*waitlimit.Limiter{}
		}
		w = waitlimit.New()
		e.waits[j.Service.ID] = w
	}
	return w.MaxWait(time.Now(), j.Route.Objective, j.Priority() == 0)
}

// admit refuses a request whose wait would make its answer miss the objective. An overloaded replica
// meets no objective at all: each waiting request holds memory, and all requests take longer.
func admit(wait, longest time.Duration) error {
	if wait <= longest {
		return nil
	}
	retryAfter := min(max(wait-longest, minRetryAfter), maxRetryAfter)
	return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, retryAfter, "all replicas are full: the wait is %s", wait)
}

// watchFetch reports to the owner of the store that provides most of the fetched data how that fetch
// went: at the first token, and earlier if the fetch is overdue. The time that the replica needs for
// other work before its first token is subtracted. No overdue fetch is reported for a busy replica,
// or for one that also fetches from elsewhere, because these may be the cause: a dead store delays a
// replica by half a second.
func (e *PromptPlacer) watchFetch(c *pick.Candidate, need pick.Request, sources []pick.Source, stored []PartOffer) (first func(), stop func() (reported bool)) {
	from, expected, all := dominantFetch(c, sources, stored)
	if from.Claim == 0 {
		return func() {}, func() bool { return true }
	}
	computing := time.Duration(pick.DefaultCosts.TokensToCompute(need, c.Parts)+c.QueuedPrefill) * pick.DefaultCosts.PrefillPerToken
	others := computing + all - expected
	busy := c.QueuedPrefill > idlePrefillTokens || float64(c.KVUsed+need.KVTokens) > idleMemoryShare*float64(c.KVCapacity) || all > expected
	began := time.Now()
	report := func(overdue bool) {
		took := max(0, time.Since(began)-others)
		e.Stores.ReportFetch(from.Store, storecache.FetchResult{Claim: from.Claim, Took: took, Overdue: overdue, Busy: busy})
	}
	timer := time.AfterFunc(others+expected+fetchOverdueAfter, func() {
		if !busy {
			report(true)
		}
	})
	var ended atomic.Bool
	first = func() {
		timer.Stop()
		ended.Store(true)
		report(false)
	}
	return first, func() bool {
		timer.Stop()
		return ended.Load()
	}
}

// dominantFetch finds the store with the longest total fetch time. It returns the last part that is
// fetched from that store, the total fetch time of that store, and the fetch time of all stores.
func dominantFetch(c *pick.Candidate, sources []pick.Source, stored []PartOffer) (last PartOffer, fromStore, all time.Duration) {
	takes := map[routing.ServiceID]time.Duration{}
	for i, source := range sources {
		if source != pick.Fetched {
			continue
		}
		all += c.Parts[i].FetchTime
		if stored[i].Claim == 0 {
			continue
		}
		store := stored[i].Store
		takes[store] += c.Parts[i].FetchTime
		if takes[store] >= fromStore {
			last, fromStore = stored[i], takes[store]
		}
	}
	return last, fromStore, all
}

// cancelFetches clears the sources of parts that are computed faster than fetched, and of all parts
// after them. It returns those whose fetch the stores have reserved, and clears their claims in stored
// so that they are not released again when the attempt ends.
//
// This includes parts that are assumed to be resident at the replica: often they are not, and would
// then be fetched without a reservation. Without this rule, waiting prompts evicted the prefixes that
// prompts share, all replicas fetched them again over a link that had become slow, and that link
// stayed saturated: each prompt waited for the longest time a fetch may take, for seconds after the
// link had recovered.
func cancelFetches(send *relay.AttemptMeta, parts []pick.Part, sources []pick.Source, stored []PartOffer) []PartOffer {
	unused := make([]PartOffer, len(parts))
	computed := false
	for i, source := range sources {
		computed = computed || source == pick.Computed && parts[i].FetchTime > 0
		if !computed && (source != pick.Resident || pick.DefaultCosts.WorthFetching(parts[i])) {
			continue
		}
		send.FetchFrom[i] = ""
		if stored[i].Fetch {
			unused[i] = stored[i]
			stored[i].Claim = 0
		}
	}
	return unused
}

// placementReason describes a placement for the log. It has one letter for each part: m if the part is
// assumed to be in the replica's memory, s if it is fetched from a store, r if from another replica, -
// if it is computed; + is appended if the part is saved. The replica's load follows.
func placementReason(c *pick.Candidate, send *relay.AttemptMeta, output int) string {
	var b strings.Builder
	for i, p := range c.Parts {
		switch {
		case p.Resident:
			b.WriteByte('m')
		case p.FetchTime > 0:
			b.WriteByte('s')
		case i < len(send.FetchFrom) && send.FetchFrom[i] != "":
			b.WriteByte('r')
		default:
			b.WriteByte('-')
		}
		if i < len(send.SaveTo) && send.SaveTo[i] != "" {
			b.WriteByte('+')
		}
	}
	fmt.Fprintf(&b, " out=%d running=%d tokens=%d prefill=%d", output, c.Running, c.KVUsed, c.QueuedPrefill)
	return b.String()
}

func (e *PromptPlacer) claimTransfers(ctx context.Context, j *relay.Job, salt string, usable []*replicas.Replica) ([]PartOffer, int64) {
	if e.Stores == nil || len(j.Parts) == 0 {
		return make([]PartOffer, len(j.Parts)), 0
	}
	stored, until := e.Stores.Claim(ctx, salt, j.Parts, e.residentOnAny(j, salt, usable))
	e.release(salt, j, e.dropSavesOutsideHomes(j, stored))
	return stored, until
}

// dropSavesOutsideHomes removes saves to stores outside a prompt's home regions from stored, and
// returns them.
func (e *PromptPlacer) dropSavesOutsideHomes(j *relay.Job, stored []PartOffer) []PartOffer {
	unused := make([]PartOffer, len(stored))
	for i, s := range stored {
		if s.Save && !e.isHome(j, s.FailureDomain) {
			unused[i], stored[i] = s, PartOffer{}
		}
	}
	return unused
}

// setTransfers sets the source and the destination of each part. Parts that are assumed to be resident
// get a source as well: the replica fetches only what it lacks.
func (e *PromptPlacer) setTransfers(send *relay.AttemptMeta, j *relay.Job, stored []PartOffer, until int64, to *replicas.Replica) {
	send.FetchFrom = make([]string, len(j.Parts))
	send.SaveTo = make([]string, len(j.Parts))
	for i := range j.Parts {
		if stored[i].Fetch {
			send.FetchFrom[i] = stored[i].Address
			send.FetchUntil = until
		}
		if stored[i].Save {
			send.SaveTo[i] = stored[i].Address
		}
	}
	e.setReplicaSources(send, j, to)
}
