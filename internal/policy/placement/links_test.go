package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/storeapi"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_000_000, 0)

// TestSlowLinkIsDetectedBeforeTransferCompletes slows a store's link to a tenth during an
// import. No transfer finishes for a long time, so a tracker that learns only from finished
// transfers keeps sending every caller to the store. Links must detect the overdue transfer,
// so that Choose plans shorter heads within seconds.
func TestSlowLinkIsDetectedBeforeTransferCompletes(t *testing.T) {
	const rate = 3e9
	l := NewLinks()
	l.Configure("s1", rate)
	l.Start("s1", storeapi.TierMemory, rate, epoch) // takes 1 s at the configured rate
	naiveRate := rate                               // no transfer has finished, so the rate is unchanged

	now := epoch.Add(5 * time.Second)
	state := l.State("s1", now)
	r := Request{Tokens: 20000, BytesPerToken: testBytesPerToken}
	targets := []Candidate{{ID: "t1", PrefillRate: 8000}}
	naive := Choose(Fonografos(), r, targets, []Copy{{Store: "s1", Blocks: 312, Link: LinkState{BytesPerSec: naiveRate}}})
	ours := Choose(Fonografos(), r, targets, []Copy{{Store: "s1", Blocks: 312, Link: state}})
	const trueRate = rate / 10
	if naiveSeconds := float64(naive.LinkBytes) / trueRate; naiveSeconds < 8 {
		t.Fatalf("the naive import should take at least 8 s, took %.1f s", naiveSeconds)
	}
	if ours.ImportBlocks > naive.ImportBlocks/3 {
		t.Fatalf("import of %d blocks (naive %d) with state %+v", ours.ImportBlocks, naive.ImportBlocks, state)
	}
}

// TestStoreFailsDuringImport covers a store VM that fails after Choose returned a plan.
// Without a deadline, the caller waits for the import until the connection times out. The
// plan's import deadline is at most the time to prefill. After the import times out, Links
// backs off from the store, so the next plan prefills at once, and a plan after the backoff
// imports again.
func TestStoreFailsDuringImport(t *testing.T) {
	l := NewLinks()
	l.Configure("s1", 3e9)
	r := Request{Tokens: 20000, BytesPerToken: testBytesPerToken}
	targets := []Candidate{{ID: "t1", PrefillRate: 8000}}
	choose := func(now time.Time) Plan {
		return Choose(Atlas(), r, targets, []Copy{{Store: "s1", Blocks: 312, Link: l.State("s1", now)}})
	}
	plan := choose(epoch)
	const connectionTimeout = 30 * time.Second
	if plan.LinkBytes == 0 || plan.ImportDeadline <= 0 || plan.ImportDeadline > 2500*time.Millisecond {
		t.Fatalf("the caller would wait for up to %v: %+v", connectionTimeout, plan)
	}
	id := l.Start("s1", storeapi.TierMemory, plan.LinkBytes, epoch)
	timedOutAt := epoch.Add(plan.ImportDeadline)
	l.Finish("s1", id, 0, TimedOut, timedOutAt)
	if next := choose(timedOutAt); next.LinkBytes != 0 {
		t.Fatalf("the failed store was chosen again: %+v", next)
	}
	if later := choose(timedOutAt.Add(minBackoff)); later.LinkBytes == 0 {
		t.Fatal("the store is not used again after its backoff")
	}
}

// TestOutstandingBytes checks that Links neither loses bytes nor counts them twice over any
// sequence of started and finished transfers.
func TestOutstandingBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLinks()
		l.Configure("s1", 1e9)
		open := map[TransferID]int64{}
		var want int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "start") {
				n := rapid.Int64Range(1, 1<<30).Draw(t, "bytes")
				open[l.Start("s1", storeapi.TierMemory, n, epoch)] = n
				want += n
			} else {
				for id, n := range open {
					l.Finish("s1", id, n, rapid.SampledFrom([]Outcome{Completed, Failed, TimedOut}).Draw(t, "outcome"), epoch)
					delete(open, id)
					want -= n
					break
				}
			}
			if got := l.State("s1", epoch).QueuedBytes; got != want {
				t.Fatalf("queued %d, want %d", got, want)
			}
		}
	})
}

func TestPrefillRatesConverge(t *testing.T) {
	c := NewPrefillRates(0)
	for range 30 {
		c.ObservePrefill("slow", 2000, time.Second)
	}
	c.ObservePrefill("slow", 10, time.Hour)
	if got := c.PrefillRate("slow"); got < 1990 || got > 2020 {
		t.Fatalf("learned %f tokens per second, want about 2000", got)
	}
	if got := c.PrefillRate("new"); got != defaultPrefillRate {
		t.Fatalf("a new target starts at %f", got)
	}
}

// TestConcurrentTransfersKeepLearnedRate runs two imports that share a link and end one
// just after the other. Measured alone, the first shows half the rate and the second many
// times the rate, so a tracker that measures single transfers oscillates. Links must keep
// the true rate.
func TestConcurrentTransfersKeepLearnedRate(t *testing.T) {
	const rate, bytes = 3e9, 3e9
	l := NewLinks()
	l.Configure("s1", rate)
	naive, lowest, highest := float64(rate), float64(rate), float64(rate)
	now := epoch
	for range 20 {
		first := l.Start("s1", storeapi.TierMemory, bytes, now)
		second := l.Start("s1", storeapi.TierMemory, bytes, now)
		firstTime, secondTime := 1990*time.Millisecond, 2*time.Second
		l.Finish("s1", first, bytes, Completed, now.Add(firstTime))
		l.Finish("s1", second, bytes, Completed, now.Add(secondTime))
		now = now.Add(secondTime)
		for _, elapsed := range []time.Duration{firstTime, secondTime - firstTime} {
			naive = smoothRate(naive, bytes/elapsed.Seconds())
			lowest, highest = min(lowest, naive), max(highest, naive)
		}
		if got := l.LearnedRate("s1"); got < 0.99*rate || got > 1.01*rate {
			t.Fatalf("learned %g bytes per second, want %g", got, float64(rate))
		}
	}
	if highest < 1.5*lowest {
		t.Fatalf("the naive rate should oscillate, but stayed between %g and %g", lowest, highest)
	}
}

// TestConfigureAfterFirstState covers a daemon that estimates an import from a store VM
// before it first reads the VM's row. The default rate must not stay in effect, or the
// daemon would treat a fast link as slow indefinitely.
func TestConfigureAfterFirstState(t *testing.T) {
	l := NewLinks()
	l.State("s1", epoch)
	l.Configure("s1", 3e9)
	if got := l.State("s1", epoch).BytesPerSec; got != 3e9 {
		t.Fatalf("rate %g", got)
	}
	id := l.Start("s1", storeapi.TierMemory, 1e9, epoch)
	l.Finish("s1", id, 1e9, Completed, epoch.Add(time.Second))
	learned := l.LearnedRate("s1")
	l.Configure("s1", 3e9)
	if got := l.LearnedRate("s1"); got != learned || got >= 3e9 {
		t.Fatalf("Configure replaced the learned rate: %g, then %g", learned, got)
	}
}
