package placer

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// crossFactor is how much longer a transfer between failure domains takes.
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
	quietPrefill = 4000 // tokens waiting, up to which a replica counts as idle
	quietMemory  = 0.7  // share of its memory, likewise
	// waitShare and urgentWaitShare are the parts of a route's objective that a request may
	// wait for its replica.
	waitShare       = 0.8
	urgentWaitShare = 1.5
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

// Stored is one part of a prompt that a context store can give or take.
type Stored struct {
	Address       string // of the store; empty: none
	FailureDomain string
	Fetch         bool          // the part may be fetched from there
	Save          bool          // it should be saved there
	Takes         time.Duration // to a replica in the store's failure domain, its queue included
}

// Stores tells what the context stores can give of a prompt.
type Stores interface {
	// Ask returns an entry for each part, and until when fetches may run, on the
	// replicas' clock.
	Ask(ctx context.Context, salt string, parts []relay.Part, expectResident []bool) (stored []Stored, until int64)
	// Slow says that a fetch from the store at an address took much longer than told.
	Slow(address string)
}

// Engine places prompts on model replicas.
type Engine struct {
	Set *replicas.Set
	// Mine returns the replicas of a service that this daemon uses.
	Mine     func(routing.ServiceID) []*replicas.Replica
	Domain   string // of this daemon
	Outdated Outdated
	Stores   Stores
	Placed   func(replica request.TargetID, parts []PlacedPart, other int) // for peers; nil: nobody
	// OldFrom is from when on replaced weights get no requests, and OldBegin until when
	// an answer on them must have begun; both count from their successor's naming. Zero:
	// there is no bound.
	OldFrom, OldBegin time.Duration

	mu     sync.Mutex
	memory int // tokens of one replica
	models map[request.TargetID]*residency.Model
}

// PlacedPart is a part that now lies in a replica's memory.
type PlacedPart struct {
	Key    residency.Key
	Tokens int
}

// Place implements relay.Placer.
func (e *Engine) Place(ctx context.Context, j *relay.Job, tried []request.TargetID) (*relay.Placement, error) {
	usable := usable(e.Mine(j.Service.ID), tried)
	usable = e.onNamedWeights(usable, j.Model)
	usable = e.forLength(usable, j)
	if len(usable) == 0 {
		return nil, noReplica()
	}
	salt := cacheSalt(best(usable, j.Model), j.Org)
	stored, until := e.askStores(ctx, j, salt, usable)
	candidates := e.candidates(j, usable, salt, stored)
	need := e.need(j)
	n := pick.Best(pick.Default, need, candidates)
	r, chosen := usable[n], &candidates[n]
	if err := e.admit(j, pick.Default.Wait(need, chosen)); err != nil {
		return nil, err
	}
	version := r.Weights(j.Model)
	own := cacheSalt(version, j.Org)
	send := relay.Send{Weights: version, CacheSalt: own, Urgency: min(maxUrgency, j.Priority())}
	if own != salt {
		// While weights are rolled out the replica may serve others than were asked for.
		stored, until = e.askStores(ctx, j, own, []*replicas.Replica{r})
	}
	sources := pick.Default.Sources(chosen.Parts)
	e.fill(&send, j, stored, until, r)
	unfetch(&send, chosen.Parts, sources)
	e.record(r.Info().ID, j, own)
	stop := e.watchFetch(chosen, need, sources, stored)
	return &relay.Placement{
		Replica: r, Send: send, BeginBy: e.beginBy(j.Model, version), First: stop, Ended: func(bool) { stop() }, Reason: reason(chosen, &send, j.OutputTokens),
		Flight: begin(r, need, pick.Default.ToCompute(need, chosen.Parts)),
	}, nil
}

func begin(r *replicas.Replica, need pick.Request, compute int) *replicas.Flight {
	if need.Long {
		return r.Load.BeginLong(need.Tokens, compute)
	}
	return r.Load.Begin(need.Tokens, compute)
}

// admit refuses a request that would wait so long that its answer is late. Replicas with
// too much to do answer nobody in time: each request that waits holds memory, and all take
// longer. The most urgent ones are let in longer, so that the others give way first.
func (e *Engine) admit(j *relay.Job, wait time.Duration) error {
	share := waitShare
	if j.Priority() == 0 {
		share = urgentWaitShare
	}
	limit := time.Duration(share * float64(j.Route.Objective))
	if wait <= limit {
		return nil
	}
	back := min(max(wait-limit, minBack), maxBack)
	return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, back, "all replicas are full: the wait is %s", wait)
}

