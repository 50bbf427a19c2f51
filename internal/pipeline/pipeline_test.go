package pipeline_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/pipeline"
)

type job struct {
	steps []string
	done  chan error
}

func newJob() *job                         { return &job{done: make(chan error, 1)} }
func (j *job) Context() context.Context    { return context.Background() }
func (j *job) OnChainEnd(err error)        { j.done <- err }
func (j *job) wait(t *testing.T) (e error) { t.Helper(); return <-j.done }

type filter struct {
	name    string
	process func(j *job) pipeline.Decision
}

func (f filter) Name() string { return f.name }
func (f filter) Process(j *job) pipeline.Decision {
	j.steps = append(j.steps, f.name)
	return f.process(j)
}

func pass(*job) pipeline.Decision { return pipeline.Pass() }

func start(credits int, filters ...pipeline.Filter[*job]) *pipeline.Pipeline[*job] {
	return pipeline.New(pipeline.Options[*job]{Filters: filters, Credits: credits, Logger: hclog.NewNullLogger()})
}

func TestJobPassesAllFiltersInOrder(t *testing.T) {
	await := func(*job) pipeline.Decision {
		return pipeline.Await(func(context.Context) pipeline.Decision { return pipeline.Pass() })
	}
	p := start(1, filter{"a", pass}, filter{"b", await}, filter{"c", pass})
	defer p.Shutdown()
	j := newJob()
	if err := p.Submit(j); err != nil {
		t.Fatal(err)
	}
	if err := j.wait(t); err != nil {
		t.Fatal(err)
	}
	p.Resubmit(j, "b")
	if err := j.wait(t); err != nil {
		t.Fatal(err)
	}
	want := []string{"a", "b", "c", "b", "c"}
	if len(j.steps) != len(want) {
		t.Fatalf("steps %v, want %v", j.steps, want)
	}
	for i := range want {
		if j.steps[i] != want[i] {
			t.Fatalf("steps %v, want %v", j.steps, want)
		}
	}
}

// TestSubmitFailsWithoutCredit submits many jobs while a filter waits for a slow peer. If a
// mailbox were smaller than the number of jobs in flight, the library's bounded mailbox
// would block the sender and its dropping mailbox would lose the oldest job. The credits
// prevent this, and Submit must refuse the excess jobs at once.
func TestSubmitFailsWithoutCredit(t *testing.T) {
	release := make(chan struct{})
	hold := func(*job) pipeline.Decision {
		return pipeline.Await(func(context.Context) pipeline.Decision {
			<-release
			return pipeline.Pass()
		})
	}
	const credits = 8
	p := start(credits, filter{"hold", hold}, filter{"end", pass})
	defer p.Shutdown()
	var held []*job
	refused := 0
	for i := 0; i < 100; i++ {
		j := newJob()
		if err := p.Submit(j); errors.Is(err, pipeline.ErrNoCredit) {
			refused++
			continue
		}
		held = append(held, j)
	}
	if len(held) != credits || refused != 100-credits {
		t.Fatalf("held %d, refused %d", len(held), refused)
	}
	close(release)
	for _, j := range held {
		if err := j.wait(t); err != nil {
			t.Fatal(err)
		}
		p.ReleaseCredit()
	}
	if p.InFlight() != 0 {
		t.Fatalf("%d credits not returned", p.InFlight())
	}
}

// TestFilterPanicFailsOnlyItsJob lets a filter panic on one job. The job must fail at once,
// and the next job must pass. Without the recovery, the actor library restarts the actor
// and drops the message, and the caller would wait indefinitely.
func TestFilterPanicFailsOnlyItsJob(t *testing.T) {
	first := true
	p := start(2, filter{"panics once", func(*job) pipeline.Decision {
		if first {
			first = false
			panic("broken")
		}
		return pipeline.Pass()
	}})
	defer p.Shutdown()
	j := newJob()
	if err := p.Submit(j); err != nil {
		t.Fatal(err)
	}
	if err := j.wait(t); !errors.Is(err, pipeline.ErrPanic) {
		t.Fatalf("got %v, want ErrPanic", err)
	}
	next := newJob()
	if err := p.Submit(next); err != nil {
		t.Fatal(err)
	}
	if err := next.wait(t); err != nil {
		t.Fatal(err)
	}
}
