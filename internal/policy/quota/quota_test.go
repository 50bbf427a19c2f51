package quota

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed"
)

func TestShares(t *testing.T) {
	datadriven.RunTest(t, "testdata/shares", func(t *testing.T, d *datadriven.TestData) string {
		var perSecond, burst float64
		d.ScanArgs(t, "per_second", &perSecond)
		d.ScanArgs(t, "burst", &burst)
		l := ColdStartLimits(perSecond, burst)
		var out strings.Builder
		for _, daemons := range []int{1, 2, 3, 8, 66, 390} {
			senders, each := l.Shares(daemons)
			fmt.Fprintf(&out, "%d daemons: %d senders, each every %s\n", daemons, senders, each.Gap())
		}
		return out.String()
	})
}

func daemonNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("vm", i)
	}
	return out
}

// Daemons with the same view select the intended number of senders, and other ones for each replica.
func TestSendersAreSpread(t *testing.T) {
	group := daemonNames(8)
	sends := map[string]int{}
	const replicas, senders = 400, 3
	for replica := range uint64(replicas) {
		n := 0
		for _, daemon := range group {
			if IsSender(daemon, group, replica, senders) {
				sends[daemon]++
				n++
			}
		}
		if n != senders {
			t.Fatalf("replica %d: %d senders", replica, n)
		}
	}
	for _, daemon := range group {
		if got := sends[daemon]; got < replicas*senders/len(group)/2 {
			t.Errorf("%s sends to %d of %d replicas", daemon, got, replicas)
		}
	}
}

// sender is a daemon of a simulated fleet that sends to one cold replica.
type sender struct {
	name        string
	view        []string // the daemons that it knows
	clockOffset time.Duration
	stalled     [2]time.Duration
	share       Share
	pacer       Pacer
}

const replica = 7

var start = time.Unix(1_800_000_000, 0)

// sendIfReady sends a request if a share allows it.
func sendIfReady(p *Pacer, now time.Time, s Share) bool {
	if !p.Ready(now, s) {
		return false
	}
	p.RecordSent(now)
	return true
}

// simulateSends lets each daemon send whenever its share allows it, and returns the arrival times.
func simulateSends(rt *rapid.T, l Limits, daemons []*sender, lasts time.Duration) []time.Duration {
	var arrivals []time.Duration
	var senders []*sender
	for _, d := range daemons {
		n, each := l.Shares(len(d.view))
		if IsSender(d.name, d.view, replica, n) {
			d.share = each
			senders = append(senders, d)
		}
	}
	step := time.Duration(rapid.IntRange(1, 40).Draw(rt, "step_ms")) * time.Millisecond
	for at := time.Duration(0); at < lasts; at += step {
		for _, d := range senders {
			if at >= d.stalled[0] && at < d.stalled[1] {
				continue
			}
			if sendIfReady(&d.pacer, start.Add(d.clockOffset+at), d.share) {
				arrivals = append(arrivals, at)
			}
		}
	}
	return arrivals
}

// maxInWindow returns the maximum number of arrivals in any window.
func maxInWindow(window time.Duration, arrivals []time.Duration) int {
	most, from := 0, 0
	for to := range arrivals {
		for arrivals[to]-arrivals[from] >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func drawLimits(rt *rapid.T) Limits {
	rate := rapid.Float64Range(0.3, 40).Draw(rt, "per_second")
	overage := rapid.Float64Range(1, 2).Draw(rt, "overage")
	slack := rapid.Float64Range(2, 10).Draw(rt, "slack")
	return ColdStartLimits(rate, rate*overage+slack)
}

// announcedLimits returns the limits of a replica that announced a rate limit.
func announcedLimits(perSecond float64) Limits {
	return Limits{PerSecond: perSecond, Burst: 1.5*4*perSecond + 5, Window: 4 * time.Second}
}

// drawAnnouncedLimits draws the limits of a replica that announced a rate limit.
func drawAnnouncedLimits(rt *rapid.T) Limits {
	return announcedLimits(rapid.Float64Range(0.1, 30).Draw(rt, "per_second"))
}

func drawFleet(rt *rapid.T) []*sender {
	n := rapid.SampledFrom([]int{1, 2, 3, 8, 15, 66, 390}).Draw(rt, "daemons")
	all := daemonNames(n)
	daemons := make([]*sender, n)
	for i := range daemons {
		daemons[i] = &sender{name: all[i], view: all, clockOffset: time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "ahead_ms")) * time.Millisecond}
	}
	return daemons
}

