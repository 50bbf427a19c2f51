package storecache

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load is a store whose link transfers 181 tokens per ms and is used to nine tenths. Each
// second brings 18 fetches of 5,000 tokens and some saves. Most fetches go to other failure
// domains, which takes twice as long. Every second replica is busy and does not report when its
// fetch really ended. For five seconds the link is four times slower.
const (
	loadPerSec        = 181_000.0
	loadTokens        = 5000
	loadInterval      = 47 * time.Millisecond
	slowFactor        = 4.0
	slowFrom          = 5 * time.Second
	slowUntil         = 10 * time.Second
	loadDuration      = 16 * time.Second
	saveShare         = 0.15
	remoteReaderShare = 0.7
	busyReplicaShare  = 0.5
	// lateThreshold is the fetch time from which a prompt misses the limit of 600 ms for its
	// first token. From maxFetchTime on computing the prompt is faster than fetching it.
	lateThreshold = 450 * time.Millisecond
	maxFetchTime  = 600 * time.Millisecond
	// startTimeout is how long a transfer may wait to start. After it the part is computed,
	// which takes computeTime.
	startTimeout = 2 * time.Second
	computeTime  = 100 * time.Millisecond
)

// simulatedLink is the actual link, whose state the owner does not see.
type simulatedLink struct{ idleAt time.Time }

func (l *simulatedLink) transfer(now time.Time, remote bool) (end time.Time) {
	took := loadTokens / loadPerSec
	if since := now.Sub(epoch); since >= slowFrom && since < slowUntil {
		took *= slowFactor
	}
	if remote {
		took *= 2
	}
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(took * float64(time.Second)))
	return l.idleAt
}

type report struct {
	at time.Time
	FetchResult
}

// load simulates the load on a cache that receives the reports that deliver accepts.
type load struct {
	rng     *rand.Rand
	cache   *Cache
	link    simulatedLink
	reports []report
	deliver func(FetchResult) bool
	// Per second: all requests, those that fetched, and the late ones of these.
	requested, fetched, late [loadDuration / time.Second]int
}

// simulateLoad runs the simulation for loadDuration and returns its counts.
func simulateLoad(seed uint64, deliver func(FetchResult) bool) *load {
	const parts = 300
	l := &load{rng: rand.New(rand.NewPCG(seed, 1)), deliver: deliver}
	l.cache = New(at(-10_000), Params{CapacityTokens: 10_000_000, TokensPerSec: loadPerSec, FirstByte: 6 * time.Millisecond})
	for i := range parts {
		l.cache.OnStored(epoch, Key{"w1", fmt.Sprint(i)}, loadTokens, 1)
	}
	next := 0
	for since := time.Duration(0); since < loadDuration; since += time.Duration(l.rng.ExpFloat64() * float64(loadInterval)) {
		now := epoch.Add(since)
		l.deliverReports(now)
		if l.rng.Float64() < saveShare {
			next++
			l.save(now, req(fmt.Sprint("new", next), loadTokens))
			continue
		}
		l.fetch(now, int(since/time.Second), req(fmt.Sprint(l.rng.IntN(parts)), loadTokens))
	}
	return l
}

func (l *load) deliverReports(now time.Time) {
	slices.SortFunc(l.reports, func(a, b report) int { return a.at.Compare(b.at) })
	for len(l.reports) > 0 && !l.reports[0].at.After(now) {
		if first := l.reports[0]; l.deliver(first.FetchResult) {
			l.cache.OnFetched(first.at, first.FetchResult)
		}
		l.reports = l.reports[1:]
	}
}

func (l *load) save(now time.Time, a PartRequest) {
	const computed = 150 * time.Millisecond
	if l.cache.Decide(now, a).Save {
		l.link.transfer(now.Add(computed), l.rng.Float64() < remoteReaderShare)
	}
}

func (l *load) fetch(now time.Time, second int, a PartRequest) {
	l.requested[second]++
	got := l.cache.Decide(now, a)
	if !got.Fetch {
		return
	}
	expected := got.FetchTime
	remote := l.rng.Float64() < remoteReaderShare
	if remote {
		expected *= 2
	}
	if expected > maxFetchTime {
		l.cache.Release(now, a.Key, got.Claim)
		return
	}
	l.fetched[second]++
	const starts, overdueAfter = 15 * time.Millisecond, 250 * time.Millisecond
	took := time.Duration(l.rng.Float64() * float64(80*time.Millisecond))
	if l.link.idleAt.Sub(now) > startTimeout {
		took += computeTime
	} else {
		took += l.link.transfer(now.Add(starts), remote).Sub(now)
	}
	if took > lateThreshold {
		l.late[second]++
	}
	busy := l.rng.Float64() < busyReplicaShare
	if took > expected+overdueAfter && !busy {
		l.reports = append(l.reports, report{now.Add(expected + overdueAfter), FetchResult{Claim: got.Claim, Took: expected + overdueAfter, Overdue: true}})
	}
	l.reports = append(l.reports, report{now.Add(took), FetchResult{Claim: got.Claim, Took: took, Busy: busy}})
}

// share returns the fraction of the requests in a time range that counts contain.
func (l *load) share(of [loadDuration / time.Second]int, from, to time.Duration) float64 {
	sum, asked := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		sum += of[second]
		asked += l.requested[second]
	}
	return float64(sum) / float64(asked)
}

