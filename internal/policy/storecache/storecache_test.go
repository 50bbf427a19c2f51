package storecache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // uses the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func req(id string, n int) PartRequest { return PartRequest{Key: Key{"w1", id}, Tokens: n, Version: 1} }

// newReadyCache returns a cache owned for long enough to save and free parts.
func newReadyCache(tokens int) *Cache {
	return New(at(-10_000), Params{CapacityTokens: tokens, TokensPerSec: 100_000, FirstByte: time.Millisecond})
}

func reportOverdue(c *Cache, now time.Time, claim int64) {
	c.OnFetched(now, FetchResult{Claim: claim, Took: time.Second, Overdue: true})
}

func save(t *testing.T, c *Cache, now time.Time, a PartRequest) {
	t.Helper()
	if got := c.Decide(now, a); !got.Save {
		t.Fatalf("%s may not be saved: %+v", a.ID, got)
	}
	c.OnStored(now, a.Key, a.Tokens, a.Version)
}

// One request saves a part while another is told to fetch it, and the second prompt runs on
// half a part. Until the store reports the part as complete it may neither be fetched nor saved
// a second time.
func TestPartIsFetchedOnlyWhenComplete(t *testing.T) {
	c := newReadyCache(1000)
	if got := c.Decide(at(0), req("a", 100)); !got.Save || got.Fetch {
		t.Fatalf("first request: %+v", got)
	}
	if got := c.Decide(at(10), req("a", 100)); got.Save || got.Fetch {
		t.Fatalf("while the part is written: %+v", got)
	}
	c.OnStored(at(50), Key{"w1", "a"}, 100, 1)
	if got := c.Decide(at(60), req("a", 100)); !got.Fetch || got.Save {
		t.Fatalf("when the part is complete: %+v", got)
	}
}

// A request is told to fetch a part and waits at its replica while the store frees the part.
// No part may be freed before all permits for it have expired.
func TestPartIsNotFreedWhilePermitIsValid(t *testing.T) {
	c := newReadyCache(1000)
	for i := range 8 {
		save(t, c, at(i), req(fmt.Sprint(i), 100))
	}
	later := at(0).Add(minRetention + 10*time.Second)
	if got := c.Decide(later, req("0", 100)); !got.Fetch {
		t.Fatalf("got %+v", got)
	}
	for _, id := range []string{"x", "y"} { // exceeds highWatermark
		c.OnStored(later, Key{"w1", id}, 100, 1)
	}
	keys := c.StartFreeing(later.Add(ReadPermitTTL))
	if len(keys) == 0 {
		t.Error("no part is freed although the store is full")
	}
	for _, key := range keys {
		if key.ID == "0" {
			t.Error("a part is freed while a replica may fetch it")
		}
		c.OnRemoved(key)
	}
	if keys := c.StartFreeing(later.Add(ReadPermitTTL)); len(keys) != 0 {
		t.Errorf("freed %v although there is space", keys)
	}
}

// A store restarts empty during the lifetime of a permit. The part is saved again while a
// request still holds the earlier permit and fetches the part half written.
func TestNoSaveWhilePermitFromBeforeRestartIsValid(t *testing.T) {
	c := newReadyCache(1000)
	save(t, c, at(0), req("a", 100))
	if got := c.Decide(at(10), req("a", 100)); !got.Fetch {
		t.Fatalf("got %+v", got)
	}
	c.Reset(at(100))
	if got := c.Decide(at(200), req("a", 100)); got.Save || got.Reason != ReasonUnconfirmed {
		t.Errorf("just after the restart: %+v", got)
	}
	if got := c.Decide(at(10).Add(ReadPermitTTL+permitSlack+time.Millisecond), req("a", 100)); !got.Save {
		t.Errorf("after the permit expired: %+v", got)
	}
}

// A daemon takes over a store. The permits of the previous owner are not known, so nothing is
// saved or freed until they have expired.
func TestNewOwnerWaitsForPermitsOfPreviousOwner(t *testing.T) {
	c := New(at(0), Params{CapacityTokens: 100, TokensPerSec: 1000})
	c.OnList(at(1), []PartRequest{req("old", 96)}, nil)
	if got := c.Decide(at(1000), req("b", 16)); got.Save {
		t.Error("a part is saved at once")
	}
	c.newestWeightsVersion = 2
	if keys := c.StartFreeing(at(1000)); len(keys) > 0 {
		t.Errorf("freed %v at once, want none", keys)
	}
	if keys := c.StartFreeing(at(3000)); len(keys) != 1 {
		t.Errorf("freed %v after the permits expired, want one part", keys)
	}
}

