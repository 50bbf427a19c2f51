package storecache

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load: a store whose link carries 181 tokens a ms, at nine tenths of that: 18 fetches of
// 5,000 tokens a second, most to other failure domains, which takes twice as long, and some
// saves. The fetches of every second replica tell nothing of their end, since it is busy. For
// five seconds the link is four times slower.
const (
	loadPerSec   = 181_000.0
	loadTokens   = 5000
	loadEvery    = 47 * time.Millisecond
	slowFactor   = 4.0
	slowFrom     = 5 * time.Second
	slowTo       = 10 * time.Second
	loadEnds     = 16 * time.Second
	saves        = 0.15
	farReaders   = 0.7
	busyReplicas = 0.5
	// lateAfter is when a prompt can't be answered in time any more, of a time limit of
	// 600 ms for the first token, and tooLong from which one is sooner computed than fetched.
	lateAfter = 450 * time.Millisecond
	tooLong   = 600 * time.Millisecond
	// notStarted is how long a transfer may wait to be started at all; else the part is
	// computed, in a time of its own.
	notStarted = 2 * time.Second
	computes   = 100 * time.Millisecond
)

// realLink is the link as it is, which the keeper does not see.
type realLink struct{ free time.Time }

func (l *realLink) transfer(now time.Time, far bool) (end time.Time) {
	took := loadTokens / loadPerSec
	if since := now.Sub(epoch); since >= slowFrom && since < slowTo {
		took *= slowFactor
	}
	if far {
		took *= 2
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(took * float64(time.Second)))
	return l.free
}

type news struct {
	at time.Time
	FetchResult
}

// load plays the load on a room that is told what tell lets through.
type load struct {
	rng  *rand.Rand
	room *Cache
	real realLink
	news []news
	tell func(FetchResult) bool
	// Of each second: all that asked, what was fetched, and what of it came late.
	asked, fetched, late [loadEnds / time.Second]int
}

func playLoad(seed uint64, tell func(FetchResult) bool) *load {
	const parts = 300
	l := &load{rng: rand.New(rand.NewPCG(seed, 1)), tell: tell}
	l.room = New(at(-10_000), Params{CapacityTokens: 10_000_000, TokensPerSec: loadPerSec, FirstByte: 6 * time.Millisecond})
	for i := range parts {
		l.room.OnStored(epoch, Key{"w1", fmt.Sprint(i)}, loadTokens, 1)
	}
	next := 0
	for since := time.Duration(0); since < loadEnds; since += time.Duration(l.rng.ExpFloat64() * float64(loadEvery)) {
		now := epoch.Add(since)
		l.hear(now)
		if l.rng.Float64() < saves {
			next++
			l.save(now, ask(fmt.Sprint("new", next), loadTokens))
			continue
		}
		l.fetch(now, int(since/time.Second), ask(fmt.Sprint(l.rng.IntN(parts)), loadTokens))
	}
	return l
}

func (l *load) hear(now time.Time) {
	slices.SortFunc(l.news, func(a, b news) int { return a.at.Compare(b.at) })
	for len(l.news) > 0 && !l.news[0].at.After(now) {
		if n := l.news[0]; l.tell(n.FetchResult) {
			l.room.OnFetched(n.at, n.FetchResult)
		}
		l.news = l.news[1:]
	}
}

func (l *load) save(now time.Time, a PartRequest) {
	const computed = 150 * time.Millisecond
	if l.room.Decide(now, a).Save {
		l.real.transfer(now.Add(computed), l.rng.Float64() < farReaders)
	}
}

func (l *load) fetch(now time.Time, second int, a PartRequest) {
	l.asked[second]++
	got := l.room.Decide(now, a)
	if !got.Fetch {
		return
	}
	told := got.FetchTime
	far := l.rng.Float64() < farReaders
	if far {
		told *= 2
	}
	if told > tooLong {
		l.room.Release(now, a.Key, got.Claim)
		return
	}
	l.fetched[second]++
	const starts, overdueAfter = 15 * time.Millisecond, 250 * time.Millisecond
	took := time.Duration(l.rng.Float64() * float64(80*time.Millisecond))
	if l.real.free.Sub(now) > notStarted {
		took += computes
	} else {
		took += l.real.transfer(now.Add(starts), far).Sub(now)
	}
	if took > lateAfter {
		l.late[second]++
	}
	busy := l.rng.Float64() < busyReplicas
	if took > told+overdueAfter && !busy {
		l.news = append(l.news, news{now.Add(told + overdueAfter), FetchResult{Claim: got.Claim, Took: told + overdueAfter, Overdue: true}})
	}
	l.news = append(l.news, news{now.Add(took), FetchResult{Claim: got.Claim, Took: took, Busy: busy}})
}

// share returns which part of those who asked from one second to another is counted.
func (l *load) share(of [loadEnds / time.Second]int, from, to time.Duration) float64 {
	sum, asked := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		sum += of[second]
		asked += l.asked[second]
	}
	return float64(sum) / float64(asked)
}

// meanShare plays the load with some seeds.
func meanShare(tell func(FetchResult) bool, count func(*load) float64) float64 {
	const seeds = 20
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += count(playLoad(seed, tell))
	}
	return sum / seeds
}

