package tableschedule

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	firstSeed = 1
	schedules = 100
)

// runAll adds up the outcomes of many seeds.
func runAll(t *testing.T, options Options) Outcome {
	t.Helper()
	var sum Outcome
	for seed := uint64(firstSeed); seed < firstSeed+schedules; seed++ {
		o := Run(seed, options)
		if sum.Reverted+sum.Lost == 0 && o.Reverted+o.Lost > 0 {
			sum.Events = append([]string{"seed"}, o.Events...)
			t.Logf("first seed with a fault: %d", seed)
		}
		sum.Edits += o.Edits
		sum.Conflicts += o.Conflicts
		sum.Uncertain += o.Uncertain
		sum.Faults += o.Faults
		sum.Reverted += o.Reverted
		sum.Lost += o.Lost
	}
	t.Logf("schedules=%d edits=%d refused=%d unclear=%d faults=%d reverted=%d lost=%d",
		schedules, sum.Edits, sum.Conflicts, sum.Uncertain, sum.Faults, sum.Reverted, sum.Lost)
	return sum
}

func TestNothingIsRevertedOrLost(t *testing.T) {
	sum := runAll(t, Options{})
	if sum.Reverted+sum.Lost > 0 {
		for _, line := range sum.Events {
			t.Log(line)
		}
		t.Fatal("an accepted edit was reverted or lost")
	}
	if sum.Edits < schedules || sum.Conflicts < schedules || sum.Faults < schedules {
		t.Fatal("the schedules do too little to show anything")
	}
}

// naiveReplica takes whatever it is told last.
type naiveReplica struct {
	*table.Replica
	service platform.KV
	now     func() time.Time
}

func (n *naiveReplica) Merge(pages []*peer.Page) int {
	told := make(map[string]*peer.Page)
	for _, p := range append(n.PagesNewerThan(nil), pages...) {
		told[p.Name] = p
	}
	n.Replica = table.NewReplica(table.ReplicaOptions{KV: n.service, Now: n.now})
	for _, p := range told {
		n.Replica.Merge([]*peer.Page{p})
	}
	return len(pages)
}

// A page that was sent before an edit arrives after it, at a daemon that already has the
// edit in force. A daemon that takes whatever it is told reverts it.
func TestNaiveReplicaReverts(t *testing.T) {
	sum := runAll(t, Options{NewReplica: func(service platform.KV, now func() time.Time) Replica {
		return &naiveReplica{Replica: table.NewReplica(table.ReplicaOptions{KV: service, Now: now}), service: service, now: now}
	}})
	if sum.Reverted == 0 {
		t.Fatal("the naive replica never reverted; the schedules don't show the fault")
	}
}

// naiveOperator writes the row as it saw it with one cell changed, at whatever revision
// the row is now.
type naiveOperator struct {
	editor *table.Editor
	seen   map[string]table.StoredRow
}

func (o *naiveOperator) Read(ctx context.Context, id string) error {
	row, err := o.editor.Get(ctx, table.SheetOrganisations, id)
	if err == nil {
		o.seen[id] = row
	}
	return err
}

func (o *naiveOperator) Set(ctx context.Context, id, column, value string) error {
	seen, ok := o.seen[id]
	if !ok {
		return errNotSeen
	}
	var cells []table.CellValue
	for _, name := range table.Columns(table.SheetOrganisations)[1:] {
		cells = append(cells, table.CellValue{Column: name, Value: seen.Cell(name)})
		if name == column {
			cells[len(cells)-1].Value = value
		}
	}
	_, err := o.editor.Set(ctx, table.SetRequest{Sheet: table.SheetOrganisations, ID: id, Cells: cells})
	return err
}

// Two operators edit different cells of one row that both read before. If each writes the
// whole row, the second puts the first one's cell back.
func TestNaiveOperatorLosesEdits(t *testing.T) {
	sum := runAll(t, Options{NewOperator: func(service platform.KV, now func() time.Time, name string) Operator {
		editor := table.NewEditor(table.EditorOptions{KV: service, Operator: name, Now: now})
		return &naiveOperator{editor: editor, seen: make(map[string]table.StoredRow)}
	}})
	if sum.Reverted+sum.Lost == 0 {
		t.Fatal("the naive operator never lost an edit; the schedules don't show the fault")
	}
}
