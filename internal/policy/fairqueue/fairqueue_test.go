package fairqueue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q *Queue
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "new":
				var p Params
				d.ScanArgs(t, "items", &p.MaxItems)
				d.ScanArgs(t, "per-org", &p.MaxPerOrg)
				q = New(p)
			case "push":
				for _, line := range strings.Split(d.Input, "\n") {
					var item Item
					var start int64
					_, err := fmt.Sscanf(line, "%s %s %d %d %d", &item.ID, &item.Org, &item.Weight, &item.Cost, &start)
					if err != nil {
						d.Fatalf(t, "%s: %v", line, err)
					}
					if start > 0 {
						item.LatestStart = epoch.Add(time.Duration(start) * time.Millisecond)
					}
					writeDropped(&out, q.Push(item))
				}
			case "expire":
				var ms, rate, busy int64
				d.ScanArgs(t, "at", &ms)
				d.ScanArgs(t, "rate", &rate)
				d.MaybeScanArgs(t, "busy", &busy)
				now := epoch.Add(time.Duration(ms) * time.Millisecond)
				writeDropped(&out, q.Expire(now, float64(rate), time.Duration(busy)*time.Millisecond))
			case "pop":
				n := q.Len()
				d.MaybeScanArgs(t, "n", &n)
				for range n {
					item, _ := q.Pop()
					fmt.Fprintf(&out, "%s ", item.ID)
				}
				out.WriteString("\n")
			case "ahead":
				var org string
				var weight int
				d.ScanArgs(t, "org", &org)
				d.ScanArgs(t, "weight", &weight)
				fmt.Fprintf(&out, "%d\n", q.Ahead(request.OrgID(org), weight))
			}
			fmt.Fprintf(&out, "waiting %d, cost %d\n", q.Len(), q.Cost())
			return out.String()
		})
	})
}

func writeDropped(out *strings.Builder, dropped []Dropped) {
	for _, d := range dropped {
		fmt.Fprintf(out, "dropped %s: %s\n", d.Item.ID, d.Reason)
	}
}

// fifo is the naive baseline: one bounded list in order of arrival.
type fifo struct {
	max   int
	items []Item
}

func (f *fifo) push(item Item) bool {
	if len(f.items) >= f.max {
		return false
	}
	f.items = append(f.items, item)
	return true
}

// Guards against a flood by one organisation that fills the queue. In a plain list the
// flood occupies every slot, so an organisation that sends one request a minute is
// refused or waits behind the entire flood.
func TestFloodDoesNotEvictOtherOrganisations(t *testing.T) {
	const slots = 32
	naive := &fifo{max: slots}
	q := New(Params{MaxItems: slots, MaxPerOrg: slots})
	for i := range 10 * slots {
		item := Item{ID: request.ID(fmt.Sprintf("loud%d", i)), Org: "loud", Weight: 1, Cost: 100}
		naive.push(item)
		q.Push(item)
	}
	quiet := Item{ID: "quiet", Org: "quiet", Weight: 1, Cost: 20_000}
	if naive.push(quiet) {
		t.Fatal("the naive list accepted the quiet request; the test proves nothing")
	}
	dropped := q.Push(quiet)
	if len(dropped) != 1 || dropped[0].Item.Org != "loud" {
		t.Fatalf("dropped %v, want one of the loud organisation", dropped)
	}
	q.Pop()
	if item, _ := q.Pop(); item.ID != "quiet" {
		t.Fatalf("second served is %s, want the quiet request", item.ID)
	}
}

type orgSpec struct {
	id     request.OrgID
	weight int
}

func drawOrgs(rt *rapid.T) []orgSpec {
	n := rapid.IntRange(2, 6).Draw(rt, "orgs")
	orgs := make([]orgSpec, n)
	for i := range orgs {
		orgs[i] = orgSpec{id: request.OrgID(fmt.Sprintf("o%d", i)), weight: rapid.IntRange(1, 20).Draw(rt, "weight")}
	}
	return orgs
}