// partitionFleet partitions some daemons, which keep their lists. The other daemons remove them from theirs.
func partitionFleet(rt *rapid.T, daemons []*sender) {
	isolated := rapid.IntRange(0, len(daemons)).Draw(rt, "cut")
	var remaining []string
	for _, d := range daemons[isolated:] {
		remaining = append(remaining, d.name)
	}
	for _, d := range daemons[isolated:] {
		d.view = remaining
	}
}

// A replica crashes, with all requests it runs, if it receives more than Burst requests in a second.
// All daemons send as often as they may, with clocks that differ.
func TestBurstHoldsWithClockSkew(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := drawLimits(rt)
		if got := maxInWindow(time.Second, simulateSends(rt, l, drawFleet(rt), 4*time.Second)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in a second, limits %v", got, l)
		}
	})
}

// Some daemons are partitioned and use the old list, while the others have removed them from theirs.
// Both sides send to the replica.
func TestBurstHoldsDuringPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, daemons := drawLimits(rt), drawFleet(rt)
		partitionFleet(rt, daemons)
		if got := maxInWindow(time.Second, simulateSends(rt, l, daemons, 4*time.Second)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in a second, limits %v", got, l)
		}
	})
}

// A daemon stalls and resumes. It must not send the requests of the stall at once.
func TestBurstHoldsAfterStall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, daemons := drawLimits(rt), drawFleet(rt)
		for _, d := range daemons {
			if rapid.Bool().Draw(rt, "freezes") {
				d.stalled = [2]time.Duration{time.Second, 3 * time.Second}
			}
		}
		if got := maxInWindow(time.Second, simulateSends(rt, l, daemons, 5*time.Second)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in a second, limits %v", got, l)
		}
	})
}

// If each daemon applies the replica's limit alone, their sum exceeds Burst and crashes the replica.
func TestPerDaemonLimitExceedsBurst(t *testing.T) {
	l := ColdStartLimits(10, 20)
	arrivals := 0
	for range daemonNames(8) {
		var p Pacer
		for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
			if sendIfReady(&p, time.Unix(0, 0).Add(at), Share{Requests: int(l.PerSecond), Window: l.Window}) {
				arrivals++
			}
		}
	}
	if float64(arrivals) <= l.Burst {
		t.Errorf("only %d requests: the naive limit does not exceed the burst", arrivals)
	}
}

// The fleet must use most of a cold replica's rate. Otherwise daemons refuse callers or overload the
// few warm replicas while a third of the fleet starts.
func TestColdStartRateIsUtilized(t *testing.T) {
	l := ColdStartLimits(9.8, 9.8*1.5+5)
	for _, daemons := range []int{3, 8, 66, 390} {
		senders, each := l.Shares(daemons)
		if rate := float64(senders) / each.Gap().Seconds(); rate < 0.75*l.PerSecond {
			t.Errorf("%d daemons send %.1f requests per second", daemons, rate)
		}
	}
}

// The senders must not depend on the order of the list, which may differ between daemons.
func TestSendersAreIndependentOfListOrder(t *testing.T) {
	group := daemonNames(9)
	reversed := slices.Clone(group)
	slices.Reverse(reversed)
	for r := range uint64(50) {
		for _, daemon := range group {
			if IsSender(daemon, group, r, 3) != IsSender(daemon, reversed, r, 3) {
				t.Fatalf("replica %d: result for %s depends on the list's order", r, daemon)
			}
		}
	}
}

