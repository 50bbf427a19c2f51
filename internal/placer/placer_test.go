package placer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/cachepool"
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const model = request.Model("m")

// permitUntil is until when the fake store's parts may be fetched, on the replicas' clock.
const permitUntil = 777_000

// fakeStore is a context store that holds some parts under a salt.
type fakeStore struct {
	held   map[string]bool // salt/id
	claims int
	// fetchTime is how long a fetch takes; zero means 10 ms.
	fetchTime time.Duration
	queueTime time.Duration // before a fetch
	// released are the released parts, as salt/id.
	released []string
	// results are the reported fetches. Overdue ones are reported by a timer.
	mu      sync.Mutex
	results []storecache.FetchResult
}

func (s *fakeStore) Claim(_ context.Context, salt string, parts []relay.Part, _ []bool) ([]PartOffer, int64) {
	s.claims++
	out := make([]PartOffer, len(parts))
	for i, p := range parts {
		out[i] = PartOffer{Store: "store", Address: "store:1", FailureDomain: "a", FetchTime: cmp.Or(s.fetchTime, 10*time.Millisecond), QueueTime: s.queueTime}
		out[i].Fetch = s.held[salt+"/"+p.ID]
		out[i].Save = !out[i].Fetch && i < len(parts)-1
		out[i].Claim = int64(i + 1)
	}
	return out, permitUntil
}

func (s *fakeStore) Release(salt string, parts []relay.Part, unused []PartOffer) {
	for i, u := range unused {
		if u.Save || u.Fetch {
			s.released = append(s.released, salt+"/"+parts[i].ID)
		}
	}
}

func (s *fakeStore) ReportFetch(_ routing.ServiceID, r storecache.FetchResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

type fixture struct {
	set       *replicas.Set
	placer    *PromptPlacer
	store     *fakeStore
	requested uint64
	since     time.Time
}

func newFixture(n int) *fixture {
	f := &fixture{set: replicas.NewSet(), store: &fakeStore{held: map[string]bool{}}, requested: 1, since: time.Now()}
	for i := range n {
		f.put(i, 1)
	}
	f.placer = &PromptPlacer{
		Eligibility: Eligibility{Set: f.set}, Assigned: f.set.ByService, Domain: "a", Stores: f.store, CacheSalt: testSalt,
		OldWeightsUsableFor: time.Second, OldWeightsBeginWithin: 2 * time.Second,
		OutdatedSince: func(_ request.Model, v uint64) (time.Time, bool) { return f.since, v < f.requested },
	}
	return f
}

// testSalt returns the salts of organisations none of which was isolated before.
func testSalt(_ request.Model, weights uint64, org *routing.Org) string {
	pools := cachepool.New(0, nil, &cachepool.Generations{})
	switch {
	case org == nil:
		return pools.Anonymous(weights)
	case org.Isolated:
		return cachepool.Own(weights, org.ID)
	}
	return pools.Salt(weights, org.ID)
}

func (f *fixture) put(i int, weights uint64) {
	f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{
		ID: id(i), Service: "llm", Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: "a",
		Weights: map[request.Model]uint64{model: weights},
	}}})
}

func id(i int) request.TargetID { return request.TargetID(fmt.Sprint("r", i)) }

func job(session string) *relay.Job {
	return &relay.Job{
		Meta: relay.Meta{
			ID: "1", Model: model, PromptTokens: 9000, OutputTokens: 50,
			Parts: []relay.Part{{ID: "shared", Tokens: 2500}, {ID: session, Tokens: 5000}, {ID: "own" + session, Tokens: 1500}},
		},
		Route:   &routing.Route{Kind: routing.KindStream, Objective: 600 * time.Millisecond, Priority: 1},
		Service: &routing.Service{ID: "llm", Engine: &routing.Engine{Slots: 48, MemoryTokens: 50_000}},
	}
}