// Checks the bound of start-time fair queueing: while two organisations both wait, their
// served tokens divided by their weights differ by at most one item of each. The bound
// also limits starvation, since a waiting organisation is served before any other
// organisation exceeds it.
func TestWeightedShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		orgs := drawOrgs(rt)
		const perOrg = 60
		q := New(Params{MaxItems: perOrg * len(orgs), MaxPerOrg: perOrg})
		maxCost := make(map[request.OrgID]int64)
		for _, o := range orgs {
			for i := range perOrg {
				cost := rapid.Int64Range(1, 5000).Draw(rt, "cost")
				maxCost[o.id] = max(maxCost[o.id], cost)
				q.Push(Item{ID: request.ID(fmt.Sprint(i)), Org: o.id, Weight: o.weight, Cost: cost})
			}
		}
		served := make(map[request.OrgID]int64)
		for allWait(q, orgs) {
			item, _ := q.Pop()
			served[item.Org] += item.Cost
			for _, a := range orgs {
				for _, b := range orgs {
					gap := float64(served[a.id])/float64(a.weight) - float64(served[b.id])/float64(b.weight)
					bound := float64(maxCost[a.id])/float64(a.weight) + float64(maxCost[b.id])/float64(b.weight)
					if gap > bound+1e-6 {
						rt.Fatalf("%s is ahead of %s by %.1f, bound %.1f", a.id, b.id, gap, bound)
					}
				}
			}
		}
	})
}

func allWait(q *Queue, orgs []orgSpec) bool {
	for _, o := range orgs {
		if q.OrgLen(o.id) == 0 {
			return false
		}
	}
	return true
}

// Over random sequences of pushes, pops, removals and expiry, each item leaves exactly
// once, the bounds hold, and no organisation within its weighted share of the slots
// loses an item because the queue is full.
func TestItemsLeaveOnceAndSharesHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		orgs := drawOrgs(rt)
		p := Params{MaxItems: rapid.IntRange(1, 30).Draw(rt, "items"), MaxPerOrg: rapid.IntRange(1, 30).Draw(rt, "per org")}
		q := New(p)
		waiting := make(map[request.ID]Item)
		leave := func(item Item) {
			if _, ok := waiting[item.ID]; !ok {
				rt.Fatalf("%s left twice or was never pushed", item.ID)
			}
			delete(waiting, item.ID)
		}
		next, now := 0, epoch
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				o := rapid.SampledFrom(orgs).Draw(rt, "org")
				next++
				item := Item{ID: request.ID(fmt.Sprint(next)), Org: o.id, Weight: o.weight, Cost: rapid.Int64Range(1, 100).Draw(rt, "cost")}
				if rapid.Bool().Draw(rt, "deadline") {
					item.LatestStart = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
				}
				waiting[item.ID] = item
				for _, d := range q.Push(item) {
					if d.Reason == QueueFull {
						checkOverShare(rt, p, orgs, waiting, d.Item)
					}
					leave(d.Item)
				}
			},
			"pop": func(*rapid.T) {
				if item, ok := q.Pop(); ok {
					leave(item)
				}
			},
			"remove": func(rt *rapid.T) {
				o := rapid.SampledFrom(orgs).Draw(rt, "org")
				if item, ok := q.Remove(o.id, request.ID(fmt.Sprint(rapid.IntRange(0, next).Draw(rt, "id")))); ok {
					leave(item)
				}
			},
			"expire": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
				for _, d := range q.Expire(now, 100, 0) {
					leave(d.Item)
				}
				for _, item := range waiting {
					if !item.LatestStart.IsZero() && item.LatestStart.Before(now) {
						rt.Fatalf("%s still waits past its latest start", item.ID)
					}
				}
			},
			"": func(rt *rapid.T) {
				var cost int64
				for _, item := range waiting {
					cost += item.Cost
				}
				if q.Len() != len(waiting) || q.Cost() != cost || q.Len() > p.MaxItems {
					rt.Fatalf("len %d cost %d, want %d and %d", q.Len(), q.Cost(), len(waiting), cost)
				}
			},
		})
	})
}

func checkOverShare(rt *rapid.T, p Params, orgs []orgSpec, waiting map[request.ID]Item, victim Item) {
	held, weights := 0, 0
	for _, o := range orgs {
		n := 0
		for _, item := range waiting {
			if item.Org == o.id {
				n++
			}
		}
		if n > 0 {
			weights += o.weight
		}
		if o.id == victim.Org {
			held = n
		}
	}
	if held*weights <= p.MaxItems*victim.Weight {
		rt.Fatalf("%s lost an item while holding %d of %d slots at weight %d of %d", victim.Org, held, p.MaxItems, victim.Weight, weights)
	}
}
