// Package pipeline runs requests through a chain of filters. Each filter is an actor
// with its own thread of work, and neighbours are joined by bounded rings.
//
// A bounded mailbox of the actor library blocks its sender when full, and the
// dropping kind discards the oldest message in silence. Neither may happen to a
// request, so a job takes a credit before it enters the first ring and keeps it until
// it is settled. A job is in one ring at a time and every ring holds at least as many
// messages as there are credits: no ring can be full. Without a credit, Submit fails
// at once and the caller is told that its request did not run.
package pipeline

import (
	"context"
	"runtime/debug"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/actors"
)

// ErrNoCredit reports that as many jobs as allowed are in flight.
var ErrNoCredit = errors.New("pipeline: no credit left")

// ErrPanic marks the failure of a filter that panicked.
var ErrPanic = errors.New("pipeline: filter panicked")

// systemSlack is room in each ring for the actor's own lifecycle messages.
const systemSlack = 8

// Work is a blocking part of a filter. It runs outside the actor and returns what
// the filter would have returned.
type Work func(ctx context.Context) Decision

// Decision is what a filter decided about a job.
type Decision struct {
	kind verdictKind
	work Work
	err  error
}

type verdictKind int

const (
	verdictPass verdictKind = iota
	verdictFinish
	verdictAwait
)

// Pass sends the job to the next filter; after the last one the job is finished.
func Pass() Decision { return Decision{kind: verdictPass} }

// Finish ends the chain for the job, with an error or, if nil, as decided early.
func Finish(err error) Decision { return Decision{kind: verdictFinish, err: err} }

// Await runs work outside the filter's thread and applies the verdict it returns.
func Await(work Work) Decision { return Decision{kind: verdictAwait, work: work} }

// Job is one request on its way.
type Job interface {
	// Context ends when the caller has gone or the request's deadline has passed.
	Context() context.Context
	// OnChainEnd is called once per Submit or Resubmit, when the chain has ended.
	OnChainEnd(err error)
}

// Filter is one step of the chain. Process must not block; it returns Await to wait.
type Filter[J Job] interface {
	Name() string
	Process(j J) Decision
}

// Options configures a Pipeline.
type Options[J Job] struct {
	Filters []Filter[J]
	Credits int
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Pipeline is a running chain of filters.
type Pipeline[J Job] struct {
	system  *actor.ActorSystem
	stages  []*stage[J]
	credits chan struct{}
	log     hclog.Logger
	refused tally.Counter
}

// New starts the actors of a chain.
func New[J Job](opts Options[J]) *Pipeline[J] {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	p := &Pipeline[J]{
		system:  actors.NewSystem(opts.Logger),
		credits: make(chan struct{}, opts.Credits),
		log:     opts.Logger,
		refused: opts.Metrics.Counter("pipeline_no_credit"),
	}
	for i, f := range opts.Filters {
		s := &stage[J]{pipeline: p, filter: f, index: i, jobs: opts.Metrics.Counter("pipeline_" + f.Name())}
		props := actor.PropsFromProducer(
			func() actor.Actor { return s },
			actor.WithMailbox(actor.Bounded(opts.Credits+systemSlack)),
		)
		s.pid = p.system.Root.Spawn(props)
		p.stages = append(p.stages, s)
	}
	return p
}

// Submit takes a credit and starts the job at the first filter.
func (p *Pipeline[J]) Submit(j J) error {
	select {
	case p.credits <- struct{}{}:
	default:
		p.refused.Inc(1)
		return ErrNoCredit
	}
	p.enter(0, j)
	return nil
}

// Resubmit starts a decided job, which still holds its credit, again at the named filter.
func (p *Pipeline[J]) Resubmit(j J, filter string) {
	for i, s := range p.stages {
		if s.filter.Name() == filter {
			p.enter(i, j)
			return
		}
	}
	j.OnChainEnd(errors.AssertionFailedf("pipeline: no filter %q", filter))
}

// ReleaseCredit returns the credit of a job that needs the chain no more.
func (p *Pipeline[J]) ReleaseCredit() { <-p.credits }

// InFlight returns the number of credits taken.
func (p *Pipeline[J]) InFlight() int { return len(p.credits) }

// Shutdown stops the actors. No job may be in flight.
func (p *Pipeline[J]) Shutdown() { p.system.Shutdown() }

func (p *Pipeline[J]) enter(index int, j J) {
	if index == len(p.stages) {
		j.OnChainEnd(nil)
		return
	}
	s := p.stages[index]
	p.system.Root.Send(s.pid, &arrival[J]{job: j})
}

// arrival is a job that reaches a filter.
type arrival[J Job] struct {
	job J
}

// stage is the actor of one filter.
type stage[J Job] struct {
	pipeline *Pipeline[J]
	filter   Filter[J]
	index    int
	pid      *actor.PID
	jobs     tally.Counter
}

// Receive implements actor.Actor.
func (s *stage[J]) Receive(c actor.Context) {
	m, ok := c.Message().(*arrival[J])
	if !ok {
		return
	}
	s.jobs.Inc(1)
	s.apply(m.job, s.process(m.job))
}

func (s *stage[J]) process(j J) Decision {
	return s.guard(func() Decision { return s.filter.Process(j) })
}

// guard turns a panic into a refusal. Without it the supervisor would restart the
// actor and the job would vanish: its caller would wait until its own timeout.
func (s *stage[J]) guard(f func() Decision) (v Decision) {
	defer func() {
		if r := recover(); r != nil {
			s.pipeline.log.Error("Filter panicked", "filter", s.filter.Name(), "panic", r, "stack", string(debug.Stack()))
			v = Finish(errors.Mark(errors.Newf("filter %s: %v", s.filter.Name(), r), ErrPanic))
		}
	}()
	return f()
}

func (s *stage[J]) apply(j J, v Decision) {
	switch v.kind {
	case verdictPass:
		s.pipeline.enter(s.index+1, j)
	case verdictFinish:
		j.OnChainEnd(v.err)
	case verdictAwait:
		go s.await(j, v.work)
	}
}

// await runs blocking work; the number of these goroutines is bounded by the credits.
func (s *stage[J]) await(j J, work Work) {
	s.apply(j, s.guard(func() Decision { return work(j.Context()) }))
}
