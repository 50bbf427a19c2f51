package pick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// shared and session are the parts of a returning prompt: what all sessions of a kind
// begin with, and the session's own context.
func parts(sharedThere, sessionThere bool, fetch time.Duration) []Part {
	return []Part{
		{Tokens: 2500, Resident: sharedThere, FetchTime: fetch, ComputedBefore: true},
		{Tokens: 5000, Resident: sessionThere, FetchTime: fetch, ComputedBefore: true},
		{Tokens: 1700},
	}
}

var prompt = Request{KVTokens: 9300}

// The load: sessions of 5,000 tokens return every 14 s to replicas that hold four each.
// The replica that has the context wins, unless it has too much to do.
func TestReplicaWithTheContextWins(t *testing.T) {
	const fetch = 30 * time.Millisecond
	with := Candidate{Slots: 48, KVCapacity: 50_000, SameDomain: true, Parts: parts(true, true, fetch)}
	without := Candidate{Slots: 48, KVCapacity: 50_000, SameDomain: true, Parts: parts(true, false, fetch)}
	if n := Best(DefaultCosts, prompt, []Candidate{without, with}); n != 1 {
		t.Error("the context is fetched although a free replica has it")
	}
	busy := with
	busy.QueuedPrefill = 20_000 // 400 ms
	if n := Best(DefaultCosts, prompt, []Candidate{without, busy}); n != 0 {
		t.Error("the prompt waits for a busy replica")
	}
	full := with
	full.KVUsed = 48_000
	if n := Best(DefaultCosts, prompt, []Candidate{without, full}); n != 0 {
		t.Error("the prompt waits for memory")
	}
}

// A part after one that must be computed can't be used, wherever it lies.
func TestNothingIsUsedAfterAGap(t *testing.T) {
	p := parts(false, true, 0)
	if got := DefaultCosts.Sources(p); !slices.Equal(got, []Source{Computed, Computed, Computed}) {
		t.Errorf("got %v", got)
	}
	p[0].FetchTime = 10 * time.Millisecond
	if got := DefaultCosts.Sources(p); !slices.Equal(got, []Source{Fetched, Resident, Computed}) {
		t.Errorf("got %v", got)
	}
}

// A link with a queue brings a part later than the replica computes it.
func TestPartIsComputedWhenTheLinkIsSlower(t *testing.T) {
	p := parts(true, false, time.Second)
	if got := DefaultCosts.Sources(p); got[1] != Computed {
		t.Errorf("got %v", got)
	}
	if got := DefaultCosts.TokensToCompute(prompt, p); got != 6700 {
		t.Errorf("%d tokens to compute", got)
	}
}

// Where replicas differ in nothing else, one that fails half of its requests gets none,
// and one in the same failure domain is preferred.
func TestFailingAndFarReplicasComeLast(t *testing.T) {
	good := Candidate{Slots: 6}
	failing, near := good, good
	failing.ErrorRate = 0.5
	near.SameDomain = true
	if n := Best(DefaultCosts, Request{}, []Candidate{failing, good, near}); n != 2 {
		t.Errorf("chose %d", n)
	}
	if n := Best(DefaultCosts, Request{}, []Candidate{failing, good}); n != 1 {
		t.Errorf("chose %d", n)
	}
	if n := Best(DefaultCosts, Request{}, nil); n != -1 {
		t.Errorf("chose %d of none", n)
	}
}

// The load: 49 prompts of 9,200 tokens a second before replicas with empty caches. What
// waits holds memory and makes all others wait, so that a wait must show before a request
// is sent.
func TestWaitShowsWhatIsBefore(t *testing.T) {
	idle := Candidate{Slots: 48, KVCapacity: 50_000}
	if w := DefaultCosts.ExpectedWait(prompt, &idle); w != 0 {
		t.Errorf("waits %s at an idle replica", w)
	}
	behind := Candidate{Slots: 48, KVCapacity: 50_000, QueuedPrefill: 25_000}
	if w := DefaultCosts.ExpectedWait(prompt, &behind); w < 400*time.Millisecond {
		t.Errorf("waits %s behind 25,000 tokens", w)
	}
	full := Candidate{Slots: 48, KVCapacity: 50_000, KVUsed: 50_000}
	if w := DefaultCosts.ExpectedWait(prompt, &full); w < 500*time.Millisecond {
		t.Errorf("waits %s for memory", w)
	}
}

// The load: 72 answers of 290 tokens a second beside 43 prompts of 9,200, on replicas that
// compute a prompt in pieces with one token of each stream between two. Mixed, a stream
// pauses for as long as its replica has prompts to compute. Apart, long answers take about
// a third of 18 replicas.
func TestLongAnswersAreSetApart(t *testing.T) {
	const memory = 50_000
	if n := LongOutputReplicas(18, 135*1100, memory); n < 5 || n > 8 {
		t.Errorf("%d of 18 replicas", n)
	}
	if n := LongOutputReplicas(18, 0, memory); n > 4 {
		t.Errorf("%d of 18 replicas for no long answers", n)
	}
	if n := LongOutputReplicas(18, 10_000_000, memory); n > 12 {
		t.Errorf("%d of 18 replicas, which leaves too few for prompts", n)
	}
	if n := LongOutputReplicas(3, 0, 0); n != 0 {
		t.Errorf("%d replicas of unknown memory", n)
	}
	apart := Candidate{Slots: 48, KVCapacity: memory, ReservedForLongOutput: true}
	other := Candidate{Slots: 48, KVCapacity: memory}
	heavy, long := Request{KVTokens: 9000, TailTokens: 7000}, Request{KVTokens: 1100, TailTokens: 800, LongOutput: true}
	if Best(DefaultCosts, heavy, []Candidate{apart, other}) != 1 || Best(DefaultCosts, long, []Candidate{other, apart}) != 1 {
		t.Error("heavy prompts and long answers are mixed")
	}
	light := Request{KVTokens: 900, TailTokens: 800}
	apart.SameDomain = true
	if Best(DefaultCosts, light, []Candidate{other, apart}) != 1 {
		t.Error("a light prompt is kept from a near replica")
	}
	full := apart
	full.KVUsed = memory
	if Best(DefaultCosts, long, []Candidate{other, full}) != 0 {
		t.Error("a long answer waits for its own replicas while others are free")
	}
}

