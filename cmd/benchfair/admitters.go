package main

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/admission"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// laggedLoad returns the latest load report of an engine that is at least reportLag old,
// and whether there is one.
func laggedLoad(sc scenario, e *engine) (engineapi.Load, bool) {
	i := len(e.reports) - 1 - 2 // an engine reports twice within reportLag
	if i < 0 {
		return engineapi.Load{}, false
	}
	load := e.reports[i]
	load.AgeMillis = sc.reportLag.Milliseconds()
	return load, true
}

// coordinators admits calls through one admission coordinator for each target, as daemons
// do.
type coordinators struct {
	sc          scenario
	engines     []*engine
	targets     []*admission.Coordinator
	calls       map[request.ID]*call
	seenReports int
	disabled    mechanism
}

// mechanism is a part of the admission that can be disabled to measure its effect.
type mechanism string

const (
	noMechanism    mechanism = "nothing"
	enginePriority mechanism = "priority" // engine priority of organisations within their share
	slotReserve    mechanism = "reserve"  // slots reserved for organisations within their share
)

func coordinatorsWithout(disabled mechanism) admitterFactory {
	return func(sc scenario, engines []*engine, _ *rand.Rand) admitter {
		return newCoordinators(sc, engines, disabled)
	}
}

func newCoordinators(sc scenario, engines []*engine, disabled mechanism) *coordinators {
	s := &coordinators{sc: sc, engines: engines, calls: make(map[request.ID]*call), disabled: disabled}
	reserved := 0 // selects the default
	if disabled == slotReserve {
		reserved = -1
	}
	for i := range engines {
		s.targets = append(s.targets, admission.New(admission.Params{
			Target:           request.TargetID(fmt.Sprintf("t%d", i)),
			GrantPrefix:      "bench",
			MaxRunning:       sc.slots,
			Reserve:          reserved,
			MaxPrefillTokens: int64(2 * sc.chunkTokens),
			PrefillRate:      sc.prefillRate,
			GrantTTL:         time.Hour,
		}))
	}
	return s
}

func (s *coordinators) submit(now time.Time, c *call) {
	req := admission.Request{
		ID: request.ID(fmt.Sprint(c.id)), Org: request.OrgID(c.org), Weight: 1,
		Tokens: int64(c.promptTokens), Deadline: c.arrivedAt.Add(s.sc.timeout),
	}
	s.calls[req.ID] = c
	best, least, queued := 0, time.Duration(-1), int64(0)
	for i, st := range s.targets {
		wait, backlog := st.ExpectedWait(now, req), st.View(now).QueuedPrefillTokens
		if least < 0 || wait < least || (wait == least && backlog < queued) {
			best, least, queued = i, wait, backlog
		}
	}
	s.apply(best, s.targets[best].Submit(now, req))
}

func (s *coordinators) onEnd(now time.Time, target int, c *call) {
	out := admission.Outcome{PrefillTokens: int64(c.promptTokens)}
	s.apply(target, s.targets[target].Release(now, c.grant, out))
}

func (s *coordinators) tick(now time.Time) {
	for i, st := range s.targets {
		if n := len(s.engines[i].reports); i == 0 && n == s.seenReports {
			break
		} else if i == 0 {
			s.seenReports = n
		}
		if load, ok := laggedLoad(s.sc, s.engines[i]); ok {
			s.apply(i, st.OnLoad(now, load))
		}
	}
	for i, st := range s.targets {
		s.apply(i, st.Tick(now))
	}
}

func (s *coordinators) apply(target int, actions []admission.Action) {
	for _, action := range actions {
		if g, ok := action.(admission.Grant); ok {
			c := s.calls[g.Request.ID]
			c.grant = g.ID
			if s.disabled != enginePriority {
				c.priority = g.Priority
			}
			s.engines[target].enqueue(c)
		}
	}
}

// naive sends each call immediately to the target with the least reported load.
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
		load, _ := laggedLoad(n.sc, n.engines[i])
		if total := load.Running + load.Queued; total < least || least < 0 {
			best, least = i, total
		}
	}
	n.engines[best].enqueue(c)
}

func (n *naive) onEnd(time.Time, int, *call) {}
func (n *naive) tick(time.Time)              {}
