// Package tabletest provides tests with a table of given rows.
package tabletest

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// loadTimeout bounds the write of the rows and the wait for the replica to apply them.
const loadTimeout = 10 * time.Second

// Rows holds the sheets of a test's table as CSV without header lines.
type Rows struct {
	Organisations string
	Models        string
	Targets       string
	Stores        string
}

// Load writes rows to a key-value service and returns a replica that has applied them. The
// replica watches the service until the test ends.
func Load(t testing.TB, kv platform.KV, rows Rows) *table.Replica {
	t.Helper()
	return startReplica(t, kv, Write(t, kv, rows))
}

// Write writes rows to a key-value service and returns the number of changed rows.
func Write(t testing.TB, kv platform.KV, rows Rows) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	editor := table.NewEditor(table.EditorOptions{KV: kv, Operator: "test"})
	plan, err := editor.Plan(ctx, []table.File{
		sheet("organisations", "id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services", rows.Organisations),
		sheet("models", "id,default_version,bytes_per_token,load_cap", rows.Models),
		sheet("targets", "id,kind,address,failure_domain,model,version,service,checks_fencing,repeatable,capacity", rows.Targets),
		sheet("stores", "id,address,failure_domain,link_bytes_per_sec", rows.Stores),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := editor.Apply(ctx, plan); err != nil {
		t.Fatal(err)
	}
	return len(plan.Changes)
}

func sheet(name, header, rows string) table.File {
	return table.File{Name: name + ".csv", Data: []byte(header + "\n" + rows)}
}

func startReplica(t testing.TB, kv platform.KV, changes int) *table.Replica {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	replica := table.NewReplica(table.ReplicaOptions{KV: kv})
	run, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = replica.Run(run, func() bool { return true })
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	for changes > 0 {
		changed := replica.Changed() // must precede Current in order not to miss a change
		if replica.Current().Revision() > 0 {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("the replica did not apply the table in time")
		}
	}
	return replica
}