// The last part of a prompt is mostly unique to the request. Saving each of them saturated the
// stores' links and left no space for parts that are used again.
func TestLastPartIsSavedOnSecondRequest(t *testing.T) {
	c := newReadyCache(1000)
	last := req("own", 100)
	last.Last = true
	if got := c.Decide(at(0), last); got.Save || got.Reason != ReasonFirstRequest {
		t.Errorf("first request: %+v", got)
	}
	if got := c.Decide(at(3000), last); !got.Save {
		t.Errorf("second request: %+v", got)
	}
}

// A link becomes four times slower. Late first tokens report it; permits are then granted only
// for what the link can still transfer. After a second without reports the link is trusted again.
func TestSlowLinkIsUsedLess(t *testing.T) {
	c := newReadyCache(10_000)
	save(t, c, at(0), req("a", 1000)) // 10 ms at full speed
	takes := c.Decide(at(1000), req("a", 1000)).FetchTime
	for i := range 2 {
		reportOverdue(c, at(2000+400*i), c.Decide(at(1900+400*i), req("a", 1000)).Claim)
	}
	if got := c.Decide(at(2800), req("a", 1000)).FetchTime; got < 3*takes {
		t.Errorf("the fetch takes %s, before it took %s", got, takes)
	}
	refused := 0
	for range 20 {
		if got := c.Decide(at(2801), req("a", 1000)); got.Reason == ReasonQueue {
			refused++
		}
	}
	if refused == 0 {
		t.Error("a queue of twenty slow fetches was permitted")
	}
	c.Decide(at(20_000), req("a", 1000))
	if s := c.Slowness(); s != 1 {
		t.Errorf("slowness %g after a time without reports", s)
	}
}

// Parts of replaced weights are freed to make space for parts of the new ones.
func TestPartsOfOlderWeightsAreFreedFirst(t *testing.T) {
	c := newReadyCache(1120)
	for i := range 8 {
		save(t, c, at(i), req(fmt.Sprint(i), 100))
	}
	c.OnStored(at(9), Key{"w1", "8"}, 100, 1) // exceeds highWatermark with the next part
	newer := PartRequest{Key: Key{"w2", "x"}, Tokens: 96, Version: 2}
	if got := c.Decide(at(3000), newer); got.Full || !got.Save {
		t.Fatalf("part of the newer weights: %+v", got)
	}
	if keys := c.StartFreeing(at(3500)); len(keys) == 0 || keys[0].Salt != "w1" {
		t.Errorf("freed %v, want parts of the older weights first", keys)
	}
}