// meanShare averages a fraction over simulations with several seeds.
func meanShare(deliver func(FetchResult) bool, count func(*load) float64) float64 {
	const seeds = 20
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += count(simulateLoad(seed, deliver))
	}
	return sum / seeds
}

func deliverAll(FetchResult) bool { return true }

// On a nearly saturated link the owner's estimate drifts, and prompts wait for contexts that
// would be computed faster. A report of each completed fetch corrects the estimate.
func TestFullLinkHasFewLateFetches(t *testing.T) {
	lateShare := func(l *load) float64 { return l.share(l.late, time.Second, slowFrom) }
	if got := meanShare(deliverAll, lateShare); got > 0.02 {
		t.Errorf("%.3f of requests are late", got)
	}
}

// A link becomes four times slower, and fetches under way become late. Two seconds later no
// more may be permitted than the link can transfer, or replicas fill up with waiting prompts.
func TestSlowLinkIsNotOverloaded(t *testing.T) {
	lateShare := func(l *load) float64 { return l.share(l.late, slowFrom+2*time.Second, slowUntil) }
	overdueOnly := func(f FetchResult) bool { return f.Overdue }
	got, naive := meanShare(deliverAll, lateShare), meanShare(overdueOnly, lateShare)
	if got > 0.15 || got > naive {
		t.Errorf("%.3f of requests are late; %.3f with reports of overdue fetches only", got, naive)
	}
}

// The link has recovered. With reports of overdue fetches only, its owner considered it slow
// for four more seconds, and prompts were computed instead of fetched.
func TestRecoveredLinkIsUsed(t *testing.T) {
	before := meanShare(deliverAll, func(l *load) float64 { return l.share(l.fetched, time.Second, slowFrom) })
	after := meanShare(deliverAll, func(l *load) float64 { return l.share(l.fetched, slowUntil+time.Second, slowUntil+3*time.Second) })
	if after < 0.8*before {
		t.Errorf("%.2f of prompts fetch a second after the link recovered, %.2f did before it was slow", after, before)
	}
}

// A loaded replica reports late that its fetch has ended. Its report may shorten the queue,
// but must neither lengthen it nor increase the slowness.
func TestReportsOfBusyReplicasOnlyShortenQueue(t *testing.T) {
	c := newReadyCache(100_000)
	save(t, c, at(0), req("a", 10_000))
	first := c.Decide(at(1000), req("a", 10_000))
	c.Decide(at(1001), req("a", 10_000))
	queue := c.QueueTime(at(1500))
	c.OnFetched(at(1500), FetchResult{Claim: first.Claim, Took: 500 * time.Millisecond, Busy: true})
	if got := c.QueueTime(at(1500)); got > queue || c.Slowness() != 1 {
		t.Errorf("the queue was %s and is %s, slowness %g", queue, got, c.Slowness())
	}
	second := c.Decide(at(2000), req("a", 10_000))
	c.OnFetched(at(2010), FetchResult{Claim: second.Claim, Took: 10 * time.Millisecond, Busy: true})
	if got := c.QueueTime(at(2010)); got != 0 {
		t.Errorf("the queue is %s after the last fetch", got)
	}
}

// A replica waits half a second for another, dead store and then fetches from this one. Its
// report made the link appear sixteen times slower, and prompts were computed for a second.
func TestSingleOutlierDoesNotMakeLinkSlow(t *testing.T) {
	c := newReadyCache(100_000)
	save(t, c, at(0), req("a", 1000)) // 10 ms
	first := c.Decide(at(1000), req("a", 1000))
	outlier := c.Decide(at(1010), req("a", 1000))
	c.OnFetched(at(1020), FetchResult{Claim: first.Claim, Took: 20 * time.Millisecond})
	c.OnFetched(at(1610), FetchResult{Claim: outlier.Claim, Took: 600 * time.Millisecond})
	if got := c.Slowness(); got > 2 {
		t.Errorf("slowness %g", got)
	}
	if got := c.Decide(at(1611), req("a", 1000)); !got.Fetch || got.FetchTime > 100*time.Millisecond {
		t.Errorf("next fetch: %+v", got)
	}
}

// A replica crashes or hangs during a fetch, which becomes overdue and never ends. All later
// fetches overtake it; they were not counted, and a healthy link stayed slow for seconds.
func TestFetchThatNeverEndsExpires(t *testing.T) {
	for _, released := range []bool{true, false} {
		c := newReadyCache(100_000)
		save(t, c, at(0), req("a", 1000))
		stuck := c.Decide(at(1000), req("a", 1000))
		c.OnFetched(at(1300), FetchResult{Claim: stuck.Claim, Took: 300 * time.Millisecond, Overdue: true})
		if released {
			c.Release(at(1310), Key{"w1", "a"}, stuck.Claim)
		}
		for i := range 9 { // ten per second
			now := at(1400 + 100*i)
			got := c.Decide(now, req("a", 1000))
			c.OnFetched(now.Add(20*time.Millisecond), FetchResult{Claim: got.Claim, Took: 20 * time.Millisecond})
			if released && i >= 2 && c.Slowness() > 1.3 {
				t.Fatalf("slowness %g after the fetch was released and %d others ended", c.Slowness(), i+1)
			}
		}
		if got := c.Slowness(); got > 1.3 {
			t.Errorf("released %t: slowness %g 0.9 s later", released, got)
		}
	}
}