// An overloaded replica fails if it receives more than its announced limit. All daemons send as often
// as they may; some are partitioned and use an older list, some stall and resume, and each sent requests
// without a limit before it learned of it.
func TestBurstHoldsForAnnouncedLimit(t *testing.T) {
	const reportDelay = 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		l, daemons := drawAnnouncedLimits(rt), drawFleet(rt)
		partitionFleet(rt, daemons)
		for _, d := range daemons {
			if rapid.Bool().Draw(rt, "freezes") {
				d.stalled = [2]time.Duration{5 * time.Second, 9 * time.Second}
			}
			for n := range rapid.IntRange(0, 5).Draw(rt, "before") {
				d.pacer.RecordSent(start.Add(d.clockOffset - time.Duration(6-n)*reportDelay/6))
			}
		}
		if got := maxInWindow(l.Window, simulateSends(rt, l, daemons, 3*l.Window)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in %s, limits %v", got, l.Window, l)
		}
	})
}

// A replica is busy when it announces a limit. Requests that a daemon sent earlier in the current window
// must count against its share, so that the load drops at once.
func TestEarlierSendsCountAgainstShare(t *testing.T) {
	share := Share{Requests: 2, Window: 4 * time.Second}
	var p Pacer
	for n := range 10 {
		p.RecordSent(start.Add(time.Duration(n) * 100 * time.Millisecond))
	}
	last := start.Add(900 * time.Millisecond)
	if p.Ready(last.Add(share.Gap()), share) {
		t.Error("ready after one gap although the window is used up")
	}
	if !p.Ready(last.Add(4*time.Second-100*time.Millisecond), share) {
		t.Error("not ready after the last but one request has left the window")
	}
}

// With less than half of an announced limit used, daemons refuse callers needlessly. With few senders,
// most daemons could not serve a service whose replicas are all overloaded.
func TestAnnouncedLimitIsUtilizedByManyDaemons(t *testing.T) {
	for _, perSecond := range []float64{1, 4.2, 20, 100} {
		l := announcedLimits(perSecond)
		for _, daemons := range []int{8, 15, 66, 390} {
			senders, each := l.Shares(daemons)
			if rate := float64(senders) / each.Gap().Seconds(); rate < 0.5*perSecond {
				t.Errorf("limit of %v per second: %d daemons send %.1f", perSecond, daemons, rate)
			}
			if possibleSenders := min(float64(daemons), 2*perSecond); float64(senders) < 0.75*possibleSenders {
				t.Errorf("limit of %v per second: %d of %d daemons send", perSecond, senders, daemons)
			}
		}
	}
}

// TestHugeLimitsEndNoDaemon guards against an answer that names a limit beyond the largest integer, and after which a daemon's share is negative.
func TestHugeLimitsEndNoDaemon(t *testing.T) {
	for _, perSecond := range []float64{1e9, 1 << 40, 1e18, 9.3e18, 1e19, 1e300, math.MaxFloat64, math.Inf(1)} {
		l := Limits{PerSecond: perSecond, Burst: perSecond, Window: time.Second}
		for _, daemons := range []int{1, 2, 3, 600} {
			senders, share := l.Shares(daemons)
			if senders < 1 || share.Requests < 1 || share.Requests > math.MaxInt32 || share.Window <= 0 || share.Gap() < 0 {
				t.Errorf("%g per second, %d daemons: %d senders, %+v", perSecond, daemons, senders, share)
				continue
			}
			var p Pacer
			now := time.Now()
			for range 2 * maxRecordedSends {
				now = now.Add(time.Millisecond)
				if !p.Ready(now, share) {
					t.Errorf("%g per second, %d daemons: no request after %s", perSecond, daemons, time.Millisecond)
				}
				p.RecordSent(now)
			}
		}
	}
}
