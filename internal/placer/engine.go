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
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/policy/waits"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// crossFactor is how much longer a transfer between failure domains takes; the wait before
	// it is the same.
	crossFactor = 2
	// oldShare weighs answers on weights that were replaced. They are worth a fifth less,
	// but the caches of the new weights are empty at first: sent there by preference, all
	// prompts would be computed by the few replicas that have them, and all be late.
	oldShare = 0.02
	// maxUrgency is the last of the ranks that replicas know; 5 is what they take a
	// request without one for.
	maxUrgency = 9
	// outputShare is the part of the allowed output that a request is expected to make.
	outputShare = 0.35
	// fetchOverdue is how late a first token must be for its fetch to count as slow. On an
	// idle replica one varies by some 100 ms.
	fetchOverdue = 250 * time.Millisecond
	// fetchSlack is how much longer than told a fetch may take in any case.
	fetchSlack   = 100 * time.Millisecond
	quietPrefill = 4000 // tokens waiting, up to which a replica counts as idle
	quietMemory  = 0.7  // share of its memory, likewise
	// minBack and maxBack bound when a refused caller is told to come back: some prompts
	// later, and well within the time that callers have.
	minBack = 200 * time.Millisecond
	maxBack = time.Second
	// longOutput is the number of tokens from which a request counts as long: at 5 ms a
	// token they take half a second.
	longOutput = 100
)

// Outdated returns since when a version of a model's weights is not the newest that was
// named, and whether that is so.
type Outdated func(m request.Model, version uint64) (since time.Time, outdated bool)

// StoredPart is one part of a prompt that a context store can give or take.
type StoredPart struct {
	Store         routing.ServiceID
	Address       string // of the store; empty: none
	FailureDomain string
	Fetch         bool          // the part may be fetched from there
	Save          bool          // it should be saved there
	FetchTime     time.Duration // to a replica in the store's failure domain, its queue included
	Queue         time.Duration // of the store's link, before the fetch
	Claim         int64         // names the transfer over the store's link; zero: none is counted
}

// Stores tells what the context stores can give of a prompt.
type Stores interface {
	// Claim returns an entry for each part, and until when fetches may run, on the
	// replicas' clock.
	Claim(ctx context.Context, salt string, parts []relay.Part, expectResident []bool) (stored []StoredPart, until int64)
	// Release says that some of what Ask allowed under a salt is not used. It does not wait.
	Release(salt string, parts []relay.Part, unused []StoredPart)
	// ReportFetch says how a fetch from a store went. It does not wait.
	ReportFetch(store routing.ServiceID, f storeroom.Fetched)
}

// Engine places prompts on model replicas.
type Engine struct {
	Eligibility
	// Assigned returns the replicas of a service that this daemon uses.
	Assigned func(routing.ServiceID) []*replicas.Replica
	Domain   string // of this daemon
	Outdated Outdated
	Stores   Stores
	OnPlaced func(replica *replicas.Replica, parts []PlacedPart, other int) // for peers; nil: nobody
	// OldWeightsUsableFor is from when on replaced weights get no requests, and OldBegin until when
	// an answer on them must have begun; both count from their successor's naming. Zero:
	// there is no bound.
	OldWeightsUsableFor, OldWeightsBeginWithin time.Duration

	mu     sync.Mutex
	memory int // tokens of one replica
	models map[*replicas.Replica]*residency.Model
	waits  map[routing.ServiceID]*waits.Waits
}

// PlacedPart is a part that now lies in a replica's memory.
type PlacedPart struct {
	Key    residency.Key
	Tokens int
}

// Place implements relay.Placer.
func (e *Engine) Place(ctx context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	usable := e.of(j, e.Assigned(j.Service.ID), tried)
	usable = e.onNamedWeights(usable, j.Model)
	if len(usable) == 0 {
		return nil, noReplica()
	}
	salt := cacheSalt(best(usable, j.Model), j.Org)
	stored, until := e.askStores(ctx, j, salt, usable)
	need := e.need(j)
	r, chosen, err := e.choose(j, need, usable, salt, stored)
	if err != nil {
		e.release(salt, j, stored)
		return nil, err
	}
	version := r.Weights(j.Model)
	own := cacheSalt(version, j.Org)
	send := relay.Send{Weights: version, CacheSalt: own, Urgency: min(maxUrgency, j.Priority())}
	if own != salt {
		// While weights are rolled out the replica may serve others than were asked for.
		e.release(salt, j, stored)
		stored, until = e.askStores(ctx, j, own, []*replicas.Replica{r})
	}
	sources := pick.Default.Sources(chosen.Parts)
	e.fill(&send, j, stored, until, r)
	send.FetchUntil = fetchUntil(send.FetchUntil, j, chosen.Parts, sources)
	e.release(own, j, unfetch(&send, chosen.Parts, sources, stored))
	e.record(r, j, own)
	first, stop := e.watchFetch(chosen, need, sources, stored)
	return &relay.Placement{
		Replica: r, Send: send, BeginBy: e.beginBy(j.Model, version), First: first, Ended: e.ended(stop, own, j, stored), Reason: reason(chosen, &send, j.OutputTokens),
		Flight: begin(r, need, pick.Default.ToCompute(need, chosen.Parts)),
	}, nil
}

