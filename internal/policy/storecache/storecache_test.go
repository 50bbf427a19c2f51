package storecache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func ask(id string, n int) PartRequest { return PartRequest{Key: Key{"w1", id}, Tokens: n, Weights: 1} }

// open returns a room that has been kept for long enough to save and free.
func open(tokens int) *Cache {
	return New(at(-10_000), Params{CapacityTokens: tokens, TokensPerSec: 100_000, FirstByte: time.Millisecond})
}

func tellOverdue(r *Cache, now time.Time, claim int64) {
	r.OnFetched(now, FetchResult{Claim: claim, Took: time.Second, Overdue: true})
}

func save(t *testing.T, r *Cache, now time.Time, a PartRequest) {
	t.Helper()
	if got := r.Decide(now, a); !got.Save {
		t.Fatalf("%s is not to be saved: %+v", a.ID, got)
	}
	r.OnStored(now, a.Key, a.Tokens, a.Weights)
}

// A prompt runs on half a part: one request saves it while another is told to fetch it.
// Until the store says that it is whole nobody may fetch it, nor save it a second time.
func TestPartIsFetchedOnlyWhenWhole(t *testing.T) {
	r := open(1000)
	if got := r.Decide(at(0), ask("a", 100)); !got.Save || got.Fetch {
		t.Fatalf("first: %+v", got)
	}
	if got := r.Decide(at(10), ask("a", 100)); got.Save || got.Fetch {
		t.Fatalf("while it is written: %+v", got)
	}
	r.OnStored(at(50), Key{"w1", "a"}, 100, 1)
	if got := r.Decide(at(60), ask("a", 100)); !got.Fetch || got.Save {
		t.Fatalf("when whole: %+v", got)
	}
}

// A request is told to fetch a part, waits at its replica, and fetches it while the store
// frees it. No part is freed before all leave for it has ended.
func TestPartIsNotFreedWhileLeaveLasts(t *testing.T) {
	r := open(1000)
	for i := range 8 {
		save(t, r, at(i), ask(fmt.Sprint(i), 100))
	}
	later := at(0).Add(keepFor + 10*time.Second)
	if got := r.Decide(later, ask("0", 100)); !got.Fetch {
		t.Fatalf("got %+v", got)
	}
	for _, id := range []string{"x", "y"} { // more than fullAt of the room
		r.OnStored(later, Key{"w1", id}, 100, 1)
	}
	keys := r.StartFreeing(later.Add(ReadPermitTTL))
	if len(keys) == 0 {
		t.Error("nothing is freed although the store is full")
	}
	for _, key := range keys {
		if key.ID == "0" {
			t.Error("freed while a replica may fetch it")
		}
		r.OnRemoved(key)
	}
	if keys := r.StartFreeing(later.Add(ReadPermitTTL)); len(keys) != 0 {
		t.Errorf("freed %v although there is room", keys)
	}
}

// A store restarts empty within the life of a leave. The part is saved again while a
// request still holds leave from before, and fetches a part that is being written.
func TestNothingIsSavedWhileLeaveFromBeforeARestartLasts(t *testing.T) {
	r := open(1000)
	save(t, r, at(0), ask("a", 100))
	if got := r.Decide(at(10), ask("a", 100)); !got.Fetch {
		t.Fatalf("got %+v", got)
	}
	r.Reset(at(100))
	if got := r.Decide(at(200), ask("a", 100)); got.Save || got.Reason != ReasonUnconfirmed {
		t.Errorf("just after: %+v", got)
	}
	if got := r.Decide(at(10).Add(ReadPermitTTL+leaveSlack+time.Millisecond), ask("a", 100)); !got.Save {
		t.Errorf("later: %+v", got)
	}
}

