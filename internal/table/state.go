package table

import (
	"encoding/json"
	"net/http"
	"time"
)

// StatePath is where a daemon's peer address serves State.
const StatePath = "/debug/table"

// PageState is one page's revision.
type PageState struct {
	Page     string `json:"page"`
	Revision uint64 `json:"revision"`
}

// State tells which table a daemon has in force.
type State struct {
	Revision   uint64      `json:"revision"`
	Hash       uint64      `json:"hash"`
	Confirmed  bool        `json:"confirmed"`    // there is a proof
	ProofAgeMS int64       `json:"proof_age_ms"` // age of the last proof
	Pages      []PageState `json:"pages"`        // ordered by name
	Rows       RowCounts   `json:"rows"`         // rows in force
}

// RowCounts counts the rows of each sheet.
type RowCounts struct {
	Organisations int `json:"organisations"`
	Models        int `json:"models"`
	Targets       int `json:"targets"`
	Stores        int `json:"stores"`
}

// State describes the replica at a moment.
func (r *Replica) State(now time.Time) State {
	s := r.Current()
	state := State{Revision: s.revision, Hash: s.hash, Pages: []PageState{}}
	if age := r.ProofAge(now); age != NeverConfirmed {
		state.Confirmed = true
		state.ProofAgeMS = age.Milliseconds()
	}
	for _, p := range sortedValues(s.pages) {
		state.Pages = append(state.Pages, PageState{Page: p.name, Revision: p.revision})
		state.Rows.Organisations += len(p.organisations)
		state.Rows.Models += len(p.models)
	}
	state.Rows.Targets = len(s.targets)
	state.Rows.Stores = len(s.stores)
	return state
}

// StateHandler serves GET StatePath.
func StateHandler(r *Replica) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			http.Error(w, "GET only", http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.State(r.now())); err != nil {
			r.log.Debug("State not sent", "error", err)
		}
	})
}
