package origins

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// State is a dump of what the daemon knows of streams' origins.
type State struct {
	Records  int            `json:"records"` // that it keeps for other daemons
	Services []ServiceState `json:"services"`
}

// ServiceState is what the daemon knows of a service.
type ServiceState struct {
	Service   routing.ServiceID `json:"service"`
	Versions  []string          `json:"versions"`  // at which streams that may go on can have begun
	Certainty string            `json:"certainty"` // "sole", "several" or "unsure"
	Listed    []string          `json:"listed"`    // versions in the key-value service
	Begun     int               `json:"begun"`     // streams that began here and may go on
}

// State returns the current state.
func (e *Exchange) State() State {
	now, current, keep := time.Now(), e.o.Current(), e.o.Keep()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Records: e.records.Len()}
	for service, v := range e.versions {
		state := ServiceState{Service: service, Versions: v.Names(now, keep), Certainty: e.view(now, service, current, keep).Certainty.String()}
		if h := e.histories[service]; h != nil {
			state.Listed = h.versions
		}
		if began := e.began[service]; began != nil {
			state.Begun = began.Len()
		}
		slices.Sort(state.Versions)
		s.Services = append(s.Services, state)
	}
	slices.SortFunc(s.Services, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return s
}