// A daemon takes a store over. What the one before allowed is not known: nothing is saved
// or freed until that has ended.
func TestNewKeeperWaitsForLeaveOfTheOneBefore(t *testing.T) {
	r := New(at(0), Params{CapacityTokens: 100, TokensPerSec: 1000})
	r.OnList(at(1), []PartRequest{ask("old", 96)}, nil)
	if got := r.Decide(at(1000), ask("b", 16)); got.Save {
		t.Error("saved at once")
	}
	r.newest = 2
	if keys := r.StartFreeing(at(1000)); len(keys) > 0 {
		t.Errorf("freed %v at once", keys)
	}
	if keys := r.StartFreeing(at(3000)); len(keys) != 1 {
		t.Errorf("freed %v later", keys)
	}
}

// A prompt's last part is mostly the request's own. Saving each of them filled the links
// of the stores and left no room for what returns.
func TestLastPartIsSavedWhenItReturns(t *testing.T) {
	r := open(1000)
	own := ask("own", 100)
	own.Last = true
	if got := r.Decide(at(0), own); got.Save || got.Reason != ReasonFirstRequest {
		t.Errorf("first: %+v", got)
	}
	if got := r.Decide(at(3000), own); !got.Save {
		t.Errorf("when it returns: %+v", got)
	}
}

// A link turns four times slower. Told so by late first tokens, the room gives leave only
// for what the link still carries, and trusts it again after a quiet second.
func TestSlowLinkIsUsedLess(t *testing.T) {
	r := open(10_000)
	save(t, r, at(0), ask("a", 1000)) // 10 ms at full speed
	takes := r.Decide(at(1000), ask("a", 1000)).FetchTime
	for i := range 2 {
		tellOverdue(r, at(2000+400*i), r.Decide(at(1900+400*i), ask("a", 1000)).Claim)
	}
	if got := r.Decide(at(2800), ask("a", 1000)).FetchTime; got < 3*takes {
		t.Errorf("takes %s, %s before", got, takes)
	}
	refused := 0
	for range 20 {
		if got := r.Decide(at(2801), ask("a", 1000)); got.Reason == ReasonQueue {
			refused++
		}
	}
	if refused == 0 {
		t.Error("a queue of twenty slow fetches was allowed")
	}
	r.Decide(at(20_000), ask("a", 1000))
	if s := r.Slowness(); s != 1 {
		t.Errorf("slowness %g after a quiet time", s)
	}
}

// Parts of weights that were replaced make room for those of the new ones.
func TestPartsOfOlderWeightsGoFirst(t *testing.T) {
	r := open(1120)
	for i := range 8 {
		save(t, r, at(i), ask(fmt.Sprint(i), 100))
	}
	r.OnStored(at(9), Key{"w1", "8"}, 100, 1) // more than fullAt with the next one
	young := PartRequest{Key: Key{"w2", "x"}, Tokens: 96, Weights: 2}
	if got := r.Decide(at(3000), young); got.Full || !got.Save {
		t.Fatalf("got %+v", got)
	}
	if keys := r.StartFreeing(at(3500)); len(keys) == 0 || keys[0].Salt != "w1" {
		t.Errorf("freed %v", keys)
	}
}

