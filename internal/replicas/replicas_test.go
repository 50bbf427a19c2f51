package replicas

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

func info(id string) Info {
	return Info{ID: request.TargetID(id), Service: "s", Address: "127.0.0.1:1", Weights: map[request.Model]uint64{"m": 1}}
}

func count(s *Set) int { return len(s.ByService("s")) }

// A replica's entry expires in an outage of the key-value service, while the replica is alive. Removing
// it at once would remove all replicas in every outage.
func TestExpiredReplicaHasGracePeriod(t *testing.T) {
	s := NewSet()
	now := time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: []Info{info("a"), info("b")}})
	s.Apply(now, Change{Full: true, MayHaveExpired: true})
	if count(s) != 2 {
		t.Fatal("expired replicas were removed at once")
	}
	s.Apply(now, Change{Present: []Info{info("b")}, MayHaveExpired: true}) // its entry was written again
	s.Tick(now.Add(expiryGrace + time.Millisecond))
	if count(s) != 1 || s.Get("b") == nil {
		t.Error("want only the replica whose entry was written again")
	}
}

// A leaving replica gets no new requests, but is still known.
func TestLeavingReplicaIsNotInView(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}})
	leaving := info("a")
	leaving.Leaving = true
	s.Apply(time.Unix(0, 0), Change{Present: []Info{leaving}})
	if count(s) != 0 || s.Get("a") == nil {
		t.Error("a leaving replica is used, or was removed")
	}
	s.Apply(time.Unix(0, 0), Change{Removed: []request.TargetID{"a"}})
	if s.Get("a") != nil {
		t.Error("a removed replica is still known")
	}
}

// The registry reports new weights later than the replica's own answers. Versions never decrease.
func TestWeightsNeverGoBack(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}})
	r := s.Get("a")
	r.ObserveWeights("m", 3)
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}}) // the registry still has version 1
	r.ObserveWeights("m", 2)
	if got := r.WeightsVersion("m"); got != 3 {
		t.Errorf("version %d", got)
	}
}

func TestLoadCountsPeersWhileTheyReport(t *testing.T) {
	var l Load
	now := time.Unix(1000, 0)
	f := l.Begin(100, 60)
	l.SetPeer(now, "peer", Work{Requests: 2, Tokens: 50, Prefill: 10})
	if got := l.Total(now); got != (Work{Requests: 3, Tokens: 150, Prefill: 70}) {
		t.Errorf("total %+v", got)
	}
	f.Computed()
	f.Computed()
	if got := l.Own(); got != (Work{Requests: 1, Tokens: 100}) {
		t.Errorf("own %+v", got)
	}
	f.End()
	f.End()
	if got := l.Total(now.Add(2 * peerLoadTTL)); got != (Work{}) {
		t.Errorf("total %+v after the peer stopped reporting", got)
	}
}

// A replica that does not answer is avoided, and then tried by one request at a time. A caller that
// cancels this request reveals nothing about the replica.
func TestUnreachableReplicaBacksOff(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.RecordFailure(now)
	if h.BackingOff(now) {
		t.Error("backs off after one failure, which may be a closed connection")
	}
	h.RecordFailure(now)
	if !h.BackingOff(now) {
		t.Error("is used after two failures")
	}
	now = now.Add(minBackoff)
	if h.BackingOff(now) {
		t.Fatal("is never tried again")
	}
	h.BeginAttempt()
	if !h.BackingOff(now) {
		t.Error("is tried by two requests at once")
	}
	h.RecordAbandoned()
	if h.BackingOff(now) {
		t.Error("backs off forever after an abandoned trial")
	}
	h.RecordAnswer(false)
	if h.BackingOff(now) {
		t.Error("backs off after an answer")
	}
}

// The error rate of a replica that fails half of its requests must show this within a second, and a
// single failure of a new replica must not count as its rate.
func TestErrorRateFollowsAnswers(t *testing.T) {
	var h Health
	h.RecordAnswer(true)
	if got := h.ErrorRate(); got > 0.3 {
		t.Errorf("rate %g after one answer", got)
	}
	for i := range 30 {
		h.RecordAnswer(i%2 == 0)
	}
	if got := h.ErrorRate(); got < 0.3 || got > 0.7 {
		t.Errorf("rate %g at half failures", got)
	}
	for range 40 {
		h.RecordAnswer(false)
	}
	if got := h.ErrorRate(); got > 0.05 {
		t.Errorf("rate %g long after the failures", got)
	}
}

