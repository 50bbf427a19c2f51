package quota

import (
	"fmt"
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

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("vm", i)
	}
	return out
}

// Daemons that agree choose as many senders as they mean to, and not the same for each replica.
func TestSendersAreSpread(t *testing.T) {
	group := names(8)
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

// sender is one daemon of a simulated fleet before one cold replica.
type sender struct {
	name   string
	view   []string      // the daemons that it knows of
	ahead  time.Duration // of its clock
	frozen [2]time.Duration
	share  Share
	pace   Pacer
}

const replica = 7

var start = time.Unix(1_800_000_000, 0)

// take sends a request if a share leaves room for it.
func take(p *Pacer, now time.Time, s Share) bool {
	if !p.Ready(now, s) {
		return false
	}
	p.RecordSent(now)
	return true
}

// press lets each daemon send whenever it may, for some seconds, and returns when requests arrived.
func press(rt *rapid.T, l Limits, daemons []*sender, lasts time.Duration) []time.Duration {
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
			if at >= d.frozen[0] && at < d.frozen[1] {
				continue
			}
			if take(&d.pace, start.Add(d.ahead+at), d.share) {
				arrivals = append(arrivals, at)
			}
		}
	}
	return arrivals
}

// worst returns the most arrivals in any window.
func worst(window time.Duration, arrivals []time.Duration) int {
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

// named returns what a replica bears that named a rate limit.
func named(perSecond float64) Limits {
	return Limits{PerSecond: perSecond, Burst: 1.5*4*perSecond + 5, Window: 4 * time.Second}
}

// drawNamed draws what a replica bears that named a limit.
func drawNamed(rt *rapid.T) Limits {
	return named(rapid.Float64Range(0.1, 30).Draw(rt, "per_second"))
}

func drawFleet(rt *rapid.T) []*sender {
	n := rapid.SampledFrom([]int{1, 2, 3, 8, 15, 66, 390}).Draw(rt, "daemons")
	all := names(n)
	daemons := make([]*sender, n)
	for i := range daemons {
		daemons[i] = &sender{name: all[i], view: all, ahead: time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "ahead_ms")) * time.Millisecond}
	}
	return daemons
}

// cutInTwo cuts off some daemons, which go on by their lists, while the others leave them out of theirs.
func cutInTwo(rt *rapid.T, daemons []*sender) {
	cut := rapid.IntRange(0, len(daemons)).Draw(rt, "cut")
	var reached []string
	for _, d := range daemons[cut:] {
		reached = append(reached, d.name)
	}
	for _, d := range daemons[cut:] {
		d.view = reached
	}
}

// A replica crashes if it gets more than Burst in a second, with all that run there. All daemons
// press as they can, with clocks that differ.
func TestNeverAboveTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := drawLimits(rt)
		if got := worst(time.Second, press(rt, l, drawFleet(rt), 4*time.Second)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in a second, %v allowed", got, l)
		}
	})
}

// A part of the daemons is cut off and goes by the list from before, while the others have left
// them out of theirs; both send to the replica.
func TestNeverAboveTheBoundWhileCutInTwo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, daemons := drawLimits(rt), drawFleet(rt)
		cutInTwo(rt, daemons)
		if got := worst(time.Second, press(rt, l, daemons, 4*time.Second)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in a second, %v allowed", got, l)
		}
	})
}

// A daemon stands still and wakes: what it was not allowed meanwhile must not come at once.
func TestNeverAboveTheBoundAfterAFreeze(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, daemons := drawLimits(rt), drawFleet(rt)
		for _, d := range daemons {
			if rapid.Bool().Draw(rt, "freezes") {
				d.frozen = [2]time.Duration{time.Second, 3 * time.Second}
			}
		}
		if got := worst(time.Second, press(rt, l, daemons, 5*time.Second)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in a second, %v allowed", got, l)
		}
	})
}

