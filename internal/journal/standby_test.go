package journal_test

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// Story: a fleet grows from 8 to 390 daemons. Each of them scans for holders and keeps a
// session, and the service's calls grow with the fleet although a few daemons hold all
// partitions. On standby a daemon asks nothing. Then the likely holder turns out not to
// hold its partition, since it does not reach the service: after one refused call the
// real one must be found.
func TestStandbyLeavesTheServiceAlone(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	fake := kv.NewFake(clock)
	holder := newStepped(fake, clock, "holder")
	holder.round(ctx)
	standby := journal.New(journal.Options{
		KV:         fake.Client("standby"),
		Leases:     lease.NewManager(lease.Options{KV: fake.Client("standby"), Self: "standby", Now: clock}),
		Self:       "standby",
		Partitions: 4,
		Now:        clock,
		Standby: journal.Standby{
			On:     func() bool { return true },
			Likely: func(int) (journal.Holder, bool) { return journal.Holder{ID: "cut-off"}, true },
		},
	})
	naive := newStepped(fake, clock, "naive")
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
		t.Fatalf("calls: %d on standby, %d without", counts["standby"], counts["naive"])
	}
	if h, err := standby.Holder(ctx, 1); err != nil || h.ID != "cut-off" {
		t.Fatalf("likely holder: %+v, %v", h, err)
	}
	standby.ReportNotHolder(1)
	if h, err := standby.Holder(ctx, 1); err != nil || h.ID != "holder" {
		t.Fatalf("after a refused call: %+v, %v", h, err)
	}
}
