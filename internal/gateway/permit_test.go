package gateway

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/table"
)

// changingTables are tables of which the current one changes.
type changingTables struct{ current atomic.Pointer[table.Replica] }

func (c *changingTables) Current() *table.Snapshot { return c.current.Load().Current() }

// TestJobThatWaitedIsJudgedByNewestTable guards against requests that run with a key, or with a model or service, that operators took
// away while the requests waited for a target.
func TestJobThatWaitedIsJudgedByNewestTable(t *testing.T) {
	first := newTables(t)
	for _, c := range []struct {
		name, organisations, path string
		status                    int
	}{
		{"key gone", "other,%x,1,1000,1000,500,1000000,verdict,cards;lookup\n", "/v1/completions", http.StatusUnauthorized},
		{"key gone, call", "other,%x,1,1000,1000,500,1000000,verdict,cards;lookup\n", "/v1/services/cards", http.StatusUnauthorized},
		{"model gone", "atlas,%x,1,1000,1000,500,1000000,,cards;lookup\n", "/v1/completions", http.StatusForbidden},
		{"service gone", "atlas,%x,1,1000,1000,500,1000000,verdict,lookup\n", "/v1/services/cards", http.StatusForbidden},
		{"limits changed", "atlas,%x,1,10,10,5,1000,verdict,cards;lookup\n", "/v1/services/cards", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := tablesWith(t, fmt.Sprintf(c.organisations, sha256.Sum256([]byte(testKey))))
			tables := &changingTables{}
			tables.current.Store(first)
			env := newTestEnv(tables)
			env.onAcquire = func() { tables.current.Store(next) }
			env.startTarget(t)
			g := env.gateway(t)
			status, detail, _, err := sendRequest(t, serveGateway(t, g).URL, c.path, testPrompt)
			if err != nil || status != c.status {
				t.Errorf("got %d %+v, %v, want %d", status, detail, err, c.status)
			}
			await(t, "all resources to be released", func() bool { return len(env.held(g)) == 0 })
			env.mu.Lock()
			defer env.mu.Unlock()
			if ran := env.received > 0; ran != (c.status == http.StatusOK) {
				t.Errorf("the target received %d requests", env.received)
			}
		})
	}
}