func place(t *testing.T, f *fixture, j *relay.Job) *relay.Placement {
	t.Helper()
	p, err := f.placer.Place(context.Background(), j, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func done(p *relay.Placement) {
	p.Flight.End()
	p.OnEnd(true)
}

// A returning session goes to the replica that caches its context, unless that replica is busy.
func TestSessionReturnsToCachedContext(t *testing.T) {
	f := newFixture(6)
	first := place(t, f, job("s"))
	done(first)
	for range 10 {
		p := place(t, f, job("s"))
		done(p)
		if p.Replica != first.Replica {
			t.Fatalf("went to %s, its context is cached at %s", p.Replica.Info().ID, first.Replica.Info().ID)
		}
	}
	first.Replica.Load.Begin(45_000, 40_000)
	if p := place(t, f, job("s")); p.Replica == first.Replica {
		t.Error("placed at a busy replica")
	}
}

// A replica crashes and restarts under its id within a second, with an empty memory. Its sessions
// must not be sent there for their context, nor other replicas fetch it from there.
func TestRestartedReplicaLosesCachedParts(t *testing.T) {
	f := newFixture(2)
	first := place(t, f, job("s"))
	done(first)
	again := *first.Replica.Info()
	again.Started = 1_772_000_000_000
	f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{again}})
	p := place(t, f, job("s"))
	for _, from := range p.Meta.FetchFrom {
		if from != "" {
			t.Errorf("a part is fetched from %s, which holds nothing", from)
		}
	}
	if parts, _, _ := strings.Cut(p.Reason, " "); strings.Contains(parts, "m") {
		t.Errorf("parts are assumed to be resident: %s", p.Reason)
	}
	f.placer.Prune()
	if n := len(f.placer.memoryEstimates); n > 2 {
		t.Errorf("%d memory estimates for two replicas", n)
	}
}

// Parts are fetched from the store if it holds them, and saved to it if it wants them. The permit to
// fetch expires, on the replicas' clock.
func TestPartsAreFetchedFromAndSavedToStore(t *testing.T) {
	f := newFixture(1)
	f.store.held["w1/shared"] = true
	p := place(t, f, job("s"))
	if got := p.Meta.FetchFrom; got[0] != "store:1" || got[1] != "" || got[2] != "" {
		t.Errorf("fetch %q", got)
	}
	if got := p.Meta.SaveTo; got[0] != "" || got[1] != "store:1" || got[2] != "" {
		t.Errorf("save %q", got)
	}
	if until := p.Meta.FetchUntil; until <= 0 || until > permitUntil || p.Meta.CacheSalt != "w1" || p.Meta.WeightsVersion != 1 {
		t.Errorf("sent %+v", p.Meta)
	}
}

// An isolated organisation has its own salt, so that it neither finds parts of other organisations by
// name nor they its parts.
func TestIsolatedOrganisationHasItsOwnSalt(t *testing.T) {
	f := newFixture(1)
	alone, other := job("s"), job("s")
	alone.Org = &routing.Org{ID: "o1", Isolated: true}
	other.Org = &routing.Org{ID: "o2"}
	a, b := place(t, f, alone).Meta.CacheSalt, place(t, f, other).Meta.CacheSalt
	if a == b || b != "w1" {
		t.Errorf("salts %q and %q", a, b)
	}
}

// A new version of the weights is requested. Replicas on the old one are used for a limited time, with
// a deadline by which the answer must begin. After that the caller is told to retry.
func TestOutdatedWeightsAreUsedForLimitedTime(t *testing.T) {
	f := newFixture(2)
	f.requested = 2
	p := place(t, f, job("s"))
	if want := f.since.Add(2 * time.Second); !p.StartDeadline.Equal(want) {
		t.Errorf("must begin by %s, want %s", p.StartDeadline, want)
	}
	done(p)
	f.since = time.Now().Add(-1100 * time.Millisecond)
	_, err := f.placer.Place(context.Background(), job("s"), nil)
	var refused *request.Error
	if !errors.As(err, &refused) || refused.Ran != request.NotRun || refused.RetryAfter == 0 {
		t.Fatalf("got %v", err)
	}
	f.put(1, 2)
	if p := place(t, f, job("s")); p.Replica.Info().ID != "r1" || p.Meta.CacheSalt != "w2" || !p.StartDeadline.IsZero() {
		t.Errorf("placed at %s with %+v", p.Replica.Info().ID, p.Meta)
	}
}

// Parts computed under other weights must never be sent to a replica: the parts claimed at the stores
// are those of the replica's own weights.
func TestPartsMatchWeightsOfReplica(t *testing.T) {
	f := newFixture(2)
	f.requested = 2
	f.put(1, 2)
	f.store.held["w2/shared"] = true
	f.set.Get("r1").Load.Begin(49_000, 20_000) // the one on new weights is busy
	p := place(t, f, job("s"))
	if p.Replica.Info().ID != "r0" || p.Meta.CacheSalt != "w1" || p.Meta.FetchFrom[0] != "" {
		t.Errorf("at %s: %+v", p.Replica.Info().ID, p.Meta)
	}
}

