package lease

import (
	"slices"
	"time"
)

// State is the state of a manager for diagnostics.
type State struct {
	Session    string       `json:"session,omitempty"`
	Remaining  string       `json:"left,omitempty"` // time until the session must be renewed
	Held       []LeaseState `json:"held"`
	Unresolved []string     `json:"unsettled,omitempty"`
}

// LeaseState is the state of one lease.
type LeaseState struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// State returns the manager's state. The result can be encoded as JSON.
func (m *Manager) State() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := State{Unresolved: sortedKeys(m.unresolved)}
	if m.session != nil {
		out.Session = string(m.session.id)
		out.Remaining = m.session.remaining(m.opts.Now()).Round(time.Millisecond).String()
	}
	for _, name := range sortedKeys(m.held) {
		out.Held = append(out.Held, LeaseState{Name: name, Epoch: m.held[name].epoch})
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