// Each daemon counting for itself alone, as if there were no others, crashes the replica.
func TestNaiveLimitOfEachDaemonIsAboveTheBound(t *testing.T) {
	l := ColdStartLimits(10, 20)
	arrivals := 0
	for range names(8) {
		var p Pacer
		for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
			if take(&p, time.Unix(0, 0).Add(at), Share{Requests: int(l.PerSecond), Window: l.Window}) {
				arrivals++
			}
		}
	}
	if float64(arrivals) <= l.Burst {
		t.Errorf("only %d requests", arrivals)
	}
}

// A fleet uses most of what a cold replica bears: callers must not be refused or crowd the few
// warm replicas while a third of them starts.
func TestMostOfTheRateIsUsed(t *testing.T) {
	l := ColdStartLimits(9.8, 9.8*1.5+5)
	for _, daemons := range []int{3, 8, 66, 390} {
		senders, each := l.Shares(daemons)
		if rate := float64(senders) / each.Gap().Seconds(); rate < 0.75*l.PerSecond {
			t.Errorf("%d daemons send %.1f a second", daemons, rate)
		}
	}
}

// The order of a list must not matter: each daemon may know the others in another one.
func TestSendersDoNotDependOnOrder(t *testing.T) {
	group := names(9)
	turned := slices.Clone(group)
	slices.Reverse(turned)
	for r := range uint64(50) {
		for _, daemon := range group {
			if IsSender(daemon, group, r, 3) != IsSender(daemon, turned, r, 3) {
				t.Fatalf("replica %d, %s", r, daemon)
			}
		}
	}
}

// An overloaded replica fails if it gets more than it named. All daemons press as they can, of which some
// are cut off and go by an older list, and some stand still and wake; each had sent what it liked
// before it heard of the limit.
func TestNeverAboveANamedLimit(t *testing.T) {
	const heard = 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		l, daemons := drawNamed(rt), drawFleet(rt)
		cutInTwo(rt, daemons)
		for _, d := range daemons {
			if rapid.Bool().Draw(rt, "freezes") {
				d.frozen = [2]time.Duration{5 * time.Second, 9 * time.Second}
			}
			for n := range rapid.IntRange(0, 5).Draw(rt, "before") {
				d.pace.RecordSent(start.Add(d.ahead - time.Duration(6-n)*heard/6))
			}
		}
		if got := worst(l.Window, press(rt, l, daemons, 3*l.Window)); float64(got) > l.Burst {
			rt.Fatalf("%d requests in %s, %v allowed", got, l.Window, l)
		}
	})
}

// A replica is busy when it names its limit: what a daemon sent before counts in its share of the
// window that runs, so that the replica gets its rest at once.
func TestWhatWentBeforeCounts(t *testing.T) {
	share := Share{Requests: 2, Window: 4 * time.Second}
	var p Pacer
	for n := range 10 {
		p.RecordSent(start.Add(time.Duration(n) * 100 * time.Millisecond))
	}
	last := start.Add(900 * time.Millisecond)
	if p.Ready(last.Add(share.Gap()), share) {
		t.Error("ready after one gap")
	}
	if !p.Ready(last.Add(4*time.Second-100*time.Millisecond), share) {
		t.Error("not ready when the last but one has left the window")
	}
}

// A named limit is used: with fewer than half of it sent, callers are refused for nothing, and with
// few senders most daemons could not serve a service of which all replicas are overloaded.
func TestNamedLimitIsUsedByManyDaemons(t *testing.T) {
	for _, perSecond := range []float64{1, 4.2, 20, 100} {
		l := named(perSecond)
		for _, daemons := range []int{8, 15, 66, 390} {
			senders, each := l.Shares(daemons)
			if rate := float64(senders) / each.Gap().Seconds(); rate < 0.5*perSecond {
				t.Errorf("%v a second: %d daemons send %.1f", perSecond, daemons, rate)
			}
			if could := min(float64(daemons), 2*perSecond); float64(senders) < 0.75*could {
				t.Errorf("%v a second: %d of %d daemons send", perSecond, senders, daemons)
			}
		}
	}
}
