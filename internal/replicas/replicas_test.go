package replicas

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

func info(id string) Info {
	return Info{ID: request.TargetID(id), Service: "s", Address: "127.0.0.1:1", Weights: map[request.Model]uint64{"m": 1}}
}

func count(s *Set) int { return len(s.OfService("s")) }

// A replica's entry lapses while the key-value service is away, with the replica alive and
// answering. Dropping it would take all replicas away at once.
func TestLapsedReplicaIsUsedForAWhile(t *testing.T) {
	s := NewSet()
	now := time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: []Info{info("a"), info("b")}})
	s.Apply(now, Change{Full: true, MayHaveExpired: true})
	if count(s) != 2 {
		t.Fatal("lapsed replicas are gone")
	}
	s.Apply(now, Change{Present: []Info{info("b")}, MayHaveExpired: true}) // it wrote its entry again
	s.Tick(now.Add(lapseGrace + time.Millisecond))
	if count(s) != 1 || s.Get("b") == nil {
		t.Error("want the one that came back")
	}
}

// A replica that says that it leaves gets no new requests, and is still known.
func TestLeavingReplicaGetsNothingNew(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}})
	leaving := info("a")
	leaving.Leaving = true
	s.Apply(time.Unix(0, 0), Change{Present: []Info{leaving}})
	if count(s) != 0 || s.Get("a") == nil {
		t.Error("a leaving replica is used, or forgotten")
	}
	s.Apply(time.Unix(0, 0), Change{Removed: []request.TargetID{"a"}})
	if s.Get("a") != nil {
		t.Error("a gone replica is known")
	}
}

// The registry tells of new weights later than the replica's own answers; versions never
// go back.
func TestWeightsNeverGoBack(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}})
	r := s.Get("a")
	r.ObserveWeights("m", 3)
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}}) // still says 1
	r.ObserveWeights("m", 2)
	if got := r.Weights("m"); got != 3 {
		t.Errorf("version %d", got)
	}
}

func TestLoadCountsPeersWhileTheyTell(t *testing.T) {
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
	if got := l.Total(now.Add(2 * peerLoadAge)); got != (Work{}) {
		t.Errorf("total %+v after the peer fell silent", got)
	}
}

// A replica that does not answer is left alone, and then tried by one request at a time.
// A caller who leaves in that trial says nothing about the replica.
func TestUnreachableReplicaRests(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.RecordFailure(now)
	if h.BackingOff(now) {
		t.Error("rests after one failure, which may be a closed connection")
	}
	h.RecordFailure(now)
	if !h.BackingOff(now) {
		t.Error("is used after two failures")
	}
	now = now.Add(firstRest)
	if h.BackingOff(now) {
		t.Fatal("is never tried again")
	}
	h.BeginAttempt()
	if !h.BackingOff(now) {
		t.Error("is tried by two at once")
	}
	h.RecordAbandoned()
	if h.BackingOff(now) {
		t.Error("an abandoned trial keeps it resting for ever")
	}
	h.RecordAnswer(false)
	if h.BackingOff(now) {
		t.Error("rests after an answer")
	}
}

// A replica that fails half of its requests shows it within a second's requests, and one
// failure of a new one is not taken for a rate.
func TestErrorRateFollowsTheAnswers(t *testing.T) {
	var h Health
	h.RecordAnswer(true)
	if got := h.ErrorRate(); got > 0.3 {
		t.Errorf("rate %g after one answer", got)
	}
	for i := range 30 {
		h.RecordAnswer(i%2 == 0)
	}
	if got := h.ErrorRate(); got < 0.3 || got > 0.7 {
		t.Errorf("rate %g of half failures", got)
	}
	for range 40 {
		h.RecordAnswer(false)
	}
	if got := h.ErrorRate(); got > 0.05 {
		t.Errorf("rate %g long after the failures", got)
	}
}

// A quarter of the replicas goes dark for seconds. Each daemon would learn again and again,
// with a caller's request each time, that a replica is still dark: it waits for a connection
// that never comes. Only a probe may end the rest.
func TestDarkReplicaGetsProbesAndNoRequests(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	if !h.RecordDown(now) || h.RecordDown(now) {
		t.Error("the first word is news, the second is not")
	}
	for range 5 {
		now = now.Add(maxRest)
		if !h.BackingOff(now) {
			t.Fatal("it gets requests")
		}
		if !h.ProbeDue(now) || h.ProbeDue(now) {
			t.Fatal("want one probe after the rest")
		}
		h.RecordProbe(now, false)
		if h.ProbeDue(now) {
			t.Fatal("probed without a rest")
		}
	}
	now = now.Add(maxRest)
	h.RecordProbe(now, true)
	if h.BackingOff(now) {
		t.Error("it accepts connections, and gets no requests")
	}
}

// A daemon that is cut off says of all replicas that they are unreachable. Its peers look
// for themselves, and go on using those that answer them.
func TestPeersWordIsChecked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := NewSet()
	alive := info("alive")
	alive.Address = l.Addr().String()
	s.Apply(time.Now(), Change{Present: []Info{alive, info("dead")}})
	for _, r := range s.All() {
		r.Suspect(context.Background())
		if !r.Health.BackingOff(time.Now()) {
			t.Errorf("%s is used before it was probed", r.Info().ID)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); s.Get("alive").Health.BackingOff(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the one that answers is not used again")
		}
	}
	for deadline := time.Now().Add(5 * time.Second); !s.Get("dead").Health.ProbeDue(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the dead one is not probed again")
		}
	}
	if !s.Get("dead").Health.BackingOff(time.Now()) {
		t.Error("the dead one is used")
	}
}

