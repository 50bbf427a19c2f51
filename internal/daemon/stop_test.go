package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/loadgen"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// A planned stop happens while a response is in flight. The response must be complete, and
// the daemon must leave no goroutine behind: a leaked one would continue to use the
// journal, leases or targets after the daemon has released them.
func TestPlannedStopLeaksNoGoroutines(t *testing.T) {
	c := newCluster(t, 1, 0)
	before := goleak.IgnoreCurrent()
	d := c.startDaemon("d1")
	c.await("the table", func() bool { return c.ready(d, 1) })
	c.load(func(l *loadgen.Config) { l.Contexts, l.Turns = 2, 2 })
	var stopping atomic.Bool
	answered := make(chan int)
	go func() {
		status := http.StatusOK
		for i := 0; !stopping.Load() && (status == http.StatusOK || status == http.StatusTooManyRequests); i++ {
			status, _ = c.complete(d, strings.Repeat(fmt.Sprintf("page %d ", i), 5_000))
		}
		answered <- status
	}()
	c.await("a response to be in flight", func() bool { return c.inFlight(d) == 1 })
	stopping.Store(true)
	d.Drain()
	if status := <-answered; status != http.StatusOK && status != http.StatusTooManyRequests {
		t.Fatalf("the response in flight at the stop got status %d", status)
	}
	if err := <-d.done; err != nil {
		t.Fatalf("the stopped daemon returned %v", err)
	}
	d.done <- nil
	http.DefaultClient.CloseIdleConnections()
	_ = c.store.Close() // the engine keeps connections to it
	var leak error
	c.awaitWithState("all goroutines to end", func() bool {
		leak = goleak.Find(before)
		return leak == nil
	}, func() string { return leak.Error() })
}

func (c *cluster) inFlight(d *runningDaemon) int {
	var state struct {
		InFlight int `json:"in_flight"`
	}
	c.get("http://"+d.PeerAddress()+"/debug/state", &state)
	return state.InFlight
}

// The key-value service is down when a daemon starts. The daemon copies the table from its
// peer and serves prompts. A daemon that starts without a peer has no confirmed table, so
// it refuses prompts instead of applying rules that may have changed.
func TestDaemonStartsDuringOutage(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.stopKV()
	fresh := c.startDaemon("d2")
	c.await("the table from the peer", func() bool { return c.ready(fresh, 2) })
	c.await("a prompt to be served", func() bool {
		status, _ := c.complete(fresh, "a batch in an outage")
		return status == http.StatusOK
	})
	c.daemons = nil // the next one has no seeds
	alone := c.startDaemon("d3")
	status, body := c.complete(alone, "a batch")
	if status != http.StatusServiceUnavailable || !strings.Contains(body, string(request.CodeStale)) || !strings.Contains(body, "retry_after_ms") {
		t.Fatalf("got %d %s", status, body)
	}
}