// TestUnreachedVersionHidesNoCache guards against prompts that leave the replica of their context because an entry names a newer version.
func TestUnreachedVersionHidesNoCache(t *testing.T) {
	f := newFixture(4)
	f.placer.setMemoryTokens(50_000)
	for i := range 4 {
		f.set.Get(id(i)).RecordAnswer(time.Now(), false)
	}
	first := place(t, f, job("s"))
	done(first)
	f.put(4, 1000)
	for range 20 {
		p := place(t, f, job("s"))
		if p.Replica != first.Replica {
			t.Fatalf("went to %s, want %s", p.Replica.Info().ID, first.Replica.Info().ID)
		}
		done(p)
	}
}

// A replica that loads weights gets no requests.
func TestBusyReplicaGetsNoRequests(t *testing.T) {
	f := newFixture(3)
	f.set.Get("r0").SetBusy(time.Now().Add(time.Minute))
	for i := range 10 {
		p := place(t, f, job(fmt.Sprint(i)))
		if p.Replica.Info().ID == "r0" {
			t.Fatal("a replica that loads weights got a request")
		}
		done(p)
	}
}

// Prompts arrive faster than the replicas compute them. Requests that would miss their objective are
// not placed, the less urgent ones first, and the wait for room is stated.
func TestOverloadedReplicaTakesNoMore(t *testing.T) {
	f := newFixture(1)
	f.set.Get("r0").Load.Begin(1000, 30_000) // 600 ms of prompts
	normal, urgent := job("s"), job("s")
	urgent.Route = &routing.Route{Kind: routing.KindStream, Objective: 600 * time.Millisecond, Priority: 0}
	_, err := f.placer.Place(context.Background(), normal, nil)
	var full *relay.NoRoomError
	if !errors.As(err, &full) || full.Wait < 100*time.Millisecond || full.Service != normal.Service.ID {
		t.Errorf("got %v", err)
	}
	if f.placer.HasRoom(normal, nil) {
		t.Error("there is room for a request that can't be placed")
	}
	if !f.placer.HasRoom(urgent, nil) {
		t.Error("there is no room for the urgent request")
	}
	if _, err := f.placer.Place(context.Background(), urgent, nil); err != nil {
		t.Errorf("the urgent request: %v", err)
	}
}

// In a peak the replica that holds a session's context is full while others are idle. The session's prompt
// was refused.
func TestPromptLeavesFullReplicaOfItsContext(t *testing.T) {
	f := newFixture(2)
	first := place(t, f, job("s"))
	holder := first.Replica
	done(first)
	holder.Load.Begin(1000, 30_000) // 600 ms of prompts
	again := place(t, f, job("s"))
	if again.Replica == holder {
		t.Error("the prompt waits at the full replica")
	}
}

// Beside a replica's streams, prompts are computed one after the other: each pause is then too long. A prompt
// must go to a replica without streams, also if it has to be computed again there.
func TestPromptsKeepAwayFromStreams(t *testing.T) {
	f := newFixture(2)
	r0, r1 := f.set.Get("r0"), f.set.Get("r1")
	for range 6 {
		r0.Load.BeginWork(replicas.Work{Requests: 1, Streams: 1})
		r1.Load.BeginWork(replicas.Work{Requests: 1})
	}
	busy := r0.Load.Begin(1000, 9000)
	r1.Load.Begin(1000, 9000)
	busy.Computed()
	for n := range 5 {
		j := job(fmt.Sprint(n))
		j.Service.MaxEventGap = 300 * time.Millisecond
		if p := place(t, f, j); p.Replica == r0 {
			t.Error("a prompt stops the streams of another replica")
		} else {
			done(p)
		}
	}
}

// Under memory pressure all replicas evict the prefix that all prompts share, and fetch it again without a claim.
// If all of them fetched it from its store, or from the same replica, that link would be saturated.
func TestSharedPrefixIsFetchedFromAllItsHolders(t *testing.T) {
	f := newFixtureWithSharedPrefix()
	f.store.queueTime = 2 * busyLink
	if sources := f.prefixSources(t); sources["store:1"] > 0 || len(sources) < 6 {
		t.Errorf("64 prompts fetch the prefix from %v", sources)
	}
}