// A replica takes an order to load weights and waits for long answers to end before it does.
// It looks idle meanwhile and refuses all requests: 22 in 0.4 s, by daemons that did not
// learn from one another. One refusal must be enough for all of them, and what the holder of
// the rollout told, that it is busy for longer, stays.
func TestRefusingReplicaIsLeftAlone(t *testing.T) {
	s := NewSet()
	var told []request.TargetID
	s.OnRefused(func(r *Replica) { told = append(told, r.Info().ID) })
	s.Apply(time.Unix(0, 0), Change{Present: []Info{info("a")}})
	r, now := s.Get("a"), time.Unix(1000, 0)
	r.RecordRefusal(now)
	if len(told) != 1 || !r.Busy(now) || r.Busy(now.Add(refusedFor)) {
		t.Errorf("told %v, busy %t, after its time %t", told, r.Busy(now), r.Busy(now.Add(refusedFor)))
	}
	r.SetBusy(now.Add(time.Minute))
	r.RecordRefusal(now)
	if !r.Busy(now.Add(30 * time.Second)) {
		t.Error("a refusal cut short what was known to last longer")
	}
	r.SetBusy(time.Time{}) // it serves its new weights
	if r.Busy(now) {
		t.Error("still left alone")
	}
}

func started(id string, at int64) Info {
	i := info(id)
	i.Started = at
	return i
}

// A replica crashes and is back under its id before its entry lapses. All that was believed
// of it was of the dead process: that it loads weights, which it had after an order, what is
// in flight there. Whoever still looks at the old one must not touch the new one.
func TestRestartUnderTheSameIDIsAnotherReplica(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Full: true, Present: []Info{started("a", 500)}})
	before := s.Get("a")
	before.ObserveWeights("m", 7)
	before.SetBusy(now.Add(time.Minute))
	flight := before.Load.Begin(100, 50)
	before.Health.RecordDown(now)
	s.Apply(now, Change{Present: []Info{started("a", 400)}}) // its clock was set back
	after := s.Get("a")
	if after == before || after.Hash() == before.Hash() || s.View().ByHash[before.Hash()] != nil {
		t.Fatal("the new start goes by the old one")
	}
	if after.Weights("m") != 1 || after.Busy(now) || after.Load.Total(now).Requests != 0 || after.Health.BackingOff(now) {
		t.Errorf("believed of the new start: weights %d, busy %t, load %+v", after.Weights("m"), after.Busy(now), after.Load.Total(now))
	}
	flight.End()
	if got := after.Load.Total(now); got != (Work{}) {
		t.Errorf("the end of an old request took from the new start's load: %+v", got)
	}
}

// A copy of the registry from before the crash arrives after the news of the new start, more
// than once. The dead process must not come back.
func TestLateWordOfAnEarlierStartRevivesNothing(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	for _, at := range []int64{500, 300, 900} {
		s.Apply(now, Change{Present: []Info{started("a", at)}})
	}
	newest := s.Get("a")
	for _, late := range []int64{500, 300} {
		s.Apply(now, Change{Full: true, Present: []Info{started("a", late)}})
		if s.ObserveStart(newest, late) || s.Get("a") != newest || newest.Info().Started != 900 {
			t.Fatalf("start %d is back", late)
		}
	}
}

// A replica says in an answer that it started again, before its entry tells.
func TestReplicaTellsOfItsRestartFirst(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Present: []Info{started("a", 500)}})
	before := s.Get("a")
	if !s.ObserveStart(before, 500) || !s.ObserveStart(before, 0) || s.Get("a") != before {
		t.Fatal("the same start, or none told, is taken for another")
	}
	if s.ObserveStart(before, 600) || s.Get("a") == before {
		t.Fatal("the new start is taken for the old one")
	}
	after := s.Get("a")
	s.Apply(now, Change{Present: []Info{started("a", 600)}})
	if s.Get("a") != after || len(s.OfService("s")) != 1 {
		t.Error("its entry makes it a third one")
	}
}

// Older replicas don't tell when they started: their entries change like before.
func TestReplicaThatTellsNoStartIsTheSame(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.Apply(now, Change{Present: []Info{info("a")}})
	r := s.Get("a")
	s.Apply(now, Change{Present: []Info{info("a")}})
	if s.Get("a") != r {
		t.Error("an entry written again is another replica")
	}
}

// Another writer overwrites the entry of a replica that serves, and adds one of a service
// that there is not. Neither may take a replica out or bring one in.
func TestStrangeEntriesNameNoReplica(t *testing.T) {
	s, now := NewSet(), time.Unix(1000, 0)
	s.SetServices(map[routing.ServiceID]bool{"s": true})
	ghost := info("ghost")
	ghost.Service = "nowhere"
	s.Apply(now, Change{Full: true, Present: []Info{info("a"), ghost}})
	if len(s.All()) != 1 || len(s.View().ByHash) != 1 {
		t.Errorf("%d replicas are used", len(s.All()))
	}
	r := s.Get("a")
	s.Apply(now, Change{Full: true, Present: []Info{ghost}, Unreadable: []request.TargetID{"a", "b"}})
	if s.Get("a") != r || count(s) != 1 || s.Get("b") != nil {
		t.Error("unreadable entries changed what is known")
	}
	s.SetServices(map[routing.ServiceID]bool{"s": true, "nowhere": true})
	if len(s.All()) != 2 {
		t.Error("a service that came later has no replicas")
	}
}