// The load: nine daemons place a hundred prompts a second on 17 replicas, and know of each
// other's 60 ms late. Prompts have 2,500 to 10,500 tokens, of which a replica computes 50 in a
// ms, and streams run beside them, so that one replica looks best to all. Were each daemon to
// take that one, the last of some would wait for all others.
func TestDaemonsDoNotCrowdOneReplica(t *testing.T) {
	whole, sampled := crowd(Best), crowd(BestSampled)
	t.Logf("wait before the first words, 95th percentile: best of all %s, of a sample %s", whole, sampled)
	if sampled > 3*whole/4 {
		t.Errorf("best of all %s, of a sample %s", whole, sampled)
	}
}

// crowd plays the load and returns the 95th percentile of how long prompts wait for those
// before them.
func crowd(choose func(Costs, Request, []Candidate) int) time.Duration {
	const (
		daemons, replicas = 9, 17
		every             = 10 * time.Millisecond // between two prompts of all daemons
		late              = 60 * time.Millisecond
		perToken          = time.Millisecond / 50
		leastTokens       = 2500
		moreTokens        = 8000
		prompts           = 10_000
		remembered        = 500
	)
	random := rand.New(rand.NewPCG(1, 2))
	type sent struct {
		at, done        time.Duration
		daemon, replica int
		tokens          int
	}
	var all []sent
	free := make([]time.Duration, replicas) // when each has computed all it was given
	var waits []time.Duration
	for n := range prompts {
		now, daemon := time.Duration(n)*every, random.IntN(daemons)
		known := make([]int, replicas)
		for _, s := range all {
			if s.done > now && (s.daemon == daemon || now-s.at >= late) {
				known[s.replica] += s.tokens
			}
		}
		order := random.Perm(replicas)
		candidates := make([]Candidate, replicas)
		for i, r := range order {
			streams := (r + n/50) % 10 // they come and go, and all daemons know of them
			candidates[i] = Candidate{Slots: 12, Running: streams, QueuedPrefill: known[r], SameDomain: true}
		}
		r := order[choose(DefaultCosts, Request{TailTokens: leastTokens}, candidates)]
		tokens := leastTokens + random.IntN(moreTokens)
		waits = append(waits, max(0, free[r]-now))
		free[r] = max(free[r], now) + time.Duration(tokens)*perToken
		all = append(all, sent{at: now, done: free[r], daemon: daemon, replica: r, tokens: tokens})
		if len(all) > remembered {
			all = all[len(all)-remembered:]
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

// The load: a session returns to 18 replicas, one of which holds its context. It is found
// although it is not among those drawn.
func TestReplicaWithTheContextIsAlwaysLookedAt(t *testing.T) {
	candidates := make([]Candidate, 18)
	for i := range candidates {
		candidates[i] = Candidate{Slots: 48, KVCapacity: 50_000, SameDomain: true, Parts: parts(true, i == 17, 30*time.Millisecond)}
	}
	if n := BestSampled(DefaultCosts, prompt, candidates); n != 17 {
		t.Errorf("placed on %d", n)
	}
}

// The load: contexts of 8,600 tokens that return after 8 s to replicas with 118,000 tokens of
// memory, which have dropped most of them, before stores whose links are busy in bursts. A
// replica computes such a context in 170 ms, in which all that run beside it are slower. It
// is fetched although that takes longer than computing it, up to some hundred ms more.
func TestContextIsFetchedThoughComputingIsSooner(t *testing.T) {
	context := func(fetch time.Duration) []Part {
		return []Part{{Tokens: 500, Resident: true}, {Tokens: 8600, FetchTime: fetch, ComputedBefore: true}, {Tokens: 2900}}
	}
	if got := DefaultCosts.Sources(context(800 * time.Millisecond)); got[1] != Fetched {
		t.Errorf("got %v", got)
	}
	if got := DefaultCosts.Sources(context(1500 * time.Millisecond)); got[1] != Computed {
		t.Errorf("waits 1.5 s for what takes 0.17 s: %v", got)
	}
}

// The load: contexts in stores of one failure domain, whose links are nine tenths full, before
// replicas in five. A fetch to another domain takes the link for twice as long. The prompt goes
// to a replica near the store, also where none is among those drawn, until that one has more to
// do than what it spares those behind it.
func TestReplicaNearTheStoreIsTaken(t *testing.T) {
	const near, transfer = 17, 30 * time.Millisecond
	candidates := make([]Candidate, 18)
	for i := range candidates {
		link := 2 * transfer
		if i == near {
			link = transfer
		}
		candidates[i] = Candidate{Slots: 48, KVCapacity: 50_000, SameDomain: i != near, Parts: []Part{
			{Tokens: 2500, Resident: true}, {Tokens: 5000, FetchTime: link, LinkTime: link, ComputedBefore: true},
		}}
	}
	if n := BestSampled(DefaultCosts, prompt, candidates); n != near {
		t.Errorf("placed on %d", n)
	}
	candidates[near].QueuedPrefill = 10_000
	if n := BestSampled(DefaultCosts, prompt, candidates); n == near {
		t.Error("waits 200 ms to spare the link 30")
	}
}
