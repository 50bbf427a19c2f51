package main

import (
	"github.com/bluebellscale/bluebellscale/internal/schedules"
	"github.com/bluebellscale/bluebellscale/internal/table/tableschedule"
)

// tableScenario runs operators and daemons that edit and read the table in an unreliable
// key-value service.
type tableScenario struct{}

// Run implements schedules.Scenario.
func (tableScenario) Run(seed uint64) schedules.Outcome {
	o := tableschedule.Run(seed, tableschedule.Options{})
	return schedules.Outcome{
		Reverted:   o.Reverted,
		Lost:       o.Lost,
		Calls:      o.Edits,
		Faults:     o.Faults,
		FailureLog: o.Events,
	}
}

func registry() *schedules.Registry {
	r := schedules.NewRegistry()
	r.Register("table", tableScenario{})
	return r
}
