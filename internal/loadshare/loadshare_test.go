package loadshare

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/weights"
)

type node struct {
	*Reporter
	set               *replicas.Set
	receivedRevisions chan []uint64
	receivedDeaths    chan poison.Report
	peers             []netip.AddrPort
}

func start(t *testing.T, id request.DaemonID) *node {
	t.Helper()
	n := &node{set: replicas.NewSet(), receivedRevisions: make(chan []uint64, 100), receivedDeaths: make(chan poison.Report, 1)}
	n.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: "r", Service: "s", Address: "127.0.0.1:1"}}})
	reporter, err := New(Options{
		Self: id, Address: "127.0.0.1:0", Set: n.set,
		Peers: func() []netip.AddrPort { return n.peers }, Others: func() []netip.AddrPort { return nil },
		Revisions:   func() []uint64 { return []uint64{7} },
		OnRevisions: func(_ string, r []uint64) { n.receivedRevisions <- r },
		OnDeath:     func(report poison.Report) { n.receivedDeaths <- report },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Reporter = reporter
	reporter.Placer = &placer.PromptPlacer{Eligibility: placer.Eligibility{Set: n.set}, Assigned: func(routing.ServiceID) []*replicas.Replica { return nil }, CacheSalt: func(request.Model, uint64, *routing.Org) string { return "salt" }}
	return n
}

// Two daemons must not place their requests at one replica as if it were idle. Each must soon see the
// other's work, and its end.
func TestPeersSeeEachOthersWork(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.peers = []netip.AddrPort{netip.MustParseAddrPort(b.conn.LocalAddr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, n := range []*node{a, b} {
		go func() {
			_ = n.Run(ctx) // ends with ctx
			done <- struct{}{}
		}()
	}
	defer func() {
		cancel()
		<-done
		<-done
	}()
	seen := func() replicas.Work { return b.set.Get("r").Load.Total(time.Now()) }
	await := func(what string, is func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: %+v", what, seen())
			}
		}
	}
	flight := a.set.Get("r").Load.BeginWork(replicas.Work{Requests: 1, Tokens: 100, Prefill: 60, LongTokens: 100, Streams: 1})
	await("the work shows", func() bool {
		return seen() == replicas.Work{Requests: 1, Tokens: 100, Prefill: 60, LongTokens: 100, Streams: 1}
	})
	flight.End()
	await("its end shows", func() bool { return seen() == replicas.Work{} })

	a.AnnounceState(weights.State{Replica: "r", BusyFor: time.Minute, Model: "m", WeightsVersion: 3})
	await("the replica is busy", func() bool { return b.set.Get("r").Busy(time.Now()) && b.set.Get("r").WeightsVersion("m") == 3 })
	a.AnnounceState(weights.State{Replica: "r"})
	await("the replica takes requests", func() bool { return !b.set.Get("r").Busy(time.Now()) })
	a.set.Get("r").UpdateLimit(time.Now(), 2.5)
	a.ReportLimit(a.set.Get("r"))
	await("the limit", func() bool { limit, _ := b.set.Get("r").Limit(); return limit == 2.5 })
	a.set.Get("r").UpdateLimit(time.Now(), 0)
	a.ReportLimit(a.set.Get("r"))
	await("its end", func() bool { limit, _ := b.set.Get("r").Limit(); return limit == 0 })
	a.ReportLeaving(a.set.Get("r"))
	await("the replica is leaving", b.set.Get("r").Leaving)
	a.ReportRefusing(a.set.Get("r"))
	await("a replica that refused the peer is avoided", func() bool { return b.set.Get("r").Busy(time.Now()) })
	at, trait := time.Now(), poison.NewTrait(poison.KindPart, 5, []byte("part"))
	a.ReportDeath(poison.Report{Death: "r@1", Org: 5, At: at, Accused: []poison.Accused{{Trait: trait, Sent: at.Add(-time.Second)}}})
	got := <-b.receivedDeaths
	if got.Death != "r@1" || got.Org != 5 || len(got.Accused) != 1 || got.Accused[0].Trait != trait || got.At.Sub(got.Accused[0].Sent) != time.Second {
		t.Errorf("received %+v", got)
	}
	if d := got.At.Sub(at).Abs(); d > time.Second {
		t.Errorf("the time of the death differs by %s", d)
	}
	a.ReportUnreachable(a.set.Get("r")) // no process listens at its address
	await("the peer avoids the replica", func() bool { return b.set.Get("r").Health.BackingOff(time.Now()) })
	if r := <-b.receivedRevisions; len(r) != 1 || r[0] != 7 {
		t.Errorf("received revisions %v", r)
	}
}

// Reports about unknown replicas change nothing.
func TestUnknownReplicasInReportAreIgnored(t *testing.T) {
	n := start(t, "a")
	defer n.conn.Close()
	n.apply(context.Background(), time.Now(), &Report{From: "x", Unreachable: []uint64{3}, Work: []*Work{{Replica: 1, Requests: 5}}, Placed: []*Placed{{Replica: 1, Parts: []uint64{1}}}, States: []*State{{Replica: 2, BusyMs: 9}}})
	if got := n.set.Get("r").Load.Total(time.Now()); got != (replicas.Work{}) {
		t.Errorf("got %+v", got)
	}
}

// TestNumbersOfPeersThatCannotBeAreIgnored guards against a report after which a sound replica gets no requests, or any number of them, for weeks.
func TestNumbersOfPeersThatCannotBeAreIgnored(t *testing.T) {
	const most, least = math.MaxInt32, math.MinInt32
	for name, odd := range map[string]*Report{
		"busy for weeks":       {States: []*State{{BusyMs: most}}},
		"busy for less than 0": {States: []*State{{BusyMs: least, Model: "m", Weights: 4}}},
		"weights":              {States: []*State{{Model: "m", Weights: math.MaxUint64}, {Model: "m", Weights: bounds.MaxNumber + 1}}},
		"model":                {States: []*State{{Model: strings.Repeat("m", 5000), Weights: 4}}},
		"negative work":        {Work: []*Work{{Requests: least}}},
		"negative tokens":      {Work: []*Work{{Tokens: least, Prefill: -1, Long: least, Streams: -1}}},
		"most work":            {Work: []*Work{{Requests: most}}},
		"most tokens":          {Work: []*Work{{Requests: 1, Tokens: most, Prefill: most, Long: most}}},
		"infinite limit":       {Limits: []*Limit{{PerSecond: math.Inf(1)}}},
		"no number as limit":   {Limits: []*Limit{{PerSecond: math.NaN()}}},
		"negative limit":       {Limits: []*Limit{{PerSecond: -1}}},
		"huge limit":           {Limits: []*Limit{{PerSecond: math.MaxFloat64}}},
	} {
		t.Run(name, func(t *testing.T) {
			n := start(t, "a")
			defer n.conn.Close()
			r, now := n.set.Get("r"), time.Now()
			for _, m := range odd.States {
				m.Replica = r.Hash()
			}
			for _, m := range odd.Work {
				m.Replica = r.Hash()
			}
			for _, m := range odd.Limits {
				m.Replica = r.Hash()
			}
			odd.From = "x"
			n.apply(t.Context(), now, odd)
			if limit, _ := r.Limit(); limit != 0 || r.Busy(now) || r.Load.Total(now) != (replicas.Work{}) || r.WeightsVersion("m") != 0 {
				t.Errorf("limit %g, busy %t, work %+v, weights %d", limit, r.Busy(now), r.Load.Total(now), r.WeightsVersion("m"))
			}
			n.apply(t.Context(), now.Add(time.Millisecond), &Report{
				From: "x", States: []*State{{Replica: r.Hash(), BusyMs: 9000, Model: "m", Weights: 4}}, Work: []*Work{{Replica: r.Hash(), Requests: 5}},
				Limits: []*Limit{{Replica: r.Hash(), PerSecond: 2.5, AgeMs: 10}},
			})
			if limit, _ := r.Limit(); limit != 2.5 || !r.Busy(now) || r.Load.Total(now).Requests != 5 || r.WeightsVersion("m") != 4 {
				t.Errorf("a sound report after it: limit %g, busy %t, work %+v, weights %d", limit, r.Busy(now), r.Load.Total(now), r.WeightsVersion("m"))
			}
		})
	}
}

// TestLimitOfTheFutureEnds guards against a limit that a peer dates from weeks ahead, and that no later report can end.
func TestLimitOfTheFutureEnds(t *testing.T) {
	n := start(t, "a")
	defer n.conn.Close()
	r, now := n.set.Get("r"), time.Now()
	n.apply(t.Context(), now, &Report{From: "x", Limits: []*Limit{{Replica: r.Hash(), PerSecond: 0.1, AgeMs: math.MinInt32}}})
	n.apply(t.Context(), now.Add(time.Second), &Report{From: "y", Limits: []*Limit{{Replica: r.Hash()}}})
	if limit, _ := r.Limit(); limit != 0 {
		t.Errorf("the limit %g has not ended", limit)
	}
}

// TestSumsOfWorkFitReports guards against work that peers take for less than none, because the largest prompts that callers may name add up to more
// than a report holds.
func TestSumsOfWorkFitReports(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	for range 30 {
		a.set.Get("r").Load.BeginWork(replicas.Work{Requests: 1, Tokens: 100_000_000, Prefill: 100_000_000, LongTokens: 100_000_000})
	}
	now := time.Now()
	b.apply(t.Context(), now, a.nextReport(now))
	if w := b.set.Get("r").Load.Total(now); w.Requests != 30 || w.Tokens < 1_000_000_000 || w.Prefill < 1_000_000_000 || w.LongTokens < 1_000_000_000 {
		t.Errorf("the peer sees %+v", w)
	}
}

// A peer reports load, weights and refusals of a replica that has crashed meanwhile and restarted under
// its id. The delayed report is of the dead process and must be ignored.
func TestReportOfEarlierStartIsIgnored(t *testing.T) {
	n := start(t, "a")
	defer n.conn.Close()
	before := n.set.Get("r")
	n.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: "r", Service: "s", Address: "127.0.0.1:1", Started: 5}}})
	old := before.Hash()
	n.apply(context.Background(), time.Now(), &Report{
		From: "x", Unreachable: []uint64{old}, Refusing: []uint64{old},
		Work: []*Work{{Replica: old, Requests: 5}}, States: []*State{{Replica: old, BusyMs: 9000, Model: "m", Weights: 4}},
	})
	r, now := n.set.Get("r"), time.Now()
	if r.Load.Total(now) != (replicas.Work{}) || r.Busy(now) || r.Health.BackingOff(now) || r.WeightsVersion("m") != 0 {
		t.Errorf("assumed of the new incarnation: load %+v, busy %t, weights %d", r.Load.Total(now), r.Busy(now), r.WeightsVersion("m"))
	}
}

