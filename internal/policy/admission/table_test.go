package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cockroachdb/datadriven"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *Coordinator
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms, tokens int64
			d.MaybeScanArgs(t, "at", &ms)
			d.MaybeScanArgs(t, "tokens", &tokens)
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			var id, org string
			d.MaybeScanArgs(t, "id", &id)
			org = "a"
			d.MaybeScanArgs(t, "org", &org)
			var actions []Action
			switch d.Cmd {
			case "new":
				p := Params{Target: "t1", GrantPrefix: "d1", PrefillRate: 1000}
				d.MaybeScanArgs(t, "running", &p.MaxRunning)
				d.MaybeScanArgs(t, "prefill", &p.MaxPrefillTokens)
				d.MaybeScanArgs(t, "queue", &p.MaxQueue)
				d.MaybeScanArgs(t, "per-org", &p.MaxQueuePerOrg)
				s = New(p)
				return ""
			case "submit":
				req := Request{ID: request.ID(id), Org: request.OrgID(org), Tokens: tokens, Suspect: d.HasArg("suspect")}
				var deadline int64
				d.MaybeScanArgs(t, "deadline", &deadline)
				if deadline > 0 {
					req.Deadline = epoch.Add(time.Duration(deadline) * time.Millisecond)
				}
				actions = s.Submit(now, req)
			case "release":
				actions = s.Release(now, "d1."+id, Outcome{})
			case "cancel":
				actions = s.Cancel(now, request.ID(id))
			case "tick":
				actions = s.Tick(now)
			case "down":
				actions = s.OnTargetDown(now)
			case "leaving":
				actions = s.OnTargetLeaving(now)
			case "load":
				load := engineapi.Load{Incarnation: 1, PrefillTokens: int(tokens), Leaving: d.HasArg("leaving")}
				d.MaybeScanArgs(t, "running", &load.Running)
				d.MaybeScanArgs(t, "age", &load.AgeMillis)
				d.MaybeScanArgs(t, "incarnation", &load.Incarnation)
				actions = s.OnLoad(now, load)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return describe(actions, s.View(now))
		})
	})
}

func describe(actions []Action, v View) string {
	var out strings.Builder
	for _, action := range actions {
		switch a := action.(type) {
		case Grant:
			fmt.Fprintf(&out, "grant %s to %s until %s", a.ID, a.Request.ID, a.Expires.Sub(epoch))
			if a.Exclusive {
				out.WriteString(" alone")
			}
			if a.Priority == PriorityOverShare {
				out.WriteString(" over share")
			}
			out.WriteString("\n")
		case Refusal:
			fmt.Fprintf(&out, "refuse %s: %s %d %s after %s\n", a.Request.ID, a.Err.Code, a.Err.Status, a.Err.Ran, a.Err.RetryAfter)
		case TargetFailure:
			fmt.Fprintf(&out, "died %d:", a.Incarnation)
			for _, req := range a.InFlight {
				fmt.Fprintf(&out, " %s", req.ID)
			}
			out.WriteString("\n")
		}
	}
	fmt.Fprintf(&out, "running %d (others %d), prefill %d, waiting %d\n", v.Running, v.Foreign, v.QueuedPrefillTokens, v.Waiting)
	return out.String()
}