// Whatever comes in whatever order, the store is never told to free a part that some
// replica may fetch, and never to write one that it may be fetched from, or that is being
// written. Claims are given back late, twice, and after the store has restarted.
func TestLeaveIsNeverBroken(t *testing.T) {
	// Restarts are seldom, so that the room fills and must be freed.
	steps := []string{"restart", "list", "list", "late removal", "late removal"}
	for range 30 {
		steps = append(steps, "ask", "ask", "ask", "ask", "stored", "free", "release", "fetched")
	}
	rapid.Check(t, func(rt *rapid.T) {
		r := open(2000)
		now := at(0)
		leave := map[Key]time.Time{}
		present := map[Key]bool{} // in the store, whole
		writing := map[Key]int{}
		writer := map[Key]int64{} // the claim under which a part is written
		type claim struct {
			key Key
			id  int64
		}
		var claims []claim
		for range rapid.IntRange(100, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 5, 20, 20, 100, 100, 2000}).Draw(rt, "ms")) * time.Millisecond)
			key := Key{fmt.Sprint("w", rapid.IntRange(1, 3).Draw(rt, "weights")), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id"))}
			a := PartRequest{Key: key, Tokens: 160, Weights: uint64(key.Salt[1] - '0'), Last: rapid.IntRange(0, 9).Draw(rt, "last") == 0}
			switch steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")] {
			case "ask":
				got := r.Decide(now, a)
				if got.Fetch {
					if !present[key] {
						rt.Fatalf("leave to fetch %v, which is not there", key)
					}
					leave[key] = now.Add(ReadPermitTTL)
				}
				if got.Save {
					if leave[key].After(now) {
						rt.Fatalf("%v is written while it may be fetched", key)
					}
					if writing[key] > 0 {
						rt.Fatalf("%v is written twice at once", key)
					}
					writing[key], writer[key] = a.Tokens, got.Claim
				}
				if got.Claim != 0 {
					claims = append(claims, claim{key, got.Claim})
				}
			case "release":
				if len(claims) == 0 {
					continue
				}
				c := rapid.SampledFrom(claims).Draw(rt, "claim")
				if writer[c.key] == c.id {
					delete(writing, c.key) // what is given back is not written
				}
				r.Release(now, c.key, c.id)
			case "fetched":
				if len(claims) == 0 {
					continue
				}
				r.OnFetched(now, FetchResult{
					Claim: rapid.SampledFrom(claims).Draw(rt, "claim").id, Took: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "took")) * time.Millisecond,
					Overdue: rapid.Bool().Draw(rt, "overdue"), Busy: rapid.Bool().Draw(rt, "busy"),
				})
			case "stored":
				for k, tokens := range writing {
					present[k] = true
					r.OnStored(now, k, tokens, uint64(k.Salt[1]-'0'))
				}
				clear(writing)
			case "free":
				for _, k := range r.StartFreeing(now) {
					if leave[k].After(now) {
						rt.Fatalf("%v is freed while it may be fetched", k)
					}
					delete(present, k)
					delete(writing, k)
					if rapid.Bool().Draw(rt, "sure") {
						r.OnRemoved(k)
					} else {
						r.OnFreeFailed(now, []Key{k})
					}
				}
			case "restart":
				clear(present)
				clear(writing)
				r.Reset(now)
			case "list":
				var whole, partial []PartRequest
				for k := range present {
					whole = append(whole, PartRequest{Key: k, Tokens: 160, Weights: uint64(k.Salt[1] - '0')})
				}
				for k := range writing {
					partial = append(partial, PartRequest{Key: k, Tokens: 160, Weights: uint64(k.Salt[1] - '0')})
				}
				r.OnList(now, whole, partial)
			case "late removal":
				if !present[key] {
					r.OnRemoved(key)
				}
			}
		}
	})
}

// The key-value service is down, so the keeper's lease ran out and nobody can take the store.
// Prompts go on fetching what was whole; computing all of them would make all late. Nothing
// is written, and the next keeper frees nothing while a replica may still fetch.
func TestKeeperWithoutLeaseReadsOn(t *testing.T) {
	old := open(1000)
	save(t, old, at(0), ask("a", 100))
	lapsed := ask("a", 100)
	lapsed.ReadOnly = true
	if got := old.Decide(at(100), lapsed); !got.Fetch {
		t.Errorf("what is whole: %+v", got)
	}
	unknown := ask("b", 100)
	unknown.ReadOnly = true
	if got := old.Decide(at(100), unknown); got.Save || got.Fetch {
		t.Errorf("what is not there: %+v", got)
	}

	taken := at(0).Add(keepFor + time.Second)
	next := New(taken, Params{CapacityTokens: 1000, TokensPerSec: 100_000, PreviousLeaseExpired: true})
	var whole []PartRequest
	for i := range 10 {
		whole = append(whole, ask(fmt.Sprint(i), 100))
	}
	next.OnList(taken.Add(-keepFor), whole, nil) // all of it unused for long, and the store is full
	last := taken.Add(ReadOnlyGrace + ReadPermitTTL)
	if keys := next.StartFreeing(last); len(keys) > 0 {
		t.Errorf("%d parts are freed while the keeper before may have given leave for them", len(keys))
	}
	if keys := next.StartFreeing(last.Add(leaveSlack)); len(keys) == 0 {
		t.Error("nothing is freed although the store is full")
	}
}

