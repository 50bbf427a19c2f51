package origins

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestDaemonOutOfStepGoesByNoWordOfItsOwn guards against a daemon that nobody answers taking that for there being neither a record nor a
// second version.
func TestDaemonOutOfStepGoesByNoWordOfItsOwn(t *testing.T) {
	for _, c := range []struct {
		name        string
		silentPeers int
		silentKV    bool
		goesOn      bool
	}{
		{"nobody answers", 3, true, false},
		{"one daemon does not answer", 1, true, false},
		{"all daemons answer", 0, true, true},
		{"the key-value service answers", 3, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 4)
			hold := make(chan struct{})
			t.Cleanup(func() { close(hold) })
			for _, m := range g.members[1 : 1+c.silentPeers] {
				m.silent = hold
			}
			g.kv.setSilent(c.silentKV)
			asking := g.members[0]
			asking.o.Params.Wait = 50 * time.Millisecond
			if c.goesOn {
				g.mustGoOn(asking, 1, "v1")
			} else {
				g.mustEnd(asking, 1)
			}
		})
	}
}

// TestDaemonThatReadNoListOfOthersIsNotAlone guards against a daemon that goes by its own word because it doesn't know which others there are.
func TestDaemonThatReadNoListOfOthersIsNotAlone(t *testing.T) {
	g := newGroup(t, 1)
	alone := g.members[0]
	alone.o.Params.Wait = 50 * time.Millisecond
	g.kv.setSilent(true)
	g.mustGoOn(alone, 1, "v1")
	alone.o.KnowsPeers = func() bool { return false }
	g.mustEnd(alone, 1)
	g.kv.setSilent(false)
	g.mustGoOn(alone, 1, "v1")
}

// TestListThatNamesAnotherVersionEndsStream guards against a daemon with an old list of replicas going on at the version that it knows while no
// daemon that has the record answers.
func TestListThatNamesAnotherVersionEndsStream(t *testing.T) {
	for _, listed := range [][]string{{"v1", "v2"}, {"v2"}} {
		g := newGroup(t, 1)
		g.kv.list(listed...)
		g.mustEnd(g.members[0], 1)
	}
}

// TestDaemonThatIsNotSureTellsWhichVersionItKnows guards against the version that a daemon has seen being ignored because its list may be old.
func TestDaemonThatIsNotSureTellsWhichVersionItKnows(t *testing.T) {
	g := newGroup(t, 1)
	young := g.start("young")
	young.current.Store(false)
	g.mustGoOn(g.members[0], 1, "v1")
	young.OnSoftware(service, "v2", true)
	g.mustEnd(g.members[0], 1)
}

// TestVersionWithoutNameIsAVersion guards against a daemon that is not sure, and knows replicas whose version is empty, telling that it knows none.
func TestVersionWithoutNameIsAVersion(t *testing.T) {
	g := newGroup(t, 1)
	young := g.start("young")
	young.current.Store(false)
	young.OnSoftware(service, "", true)
	g.mustEnd(g.members[0], 1)

	g = &group{t: t, kv: newListKV("")}
	young = g.start("young")
	young.OnSoftware(service, "", true)
	young.OnListed(time.Now())
	other := g.start("other young one")
	other.OnSoftware(service, "", true)
	other.OnListed(time.Now())
	g.mustGoOn(young, 1, "")
	g.kv.list("v1")
	g.kill(other)
	g.mustEnd(young, 1)
}

// TestListIsReadByDaemonThatIsAsked guards against streams that end at a daemon without the key-value service while one of those that may have
// the record is gone.
func TestListIsReadByDaemonThatIsAsked(t *testing.T) {
	g := newGroup(t, 4)
	g.members[0].current.Store(false)
	g.kill(g.members[3])
	g.mustGoOn(g.members[0], 1, "v1")
	for _, m := range g.members {
		m.current.Store(false)
	}
	g.mustEnd(g.members[0], 1)
}

// TestListOfRestoredServiceTellsNothing guards against a version that a restored key-value service lists no more, and whose streams go on at
// another.
func TestListOfRestoredServiceTellsNothing(t *testing.T) {
	g := newGroup(t, 2)
	asking := g.members[0]
	g.kill(g.members[1])
	restoredAt := time.Now()
	asking.o.RestoredAt = func() (time.Time, bool) { return restoredAt, true }
	g.mustEnd(asking, 1)
	restoredAt = restoredAt.Add(-restoreGrace)
	g.mustGoOn(asking, 1, "v1")
}

// TestLookupSharesNoReadThatBeganBefore guards against a stream that goes on by what the key-value service listed before it came back.
func TestLookupSharesNoReadThatBeganBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := newFreshReads()
		var listed atomic.Pointer[[]string]
		listed.Store(&[]string{"v1"})
		count := 0
		read := func() []string {
			count++
			answer := *listed.Load()
			time.Sleep(10 * time.Millisecond)
			return answer
		}
		var all sync.WaitGroup
		all.Go(func() { reads.get(t.Context(), service, read) })
		time.Sleep(time.Millisecond)
		listed.Store(&[]string{"v1", "v2"})
		const lookups = 20
		for range lookups {
			all.Go(func() {
				if got := reads.get(t.Context(), service, read); len(got) != 2 {
					t.Errorf("a lookup got %v", got)
				}
			})
		}
		all.Wait()
		if count != 2 {
			t.Errorf("%d reads, want 2", count)
		}
	})
}

// TestPartCutOffConfirmsNothing guards against daemons that were cut off together, with all that may have the record among them, and that
// take each other's old lists for evidence.
func TestPartCutOffConfirmsNothing(t *testing.T) {
	g := newGroup(t, 8)
	g.kv.setSilent(true)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	for _, m := range g.members {
		m.o.Params.Wait = 50 * time.Millisecond
	}
	for _, m := range g.members[5:] { // v2 is known there alone
		m.silent = hold
	}
	const streams = 100
	for n := range streams {
		g.mustEnd(g.members[0], n)
	}
}

// TestUnnoticedLossOfServiceLeavesReadToOthers guards against streams of one version that end at a daemon that learns of changes through peers,
// and so does not notice that the key-value service does not answer it, while one of those that may have the record is gone.
func TestUnnoticedLossOfServiceLeavesReadToOthers(t *testing.T) {
	g := newGroup(t, 4)
	asking := g.members[0]
	asking.o.Params.Wait = 50 * time.Millisecond
	silent := newListKV("v1")
	silent.setSilent(true)
	asking.o.KV = silent
	g.kill(g.members[3])
	g.mustGoOn(asking, 1, "v1")
	awaitReadFailed := func(want bool) {
		for asking.readFailed.Load() != want {
			time.Sleep(time.Millisecond)
		}
	}
	awaitReadFailed(true)
	g.mustGoOn(asking, 2, "v1")
	silent.setSilent(false)
	g.mustGoOn(asking, 3, "v1")
	awaitReadFailed(false)
	before := g.kv.readCount()
	g.mustGoOn(asking, 4, "v1")
	if g.kv.readCount() != before {
		t.Error("others read although the key-value service answers again")
	}
}

// TestKeeperAnswersWithoutService guards against daemons that are asked and don't answer in time, because the key-value service doesn't answer
// them.
func TestKeeperAnswersWithoutService(t *testing.T) {
	g := newGroup(t, 4)
	asking := g.members[0]
	asking.current.Store(false)
	g.kv.setSilent(true)
	for _, m := range g.members {
		m.o.Params.Wait = 100 * time.Millisecond
	}
	g.mustGoOn(asking, 1, "v1")
}