// TestSharedPrefixIsFetchedFromIdleStore guards against prefixes that are computed again because a replica that is assumed to hold them has evicted
// them, although a store with an idle link has them for certain.
func TestSharedPrefixIsFetchedFromIdleStore(t *testing.T) {
	f := newFixtureWithSharedPrefix()
	if sources := f.prefixSources(t); sources["store:1"] != 64 {
		t.Errorf("64 prompts fetch the prefix from %v", sources)
	}
}

// TestPartThatWasUsedLongAgoHasNoSureHolder guards against shared parts that are computed again because the replicas that are named as their source have
// evicted them: estimates are of the order of use, and running requests take memory that they do not know of.
func TestPartThatWasUsedLongAgoHasNoSureHolder(t *testing.T) {
	f := newFixtureWithSharedPrefix()
	f.store.queueTime = 2 * busyLink
	for i := range 8 {
		f.placer.RecordPlacement(f.set.Get(id(i)), nil, 30_000)
	}
	key, to := partKey("w1", "shared"), f.set.Get(id(7))
	if r, holders := f.placer.findHolder(key, job("t"), to, 1); r == nil || holders != 0 {
		t.Errorf("holder %v of %d sure ones, want any for want of a better one", r, holders)
	}
	lately := f.set.Get(id(3))
	f.placer.RecordPlacement(lately, []PlacedPart{{Key: key, Tokens: 2500}}, 0)
	for range 32 {
		if r, holders := f.placer.findHolder(key, job("t"), to, 1); r != lately || holders != 1 {
			t.Errorf("holder %s of %d sure ones, want the one that used the part lately", r.Info().ID, holders)
		}
	}
	if p := place(t, f, job("s")); p.Meta.FetchFrom[0] != "store:1" {
		t.Errorf("the prefix is fetched from %q", p.Meta.FetchFrom[0])
	}
}

// newFixtureWithSharedPrefix returns a fixture with eight replicas that are assumed to hold the part "shared", which a store has as well.
func newFixtureWithSharedPrefix() *fixture {
	f := newFixture(8)
	f.store.held["w1/shared"] = true
	f.placer.setMemoryTokens(50_000)
	for i := range 8 {
		f.placer.RecordPlacement(f.set.Get(id(i)), []PlacedPart{{Key: partKey("w1", "shared"), Tokens: 2500}}, 0)
	}
	return f
}

// prefixSources places 64 prompts, and returns how often each source is given for their first part.
func (f *fixture) prefixSources(t *testing.T) map[string]int {
	t.Helper()
	sources := map[string]int{}
	for n := range 64 {
		p := place(t, f, job(fmt.Sprint(n)))
		sources[p.Meta.FetchFrom[0]]++
		done(p)
	}
	return sources
}

// A session's context is on the replica that it returns to, or so the daemon assumes, and was on one other replica, which
// has evicted it as well. The store that offers the context must stay the source; otherwise it is computed again.
func TestContextOfOneSessionIsFetchedFromItsStore(t *testing.T) {
	f := newFixture(8)
	f.store.held["w1/s"] = true
	f.placer.setMemoryTokens(50_000)
	for i := range 2 {
		f.placer.RecordPlacement(f.set.Get(id(i)), []PlacedPart{{Key: partKey("w1", "shared"), Tokens: 2500}, {Key: partKey("w1", "s"), Tokens: 5000}}, 0)
	}
	if p := place(t, f, job("s")); p.Meta.FetchFrom[1] != "store:1" {
		t.Errorf("the context is fetched from %q", p.Meta.FetchFrom[1])
	}
}

