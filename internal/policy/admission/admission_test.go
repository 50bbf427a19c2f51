package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// Checks the invariants of a coordinator over random schedules: grants never exceed the
// capacity, a suspect always runs exclusively, each request gets exactly one answer, and
// no request waits past its latest start.
func TestCoordinatorInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := Params{
			GrantPrefix:      "d1",
			MaxRunning:       rapid.IntRange(1, 4).Draw(rt, "running"),
			MaxPrefillTokens: rapid.Int64Range(0, 3000).Draw(rt, "prefill"),
			PrefillRate:      1000,
			MaxQueue:         8,
			MaxQueuePerOrg:   5,
		}
		s, now, next := New(p), epoch, 0
		open := make(map[request.ID]Request)
		held := make(map[request.ID]Grant)
		apply := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case Grant:
					_, waited := open[a.Request.ID]
					_, renewed := held[a.Request.ID]
					if !waited && !renewed {
						rt.Fatalf("%s is granted after it was answered", a.Request.ID)
					}
					delete(open, a.Request.ID)
					held[a.Request.ID] = a
				case Refusal:
					if _, ok := open[a.Request.ID]; !ok || a.Err.Ran != request.NotRun || a.Err.RetryAfter <= 0 {
						rt.Fatalf("%s gets a second or an invalid answer: %v", a.Request.ID, a.Err)
					}
					delete(open, a.Request.ID)
				case TargetFailure:
					for _, req := range a.InFlight {
						delete(held, req.ID)
					}
				}
			}
		}
		step := func(rt *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			for id, g := range held {
				if !g.Expires.After(now) {
					delete(held, id)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				step(rt)
				next++
				req := Request{
					ID: request.ID(fmt.Sprint(next)), Weight: rapid.IntRange(1, 5).Draw(rt, "weight"),
					Org:    request.OrgID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "org")),
					Tokens: rapid.Int64Range(1, 4000).Draw(rt, "tokens"), Suspect: rapid.IntRange(0, 9).Draw(rt, "suspect") == 0,
				}
				if rapid.Bool().Draw(rt, "deadline") {
					req.Deadline = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(rt, "deadline ms")) * time.Millisecond)
				}
				open[req.ID] = req
				apply(s.Submit(now, req))
			},
			"renew": func(rt *rapid.T) {
				step(rt)
				for _, g := range held {
					apply(s.Submit(now, g.Request))
				}
			},
			"release": func(rt *rapid.T) {
				step(rt)
				id := request.ID(fmt.Sprint(rapid.IntRange(0, next).Draw(rt, "id")))
				if g, ok := held[id]; ok {
					delete(held, id)
					apply(s.Release(now, g.ID, Outcome{}))
				}
			},
			"load": func(rt *rapid.T) {
				step(rt)
				apply(s.OnLoad(now, engineapi.Load{
					Incarnation: uint64(rapid.IntRange(1, 10).Draw(rt, "restarted") / 10),
					Running:     rapid.IntRange(0, 5).Draw(rt, "running"),
					AgeMillis:   rapid.Int64Range(0, 800).Draw(rt, "age"),
				}))
			},
			"down": func(rt *rapid.T) {
				step(rt)
				if rapid.IntRange(0, 4).Draw(rt, "down") == 0 {
					apply(s.OnTargetDown(now))
				}
			},
			"up": func(rt *rapid.T) {
				step(rt)
				apply(s.OnTargetUp(now))
			},
			"": func(rt *rapid.T) {
				apply(s.Tick(now))
				if len(held) > p.MaxRunning || s.View(now).Granted != len(held) {
					rt.Fatalf("%d grants held, coordinator counts %d of %d", len(held), s.View(now).Granted, p.MaxRunning)
				}
				for _, g := range held {
					if g.Exclusive && len(held) > 1 {
						rt.Fatalf("suspect %s does not run exclusively", g.Request.ID)
					}
				}
				for _, req := range open {
					if latest := s.latestStart(req); !latest.IsZero() && latest.Before(now) {
						rt.Fatalf("%s still waits although it cannot meet its deadline", req.ID)
					}
				}
			},
		})
	})
}

// Guards against starvation by slot occupancy. With prompt tokens as the only cost, an
// organisation with short prompts and long answers holds nearly all slots while within
// its share of tokens, and an organisation with large prompts waits many seconds. The
// naive baseline is the fair queue with prompt tokens as cost.
func TestHeldSlotsCountTowardsShare(t *testing.T) {
	const slots, each, hold = 4, 400, time.Second
	prompts := map[request.OrgID]int64{"large": 1000, "short": 10}
	naive := fairqueue.New(fairqueue.Params{MaxItems: 2 * each, MaxPerOrg: each})
	s := New(Params{GrantPrefix: "d1", MaxRunning: slots, MaxQueue: 2 * each, MaxQueuePerOrg: each})
	var running []Grant
	take := func(actions []Action) {
		for _, action := range actions {
			running = append(running, action.(Grant))
		}
	}
	for i := range each {
		for _, org := range []request.OrgID{"large", "short"} {
			id := request.ID(fmt.Sprintf("%s%d", org, i))
			naive.Push(fairqueue.Item{ID: id, Org: org, Weight: 1, Cost: prompts[org]})
			take(s.Submit(epoch, Request{ID: id, Org: org, Tokens: prompts[org]}))
		}
	}
	const served = 200
	naiveLarge, large := 0, 0
	for range served {
		if item, _ := naive.Pop(); item.Org == "large" {
			naiveLarge++
		}
	}
	for i := range served {
		g := running[0]
		running = running[1:]
		if g.Request.Org == "large" {
			large++
		}
		take(s.Release(epoch.Add(hold*time.Duration(1+i/slots)), g.ID, Outcome{}))
	}
	if naiveLarge > served/20 {
		t.Fatalf("the naive baseline served %d of %d; the test proves nothing", naiveLarge, served)
	}
	if large < served/3 {
		t.Errorf("large prompts got %d of %d slots", large, served)
	}
	t.Logf("large prompts got %d of %d slots, naive %d", large, served, naiveLarge)
}

