// Package pipeline runs requests through a chain of filters. Each filter is an actor
// that processes one job at a time, and a bounded mailbox queues the jobs of each actor.
//
// A bounded mailbox of the actor library blocks its sender when full, and the dropping
// variant silently discards the oldest message. Neither may happen to a request. A job
// therefore takes a credit before it enters the first mailbox and holds it until
// ReleaseCredit. A job is in one mailbox at a time and every mailbox has room for at least
// as many messages as there are credits, so no mailbox can be full. Without a free credit,
// Submit fails at once and the caller learns that its request did not run.
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

// ErrNoCredit reports that the maximum number of jobs is in flight.
var ErrNoCredit = errors.New("pipeline: no credit left")

// ErrPanic marks the error of a job whose filter panicked.
var ErrPanic = errors.New("pipeline: filter panicked")

// systemSlack is the mailbox capacity reserved for the actor's own lifecycle messages.
const systemSlack = 8

// Work is a blocking step of a filter. It runs outside the actor and returns the filter's
// decision.
type Work func(ctx context.Context) Decision

// Decision is a filter's decision about a job.
type Decision struct {
	kind decisionKind
	work Work
	err  error
}

type decisionKind int

const (
	decisionPass decisionKind = iota
	decisionFinish
	decisionAwait
)

// Pass sends the job to the next filter. After the last filter, the chain ends without an
// error.
func Pass() Decision { return Decision{kind: decisionPass} }

// Finish ends the chain early for the job, with err or successfully if err is nil.
func Finish(err error) Decision { return Decision{kind: decisionFinish, err: err} }

// Await runs work outside the filter's actor and applies the decision that work returns.
func Await(work Work) Decision { return Decision{kind: decisionAwait, work: work} }

// Job is a request in the pipeline.
type Job interface {
	// Context ends when the caller disconnects or the request's deadline passes.
	Context() context.Context
	// OnChainEnd is called once per Submit or Resubmit, when the chain has ended.
	OnChainEnd(err error)
}

// Filter is one step of the chain. Process must not block; it returns Await for work that
// blocks.
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

// Resubmit restarts, at the named filter, a job whose chain has ended and which still holds
// its credit.
func (p *Pipeline[J]) Resubmit(j J, filter string) {
	for i, s := range p.stages {
		if s.filter.Name() == filter {
			p.enter(i, j)
			return
		}
	}
	j.OnChainEnd(errors.AssertionFailedf("pipeline: no filter %q", filter))
}

// ReleaseCredit returns the credit of a job that no longer needs the chain.
func (p *Pipeline[J]) ReleaseCredit() { <-p.credits }

// InFlight returns the number of credits in use.
func (p *Pipeline[J]) InFlight() int { return len(p.credits) }

// Shutdown stops the actors. The caller must ensure that no job is in flight.
func (p *Pipeline[J]) Shutdown() { p.system.Shutdown() }

func (p *Pipeline[J]) enter(index int, j J) {
	if index == len(p.stages) {
		j.OnChainEnd(nil)
		return
	}
	s := p.stages[index]
	p.system.Root.Send(s.pid, &arrival[J]{job: j})
}

// arrival is the message that delivers a job to a filter.
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
	return s.recoverPanic(func() Decision { return s.filter.Process(j) })
}

// recoverPanic converts a panic into a decision that fails the job. Without it, the
// supervisor would restart the actor and lose the job, and the caller would wait until its
// own timeout.
func (s *stage[J]) recoverPanic(f func() Decision) (d Decision) {
	defer func() {
		if r := recover(); r != nil {
			s.pipeline.log.Error("Filter panicked", "filter", s.filter.Name(), "panic", r, "stack", string(debug.Stack()))
			d = Finish(errors.Mark(errors.Newf("filter %s: %v", s.filter.Name(), r), ErrPanic))
		}
	}()
	return f()
}

func (s *stage[J]) apply(j J, d Decision) {
	switch d.kind {
	case decisionPass:
		s.pipeline.enter(s.index+1, j)
	case decisionFinish:
		j.OnChainEnd(d.err)
	case decisionAwait:
		go s.await(j, d.work)
	}
}

// await runs blocking work. The credits limit the number of these goroutines.
func (s *stage[J]) await(j J, work Work) {
	s.apply(j, s.recoverPanic(func() Decision { return work(j.Context()) }))
}