// Datagrams carry only changes. If the one that reports an end is lost, the replica would look busy
// forever: the next full report must correct this, and must not drop unchanged work.
func TestLostChangeIsRepairedByFullReport(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	begun := time.Now()
	deliver := func(after time.Duration, lost bool) *Report {
		now := begun.Add(after)
		r := a.nextReport(now)
		if r != nil && !lost {
			b.apply(context.Background(), now, r)
			<-b.receivedRevisions
		}
		return r
	}
	flight := a.set.Get("r").Load.Begin(100, 60)
	deliver(fullReportInterval, false)
	seen := func(after time.Duration) int { return b.set.Get("r").Load.Total(begun.Add(after)).Requests }
	if seen(fullReportInterval) != 1 {
		t.Fatal("the request is not seen")
	}
	a.set.Get("r").Load.Begin(50, 0)
	if r := deliver(fullReportInterval+reportInterval, true); r == nil || !r.ChangesOnly || len(r.Work) != 1 {
		t.Fatalf("reported %+v", r)
	}
	deliver(2*fullReportInterval, false)
	if seen(2*fullReportInterval) != 2 {
		t.Errorf("%d requests after a full report", seen(2*fullReportInterval))
	}
	flight.End()
	if r := a.nextReport(begun.Add(2*fullReportInterval + reportInterval)); r == nil || len(r.Work) != 1 || r.Revisions != nil {
		t.Errorf("reported %+v", r)
	}
}