// A quarter of the replicas is unreachable for seconds. Without probes each daemon would repeatedly
// use a caller's request to find out that a replica is still down, and wait for a connection that never
// opens. Only a successful probe may end the backoff.
func TestDownReplicaGetsProbesAndNoRequests(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	if !h.RecordDown(now) || h.RecordDown(now) {
		t.Error("want one change for two reports")
	}
	for range 5 {
		now = now.Add(maxBackoff)
		if !h.BackingOff(now) {
			t.Fatal("a replica that is down gets requests")
		}
		if !h.ProbeDue(now) || h.ProbeDue(now) {
			t.Fatal("want one probe after the backoff")
		}
		h.RecordProbe(now, false)
		if h.ProbeDue(now) {
			t.Fatal("probed without a backoff")
		}
	}
	now = now.Add(maxBackoff)
	h.RecordProbe(now, true)
	if h.BackingOff(now) {
		t.Error("a replica that accepts connections gets no requests")
	}
}

// A partitioned daemon reports all replicas as unreachable. Its peers probe the replicas themselves, and
// continue to use those that answer.
func TestPeerReportOfDownReplicaIsVerified(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := NewSet()
	checked := make(chan struct{}) // probes wait until it is closed
	s.WrapDial(func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			<-checked
			return dial(ctx, network, address)
		}
	})
	alive := info("alive")
	alive.Address = l.Addr().String()
	s.Apply(time.Now(), Change{Present: []Info{alive, info("dead")}})
	for _, r := range s.NotLeaving() {
		r.Suspect(context.Background())
		if !r.Health.BackingOff(time.Now()) {
			t.Errorf("%s is used before it was probed", r.Info().ID)
		}
	}
	close(checked)
	for deadline := time.Now().Add(5 * time.Second); s.Get("alive").Health.BackingOff(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the replica that answers is not used again")
		}
	}
	for deadline := time.Now().Add(5 * time.Second); !s.Get("dead").Health.ProbeDue(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the dead replica is not probed again")
		}
	}
	if !s.Get("dead").Health.BackingOff(time.Now()) {
		t.Error("the dead replica is used")
	}
}

// TestCancelledProbeIsNoDeath guards against a sound replica that counts as down because who asked did not wait for its probe.
func TestCancelledProbeIsNoDeath(t *testing.T) {
	s := NewSet()
	dialing := make(chan struct{}, 1)
	sound := false
	s.WrapDial(func(upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, _, _ string) (net.Conn, error) {
			if sound {
				here, there := net.Pipe()
				return here, there.Close()
			}
			dialing <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	s.Apply(time.Now(), Change{Present: []Info{info("alive")}})
	r := s.Get("alive")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialing
		cancel()
	}()
	if !r.IsDown(ctx, time.Time{}) {
		t.Error("a replica counts as reached although its probe was cancelled")
	}
	if r.Health.Down() {
		t.Error("a cancelled probe is recorded as a death")
	}
	sound = true
	if r.IsDown(t.Context(), time.Time{}) {
		t.Error("the result of a cancelled probe is used for others")
	}
}

// A replica gets an order to load weights and first waits for long outputs to end. It looks idle
// meanwhile but refuses all requests. Before daemons shared refusals, one such replica refused 22
// requests in 0.4 s. One refusal must suffice for all daemons, and must not shorten the longer busy time
// that the holder of the weights lease reported.
func TestRefusingReplicaIsAvoided(t *testing.T) {
	s := NewSet()
	var reported []request.TargetID
	s.OnRefused(func(r *Replica) { reported = append(reported, r.Info().ID) })
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Unix(1000, 0)
	r.RecordRefusal(now)
	if len(reported) != 1 || !r.Busy(now) || r.Busy(now.Add(refusalBackoff)) {
		t.Errorf("reported %v, busy %t, after the backoff %t", reported, r.Busy(now), r.Busy(now.Add(refusalBackoff)))
	}
	r.SetBusy(now.Add(time.Minute))
	r.RecordRefusal(now)
	if !r.Busy(now.Add(30 * time.Second)) {
		t.Error("a refusal shortened a longer busy time")
	}
	r.SetBusy(time.Time{}) // it serves its new weights
	if r.Busy(now) {
		t.Error("the replica is still avoided")
	}
}

func started(id string, at int64) Info {
	i := info(id)
	i.Started = at
	return i
}

// A replica crashes and restarts under its id before its entry expires. All assumed state, such as that it
// loads weights or runs certain requests, was of the dead process. Holders of the old Replica must not
// affect the new one.
func TestRestartUnderSameIDIsAnotherReplica(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: []Info{started("a", 500)}})
	before := s.Get("a")
	before.ObserveWeights("m", 7)
	before.SetBusy(now.Add(time.Minute))
	flight := before.Load.Begin(100, 50)
	before.Health.RecordDown(now)
	s.Apply(now, Change{Present: []Info{started("a", 400)}}) // its clock was set back
	after := s.Get("a")
	if after == before || after.Hash() == before.Hash() || s.ByHash(before.Hash()) != nil {
		t.Fatal("the new incarnation is taken for the old one")
	}
	if after.WeightsVersion("m") != 1 || after.Busy(now) || after.Load.Total(now).Requests != 0 || after.Health.BackingOff(now) {
		t.Errorf("assumed of the new incarnation: weights %d, busy %t, load %+v", after.WeightsVersion("m"), after.Busy(now), after.Load.Total(now))
	}
	flight.End()
	if got := after.Load.Total(now); got != (Work{}) {
		t.Errorf("the end of an old request reduced the new incarnation's load: %+v", got)
	}
}

