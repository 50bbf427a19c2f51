// Package schedules runs randomised fault schedules over the components that hold shared
// state. A schedule runs in virtual time and in one goroutine, hence its seed fully
// determines it.
package schedules

import (
	"slices"
	"sync"
)

// Outcome is the result of one schedule. Doubled, Lost and Reverted must be zero.
type Outcome struct {
	Doubled  int // effects produced more than once
	Lost     int // callers without their own complete answer after all faults have ended
	Reverted int // accepted facts that were contradicted later

	Calls         int      // calls sent; reveals a schedule that does no work
	InDoubt       int      // callers whose final answer is "in doubt", the cost of safety
	InDoubtNotRun int      // calls of InDoubt that did not run
	Faults        int      // faults injected
	FailureLog    []string // the last events up to the first violation; nil without a violation
	TraceHash     uint64   // hash of all events, equal for equal seeds
}

// Failed reports whether the schedule violated a guarantee.
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

// Result summarises many schedules of one scenario.
type Result struct {
	Name        string
	Schedules   int
	Total       Outcome // sums of all outcomes; FailureLog is that of the first failed seed
	FailedSeeds []uint64
}

// Run runs count seeds, starting at first, on the given number of workers.
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
	r.Total.add(o)
	if o.Failed() {
		r.FailedSeeds = append(r.FailedSeeds, seed)
	}
}

// Merge adds the counts of the result of another scenario.
func (r *Result) Merge(other Result) {
	r.Schedules += other.Schedules
	r.Total.add(other.Total)
}

func (o *Outcome) add(other Outcome) {
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
