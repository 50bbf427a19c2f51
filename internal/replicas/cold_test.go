package replicas

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const coldDuration = 3 * time.Second

func coldSet(infos ...Info) *Set {
	s := NewSet()
	s.SetColdStarts(map[routing.ServiceID]time.Duration{"s": coldDuration})
	s.Apply(time.Now(), Change{Present: infos})
	return s
}

// A cold period that the registry reports counts from the time of the report. A later, shorter one does
// not shorten it, because the replica may have restarted in between.
func TestColdPeriodFromRegistry(t *testing.T) {
	i := info("a")
	i.ColdRemaining = 2 * time.Second
	s := coldSet(i)
	r, now := s.Get("a"), time.Now()
	if !r.Cold(now.Add(1900*time.Millisecond)) || r.Cold(now.Add(2100*time.Millisecond)) {
		t.Error("the cold period differs from the reported one")
	}
	i.ColdRemaining = 0
	s.Apply(now, Change{Present: []Info{i}})
	if !r.Cold(now.Add(1900 * time.Millisecond)) {
		t.Error("a later entry ended the cold period")
	}
}

// An answer reveals a new incarnation of a replica before the registry does.
func TestRestartedReplicaIsCold(t *testing.T) {
	i := info("a")
	i.Started = 7
	s := coldSet(i)
	if s.ObserveStart(s.Get("a"), 8) {
		t.Fatal("the new incarnation is taken for the known one")
	}
	if !s.Get("a").Cold(time.Now()) {
		t.Error("the restarted replica is not cold")
	}
}

// A replica that accepted no connection and accepts one again may have restarted in between. One that
// only a peer could not reach has not.
func TestReconnectedReplicaIsCold(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	found, suspected := info("found"), info("suspected")
	found.Address, suspected.Address = l.Addr().String(), l.Addr().String()
	s := coldSet(found, suspected)
	now := time.Now()
	s.Get("found").Health.RecordDown(now)
	s.Get("found").probe(context.Background())
	s.Get("suspected").Health.Suspect()
	s.Get("suspected").probe(context.Background())
	if !s.Get("found").Cold(time.Now()) {
		t.Error("the replica that was down is not cold")
	}
	if s.Get("suspected").Cold(time.Now()) {
		t.Error("the replica that only a peer could not reach is cold")
	}
}

// Another writer corrupts the entry of a known replica. The replica is still used, as a cold one.
func TestReplicaWithAnUnreadableEntryIsCold(t *testing.T) {
	s := coldSet(info("a"))
	s.Apply(time.Now(), Change{Unreadable: []request.TargetID{"a"}})
	if count(s) != 1 || !s.Get("a").Cold(time.Now()) {
		t.Error("the replica was removed, or is not cold")
	}
}

func inDomain(id, domain string) Info {
	i := info(id)
	i.FailureDomain = domain
	return i
}

// A failure domain is evacuated, the evacuation is written again, and then withdrawn. Its replicas get
// nothing in between, and are cold afterwards.
func TestDomainIsColdAfterEvacuation(t *testing.T) {
	s, now := coldSet(inDomain("a", "x"), inDomain("b", "y")), time.Now()
	for i := range 2 {
		begun, _ := s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}})
		if !s.Evacuated("x") || s.Evacuated("y") || (i == 0) != slices.Equal(begun, []string{"x"}) {
			t.Fatalf("begun %v", begun)
		}
	}
	_, ended := s.ApplyEvacuations(now, EvacuationChange{Ended: []string{"x"}})
	if s.Evacuated("x") || !slices.Equal(ended, []string{"x"}) {
		t.Errorf("ended %v", ended)
	}
	if !s.Get("a").Cold(now.Add(coldDuration/2)) || s.Get("b").Cold(now) {
		t.Error("the evacuated replica is not cold, or the other one is")
	}
}

// An evacuation is withdrawn while a daemon is not watching. The next complete list lacks it.
func TestEvacuationMissingFromFullListEnds(t *testing.T) {
	s, now := coldSet(inDomain("a", "x")), time.Now()
	s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}, Full: true})
	if _, ended := s.ApplyEvacuations(now, EvacuationChange{Full: true}); s.Evacuated("x") || len(ended) != 1 {
		t.Error("the evacuation continues")
	}
}

// The key-value service has lost an evacuation that was not withdrawn. The evacuation continues until
// operators have had time to write it again.
func TestLostEvacuationHasGracePeriod(t *testing.T) {
	s, now := coldSet(inDomain("a", "x")), time.Now()
	s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}})
	s.ApplyEvacuations(now, EvacuationChange{Full: true, MayBeLost: true})
	s.Tick(now.Add(evacuationGrace - time.Millisecond))
	if !s.Evacuated("x") {
		t.Fatal("the evacuation ended before its grace period")
	}
	s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}})
	s.Tick(now.Add(2 * evacuationGrace))
	if !s.Evacuated("x") {
		t.Fatal("the evacuation ended although it was written again")
	}
	s.ApplyEvacuations(now, EvacuationChange{Full: true, MayBeLost: true})
	s.Tick(now.Add(2 * evacuationGrace))
	if s.Evacuated("x") {
		t.Error("the evacuation never ends")
	}
}