// watchFetch reports the store of the largest fetched part if the first token is overdue
// by so much that the store's link must be slower than thought. A replica with much to do
// may be the cause itself, so that nothing is concluded then.
func (e *Engine) watchFetch(c *pick.Candidate, need pick.Request, sources []pick.Source, stored []Stored) (stop func()) {
	busy := c.Prefill > quietPrefill || float64(c.Tokens+need.Tokens) > quietMemory*float64(c.Memory)
	largest := -1
	expected := time.Duration(pick.Default.ToCompute(need, c.Parts)+c.Prefill) * pick.Default.PrefillPerToken
	for i, source := range sources {
		if source != pick.Fetched {
			continue
		}
		expected += c.Parts[i].Fetch
		if stored[i].Fetch && (largest < 0 || c.Parts[i].Tokens > c.Parts[largest].Tokens) {
			largest = i
		}
	}
	if busy || largest < 0 {
		return func() {}
	}
	address := stored[largest].Address
	t := time.AfterFunc(expected+fetchOverdue, func() { e.Stores.Slow(address) })
	return func() { t.Stop() }
}

// unfetch takes back the sources of parts that are sooner computed than fetched, and of
// all after them.
func unfetch(send *relay.Send, parts []pick.Part, sources []pick.Source) {
	for i, source := range sources {
		if source == pick.Computed && parts[i].Fetch > 0 {
			for n := i; n < len(send.FetchFrom); n++ {
				send.FetchFrom[n] = ""
			}
			return
		}
	}
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

func (e *Engine) output(j *relay.Job) int { return int(float64(j.OutputTokens) * outputShare) }

func (e *Engine) need(j *relay.Job) pick.Request {
	fresh := j.PromptTokens
	for _, p := range j.Parts {
		fresh -= p.Tokens
	}
	return pick.Request{Tokens: j.PromptTokens + e.output(j), Fresh: max(0, fresh), Long: e.output(j) > longOutput}
}

// forLength leaves out replicas that take only short requests for a long one, unless all
// do.
func (e *Engine) forLength(of []*replicas.Replica, j *relay.Job) []*replicas.Replica {
	if e.output(j) <= longOutput {
		return of
	}
	now := time.Now()
	var fit []*replicas.Replica
	for _, r := range of {
		if !r.ShortOnly(now) {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 {
		return of
	}
	return fit
}

// onNamedWeights leaves out replicas on weights that were replaced too long ago. Callers
// are then told to come back rather than answered on them.
func (e *Engine) onNamedWeights(of []*replicas.Replica, m request.Model) []*replicas.Replica {
	var fit []*replicas.Replica
	for _, r := range of {
		version := r.Weights(m)
		since, outdated := e.Outdated(m, version)
		if version == 0 || outdated && e.OldFrom > 0 && time.Since(since) > e.OldFrom {
			continue
		}
		fit = append(fit, r)
	}
	return fit
}

// best returns the newest version that any replica serves.
func best(of []*replicas.Replica, m request.Model) uint64 {
	var version uint64
	for _, r := range of {
		version = max(version, r.Weights(m))
	}
	return version
}

// cacheSalt keeps KV cache of other weights, and of organisations that share with nobody,
// apart by name.
func cacheSalt(version uint64, org *routing.Org) string {
	salt := "w" + strconv.FormatUint(version, 10)
	if org != nil && org.Isolated {
		salt += "." + string(org.ID)
	}
	return salt
}

func partKey(salt, id string) residency.Key {
	return residency.Key(xxhash.Sum64String(salt + "/" + id))
}

func (e *Engine) askStores(ctx context.Context, j *relay.Job, salt string, usable []*replicas.Replica) ([]Stored, int64) {
	if e.Stores == nil || len(j.Parts) == 0 {
		return make([]Stored, len(j.Parts)), 0
	}
	return e.Stores.Ask(ctx, salt, j.Parts, e.residentSomewhere(j, salt, usable))
}

// residentSomewhere says of each part whether some replica that can be used has it.
func (e *Engine) residentSomewhere(j *relay.Job, salt string, usable []*replicas.Replica) []bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]bool, len(j.Parts))
	for i, p := range j.Parts {
		key := partKey(salt, p.ID)
		for _, r := range usable {
			if m := e.models[r.Info().ID]; m != nil && m.Has(key) {
				out[i] = true
				break
			}
		}
	}
	return out
}

func (e *Engine) candidates(j *relay.Job, usable []*replicas.Replica, salt string, stored []Stored) []pick.Candidate {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]pick.Candidate, len(usable))
	forLong := e.forLong(j.Service, now)
	for i, r := range usable {
		info := r.Info()
		load := r.Load.Total(now)
		version := r.Weights(j.Model)
		out[i] = pick.Candidate{
			Running: load.Requests, Slots: j.Service.Engine.Slots,
			Tokens: load.Tokens, Memory: j.Service.Engine.MemoryTokens, Prefill: load.Prefill,
			SameDomain: info.FailureDomain == e.Domain, ErrorRate: r.Health.ErrorRate(),
			OldWeights: e.oldness(j.Model, version), ForLong: forLong[info.ID],
			Parts: e.partsAt(j, r, salt, cacheSalt(version, j.Org) == salt, stored),
		}
	}
	return out
}

