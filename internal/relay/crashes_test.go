package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// TestRequestEndsAfterReplicasDied guards against one request that crashes a replica with each of its attempts: after two of them, and after the
// first if half of the deaths are known that have what it shares with others refused.
func TestRequestEndsAfterReplicasDied(t *testing.T) {
	for suspicion, want := range map[poison.Suspicion]int{poison.Unsuspected: maxOwnCrashes, poison.Suspected: maxOwnCrashes, poison.HalfWay: 1} {
		t.Run(fmt.Sprint("suspicion=", suspicion), func(t *testing.T) {
			r := route(routing.KindIdempotent)
			r.MaxAttempts = 4
			f := newFixture(t, r)
			tracker := &fakeCrashTracker{crashes: map[poison.Trait]int{}, suspicion: suspicion}
			f.server.o.CrashTracker = tracker
			for range 5 {
				f.addCrashingReplica()
			}
			answer, _, err := f.post("poison")
			if err != nil || answer.StatusCode != http.StatusBadGateway {
				t.Errorf("%v, %v", answer, err)
			}
			time.Sleep(100 * time.Millisecond) // until a further attempt would have been counted
			if n := tracker.total(); n != want {
				t.Errorf("%d replicas died, want %d", n, want)
			}
		})
	}
}

// TestAnswerThatEndsWithItsConnection guards against an answer without a length that seems complete because its replica died, and clears what
// crashed it, or reaches its caller.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, dies := range []bool{false, true} {
		t.Run(fmt.Sprint("dies=", dies), func(t *testing.T) {
			f := newFixture(t, route(routing.KindIdempotent))
			tracker := &fakeCrashTracker{crashes: map[poison.Trait]int{}}
			f.server.o.CrashTracker = tracker
			var l net.Listener
			l = f.addReplica(func(c net.Conn, id string) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n\r\nanswer", id)
				if dies {
					l.Close()
				}
			})
			answer, body, err := f.post("body")
			if arrived := err == nil && answer.StatusCode == http.StatusOK && body == "answer"; arrived == dies {
				t.Errorf("%q, %v", body, err)
			}
			deadline := time.Now().Add(5 * time.Second)
			for tracker.total()+tracker.successes() == 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // until a wrong record would have come as well
			if died := tracker.total() == 1; died != dies || (tracker.successes() == 1) == dies {
				t.Errorf("%d deaths and %d answers are recorded", tracker.total(), tracker.successes())
			}
		})
	}
}

// TestStreamThatWentOnIsNotAccused guards against blame for what a long stream shares with others, when its replica dies for another reason.
func TestStreamThatWentOnIsNotAccused(t *testing.T) {
	f := newFixture(t, route(routing.KindStream))
	l := f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	defer l.Close()
	now := time.Now()
	j := &Job{Meta: Meta{Model: "m", Parts: []Part{{ID: "shared"}, {ID: "own"}}}, Host: testHost, URI: "/x", firstSentAt: now.Add(-3 * time.Second)}
	a := &attempt{placement: &Placement{Replica: f.placer.replicas[0]}, sentAt: now.Add(-2 * time.Second)}
	kinds := func() map[poison.Kind]time.Time {
		out := map[poison.Kind]time.Time{}
		for _, accused := range a.crashReport(j, now).Accused {
			out[accused.Trait.Kind] = accused.Sent
		}
		return out
	}
	if got := kinds(); len(got) != 4 || !got[poison.KindPart].Equal(j.firstSentAt) || !got[poison.KindRequest].Equal(a.sentAt) {
		t.Errorf("before the first event: accused %v", got)
	}
	a.firstEventAt.Set(now.Add(-beginWindow / 2))
	if got := kinds(); len(got) != 4 {
		t.Errorf("shortly after the first event: accused %v", got)
	}
	a.firstEventAt.Set(now.Add(-2 * beginWindow))
	if got := kinds(); len(got) != 1 || got[poison.KindRequest].IsZero() {
		t.Errorf("long after the first event: accused %v", got)
	}
}

// TestTraitsKeepOrganisationsApart guards against an organisation whose requests are refused for what another one sent.
func TestTraitsKeepOrganisationsApart(t *testing.T) {
	of := func(org routing.Org) map[poison.Trait]bool {
		j := &Job{Meta: Meta{Model: "m", Parts: []Part{{ID: "shared"}, {ID: "own"}}}, Host: testHost, URI: "/x?q", Org: &org}
		out := map[poison.Trait]bool{}
		for _, trait := range j.traits(true) {
			out[trait] = true
		}
		return out
	}
	common := func(a, b map[poison.Trait]bool) (n int) {
		for trait := range a {
			if b[trait] {
				n++
				if trait.Org != poison.AllOrgs {
					t.Errorf("two organisations share the trait %v of one", trait)
				}
			}
		}
		return n
	}
	first, second := of(routing.Org{ID: "o1"}), of(routing.Org{ID: "o2"})
	if n := common(first, second); n != 2 {
		t.Errorf("two organisations share %d traits, want the model and one part", n)
	}
	if n := common(first, of(routing.Org{ID: "o3", Isolated: true})); n != 0 {
		t.Errorf("an isolated organisation shares %d traits", n)
	}
}

// TestRequestThatWaitedIsCheckedAgain guards against requests that wait for room while what they share with others is found to crash replicas, and
// are sent when there is room.
func TestRequestThatWaitedIsCheckedAgain(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/", 5))
	tracker := &fakeCrashTracker{crashes: map[poison.Trait]int{}}
	f.server.o.CrashTracker = tracker
	waiting := f.start("/x", "1", nil)
	tracker.refuseAll.Store(true)
	f.placer.set(1, true)
	if answer := f.wantStatus(waiting, http.StatusServiceUnavailable); answer.Header.Get("Retry-After") == "" {
		t.Error("the refusal does not say when to return")
	}
	if n := len(f.received()); n != 0 {
		t.Errorf("a replica received %d requests", n)
	}
	if flights := f.fixture.placer.replicas[0].Load.Own().Requests; flights != 0 {
		t.Errorf("%d requests count as running at the replica", flights)
	}
}