// A copy of the registry from before the crash arrives several times after the new incarnation is known. It
// must not bring back the dead process.
func TestDelayedEntryOfEarlierStartIsIgnored(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	for _, at := range []int64{500, 300, 900} {
		s.Apply(now, Change{Present: []Info{started("a", at)}})
	}
	newest := s.Get("a")
	for _, late := range []int64{500, 300} {
		s.Apply(now, Change{Full: true, Present: []Info{started("a", late)}})
		if s.ObserveStart(newest, late) || s.Get("a") != newest || newest.Info().Started != 900 {
			t.Fatalf("the entry of start %d replaced the newest one", late)
		}
	}
}

// An answer reveals a restart before the replica's entry does.
func TestAnswerRevealsRestartBeforeRegistry(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Present: []Info{started("a", 500)}})
	before := s.Get("a")
	if !s.ObserveStart(before, 500) || !s.ObserveStart(before, 0) || s.Get("a") != before {
		t.Fatal("the same or an unknown start is taken for a new one")
	}
	if s.ObserveStart(before, 600) || s.Get("a") == before {
		t.Fatal("the new incarnation is taken for the old one")
	}
	after := s.Get("a")
	s.Apply(now, Change{Present: []Info{started("a", 600)}})
	if s.Get("a") != after || len(s.ByService("s")) != 1 {
		t.Error("the entry of the known start made another Replica")
	}
}

// Older replicas do not report when they started. Their rewritten entries do not count as a restart.
func TestReplicaWithoutStartTimeIsUnchanged(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Present: []Info{info("a")}})
	r := s.Get("a")
	s.Apply(now, Change{Present: []Info{info("a")}})
	if s.Get("a") != r {
		t.Error("a rewritten entry made another Replica")
	}
}

// Another writer overwrites the entry of a serving replica, and adds one of an unknown service. Neither
// may remove or add a replica.
func TestInvalidEntriesDoNotChangeReplicas(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.SetServices(map[routing.ServiceID]bool{"s": true})
	ghost := info("ghost")
	ghost.Service = "nowhere"
	s.Apply(now, Change{Full: true, Present: []Info{info("a"), ghost}})
	if len(s.NotLeaving()) != 1 || len(s.byHash) != 1 {
		t.Errorf("%d replicas are used", len(s.NotLeaving()))
	}
	r := s.Get("a")
	s.Apply(now, Change{Full: true, Present: []Info{ghost}, Unreadable: []request.TargetID{"a", "b"}})
	if s.Get("a") != r || count(s) != 1 || s.Get("b") != nil {
		t.Error("unreadable entries changed the known replicas")
	}
	s.SetServices(map[routing.ServiceID]bool{"s": true, "nowhere": true})
	if len(s.NotLeaving()) != 2 {
		t.Error("a service that was added later has no replicas")
	}
}

