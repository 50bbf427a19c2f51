package retention

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

// testState holds the stores and contexts that the commands of a test file define.
type testState struct {
	stores   []StoreUsage
	contexts []contextdir.StoredContext
}

// TestRetention defines stores and contexts by "room" and "kept" commands and prints the
// decisions on them.
func TestRetention(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := &testState{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string { return w.run(t, td) })
	})
}

func (w *testState) run(t *testing.T, td *datadriven.TestData) string {
	var store, tier, manifest string
	var used, total, diskUsed, diskTotal, bytes, last, now, blocks, have, residence, queue int
	scan := func(name string, dest any) { td.MaybeScanArgs(t, name, dest) }
	scan("store", &store)
	scan("tier", &tier)
	scan("manifest", &manifest)
	scan("used", &used)
	scan("total", &total)
	scan("disk-used", &diskUsed)
	scan("disk-total", &diskTotal)
	scan("bytes", &bytes)
	scan("last", &last)
	scan("now", &now)
	scan("blocks", &blocks)
	scan("have", &have)
	scan("residence", &residence)
	scan("queue", &queue)
	p := DefaultParams()
	switch td.Cmd {
	case "room":
		w.stores = append(w.stores, StoreUsage{
			Store: request.StoreID(store), Down: td.HasArg("down"), LinkQueue: time.Duration(queue) * time.Second,
			MemoryUsed: int64(used), MemoryTotal: int64(total), DiskUsed: int64(diskUsed), DiskTotal: int64(diskTotal),
		})
		return ""
	case "clear":
		*w = testState{}
		return ""
	case "kept":
		w.contexts = append(w.contexts, contextdir.StoredContext{
			LastUse: at(last), Gaps: scanGaps(t, td),
			Copies: []contextdir.Copy{{Manifest: manifest, Store: "s1", Tier: storeapi.Tier(tier), Bytes: int64(bytes)}},
		})
		return ""
	case "make-room":
		return formatMoves(PlanEviction(p, w.stores[0], w.contexts, at(now)))
	case "promotions":
		return formatMoves(PlanPromotions(p, w.stores[0], w.contexts, at(now)))
	case "prefetch":
		var b strings.Builder
		for _, k := range w.contexts {
			fmt.Fprintf(&b, "%s %t\n", k.Copies[0].Manifest, ShouldPrefetch(p, k, time.Duration(residence)*time.Second, at(now)))
		}
		return b.String()
	case "export":
		a := AnsweredContext{Blocks: blocks}
		if have > 0 {
			a.Copies = []contextdir.Copy{{Manifest: "old", Store: request.StoreID(store), Blocks: have, Shared: td.HasArg("shared")}}
		}
		order, ok := Export(p, a, w.stores, 10)
		if !ok {
			return "no export\n"
		}
		return fmt.Sprintf("%s blocks %d to %d extends=%q\n", order.Store, order.From, order.To, order.Extends)
	}
	t.Fatalf("unknown command %s", td.Cmd)
	return ""
}

func scanGaps(t *testing.T, td *datadriven.TestData) contextdir.Gaps {
	var g contextdir.Gaps
	arg, _ := td.Arg("gaps")
	for i := range arg.Vals {
		var seconds int
		arg.Scan(t, i, &seconds)
		g.Add(time.Duration(seconds) * time.Second)
	}
	return g
}

func formatMoves(moves []Move) string {
	var b strings.Builder
	for _, m := range moves {
		fmt.Fprintf(&b, "%s %s\n", m.Kind, m.Copy.Manifest)
	}
	return b.String()
}
