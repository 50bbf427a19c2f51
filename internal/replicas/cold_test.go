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

const coldLasts = 3 * time.Second

func coldSet(infos ...Info) *Set {
	s := NewSet()
	s.SetColdStarts(map[routing.ServiceID]time.Duration{"s": coldLasts})
	s.Apply(time.Now(), Change{Present: infos})
	return s
}

// What the registry tells of a replica that has just started holds from when it was told, and a
// later, smaller word does not shorten it: the replica may have started again in between.
func TestColdAsTheRegistryTells(t *testing.T) {
	i := info("a")
	i.ColdRemaining = 2 * time.Second
	s := coldSet(i)
	r, now := s.Get("a"), time.Now()
	if !r.Cold(now.Add(1900*time.Millisecond)) || r.Cold(now.Add(2100*time.Millisecond)) {
		t.Error("not cold for as long as it told")
	}
	i.ColdRemaining = 0
	s.Apply(now, Change{Present: []Info{i}})
	if !r.Cold(now.Add(1900 * time.Millisecond)) {
		t.Error("warm by a later word")
	}
}

// A replica answers under another start before the registry tells of it.
func TestReplicaThatStartedAgainIsCold(t *testing.T) {
	i := info("a")
	i.Started = 7
	s := coldSet(i)
	if s.ObserveStart(s.Get("a"), 8) {
		t.Fatal("taken for the same start")
	}
	if !s.Get("a").Cold(time.Now()) {
		t.Error("warm")
	}
}

// A replica that accepted no connection and is back may have started in between; one that a peer
// alone could not reach has not.
func TestReplicaThatIsBackIsCold(t *testing.T) {
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
		t.Error("the one that was down is warm")
	}
	if s.Get("suspected").Cold(time.Now()) {
		t.Error("the one that a peer did not reach is cold")
	}
}

// Another writer spoils the entry of a known replica: it is used as before, as a cold one.
func TestReplicaWithAnUnreadableEntryIsCold(t *testing.T) {
	s := coldSet(info("a"))
	s.Apply(time.Now(), Change{Unreadable: []request.TargetID{"a"}})
	if count(s) != 1 || !s.Get("a").Cold(time.Now()) {
		t.Error("gone, or warm")
	}
}

func inDomain(id, domain string) Info {
	i := info(id)
	i.FailureDomain = domain
	return i
}

// A failure domain is evacuated, named again, and taken back: its replicas get nothing in
// between, and are cold afterwards.
func TestEvacuatedDomainIsColdWhenItIsTakenBack(t *testing.T) {
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
	if !s.Get("a").Cold(now.Add(coldLasts/2)) || s.Get("b").Cold(now) {
		t.Error("its replicas are warm, or those of the other cold")
	}
}

// An evacuation is taken back while a daemon does not hear it, and it lists all anew.
func TestEvacuationThatAListLacksHasEnded(t *testing.T) {
	s, now := coldSet(inDomain("a", "x")), time.Now()
	s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}, Full: true})
	if _, ended := s.ApplyEvacuations(now, EvacuationChange{Full: true}); s.Evacuated("x") || len(ended) != 1 {
		t.Error("it goes on")
	}
}

// The key-value service has lost an evacuation that nobody took back: it goes on until operators
// have had the time to write it again.
func TestLostEvacuationGoesOnForAWhile(t *testing.T) {
	s, now := coldSet(inDomain("a", "x")), time.Now()
	s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}})
	s.ApplyEvacuations(now, EvacuationChange{Full: true, MayBeLost: true})
	s.Tick(now.Add(evacuationGrace - time.Millisecond))
	if !s.Evacuated("x") {
		t.Fatal("it has ended")
	}
	s.ApplyEvacuations(now, EvacuationChange{Begun: []string{"x"}})
	s.Tick(now.Add(2 * evacuationGrace))
	if !s.Evacuated("x") {
		t.Fatal("written again, it has ended")
	}
	s.ApplyEvacuations(now, EvacuationChange{Full: true, MayBeLost: true})
	s.Tick(now.Add(2 * evacuationGrace))
	if s.Evacuated("x") {
		t.Error("it never ends")
	}
}