// A replica computed a prompt a moment ago, as this daemon or a peer reports. Its streams paused meanwhile,
// which must show until it is long ago.
func TestRecentPrefillDecays(t *testing.T) {
	s := NewSet()
	now := time.Now()
	s.Apply(now, Change{Present: []Info{{ID: "r", Service: "llm"}}})
	load := &s.Get("r").Load
	load.SetPeer(now, "peer", Work{Requests: 1, Prefill: 8000})
	load.SetPeer(now, "peer", Work{Requests: 1, Prefill: 2000})
	if got := load.RecentPrefill(now); got != 6000 {
		t.Errorf("%d tokens were computed recently, want 6000", got)
	}
	if got := load.RecentPrefill(now.Add(recentPrefillHalfLife)); got != 3000 {
		t.Errorf("%d tokens after the half-life, want 3000", got)
	}
	if got := load.RecentPrefill(now.Add(time.Minute)); got != 0 {
		t.Errorf("%d tokens after a minute", got)
	}
}

// Requests wait for room at a replica whose work ends at a peer; nothing else wakes them.
func TestEndOfWorkIsReported(t *testing.T) {
	s := NewSet()
	reported := 0
	s.OnRoom(func(*Replica) { reported++ })
	now := time.Now()
	s.Apply(now, Change{Present: []Info{{ID: "r", Service: "llm"}}})
	load := &s.Get("r").Load
	load.SetPeer(now, "peer", Work{Requests: 2, Tokens: 100})
	flight := load.Begin(100, 50)
	if reported != 0 {
		t.Errorf("%d reports of room as work began", reported)
	}
	load.SetPeer(now, "peer", Work{Requests: 1, Tokens: 100})
	flight.Computed()
	flight.End()
	if reported != 3 {
		t.Errorf("%d reports of room, want 3", reported)
	}
}

// A request is refused or cancelled before its prompt is computed. Its replica must not count as having computed it.
func TestUncomputedPromptIsNotRecent(t *testing.T) {
	s := NewSet()
	s.Apply(time.Now(), Change{Present: []Info{{ID: "r", Service: "llm"}}})
	load := &s.Get("r").Load
	load.Begin(1000, 9000).End()
	if got := load.RecentPrefill(time.Now()); got != 0 {
		t.Errorf("%d tokens count as computed", got)
	}
}

// TestVersionChangeIsNewIncarnation guards against a replica whose software changes under its id keeping the load and caches that are assumed of the old process, and streams of the old one being taken for the new one's.
func TestVersionChangeIsNewIncarnation(t *testing.T) {
	s := NewSet()
	var changes []string
	s.OnSoftware(func(_ routing.ServiceID, version string, present bool) {
		changes = append(changes, fmt.Sprint(version, present))
	})
	old := info("a")
	old.Software = "v1"
	s.Apply(time.Unix(0, 0), Change{Present: []Info{old, old}})
	before := s.Get("a")
	next := old
	next.Software = "v2"
	s.Apply(time.Unix(0, 0), Change{Present: []Info{next}})
	after := s.Get("a")
	if after == before || after.Info().Software != "v2" || before.Info().Software != "v1" || count(s) != 1 || s.ByHash(after.Hash()) != after {
		t.Errorf("%+v after %+v", after.Info(), before.Info())
	}
	s.Apply(time.Unix(0, 0), Change{Removed: []request.TargetID{"a"}})
	if want := []string{"v1true", "v1false", "v2true", "v2false"}; !slices.Equal(changes, want) {
		t.Errorf("versions: %v, want %v", changes, want)
	}
}

// TestVersionOfLeavingReplicaCounts guards against a version that counts as gone while a leaving replica still runs its streams.
func TestVersionOfLeavingReplicaCounts(t *testing.T) {
	s := NewSet()
	present := 0
	s.OnSoftware(func(_ routing.ServiceID, _ string, appears bool) {
		present--
		if appears {
			present += 2
		}
	})
	entry := info("a")
	s.Apply(time.Unix(0, 0), Change{Present: []Info{entry}})
	entry.Leaving = true
	s.Apply(time.Unix(0, 0), Change{Present: []Info{entry}})
	if present != 1 {
		t.Errorf("%d versions are present", present)
	}
	s.Apply(time.Unix(0, 0), Change{Full: true})
	if present != 0 {
		t.Errorf("%d versions are present after the replica was removed", present)
	}
}