// A fleet that starts has one group of all daemons. Peers that another daemon informs must get no reports of
// changes in the key-value service, of which there is one for each daemon that starts.
func TestOnlyInformedDaemonsGetRevisions(t *testing.T) {
	a, informed, other := start(t, "a"), start(t, "informed"), start(t, "other")
	address := func(n *node) netip.AddrPort { return netip.MustParseAddrPort(n.conn.LocalAddr().String()) }
	a.peers = []netip.AddrPort{address(informed), address(other)}
	a.o.Informs = func() []netip.AddrPort { return a.peers[:1] }
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for _, n := range []*node{a, informed, other} {
		done.Go(func() { _ = n.Run(ctx) }) // ends with ctx
	}
	defer func() { cancel(); done.Wait() }()
	a.set.Get("r").Load.Begin(100, 0)
	for deadline := time.Now().Add(5 * time.Second); other.set.Get("r").Load.Total(time.Now()).Requests != 1; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a peer does not see the work")
		}
	}
	<-informed.receivedRevisions
	select {
	case <-other.receivedRevisions:
		t.Error("a peer that is not informed got revisions")
	default:
	}
}

// An idle daemon of a large fleet wakes up sixteen times a second to find that it has nothing to report. It must
// wake up for the full reports alone.
func TestIdleDaemonReportsSeldom(t *testing.T) {
	a := start(t, "a")
	looked := make(chan struct{}, 100)
	a.o.Failing = func() bool { looked <- struct{}{}; return false }
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = a.Run(ctx) }) // ends with ctx
	defer func() { cancel(); done.Wait() }()
	begun := time.Now()
	for range 3 {
		<-looked
	}
	if took := time.Since(begun); took < 2*fullReportInterval {
		t.Errorf("three reports of an idle daemon within %s", took)
	}
}

