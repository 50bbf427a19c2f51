package journal_test

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// If every daemon scans for holders and keeps a session, the calls to the KV service grow
// with the fleet (seen as a fleet grew from 8 to 390 daemons), although a few daemons hold
// all partitions. A daemon on standby must not scan. If the likely holder cannot reach the
// KV service and does not hold its partition, a daemon on standby must find the actual
// holder after one refused call.
func TestStandbyDoesNotScan(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	fake := kv.NewFake(clock)
	holder := newSteppedJournal(fake, clock, "holder")
	holder.round(ctx)
	standby := journal.New(journal.Options{
		KV:         fake.Client("standby"),
		Leases:     lease.NewManager(lease.Options{KV: fake.Client("standby"), Self: "standby", Now: clock}),
		Self:       "standby",
		Partitions: 4,
		Now:        clock,
		Standby: journal.Standby{
			Active:       func() bool { return true },
			LikelyHolder: func(int) (journal.Holder, bool) { return journal.Holder{ID: "cut-off"}, true },
		},
	})
	naive := newSteppedJournal(fake, clock, "naive")
	for range 10 {
		now = now.Add(2 * time.Second)
		holder.round(ctx)
		if err := standby.Scan(ctx); err != nil {
			t.Fatal(err)
		}
		naive.round(ctx)
	}
	counts := fake.Counts().ByClient
	if counts["standby"] > 2 || counts["naive"] < 20 {
		t.Fatalf("KV service calls: %d on standby, %d otherwise", counts["standby"], counts["naive"])
	}
	if h, err := standby.Holder(ctx, 1); err != nil || h.ID != "cut-off" {
		t.Fatalf("likely holder: %+v, %v", h, err)
	}
	standby.ReportNotHolder(1)
	if h, err := standby.Holder(ctx, 1); err != nil || h.ID != "holder" {
		t.Fatalf("after a refused call: %+v, %v", h, err)
	}
}
