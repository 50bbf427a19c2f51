package table

import (
	"encoding/json"
	"net/http"
	"time"
)

// StatePath is the path at which a daemon serves State on its peer address.
const StatePath = "/debug/table"

// PageState is the revision of one page.
type PageState struct {
	Page     string `json:"page"`
	Revision uint64 `json:"revision"`
}

// State describes the version of the table that a daemon has applied.
type State struct {
	Revision    uint64      `json:"revision"`
	Hash        uint64      `json:"hash"`
	Confirmed   bool        `json:"confirmed"`    // the replica has been confirmed
	StalenessMS int64       `json:"proof_age_ms"` // time since the confirmation
	Pages       []PageState `json:"pages"`        // ordered by name
	Rows        RowCounts   `json:"rows"`         // rows that are not removed
}

// RowCounts counts the rows of each sheet.
type RowCounts struct {
	Organisations int `json:"organisations"`
	Models        int `json:"models"`
	Targets       int `json:"targets"`
	Stores        int `json:"stores"`
}

// State returns the replica's state at the given time.
func (r *Replica) State(now time.Time) State {
	s := r.Current()
	state := State{Revision: s.revision, Hash: s.hash, Pages: []PageState{}}
	if age := r.Staleness(now); age != NeverConfirmed {
		state.Confirmed = true
		state.StalenessMS = age.Milliseconds()
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
			r.log.Debug("Cannot send table state", "error", err)
		}
	})
}
