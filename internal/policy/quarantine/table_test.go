package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cockroachdb/datadriven"
)

func TestRegistryDecisions(t *testing.T) {
	r := New(Params{Retention: time.Minute, MaxRecords: 3})
	datadriven.RunTest(t, "testdata/gate", func(t *testing.T, d *datadriven.TestData) string {
		var ms int64
		var fp, id, target string
		var incarnation uint64
		d.MaybeScanArgs(t, "at", &ms)
		d.MaybeScanArgs(t, "fp", &fp)
		d.MaybeScanArgs(t, "id", &id)
		d.MaybeScanArgs(t, "target", &target)
		d.MaybeScanArgs(t, "incarnation", &incarnation)
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		switch d.Cmd {
		case "gate":
			return describe(r.Check(now, Fingerprint(fp)))
		case "begin":
			v, ok := r.Begin(now, Fingerprint(fp), request.ID(id), request.TargetID(target), d.HasArg("alone"))
			return fmt.Sprintf("%t, %s", ok, describe(v))
		case "end":
			r.End(request.ID(id))
		case "died":
			return list(r.OnTargetDied(now, request.TargetID(target), incarnation))
		case "witness":
			return list(r.OnCoordinatorReport(now, request.TargetID(target), incarnation, []Fingerprint{Fingerprint(fp)}))
		case "all":
			return list(r.All(now))
		default:
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
		return ""
	})
}

func describe(v Decision) string {
	out := string(v.Mode)
	if v.Target != "" {
		out += " " + string(v.Target)
	}
	if v.Err != nil {
		out += fmt.Sprintf(": %s %s after %s", v.Err.Code, v.Err.Ran, v.Err.RetryAfter)
	}
	return out + "\n"
}

func list(records []CrashRecord) string {
	var out strings.Builder
	for _, record := range records {
		fmt.Fprintf(&out, "%s %v until %s%s\n", record.Fingerprint, record.Deaths, record.Expires.Sub(epoch), provenSuffix(record))
	}
	return out.String()
}

func provenSuffix(record CrashRecord) string {
	if record.Proven {
		return ", proven"
	}
	return ""
}
