package replicas

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

func startedInfo(id, software string, at int64) Info {
	i := info(id)
	i.Software, i.Started = software, at
	return i
}

// TestVersionOfRestartedReplicaIsUnknown guards against a process whose version is taken from the entry of the one before.
func TestVersionOfRestartedReplicaIsUnknown(t *testing.T) {
	s := NewSet()
	now := time.Unix(1000, 0)
	s.Apply(now, Change{Present: []Info{startedInfo("a", "v1", 1)}})
	if s.ObserveStart(s.Get("a"), 2) {
		t.Error("another start counts as the same process")
	}
	restarted := s.Get("a")
	if i := restarted.Info(); !i.SoftwareUnknown || i.Started != 2 {
		t.Errorf("%+v, want an unknown version", i)
	}
	s.Apply(now, Change{Present: []Info{startedInfo("a", "v1", 1)}}) // late
	if i := s.Get("a").Info(); !i.SoftwareUnknown || i.Started != 2 {
		t.Errorf("after the entry of the process before: %+v", i)
	}
	s.Apply(now, Change{Present: []Info{startedInfo("a", "v2", 2)}})
	if i := s.Get("a").Info(); s.Get("a") != restarted || i.SoftwareUnknown || i.Software != "v2" {
		t.Errorf("after its own entry: %+v", i)
	}
}

// TestEntryWithoutStartTellsNoVersion guards against an entry of another writer that makes a known version another one, or an unknown one
// known.
func TestEntryWithoutStartTellsNoVersion(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v1", 1), startedInfo("a", "v1", 0)}})
	if i := s.Get("a").Info(); i.SoftwareUnknown || i.Started != 1 {
		t.Errorf("after an entry with the same version: %+v", i)
	}
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v2", 0)}})
	if i := s.Get("a").Info(); !i.SoftwareUnknown || i.Started != 1 {
		t.Errorf("after one with another version: %+v", i)
	}
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v1", 0)}})
	if !s.Get("a").Info().SoftwareUnknown {
		t.Error("a later one makes the version known")
	}
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v1", 1)}})
	if s.Get("a").Info().SoftwareUnknown {
		t.Error("its own entry doesn't make the version known")
	}
}

// TestEntriesAfterVersionChangeCount guards against a replica whose entries are ignored after its version changed with the same start.
func TestEntriesAfterVersionChangeCount(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v1", 1)}})
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v2", 1)}})
	leaving := startedInfo("a", "v2", 1)
	leaving.Leaving = true
	s.Apply(time.Unix(0, 0), Change{Present: []Info{leaving}})
	if !s.Get("a").Info().Leaving {
		t.Error("the entry was ignored")
	}
}

// TestProcessIsInDoubt guards against a replica that may have restarted by what others tell, and counts as the same process.
func TestProcessIsInDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		tell func(*Set)
	}{
		{"a peer found it down", func(s *Set) { s.Get("a").Suspect(context.Background()) }},
		{"its entry expired", func(s *Set) { s.Apply(now, Change{Removed: []request.TargetID{"a"}, MayHaveExpired: true}) }},
		{"its entry can't be read", func(s *Set) { s.Apply(now, Change{Unreadable: []request.TargetID{"a"}}) }},
		{"this daemon stalled", (*Set).CloseIdle},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSet()
			s.Apply(now, Change{Present: []Info{startedInfo("a", "v1", 1)}})
			if n := doubtsToldBy(s, func() {}); n != 0 {
				t.Errorf("%d doubts before", n)
			}
			if n := doubtsToldBy(s, func() { c.tell(s) }); n != 1 {
				t.Errorf("%d doubts, want 1", n)
			}
		})
	}
}

func doubtsToldBy(s *Set, tell func()) uint64 {
	p := s.Get("a").Pool
	before := p.Doubts()
	tell()
	return p.Doubts() - before
}

// TestNewProcessIsInDoubt guards against an entry of a process that has ended since, by which its successor counts as known.
func TestNewProcessIsInDoubt(t *testing.T) {
	s := NewSet()
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v1", 1)}})
	if s.Get("a").Pool.Doubts() == 0 {
		t.Error("the process is not in doubt")
	}
}

// TestRestartIsTold guards against daemons that go on to assume a process which another one found to have ended.
func TestRestartIsTold(t *testing.T) {
	s := NewSet()
	var told []*Replica
	s.OnRestarted(func(r *Replica) { told = append(told, r) })
	s.Apply(time.Unix(0, 0), Change{Present: []Info{startedInfo("a", "v1", 1)}})
	ended := s.Get("a")
	for _, started := range []int64{1, 2, 2, 1} {
		s.ObserveStart(ended, started)
	}
	if len(told) != 1 || told[0] != ended {
		t.Errorf("told %v, want the process that ended, once", told)
	}
}
