package limit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cockroachdb/datadriven"
)

func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var l *LocalLimiter
		var s *Coordinator
		var limits Limits
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms, tokens, want, slots, used int64
			d.MaybeScanArgs(t, "at", &ms)
			d.MaybeScanArgs(t, "tokens", &tokens)
			d.MaybeScanArgs(t, "want", &want)
			d.MaybeScanArgs(t, "places", &slots)
			d.MaybeScanArgs(t, "used", &used)
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			daemon := "d1"
			d.MaybeScanArgs(t, "home", &daemon)
			switch d.Cmd {
			case "limits":
				limits = Limits{}
				d.MaybeScanArgs(t, "rate", &limits.RequestsPerSecond)
				d.MaybeScanArgs(t, "burst", &limits.Burst)
				d.MaybeScanArgs(t, "concurrency", &limits.Concurrency)
				d.MaybeScanArgs(t, "token-rate", &limits.TokensPerSecond)
				l = NewLocalLimiter(Params{}, 4)
				started := epoch
				if d.HasArg("settled") {
					started = epoch.Add(-time.Hour)
				}
				s = NewCoordinator(started, Params{})
				s.OnMembershipChange(started, 4, 4)
				return ""
			case "admit":
				return describe(l.Admit(now, "a", limits, tokens))
			case "answer":
				slice := s.Slice(now, request.DaemonID(daemon), "a", limits, SliceRequest{
					Org: "a", Requests: want, Tokens: tokens, Concurrency: slots, Used: used,
				})
				l.OnSlice(now, "a", slice)
				return describeSlice(slice)
			case "slice":
				return describeSlice(s.Slice(now, request.DaemonID(daemon), "a", limits, SliceRequest{
					Org: "a", Requests: want, Tokens: tokens, Concurrency: slots, Used: used,
				}))
			case "failed":
				l.OnSliceFailed(now, "a")
			case "done":
				l.Done(now, "a", tokens)
			case "tick":
				var out strings.Builder
				for _, w := range l.Tick(now) {
					out.WriteString(describeWant(w))
				}
				return out.String()
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func describe(d Decision) string {
	out := string(d.Outcome)
	if d.RetryAfter > 0 {
		out += fmt.Sprintf(" after %s", d.RetryAfter)
	}
	out += "\n"
	if d.SliceRequest != nil {
		out += describeWant(*d.SliceRequest)
	}
	return out
}

func describeWant(w SliceRequest) string {
	return fmt.Sprintf("ask requests %d, tokens %d, places %d, used %d\n", w.Requests, w.Tokens, w.Concurrency, w.Used)
}

func describeSlice(s Slice) string {
	out := fmt.Sprintf("slice requests %d, tokens %d, places %d", s.Requests, s.Tokens, s.Concurrency)
	if s.RetryAfter > 0 {
		out += fmt.Sprintf(", more after %s", s.RetryAfter)
	}
	return out + "\n"
}
