package losses

import (
	"strings"
	"testing"
	"time"
)

// An operator has logs of two daemons and wants to know which seconds were the worst, and for
// what: two refusals for one cause with different figures are one cause, requests that were
// not allowed count for nothing, and the worse window comes first.
func TestLossesAreCountedByCauseAndSecond(t *testing.T) {
	one := `12.1 vm-1 {"@message":"A request is answered","@timestamp":"2026-01-01T00:00:00.1Z","request":"1","route":"chart","status":200,"why":"mm"}
{"@message":"A request is answered","@timestamp":"2026-01-01T00:00:00.5Z","request":"2","route":"chart","status":200,"late":"first words"}
{"@message":"A request is refused","@timestamp":"2026-01-01T00:00:01Z","request":"3","route":"chart","status":401,"code":"unauthorized","why":"the key is not known"}
not a line of ours`
	two := `{"@message":"A request is refused","@timestamp":"2026-01-01T00:00:02.1Z","request":"4","route":"chart","status":503,"code":"overloaded","why":"all replicas are full: the wait is 382.96ms"}
{"@message":"A request is refused","@timestamp":"2026-01-01T00:00:03Z","request":"5","route":"chart","status":503,"code":"overloaded","why":"all replicas are full: the wait is 1.206009228s"}
{"@message":"A stream is broken off","@timestamp":"2026-01-01T00:00:03Z","request":"6","route":"brief","cause":"relay: stream: unexpected EOF"}
{"@message":"A request is answered","@timestamp":"2026-01-01T00:00:03.2Z","request":"7","route":"tile","status":500}
{"@message":"A store is kept here","@timestamp":"2026-01-01T00:00:03.2Z","store":"s"}`
	table, err := Count(Options{WindowLength: 2 * time.Second, MaxWindows: 5, MaxCauses: 1}, strings.NewReader(one), strings.NewReader(two))
	if err != nil {
		t.Fatal(err)
	}
	if table.Ended != 7 || len(table.Losses) != 4 {
		t.Fatalf("got %+v", table)
	}
	if first := table.Losses[0]; first != (Loss{Refused, "chart", "overloaded: all replicas are full: the wait is N", 2}) {
		t.Errorf("the largest: %+v", first)
	}
	if len(table.Windows) != 2 || table.Windows[0].Lost != 4 || table.Windows[0].Ended != 4 || len(table.Windows[0].Largest) != 1 || table.Windows[1].Lost != 1 {
		t.Errorf("windows %+v", table.Windows)
	}
}

func FuzzCount(f *testing.F) {
	f.Add(`{"@message":"A request is refused","@timestamp":"2026-01-01T00:00:02.1Z","request":"4","route":"r","code":"x"}`)
	f.Fuzz(func(t *testing.T, text string) {
		table, err := Count(Options{WindowLength: time.Second, MaxWindows: 3, MaxCauses: 2}, strings.NewReader(text))
		if err != nil {
			return
		}
		lost := 0
		for _, l := range table.Losses {
			lost += l.Count
		}
		if lost > table.Ended {
			t.Errorf("%d of %d requests lost", lost, table.Ended)
		}
	})
}
