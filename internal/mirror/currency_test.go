package mirror

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDaemonResumesWatchWhenPeersFallSilent guards against a daemon that relies on peers after the last answer of the
// key-value service that it knows of has become too old.
func TestDaemonResumesWatchWhenPeersFallSilent(t *testing.T) {
	var r ReportTracker
	now, maxAge := time.Unix(1000, 0), NewTimes(3*time.Second).MaxAge
	if r.Left(now, maxAge) > 0 {
		t.Fatal("a peer counts as watching although none reported it")
	}
	r.Record(now, 400*time.Millisecond)
	if left := r.Left(now, maxAge); left != reportTTL {
		t.Errorf("the report counts for %s more", left)
	}
	r.Record(now.Add(300*time.Millisecond), 900*time.Millisecond) // of an earlier answer
	if age, ok := r.Age(now); age != 400*time.Millisecond || !ok {
		t.Errorf("age %s", age)
	}
	silent := now.Add(300*time.Millisecond + reportTTL)
	if r.Left(silent.Add(-time.Millisecond), maxAge) <= 0 || r.Left(silent, maxAge) > 0 {
		t.Error("a peer's report is not valid for exactly reportTTL")
	}
	old := now.Add(maxAge - 400*time.Millisecond)
	r.Record(old, maxAge) // the peer still reports, but no newer answer
	if r.Left(old, maxAge) > 0 {
		t.Error("the report counts although the answer is too old")
	}
}

// TestTimesStayWithinBound guards against parts of the chain that together exceed the time until a change must be
// applied, or that make daemons watch although their peers are well.
func TestTimesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(1000, 60_000).Draw(t, "bound in ms")) * time.Millisecond
		times := NewTimes(bound)
		if times.MaxAge+readTime > bound {
			t.Errorf("a daemon that hears of no answer reads after %s, which may take %s", times.MaxAge, readTime)
		}
		if times.WatchTimeout+reportTime > bound {
			t.Errorf("a daemon whose watch is lost lists after %s", times.WatchTimeout)
		}
		if times.MaxAge < times.Watch+reportTime {
			t.Errorf("answers are up to %s apart, and count for %s", times.Watch, times.MaxAge)
		}
	})
}

// TestHopsDoNotAddToAge guards against a chain of daemons in which each hop lets a report count anew, so that the last
// one relies on an answer that is older than the bound.
func TestHopsDoNotAddToAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times, answered := NewTimes(2*time.Second), time.Unix(1000, 0)
		now := answered
		chain := make([]ReportTracker, rapid.IntRange(2, 6).Draw(t, "hops"))
		chain[0].Record(now, 0)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "after ms")) * time.Millisecond)
			from := rapid.IntRange(0, len(chain)-2).Draw(t, "from")
			if age, ok := chain[from].Age(now); ok {
				chain[from+1].Record(now, age)
			}
			for hop := range chain {
				if left := chain[hop].Left(now, times.MaxAge); left > 0 && now.Sub(answered) >= times.MaxAge {
					t.Fatalf("hop %d relies on an answer of %s before for %s more", hop, now.Sub(answered), left)
				}
			}
		}
	})
}