// For any order of events the store is never asked to free a part that a replica may fetch, and
// never to write a part that may be fetched or is being written. Claims are released late,
// twice and after the store has restarted.
func TestPermitsAreNeverViolated(t *testing.T) {
	// Restarts are rare, so that the store fills up and parts must be freed.
	steps := []string{"restart", "list", "list", "late removal", "late removal"}
	for range 30 {
		steps = append(steps, "ask", "ask", "ask", "ask", "stored", "free", "release", "fetched")
	}
	rapid.Check(t, func(rt *rapid.T) {
		c := newReadyCache(2000)
		now := at(0)
		permitUntil := map[Key]time.Time{}
		stored := map[Key]bool{} // complete in the store
		writing := map[Key]int{}
		writer := map[Key]int64{} // claim under which a part is written
		type claim struct {
			key Key
			id  int64
		}
		var claims []claim
		for range rapid.IntRange(100, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 5, 20, 20, 100, 100, 2000}).Draw(rt, "ms")) * time.Millisecond)
			key := Key{fmt.Sprint("w", rapid.IntRange(1, 3).Draw(rt, "weights")), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id"))}
			a := PartRequest{Key: key, Tokens: 160, Version: uint64(key.Salt[1] - '0'), Last: rapid.IntRange(0, 9).Draw(rt, "last") == 0}
			switch steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")] {
			case "ask":
				got := c.Decide(now, a)
				if got.Fetch {
					if !stored[key] {
						rt.Fatalf("permit to fetch %v, which is not stored", key)
					}
					permitUntil[key] = now.Add(ReadPermitTTL)
				}
				if got.Save {
					if permitUntil[key].After(now) {
						rt.Fatalf("%v is written while a permit for it is valid", key)
					}
					if writing[key] > 0 {
						rt.Fatalf("%v is written twice concurrently", key)
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
				given := rapid.SampledFrom(claims).Draw(rt, "claim")
				if writer[given.key] == given.id {
					delete(writing, given.key) // a released save is not written
				}
				c.Release(now, given.key, given.id)
			case "fetched":
				if len(claims) == 0 {
					continue
				}
				c.OnFetched(now, FetchResult{
					Claim: rapid.SampledFrom(claims).Draw(rt, "claim").id, Took: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "took")) * time.Millisecond,
					Overdue: rapid.Bool().Draw(rt, "overdue"), Busy: rapid.Bool().Draw(rt, "busy"),
				})
			case "stored":
				for k, tokens := range writing {
					stored[k] = true
					c.OnStored(now, k, tokens, uint64(k.Salt[1]-'0'))
				}
				clear(writing)
			case "free":
				for _, k := range c.StartFreeing(now) {
					if permitUntil[k].After(now) {
						rt.Fatalf("%v is freed while a permit for it is valid", k)
					}
					delete(stored, k)
					delete(writing, k)
					if rapid.Bool().Draw(rt, "sure") {
						c.OnRemoved(k)
					} else {
						c.OnFreeFailed(now, []Key{k})
					}
				}
			case "restart":
				clear(stored)
				clear(writing)
				c.Reset(now)
			case "list":
				var complete, partial []PartRequest
				for k := range stored {
					complete = append(complete, PartRequest{Key: k, Tokens: 160, Version: uint64(k.Salt[1] - '0')})
				}
				for k := range writing {
					partial = append(partial, PartRequest{Key: k, Tokens: 160, Version: uint64(k.Salt[1] - '0')})
				}
				c.OnList(now, complete, partial)
			case "late removal":
				if !stored[key] {
					c.OnRemoved(key)
				}
			}
		}
	})
}

// The key-value service is down, so the owner's lease expires and no daemon can acquire it.
// Prompts must still fetch complete parts; computing all of them would make all prompts late.
// Nothing is written, and the next owner frees nothing while a replica may still fetch.
func TestOwnerWithExpiredLeaseGrantsReads(t *testing.T) {
	prev := newReadyCache(1000)
	save(t, prev, at(0), req("a", 100))
	readOnly := req("a", 100)
	readOnly.ReadOnly = true
	if got := prev.Decide(at(100), readOnly); !got.Fetch {
		t.Errorf("a complete part: %+v", got)
	}
	unknown := req("b", 100)
	unknown.ReadOnly = true
	if got := prev.Decide(at(100), unknown); got.Save || got.Fetch {
		t.Errorf("a part that is not stored: %+v", got)
	}

	takeoverAt := at(0).Add(minRetention + time.Second)
	next := New(takeoverAt, Params{CapacityTokens: 1000, TokensPerSec: 100_000, PreviousLeaseExpired: true})
	var complete []PartRequest
	for i := range 10 {
		complete = append(complete, req(fmt.Sprint(i), 100))
	}
	next.OnList(takeoverAt.Add(-minRetention), complete, nil) // all parts are long unused, and the store is full
	lastPermitEnd := takeoverAt.Add(ReadOnlyGrace + ReadPermitTTL)
	if keys := next.StartFreeing(lastPermitEnd); len(keys) > 0 {
		t.Errorf("%d parts are freed while permits of the previous owner may be valid", len(keys))
	}
	if keys := next.StartFreeing(lastPermitEnd.Add(permitSlack)); len(keys) == 0 {
		t.Error("no part is freed although the store is full")
	}
}

