package table

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/cockroachdb/errors"
)

// Periods of WaitUntilApplied.
const (
	waitPollInterval = 100 * time.Millisecond
	stateCallTimeout = 2 * time.Second // of one state request to one daemon
)

// ErrNotApplied reports that at least one daemon had not applied the table when ctx ended.
var ErrNotApplied = errors.New("table: not applied on all daemons")

// DaemonState is the last state that one daemon reported.
type DaemonState struct {
	Address string `json:"address"` // host:port of the peer address
	Applied bool   `json:"in_force"`
	State   State  `json:"state"`
	Err     string `json:"error,omitempty"`
}

// WaitUntilApplied polls the daemons at the peer addresses until each has every page at the
// revision that the key-value service stores at the time of the call, or a later one. It
// returns the last reported states in the order of the addresses, and ErrNotApplied if ctx
// ends first.
func (e *Editor) WaitUntilApplied(ctx context.Context, addresses []string, client *http.Client) ([]DaemonState, error) {
	stored, err := e.load(ctx)
	if err != nil {
		return nil, err
	}
	wanted := make([]PageState, 0, len(stored))
	for name, p := range stored {
		wanted = append(wanted, PageState{Page: name, Revision: uint64(p.revision)})
	}
	states := make([]DaemonState, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { states[i] = waitForDaemon(ctx, address, wanted, client) })
	}
	group.Wait()
	var pending []string
	for _, s := range states {
		if !s.Applied {
			pending = append(pending, s.Address)
		}
	}
	if len(pending) > 0 {
		return states, errors.Mark(errors.Newf("table not applied on %s", strings.Join(pending, ", ")), ErrNotApplied)
	}
	return states, nil
}

func waitForDaemon(ctx context.Context, address string, wanted []PageState, client *http.Client) DaemonState {
	last := DaemonState{Address: address, Err: "daemon was not queried"}
	for ctx.Err() == nil {
		state, err := fetchState(ctx, address, client)
		if err == nil {
			last = DaemonState{Address: address, State: state, Applied: covers(state.Pages, wanted)}
		} else if ctx.Err() == nil {
			last.Err = err.Error()
		}
		if last.Applied {
			return last
		}
		_ = sleep.For(ctx, waitPollInterval) // the loop checks ctx.Err
	}
	return last
}

func covers(held, wanted []PageState) bool {
	revisions := make(map[string]uint64, len(held))
	for _, p := range held {
		revisions[p.Page] = p.Revision
	}
	for _, p := range wanted {
		if revisions[p.Page] < p.Revision {
			return false
		}
	}
	return true
}

func fetchState(ctx context.Context, address string, client *http.Client) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatePath, nil)
	if err != nil {
		return State{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return State{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return State{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var state State
	err = json.NewDecoder(response.Body).Decode(&state)
	return state, err
}