// A store crashes just after its keeper lost its lease, which goes on giving leave until it
// notices. The next keeper knows that the store is empty: a part that is written at once
// could be fetched half.
func TestNothingIsWrittenWhileAnotherKeeperMayNotKnowOfACrash(t *testing.T) {
	r := New(at(0), Params{CapacityTokens: 1000, TokensPerSec: 100_000, PreviousLeaseExpired: true})
	crash := at(3000)
	r.Reset(crash)
	if got := r.Decide(crash.Add(readerLag+ReadPermitTTL), ask("a", 100)); got.Save {
		t.Errorf("got %+v", got)
	}
	if got := r.Decide(crash.Add(readerLag+ReadPermitTTL+leaveSlack), ask("a", 100)); !got.Save {
		t.Errorf("got %+v", got)
	}
}

// The load: sessions of 5,000 tokens come to a store whose link brings 181 tokens a ms, half
// of them for the first time, somewhat faster than the link can bring and take them all.
// What was kept must still be fetched; saving all that is new makes both wait.
func TestSavesGiveWayToFetches(t *testing.T) {
	const sessions, tokens = 400, 5000
	r := New(at(-10_000), Params{CapacityTokens: 2 * sessions * tokens, TokensPerSec: 181_000})
	for i := range sessions {
		r.OnStored(at(-5000), Key{"w1", fmt.Sprint("old", i)}, tokens, 1)
	}
	fetched, saved := 0, 0
	for i := range sessions {
		now := at(60 * i) // 83 tokens a ms to fetch, and as many to save
		if r.Decide(now, ask(fmt.Sprint("old", i), tokens)).Fetch {
			fetched++
		}
		if r.Decide(now, ask(fmt.Sprint("new", i), tokens)).Save {
			saved++
		}
	}
	t.Logf("of %d: fetched %d, saved %d", sessions, fetched, saved)
	if fetched < sessions*95/100 || saved < sessions/3 {
		t.Errorf("of %d: fetched %d, saved %d", sessions, fetched, saved)
	}
}

// A prompt on old weights is put back just as its replica takes new ones, is read again and
// saved under the name of the old ones. A request on a replica that still has the old weights
// must not run on what the new ones made.
func TestPartThatBecomesWholeUnderNewerWeightsIsNotGivenOut(t *testing.T) {
	r := open(1000)
	save(t, r, at(0), ask("before", 96))
	r.Decide(at(10), ask("during", 96))
	newer := PartRequest{Key: Key{"w2", "x"}, Tokens: 16, Weights: 2}
	r.Decide(at(20), newer)
	r.OnStored(at(30), Key{"w1", "during"}, 96, 1)
	r.OnStored(at(30), Key{"w1", "unheard of"}, 96, 1)
	r.OnStored(at(30), newer.Key, 16, 2)
	for id, fetch := range map[string]bool{"before": true, "during": false, "unheard of": false} {
		if got := r.Decide(at(40), ask(id, 96)); got.Fetch != fetch {
			t.Errorf("%s: %+v", id, got)
		}
	}
	if got := r.Decide(at(40), newer); !got.Fetch {
		t.Errorf("of the newest weights: %+v", got)
	}
}

// A replica with much to do answers late, and its daemon takes the store's link for slow. One
// such complaint refused all fetches for a quarter of a second: parts of 130 tokens that take
// a ms were computed again by everybody.
func TestOneComplaintRefusesNoFetch(t *testing.T) {
	r := open(10_000)
	save(t, r, at(0), ask("a", 1000))
	tellOverdue(r, at(2000), r.Decide(at(1900), ask("a", 1000)).Claim)
	if got := r.Decide(at(2001), ask("a", 1000)); !got.Fetch || got.FetchTime > 100*time.Millisecond {
		t.Errorf("got %+v", got)
	}
}