// A store crashes just after its owner lost its lease. The previous owner grants permits until
// it notices the crash, while the next owner knows that the store is empty. A part that is
// written at once could be fetched half written.
func TestNoSaveWhilePreviousOwnerMayNotKnowOfCrash(t *testing.T) {
	c := New(at(0), Params{CapacityTokens: 1000, TokensPerSec: 100_000, PreviousLeaseExpired: true})
	crash := at(3000)
	c.Reset(crash)
	if got := c.Decide(crash.Add(restartNoticeDelay+ReadPermitTTL), req("a", 100)); got.Save {
		t.Errorf("while the previous owner may not know: %+v", got)
	}
	if got := c.Decide(crash.Add(restartNoticeDelay+ReadPermitTTL+permitSlack), req("a", 100)); !got.Save {
		t.Errorf("after the permits expired: %+v", got)
	}
}

// Sessions of 5,000 tokens arrive at a store whose link transfers 181 tokens per ms. Half of
// them are new, and the load slightly exceeds what the link can fetch and save. Cached sessions
// must still be fetched; saving every new one would delay both.
func TestFetchesTakePriorityOverSaves(t *testing.T) {
	const sessions, tokens = 400, 5000
	c := New(at(-10_000), Params{CapacityTokens: 2 * sessions * tokens, TokensPerSec: 181_000})
	for i := range sessions {
		c.OnStored(at(-5000), Key{"w1", fmt.Sprint("old", i)}, tokens, 1)
	}
	fetched, saved := 0, 0
	for i := range sessions {
		now := at(60 * i) // 83 tokens per ms to fetch, and as many to save
		if c.Decide(now, req(fmt.Sprint("old", i), tokens)).Fetch {
			fetched++
		}
		if c.Decide(now, req(fmt.Sprint("new", i), tokens)).Save {
			saved++
		}
	}
	t.Logf("of %d: fetched %d, saved %d", sessions, fetched, saved)
	if fetched < sessions*95/100 || saved < sessions/3 {
		t.Errorf("of %d: fetched %d, saved %d", sessions, fetched, saved)
	}
}

// A prompt on old weights is preempted while its replica loads new ones; it is then computed
// again and saved under the salt of the old weights. A request on a replica with the old
// weights must not use a part that the new weights computed.
func TestPartCompletedUnderNewerWeightsIsNotFetched(t *testing.T) {
	c := newReadyCache(1000)
	save(t, c, at(0), req("before", 96))
	c.Decide(at(10), req("during", 96))
	newer := PartRequest{Key: Key{"w2", "x"}, Tokens: 16, Version: 2}
	c.Decide(at(20), newer)
	c.OnStored(at(30), Key{"w1", "during"}, 96, 1)
	c.OnStored(at(30), Key{"w1", "unheard of"}, 96, 1)
	c.OnStored(at(30), newer.Key, 16, 2)
	for id, fetch := range map[string]bool{"before": true, "during": false, "unheard of": false} {
		if got := c.Decide(at(40), req(id, 96)); got.Fetch != fetch {
			t.Errorf("%s: %+v", id, got)
		}
	}
	if got := c.Decide(at(40), newer); !got.Fetch {
		t.Errorf("part of the newest weights: %+v", got)
	}
}

// A loaded replica responds late, and its daemon attributes the delay to the store's link. A
// single such report made the cache refuse all fetches for a quarter of a second, and parts of
// 130 tokens that transfer in a millisecond were computed again everywhere.
func TestSingleOverdueFetchRefusesNoFetch(t *testing.T) {
	c := newReadyCache(10_000)
	save(t, c, at(0), req("a", 1000))
	reportOverdue(c, at(2000), c.Decide(at(1900), req("a", 1000)).Claim)
	if got := c.Decide(at(2001), req("a", 1000)); !got.Fetch || got.FetchTime > 100*time.Millisecond {
		t.Errorf("got %+v", got)
	}
}

