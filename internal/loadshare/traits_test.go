package loadshare

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
)

// TestDeathReportsFitDatagrams guards against reports of deaths that are fragmented or load the other daemons: at the aim, 390 daemons and
// 1,300 replicas of which each dies once an hour, with six requests in flight, a daemon receives well below a tenth of 10 KB/s.
func TestDeathReportsFitDatagrams(t *testing.T) {
	const daemonBudget, deathsPerSecond, inFlight, traits = 10_000.0, 1300.0 / 3600, 6, 7
	s := &Reporter{news: make(chan struct{}, 1)}
	at := time.Now()
	for n := range inFlight {
		report := poison.Report{Death: "i-577b0e903e-replica@1772000000000", Org: 1 << 63, At: at}
		for i := range traits {
			report.Accused = append(report.Accused, poison.Accused{Trait: poison.NewTrait(poison.KindPart, 1<<63, []byte(fmt.Sprint(n, i))), Sent: at.Add(-time.Minute)})
		}
		s.ReportDeath(report)
	}
	total := 0
	for len(s.deaths) > 0 {
		n := min(len(s.deaths), maxDeaths)
		raw, err := proto.Marshal(&Report{From: "frontend-conche-hall-1", Deaths: deathMessages(at, s.deaths[:n])})
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > maxDatagram {
			t.Errorf("%d reports have %d bytes", n, len(raw))
		}
		total += len(raw)
		s.deaths = s.deaths[n:]
	}
	perSecond := float64(total) * deathsPerSecond
	t.Logf("%d bytes a death, %.0f bytes a second at a daemon", total, perSecond)
	if perSecond > daemonBudget/10 {
		t.Errorf("%.0f bytes a second", perSecond)
	}
}