// slowTarget runs all requests that it receives and reports its load with a lag.
type slowTarget struct {
	ends    []time.Time // of running requests
	history []int       // running requests, one entry per step
}

const (
	simStep  = 10 * time.Millisecond
	simLag   = 20 // steps
	simRun   = time.Second
	simSlots = 8
)

func (tg *slowTarget) step(now time.Time) {
	remaining := tg.ends[:0]
	for _, end := range tg.ends {
		if end.After(now) {
			remaining = append(remaining, end)
		}
	}
	tg.ends = remaining
	tg.history = append(tg.history, len(tg.ends))
}

// load returns the load of simLag steps ago, or false before the first report.
func (tg *slowTarget) load() (engineapi.Load, bool) {
	i := len(tg.history) - 1 - simLag
	if i < 0 {
		return engineapi.Load{}, false
	}
	return engineapi.Load{Incarnation: 1, Running: tg.history[i], AgeMillis: int64(simLag * simStep / time.Millisecond)}, true
}

// During a membership change two daemons coordinate one target, because they compute
// the rendezvous hash over different lists of live daemons. No request may be lost, the
// target may get at most twice its capacity, and it must be back within its capacity
// once the daemons agree.
//
// In the naive baseline each daemon sends while the reported load is below the capacity.
// It exceeds the capacity by far even without a conflict, because the report lags.
func TestTwoCoordinatorsStayWithinTwiceTheCapacity(t *testing.T) {
	const steps, conflictStart, conflictEnd = 900, 200, 400
	var naive, coordinated slowTarget
	coordinators := []*Coordinator{
		New(Params{GrantPrefix: "d1", MaxRunning: simSlots, MaxQueue: 1000, MaxQueuePerOrg: 1000}),
		New(Params{GrantPrefix: "d2", MaxRunning: simSlots, MaxQueue: 1000, MaxQueuePerOrg: 1000}),
	}
	ending := make(map[time.Time][]Grant)
	naiveMax, conflictMax, laterMax, answered, asked, naiveQueue := 0, 0, 0, 0, 0, 0
	for i := range steps {
		now := epoch.Add(time.Duration(i) * simStep)
		naive.step(now)
		coordinated.step(now)
		var apply func(actions []Action)
		apply = func(actions []Action) {
			for _, action := range actions {
				if r, ok := action.(Refusal); ok && r.Err.Code == request.CodeNotHolder {
					apply(coordinators[0].Submit(now, r.Request))
					continue
				}
				g, ok := action.(Grant)
				if !ok {
					t.Fatalf("step %d: %v", i, action)
				}
				end := now.Add(simRun)
				coordinated.ends = append(coordinated.ends, end)
				ending[end] = append(ending[end], g)
			}
		}
		for _, g := range ending[now] {
			answered++
			for _, s := range coordinators {
				apply(s.Release(now, g.ID, Outcome{}))
			}
		}
		if load, ok := naive.load(); ok {
			for naiveQueue > 0 && load.Running < simSlots {
				naive.ends = append(naive.ends, now.Add(simRun))
				naiveQueue--
			}
		}
		if load, ok := coordinated.load(); ok {
			for _, s := range coordinators {
				apply(s.OnLoad(now, load))
			}
		}
		if i == conflictEnd {
			apply(coordinators[1].Resign(now))
		}
		if i%20 == 0 && i < 600 { // 10 requests a second in pairs, capacity 8 a second
			for n := range 2 {
				asked++
				naiveQueue++
				chosen := coordinators[0]
				if i >= conflictStart && i < conflictEnd && n == 1 {
					chosen = coordinators[1]
				}
				apply(chosen.Submit(now, Request{ID: request.ID(fmt.Sprint(asked)), Org: "a", Tokens: 10}))
			}
		}
		naiveMax = max(naiveMax, len(naive.ends))
		switch {
		case i >= conflictStart && i < conflictEnd:
			conflictMax = max(conflictMax, len(coordinated.ends))
		case i < conflictStart || i > conflictEnd+simLag+int(simRun/simStep):
			laterMax = max(laterMax, len(coordinated.ends))
		}
	}
	if naiveMax <= simSlots {
		t.Errorf("the naive baseline ran at most %d of %d; the test proves nothing", naiveMax, simSlots)
	}
	if laterMax > simSlots || conflictMax > 2*simSlots {
		t.Errorf("running at most %d, %d during the conflict; want %d and %d", laterMax, conflictMax, simSlots, 2*simSlots)
	}
	if answered != asked {
		t.Errorf("%d of %d answered", answered, asked)
	}
	t.Logf("at most %d running of %d, %d during the conflict; naive %d", laterMax, simSlots, conflictMax, naiveMax)
}