// During a rollout a prompt's parts are requested under the new weights, but its replica still
// has the old ones, so no request makes the permitted save. All prompts with that part were
// computed for the eight seconds in which it counted as being written. After a release the next
// request may save the part at once.
func TestUnusedSaveClaimIsReleased(t *testing.T) {
	c := newReadyCache(1000)
	first := c.Decide(at(0), req("a", 100))
	if !first.Save || first.Claim == 0 {
		t.Fatalf("first request: %+v", first)
	}
	if queue := c.QueueTime(at(0)); queue == 0 {
		t.Fatal("a save reserves no link time")
	}
	c.Release(at(10), Key{"w1", "a"}, first.Claim)
	if c.UsedTokens() != 0 || c.QueueTime(at(10)) != 0 {
		t.Errorf("%d tokens are used, and the queue is %s", c.UsedTokens(), c.QueueTime(at(10)))
	}
	second := c.Decide(at(20), req("a", 100))
	if !second.Save {
		t.Fatalf("second request: %+v", second)
	}
	c.Release(at(30), Key{"w1", "a"}, first.Claim)
	if got := c.Decide(at(40), req("a", 100)); got.Save {
		t.Error("the claim of the first request released the save of the second")
	}
}

// A part whose save was interrupted, or that may not have been freed, may still be written. An
// earlier claim must not make it available to be saved again.
func TestReleaseKeepsPartThatMayBeWritten(t *testing.T) {
	c := newReadyCache(1000)
	c.OnList(at(0), nil, []PartRequest{req("partial", 100)})
	claim := c.Decide(at(0), req("kept", 100)).Claim
	c.OnStored(at(10), Key{"w1", "kept"}, 100, 1)
	c.OnFreeFailed(at(20), []Key{{"w1", "kept"}})
	c.Release(at(30), Key{"w1", "partial"}, claim)
	c.Release(at(30), Key{"w1", "kept"}, claim)
	for _, id := range []string{"partial", "kept"} {
		if got := c.Decide(at(40), req(id, 100)); got.Save || got.Fetch {
			t.Errorf("%s: %+v", id, got)
		}
	}
}

// A prompt is computed because that is faster than the fetch, or its caller is refused. The
// released fetch must free its link time, so that the next request does not see its queue.
func TestReleasedFetchFreesLinkTime(t *testing.T) {
	c := newReadyCache(10_000)
	save(t, c, at(0), req("a", 5000))
	idle := at(0).Add(c.QueueTime(at(0)))
	got := c.Decide(idle, req("a", 5000))
	if !got.Fetch {
		t.Fatalf("cached part: %+v", got)
	}
	c.Release(idle, Key{"w1", "a"}, got.Claim)
	if queue := c.QueueTime(idle); queue != 0 {
		t.Errorf("the queue is %s", queue)
	}
	if got := c.StartFreeing(idle.Add(ReadPermitTTL)); len(got) > 0 {
		t.Errorf("%v is freed while a permit for it is valid", got)
	}
}

// During a rollout half of the replicas still respond on the old weights. Parts that they save
// become complete after newer weights are known and are never fetched. Saving them took space
// and a third of the links' time from the saves of the new weights.
func TestPartsOfReplacedWeightsAreNotSaved(t *testing.T) {
	c := newReadyCache(1000)
	c.Decide(at(0), PartRequest{Key: Key{"w2", "x"}, Tokens: 100, Version: 2})
	queue := c.QueueTime(at(10))
	if got := c.Decide(at(10), req("a", 100)); got.Save || got.Reason != ReasonOldWeights {
		t.Errorf("got %+v", got)
	}
	if got := c.QueueTime(at(10)); got != queue {
		t.Errorf("the queue grew from %s to %s", queue, got)
	}
}

// TestPartsWithoutTokensAreBounded guards against records of a store that grow for ever, as parts without tokens never fill it, and against
// a store full of them that takes no other part.
func TestPartsWithoutTokensAreBounded(t *testing.T) {
	for _, capacity := range []int{1000, 1 << 30} {
		c := newReadyCache(capacity)
		for n := range min(2*maxParts, 4*capacity) {
			if a := req(fmt.Sprint(n), n%2); c.Decide(at(0), a).Save {
				c.OnStored(at(0), a.Key, a.Tokens, a.Version)
			}
		}
		if len(c.parts) > min(maxParts, capacity) {
			t.Errorf("capacity %d: %d parts are recorded", capacity, len(c.parts))
		}
		later := at(60_000)
		for _, key := range c.StartFreeing(later) {
			c.OnRemoved(key)
		}
		save(t, c, later, req("ordinary", 500/16))
	}
}