// A replica with running streams dies, and the remaining replicas are busy. A resumable stream was
// refused like a new prompt, and broke off after its caller had received half of it.
func TestResumedStreamIsNotRefusedForItsWait(t *testing.T) {
	f := newFixture(1)
	f.set.Get("r0").Load.Begin(1000, 30_000) // 600 ms of prompts
	begun := job("s")
	begun.ResponseStarted = true
	if _, err := f.placer.Place(context.Background(), begun, nil); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// A store's link is slower than its owner assumes. The first token of a fetch is overdue, and the
// owner must receive a report while the fetch still runs.
func TestOverdueFetchIsReported(t *testing.T) {
	f := newFixture(1)
	for _, p := range job("s").Parts {
		f.store.held["w1/"+p.ID] = true
	}
	reported := make(chan storecache.FetchResult, 1)
	f.placer.Stores = &reportingStore{fakeStore: f.store, fetches: reported}
	place(t, f, job("s"))
	select {
	case got := <-reported:
		if !got.Overdue || got.Claim == 0 {
			t.Errorf("reported %+v", got)
		}
	case <-time.After(3 * time.Second):
		t.Error("no report")
	}
	p := place(t, f, job("s"))
	p.OnFirstEvent()
	select {
	case got := <-reported:
		if got.Overdue {
			t.Error("a fetch in time is reported as overdue")
		}
	case <-time.After(2 * fetchOverdueAfter):
	}
}

// Each completed fetch must be reported to the owner of the store that provided most of the data: the
// owner tracks the remaining load of its link by these reports. The report names the part that was
// claimed last from that store.
func TestCompletionOfEachFetchIsReported(t *testing.T) {
	for _, busy := range []bool{false, true} {
		f := newFixture(1)
		for _, p := range job("s").Parts {
			f.store.held["w1/"+p.ID] = true
		}
		reported := make(chan storecache.FetchResult, 1)
		f.placer.Stores = &reportingStore{fakeStore: f.store, fetches: reported}
		if busy {
			f.set.Get(id(0)).Load.Begin(100, idlePrefillTokens+1)
		}
		place(t, f, job("s")).OnFirstEvent()
		got := <-reported
		if got.Overdue || got.Busy != busy || got.Claim != int64(len(job("s").Parts)) {
			t.Errorf("busy %t: reported %+v", busy, got)
		}
	}
}

type reportingStore struct {
	*fakeStore
	fetches chan storecache.FetchResult
}

func (r *reportingStore) ReportFetch(_ routing.ServiceID, f storecache.FetchResult) { r.fetches <- f }

// A plain call goes to the least loaded replica, after a failure to another one, and to none if all
// were tried.
func TestPlainCallGoesToLeastLoadedReplica(t *testing.T) {
	f := newFixture(3)
	p := &PlainPlacer{Eligibility: Eligibility{Set: f.set}, Domain: "a"}
	j := &relay.Job{Service: &routing.Service{ID: "llm"}, Route: &routing.Route{}}
	f.set.Get("r0").Load.Begin(0, 0)
	f.set.Get("r1").Load.Begin(0, 0)
	got, err := p.Place(context.Background(), j, nil)
	if err != nil || got.Replica.Info().ID != "r2" {
		t.Errorf("got %+v, %v", got, err)
	}
	got, err = p.Place(context.Background(), j, []request.TargetID{"r2", "r0"})
	if err != nil || got.Replica.Info().ID != "r1" {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := p.Place(context.Background(), j, []request.TargetID{"r0", "r1", "r2"}); err == nil {
		t.Error("placed although all were tried")
	}
}

// During a rollout a prompt goes to a replica on the old weights, and claims made under the new ones
// are not used. They must be released: otherwise the stores wait for a save that never happens, and
// all prompts with that context are computed meanwhile.
func TestClaimsUnderOtherWeightsAreReleased(t *testing.T) {
	f := newFixture(2)
	f.put(1, 2)
	f.set.Get(id(1)).Load.Begin(50_000, 50_000)
	p := place(t, f, job("s"))
	if p.Replica.Info().ID != id(0) {
		t.Fatalf("went to %s", p.Replica.Info().ID)
	}
	if want := []string{"w2/shared", "w2/s"}; !slices.Equal(f.store.released, want) {
		t.Errorf("released %v, want %v", f.store.released, want)
	}
}

// All replicas are at capacity and the request is refused: its claims for saves must be released.
func TestClaimsOfRefusedRequestAreReleased(t *testing.T) {
	f := newFixture(1)
	f.set.Get(id(0)).Load.Begin(50_000, 50_000)
	if _, err := f.placer.Place(context.Background(), job("s"), nil); err == nil {
		t.Fatal("not refused")
	}
	if want := []string{"w1/shared", "w1/s"}; !slices.Equal(f.store.released, want) {
		t.Errorf("released %v, want %v", f.store.released, want)
	}
}

// A replica rejects a request. Only then is it certain that the replica saves nothing: an attempt that
// may have run may still be saving.
func TestClaimsOfAttemptThatDidNotRunAreReleased(t *testing.T) {
	for _, ran := range []bool{true, false} {
		f := newFixture(1)
		p := place(t, f, job("s"))
		p.OnEnd(ran)
		if gaveBack := len(f.store.released) > 0; gaveBack == ran {
			t.Errorf("ran %t: released %v", ran, f.store.released)
		}
	}
}

// A store is so slow that computing a prompt is faster than fetching it. The store's link must not be
// reserved for a fetch that is not made.
func TestClaimOfCancelledFetchIsReleased(t *testing.T) {
	f := newFixture(1)
	f.store.held["w1/shared"], f.store.held["w1/s"] = true, true
	f.store.fetchTime = 10 * time.Second
	p := place(t, f, job("s"))
	if p.Meta.FetchFrom[0] != "" || p.Meta.FetchFrom[1] != "" {
		t.Fatalf("fetches from %v", p.Meta.FetchFrom)
	}
	if want := []string{"w1/shared", "w1/s"}; !slices.Equal(f.store.released, want) {
		t.Errorf("released %v, want %v", f.store.released, want)
	}
}

// A store's link has become slow, and a prompt's context takes two seconds to fetch. The replica
// processes its prompts in order, so that all prompts behind it wait as long. The fetch is abandoned
// while the prompt can still be computed in time, never before its expected end, and never after its
// permit expires.
func TestFetchDeadlineLeavesTimeToCompute(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, c := range []struct {
		name           string
		takes, waited  time.Duration
		atLeast, limit time.Duration // from now, of the time that the fetch may take
	}{
		{"there is time to compute it", 10 * time.Millisecond, 0, 350 * time.Millisecond, objective - 100*time.Millisecond},
		{"the caller has waited", 10 * time.Millisecond, objective, 2 * 10 * time.Millisecond, 200 * time.Millisecond},
		{"it takes long", 500 * time.Millisecond, objective, 500 * time.Millisecond, 700 * time.Millisecond},
	} {
		f := newFixture(1)
		f.store.fetchTime = c.takes
		f.store.held["w1/s"], f.store.held["w1/shared"] = true, true
		j := job("s")
		j.Parts = j.Parts[1:2]
		j.Start = time.Now().Add(-c.waited)
		p := place(t, f, j)
		got := storecache.ReadPermitTTL - time.Duration(permitUntil-p.Meta.FetchUntil)*time.Millisecond
		if p.Meta.FetchFrom[0] == "" {
			t.Fatalf("%s: not fetched", c.name)
		}
		if got < c.atLeast || got > c.limit {
			t.Errorf("%s: it may take %s", c.name, got)
		}
	}
}

// A replica crashes during a fetch, which never ends: the store's owner must not wait for it. The
// replica may still be saving the parts that it was to save.
func TestClaimOfCrashedReplicasFetchIsReleased(t *testing.T) {
	f := newFixture(1)
	f.store.held["w1/shared"] = true
	p := place(t, f, job("s"))
	p.OnEnd(true)
	if want := []string{"w1/shared"}; !slices.Equal(f.store.released, want) {
		t.Errorf("released %v, want %v", f.store.released, want)
	}
	p = place(t, f, job("t"))
	f.store.released = nil
	p.OnFirstEvent()
	p.OnEnd(true)
	if len(f.store.released) > 0 {
		t.Errorf("released %v after the first token", f.store.released)
	}
}

// A store's link has become slow. Prompts waiting for it fill the replicas' memories and evict the
// prefixes that prompts share, which the daemons do not see. A part that is assumed to be resident
// usually gets a source in case it is not. Over the slow link it must not: each prompt would fetch the
// prefix over it, and none would meet its objective.
func TestResidentPartIsNotFetchedOverSlowLink(t *testing.T) {
	for _, c := range []struct {
		takes     time.Duration
		hasSource bool
	}{{20 * time.Millisecond, true}, {500 * time.Millisecond, false}} {
		f := newFixture(1)
		done(place(t, f, job("s"))) // its parts are assumed to be resident from now on
		f.store.held["w1/shared"] = true
		f.store.fetchTime = c.takes
		p := place(t, f, job("s"))
		if hasSource := p.Meta.FetchFrom[0] != ""; hasSource != c.hasSource {
			t.Errorf("%s: fetch from %q", c.takes, p.Meta.FetchFrom)
		}
	}
}