// choose returns the cheapest replica that may get the request now, or why none may. Leave to send
// to one with a bound may have been taken by another request meanwhile.
func (e *Engine) choose(j *relay.Job, need pick.Request, usable []*replicas.Replica, salt string, stored []StoredPart) (*replicas.Replica, *pick.Candidate, error) {
	longest := e.longestWait(j)
	for len(usable) > 0 {
		candidates := e.candidates(j, usable, salt, stored)
		n := pick.Sampled(pick.Default, need, candidates)
		if err := admit(pick.Default.Wait(need, &candidates[n]), longest); err != nil && !j.Begun {
			return nil, nil, err
		}
		if e.Quotas.Take(time.Now(), usable[n]) {
			return usable[n], &candidates[n], nil
		}
		usable = slices.Delete(usable, n, n+1)
	}
	return nil, nil, noReplica()
}

// ended returns what follows a try. One that did not run makes none of the transfers that it
// was allowed; one that ended before its first token, as its replica crashed or its caller left,
// is of no use to the link's estimate, and may have saved something.
func (e *Engine) ended(stop func() (told bool), salt string, j *relay.Job, stored []StoredPart) func(ran bool) {
	return func(ran bool) {
		told := stop()
		switch {
		case !ran:
			e.release(salt, j, stored)
		case !told:
			e.release(salt, j, fetches(stored))
		}
	}
}

// fetches returns those of some parts that are fetched.
func fetches(stored []StoredPart) []StoredPart {
	out := make([]StoredPart, len(stored))
	for i, s := range stored {
		if s.Fetch {
			out[i] = s
		}
	}
	return out
}

// release gives back what the stores allowed under a salt.
func (e *Engine) release(salt string, j *relay.Job, unused []StoredPart) {
	if e.Stores != nil {
		e.Stores.Release(salt, j.Parts, unused)
	}
}

// fetchUntil returns until when parts may be fetched, on the replicas' clock: as long as the
// prompt, computed then, is still in time, and in any case for longer than they should take.
//
// A replica begins its prompts in turn. One that waited two seconds for its context at a slow
// link held up all behind it, so that nobody was answered in time for as long; computing it
// holds them up for a tenth of a second.
func fetchUntil(leave int64, j *relay.Job, parts []pick.Part, sources []pick.Source) int64 {
	if leave == 0 {
		return 0
	}
	var told, compute time.Duration
	for i, source := range sources {
		if source == pick.Fetched {
			told += parts[i].Fetch
			compute += time.Duration(parts[i].Tokens) * pick.Default.PrefillPerToken
		}
	}
	longest := max(j.Route.Objective-time.Since(j.Start)-compute, told+fetchSlack)
	return leave - max(0, storeroom.LeaveFor-longest).Milliseconds()
}

func begin(r *replicas.Replica, need pick.Request, compute int) *replicas.Flight {
	if need.Long {
		return r.Load.BeginLongOutput(need.Tokens, compute)
	}
	return r.Load.Begin(need.Tokens, compute)
}

// longestWait returns how long a request may wait for its replica.
func (e *Engine) longestWait(j *relay.Job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waits[j.Service.ID]
	if w == nil {
		if e.waits == nil {
			e.waits = map[routing.ServiceID]*waits.Waits{}
		}
		w = waits.New()
		e.waits[j.Service.ID] = w
	}
	return w.Longest(time.Now(), j.Route.Objective, j.Priority() == 0)
}

// admit refuses a request that would wait so long that its answer is late. Replicas with
// too much to do answer nobody in time: each request that waits holds memory, and all take
// longer.
func admit(wait, longest time.Duration) error {
	if wait <= longest {
		return nil
	}
	back := min(max(wait-longest, minBack), maxBack)
	return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, back, "all replicas are full: the wait is %s", wait)
}