func everything(FetchResult) bool { return true }

// A link that is nearly full drifts from its keeper's estimate, and prompts wait for contexts
// that they had sooner computed. Told of each end, the keeper knows what is left.
func TestFullLinkMakesFewLate(t *testing.T) {
	late := func(l *load) float64 { return l.share(l.late, time.Second, slowFrom) }
	if got := meanShare(everything, late); got > 0.02 {
		t.Errorf("%.3f late", got)
	}
}

// A link turns four times slower. All that was fetched by then is late; a second later no more
// may be allowed than the link carries, or replicas fill up with prompts that wait.
func TestSlowLinkIsNotOverrun(t *testing.T) {
	late := func(l *load) float64 { return l.share(l.late, slowFrom+2*time.Second, slowTo) }
	overdueOnly := func(f FetchResult) bool { return f.Overdue }
	got, naive := meanShare(everything, late), meanShare(overdueOnly, late)
	if got > 0.15 || got > naive {
		t.Errorf("%.3f late; %.3f told of overdue fetches only", got, naive)
	}
}

// The link is well again. Told only of overdue fetches, its keeper took it for slow for four
// seconds more, and prompts that could be fetched were computed.
func TestLinkThatIsWellAgainIsUsed(t *testing.T) {
	before := meanShare(everything, func(l *load) float64 { return l.share(l.fetched, time.Second, slowFrom) })
	after := meanShare(everything, func(l *load) float64 { return l.share(l.fetched, slowTo+time.Second, slowTo+3*time.Second) })
	if after < 0.8*before {
		t.Errorf("%.2f of prompts fetch a second after the link is well, %.2f did before it was slow", after, before)
	}
}

// A replica with much to do tells late that its fetch has ended. Its word may shorten the
// queue, and must neither lengthen it nor make the link slow.
func TestBusyReplicasOnlyShortenTheQueue(t *testing.T) {
	r := open(100_000)
	save(t, r, at(0), ask("a", 10_000))
	first := r.Decide(at(1000), ask("a", 10_000))
	r.Decide(at(1001), ask("a", 10_000))
	queue := r.QueueTime(at(1500))
	r.OnFetched(at(1500), FetchResult{Claim: first.Claim, Took: 500 * time.Millisecond, Busy: true})
	if got := r.QueueTime(at(1500)); got > queue || r.Slowness() != 1 {
		t.Errorf("the queue was %s and is %s, slowness %g", queue, got, r.Slowness())
	}
	second := r.Decide(at(2000), ask("a", 10_000))
	r.OnFetched(at(2010), FetchResult{Claim: second.Claim, Took: 10 * time.Millisecond, Busy: true})
	if got := r.QueueTime(at(2010)); got != 0 {
		t.Errorf("the queue is %s after its last fetch", got)
	}
}

// A replica waits for half a second for another store, which is dead, and then fetches from
// this one. Its word made the link sixteen times slower at once, and prompts were computed for
// a second.
func TestOneOddFetchDoesNotMakeALinkSlow(t *testing.T) {
	r := open(100_000)
	save(t, r, at(0), ask("a", 1000)) // 10 ms
	first := r.Decide(at(1000), ask("a", 1000))
	odd := r.Decide(at(1010), ask("a", 1000))
	r.OnFetched(at(1020), FetchResult{Claim: first.Claim, Took: 20 * time.Millisecond})
	r.OnFetched(at(1610), FetchResult{Claim: odd.Claim, Took: 600 * time.Millisecond})
	if got := r.Slowness(); got > 2 {
		t.Errorf("slowness %g", got)
	}
	if got := r.Decide(at(1611), ask("a", 1000)); !got.Fetch || got.FetchTime > 100*time.Millisecond {
		t.Errorf("got %+v", got)
	}
}

// A replica crashes, or hangs, while it fetches: the fetch is overdue and never ends. All later
// ones overtake it and were taken for nothing, so that a well link stayed slow for seconds.
func TestFetchThatNeverEndsIsForgotten(t *testing.T) {
	for _, gone := range []bool{true, false} {
		r := open(100_000)
		save(t, r, at(0), ask("a", 1000))
		dead := r.Decide(at(1000), ask("a", 1000))
		r.OnFetched(at(1300), FetchResult{Claim: dead.Claim, Took: 300 * time.Millisecond, Overdue: true})
		if gone {
			r.Release(at(1310), Key{"w1", "a"}, dead.Claim)
		}
		for i := range 9 { // 10 a second
			now := at(1400 + 100*i)
			got := r.Decide(now, ask("a", 1000))
			r.OnFetched(now.Add(20*time.Millisecond), FetchResult{Claim: got.Claim, Took: 20 * time.Millisecond})
			if gone && i >= 2 && r.Slowness() > 1.3 {
				t.Fatalf("slowness %g after the fetch was given up and %d others ended", r.Slowness(), i+1)
			}
		}
		if got := r.Slowness(); got > 1.3 {
			t.Errorf("given up %t: slowness %g 0.9 s later", gone, got)
		}
	}
}
