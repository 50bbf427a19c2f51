package main

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/admission"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// lagged returns the report that is known now, and whether there is one.
func lagged(sc scenario, e *engine) (engineapi.Load, bool) {
	i := len(e.reports) - 1 - 2 // reports are made twice in a lag
	if i < 0 {
		return engineapi.Load{}, false
	}
	load := e.reports[i]
	load.AgeMillis = sc.reportLag.Milliseconds()
	return load, true
}

// stewards is ours: one steward for each target.
type stewards struct {
	sc      scenario
	engines []*engine
	list    []*admission.Coordinator
	calls   map[request.ID]*call
	seen    int
	without decision
}

// decision can be switched off, to show what it gives.
type decision string

const (
	nothing  decision = "nothing"
	priority decision = "priority" // of organisations within their share, at the engine
	reserve  decision = "reserve"  // places kept for them
)

func newStewards(without decision) newAdmitter {
	return func(sc scenario, engines []*engine, _ *rand.Rand) admitter {
		return makeStewards(sc, engines, without)
	}
}

func makeStewards(sc scenario, engines []*engine, without decision) *stewards {
	s := &stewards{sc: sc, engines: engines, calls: make(map[request.ID]*call), without: without}
	reserved := 0 // the default
	if without == reserve {
		reserved = -1
	}
	for i := range engines {
		s.list = append(s.list, admission.New(admission.Params{
			Target:           request.TargetID(fmt.Sprintf("t%d", i)),
			Instance:         "bench",
			MaxRunning:       sc.places,
			Reserve:          reserved,
			MaxPrefillTokens: int64(2 * sc.piece),
			PrefillRate:      sc.rate,
			GrantTTL:         time.Hour,
		}))
	}
	return s
}

func (s *stewards) submit(now time.Time, c *call) {
	ask := admission.Request{
		ID: request.ID(fmt.Sprint(c.id)), Org: request.OrgID(c.org), Weight: 1,
		Tokens: int64(c.tokens), Deadline: c.arrived.Add(s.sc.patience),
	}
	s.calls[ask.ID] = c
	best, least, queued := 0, time.Duration(-1), int64(0)
	for i, st := range s.list {
		wait, backlog := st.ExpectedWait(now, ask), st.View(now).QueuedPrefillTokens
		if least < 0 || wait < least || (wait == least && backlog < queued) {
			best, least, queued = i, wait, backlog
		}
	}
	s.apply(best, s.list[best].Submit(now, ask))
}

func (s *stewards) ended(now time.Time, target int, c *call) {
	out := admission.Outcome{PrefillTokens: int64(c.tokens)}
	s.apply(target, s.list[target].Release(now, c.grant, out))
}

func (s *stewards) tick(now time.Time) {
	for i, st := range s.list {
		if n := len(s.engines[i].reports); i == 0 && n == s.seen {
			break
		} else if i == 0 {
			s.seen = n
		}
		if load, ok := lagged(s.sc, s.engines[i]); ok {
			s.apply(i, st.OnLoad(now, load))
		}
	}
	for i, st := range s.list {
		s.apply(i, st.Tick(now))
	}
}

func (s *stewards) apply(target int, actions []admission.Action) {
	for _, action := range actions {
		if g, ok := action.(admission.Grant); ok {
			c := s.calls[g.Request.ID]
			c.grant = g.ID
			if s.without != priority {
				c.priority = g.Priority
			}
			s.engines[target].send(c)
		}
	}
}

// naive sends each call at once to the target with the least reported load.
type naive struct {
	sc      scenario
	engines []*engine
	rng     *rand.Rand
}

func newNaive(sc scenario, engines []*engine, rng *rand.Rand) admitter {
	return &naive{sc: sc, engines: engines, rng: rng}
}

func (n *naive) submit(_ time.Time, c *call) {
	best, least := n.rng.Intn(len(n.engines)), -1
	for _, i := range n.rng.Perm(len(n.engines)) {
		load, _ := lagged(n.sc, n.engines[i])
		if total := load.Running + load.Queued; total < least || least < 0 {
			best, least = i, total
		}
	}
	n.engines[best].send(c)
}

func (n *naive) ended(time.Time, int, *call) {}
func (n *naive) tick(time.Time)              {}