// watchFetch tells the keeper of the store that most is fetched from how that went: when the
// first token has come, and before that if it is overdue. What else a replica does before its
// first token is taken off. One with much to do, or that fetches from elsewhere as well, is not
// said to be overdue, since that may be the cause: a dead store holds it up for half a second.
func (e *Engine) watchFetch(c *pick.Candidate, need pick.Request, sources []pick.Source, stored []StoredPart) (first func(), stop func() (told bool)) {
	from, told, all := mostFetched(c, sources, stored)
	if from.Claim == 0 {
		return func() {}, func() bool { return true }
	}
	computing := time.Duration(pick.Default.ToCompute(need, c.Parts)+c.Prefill) * pick.Default.PrefillPerToken
	others := computing + all - told
	busy := c.Prefill > quietPrefill || float64(c.Tokens+need.Tokens) > quietMemory*float64(c.Memory) || all > told
	began := time.Now()
	tell := func(overdue bool) {
		took := max(0, time.Since(began)-others)
		e.Stores.ReportFetch(from.Store, storeroom.Fetched{Claim: from.Claim, Took: took, Overdue: overdue, Busy: busy})
	}
	timer := time.AfterFunc(others+told+fetchOverdue, func() {
		if !busy {
			tell(true)
		}
	})
	var ended atomic.Bool
	first = func() {
		timer.Stop()
		ended.Store(true)
		tell(false)
	}
	return first, func() bool {
		timer.Stop()
		return ended.Load()
	}
}

// mostFetched returns the part that is fetched last from the store that most is fetched from,
// how long all parts from there take, and how long all fetches take.
func mostFetched(c *pick.Candidate, sources []pick.Source, stored []StoredPart) (last StoredPart, from, all time.Duration) {
	takes := map[routing.ServiceID]time.Duration{}
	for i, source := range sources {
		if source != pick.Fetched {
			continue
		}
		all += c.Parts[i].Fetch
		if stored[i].Claim == 0 {
			continue
		}
		store := stored[i].Store
		takes[store] += c.Parts[i].Fetch
		if takes[store] >= from {
			last, from = stored[i], takes[store]
		}
	}
	return last, from, all
}

// unfetch takes back the sources of parts that are sooner computed than fetched, and of all after
// them. It returns what of them the stores count on being fetched, and takes their claims out of
// stored: what is given back now is not given back again when the try ends.
//
// Also of a part that is thought to lie in the replica's memory: often it does not, and then it
// comes over a link that nobody counted it on. A link that had turned slow was held full by the
// beginnings that prompts share, which all replicas fetched anew while waiting prompts took their
// memory; each prompt waited for as long as fetches may take, for seconds after the link was well.
func unfetch(send *relay.Send, parts []pick.Part, sources []pick.Source, stored []StoredPart) []StoredPart {
	unused := make([]StoredPart, len(parts))
	computed := false
	for i, source := range sources {
		computed = computed || source == pick.Computed && parts[i].Fetch > 0
		if !computed && (source != pick.Resident || pick.Default.WorthFetching(parts[i])) {
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

// reason tells for the log, part by part, what is thought to lie in the replica's memory
// (m), is fetched from a store (s) or another replica (r), or is computed (-), a + for one
// that is saved, and the replica's load.
func reason(c *pick.Candidate, send *relay.Send, output int) string {
	var b strings.Builder
	for i, p := range c.Parts {
		switch {
		case p.Resident:
			b.WriteByte('m')
		case p.Fetch > 0:
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
	fmt.Fprintf(&b, " out=%d running=%d tokens=%d prefill=%d", output, c.Running, c.Tokens, c.Prefill)
	return b.String()
}

func (e *Engine) askStores(ctx context.Context, j *relay.Job, salt string, usable []*replicas.Replica) ([]StoredPart, int64) {
	if e.Stores == nil || len(j.Parts) == 0 {
		return make([]StoredPart, len(j.Parts)), 0
	}
	stored, until := e.Stores.Claim(ctx, salt, j.Parts, e.residentSomewhere(j, salt, usable))
	e.release(salt, j, e.unsaveAbroad(j, stored))
	return stored, until
}

// unsaveAbroad takes out of stored, and returns, the saves to stores outside a prompt's homes.
func (e *Engine) unsaveAbroad(j *relay.Job, stored []StoredPart) []StoredPart {
	unused := make([]StoredPart, len(stored))
	for i, s := range stored {
		if s.Save && !e.isHome(j, s.FailureDomain) {
			unused[i], stored[i] = s, StoredPart{}
		}
	}
	return unused
}

// fill names where each part comes from and goes to. A source is named also for parts
// thought to be there: the replica fetches only what it lacks.
func (e *Engine) fill(send *relay.Send, j *relay.Job, stored []StoredPart, until int64, to *replicas.Replica) {
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
	e.fillFromPeers(send, j, to)
}