// While weights are rolled out a prompt's parts are asked for under the new weights, and then
// its replica turns out to be on the old ones: the save that was allowed is made by nobody.
// All prompts with that part were computed for the eight seconds in which it counted as being
// written. Given back, the next one that asks may save it at once.
func TestSaveThatNobodyMakesIsGivenBack(t *testing.T) {
	r := open(1000)
	first := r.Decide(at(0), ask("a", 100))
	if !first.Save || first.Claim == 0 {
		t.Fatalf("first: %+v", first)
	}
	if queue := r.QueueTime(at(0)); queue == 0 {
		t.Fatal("a save takes no time of the link")
	}
	r.Release(at(10), Key{"w1", "a"}, first.Claim)
	if r.UsedTokens() != 0 || r.QueueTime(at(10)) != 0 {
		t.Errorf("%d tokens are taken, and the queue is %s", r.UsedTokens(), r.QueueTime(at(10)))
	}
	second := r.Decide(at(20), ask("a", 100))
	if !second.Save {
		t.Fatalf("second: %+v", second)
	}
	r.Release(at(30), Key{"w1", "a"}, first.Claim)
	if got := r.Decide(at(40), ask("a", 100)); got.Save {
		t.Error("the claim of the first request gave back the save of the second")
	}
}

// A part that broke off, or that could not be freed for sure, may be written still. Nobody who
// asked for it before can make it free to be saved.
func TestPartThatMayBeWrittenIsNotGivenBack(t *testing.T) {
	r := open(1000)
	r.OnList(at(0), nil, []PartRequest{ask("partial", 100)})
	claim := r.Decide(at(0), ask("kept", 100)).Claim
	r.OnStored(at(10), Key{"w1", "kept"}, 100, 1)
	r.OnFreeFailed(at(20), []Key{{"w1", "kept"}})
	r.Release(at(30), Key{"w1", "partial"}, claim)
	r.Release(at(30), Key{"w1", "kept"}, claim)
	for _, id := range []string{"partial", "kept"} {
		if got := r.Decide(at(40), ask(id, 100)); got.Save || got.Fetch {
			t.Errorf("%s: %+v", id, got)
		}
	}
}

// A prompt is sooner computed than fetched, or its caller is refused. The link is as free as
// if nobody had asked, so that the next one is not told of a queue that is not there.
func TestFetchThatNobodyMakesLeavesTheLinkFree(t *testing.T) {
	r := open(10_000)
	save(t, r, at(0), ask("a", 5000))
	idle := at(0).Add(r.QueueTime(at(0)))
	got := r.Decide(idle, ask("a", 5000))
	if !got.Fetch {
		t.Fatalf("got %+v", got)
	}
	r.Release(idle, Key{"w1", "a"}, got.Claim)
	if queue := r.QueueTime(idle); queue != 0 {
		t.Errorf("the queue is %s", queue)
	}
	if got := r.StartFreeing(idle.Add(ReadPermitTTL)); len(got) > 0 {
		t.Errorf("%v is freed while leave for it lasts", got)
	}
}

// Weights are rolled out, and half of the replicas still answer on the old ones. What they save
// is whole when newer weights are known, so that nobody is given it: it took a third of the
// links' time, and room, from what the new weights had to save.
func TestPartsOfReplacedWeightsAreNotSaved(t *testing.T) {
	r := open(1000)
	r.Decide(at(0), PartRequest{Key: Key{"w2", "x"}, Tokens: 100, Weights: 2})
	queue := r.QueueTime(at(10))
	if got := r.Decide(at(10), ask("a", 100)); got.Save || got.Reason != ReasonOldWeights {
		t.Errorf("got %+v", got)
	}
	if got := r.QueueTime(at(10)); got != queue {
		t.Errorf("the queue grew from %s to %s", queue, got)
	}
}