// A daemon that wakes up seldom must not report new work late.
func TestNewWorkMakesReportDue(t *testing.T) {
	a := start(t, "a")
	a.set.OnOwnWork(a.Wake)
	flight := a.set.Get("r").Load.Begin(100, 50)
	for _, change := range []func(){func() {}, flight.Computed, flight.End} {
		change()
		select {
		case <-a.news:
		default:
			t.Error("a change of the work does not make a report due")
		}
	}
}

// TestAgeOfAnswersIsReported guards against a report that a daemon watches the key-value service without saying as of
// when, and against peers that hear of a newer answer only with the next full report.
func TestAgeOfAnswersIsReported(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	begun := time.Now()
	answered, relayed := begun.Add(-700*time.Millisecond), begun.Add(-900*time.Millisecond)
	now := begun
	a.o.Watches = func() (time.Duration, bool) { return now.Sub(answered), true }
	a.o.Relays = func() (time.Duration, bool) { return now.Sub(relayed), true }
	var watcherAge, relayAge time.Duration
	b.o.OnWatcher = func(age time.Duration) { watcherAge = age }
	b.o.OnRelay = func(age time.Duration) { relayAge = age }
	first := a.nextReport(now)
	b.apply(t.Context(), now, first)
	if watcherAge != 700*time.Millisecond || relayAge != 900*time.Millisecond {
		t.Errorf("ages %s and %s", watcherAge, relayAge)
	}
	now = begun.Add(reportInterval)
	answered = answered.Add(answerStep - time.Millisecond)
	if r := a.nextReport(now); r != nil {
		t.Errorf("an answer that is hardly newer is reported: %+v", r)
	}
	now = begun.Add(2 * reportInterval)
	answered = now
	if r := a.nextReport(now); r == nil || r.WatchesAgeMs != 0 || !r.Watches {
		t.Errorf("reported %+v", r)
	}
}