// forLong returns the replicas of a service that are set apart for long answers: the first
// ones in an order that all daemons know.
func (e *Engine) forLong(service *routing.Service, now time.Time) map[request.TargetID]bool {
	all := slices.Clone(e.Mine(service.ID))
	long := 0
	for _, r := range all {
		long += r.Load.Total(now).Long
	}
	n := pick.LongReplicas(len(all), long, service.Engine.MemoryTokens)
	slices.SortFunc(all, func(a, b *replicas.Replica) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Info().ID)), xxhash.Sum64String(string(b.Info().ID)))
	})
	out := make(map[request.TargetID]bool, n)
	for _, r := range all[:min(n, len(all))] {
		out[r.Info().ID] = true
	}
	return out
}

// beginBy returns when an answer on a version of the weights must have begun.
func (e *Engine) beginBy(m request.Model, version uint64) time.Time {
	since, outdated := e.Outdated(m, version)
	if !outdated || e.OldBegin <= 0 {
		return time.Time{}
	}
	return since.Add(e.OldBegin)
}

// oldness returns how much an answer on a version of the weights has lost, from 0 to 1.
func (e *Engine) oldness(m request.Model, version uint64) float64 {
	if _, outdated := e.Outdated(m, version); outdated {
		return oldShare
	}
	return 0
}

func (e *Engine) partsAt(j *relay.Job, r *replicas.Replica, salt string, sameSalt bool, stored []Stored) []pick.Part {
	info := r.Info()
	m := e.models[info.ID]
	parts := make([]pick.Part, len(j.Parts))
	for i, p := range j.Parts {
		parts[i] = pick.Part{Tokens: p.Tokens, Shared: stored[i].Fetch}
		if !sameSalt {
			continue
		}
		parts[i].Resident = m != nil && m.Has(partKey(salt, p.ID))
		if stored[i].Fetch {
			parts[i].Fetch = stored[i].Takes
			if stored[i].FailureDomain != info.FailureDomain {
				parts[i].Fetch *= crossFactor
			}
		}
	}
	return parts
}

// fill names where each part comes from and goes to. A source is named also for parts
// thought to be there: the replica fetches only what it lacks.
func (e *Engine) fill(send *relay.Send, j *relay.Job, stored []Stored, until int64, to *replicas.Replica) {
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

// fillFromPeers names another replica for parts that no store gives.
func (e *Engine) fillFromPeers(send *relay.Send, j *relay.Job, to *replicas.Replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range j.Parts {
		if send.FetchFrom[i] != "" {
			continue
		}
		key := partKey(send.CacheSalt, p.ID)
		if m := e.models[to.Info().ID]; m != nil && m.Has(key) {
			continue
		}
		if from := e.holder(key, j, to, send.Weights); from != nil {
			send.FetchFrom[i] = from.Info().Address
		}
	}
}

// holder returns a replica on the same weights that is thought to hold a part, one in
// the same failure domain if there is any.
func (e *Engine) holder(key residency.Key, j *relay.Job, to *replicas.Replica, version uint64) *replicas.Replica {
	var found *replicas.Replica
	now := time.Now()
	for _, r := range e.Mine(j.Service.ID) {
		m := e.models[r.Info().ID]
		if r == to || m == nil || !m.Has(key) || r.Weights(j.Model) != version || r.Health.Resting(now) {
			continue
		}
		if r.Info().FailureDomain == to.Info().FailureDomain {
			return r
		}
		found = r
	}
	return found
}

// record notes that a replica will have the parts of a prompt.
func (e *Engine) record(id request.TargetID, j *relay.Job, salt string) {
	parts := make([]PlacedPart, len(j.Parts))
	other := j.PromptTokens + e.output(j)
	for i, p := range j.Parts {
		parts[i] = PlacedPart{Key: partKey(salt, p.ID), Tokens: p.Tokens}
		other -= p.Tokens
	}
	e.setMemory(j.Service.Engine.MemoryTokens)
	e.Learn(id, parts, max(0, other))
	if e.Placed != nil {
		e.Placed(id, parts, max(0, other))
	}
}

func (e *Engine) setMemory(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory = tokens
}

// Learn notes what a replica's memory takes: parts, and other tokens that nobody asks
// for again but that take room until they are dropped.
func (e *Engine) Learn(id request.TargetID, parts []PlacedPart, other int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.memory == 0 {
		return // no prompt has come here yet
	}
	m := e.models[id]
	if m == nil {
		if e.models == nil {
			e.models = map[request.TargetID]*residency.Model{}
		}
		m = residency.New(e.memory)
		e.models[id] = m
	}
	for _, p := range parts {
		m.Touch(p.Key, p.Tokens)
	}
	if other > 0 {
		m.Touch(residency.Key(rand.Uint64()), other)
	}
}

// Forget drops the models of replicas that are gone.
func (e *Engine) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.models {
		if e.Set.Get(id) == nil {
			delete(e.models, id)
		}
	}
}
