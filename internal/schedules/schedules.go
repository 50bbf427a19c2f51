// Package schedules runs randomised fault schedules over the parts that hold shared
// state, in virtual time and in one goroutine: a seed fully determines a run.
package schedules

import (
	"slices"
	"sync"
)

// Outcome of one schedule. The first three must be zero.
type Outcome struct {
	Doubled  int // effects produced more than once
	Lost     int // callers without their own whole answer once all faults are over
	Reverted int // accepted facts that were contradicted later

	Calls         int      // work done, so that a schedule that does nothing is seen
	InDoubt       int      // callers told "in doubt", the cost of safety
	InDoubtNotRun int      // of those, calls that did not run
	Faults        int      // faults injected
	FailureLog    []string // the last events before the first violation; nil without one
	TraceHash     uint64   // hash of all events, equal for equal seeds
}

// Failed reports a violation.
func (o Outcome) Failed() bool { return o.Doubled+o.Lost+o.Reverted > 0 }

// Scenario is one kind of schedule.
type Scenario interface {
	Run(seed uint64) Outcome
}

// Registry holds scenarios by name.
type Registry struct {
	names     []string
	scenarios map[string]Scenario
}

// NewRegistry returns a registry with the scenarios of this package.
func NewRegistry() *Registry {
	r := &Registry{scenarios: map[string]Scenario{}}
	r.Register("journal", JournalScenario{})
	return r
}

// Register adds a scenario.
func (r *Registry) Register(name string, s Scenario) {
	r.names = append(r.names, name)
	r.scenarios[name] = s
}

// Names returns the names in the order of their registration.
func (r *Registry) Names() []string { return slices.Clone(r.names) }

// Result of many schedules of one scenario.
type Result struct {
	Name        string
	Schedules   int
	Total       Outcome // added up; the story is that of the first failed seed
	FailedSeeds []uint64
}

// Run runs the seeds from first on, several at a time.
func (r *Registry) Run(name string, first uint64, count, workers int) Result {
	scenario := r.scenarios[name]
	outcomes := make([]Outcome, count)
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := worker; i < count; i += workers {
				outcomes[i] = scenario.Run(first + uint64(i))
			}
		})
	}
	wg.Wait()
	out := Result{Name: name, Schedules: count}
	for i, o := range outcomes {
		out.add(first+uint64(i), o)
	}
	return out
}

func (r *Result) add(seed uint64, o Outcome) {
	r.Total.plus(o)
	if o.Failed() {
		r.FailedSeeds = append(r.FailedSeeds, seed)
	}
}

// Merge adds the counts of another scenario's result.
func (r *Result) Merge(other Result) {
	r.Schedules += other.Schedules
	r.Total.plus(other.Total)
}

func (o *Outcome) plus(other Outcome) {
	o.Doubled += other.Doubled
	o.Lost += other.Lost
	o.Reverted += other.Reverted
	o.Calls += other.Calls
	o.InDoubt += other.InDoubt
	o.InDoubtNotRun += other.InDoubtNotRun
	o.Faults += other.Faults
	if o.FailureLog == nil {
		o.FailureLog = other.FailureLog
	}
}
